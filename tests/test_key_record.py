"""Whether requests need keys outlasts processes and versions."""

from __future__ import annotations

import threading
import typing

import msgspec
import pytest

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad.control import _key_record
from chiveroad.control import _merger
from chiveroad.control import _messages
from chiveroad.control import _peer
from chiveroad.control import _source
from chiveroad import errors
from chiveroad import platform
from chiveroad import store
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


def _offer(applied: control.Applied, spec: bytes) -> None:
    version = platform.Protocol().read_version(msgspec.Raw(spec))
    digest = config.digest(version.items)
    applied.offer(version.number, digest, version.items)


def _start(
    fake: store.Store, spec: bytes, reads_store: bool = True
) -> tuple[control.Node, _key_record.KeyRecord]:
    """Return a daemon that has just started with a version."""
    node = control.Node(fakes.member("a"), recorded=True, keys_recorded=True)
    _offer(node.applied, spec)
    record = _key_record.KeyRecord(fake, node, lambda: reads_store)
    return node, record


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


# Guards against a version without a table of customers that opens the routes
# at daemons that start with it, when all have ended.
@pytest.mark.parametrize("last", [NO_TABLE, EMPTY_TABLE])
def test_record_outlasts_all_processes(last: bytes) -> None:
    fake = fakes.FaultyStore()
    _, record = _start(fake, keyed.specification())
    record.tick()
    node, record = _start(fake, last)
    assert node.applied.ready is (last == EMPTY_TABLE)
    assert node.applied.demands_keys
    record.tick()
    assert node.applied.ready and node.applied.demands_keys


# Guards against deployments that never had customers and are refused, or that
# call the store for each request or tick.
def test_daemon_without_a_record_serves_without_keys() -> None:
    fake = fakes.FaultyStore()
    node, record = _start(fake, NO_TABLE)
    record.tick()
    assert node.applied.ready and not node.applied.demands_keys
    for _ in range(3):
        record.tick()
    assert fake.gets == 1


# Guards against a daemon that serves without keys as the store doesn't answer.
def test_daemon_is_not_ready_until_it_knows() -> None:
    fake = fakes.FaultyStore()
    _, record = _start(fake, keyed.specification())
    record.tick()
    fake.down = True
    node, record = _start(fake, NO_TABLE, reads_store=False)
    with pytest.raises(errors.StoreUnavailable):
        record.tick()
    assert not node.applied.ready and node.applied.demands_keys
    fake.down = False
    record.tick()
    assert node.applied.ready and node.applied.demands_keys


# Guards against a daemon that missed the versions with customers and goes on
# without keys.
def test_record_is_read_again_with_each_version() -> None:
    fake = fakes.FaultyStore()
    node, record = _start(fake, NO_TABLE)
    record.tick()
    _, other = _start(fake, keyed.specification(number=9))
    other.tick()
    record.tick()
    assert not node.applied.demands_keys
    _offer(node.applied, keyed.specification((), number=10))
    record.tick()
    assert node.applied.demands_keys


# Guards against a record that is lost when the store returns to an older copy,
# or when its answer is lost, or that is written by each daemon.
def test_record_is_written_once_in_each_era() -> None:
    fake = fakes.FaultyStore()
    before = fake.take_copy()
    fake.lose = 1
    _, record = _start(fake, keyed.specification())
    with pytest.raises(errors.StoreOutcomeUnknown):
        record.tick()
    _, follower = _start(fake, keyed.specification(), reads_store=False)
    _, other = _start(fake, keyed.specification())
    for each in (follower, other, record):
        each.tick()
    written = fake.get(store.Kind.KEYS, _key_record.NAME)
    assert written.version == fake.list(store.Kind.KEYS).version
    fake.restore(before)
    record.tick()
    node, started = _start(fake, NO_TABLE)
    started.tick()
    assert node.applied.demands_keys


class _Request:
    """A request to a control address."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def read_body(self, _: int) -> bytes:
        """Return the body."""
        return self._body

    def answer(self, *_: object) -> None:
        """Ignore the answer."""


# Guards against a daemon that gets its version from another one, and not that
# requests need keys.
@pytest.mark.parametrize("needed", [True, False])
@pytest.mark.parametrize("way", ["parent", "peer", "offer"])
def test_other_daemons_tell_whether_keys_are_needed(
    way: str, needed: bool
) -> None:
    fake = fakes.FaultyStore()
    if needed:
        _start(fake, keyed.specification())[1].tick()
    knowing, record = _start(fake, NO_TABLE)
    record.tick()
    node = control.Node(fakes.member("b"), recorded=True, keys_recorded=True)
    current = knowing.applied.current
    answer = _messages.ConfirmationAnswer(
        current.number,
        current.digest,
        snapshot=config.pack(current.config.items),
        keys_needed=knowing.applied.unstated_keys_needed,
    )
    if way == "offer":
        plane = typing.cast(typing.Any, None)
        handler = control.ControlHandler(node, plane)
        offer = _Request(_peer.snapshot_offer(knowing))
        handler._snapshot(typing.cast(typing.Any, offer))
    elif way == "peer":
        _source.adopt(node.applied, answer, clock.now_s(), {})
    else:
        sync = _messages.SyncAnswer(
            "s",
            1,
            answer.version,
            answer.digest,
            relay="",
            snapshot=answer.snapshot,
            keys_needed=answer.keys_needed,
        )
        _source.adopt(node.applied, sync, clock.now_s(), {})
    assert node.applied.ready
    assert node.applied.demands_keys is needed


# Guards against other bytes between daemons of deployments without keys, and
# against a daemon that forgets that keys are needed.
def test_need_of_keys_is_told_only_where_it_is_recorded() -> None:
    plain = control.Applied(threading.Condition(), confirmed_only=False)
    _offer(plain, NO_TABLE)
    assert plain.unstated_keys_needed is None and plain.ready
    recorded = control.Applied(
        threading.Condition(), confirmed_only=False, keys_recorded=True
    )
    _offer(recorded, keyed.specification())
    assert recorded.unstated_keys_needed is None
    _offer(recorded, NO_TABLE)
    assert recorded.unstated_keys_needed is True
    recorded.learn_keys_needed(False)
    assert recorded.demands_keys
