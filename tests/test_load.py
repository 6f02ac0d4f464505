"""Where work goes: stated pace, patience, and moving on from busy targets."""

from __future__ import annotations

import itertools
import threading
import time
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import load
from chiveroad import membership
from chiveroad import platform
from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _moving
from chiveroad.traffic import _objective
from chiveroad.traffic import _targets
from chiveroad import wire
from standins import experiments
from standins import placement
from standins import placement_parts
from tests import fakes
from tests import test_policies

KIND = config.Kind(1, False, 2_000, 600, 2)


# Guards against a statement out of range that scales times, or ends a request
# with an exception of ``int``.
@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("2,0,6", wire.Load(2, 0, 6)),
        ("2, 0, 6, 100", wire.Load(2, 0, 6, 100)),
        ("2,0,6,250", wire.Load(2, 0, 6, 250)),
        ("2,0,6,10000", wire.Load(2, 0, 6, 10_000)),
        *(
            (f"2,0,6,{pace}", None)
            for pace in ("0", "-5", "10001", "9" * 5_000, "nan", "", "1e3")
        ),
        *((text, None) for text in ("", "2,0", "2,0,6,100,1", "2,\xb2,6")),
    ],
)
def test_load_statement_has_three_or_four_figures(
    text: str, expected: wire.Load | None
) -> None:
    def header(name: str, default: str) -> str:
        return text if name == "X-Server-Load" else default

    assert platform.Protocol().read_answer(200, header).load == expected


# Guards against a slow phase that outlasts its statement, or a jump of the
# expected times as it ends.
@hypothesis.given(
    st.integers(1, 10_000), st.floats(0, 1), st.floats(0.001, 0.1)
)
def test_pace_fades_to_the_usual_within_its_age(
    stated: int, age_s: float, step_s: float
) -> None:
    pace = load.Pace()
    assert pace.factor(5.0) == 1.0
    pace.learn(stated, 10.0)
    earlier, later = pace.factor(10 + age_s), pace.factor(10 + age_s + step_s)
    assert abs(later - 1) <= abs(earlier - 1) <= abs(stated / 100 - 1) + 1e-9
    assert pace.factor(10.61) == 1.0


def busy_guard(slots: int = 2, mean_ms: float = 100.0) -> _admission.Admission:
    """Return an admission with a known service time and no free slot."""
    state = _admission.Admission(
        _admission.Limits(slots, 10), _objective.ObjectiveFirst()
    )
    for _ in range(40):
        state.record_service_time("k", mean_ms)
    for _ in range(slots):
        state.offer(ticket(0.0), 0.0)
    return state


def ticket(
    now_s: float, patience_s: float = clock.NEVER_S
) -> _admission.Ticket:
    """Return a ticket that arrives now."""
    return _admission.Ticket(
        "t",
        "k",
        1,
        now_s + 2.0,
        now_s,
        now_s + 0.6,
        leave_s=now_s + patience_s,
    )


# Guards against a request that waits at a busy target against its terms, and
# against one that is refused although it may wait or a slot is free.
@pytest.mark.parametrize(
    ("patience_s", "pace", "waits"),
    [
        (clock.NEVER_S, 100, True),
        (0.0, 100, False),
        (0.04, 100, False),
        (0.06, 100, True),
        # At a slow pace the wait of 50 ms takes 125 ms.
        (0.06, 250, False),
        (0.13, 250, True),
    ],
)
def test_guard_refuses_at_once_what_may_not_wait_that_long(
    patience_s: float, pace: int, waits: bool
) -> None:
    state = busy_guard()
    state.pace.learn(pace, 0.0)
    offered = ticket(0.0, patience_s)
    state.offer(offered, 0.0)
    assert (offered in state.waiting) == waits
    if not waits:
        assert offered.refusal is not None and offered.refusal.impatient
    free = busy_guard()
    free.limits = _admission.Limits(3, 10)
    admitted = ticket(0.0, 0.0)
    free.offer(admitted, 0.0)
    assert admitted.admitted


# Guards against a request that stays in a queue after its patience has ended.
def test_waiting_request_leaves_when_its_patience_ends() -> None:
    state = busy_guard()
    offered, patient = ticket(0.0, 0.06), ticket(0.0)
    state.offer(offered, 0.0)
    state.offer(patient, 0.0)
    state.advance(0.059)
    assert not offered.decided.is_set()
    state.advance(0.06)
    assert offered.refusal is not None and offered.refusal.impatient
    assert state.waiting == [patient]


# Guards against times that are measured at a slow pace and count twice.
def test_pace_scales_expected_times() -> None:
    state = busy_guard(slots=2, mean_ms=100.0)
    state.pace.learn(200, 1.0)
    state.advance(1.0)
    assert state.pace_factor == 2.0
    running = busy_guard(slots=8, mean_ms=100.0)
    running.advance(0.25)
    slowed_ms = running.service_ms("k")
    running.pace.learn(250, 0.25)
    running.advance(0.25)
    # Their age of 250 ms is what the pace explains.
    assert running.service_ms("k") == pytest.approx(250)
    assert 100 < slowed_ms < 250


# Guards against moving requests around a service that has no capacity.
@hypothesis.given(st.integers(0, 40), st.integers(0, 40), st.integers(1, 8))
def test_number_of_impatient_tries(learnt: int, full: int, limit: int) -> None:
    full = min(full, learnt)
    tries = load.impatient_tries(learnt, full, limit)
    assert 0 <= tries < max(2, limit)
    if learnt >= 3:
        assert (tries == 0) == (full == learnt or limit == 1 and tries == 0)
        fewer_full = max(0, full - 1)
        assert tries <= load.impatient_tries(learnt, fewer_full, limit)


def test_old_report_fades_to_the_mean_load_of_the_service() -> None:
    stats = _balancer.TargetStats(since_s=-60.0)
    stats.record_load(6, 6, 10.0)
    assert stats.outstanding(10.0, 0.5) == 6
    assert stats.outstanding(10.0 + _balancer.FADE_S, 0.5) == 3
    stats.record_load(0, 6, 20.0)
    assert stats.outstanding(20.0, 0.5) == 0
    assert stats.outstanding(20.0 + _balancer.FADE_S, 0.5) == 3


# Guards against an upload that crosses to another domain for a small gain.
@pytest.mark.parametrize(
    ("body_bytes", "expected"), [(0, "other"), (60_000, "near")]
)
def test_bytes_of_a_body_keep_a_request_near(
    body_bytes: int, expected: str
) -> None:
    profile = _balancer.RequestProfile("k", 600, 1_000, body_bytes)
    candidates = []
    for name, distance, running in (
        ("near", _balancer.Distance.DOMAIN, 25),
        ("other", _balancer.Distance.REGION, 3),
    ):
        stats = _balancer.TargetStats(-100.0, running, slots=10)
        stats.service_ms["k"] = 200.0
        candidates.append(
            _balancer.candidate(name, distance, stats, 0.0, profile)
        )
    picked = _balancer.LeastWait().pick(candidates)
    assert picked is not None and picked.instance == expected


class _Body:
    length = 10
    buffered: bytes | None = b"0123456789"


class _Entry:
    """An entry's view of some targets of one service."""

    def __init__(self, count: int) -> None:
        changed = threading.Condition()
        applied = control.Applied(changed, confirmed_only=False)
        service = config.Service("glade", "t", 0, 10, 10, ("*",), {})
        items = dict([config.service_item(service)])
        applied.offer(1, config.digest(items), items)
        view = membership.View(changed)
        self.targets = _targets.Targets(fakes.options("e"), applied, view)
        self.members = [fakes.member(name) for name in "abcdefgh"[:count]]
        view.merge(self.members)
        self.call = typing.cast(typing.Any, object.__new__(_call.Call))
        self.call.service, self.call.kind_name = "glade", "k"
        self.call.kind, self.call.body = KIND, _Body()
        self.call.inner = False

    def learn(self, index: int, text: str) -> None:
        """Learn from a load header."""
        member = self.members[index]
        stats = self.targets.stats(member)
        self.targets.learn_load(member, stats, text, "k")

    def pick(self, *busy: str, enabled: bool = True) -> tuple[str, bool]:
        """Return the picked target, and whether the request may wait."""
        chosen, _ = _moving.pick(
            self.targets, self.call, busy, set(busy), enabled
        )
        return chosen.instance, self.call.patience_ms == clock.NEVER_S


def test_tries_move_on_and_the_last_waits_where_capacity_comes_first() -> None:
    entry = _Entry(4)
    assert not entry.pick()[1]
    assert entry.pick(enabled=False)[1]
    for index, queued in enumerate((20, 12, 30, 25)):
        entry.learn(index, f"{queued} 10 100")
    # All are full, so none is asked to refuse.
    assert {entry.pick() for _ in range(20)} == {("b", True)}
    assert entry.pick("b", "a")[0] == "b"
    entry.learn(3, "2 10 100")
    assert {entry.pick("b") for _ in range(20)} == {("d", False)}
    # With three of four full, two tries are asked to refuse.
    assert entry.pick("a", "b", "c") == ("d", True)
    entry.learn(3, "31 10 100")
    assert entry.pick("a", "b", "c", "d") == ("b", True)
    entry = _Entry(2)
    assert not entry.pick()[1]
    # The last of all targets may refuse, as there is another to wait at.
    assert entry.pick("a") == ("b", False)
    assert entry.pick("a", "b")[1]
    entry.call.body.buffered = None
    assert entry.pick()[1]
    assert _Entry(1).pick() == ("a", True)


def test_load_header_of_older_guards_is_read() -> None:
    entry = _Entry(1)
    stats = entry.targets.stats(entry.members[0])
    entry.learn(0, "3 10 100 250")
    now_s = time.monotonic()
    assert (stats.reported, stats.service_ms["k"]) == (3, 100)
    assert stats.pace.factor(now_s) == 2.5
    entry.learn(0, "4 10 120")
    assert stats.pace.factor(now_s) == 1.0
    entry.learn(0, "4 10 120 x")
    assert (stats.reported, stats.slots) == (4, 10)


def test_only_an_impatient_overload_counts_as_moved() -> None:
    call = _Entry(1).call
    call.patience_ms = 20.0
    assert _moving.was_moved(call, errors.Overloaded("busy"))
    assert not _moving.was_moved(call, errors.Draining("leaves"))
    call.patience_ms = clock.NEVER_S
    assert not _moving.was_moved(call, errors.Overloaded("busy"))


def _candidate(
    instance: str, distance: _balancer.Distance, busy: bool
) -> _balancer.Candidate:
    return _balancer.Candidate(instance, distance, 0.5, busy=busy)


# Guards against crowds of requests that cross to another region as nearer
# targets have just been full for some milliseconds.
@pytest.mark.parametrize(
    "near_busy, far_busy, expected",
    [
        ([False, True], [False], ["near-0", "far-0"]),
        ([True, True], [False], ["near-0", "near-1", "far-0"]),
        ([True], [True, False], ["near-0", "far-1"]),
        ([], [True], ["far-0"]),
    ],
)
def test_busy_targets_give_way_to_others_at_their_distance_only(
    near_busy: list[bool], far_busy: list[bool], expected: list[str]
) -> None:
    candidates = [
        _candidate(f"near-{n}", _balancer.Distance.DOMAIN, busy)
        for n, busy in enumerate(near_busy)
    ] + [
        _candidate(f"far-{n}", _balancer.Distance.REMOTE, busy)
        for n, busy in enumerate(far_busy)
    ]
    found = _balancer.without_busy(candidates)
    assert [each.instance for each in found] == expected


# Guards against ejections of sound targets while a service that they all
# call is full, and against a failing target that stays in use.
@pytest.mark.parametrize(
    "usual_share, failures, ejected",
    [(0.0, 2, False), (0.0, 3, True), (0.5, 3, False), (0.5, 40, True)],
)
def test_target_is_ejected_for_failing_more_than_its_peers(
    usual_share: float, failures: int, ejected: bool
) -> None:
    stats = _balancer.TargetStats(since_s=0.0)
    stats.peers.failure_share = usual_share
    for _ in range(failures):
        stats.record_failure(1.0)
        stats.peers.failure_share = usual_share
    assert (stats.ejected_until_s > 1.0) is ejected


# Guards against a greater weight that is served less than a lesser one, and
# against a lesser one that isn't served at all.
@pytest.mark.parametrize(
    ("greater", "lesser"), [(1.3, 0.5), (1.3, 0.05), (2.5, 1.0), (0.6, 0.9)]
)
def test_no_weight_is_starved_and_the_greater_is_served_more(
    greater: float, lesser: float
) -> None:
    capacity = test_policies.CAPACITY
    arrivals = [
        test_policies.poisson_arrivals(
            share * capacity, 20.0, str(weight), weight, seed
        )
        for weight, share, seed in ((5, greater, 8), (1, lesser, 9))
    ]
    mixed = sorted(itertools.chain(*arrivals), key=lambda pair: pair[0])
    test_policies.simulate(_objective.ObjectiveFirst(), mixed)
    more, less = (
        sum(ticket.admitted for _, ticket in tickets) / len(tickets)
        for tickets in arrivals
    )
    assert more >= less >= load.STARVED_RATIO / 2 * more


# Guards against a share that never ends to be starved, or of a weight that is
# preferred to a greater one that is served less.
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=600)
)
def test_starved_weights_have_been_served_less(
    events: list[tuple[int, bool]],
) -> None:
    shares = load.ServedShares()
    for weight, served in events:
        shares.offer(weight)
        if served:
            shares.serve(weight)
    assert not shares.is_starved(3)
    for weight in range(3):
        for _ in range(600 if shares.is_starved(weight) else 0):
            shares.serve(weight)
        assert not shares.is_starved(weight)


# Guards against late requests that fill the queue before those in time.
def test_late_request_gives_up_its_place_to_one_in_time() -> None:
    state = busy_guard(slots=2)
    state.limits = _admission.Limits(2, 2)
    late = [ticket(0.0), ticket(0.0)]
    for offered in late:
        offered.objective_s = 0.01
        state.offer(offered, 0.0)
    assert state.waiting == late
    third = ticket(0.1)
    third.objective_s = 0.11
    state.offer(third, 0.1)
    assert third.refusal is not None
    timely = ticket(0.1)
    state.offer(timely, 0.1)
    assert timely in state.waiting and len(state.waiting) == 2
    state.finish(next(iter(state._running)), 0.2)
    assert timely.admitted


# Guards against a decision that loses requests, and against moves that are
# worth less than they cost.
@pytest.mark.parametrize(
    "pattern",
    [
        placement_parts.Load(0.8, wave=0.55, seconds=2.0),
        placement_parts.Load(0.75, inner_share=0.4, seconds=2.0),
    ],
)
def test_moves_and_pace_earn_more_than_they_cost(
    pattern: placement_parts.Load,
) -> None:
    tallies = [
        placement.Fleet(pattern, options, entries=16, targets=(12, 8)).run()
        for options in (experiments.BEFORE, placement_parts.Options())
    ]
    for tally in tallies:
        outcomes = sum(count for count, _, _ in tally.by_weight.values())
        assert tally.total == outcomes > 500
    before, after = tallies
    assert after.net > before.net
