"""Balancing, admission control, retry decisions, retry budget and claims."""

from __future__ import annotations

import dataclasses
import random
import threading
import typing

import hypothesis
import hypothesis.stateful as sf
import hypothesis.strategies as st
import pytest

from chiveroad import errors
from chiveroad import store
from chiveroad.traffic import _admission
from chiveroad.traffic import _attempts
from chiveroad.traffic import _balancer
from chiveroad.traffic import _claims
from chiveroad.traffic import _objective
from chiveroad.traffic import _rate_limit
from chiveroad.traffic import _retry
from chiveroad.traffic import _retry_budget
from chiveroad import wire
from tests import fakes

DOMAIN: typing.Final = _balancer.Distance.DOMAIN
REGION: typing.Final = _balancer.Distance.REGION
REMOTE: typing.Final = _balancer.Distance.REMOTE


def make_candidate(
    name: str,
    distance: _balancer.Distance = DOMAIN,
    load: float = 0.0,
    ejected: bool = False,
    blocked: bool = False,
) -> _balancer.Candidate:
    """Return a candidate."""
    return _balancer.Candidate(name, distance, load, ejected, blocked)


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ([], None),
        ([make_candidate("a")], "a"),
        ([make_candidate("a", load=0.9), make_candidate("b", load=0.1)], "b"),
        ([make_candidate("a", load=0.4), make_candidate("b", REGION)], "a"),
        (
            [make_candidate("a", load=0.9), make_candidate("b", REGION, 0.2)],
            "b",
        ),
        (
            [make_candidate("a", load=0.9), make_candidate("b", REMOTE, 0.0)],
            "a",
        ),
        (
            [make_candidate("a", load=1.5), make_candidate("b", REMOTE, 0.0)],
            "b",
        ),
        ([make_candidate("b", REMOTE, 3.0)], "b"),
        (
            [make_candidate("a", ejected=True), make_candidate("b", load=5.0)],
            "b",
        ),
        ([make_candidate("a", ejected=True)], "a"),
        (
            [
                make_candidate("a", blocked=True),
                make_candidate("b", REMOTE, 0.4),
            ],
            "b",
        ),
        ([make_candidate("a", blocked=True)], "a"),
    ],
)
def test_pick_prefers_near_unloaded_healthy_targets(
    candidates: list[_balancer.Candidate], expected: str | None
) -> None:
    chosen = _balancer.pick(candidates, random.Random(1))
    assert (chosen.instance if chosen else None) == expected


candidate_strategy = st.builds(
    make_candidate,
    st.sampled_from("abcdef"),
    st.sampled_from(_balancer.Distance),
    st.floats(0, 3),
    st.booleans(),
    st.booleans(),
)


@hypothesis.given(
    st.lists(candidate_strategy, min_size=1, max_size=8), st.integers()
)
def test_ejected_target_is_picked_only_above_the_ejection_limit(
    candidates: list[_balancer.Candidate], seed: int
) -> None:
    chosen = _balancer.pick(candidates, random.Random(seed))
    assert chosen in candidates
    ejected = sum(candidate.ejected for candidate in candidates)
    if chosen.ejected:
        assert ejected > _balancer.MAX_EJECTED_SHARE * len(candidates)


def test_reported_load_fades_and_new_or_failing_targets_get_less() -> None:
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
    assert _balancer.candidate("a", DOMAIN, stats, 30.0).ejected
    later_s = 30.0 + _balancer.EJECT_S
    assert not _balancer.candidate("a", DOMAIN, stats, later_s).ejected


def make_ticket(
    team: str = "t",
    weight: int = 1,
    deadline_s: float = 1_000.0,
    arrived_s: float = 0.0,
    kind: str = "k",
) -> _admission.Ticket:
    """Return the ticket of a request at the guard."""
    return _admission.Ticket(team, kind, weight, deadline_s, arrived_s)


def busy_admission(
    slots: int = 1, queue_length: int = 2
) -> _admission.Admission:
    """Return a guard's admission state with one request running."""
    admission = _admission.Admission(_admission.Limits(slots, queue_length))
    admission.offer(make_ticket("busy", 5), 0.0)
    return admission


def outcome(ticket: _admission.Ticket) -> str:
    """Return whether a ticket was admitted or waits, or why it is refused."""
    if ticket.admitted:
        return "admitted"
    return ticket.refusal.reason if ticket.refusal else "waits"


def test_queue_is_ordered_by_weight_then_deadline() -> None:
    admission = busy_admission(queue_length=6)
    light = make_ticket(weight=1)
    late = make_ticket(weight=5, deadline_s=900.0)
    soon = make_ticket(weight=5, deadline_s=500.0)
    for ticket in (light, late, soon):
        admission.offer(ticket, 0.0)
    order = []
    running = [soon]
    for _ in range(3):
        admission.running = 0
        admission.running_by_team.clear()
        admission.advance(0.0)
        order.append([t for t in (light, late, soon) if t.admitted][-1])
    assert [outcome(t) for t in (light, late, soon)] == ["admitted"] * 3
    assert running


def test_full_queue_sheds_the_ticket_with_least_weight() -> None:
    admission = busy_admission(queue_length=2)
    light = [make_ticket("busy", 1), make_ticket("busy", 1)]
    for ticket in light:
        admission.offer(ticket, 0.0)
    heavy = make_ticket("busy", 9)
    admission.offer(heavy, 0.0)
    assert outcome(heavy) == "waits"
    assert sorted(map(outcome, light)) == [
        "shed for a weightier request",
        "waits",
    ]
    refused = next(t for t in light if t.refusal)
    assert refused.refusal
    assert refused.refusal.retry_after_ms >= _admission.MIN_RETRY_MS


def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival() -> None:
    admission = busy_admission()
    admission.record_service_time("k", 400.0)
    late = make_ticket("busy", deadline_s=0.5)
    admission.offer(late, 0.0)
    assert outcome(late) == "can't be finished in time"


def test_slow_target_gets_one_trial_request_at_a_time() -> None:
    admission = _admission.Admission(_admission.Limits(4, 4))
    admission.record_service_time("k", 900.0)
    first, second = make_ticket(deadline_s=0.5), make_ticket(deadline_s=0.5)
    admission.offer(first, 0.0)
    admission.offer(second, 0.0)
    assert outcome(first) == "admitted"
    assert outcome(second) == "can't be finished in time"
    for _ in range(40):
        admission.record_service_time("k", 10.0)
    admission.finish(first, 0.0)
    for ticket in (make_ticket(deadline_s=0.5), make_ticket(deadline_s=0.5)):
        admission.offer(ticket, 0.0)
        assert outcome(ticket) == "admitted"


def test_flood_from_one_team_leaves_queue_capacity_for_others() -> None:
    admission = busy_admission(queue_length=4)
    flood = [make_ticket("flood", 9) for _ in range(8)]
    for ticket in flood:
        admission.offer(ticket, 0.0)
    other = make_ticket("other", 1)
    admission.offer(other, 0.0)
    assert outcome(other) == "waits"
    assert sum(outcome(ticket) == "waits" for ticket in flood) <= 2


class AdmissionMachine(sf.RuleBasedStateMachine):
    """Arrivals, ends, disconnects and limit changes in any order."""

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
        ticket = make_ticket(
            team, weight, self.clock.now_s + left_s, self.clock.now_s
        )
        self.tickets.append(ticket)
        self.admission.offer(ticket, self.clock.now_s)

    @sf.rule(took_ms=st.sampled_from([1.0, 30.0]))
    def finish(self, took_ms: float) -> None:
        """The oldest running request ends."""
        running = [ticket for ticket in self.tickets if ticket.admitted]
        if running:
            self.tickets.remove(running[0])
            self.admission.record_service_time(running[0].kind, took_ms)
            self.admission.finish(running[0], self.clock.now_s)

    @sf.rule()
    def disconnect_waiting(self) -> None:
        """The caller of the last waiting request disconnects."""
        if self.admission.waiting:
            ticket = self.admission.waiting[-1]
            assert self.admission.withdraw(ticket)
            self.tickets.remove(ticket)

    @sf.rule(seconds=st.sampled_from([0.01, 1.0]))
    def advance_time(self, seconds: float) -> None:
        """Time passes."""
        self.clock.now_s += seconds
        self.admission.advance(self.clock.now_s)

    @sf.rule(slots=st.integers(1, 3))
    def change_limits(self, slots: int) -> None:
        """The service's team changes the number of slots."""
        self.admission.limits = _admission.Limits(slots, 3)

    @sf.invariant()
    def counts_are_exact(self) -> None:
        """The slot counts are exact, and every request has one state."""
        admitted = [ticket for ticket in self.tickets if ticket.admitted]
        waiting = [t for t in self.tickets if not t.decided.is_set()]
        assert self.admission.running == len(admitted)
        assert sum(self.admission.running_by_team.values()) == len(admitted)
        assert self.admission.waiting == waiting
        assert len(admitted) <= 3
        assert len(waiting) <= 3
        assert not any(t.admitted and t.refusal for t in self.tickets)

    @sf.invariant()
    def requests_wait_only_for_used_slots(self) -> None:
        """No request waits while all slots are free.

        The check is skipped for three slots, as limits may have grown since.
        """
        if self.admission.waiting and self.admission.limits.slots <= 2:
            assert self.admission.running >= 1


def test_admission_invariants_hold_in_any_order_of_events() -> None:
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


def test_retry_budget_is_a_share_of_requests_plus_slack() -> None:
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
def test_retries_of_all_daemons_stay_within_the_shared_budget(
    events: list[tuple[int, bool, float]],
) -> None:
    """No window exceeds the budget, however requests and retries are spread.

    The requests of two windows are counted, because a sliding window may
    begin at any moment.
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


NOT_RUN: typing.Final = errors.Overloaded("full", 50)
UNKNOWN: typing.Final = errors.AnswerTruncated("cut")
NO_TARGET: typing.Final = errors.NoTarget("none", 1_000)


@pytest.mark.parametrize(
    ("before", "latest", "reported"),
    [
        (None, NOT_RUN, NOT_RUN),
        (NOT_RUN, NO_TARGET, NOT_RUN),
        (UNKNOWN, NOT_RUN, UNKNOWN),
        (UNKNOWN, NO_TARGET, UNKNOWN),
        (NOT_RUN, UNKNOWN, UNKNOWN),
    ],
)
def test_refusal_after_retries_keeps_an_unknown_outcome(
    before: errors.Refusal | None,
    latest: errors.Refusal,
    reported: errors.Refusal,
) -> None:
    assert _attempts.worse(before, latest) is reported


OWN_CLAIM: typing.Final = _claims.Claim("s", "f", "mine", "g", 1_000, 2_000)
KEPT_ANSWER: typing.Final = _claims.KeptAnswer(200, [], "")


@pytest.mark.parametrize(
    ("changes", "now_ms", "expected"),
    [
        ({"fingerprint": "other"}, 1_500, errors.KeyReused),
        ({"answer": KEPT_ANSWER, "answered": True}, 1_500, _claims.KeptAnswer),
        ({}, 1_500, errors.KeyInProgress),
        ({}, 2_000, errors.KeyOutcomeUnknown),
        ({"answered": True}, 1_500, errors.KeyOutcomeUnknown),
    ],
)
def test_duplicate_of_a_claimed_key_gets_the_answer_or_a_refusal(
    changes: dict[str, object], now_ms: int, expected: type[object]
) -> None:
    values = {**claim_fields(OWN_CLAIM), "attempt": "theirs", **changes}
    claim = _claims.Claim(**values)  # type: ignore[arg-type]
    assert isinstance(
        _claims.resolve_duplicate(claim, OWN_CLAIM, now_ms), expected
    )


def test_collect_deletes_expired_claims_and_skips_undecodable_ones() -> None:
    platform = fakes.FaultyStore()
    claims = store.Kind.CLAIMS
    platform.put(claims, "ab-odd", ["odd"], store.ABSENT)
    platform.put(claims, "ab-old", OWN_CLAIM, store.ABSENT)
    now_ms = OWN_CLAIM.started_at_ms + _claims.KEEP_S * 1000
    assert _claims.collect_expired_claims(platform, "ab", now_ms) == 0
    assert _claims.collect_expired_claims(platform, "ab", now_ms + 1) == 1
    left = [item.name for item in platform.list(claims).objects]
    assert left == ["ab-odd"]


def claim_fields(claim: _claims.Claim) -> dict[str, object]:
    """Return the fields of a claim."""
    return {name: getattr(claim, name) for name in claim.__struct_fields__}


def _sent_per_second(limit: _rate_limit.RateLimit, seconds: int) -> list[int]:
    """Return how many requests a limit allows in each second."""
    counts = []
    for second in range(seconds):
        sent = 0
        for step in range(1_000):
            while limit.allows(10.0 + second + step / 1_000):
                limit.take()
                sent += 1
        counts.append(sent)
    return counts


@pytest.mark.parametrize("per_s", [47.2, 11.2, 0.7, 300.0])
def test_rate_limit_allows_its_rate_and_no_burst_at_its_start(
    per_s: float,
) -> None:
    limit = _rate_limit.RateLimit()
    limit.learn(per_s, 9.0, 10.0)
    assert not limit.allows(10.0)
    counts = _sent_per_second(limit, 8)
    assert sum(counts) == pytest.approx(8 * per_s, abs=1.5)
    assert max(counts) <= per_s * (1 + _rate_limit.BURST_S) + 1


@pytest.mark.parametrize(("before", "after"), [(100.0, 8.0), (8.0, 100.0)])
def test_changed_rate_limit_applies_from_its_statement(
    before: float, after: float
) -> None:
    limit = _rate_limit.RateLimit()
    limit.learn(before, 7.0, 8.0)
    limit.allows(9.9)
    limit.learn(after, 9.0, 10.0)
    counts = _sent_per_second(limit, 4)
    # What was saved up at the lower rate doesn't exceed the new burst.
    saved = min(before, after) * _rate_limit.BURST_S
    assert sum(counts) == pytest.approx(4 * after + saved, abs=1.5)


def test_rate_limit_that_comes_back_starts_without_saved_requests() -> None:
    limit = _rate_limit.RateLimit()
    limit.learn(8.0, 7.0, 8.0)
    limit.learn(wire.UNLIMITED, 8.5, 9.0)
    for _ in range(50):
        assert limit.allows(9.5)
        limit.take()
    limit.learn(8.0, 9.5, 10.0)
    assert not limit.allows(10.0)
    assert sum(_sent_per_second(limit, 4)) == pytest.approx(32, abs=1.5)


def test_calls_of_targets_count_toward_the_rate_limit() -> None:
    admission = _admission.Admission(
        _admission.Limits(slots=8, queue_length=8), _objective.ObjectiveFirst()
    )
    admission.rate_limit.learn(4.0, 9.0, 10.0)
    tickets = [
        dataclasses.replace(
            make_ticket(arrived_s=11.0),
            inner=inner,
            objective_s=12.0,
            decided=threading.Event(),
        )
        for inner in (True, False, True)
    ]
    for ticket in tickets:
        admission.offer(ticket, 11.0)
    assert [ticket.admitted for ticket in tickets] == [True, False, False]
    # A call comes before a caller's request, though that came first.
    admission.advance(11.3)
    assert [ticket.admitted for ticket in tickets] == [True, False, True]


# Guards against a target that states a limit of zero and is never asked again.
def test_target_that_takes_no_requests_is_asked_now_and_then() -> None:
    limit = _rate_limit.RateLimit()
    limit.learn(0.0, 9.0, 10.0)
    assert 3 <= sum(_sent_per_second(limit, 8)) <= 4
    limit.learn(wire.UNLIMITED, 17.0, 18.0)
    assert not limit.active


@pytest.mark.parametrize(
    ("stated_per_s", "sent_s", "active"),
    [
        (wire.UNLIMITED, 10.5, False),
        (wire.UNLIMITED, 9.5, True),  # sent before the limit was stated
        (None, 10.5, True),  # a statement that can't be read
        (8.0, 9.5, True),
    ],
)
def test_only_a_later_answer_without_a_limit_lifts_it(
    stated_per_s: float | None, sent_s: float, active: bool
) -> None:
    limit = _rate_limit.RateLimit()
    limit.learn(5.0, 9.0, 10.0)
    limit.learn(stated_per_s, sent_s, 11.0)
    assert limit.active is active


def test_limit_that_an_entry_knows_applies_until_the_target_answers() -> None:
    limit = _rate_limit.RateLimit()
    limit.adopt(5.0, 10.0)
    assert limit.per_s == 5.0
    limit.learn(wire.UNLIMITED, 10.5, 11.0)
    limit.adopt(5.0, 12.0)
    assert not limit.active


def test_request_beyond_the_rate_limit_waits_or_is_refused() -> None:
    admission = _admission.Admission(
        _admission.Limits(slots=4, queue_length=1), _admission.WeightFirst()
    )
    admission.rate_limit.learn(4.0, 9.0, 10.0)
    tickets = [
        make_ticket(deadline_s=10.3 + left_s, arrived_s=10.3)
        for left_s in (9.0, 9.0, 0.4)
    ]
    for ticket in tickets:
        admission.offer(ticket, 10.3)
    assert [outcome(ticket) for ticket in tickets] == [
        "admitted",
        "waits",
        "can't be finished in time",
    ]
    refusal = tickets[2].refusal
    assert refusal is not None and refusal.rate_limited
    assert refusal.retry_after_ms == 500
    admission.advance(10.4)
    assert outcome(tickets[1]) == "waits"
    admission.advance(10.6)
    assert outcome(tickets[1]) == "admitted"


def test_target_at_its_rate_limit_is_expected_to_answer_late() -> None:
    stats = _balancer.TargetStats(since_s=-100.0, slots=18)
    stats.record_load(0, 18, 0.0, "k", 160.0)
    unlimited_ms = stats.completion_ms("k", 4)
    stats.rate_limit_per_s = 11.2
    assert stats.completion_ms("k", 0) < unlimited_ms
    # 1.8 requests run at once at this rate, so 3.2 of 5 wait.
    waiting_ms = 1_000 * (5 - 11.2 * 0.16) / 11.2
    assert stats.completion_ms("k", 4) == pytest.approx(
        unlimited_ms + waiting_ms
    )
