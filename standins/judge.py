"""Checks the answers of a run against the executions of the targets."""

from __future__ import annotations

import collections.abc
import dataclasses

from standins import caller

Outcome = tuple[caller.RequestSpec, caller.Result]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The outcome of a run.

    ``doubled`` lists requests other than GET, which must not be repeated,
    that ran more than once, by key if they had one.  ``untrue`` lists requests
    that ran although their refusal said that they didn't.  ``cut`` lists
    requests whose answer was truncated or belongs to another request, ``lost``
    the results without any answer.
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
        """Return whether nothing is ``doubled``, ``untrue`` or ``cut``."""
        return not (self.doubled or self.untrue or self.cut)


def judge(
    results: collections.abc.Sequence[Outcome],
    runs: collections.abc.Mapping[str, int],
) -> Verdict:
    """Check results against the number of runs of each request id."""
    runs_by_request: dict[str, int] = {}
    for spec, result in results:
        if spec.method != "GET":
            request = result.key or result.id
            runs_by_request[request] = runs_by_request.get(
                request, 0
            ) + runs.get(result.id, 0)
    answered = [r for _, r in results if r.status]
    return Verdict(
        total=len(results),
        served=sum(r.status == 200 for r in answered),
        refused=sum(r.code > 0 for r in answered),
        doubled=tuple(
            request for request, count in runs_by_request.items() if count > 1
        ),
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
    """Return the weight served in time as a share of the weight offered.

    :param late_ms: the latency above which an answer is late, by path.
    """
    offered_weight = sum(spec.weight for spec, _ in results)
    served_weight = sum(
        spec.weight
        for spec, result in results
        if result.status == 200
        and result.whole
        and result.took_ms <= late_ms.get(spec.path, float("inf"))
    )
    return served_weight / offered_weight if offered_weight else 0.0


def late_share(
    results: collections.abc.Sequence[Outcome],
    late_ms: collections.abc.Mapping[str, float],
) -> float:
    """Return the share of served requests whose answer was late."""
    served = [
        (spec, result) for spec, result in results if result.status == 200
    ]
    late_count = sum(
        result.took_ms > late_ms.get(spec.path, float("inf"))
        for spec, result in served
    )
    return late_count / len(served) if served else 0.0
