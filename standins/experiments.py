"""Policies against patterns of load: tables, and plots where wanted.

``python -m standins.experiments`` prints a table a pattern in some seconds;
``--plots DIR`` draws the share served in time, late and refused against the
load offered, which needs ``requirements-experiments.txt``.
"""

from __future__ import annotations

import argparse
import collections.abc
import dataclasses
import pathlib
import random
import statistics
import typing

from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _objective
from standins import loadmodel

SECONDS: typing.Final = 12.0
SPEEDS: typing.Final = (0.5, 1.0, 1.0, 1.5)
"""As unlike as the targets of the users' sites."""

KINDS: typing.Final = {"read": (0.7, 1), "write": (0.3, 8)}
LOADS: typing.Final = (0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
SEEDS: typing.Final = (1, 2, 3)

ADMISSION: typing.Final[
    dict[str, collections.abc.Callable[[], _admission.Policy]]
] = {
    "objective": _objective.ObjectiveFirst,
    "weight": _admission.WeightFirst,
}
BALANCING: typing.Final = (
    "least-wait",
    "two-choices",
    "round-robin",
    "least-reported",
)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load: a share of what the targets can run, and what goes wrong."""

    name: str
    load: float
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    slow_factor: float = 1.0
    returns: int = 1


PATTERNS: typing.Final = (
    Pattern("calm", 0.7),
    Pattern("nearly full", 0.95),
    Pattern("overload that lasts", 1.5),
    Pattern("a burst beyond capacity", 0.8, burst=(4.0, 7.0, 2.0)),
    Pattern("one upstream turns slow", 0.7, slow_factor=6.0),
    Pattern("refused clients return often", 1.3, returns=4),
)


@dataclasses.dataclass(frozen=True)
class Figures:
    """Shares of all requests, the worth of one, and fairness of kinds."""

    in_time: float
    late: float
    refused: float
    worth: float
    fairness: float
    held_ms: float


def play(pattern: Pattern, admission: str, balancing: str) -> Figures:
    """Return the means over ``SEEDS`` of one pattern."""
    found = [_play(pattern, admission, balancing, seed) for seed in SEEDS]
    return Figures(
        *(
            statistics.fmean(getattr(each, field.name) for each in found)
            for field in dataclasses.fields(Figures)
        )
    )


def _play(
    pattern: Pattern, admission: str, balancing: str, seed: int
) -> Figures:
    fleet = loadmodel.Fleet(
        SPEEDS,
        ADMISSION[admission],
        lambda: _seeded(balancing, seed),
        returns=pattern.returns,
        seed=seed,
    )
    if pattern.slow_factor > 1:
        fleet.targets[-1].slow = (4.0, 8.0)
        fleet.targets[-1].slow_factor = pattern.slow_factor
    rate = fleet.capacity() * pattern.load
    arrivals = loadmodel.steady(rate, SECONDS, KINDS, seed, pattern.burst)
    tally = fleet.run(arrivals)
    return Figures(
        in_time=tally.in_time / tally.total,
        late=tally.late / tally.total,
        refused=tally.refused / tally.total,
        worth=tally.worth / tally.total,
        fairness=tally.fairness(),
        held_ms=1000 * tally.held_s / max(1, tally.refused),
    )


def _seeded(balancing: str, seed: int) -> _balancer.Picker:
    """Return a picker that draws the same numbers every time."""
    picker = _balancer.picker(balancing)
    if hasattr(picker, "_rng"):
        picker._rng = random.Random(seed)
    return picker


def rows() -> list[str]:
    """Return a table of all patterns and pairs of policies."""
    lines = [
        "| pattern | admission | balancing | worth | in time | late "
        "| refused | fairness | refused after |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    pairs = [("objective", b) for b in BALANCING] + [("weight", "least-wait")]
    for pattern in PATTERNS:
        for admission, balancing in pairs:
            found = play(pattern, admission, balancing)
            lines.append(
                f"| {pattern.name} | {admission} | {balancing} "
                f"| {found.worth:.3f} | {found.in_time:.3f} "
                f"| {found.late:.3f} | {found.refused:.3f} "
                f"| {found.fairness:.2f} | {found.held_ms:.0f} ms |"
            )
    return lines


def draw(folder: pathlib.Path) -> None:
    """Draw the shares against the load offered, a picture a pair."""
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for admission in ADMISSION:
        for balancing in BALANCING:
            figures = [
                play(Pattern("steady", load), admission, balancing)
                for load in LOADS
            ]
            picture, axes = pyplot.subplots()
            for name in ("in_time", "late", "refused", "fairness"):
                axes.plot(LOADS, [getattr(f, name) for f in figures])
            axes.legend(["in time", "late", "refused", "fairness"])
            axes.set_xlabel("load offered, of what the upstreams can run")
            axes.set_ylabel("share of requests")
            axes.set_title(f"{admission}, {balancing}")
            picture.savefig(folder / f"{admission}-{balancing}.svg")
            pyplot.close(picture)


def main() -> None:
    """Print the table, and draw if a folder is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plots", type=pathlib.Path)
    options = parser.parse_args()
    print("\n".join(rows()))
    if options.plots:
        draw(options.plots)


if __name__ == "__main__":
    main()
