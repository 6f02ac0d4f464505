"""Parts of the model in ``placement``: targets, requests, outcomes."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chiveroad import clock
from chiveroad import load
from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _objective

DOMAINS: typing.Final = 4
DOMAINS_PER_REGION: typing.Final = 2
SLOTS: typing.Final = (6, 3)
SPEEDS: typing.Final = (0.55, 1.6)
WORK_S: typing.Final = 0.12
OBJECTIVE_S: typing.Final = 0.6
DEADLINE_S: typing.Final = 2.5
LATE_CREDIT: typing.Final = 0.35
SLOW_FACTOR: typing.Final = 2.5
SLOW_SHARE: typing.Final = 6
"""One in this many targets is slow at a time."""

SLOW_TURN_S: typing.Final = 0.6
WAVE_S: typing.Final = 5.0
QUEUE_LENGTH: typing.Final = 24
BLOCK_S: typing.Final = 0.05
HOP_S: typing.Final = {
    _balancer.Distance.DOMAIN: 0.002,
    _balancer.Distance.REGION: 0.003,
    _balancer.Distance.REMOTE: 0.014,
}
"""One way, with the processor time of both daemons."""


PRICES: typing.Final = {
    distance: _balancer.PATH_COST[distance]
    + _balancer.HEADERS_KB * _balancer.COST_PER_KB[distance]
    for distance in _balancer.Distance
}
"""What a try costs, as a share of the value of an answer."""


class Cheapest(_balancer.LeastWait):
    """The earlier choice: the candidate with the least cost.

    The expected completion time varies by 5%, so that entries with the same
    knowledge differ.
    """

    def pick(
        self, candidates: collections.abc.Sequence[_balancer.Candidate]
    ) -> _balancer.Candidate | None:
        """Choose by cost alone, among the candidates that aren't blocked."""
        unblocked = [each for each in candidates if not each.blocked]
        return min(unblocked or candidates, key=self._varied, default=None)

    def _varied(self, candidate: _balancer.Candidate) -> float:
        candidate.completion_ms *= 1.0 + 0.05 * self._rng.random()
        return self.cost(candidate)


@dataclasses.dataclass(frozen=True)
class Options:
    """The decisions that are in use."""

    moves: bool = True
    pace: bool = True
    fades_to_mean: bool = True
    random_near: bool = True
    central: bool = False
    policy: collections.abc.Callable[[], _admission.Policy] = (
        _objective.ObjectiveFirst
    )


@dataclasses.dataclass(frozen=True)
class Load:
    """A load pattern, as a share of what the targets can run."""

    share: float = 0.7
    slow_turns: bool = True
    wave: float = 0.0
    inner_share: float = 0.0
    weights: tuple[tuple[int, float], ...] = ((1, 1.0),)
    seconds: float = 10.0


@dataclasses.dataclass
class Tally:
    """The outcomes of outer requests.

    ``waited`` counts those that took half their objective to start, and
    ``broken`` those that ended with a failed inner call.  ``price`` is the
    sum of what tries have cost.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0
    waited: int = 0
    tries: int = 0
    moved: int = 0
    far: int = 0
    price: float = 0.0
    by_weight: dict[int, list[int]] = dataclasses.field(default_factory=dict)

    @property
    def total(self) -> int:
        """Return the number of outer requests."""
        return self.in_time + self.late + self.refused + self.broken

    @property
    def worth(self) -> float:
        """Return the mean credit of a request."""
        return (self.in_time + LATE_CREDIT * self.late) / self.total

    @property
    def net(self) -> float:
        """Return the mean credit of a request less the price of its tries."""
        return self.worth - self.price / self.total


@dataclasses.dataclass(eq=False)
class Request:
    """An outer request, or the inner call of one.

    ``ended`` is called with the time and whether it was served.
    """

    service: int
    entry: int
    weight: int
    arrived_s: float
    sent_s: float
    ended: collections.abc.Callable[[float, bool], None]
    inner: bool = False
    calls_inner: bool = False
    attempts: int = 1
    tried: list[int] = dataclasses.field(default_factory=list)
    busy: set[int] = dataclasses.field(default_factory=set)
    patience_s: float = clock.NEVER_S

    @property
    def objective_s(self) -> float:
        """Return when an answer begins to be late."""
        return self.arrived_s + OBJECTIVE_S

    @property
    def deadline_s(self) -> float:
        """Return when the client gives up."""
        return self.arrived_s + DEADLINE_S


@dataclasses.dataclass(eq=False)
class Target:
    """A target, its speed, and the admission control of its guard."""

    index: int
    domain: int
    speed: float
    slots: int
    turn: int
    admission: _admission.Admission

    def factor(self, now_s: float, slow_turns: bool) -> float:
        """Return the factor by which work takes longer than usual."""
        slow = int(now_s / SLOW_TURN_S) % SLOW_SHARE == self.turn
        return SLOW_FACTOR if slow and slow_turns else 1.0

    def end_s(self, now_s: float, work_s: float, slow_turns: bool) -> float:
        """Return when work that starts now ends."""
        left_s = work_s / self.speed
        while True:
            factor = self.factor(now_s, slow_turns)
            boundary_s = (int(now_s / SLOW_TURN_S + 1e-9) + 1) * SLOW_TURN_S
            done_s = (boundary_s - now_s) / factor
            if done_s >= left_s:
                return now_s + left_s * factor
            left_s -= done_s
            now_s = boundary_s + 1e-9


@dataclasses.dataclass(eq=False)
class Entry:
    """What one entry knows."""

    domain: int
    picker: _balancer.Picker
    stats: list[list[_balancer.TargetStats]]
    loads: list[load.ServiceLoad]
