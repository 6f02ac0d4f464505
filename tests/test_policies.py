"""Simulations of the admission and balancing policies under load patterns.

The simulation has no sockets: targets have slots and speeds, requests arrive
at random times from one seed, and time advances from event to event.
"""

from __future__ import annotations

import collections
import heapq
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad import config
from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _caller_timeouts
from chiveroad.traffic import _deadline
from chiveroad.traffic import _objective
from chiveroad.traffic import _split
from standins import loadmodel

SLOTS = loadmodel.SLOTS
WORK_S = loadmodel.WORK_S
OBJECTIVE_S = loadmodel.OBJECTIVE_S
DEADLINE_S = loadmodel.DEADLINE_S


def simulate(
    policy: _admission.Policy,
    arrivals: list[tuple[float, _admission.Ticket]],
    seed: int = 1,
) -> loadmodel.Tally:
    """Simulate one guard under a load pattern and return the results."""
    rng = random.Random(seed)
    state = _admission.Admission(_admission.Limits(SLOTS, 64), policy)
    tally = loadmodel.Tally()
    end_events: list[tuple[float, int, _admission.Ticket]] = []
    started_numbers: set[int] = set()
    tickets = [ticket for _, ticket in arrivals]
    pending = collections.deque(arrivals)

    def start_admitted(now_s: float) -> None:
        for number, ticket in enumerate(tickets):
            if ticket.admitted and number not in started_numbers:
                started_numbers.add(number)
                work_s = rng.uniform(0.5, 1.5) * WORK_S
                heapq.heappush(end_events, (now_s + work_s, number, ticket))

    started_s: dict[int, float] = {}
    while pending or end_events:
        if pending and (not end_events or pending[0][0] <= end_events[0][0]):
            now_s, ticket = pending.popleft()
            state.offer(ticket, now_s)
        else:
            now_s, number, ticket = heapq.heappop(end_events)
            state.record_service_time(
                ticket.kind, (now_s - started_s[number]) * 1000
            )
            state.finish(ticket, now_s)
            in_time = now_s <= ticket.objective_s
            tally.in_time += in_time
            tally.late += not in_time
            tally.by_kind[ticket.kind] += in_time
        known_numbers = set(started_numbers)
        start_admitted(now_s)
        for number in started_numbers - known_numbers:
            started_s[number] = now_s
    tally.refused = sum(ticket.refusal is not None for ticket in tickets)
    return tally


def poisson_arrivals(
    rate: float,
    seconds: float,
    kind: str = "browse",
    weight: int = 1,
    seed: int = 3,
    inner: bool = False,
    objective_s: float = OBJECTIVE_S,
) -> list[tuple[float, _admission.Ticket]]:
    """Return Poisson arrivals at a rate per second, as from many clients."""
    rng = random.Random(seed)
    now_s = 0.0
    arrivals = []
    while now_s < seconds:
        now_s += rng.expovariate(rate)
        ticket = _admission.Ticket(
            "t",
            kind,
            weight,
            now_s + DEADLINE_S,
            now_s,
            now_s + objective_s,
            inner,
        )
        arrivals.append((now_s, ticket))
    return arrivals


CAPACITY = SLOTS / WORK_S


@pytest.mark.parametrize("load", [1.2, 1.5, 2.5])
def test_objective_first_keeps_answers_in_time_under_lasting_overload(
    load: float,
) -> None:
    before = simulate(
        _admission.WeightFirst(), poisson_arrivals(load * CAPACITY, 20.0)
    )
    after = simulate(
        _objective.ObjectiveFirst(), poisson_arrivals(load * CAPACITY, 20.0)
    )
    served = after.in_time + after.late
    assert after.worth > 1.5 * before.worth
    assert after.in_time > 0.8 * served
    # The throughput doesn't suffer from the refusals.
    assert served > 0.9 * (before.in_time + before.late)


def test_short_burst_is_worked_off_with_few_refusals() -> None:
    base_load = poisson_arrivals(0.5 * CAPACITY, 10.0)
    burst = poisson_arrivals(2.0 * CAPACITY, 0.3, seed=5)
    mixed = sorted(base_load + burst, key=lambda arrival: arrival[0])
    tally = simulate(_objective.ObjectiveFirst(), mixed)
    assert tally.refused < 0.01 * len(mixed)
    assert tally.late < 0.05 * len(mixed)


def test_inner_calls_precede_new_requests_under_overload() -> None:
    inner = poisson_arrivals(0.3 * CAPACITY, 20.0, "call", seed=7, inner=True)
    outer = poisson_arrivals(1.5 * CAPACITY, 20.0)
    mixed = sorted(inner + outer, key=lambda arrival: arrival[0])
    tally = simulate(_objective.ObjectiveFirst(), mixed)
    assert tally.by_kind["call"] > 0.97 * len(inner)
    assert tally.by_kind["browse"] > 0


def test_heavier_kind_is_served_first_and_lighter_kind_is_not_starved() -> (
    None
):
    urgent = poisson_arrivals(
        0.6 * CAPACITY, 20.0, "reserve", weight=5, seed=8
    )
    common = poisson_arrivals(0.9 * CAPACITY, 20.0)
    mixed = sorted(urgent + common, key=lambda arrival: arrival[0])
    tally = simulate(_objective.ObjectiveFirst(), mixed)
    assert tally.by_kind["reserve"] > 0.95 * len(urgent)
    assert tally.by_kind["browse"] > 0.25 * len(common)


def test_overload_refuses_on_arrival_with_a_retry_delay() -> None:
    state = _admission.Admission(
        _admission.Limits(SLOTS, 64), _objective.ObjectiveFirst()
    )
    state.record_service_time("browse", WORK_S * 1000)
    for now_s, ticket in poisson_arrivals(3 * CAPACITY, 2.0):
        state.offer(ticket, now_s)
        state.running = min(state.running, SLOTS)
    later_tickets = [t for _, t in poisson_arrivals(1.0, 1.0)]
    state.offer(later_tickets[0], 2.0)
    assert later_tickets[0].refusal is not None
    assert later_tickets[0].refusal.retry_after_ms >= _admission.MIN_RETRY_MS


def make_candidate(
    name: str,
    distance: _balancer.Distance,
    in_flight: int,
    service_ms: float,
    answer_bytes: float = 1_000.0,
) -> _balancer.Candidate:
    """Return a target with a number of requests in flight and a speed."""
    stats = _balancer.TargetStats(
        since_s=-100.0, in_flight=in_flight, slots=10
    )
    stats.service_ms["k"] = service_ms
    profile = _balancer.RequestProfile("k", 600, answer_bytes)
    return _balancer.candidate(name, distance, stats, 0.0, profile)


DOMAIN = _balancer.Distance.DOMAIN
REGION = _balancer.Distance.REGION
REMOTE = _balancer.Distance.REMOTE


@pytest.mark.parametrize(
    ("specs", "answer_bytes", "expected"),
    [
        # An idle slow target answers later than a busy fast one.
        ([("slow", DOMAIN, 0, 400), ("fast", DOMAIN, 8, 200)], 1_000, "fast"),
        ([("slow", DOMAIN, 0, 400), ("fast", DOMAIN, 30, 200)], 1_000, "slow"),
        ([("near", DOMAIN, 5, 200), ("other", REGION, 3, 200)], 1_000, "near"),
        (
            [("near", DOMAIN, 25, 200), ("other", REGION, 3, 200)],
            1_000,
            "other",
        ),
        ([("near", DOMAIN, 9, 200), ("far", REMOTE, 0, 200)], 1_000, "near"),
        ([("near", DOMAIN, 40, 200), ("far", REMOTE, 0, 200)], 1_000, "far"),
        # A faster remote target isn't picked while both meet the objective.
        ([("near", DOMAIN, 0, 250), ("far", REMOTE, 0, 100)], 1_000, "near"),
        # A large answer crosses regions only when no other target is left.
        ([("near", DOMAIN, 30, 200), ("far", REMOTE, 0, 200)], 90_000, "near"),
        (
            [("other", REGION, 9, 200), ("far", REMOTE, 0, 200)],
            90_000,
            "other",
        ),
        ([("far", REMOTE, 30, 200)], 90_000, "far"),
        # A target without statistics is tried.
        ([("known", DOMAIN, 0, 200), ("new", DOMAIN, 0, 0)], 1_000, "new"),
    ],
)
def test_least_wait_weighs_service_time_load_and_distance(
    specs: list[tuple[str, _balancer.Distance, int, float]],
    answer_bytes: float,
    expected: str,
) -> None:
    candidates = [make_candidate(*spec, answer_bytes) for spec in specs]
    picked = _balancer.LeastWait().pick(candidates)
    assert picked is not None and picked.instance == expected


def test_entries_with_equal_statistics_spread_their_choices() -> None:
    pickers = [_balancer.LeastWait() for _ in range(200)]
    candidates = [make_candidate(name, DOMAIN, 3, 200) for name in "abc"]
    chosen = collections.Counter(
        picker.pick(candidates).instance  # type: ignore[union-attr]
        for picker in pickers
    )
    assert min(chosen[name] for name in "abc") > 30


share_strategy = st.dictionaries(
    st.sampled_from("abcd"), st.integers(1, 100), min_size=2
)


@hypothesis.given(share_strategy, st.integers(1, 400))
def test_split_follows_its_weights(
    weights: dict[str, int], count: int
) -> None:
    split = tuple(config.Share(name, w) for name, w in weights.items())
    route = config.Route(
        "r", "t", "/", ("*",), split[0].service, "k", "", split
    )
    splitter = _split.Splitter()
    chosen = collections.Counter(splitter.choose(route) for _ in range(count))
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(chosen[name] - count * weight / total) <= len(weights)


def test_retrying_caller_is_recognized_by_its_remaining_time() -> None:
    caller_timeouts = _caller_timeouts.CallerTimeouts()
    for _ in range(10):
        assert caller_timeouts.elapsed_ms("r", 2_500) == 0
    assert caller_timeouts.elapsed_ms("r", 1_900) == 600
    assert caller_timeouts.elapsed_ms("r", 2_500) == 0
    assert caller_timeouts.elapsed_ms("r", 9_000) == 0
    assert caller_timeouts.elapsed_ms("r", 0) == 0
    assert caller_timeouts.elapsed_ms("other", 100) == 0
    for _ in range(30):
        caller_timeouts.elapsed_ms("r", 1_000)
    assert caller_timeouts.elapsed_ms("r", 900) == 100


def test_new_guard_does_not_mistake_mixed_service_times_for_slowness() -> None:
    """Short requests end first, so the long ones still running look slow.

    The guard must not refuse a call because of that.
    """
    state = _admission.Admission(
        _admission.Limits(12, 64), _objective.ObjectiveFirst()
    )
    tickets = [ticket for _, ticket in poisson_arrivals(1_000.0, 0.02)][:11]
    for ticket in tickets:
        state.offer(ticket, ticket.arrived_s)
    state.record_service_time("call", 50.0)
    call = _admission.Ticket("t", "call", 9, 0.8, 0.5, 1.5, inner=True)
    state.offer(call, 0.5)
    assert call.admitted


def test_slower_target_is_detected_before_its_answers_arrive() -> None:
    state = _admission.Admission(
        _admission.Limits(10, 64), _objective.ObjectiveFirst()
    )
    for _ in range(40):
        state.record_service_time("browse", 200.0)
    for _, ticket in [(0, t) for _, t in poisson_arrivals(1_000.0, 0.02)][:10]:
        state.offer(ticket, 0.0)
    state.update_slowdown(0.2)
    assert state.service_ms("browse") == pytest.approx(200.0)
    state.update_slowdown(0.9)
    assert state.service_ms("browse") > 500.0


def _stats_with_service_times(
    *service_ms: float,
) -> list[_balancer.TargetStats]:
    """Return targets' statistics with service times; 0 means not reported."""
    all_stats = []
    for reported_ms in service_ms:
        stats = _balancer.TargetStats(since_s=0.0)
        stats.record_load(0, 4, 0.0, "k", reported_ms)
        all_stats.append(stats)
    return all_stats


@pytest.mark.parametrize(
    ("left_ms", "service_ms", "refused"),
    [
        (15.0, (60.0, 45.0, 80.0), True),
        (50.0, (60.0, 45.0, 80.0), False),
        (15.0, (60.0, 80.0), False),
        (15.0, (60.0, 80.0, 0.0, 0.0), False),
        (15.0, (60.0, 80.0, 70.0, 0.0), True),
        (15.0, (), False),
    ],
)
def test_request_with_too_little_time_left_is_refused_before_it_is_sent(
    left_ms: float, service_ms: tuple[float, ...], refused: bool
) -> None:
    """A retry has 15 ms left, but the fastest target takes 45 ms."""
    assert (
        _deadline.no_target_in_time(
            "k", left_ms, _stats_with_service_times(*service_ms)
        )
        is refused
    )
