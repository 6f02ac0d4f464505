"""Simulated comparison of admission and balancing policies.

``python -m standins.experiments`` prints a table of all load patterns in some
seconds, and with ``--placement`` a table of the decisions about where work
goes, in some minutes.  ``--plots DIR`` also plots the shares of requests that
are served in time, late and refused against the offered load, which needs
``requirements-experiments.txt``.
"""

from __future__ import annotations

import argparse
import collections.abc
from concurrent import futures
import dataclasses
import functools
import itertools
import pathlib
import random
import statistics
import typing

from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _objective
from standins import loadmodel
from standins import placement
from standins import placement_parts as parts

DURATION_S: typing.Final = 12.0
TARGET_SPEEDS: typing.Final = (0.5, 1.0, 1.0, 1.5)
"""Speeds differ as much as between targets at the users' sites."""

KINDS: typing.Final = {"read": (0.7, 1), "write": (0.3, 8)}
PLOTTED_LOADS: typing.Final = (0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
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
    """A load pattern: the load as a share of capacity, and disturbances."""

    name: str
    load: float
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    slow_factor: float = 1.0
    client_retries: int = 1


PATTERNS: typing.Final = (
    Pattern("calm", 0.7),
    Pattern("nearly full", 0.95),
    Pattern("overload that lasts", 1.5),
    Pattern("a burst beyond capacity", 0.8, burst=(4.0, 7.0, 2.0)),
    Pattern("one upstream turns slow", 0.7, slow_factor=6.0),
    Pattern("refused clients return often", 1.3, client_retries=4),
)


PLACEMENT_PROCESSES: typing.Final = 4
BEFORE: typing.Final = parts.Options(
    moves=False, pace=False, fades_to_mean=False, random_near=False
)
PLACEMENT: typing.Final[dict[str, parts.Options]] = {
    "before": BEFORE,
    "two of the nearly equal": dataclasses.replace(BEFORE, random_near=True),
    "fades to the mean": dataclasses.replace(BEFORE, fades_to_mean=True),
    "pace": dataclasses.replace(BEFORE, pace=True),
    "moves": dataclasses.replace(BEFORE, moves=True),
    "all": parts.Options(),
    "all but pace": parts.Options(pace=False),
    "central queue": parts.Options(central=True),
}
PLACEMENT_LOADS: typing.Final[dict[str, parts.Load]] = {
    "0.6": parts.Load(0.6),
    "0.8, waves": parts.Load(0.8, wave=0.55),
    "0.95, waves": parts.Load(0.95, wave=0.55),
    "1.3": parts.Load(1.3),
    "0.75, inner calls": parts.Load(0.75, inner_share=0.4),
}


@dataclasses.dataclass(frozen=True)
class Figures:
    """Shares of all requests, mean credit of a request, and fairness.

    ``refused_after_ms`` is the mean time from arrival to refusal.
    """

    in_time: float
    late: float
    refused: float
    worth: float
    fairness: float
    refused_after_ms: float


def run_pattern(pattern: Pattern, admission: str, balancing: str) -> Figures:
    """Return the figures of a pattern, as means over ``SEEDS``."""
    figures_by_seed = [
        _run_pattern_once(pattern, admission, balancing, seed)
        for seed in SEEDS
    ]
    return Figures(
        *(
            statistics.fmean(
                getattr(figures_of_seed, field.name)
                for figures_of_seed in figures_by_seed
            )
            for field in dataclasses.fields(Figures)
        )
    )


def _run_pattern_once(
    pattern: Pattern, admission: str, balancing: str, seed: int
) -> Figures:
    fleet = loadmodel.Fleet(
        TARGET_SPEEDS,
        ADMISSION[admission],
        lambda: _seeded_picker(balancing, seed),
        client_retries=pattern.client_retries,
        seed=seed,
    )
    if pattern.slow_factor > 1:
        fleet.targets[-1].slow_period_s = (4.0, 8.0)
        fleet.targets[-1].slow_factor = pattern.slow_factor
    rate = fleet.capacity() * pattern.load
    arrivals = loadmodel.steady(rate, DURATION_S, KINDS, seed, pattern.burst)
    tally = fleet.run(arrivals)
    return Figures(
        in_time=tally.in_time / tally.total,
        late=tally.late / tally.total,
        refused=tally.refused / tally.total,
        worth=tally.worth / tally.total,
        fairness=tally.fairness(),
        refused_after_ms=1000 * tally.refused_after_s / max(1, tally.refused),
    )


def _seeded_picker(balancing: str, seed: int) -> _balancer.Picker:
    """Return a picker whose random numbers are reproducible."""
    picker = _balancer.picker(balancing)
    if hasattr(picker, "_rng"):
        picker._rng = random.Random(seed)
    return picker


def table_rows() -> list[str]:
    """Return the table of all patterns and pairs of policies."""
    lines = [
        "| pattern | admission | balancing | worth | in time | late "
        "| refused | fairness | refused after |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    pairs = [("objective", b) for b in BALANCING] + [("weight", "least-wait")]
    for pattern in PATTERNS:
        for admission, balancing in pairs:
            figures = run_pattern(pattern, admission, balancing)
            lines.append(
                f"| {pattern.name} | {admission} | {balancing} "
                f"| {figures.worth:.3f} | {figures.in_time:.3f} "
                f"| {figures.late:.3f} | {figures.refused:.3f} "
                f"| {figures.fairness:.2f} "
                f"| {figures.refused_after_ms:.0f} ms |"
            )
    return lines


def draw_plots(folder: pathlib.Path) -> None:
    """Plot the shares against the load, one plot per pair of policies."""
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for admission in ADMISSION:
        for balancing in BALANCING:
            figures = [
                run_pattern(Pattern("steady", load), admission, balancing)
                for load in PLOTTED_LOADS
            ]
            picture, axes = pyplot.subplots()
            for name in ("in_time", "late", "refused", "fairness"):
                axes.plot(
                    PLOTTED_LOADS, [getattr(point, name) for point in figures]
                )
            axes.legend(["in time", "late", "refused", "fairness"])
            axes.set_xlabel("load offered, of what the upstreams can run")
            axes.set_ylabel("share of requests")
            axes.set_title(f"{admission}, {balancing}")
            picture.savefig(folder / f"{admission}-{balancing}.svg")
            pyplot.close(picture)


def placement_rows(
    seeds: collections.abc.Sequence[int], seconds: float
) -> collections.abc.Iterator[str]:
    """Yield the rows of a table of loads and decisions."""
    yield (
        "| load | decisions | net | worth | in time | late | refused | broken "
        "| long wait | tries | moved | remote |"
    )
    yield "| --- " * 12 + "|"
    cases = list(itertools.product(PLACEMENT_LOADS, PLACEMENT))
    run = functools.partial(_placement_row, seeds, seconds)
    with futures.ProcessPoolExecutor(PLACEMENT_PROCESSES) as pool:
        yield from pool.map(run, cases)


def _placement_row(
    seeds: collections.abc.Sequence[int],
    seconds: float,
    case: tuple[str, str],
) -> str:
    load_name, name = case
    pattern = dataclasses.replace(PLACEMENT_LOADS[load_name], seconds=seconds)
    tallies = [
        placement.Fleet(pattern, PLACEMENT[name], seed=seed).run()
        for seed in seeds
    ]
    figures = [
        statistics.fmean(values)
        for values in zip(*map(_placement_figures, tallies))
    ]
    cells = " | ".join(f"{figure:.3f}" for figure in figures)
    return f"| {load_name} | {name} | {cells} |"


def _placement_figures(tally: parts.Tally) -> tuple[float, ...]:
    counts = (
        tally.in_time,
        tally.late,
        tally.refused,
        tally.broken,
        tally.waited,
        tally.tries,
        tally.moved,
        tally.far,
    )
    shares = (count / tally.total for count in counts)
    return (tally.net, tally.worth, *shares)


def main() -> None:
    """Print the table, and write the plots if there is a folder for them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--placement", action="store_true")
    parser.add_argument("--plots", type=pathlib.Path)
    options = parser.parse_args()
    if options.placement:
        for row in placement_rows(SEEDS[:2], seconds=5.0):
            print(row, flush=True)
        return
    print("\n".join(table_rows()))
    if options.plots:
        draw_plots(options.plots)


if __name__ == "__main__":
    main()
