"""Choosing a target for a request.

The load of a target is what its guard said in its last answer, fading
towards what this entry itself has in flight there.  Taken is whoever is
expected to answer within the objective, by its load and the speed that its
guard has learnt; going to another failure domain or region must save more
than it costs.
"""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import enum
import itertools
import random
import typing

from chiveroad.traffic import _reachability

WIDEN_LOAD: typing.Final = 0.5
CROSS_LOAD: typing.Final = 1.0
FADE_S: typing.Final = 0.5
SLOW_START_S: typing.Final = 10.0
SLOW_START_FLOOR: typing.Final = 0.1
EJECT_AFTER_FAILURES: typing.Final = 3
EJECT_S: typing.Final = 5.0
EJECT_FAILING_SHARE: typing.Final = 0.3
"""The share of failures that is no accident: healthy targets fail one
request in a thousand."""

FAILING_SMOOTHING: typing.Final = 0.1
FAILURE_STATUS: typing.Final = 500
MAX_EJECTED_SHARE: typing.Final = 0.5
MAX_WEIGHED: typing.Final = 8
UNKNOWN_SERVICE_MS: typing.Final = 20.0
CROWDING: typing.Final = 0.2
"""By how much a request slows down while all slots are taken but none
waits: targets may get slower as they fill."""

JITTER: typing.Final = 0.05
"""Entries that know the same must not all choose the same target."""

_T = typing.TypeVar("_T")


class Distance(enum.IntEnum):
    """How far a target is from the entry."""

    DOMAIN = 0
    REGION = 1
    REMOTE = 2


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What an entry has learnt of one target.

    ``reported`` is the guard's running and queued requests, ``slots`` its
    slots, ``reported_s`` and the other times are monotonic seconds.
    """

    since_s: float
    in_flight: int = 0
    reported: int = 0
    slots: int = 1
    reported_s: float = 0.0
    failures: int = 0
    failing_share: float = 0.0
    ejected_until_s: float = 0.0
    blocked_until_s: float = 0.0
    service_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_load(
        self,
        running: int,
        slots: int,
        now_s: float,
        kind: str = "",
        service_ms: float = 0.0,
    ) -> None:
        """Take in what the guard said of its load and of its speed."""
        self.reported = running
        self.slots = max(1, slots)
        self.reported_s = now_s
        if kind and service_ms:
            self.service_ms[kind] = service_ms

    def completion_ms(self, kind: str, outstanding: int) -> float:
        """Return how long a request would probably take here.

        It is the time that one takes alone, longer by what the requests
        before it need when they outnumber the slots.  A target that is
        not known yet counts as fast, so that it is tried.
        """
        service_ms = self.service_ms.get(kind, UNKNOWN_SERVICE_MS)
        turns = (outstanding + 1) / self.slots
        crowded = max(0.0, turns - 1.0)
        return service_ms * (1.0 + turns * CROWDING + crowded)

    def outstanding(self, now_s: float) -> int:
        """Return how many requests run or wait there, as far as known."""
        age_s = now_s - self.reported_s
        fresh = max(0.0, 1.0 - age_s / FADE_S)
        return max(self.in_flight, round(self.reported * fresh))

    def record_answer(self, status: int, now_s: float) -> None:
        """Note an answer of the target's own, which may be a failure."""
        if status >= FAILURE_STATUS:
            self.record_failure(now_s)
            return
        self.failures = 0
        self.failing_share -= FAILING_SMOOTHING * self.failing_share

    def record_failure(self, now_s: float) -> None:
        """Note a failure.

        Several in a row eject the target, or a large share of its last
        answers: its health check may be good all the while.
        """
        self.failures += 1
        self.failing_share += FAILING_SMOOTHING * (1 - self.failing_share)
        in_a_row = self.failures >= EJECT_AFTER_FAILURES
        if in_a_row or self.failing_share > EJECT_FAILING_SHARE:
            self.ejected_until_s = now_s + EJECT_S
            # Once it is back it is judged by what it does then.
            self.failing_share /= 2

    def record_block(self, now_s: float, for_s: float) -> None:
        """Note that the guard refuses new work for a while."""
        self.blocked_until_s = max(self.blocked_until_s, now_s + for_s)

    def load(self, outstanding: int, now_s: float) -> float:
        """Return the load, where 1 means that every slot is taken."""
        room = self.slots * self._ramp(now_s)
        return (outstanding + 1) / room - 1 / self.slots

    def _ramp(self, now_s: float) -> float:
        warm = (now_s - self.since_s) / SLOW_START_S
        return min(1.0, max(SLOW_START_FLOOR, warm))


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that could be chosen, as it stands now.

    It isn't frozen, as some are made for every request, and a frozen one
    takes three times as long to make.
    """

    instance: str
    distance: Distance
    load: float
    ejected: bool = False
    blocked: bool = False
    reported: int = 0
    completion_ms: float = 0.0
    objective_ms: int = 0
    answer_bytes: float = 0.0
    reachability: _reachability.State = _reachability.State.REACHABLE


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """What a request asks of a target.

    ``answer_bytes`` is how large the answers to its kind usually are.
    """

    kind: str = ""
    objective_ms: int = 0
    answer_bytes: float = 0.0


def candidate(
    instance: str,
    distance: Distance,
    stats: TargetStats,
    now_s: float,
    profile: RequestProfile = RequestProfile(),
    reachability: _reachability.State = _reachability.State.REACHABLE,
) -> Candidate:
    """Return a candidate as its statistics say."""
    outstanding = stats.outstanding(now_s)
    return Candidate(
        instance,
        distance,
        stats.load(outstanding, now_s),
        stats.ejected_until_s > now_s,
        stats.blocked_until_s > now_s,
        stats.reported,
        stats.completion_ms(profile.kind, outstanding),
        profile.objective_ms,
        profile.answer_bytes,
        reachability,
    )


def sample(
    near: collections.abc.Sequence[_T], rng: random.Random
) -> collections.abc.Sequence[_T]:
    """Return those of one distance that are worth weighing.

    Weighing costs time for each; a random few of many serve two random
    choices as well as all of them.
    """
    if len(near) <= MAX_WEIGHED:
        return near
    return rng.sample(near, MAX_WEIGHED)


def pick(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose a candidate, or None where there is none at all.

    Ejected ones count as absent, unless more than ``MAX_EJECTED_SHARE`` are
    ejected: then the judgement is doubted and nobody is.  Blocked ones have
    just refused, and are taken only when all have.
    """
    healthy = _healthy(candidates)
    open_ = [entry for entry in healthy if not entry.blocked]
    best: Candidate | None = None
    for reach, limit in _reaches(open_ or healthy):
        best = _two_choices(reach, rng)
        if best.load <= limit:
            break
    return best


def _healthy(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Sequence[Candidate]:
    healthy = [entry for entry in candidates if not entry.ejected]
    ejected = len(candidates) - len(healthy)
    if ejected > MAX_EJECTED_SHARE * len(candidates):
        return candidates
    return healthy


def _reaches(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Iterator[tuple[list[Candidate], float]]:
    limits = {Distance.DOMAIN: WIDEN_LOAD, Distance.REGION: CROSS_LOAD}
    for distance in Distance:
        reach = [entry for entry in candidates if entry.distance <= distance]
        if reach:
            yield reach, limits.get(distance, float("inf"))


def _two_choices(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if first.load <= second.load else second


class Picker(abc.ABC):
    """A way to choose among the targets that can be asked."""

    @abc.abstractmethod
    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Return the chosen one, or None where there is none at all."""


class TwoChoices(Picker):
    """A baseline: see ``pick``."""

    def __init__(self) -> None:
        self._rng = random.Random()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by load learnt, near before far."""
        return pick(candidates, self._rng)


LATE_AT_OBJECTIVE: typing.Final = 0.4
"""How many of a target's answers are late when their mean takes as long as
the objective: service times are skewed, so less than half."""

LATE_POWER: typing.Final = 3
"""How fast answers become late as their mean nears the objective."""

DEFAULT_OBJECTIVE_MS: typing.Final = 1_000

WAY_COST: typing.Final = {
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.005,
    Distance.REMOTE: 0.04,
}
"""What the way there and back costs, as a share of an answer's worth."""

COST_PER_KB: typing.Final = {
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.01,
    Distance.REMOTE: 0.032,
}
"""What a kilobyte costs on its way, as a share of an answer's worth: the
users' prices for traffic between failure domains and between regions."""

HEAD_KB: typing.Final = 1.0
"""The heads of a request and its answer on their way."""


class LeastWait(Picker):
    """Whoever costs least: in answers that come late, and in the way there.

    Speed alone is no reason to go far, as an answer well within its
    objective is worth no less than an early one.
    """

    def __init__(self) -> None:
        self._rng = random.Random()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by the cost, among those that haven't just refused."""
        healthy = _healthy(candidates)
        open_ = [entry for entry in healthy if not entry.blocked]
        return min(open_ or healthy, key=self._cost, default=None)

    def _cost(self, candidate: Candidate) -> float:
        jitter = 1.0 + JITTER * self._rng.random()
        objective_ms = candidate.objective_ms or DEFAULT_OBJECTIVE_MS
        share = candidate.completion_ms * jitter / objective_ms
        late = LATE_AT_OBJECTIVE * share**LATE_POWER
        kilobytes = HEAD_KB + candidate.answer_bytes / 1000
        way = WAY_COST[candidate.distance]
        return late + way + kilobytes * COST_PER_KB[candidate.distance]


class RoundRobin(Picker):
    """A baseline: all in turn, wherever they are."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose the next in turn."""
        if not candidates:
            return None
        return candidates[next(self._turn) % len(candidates)]


class LeastReported(Picker):
    """A baseline: whoever reported the least load last."""

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by the last report, however old."""
        return min(candidates, key=lambda c: c.reported, default=None)


def picker(name: str) -> Picker:
    """Return a picker by its name in the settings."""
    kinds: dict[str, type[Picker]] = {
        "least-wait": LeastWait,
        "two-choices": TwoChoices,
        "round-robin": RoundRobin,
        "least-reported": LeastReported,
    }
    return kinds[name]()
