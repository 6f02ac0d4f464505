"""Judging a run: what callers were told against what targets recorded."""

from __future__ import annotations

import collections.abc
import dataclasses

from standins import caller

Outcome = tuple[caller.RequestSpec, caller.Result]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run came to.

    ``doubled`` are requests that may not be repeated and ran more than once,
    by key where they had one.  ``untrue`` are refusals that said "not run"
    of a request that ran.  ``cut`` got something that is not the whole
    answer to their own request, and ``lost`` no answer at all.
    """

    total: int
    served: int
    refused: int
    doubled: tuple[str, ...]
    untrue: tuple[str, ...]
    cut: tuple[str, ...]
    lost: tuple[caller.Result, ...]

    @property
    def clean(self) -> bool:
        """Tell whether nothing was doubled, untrue or cut."""
        return not (self.doubled or self.untrue or self.cut)


def judge(
    results: collections.abc.Sequence[Outcome],
    runs: collections.abc.Mapping[str, int],
) -> Verdict:
    """Judge results by the targets' count of runs for each request id."""
    by_key: dict[str, int] = {}
    for work, result in results:
        if work.method != "GET":
            name = result.key or result.id
            by_key[name] = by_key.get(name, 0) + runs.get(result.id, 0)
    answered = [r for _, r in results if r.status]
    return Verdict(
        total=len(results),
        served=sum(r.status == 200 for r in answered),
        refused=sum(r.code > 0 for r in answered),
        doubled=tuple(name for name, count in by_key.items() if count > 1),
        untrue=tuple(
            r.id for r in answered if r.ran == "no" and runs.get(r.id, 0)
        ),
        cut=tuple(r.id for r in answered if not r.whole),
        lost=tuple(r for _, r in results if not r.status),
    )


def weighted_service(
    results: collections.abc.Sequence[Outcome],
    late_ms: collections.abc.Mapping[str, float],
) -> float:
    """Return the weight served in time as a share of the weight asked.

    :param late_ms: from which time an answer counts as late, by path.
    """
    asked = sum(work.weight for work, _ in results)
    served = sum(
        work.weight
        for work, result in results
        if result.status == 200
        and result.whole
        and result.took_ms <= late_ms.get(work.path, float("inf"))
    )
    return served / asked if asked else 0.0


def late_share(
    results: collections.abc.Sequence[Outcome],
    late_ms: collections.abc.Mapping[str, float],
) -> float:
    """Return the share of served requests whose answer came late."""
    served = [(w, r) for w, r in results if r.status == 200]
    late = sum(
        r.took_ms > late_ms.get(w.path, float("inf")) for w, r in served
    )
    return late / len(served) if served else 0.0
