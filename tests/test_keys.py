"""Customers' keys: who is admitted, and what a target gets."""

from __future__ import annotations

import dataclasses
import random
import socket
import threading
import time
import typing

import msgspec
import pytest

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad.control import _follower
from chiveroad import customers
from chiveroad.customers import _identity
from chiveroad import errors
from chiveroad import platform
from chiveroad import settings
from chiveroad.traffic import _claims
from tests import keyed

TOKEN: typing.Final = f"Authorization: Token {keyed.KEY}"
FORGED: typing.Final = "X-Tenant: horn"


def _any_case(text: str, seed: int) -> str:
    pick = random.Random(seed).choice
    return "".join(pick((each.lower(), each.upper())) for each in text)


# Guards against a key that is admitted, or refused with another status, as it
# is written in another form.
@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/x", [TOKEN], 200),
        ("/x", [f"aUTHORIZATION: tOKEN {keyed.KEY}"], 200),
        ("/x", [f"Authorization:   Token   {keyed.KEY}  "], 200),
        ("/x", [f"Authorization: Token {keyed.KEY.upper()}"], 401),
        ("/x", [f"Authorization: Token\t{keyed.KEY}"], 401),
        ("/x", [f"Authorization: Bearer {keyed.KEY}"], 401),
        ("/x", [f"Authorization: {keyed.KEY}"], 401),
        ("/x", ["Authorization: Token"], 401),
        ("/x", ["Authorization:"], 401),
        ("/x", [], 401),
        ("/x", [FORGED], 401),
        ("/x", ["Authorization: Token unknown"], 401),
        ("/x", [f"Authorization: Token {keyed.KEY}, {keyed.KEY}"], 401),
        ("/x", [f"Authorization: Token {keyed.KEY}\xa0"], 401),
        ("/x", [f"Authorization: Token \xe9{keyed.KEY}"], 401),
        ("/x", [f"Authorization: Token {'k' * 16_384}"], 401),
        ("/x", [TOKEN, f"authorization: Token {keyed.OTHER_KEY}"], 400),
        ("/x", [TOKEN, TOKEN], 400),
        ("/x", [f"Authorization: Token {keyed.KEY}\x00"], 400),
        ("/x", [f"Authorization: Token\r\n {keyed.KEY}"], 400),
        ("/open", [], 200),
        ("/open", ["Authorization:"], 200),
        ("/open", [TOKEN], 200),
        ("/open", ["Authorization: Token unknown"], 401),
        ("/open", ["Authorization: Token"], 401),
        ("/open", [f"Authorization: Bearer {keyed.KEY}"], 401),
        ("/nowhere", [TOKEN], 200),
    ],
)
def test_only_a_whole_known_key_is_admitted(
    path: str, headers: list[str], status: int
) -> None:
    with keyed.daemons("a") as [daemon]:
        daemon.view.merge([daemon.member])
        answer = keyed.ask(daemon.entry_address, keyed.head_of(path, headers))
        assert keyed.status_of(answer) == status
        assert len(daemon.target.heads) == (status == 200)
        assert keyed.KEY not in answer and "unknown key" not in answer


# Guards against a key, or a customer's name that the caller has made up, that
# reaches a target on one of the paths to it.
@pytest.mark.parametrize("path", ["own", "peer", "retry", "hedge"])
@pytest.mark.parametrize("seed", range(3))
def test_target_gets_the_name_and_never_the_key(path: str, seed: int) -> None:
    forged = [
        f"{_any_case(name, seed)}: horn"
        for name in ("X-Tenant", "Chiveroad-Customer", "Chiveroad-Team")
    ]
    listed = [f"Connection: {_any_case('x-tenant', seed)}"]
    header = f"{_any_case('Authorization', seed)}: Token {keyed.KEY}"
    sent = keyed.head_of("/x", [*forged, header, *listed])
    with keyed.daemons("ab") as [own, peer]:
        members = {"own": [own], "peer": [peer]}.get(path, [own, peer])
        served = own if path == "own" else peer
        if path == "retry":
            own.target.answer = "503 Service Unavailable"
            own.target.extra = "X-Not-Executed: 1\r\n"
        silent = None
        if path == "hedge":
            members = [peer]
            silent = _Silent(own)
        own.view.merge(each.member for each in members)
        try:
            for _ in range(6 if path == "retry" else 1):
                answer = keyed.ask(own.entry_address, sent)
                assert keyed.status_of(answer) == 200
        finally:
            if silent is not None:
                silent.close()
        assert served.target.heads
        for head in (*own.target.heads, *peer.target.heads):
            assert keyed.header_of(head, "x-tenant") == ["tusk"]
            assert keyed.KEY not in head
            assert not keyed.header_of(head, "authorization")
            assert "chiveroad-" not in head.lower()


class _Silent:
    """A daemon that accepts a request, vanishes, and never answers it."""

    def __init__(self, own: keyed.Daemon) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        port = self._listener.getsockname()[1]
        near = msgspec.structs.replace(
            own.member,
            instance="silent",
            guard=f"127.0.0.1:{port}",
            target_id="i-silent",
        )
        own.view.merge([near])
        # The nearest target is picked first.
        own.entry._targets._picker.pick = self._pick  # type: ignore
        self._entry = own.entry
        self._stopped = threading.Event()
        for work in (self._vanish, self._probe):
            threading.Thread(target=work, daemon=True).start()

    @staticmethod
    def _pick(candidates: typing.Any) -> typing.Any:
        named = {each.instance: each for each in candidates}
        return named.get("silent") or next(iter(named.values()), None)

    def _vanish(self) -> None:
        accepted, _ = self._listener.accept()
        self._listener.close()
        self._stopped.wait(10)
        accepted.close()

    def _probe(self) -> None:
        while not self._stopped.wait(0.05):
            self._entry.probe()

    def close(self) -> None:
        """Close the connection that was accepted."""
        self._stopped.set()


# Guards against a call of a target that is refused for want of a key, or that
# reaches another target under a customer's name that its caller passed on.
@pytest.mark.parametrize("path", ["own", "peer"])
def test_call_of_a_target_needs_no_key_and_has_no_customer(path: str) -> None:
    with keyed.daemons("ab") as [own, peer]:
        served = own if path == "own" else peer
        own.view.merge([served.member])
        for headers, status in (
            ([], 200),
            ([FORGED], 200),
            (["Authorization: Token unknown"], 401),
        ):
            sent = keyed.head_of("/x", headers)
            answer = keyed.ask(own.entry_address, sent, keyed.TARGET_HOST)
            assert keyed.status_of(answer) == status
        assert len(served.target.heads) == 2
        for head in served.target.heads:
            assert not keyed.header_of(head, "x-tenant")


# Guards against a forged name that an entry passes on, as its configuration
# is older than the first one with customers, and its guard's isn't.
def test_guard_removes_a_forged_name_that_an_older_entry_lets_through() -> (
    None
):
    with keyed.daemons("ab") as [_, peer]:
        older = keyed.start("older")
        keyed.offer(older, keyed.specification((), number=3))
        older.view.merge([peer.member])
        sent = keyed.head_of("/x", [FORGED, TOKEN])
        answer = keyed.ask(older.entry_address, sent)
        for server in older.servers:
            server.stop()
        older.target.close()
        assert keyed.status_of(answer) == 200
        [head] = peer.target.heads
        assert not keyed.header_of(head, "x-tenant")
        assert keyed.KEY not in head


# Guards against deployments without customers that lose their callers' own
# Authorization headers.
def test_without_customers_credentials_are_passed_on() -> None:
    daemon = keyed.start("a")
    keyed.offer(daemon, keyed.specification(()))
    daemon.view.merge([daemon.member])
    sent = keyed.head_of("/x", [TOKEN, FORGED])
    answer = keyed.ask(daemon.entry_address, sent)
    for server in daemon.servers:
        server.stop()
    daemon.target.close()
    assert keyed.status_of(answer) == 200
    [head] = daemon.target.heads
    assert keyed.header_of(head, "x-tenant") == ["horn"]
    assert keyed.header_of(head, "authorization") == [f"Token {keyed.KEY}"]


# Guards against a removal of the last customer that revokes no key, and opens
# all routes instead.
def test_removal_of_the_last_customer_revokes_its_key() -> None:
    with keyed.daemons("a") as [daemon]:
        daemon.view.merge([daemon.member])
        keyed.offer(daemon, keyed.specification((), number=8))
        for headers in ([TOKEN], []):
            sent = keyed.head_of("/x", headers)
            answer = keyed.ask(daemon.entry_address, sent)
            assert keyed.status_of(answer) == 401
        sent = keyed.head_of("/open", [FORGED])
        assert keyed.status_of(keyed.ask(daemon.entry_address, sent)) == 200
        assert not keyed.header_of(daemon.target.heads[0], "x-tenant")


# Guards against a daemon without a configuration that serves, or answers that
# the key is unknown.
@pytest.mark.parametrize("headers", [[], [TOKEN]])
def test_without_a_configuration_requests_get_503(headers: list[str]) -> None:
    daemon = keyed.start("a")
    daemon.view.merge([daemon.member])
    sent = keyed.head_of("/open", headers)
    answer = keyed.ask(daemon.entry_address, sent)
    for server in daemon.servers:
        server.stop()
    daemon.target.close()
    assert keyed.status_of(answer) == 503
    assert "Retry-After" in answer


# Guards against requests with keys that are served after the bound, and
# others that are refused for it.
@pytest.mark.parametrize(
    ("fail_closed", "age_s", "statuses"),
    [
        (True, 0.0, (200, 200, 200)),
        (True, 4.2, (200, 200, 200)),
        (True, 4.4, (503, 200, 200)),
        (True, 5.0, (503, 200, 200)),
        (True, None, (503, 200, 200)),
        (False, 100.0, (200, 200, 200)),
        (False, None, (200, 200, 200)),
    ],
)
def test_keys_need_a_confirmation_and_nothing_else_does(
    fail_closed: bool, age_s: float | None, statuses: tuple[int, ...]
) -> None:
    with keyed.daemons("a", fail_closed) as [daemon]:
        daemon.view.merge([daemon.member])
        confirmed_s = None if age_s is None else clock.now_s() - age_s
        daemon.applied._confirmed_s = confirmed_s
        found = []
        for path, headers, source in (
            ("/x", [TOKEN], "127.0.0.1"),
            ("/open", [], "127.0.0.1"),
            ("/x", [], keyed.TARGET_HOST),
        ):
            sent = keyed.head_of(path, headers)
            answer = keyed.ask(daemon.entry_address, sent, source)
            found.append(keyed.status_of(answer))
        assert tuple(found) == statuses


class _Swapping:
    """Applies a version that revokes a key whenever it is looked at."""

    def __init__(self, applied: control.Applied, revoking: bytes) -> None:
        self._applied = applied
        self._revoking = revoking
        self._looks = 0

    def __getattr__(self, name: str) -> typing.Any:
        found = getattr(self._applied, name)
        if name in ("config", "confirmed_s"):
            self._looks += 1
            if self._looks == 1:
                keyed.offer(typing.cast(typing.Any, self), self._revoking)
        return found

    @property
    def applied(self) -> control.Applied:
        return self._applied


# Guards against a key that is looked up in an older version, once the newer
# one that revokes it has made that older version look confirmed.
def test_confirmation_of_a_newer_version_confirms_no_older_key() -> None:
    with keyed.daemons("a") as [daemon]:
        daemon.applied._confirmed_s = clock.now_s() - 60.0
        entry = daemon.entry
        revoking = keyed.specification(keyed.TENANTS[1:], number=8)
        route = daemon.applied.config.routes["keyed"]
        swapping = _Swapping(daemon.applied, revoking)
        entry._applied = typing.cast(control.Applied, swapping)
        with pytest.raises(errors.Refusal) as raised:
            entry._identify(route, customers.digest_key(keyed.KEY), False)
        assert isinstance(
            raised.value, (errors.KeyRefused, errors.KeyUnconfirmed)
        )


# Guards against a customer that gets the answer kept for another one's
# request, as both chose the same idempotency key.
def test_idempotency_keys_of_customers_are_apart() -> None:
    names = {
        _claims.claim_name("glade", "k", customer)
        for customer in ("", "tusk", "horn")
    }
    assert len(names) == 3
    assert _claims.claim_name("glade", "k", "") == _claims.claim_name(
        "glade", "k"
    )


# Guards against a configuration that is refused as a whole, since one field
# of a customer is null.
def test_absent_and_null_fields_of_a_customer_are_no_limits() -> None:
    null = {"name": "n", "api_keys": None, "rate_per_s": None, "burst": None}
    spec = keyed.specification([null, {"name": "m"}])
    version = platform.Protocol().read_version(msgspec.Raw(spec))
    read = config.Config(version.items)
    for name in "nm":
        assert read.customers[name] == config.Customer(name, ())


# Guards against a customer whose requests all fail, or that adds headers, as
# its name can't be sent in one.
def test_name_of_a_customer_can_be_sent_in_a_header() -> None:
    names = ["\u0141 & Co. 100%", "a\r\nX-Other: b"]
    tenants = [{"name": name, "api_keys": [name]} for name in names]
    version = platform.Protocol().read_version(
        msgspec.Raw(keyed.specification(tenants))
    )
    assert set(config.Config(version.items).customers) == {
        "%C5%81 & Co. 100%",
        "a%0D%0AX-Other: b",
    }


# Guards against a priority of a customer that doesn't take the place of its
# route's, and an absent one that does.
def test_priority_of_a_customer_precedes_the_one_of_the_route() -> None:
    version = platform.Protocol().read_version(
        msgspec.Raw(keyed.specification())
    )
    read = config.Config(version.items)
    kind = read.kind_of(read.routes["keyed"])
    tusk, horn = read.customers["tusk"], read.customers["horn"]
    assert customers.prioritize(kind, tusk).weight == 100
    assert customers.prioritize(kind, horn) == kind
    assert dataclasses.replace(kind, weight=97) == kind


# Guards against a margin that is shorter than the time by which an empty
# answer of a watch may be older than it seems.
def test_margin_covers_the_wait_of_a_watch() -> None:
    least_s = _follower.WATCH_VERSIONS_S + _follower.WAIT_ROUNDING_S
    assert _identity.CONFIRMATION_MARGIN_S >= least_s
    bounds = settings.Customers(fail_closed=True)
    now_s = time.monotonic()
    customers.check_confirmed(bounds, now_s - 3.9, now_s)
