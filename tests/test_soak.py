"""The soak: its draw, what it looks for, and a short run."""

from __future__ import annotations

import pytest

from standins import caller
from standins import judge
from standins import soak

NAMES = ("glade-1", "glade-2", "hollow-1", "hollow-2")
WORK = caller.RequestSpec("POST", "/deposits", 1)


def test_a_seed_gives_the_same_faults_every_time() -> None:
    assert soak.draw(7, NAMES) == soak.draw(7, NAMES)
    assert soak.draw(7, NAMES) != soak.draw(8, NAMES)


def test_faults_overlap_but_never_two_of_a_kind_on_one_target() -> None:
    overlaps = 0
    seen = set()
    for seed in range(200):
        steps = soak.draw(seed, NAMES)
        seen |= {step.kind for step in steps}
        for step in steps:
            for other in steps:
                if other is step or not step.at_s <= other.at_s:
                    continue
                if other.at_s < step.at_s + step.for_s:
                    overlaps += 1
                    assert (step.affected, _layer(step)) != (
                        other.affected,
                        _layer(other),
                    )
    assert overlaps > 200
    every = {*soak.DAEMON_KINDS, *soak.TARGET_KINDS, *soak.STORE_KINDS}
    assert seen == every


def _layer(step: soak.Step) -> bool:
    return step.kind in soak.DAEMON_KINDS


@pytest.mark.parametrize(
    ("status", "runs", "killed_s", "found"),
    [
        (200, 1, [], False),
        (0, 0, [], False),  # never ran: the caller may ask again
        (0, 1, [], True),
        (0, 1, [99.5], False),  # its entry was killed meanwhile
        (0, 1, [90.0], True),
        (0, 1, [101.0], True),
    ],
)
def test_what_counts_as_lost(
    status: int, runs: int, killed_s: list[float], found: bool
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
    outcome: judge.Outcome = (WORK, result)
    lost = soak.lost([outcome], {"r": runs}, {"e": killed_s})
    assert bool(lost) is found


def test_seeds_are_read() -> None:
    assert soak.numbers("1-3,9") == [1, 2, 3, 9]


@pytest.mark.parametrize("seed", [1, *soak.REGRESSIONS])
def test_a_seed_that_is_played_finds_nothing(seed: int) -> None:
    assert soak.play(seed) == []
