"""The decisions about requests: pick, admit, retry, claim."""

from __future__ import annotations

import dataclasses
import random
import typing

import hypothesis
import hypothesis.stateful as sf
import hypothesis.strategies as st
import pytest

from chiveroad import errors
from chiveroad import store
from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _claims
from chiveroad.traffic import _entry
from chiveroad.traffic import _retry
from chiveroad.traffic import _retry_budget
from tests import fakes

NEAR: typing.Final = _balancer.Distance.DOMAIN
REGION: typing.Final = _balancer.Distance.REGION
FAR: typing.Final = _balancer.Distance.REMOTE


def option(
    name: str,
    distance: _balancer.Distance = NEAR,
    load: float = 0.0,
    ejected: bool = False,
    blocked: bool = False,
) -> _balancer.Candidate:
    """Return a candidate."""
    return _balancer.Candidate(name, distance, load, ejected, blocked)


@pytest.mark.parametrize(
    ("options", "picked"),
    [
        ([], None),
        ([option("a")], "a"),
        ([option("a", load=0.9), option("b", load=0.1)], "b"),
        ([option("a", load=0.4), option("b", REGION)], "a"),
        ([option("a", load=0.9), option("b", REGION, 0.2)], "b"),
        ([option("a", load=0.9), option("b", FAR, 0.0)], "a"),
        ([option("a", load=1.5), option("b", FAR, 0.0)], "b"),
        ([option("b", FAR, 3.0)], "b"),
        ([option("a", ejected=True), option("b", load=5.0)], "b"),
        ([option("a", ejected=True)], "a"),
        ([option("a", blocked=True), option("b", FAR, 0.4)], "b"),
        ([option("a", blocked=True)], "a"),
    ],
)
def test_pick(options: list[_balancer.Candidate], picked: str | None) -> None:
    chosen = _balancer.pick(options, random.Random(1))
    assert (chosen.instance if chosen else None) == picked


options = st.builds(
    option,
    st.sampled_from("abcdef"),
    st.sampled_from(_balancer.Distance),
    st.floats(0, 3),
    st.booleans(),
    st.booleans(),
)


@hypothesis.given(st.lists(options, min_size=1, max_size=8), st.integers())
def test_pick_never_fails_and_keeps_to_the_floor(
    found: list[_balancer.Candidate], seed: int
) -> None:
    chosen = _balancer.pick(found, random.Random(seed))
    assert chosen in found
    ejected = sum(entry.ejected for entry in found)
    if chosen.ejected:
        assert ejected > _balancer.MAX_EJECTED_SHARE * len(found)


def test_a_track_fades_ramps_and_ejects() -> None:
    stats = _balancer.TargetStats(since_s=0.0, slots=10)
    cold = stats.load(stats.outstanding(0.0), 0.0)
    warm = stats.load(
        stats.outstanding(_balancer.SLOW_START_S), _balancer.SLOW_START_S
    )
    assert cold > 0.5 > warm == 0.0
    stats.record_load(10, 10, 20.0)
    assert stats.load(stats.outstanding(20.0), 20.0) >= 1.0
    assert (
        stats.load(
            stats.outstanding(20.0 + _balancer.FADE_S), 20.0 + _balancer.FADE_S
        )
        == 0.0
    )
    for _ in range(_balancer.EJECT_AFTER_FAILURES):
        stats.record_failure(30.0)
    assert _balancer.candidate("a", NEAR, stats, 30.0).ejected
    later_s = 30.0 + _balancer.EJECT_S
    assert not _balancer.candidate("a", NEAR, stats, later_s).ejected


def ticket(
    team: str = "t",
    weight: int = 1,
    deadline_s: float = 1_000.0,
    arrived_s: float = 0.0,
    kind: str = "k",
) -> _admission.Ticket:
    """Return a request at the guard."""
    return _admission.Ticket(team, kind, weight, deadline_s, arrived_s)


def guard(slots: int = 1, queue_length: int = 2) -> _admission.Admission:
    """Return a guard's state, its target busy with one request."""
    admission = _admission.Admission(_admission.Limits(slots, queue_length))
    admission.offer(ticket("busy", 5), 0.0)
    return admission


def outcome(entry: _admission.Ticket) -> str:
    """Return what became of a request."""
    if entry.admitted:
        return "admitted"
    return entry.refusal.reason if entry.refusal else "waits"


def test_weight_then_deadline_decides_who_is_next() -> None:
    admission = guard(queue_length=6)
    light = ticket(weight=1)
    late = ticket(weight=5, deadline_s=900.0)
    soon = ticket(weight=5, deadline_s=500.0)
    for entry in (light, late, soon):
        admission.offer(entry, 0.0)
    order = []
    running = [soon]
    for _ in range(3):
        admission.running = 0
        admission.running_by_team.clear()
        admission.advance(0.0)
        order.append([e for e in (light, late, soon) if e.admitted][-1])
    assert [outcome(e) for e in (light, late, soon)] == ["admitted"] * 3
    assert running


def test_a_full_queue_sheds_the_least_weighty() -> None:
    admission = guard(queue_length=2)
    light = [ticket("busy", 1), ticket("busy", 1)]
    for entry in light:
        admission.offer(entry, 0.0)
    weighty = ticket("busy", 9)
    admission.offer(weighty, 0.0)
    assert outcome(weighty) == "waits"
    assert sorted(map(outcome, light)) == [
        "shed for a weightier request",
        "waits",
    ]
    refused = next(e for e in light if e.refusal)
    assert refused.refusal
    assert refused.refusal.retry_after_ms >= _admission.MIN_RETRY_MS


def test_what_cannot_be_finished_in_time_is_refused_at_once() -> None:
    admission = guard()
    admission.record_service_time("k", 400.0)
    late = ticket("busy", deadline_s=0.5)
    admission.offer(late, 0.0)
    assert outcome(late) == "can't be finished in time"


def test_a_target_too_slow_is_tried_by_one_request_at_a_time() -> None:
    admission = _admission.Admission(_admission.Limits(4, 4))
    admission.record_service_time("k", 900.0)
    first, second = ticket(deadline_s=0.5), ticket(deadline_s=0.5)
    admission.offer(first, 0.0)
    admission.offer(second, 0.0)
    assert outcome(first) == "admitted"
    assert outcome(second) == "can't be finished in time"
    for _ in range(40):
        admission.record_service_time("k", 10.0)
    admission.finish(first, 0.0)
    for entry in (ticket(deadline_s=0.5), ticket(deadline_s=0.5)):
        admission.offer(entry, 0.0)
        assert outcome(entry) == "admitted"


def test_a_flood_of_one_team_leaves_room_for_another() -> None:
    admission = guard(queue_length=4)
    flood = [ticket("flood", 9) for _ in range(8)]
    for entry in flood:
        admission.offer(entry, 0.0)
    other = ticket("other", 1)
    admission.offer(other, 0.0)
    assert outcome(other) == "waits"
    assert sum(outcome(entry) == "waits" for entry in flood) <= 2


class AdmissionMachine(sf.RuleBasedStateMachine):
    """Any order of arrivals, ends, hang-ups and changes of the limits."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = _admission.Admission(_admission.Limits(2, 3))
        self.clock = fakes.Clock()
        self.tickets: list[_admission.Ticket] = []

    @sf.rule(
        team=st.sampled_from("ab"),
        weight=st.integers(1, 3),
        left_s=st.sampled_from([0.01, 0.1, 5.0]),
    )
    def arrive(self, team: str, weight: int, left_s: float) -> None:
        """A request arrives."""
        entry = ticket(
            team, weight, self.clock.now_s + left_s, self.clock.now_s
        )
        self.tickets.append(entry)
        self.admission.offer(entry, self.clock.now_s)

    @sf.rule(took_ms=st.sampled_from([1.0, 30.0]))
    def finish(self, took_ms: float) -> None:
        """The oldest running request ends."""
        running = [entry for entry in self.tickets if entry.admitted]
        if running:
            self.tickets.remove(running[0])
            self.admission.record_service_time(running[0].kind, took_ms)
            self.admission.finish(running[0], self.clock.now_s)

    @sf.rule()
    def hang_up(self) -> None:
        """The last waiting request is withdrawn."""
        if self.admission.waiting:
            entry = self.admission.waiting[-1]
            assert self.admission.withdraw(entry)
            self.tickets.remove(entry)

    @sf.rule(seconds=st.sampled_from([0.01, 1.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.clock.now_s += seconds
        self.admission.advance(self.clock.now_s)

    @sf.rule(slots=st.integers(1, 3))
    def change_limits(self, slots: int) -> None:
        """The service's team changes the slots."""
        self.admission.limits = _admission.Limits(slots, 3)

    @sf.invariant()
    def counts_are_exact(self) -> None:
        """Slots are counted exactly, and every request has one state."""
        admitted = [entry for entry in self.tickets if entry.admitted]
        waiting = [e for e in self.tickets if not e.decided.is_set()]
        assert self.admission.running == len(admitted)
        assert sum(self.admission.running_by_team.values()) == len(admitted)
        assert self.admission.waiting == waiting
        assert len(admitted) <= 3
        assert len(waiting) <= 3
        assert not any(e.admitted and e.refusal for e in self.tickets)

    @sf.invariant()
    def no_slot_is_left_idle(self) -> None:
        """Nobody waits while a slot is free, but for changed limits."""
        if self.admission.waiting and self.admission.limits.slots <= 2:
            assert self.admission.running >= 1


def test_admission_machine() -> None:
    sf.run_state_machine_as_test(
        AdmissionMachine, settings=hypothesis.settings(max_examples=200)
    )


FAILURE: typing.Final = _retry.Failure(
    ran="no",
    tries=1,
    sent=1,
    idempotent=False,
    outermost=True,
    replayable=True,
    answer_begun=False,
    left_ms=100.0,
    max_attempts=2,
)
RETRY: typing.Final = _retry.Decision.RETRY
GIVE_UP: typing.Final = _retry.Decision.GIVE_UP


@pytest.mark.parametrize(
    ("changes", "budget", "decision"),
    [
        ({}, True, RETRY),
        ({}, False, GIVE_UP),
        ({"ran": "unknown"}, True, GIVE_UP),
        ({"ran": "unknown", "idempotent": True}, True, RETRY),
        (
            {"ran": "unknown", "idempotent": True, "outermost": False},
            True,
            GIVE_UP,
        ),
        ({"outermost": False}, True, RETRY),
        ({"tries": _retry.MAX_TRIES}, True, GIVE_UP),
        ({"sent": 0, "tries": 3}, True, RETRY),
        ({"sent": 2}, True, GIVE_UP),
        ({"replayable": False}, True, GIVE_UP),
        ({"answer_begun": True}, True, GIVE_UP),
        ({"left_ms": 0.0}, True, GIVE_UP),
    ],
)
def test_retry_decision(
    changes: dict[str, object], budget: bool, decision: _retry.Decision
) -> None:
    failure = dataclasses.replace(FAILURE, **changes)  # type: ignore[arg-type]
    assert _retry.decide(failure, budget) is decision


def test_the_budget_is_a_share_of_requests_and_a_part_of_the_slack() -> None:
    clock = fakes.Clock()
    terms = _retry_budget.Terms(ratio=0.2, window_s=10.0, slack=32.0)
    budget = _retry_budget.RetryBudget(terms, lambda: 16, clock)
    assert budget.spend("glade")
    assert not budget.spend("glade")
    for _ in range(10):
        budget.count("glade")
    assert budget.spend("glade")
    assert not budget.spend("glade")
    assert budget.spend("hollow")
    clock.now_s += 12.0
    assert budget.spend("glade")
    assert not budget.spend("glade")


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 2)),
        max_size=300,
    )
)
def test_daemons_together_stay_within_the_whole_budget(
    events: list[tuple[int, bool, float]],
) -> None:
    """Whatever each takes and spends, no window is over the budget.

    The requests that count are the more of two windows, as a window that
    slides may begin at any moment.
    """
    clock = fakes.Clock()
    terms = _retry_budget.Terms(ratio=0.2, window_s=10.0, slack=20.0)
    budgets = [
        _retry_budget.RetryBudget(terms, lambda: 4, clock) for _ in range(4)
    ]
    requests: list[float] = []
    retries: list[float] = []
    for daemon, is_request, pause_s in events:
        clock.now_s += pause_s
        now_s = clock.now_s
        if is_request:
            budgets[daemon].count("glade")
            requests.append(now_s)
        elif budgets[daemon].spend("glade"):
            retries.append(now_s)
        spent = sum(at_s > now_s - 10.0 for at_s in retries)
        seen = sum(at_s > now_s - 20.0 for at_s in requests)
        assert spent <= 0.2 * seen + 20.0


NO: typing.Final = errors.Overloaded("full", 50)
UNKNOWN: typing.Final = errors.AnswerTruncated("cut")
NOBODY: typing.Final = errors.NoTarget("none", 1_000)


@pytest.mark.parametrize(
    ("before", "now", "told"),
    [
        (None, NO, NO),
        (NO, NOBODY, NO),
        (UNKNOWN, NO, UNKNOWN),
        (UNKNOWN, NOBODY, UNKNOWN),
        (NO, UNKNOWN, UNKNOWN),
    ],
)
def test_a_refusal_never_forgets_that_a_try_may_have_run(
    before: errors.Refusal | None, now: errors.Refusal, told: errors.Refusal
) -> None:
    assert _entry._worse(before, now) is told


MINE: typing.Final = _claims.Claim("s", "f", "mine", "g", 1_000, 2_000)
KEPT: typing.Final = _claims.KeptAnswer(200, [], "")


@pytest.mark.parametrize(
    ("found", "now_ms", "expected"),
    [
        ({"fingerprint": "other"}, 1_500, errors.KeyReused),
        ({"answer": KEPT, "answered": True}, 1_500, _claims.KeptAnswer),
        ({}, 1_500, errors.KeyInProgress),
        ({}, 2_000, errors.KeyOutcomeUnknown),
        ({"answered": True}, 1_500, errors.KeyOutcomeUnknown),
    ],
)
def test_what_a_claimed_key_gets(
    found: dict[str, object], now_ms: int, expected: type[object]
) -> None:
    values = {**dataclass_values(MINE), "attempt": "theirs", **found}
    claim = _claims.Claim(**values)  # type: ignore[arg-type]
    assert isinstance(_claims.resolve_duplicate(claim, MINE, now_ms), expected)


def test_collecting_deletes_the_expired_and_passes_over_the_unreadable() -> (
    None
):
    platform = fakes.FaultyStore()
    claims = store.Kind.CLAIMS
    platform.put(claims, "ab-odd", ["odd"], store.ABSENT)
    platform.put(claims, "ab-old", MINE, store.ABSENT)
    now_ms = MINE.started_at_ms + _claims.KEEP_S * 1000
    assert _claims.collect(platform, "ab", now_ms) == 0
    assert _claims.collect(platform, "ab", now_ms + 1) == 1
    left = [item.name for item in platform.list(claims).objects]
    assert left == ["ab-odd"]


def dataclass_values(claim: _claims.Claim) -> dict[str, object]:
    """Return the fields of a claim."""
    return {name: getattr(claim, name) for name in claim.__struct_fields__}
