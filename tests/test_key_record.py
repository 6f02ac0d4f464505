"""Whether requests need keys outlasts processes and versions."""

from __future__ import annotations

import typing

import msgspec

from chiveroad import config
from chiveroad import control
from chiveroad.control import _merger
from chiveroad.control import _source
from tests import fakes
from tests import keyed
from tests import test_control

NO_TABLE: typing.Final = keyed.specification((), number=8)
EMPTY_TABLE: typing.Final = msgspec.json.encode(
    {**msgspec.json.decode(NO_TABLE), "tenants": []}
)
FOLDER: typing.Final = """team = "a"
[service.x]
slots = 1
[service.x.kind.k]
idempotent = true
[route.r]
path = "/"
service = "x"
kind = "k"
"""
CUSTOMER: typing.Final = f'[customer.c]\nkey_digests = ["{"0" * 32}"]\n'


# Guards against an empty list of customers that is taken for none, so that a
# daemon that starts with it checks no keys and passes them on.
def test_daemon_that_starts_with_an_empty_list_refuses_all_keys() -> None:
    daemon = keyed.start("a")
    daemon.view.merge([daemon.member])
    keyed.offer(daemon, EMPTY_TABLE)
    key = f"Authorization: Token {keyed.KEY}"
    try:
        for path, headers, status in (
            ("/x", [key], 401),
            ("/x", [], 401),
            ("/open", [key], 401),
            ("/open", ["X-Tenant: horn"], 200),
        ):
            sent = keyed.head_of(path, headers)
            answer = keyed.ask(daemon.entry_address, sent)
            assert keyed.status_of(answer) == status
    finally:
        for server in daemon.servers:
            server.stop()
        daemon.target.close()
    [head] = daemon.target.heads
    assert not keyed.header_of(head, "x-tenant")


# Guards against a folder whose last customer is removed, and whose versions
# then don't show a daemon that starts later that requests need keys.
def test_merged_versions_state_that_customers_were_removed() -> None:
    fake = fakes.FaultyStore()
    demanded: list[bool] = []
    for text in (FOLDER, FOLDER + CUSTOMER, FOLDER, FOLDER + "# later\n"):
        test_control._put_file(fake, text)
        _merger.Session(fake).merge()
        node = control.Node(fakes.member("new"))
        _source.StoreSource(fake, node).read()
        demanded.append(node.applied.config.demands_keys)
    test_control._put_file(fake, FOLDER.replace("slots = 1", "slots = 2"))
    session = _merger.Session(fake)
    session.merge()
    assert demanded == [False, True, True, True]
    assert config.Config(session._base.items).demands_keys
