"""Tests of the customers' soak: its plan, its checks, and short runs."""

from __future__ import annotations

import pytest

from standins import soak_customers

NAMES = ["glade-1", "glade-2", "glade-3"]


def test_plan_is_reproducible_by_seed_and_covers_all_faults() -> None:
    plans = [soak_customers.draw_plan(seed, NAMES) for seed in range(200)]
    assert plans[7] == soak_customers.draw_plan(7, NAMES)
    kinds = {fault.kind for plan in plans for fault in plan.faults}
    assert kinds == set(soak_customers.KINDS)
    removals = {plan.removal for plan in plans}
    assert removals == set(soak_customers.REMOVALS)
    assert {(plan.rate_per_s, plan.burst) for plan in plans} == set(
        soak_customers.LIMITS
    )
    assert any(
        len(fault.daemons) == len(NAMES)
        for plan in plans
        for fault in plan.faults
    )


# Guards against a count that misses the fullest window, or one that counts
# requests that arrived after it.
@pytest.mark.parametrize(
    ("runs", "most"),
    [
        ([], 0),
        ([(0.0, 0.1), (1.0, 1.1), (4.8, 4.9)], 3),
        ([(0.0, 0.1), (1.0, 1.1), (4.9, 5.1)], 2),
        ([(0.0, 9.0), (0.1, 0.2), (0.2, 0.3), (6.0, 6.1)], 2),
        ([(float(n), n + 0.1) for n in range(20)], 5),
    ],
)
def test_fullest_window_is_found(
    runs: list[tuple[float, float]], most: int
) -> None:
    assert soak_customers.most_in_window(runs) == most


# Guards against a soak that passes whatever happens.
@pytest.mark.parametrize(
    ("customer", "status", "sent_s", "ran", "finding"),
    [
        (soak_customers.HOT, 200, 1.0, True, ""),
        (soak_customers.HOT, 401, 99.0, False, ""),
        (soak_customers.HOT, 200, 99.0, True, "removed key ran"),
        (soak_customers.CALM, 429, 1.0, False, "got 429"),
        (soak_customers.CALM, 503, 1.0, False, ""),
    ],
)
def test_broken_promise_is_found(
    customer: str, status: int, sent_s: float, ran: bool, finding: str
) -> None:
    plan = soak_customers.Plan(20.0, 20.0, "empty", ())
    calm = soak_customers.Sent("calm", soak_customers.CALM, 1.0, 200)
    sent = [soak_customers.Sent("one", customer, sent_s, status), calm]
    runs = {"calm": 1.0, **({"one": sent_s} if ran else {})}
    found = "; ".join(soak_customers.judge(plan, sent, runs, 50.0))
    assert bool(found) is bool(finding) and finding in found
    many = [
        soak_customers.Sent(f"{n}", soak_customers.HOT, 1.0, 200)
        for n in range(153)
    ]
    runs = {"calm": 1.0, **dict.fromkeys((each.id for each in many), 1.1)}
    [window] = soak_customers.judge(plan, [*many, calm], runs, 50.0)
    assert "153 of 152" in window


# Guards against a customer that gets more than its limit, or is refused below
# it, while daemons end and start, and against a removed key that is served.
@pytest.mark.parametrize("seed", [1, 2])
def test_short_run_keeps_all_promises(seed: int) -> None:
    assert not soak_customers.run_seed(seed)
