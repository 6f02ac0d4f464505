"""Hedged requests for late answers: delay, limit, conditions and choice."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import random
import socket
import threading
import time
import typing

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import clock
from chiveroad import control
from chiveroad import errors
from chiveroad import hedging
from chiveroad.hedging import _conditions
from chiveroad import metrics
from chiveroad import presence
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _call
from chiveroad.traffic import _claims
from chiveroad.traffic import _entry
from chiveroad.traffic import _guard
from chiveroad.traffic import _retry_budget
from chiveroad import wire
from standins import mesh
from tests import fakes
from tests import test_exchange
from tests import test_reach

_PORTS = mesh.Ports()
KEY: hedging.Key = ("glade", "read", "DOMAIN")
FREE = hedging.Option("a", "d1", 0, 1, 4, 0.5, 20.0, True)
CALM = hedging.Situation(False, True, False, False, (FREE,))


def situation(**changes: typing.Any) -> hedging.Situation:
    """Return a situation that permits a hedge, with some changes."""
    return dataclasses.replace(CALM, **changes)


def option(**changes: typing.Any) -> hedging.Option:
    """Return a suitable target, with some changes."""
    return dataclasses.replace(FREE, **changes)


# Guards against hedges that take capacity from other requests, that nobody
# waits for, or that can't be faster than the first attempt.
@pytest.mark.parametrize(
    ("now", "denial"),
    [
        (situation(), None),
        (situation(caller_left=True), hedging.Denial.CALLER),
        (situation(attempts_left=False), hedging.Denial.ATTEMPTS),
        (situation(refusing=True), hedging.Denial.REFUSALS),
        (situation(slow=True), hedging.Denial.SLOW),
        (situation(options=(option(load=3),)), hedging.Denial.BUSY),
        # A queue at one target doesn't fill the slots of the others.
        (situation(options=(option(load=40), FREE, FREE, FREE)), None),
        # An old report says nothing, neither of load nor of capacity.
        (situation(options=(option(heard_s=9.0),)), hedging.Denial.BUSY),
        (situation(options=(option(load=4, heard_s=9.0), FREE)), None),
    ],
)
def test_hedge_is_denied_without_capacity_or_benefit(
    now: hedging.Situation, denial: hedging.Denial | None
) -> None:
    assert hedging.find_denial(now) is denial


# Guards against a hedge at a target with the same trouble or without room.
@pytest.mark.parametrize(
    ("options", "chosen"),
    [
        ([option()], "a"),
        ([option(usable=False)], hedging.Denial.TARGET),
        ([option(load=4)], hedging.Denial.TARGET),
        ([option(load=9, heard_s=9.0)], "a"),
        ([option(instance="old", heard_s=9.0, load=0), option(load=2)], "a"),
        ([option(instance="late")], hedging.Denial.TARGET),
        ([option(failure_domain="late")], hedging.Denial.TARGET),
        ([option(service_ms=300.0)], hedging.Denial.TIME),
        ([option(instance="far", distance=2, load=0), option()], "a"),
        ([option(instance="busy", load=3), option()], "a"),
        ([option(load=4), option(instance="far", distance=2)], "far"),
    ],
)
def test_nearest_target_with_a_free_slot_is_chosen(
    options: list[hedging.Option], chosen: str | hedging.Denial
) -> None:
    found = hedging.choose(
        situation(options=options),
        ({"late"}, {"late"}),
        200.0,
        random.Random(1),
    )
    if isinstance(found, hedging.Option):
        assert found.instance == chosen
    else:
        assert found is chosen


def test_delay_follows_the_latencies_of_the_kind_and_forgets_old_ones() -> (
    None
):
    """Guards against a delay from other kinds, too few or old latencies."""
    delays = hedging.Delays(0.98)
    for number in range(19):
        delays.record(KEY, 300.0 if number == 5 else 100.0, 1.0)
    assert delays.delay_ms(KEY, 1.0) is None
    delays.record(KEY, 100.0, 1.0)
    assert delays.delay_ms(KEY, 1.0) == pytest.approx(300.0, rel=0.02)
    # Of enough latencies the quantile counts, not the greatest.
    for _ in range(80):
        delays.record(KEY, 100.0, 1.0)
    assert delays.delay_ms(KEY, 1.6) == pytest.approx(150.0, rel=0.02)
    # A pause that more requests meet than can be hedged isn't usual.
    for _ in range(10):
        delays.record(KEY, 900.0, 1.0)
    assert delays.delay_ms(KEY, 2.5) == pytest.approx(300.0, rel=0.02)
    other: hedging.Key = ("glade", "write", "DOMAIN")
    assert delays.delay_ms(other, 1.6) is None
    for _ in range(60):
        delays.record(KEY, 20.0, 32.0)
        delays.record(other, 1.0, 32.0)
    # The latencies differ little, so the delay is a multiple of the median.
    later_s = 63.0
    delays.record(KEY, 20.0, later_s)
    assert delays.delay_ms(KEY, later_s) == pytest.approx(30.0, rel=0.02)
    assert delays.delay_ms(other, later_s) == 5.0
    assert delays.delay_ms(KEY, later_s + 100.0) is None


def test_delays_are_kept_of_a_bounded_number_of_kinds() -> None:
    """Guards against memory that grows with the kinds ever seen."""
    delays = hedging.Delays(0.95)
    for number in range(200):
        for _ in range(20):
            delays.record(("glade", str(number), ""), 10.0, 1.0)
    known = [
        delays.delay_ms(("glade", str(number), ""), 2.0) is not None
        for number in range(200)
    ]
    assert sum(known) == 128
    delays.record(("glade", "new", ""), 10.0, 100.0)
    assert len(delays._aged) == 1


def watched(
    instance: str, sent_s: float = 0.0, domain: str = "d1"
) -> hedging.Watched:
    """Return a request that is late after 100 ms."""
    return hedging.Watched("glade", instance, domain, sent_s, 100.0)


def test_service_is_slow_if_others_are_late_now_or_nothing_is_known() -> None:
    """Guards against hedging because everything is slow at present."""
    conditions = hedging.Conditions()
    own = watched("a", 9.0)
    conditions.sent(own)
    assert conditions.is_slow(own, 9.2)
    for _ in range(4):
        conditions.answered(watched("b", 9.0), 9.05)
    assert not conditions.is_slow(own, 9.2)
    other, third = watched("b", 9.05), watched("c", 9.05, "d2")
    conditions.sent(other)
    assert not conditions.is_slow(own, 9.1)
    assert not conditions.is_slow(own, 9.2)
    conditions.sent(third)
    assert conditions.is_slow(own, 9.2)
    conditions.ended(third)
    assert not conditions.is_slow(own, 9.2)
    conditions.answered(third, 9.3)
    assert conditions.is_slow(own, 9.3)
    # The answers that came on time are too long ago.
    assert conditions.is_slow(own, 11.2)


def test_refusals_mean_a_lack_of_capacity_for_a_while() -> None:
    """Guards against hedging while guards of the service are full."""
    conditions = hedging.Conditions()
    for _ in range(10):
        conditions.answered(watched("a", 1.0), 1.0)
    assert not conditions.is_refusing("glade", 1.0)
    conditions.refused("glade", 1.0)
    assert not conditions.is_refusing("glade", 1.0)
    conditions.refused("glade", 2.0)
    assert conditions.is_refusing("glade", 2.0)
    assert conditions.is_refusing("glade", 3.9)
    assert not conditions.is_refusing("glade", 4.1)
    assert not conditions.is_refusing("dell", 2.0)


def test_trouble_is_of_targets_with_late_requests_and_of_their_domain() -> (
    None
):
    """Guards against a hedge in the failure domain that is slow."""
    conditions = hedging.Conditions()
    own = watched("a", 1.0)
    conditions.sent(own)
    conditions.sent(watched("a", 1.0))
    assert conditions.troubled(own, 1.2) == ({"a"}, set())
    conditions.sent(watched("b", 1.0))
    assert conditions.troubled(own, 1.05) == ({"a"}, set())
    assert conditions.troubled(own, 1.2) == ({"a", "b"}, {"d1"})
    unknown = hedging.Watched("glade", "c", "d2", 0.0, clock.NEVER_S)
    conditions.sent(unknown)
    assert "c" not in conditions.troubled(own, 9.0)[0]


WORK_S: typing.Final = 0.05
"""How long a usual request runs, which makes the delay 75 ms or more."""

USUAL: typing.Final = 30
"""How many requests are sent before the late one: from 20 on the delay is
known."""

SERVICES: typing.Final = ("glade", "dell")


@hypothesis.given(
    st.floats(0.0, 0.5),
    st.floats(0.0, 1.0),
    st.lists(
        st.tuples(
            st.sampled_from(["request", "hedge", "retry", "pause"]),
            st.sampled_from(SERVICES),
            st.integers(1, 30),
        ),
        max_size=80,
    ),
)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_extra_work_never_exceeds_the_limit_or_the_retry_budget(
    share: float, ratio: float, events: list[tuple[str, str, int]]
) -> None:
    """Guards against more hedges than operators allow, whatever comes.

    Hedges are at most the share of the requests since the start.  In any
    period they are at most the share of its requests, plus those saved up.
    Together with retries they stay within the retry budget.
    """
    now = fakes.Clock()
    window_s, slack, daemons = 10.0, 8.0, 8
    budget = _retry_budget.RetryBudget(
        _retry_budget.Terms(ratio, window_s, slack), lambda: daemons, now
    )
    limit = hedging.Limit(share)
    trace: list[tuple[float, str, str]] = []
    for event, service, times in events:
        for _ in range(times):
            if event == "request":
                budget.count(service)
                limit.count(service)
            elif event == "pause":
                now.now_s += 0.3
                break
            elif event == "retry":
                if not budget.spend(service):
                    break
            elif limit.take(service, lambda: budget.spend(service)):
                break
            trace.append((now.now_s, event, service))
    for service in SERVICES:
        own = [each for each in trace if each[2] == service]
        requests, hedges = 0, 0
        surplus = lowest = 0.0
        for _, event, _ in own:
            requests += event == "request"
            hedges += event == "hedge"
            assert hedges <= share * requests + 1e-6
            surplus = hedges - share * requests
            lowest = min(lowest, surplus)
            assert surplus - lowest <= 2.0 + share + 1e-6
        for at_s, _, _ in own:
            recent = [
                event for s, event, _ in own if at_s - window_s < s <= at_s
            ]
            extra = recent.count("hedge") + recent.count("retry")
            # The budget's window may be one tenth longer than its length.
            longer = [
                event
                for s, event, _ in own
                if at_s - 1.2 * window_s < s <= at_s
            ]
            total = longer.count("request")
            assert extra <= ratio * total + slack / daemons + 1e-6


class _Guards(serving.Handler):
    """Guards of free targets.

    The next ``late`` requests run for ``late_s``, unless they are withdrawn.
    The requests after the first of them are refused if ``refusing`` is set.
    """

    def __init__(self, late_s: float = 3.0, refusing: bool = False) -> None:
        self.late = 0
        self.received = 0
        self.served = 0
        self.withdrawn = threading.Semaphore(0)
        self._late_s = late_s
        self._refusing = refusing

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path == _guard.PROBE_PATH:
            request.answer(204, (), b"")
            return
        self.received += 1
        if self.late:
            self.late -= 1
            self._run_late(request)
        elif self._refusing and self.received > USUAL:
            raise errors.Overloaded("full", 200)
        else:
            time.sleep(WORK_S)
        self.served += 1
        state = [
            (_call.REQUEST, request.header(_call.REQUEST)),
            (_call.LOAD, "0 8 5"),
        ]
        request.answer(200, state, b"done")

    def _run_late(self, request: serving.Request) -> None:
        end_s = time.monotonic() + self._late_s
        while time.monotonic() < end_s:
            if serving.is_disconnected(request.socket):
                self.withdrawn.release()
                raise errors.CallerDisconnected("the entry left")
            time.sleep(0.01)


@contextlib.contextmanager
def running_entry(
    share: float, *guards: str
) -> typing.Iterator[tuple[str, _entry.Entry, metrics.Recorder]]:
    """Run an entry for some guards with a limit on hedges."""
    address = _PORTS.take()
    recorder = metrics.Recorder()
    options = msgspec.structs.replace(
        fakes.options("entry", "other", entry=address),
        hedging=settings.Hedging(share),
    )
    entry = _entry.Entry(
        options,
        test_reach._applied(),
        test_reach._view(*guards),
        typing.cast(_guard.Guard, None),
        recorder,
        wire.Native(),
    )
    server = serving.Server(address, entry, 32)
    server.open()
    yield address, entry, recorder
    server.stop()


@dataclasses.dataclass
class _Outcome:
    """What a late request has caused.

    ``counts`` are the hedges by outcome and ``spent`` the retries that were
    taken from the budget, both of the late request only.
    """

    guards: _Guards
    counts: dict[str, int]
    spent: float


def hedge_counts(recorder: metrics.Recorder) -> collections.Counter[str]:
    """Return the counts of hedges by outcome."""
    return collections.Counter(
        {
            label: count
            for (name, label), count in recorder.counts().items()
            if name == "chiveroad.entry.hedges"
        }
    )


def late_read(
    share: float,
    path: str = "/read",
    guards: _Guards | None = None,
    late: int = 1,
    leave_after_s: float | None = None,
) -> _Outcome:
    """Send usual requests and then a late one through an entry.

    :param late: how many attempts are late.
    :param leave_after_s: when the caller disconnects, if it does.
    """
    guards = guards or _Guards()
    with contextlib.ExitStack() as stack:
        addresses = [
            stack.enter_context(test_reach.running_guard(guards))
            for _ in range(3)
        ]
        address, entry, recorder = stack.enter_context(
            running_entry(share, *addresses)
        )
        # The test isn't the entry's own target.
        entry._own_host = "127.0.0.9"
        for _ in range(USUAL):
            assert test_reach.get(address, path)[0] == 200
        before = hedge_counts(recorder)
        left = entry.retries_left()["glade"]
        # Hedges of usual requests on a busy machine aren't of interest.
        guards.received, guards.late = USUAL, late
        if leave_after_s is None:
            assert test_reach.get(address, path)[0] in (200, 504)
        else:
            host, _, port = address.rpartition(":")
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(
                    b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path.encode()
                )
                time.sleep(leave_after_s)
            for _ in range(late):
                assert guards.withdrawn.acquire(timeout=2.0)
        # The request itself adds to the budget, too.
        spent = left + 0.5 * 0.2 - entry.retries_left()["glade"]
    counts = hedge_counts(recorder)
    counts.subtract(before)
    return _Outcome(guards, dict(+counts), spent)


@pytest.fixture
def calm_service(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ignore how late other requests are, on a machine that is busy."""
    monkeypatch.setattr(_conditions.Conditions, "is_slow", lambda *_: False)


@pytest.mark.usefixtures("calm_service")
def test_late_request_is_answered_by_a_hedge_and_withdrawn() -> None:
    """Guards against a slow target that makes its callers wait.

    The hedge is taken from the limit and from the retry budget, and the
    first attempt's connection is closed.
    """
    outcome = late_read(0.5)
    assert outcome.guards.withdrawn.acquire(timeout=2.0)
    assert outcome.counts == {"sent": 1, "won": 1}
    assert outcome.spent == pytest.approx(1.0)


@pytest.mark.usefixtures("calm_service")
def test_refused_hedge_leaves_the_first_attempt_as_it_is() -> None:
    """Guards against extra work beyond the one hedge, and a lost answer."""
    guards = _Guards(late_s=0.6, refusing=True)
    outcome = late_read(0.5, guards=guards)
    assert outcome.counts == {"sent": 1, "lost": 1}
    assert (guards.received - USUAL, guards.served - USUAL) == (2, 1)
    assert outcome.spent == pytest.approx(1.0)


@pytest.mark.usefixtures("calm_service")
def test_both_attempts_are_withdrawn_when_the_caller_leaves() -> None:
    """Guards against a hedge that runs on for a caller that has left."""
    outcome = late_read(0.5, late=2, leave_after_s=0.6)
    assert outcome.counts == {"sent": 1, "lost": 1}


@pytest.mark.parametrize(("share", "path"), [(0.0, "/read"), (0.5, "/write")])
def test_request_is_not_hedged_if_off_or_not_idempotent(
    share: float, path: str
) -> None:
    """Guards against a hedge that isn't enabled, or runs a request twice."""
    outcome = late_read(share, path)
    assert outcome.counts == {}
    assert outcome.spent == pytest.approx(0.0)
    assert outcome.guards.received - USUAL == 1


def test_guard_drops_a_waiting_request_whose_caller_has_left() -> None:
    """Guards against running a withdrawn hedge that was still queued."""
    guard = _guard.Guard(
        fakes.options(),
        control.Applied(threading.Condition(), confirmed_only=False),
        typing.cast(_claims.Claims, None),
        metrics.Recorder(),
        wire.Native(),
        presence.LocalTarget("127.0.0.1:4"),
    )
    guard._admission.running = _guard._FALLBACK_LIMITS.slots
    ours, theirs = socket.socketpair()
    received = typing.cast(serving.Request, _Received(ours))
    leaving = threading.Timer(0.1, theirs.close)
    leaving.start()
    with ours, pytest.raises(errors.CallerDisconnectedEarly) as caught:
        guard._admit(test_exchange.call(), received)
    leaving.join()
    assert caught.value.ran == "no"
    assert guard.waiting == 0


@dataclasses.dataclass
class _Received:
    """The connection that a request came on."""

    socket: socket.socket
