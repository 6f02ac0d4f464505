"""Tests of the soak: its fault plan, its checks, and short runs."""

from __future__ import annotations

import pytest

from standins import caller
from standins import judge
from standins import soak

INSTANCES = ("glade-1", "glade-2", "hollow-1", "hollow-2")
SPEC = caller.RequestSpec("POST", "/deposits", 1)


def test_fault_plan_is_reproducible_by_seed() -> None:
    assert soak.draw_faults(7, INSTANCES) == soak.draw_faults(7, INSTANCES)
    assert soak.draw_faults(7, INSTANCES) != soak.draw_faults(8, INSTANCES)


def test_faults_overlap_but_never_on_the_same_process() -> None:
    overlaps = 0
    drawn_kinds = set()
    for seed in range(200):
        faults = soak.draw_faults(seed, INSTANCES)
        drawn_kinds |= {fault.kind for fault in faults}
        for fault in faults:
            for other in faults:
                if other is fault or not fault.start_s <= other.start_s:
                    continue
                if other.start_s < fault.start_s + fault.duration_s:
                    overlaps += 1
                    assert (fault.affected, _is_daemon_fault(fault)) != (
                        other.affected,
                        _is_daemon_fault(other),
                    )
    assert overlaps > 200
    all_kinds = {*soak.DAEMON_KINDS, *soak.TARGET_KINDS, *soak.STORE_KINDS}
    assert drawn_kinds == all_kinds


def test_target_with_a_fault_drawn_apart_has_no_other_fault() -> None:
    drawn = 0
    for seed in range(200):
        faults = soak.draw_faults(seed, INSTANCES)
        apart = soak.draw_statements(seed, INSTANCES, faults)
        apart += soak.draw_malformed(seed, INSTANCES, [*faults, *apart])
        drawn += len(apart)
        for fault in apart:
            for other in [*faults, *apart]:
                if other is fault or _is_daemon_fault(other):
                    continue
                overlap = (
                    other.start_s <= fault.start_s + fault.duration_s
                    and other.start_s + other.duration_s >= fault.start_s
                )
                assert not overlap or other.affected != fault.affected
    assert drawn > 400


def _is_daemon_fault(fault: soak.PlannedFault) -> bool:
    return fault.kind in soak.DAEMON_KINDS


@pytest.mark.parametrize(
    ("status", "run_count", "kill_times_s", "is_lost"),
    [
        (200, 1, [], False),
        (0, 0, [], False),  # didn't run: the caller may retry
        (0, 1, [], True),
        (0, 1, [99.5], False),  # the entry was killed meanwhile
        (0, 1, [90.0], True),
        (0, 1, [101.0], True),
    ],
)
def test_lost_answers_exclude_those_of_killed_entries(
    status: int, run_count: int, kill_times_s: list[float], is_lost: bool
) -> None:
    result = caller.Result(
        id="r",
        path="/deposits",
        status=status,
        body=b"",
        headers={},
        took_ms=1_000.0,
        whole=bool(status),
        entry="e",
        ended_s=100.0,
    )
    outcome: judge.Outcome = (SPEC, result)
    lost = soak.lost_answers([outcome], {"r": run_count}, {"e": kill_times_s})
    assert bool(lost) is is_lost


def test_parse_seeds() -> None:
    assert soak.parse_seeds("1-3,9") == [1, 2, 3, 9]


@pytest.mark.parametrize("seed", [1, *soak.REGRESSIONS])
def test_soak_run_has_no_findings(seed: int) -> None:
    assert soak.run_seed(seed) == []


def test_ends_that_are_allowed_follow_from_the_faults_of_daemons() -> None:
    faults = [
        soak.PlannedFault(1.0, "kill", "glade-1", 1.0),
        soak.PlannedFault(2.0, "stop", "hollow-1", 1.0),
        soak.PlannedFault(2.0, "kill", "bramble-1", 1.0),
        soak.PlannedFault(3.0, "store-down", "store", 1.0),
    ]
    services = {"glade-1": "glade", "hollow-1": "hollow", "bramble-1": "b"}
    assert soak.most_ends([], "hollow-1", services) == soak.MAX_ENDS
    assert soak.most_ends(faults, "hollow-1", services) == soak.MAX_ENDS + 4


# Guards against targets without an id that go on ending, as each of their ends
# counts as the same one.
@pytest.mark.parametrize("seed", [3])
def test_soak_run_with_requests_that_end_targets(seed: int) -> None:
    assert soak.run_seed(seed, ends_targets=True) == []
