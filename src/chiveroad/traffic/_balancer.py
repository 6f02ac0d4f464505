"""Load balancing: choosing a target for a request.

The load of a target is the load that its guard reported with its last answer,
fading towards the mean load of the service, or the number of requests that
this entry itself has in flight there.  The balancer picks a target that is
expected to answer within the latency objective, based on its load, and on the
service time and the pace that its guard reports.  A target in another failure
domain or region is picked only if that saves more than the longer network path
costs.

Failing targets are ejected for a while, new targets get a slow start, and
targets that have just refused a request are blocked for a short time.
"""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import enum
import itertools
import random
import typing

from chiveroad import load
from chiveroad.traffic import _reachability
from chiveroad import wire

MAX_DOMAIN_LOAD: typing.Final = 0.5
MAX_REGION_LOAD: typing.Final = 1.0
FADE_S: typing.Final = 0.5
SLOW_START_S: typing.Final = 10.0
SLOW_START_FLOOR: typing.Final = 0.1
EJECT_AFTER_FAILURES: typing.Final = 3
EJECT_S: typing.Final = 5.0
EJECT_FAILURE_SHARE: typing.Final = 0.3
"""A target whose smoothed share of failures exceeds this is ejected.  Healthy
targets fail one request in a thousand."""

EJECT_FAILURE_RATIO: typing.Final = 2.0
"""How many times the share of all targets of the service this must be, or else
halfway from that share to 1."""

FAILURE_SMOOTHING: typing.Final = 0.1
FAILURE_STATUS: typing.Final = 500
MAX_EJECTED_SHARE: typing.Final = 0.5
MAX_SAMPLED: typing.Final = 8
DEFAULT_SERVICE_MS: typing.Final = 20.0
CROWDING_SLOWDOWN: typing.Final = 0.2
"""The share by which a request takes longer while all slots are taken and
none waits: targets may become slower as they fill."""

_T = typing.TypeVar("_T")


class Distance(enum.IntEnum):
    """How far a target is from the entry."""

    DOMAIN = 0
    REGION = 1
    REMOTE = 2


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What an entry has learnt about one target.

    ``reported`` counts the running and queued requests that its guard last
    reported, and ``slots`` is its number of slots.  ``rate_limit_per_s`` is
    the target's rate limit, which is used up until
    ``rate_limited_until_s``.  ``reported_s`` and the other times are in
    monotonic seconds.  ``peers`` is what was learnt of all targets of the
    service.
    """

    since_s: float
    in_flight: int = 0
    reported: int = 0
    slots: int = 1
    reported_s: float = 0.0
    failures: int = 0
    failure_share: float = 0.0
    ejected_until_s: float = 0.0
    blocked_until_s: float = 0.0
    busy_until_s: float = 0.0
    rate_limited_until_s: float = 0.0
    rate_limit_per_s: float = wire.UNLIMITED
    service_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    pace: load.Pace = dataclasses.field(default_factory=load.Pace)
    peers: load.ServiceLoad = dataclasses.field(
        default_factory=load.ServiceLoad
    )

    def record_load(
        self,
        running: int,
        slots: int,
        now_s: float,
        kind: str = "",
        service_ms: float = 0.0,
        pace: float = load.USUAL_PACE,
    ) -> None:
        """Record the load and the speed that the guard reported.

        :param service_ms: the service time at the usual pace.
        """
        self.pace.learn(pace, now_s)
        self.reported = running
        self.slots = max(1, slots)
        self.reported_s = now_s
        if kind and service_ms:
            self.service_ms[kind] = service_ms

    def completion_ms(
        self, kind: str, outstanding: float, pace_factor: float = 1.0
    ) -> float:
        """Return the expected completion time of a request at this target.

        It is the service time of a single request, plus the time for the
        requests queued before it when they outnumber the slots, or exceed
        the rate limit.  A target without a reported service time counts as
        fast, so that it is tried.
        """
        service_ms = self.service_ms.get(kind, DEFAULT_SERVICE_MS)
        service_ms *= pace_factor
        rounds = (outstanding + 1) / self.slots
        queued_ms = max(
            service_ms * (rounds - 1.0),
            self._rate_wait_ms(service_ms, outstanding),
            0.0,
        )
        return service_ms * (1.0 + rounds * CROWDING_SLOWDOWN) + queued_ms

    def outstanding(self, now_s: float, mean_load: float = 0.0) -> float:
        """Return the estimated number of running and queued requests.

        :param mean_load: the load per slot of the service's targets, to which
            a report fades: one that is old says little about its target.
        """
        age_s = now_s - self.reported_s
        freshness = max(0.0, 1.0 - age_s / FADE_S)
        usual = (1.0 - freshness) * mean_load
        usual *= self._usable_slots(self._mean_service_ms())
        return max(self.in_flight, self.reported * freshness + usual)

    def record_answer(self, status: int, now_s: float) -> None:
        """Record the target's answer; a status of 500 or more is a failure."""
        if status >= FAILURE_STATUS:
            self.record_failure(now_s)
            return
        self.failures = 0
        self.peers.record_outcome(False)
        self.failure_share -= FAILURE_SMOOTHING * self.failure_share

    def record_failure(self, now_s: float) -> None:
        """Record a failure.

        Consecutive failures, or a large share of failures among the recent
        answers, eject the target even while its health checks pass.  While
        many answers of all targets are failures, as when a service that they
        call is full, only a target that fails clearly more is ejected.
        """
        self.failures += 1
        self.peers.record_outcome(True)
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)
        usual_share = self.peers.failure_share
        consecutive = (
            self.failures >= EJECT_AFTER_FAILURES
            and usual_share <= EJECT_FAILURE_SHARE
        )
        clearly_more = min(
            EJECT_FAILURE_RATIO * usual_share, (1.0 + usual_share) / 2
        )
        limit = max(EJECT_FAILURE_SHARE, clearly_more)
        if consecutive or self.failure_share > limit:
            self.ejected_until_s = now_s + EJECT_S
            # After the ejection, the target's new answers decide.
            self.failure_share /= 2

    def record_block(self, now_s: float, for_s: float) -> None:
        """Record that the guard refuses new requests for ``for_s`` seconds."""
        self.blocked_until_s = max(self.blocked_until_s, now_s + for_s)

    def record_busy(self, now_s: float, for_s: float) -> None:
        """Record that the guard had no capacity just now."""
        self.busy_until_s = max(self.busy_until_s, now_s + for_s)

    def load(self, outstanding: float, now_s: float) -> float:
        """Return the load; 1 means that all slots are taken."""
        slots = self._usable_slots(self._mean_service_ms())
        capacity = slots * self._slow_start_share(now_s)
        return (outstanding + 1) / capacity - 1 / slots

    def _mean_service_ms(self) -> float:
        if not self.service_ms:
            return DEFAULT_SERVICE_MS
        return sum(self.service_ms.values()) / len(self.service_ms)

    def _rate_wait_ms(self, service_ms: float, outstanding: float) -> float:
        """Return how long the requests beyond the rate limit take to start."""
        if self.rate_limit_per_s == wire.UNLIMITED:
            return 0.0
        waiting = outstanding + 1 - self._usable_slots(service_ms)
        return max(0.0, 1000 * waiting / self.rate_limit_per_s)

    def _usable_slots(self, service_ms: float) -> float:
        """Return how many slots the rate limit keeps busy."""
        busy = self.rate_limit_per_s * max(1.0, service_ms) / 1000
        return min(self.slots, max(1.0, busy))

    def _slow_start_share(self, now_s: float) -> float:
        share = (now_s - self.since_s) / SLOW_START_S
        return min(1.0, max(SLOW_START_FLOOR, share))


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that can be picked, with its current state.

    The class isn't frozen: several candidates are created for each request,
    and creating a frozen instance takes three times as long.
    """

    instance: str
    distance: Distance
    load: float
    ejected: bool = False
    blocked: bool = False
    busy: bool = False
    reported: int = 0
    completion_ms: float = 0.0
    objective_ms: int = 0
    transfer_bytes: float = 0.0
    reachability: _reachability.State = _reachability.State.REACHABLE


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """The properties of a request that decide where it should run.

    ``answer_bytes`` is the mean size of answers to its kind, and
    ``body_bytes`` the size of its own body.
    """

    kind: str = ""
    objective_ms: int = 0
    answer_bytes: float = 0.0
    body_bytes: float = 0.0


def candidate(
    instance: str,
    distance: Distance,
    stats: TargetStats,
    now_s: float,
    profile: RequestProfile = RequestProfile(),
    reachability: _reachability.State = _reachability.State.REACHABLE,
    mean_load: float = 0.0,
) -> Candidate:
    """Return a candidate with the current state from its statistics."""
    outstanding = stats.outstanding(now_s, mean_load)
    return Candidate(
        instance,
        distance,
        stats.load(outstanding, now_s),
        stats.ejected_until_s > now_s,
        stats.blocked_until_s > now_s,
        stats.busy_until_s > now_s,
        stats.reported,
        stats.completion_ms(
            profile.kind, outstanding, stats.pace.factor(now_s)
        ),
        profile.objective_ms,
        profile.answer_bytes + profile.body_bytes,
        reachability,
    )


def sample(
    items: collections.abc.Sequence[_T], rng: random.Random
) -> collections.abc.Sequence[_T]:
    """Return at most ``MAX_SAMPLED`` random items of one distance.

    Each candidate costs time; for two random choices, a random sample of
    many targets is as good as all of them.
    """
    if len(items) <= MAX_SAMPLED:
        return items
    return rng.sample(items, MAX_SAMPLED)


def pick(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the less loaded of two random candidates, nearest scope first.

    Ejected candidates are left out, unless more than ``MAX_EJECTED_SHARE``
    of all candidates are ejected: then the ejections are probably wrong and
    are ignored.  Blocked candidates have just refused a request and are
    picked only when all candidates are blocked.

    :returns: None when there are no candidates.
    """
    best: Candidate | None = None
    for scope, max_load in _search_scopes(eligible(candidates)):
        best = _two_choices(scope, rng)
        if best.load <= max_load:
            break
    return best


def eligible(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Sequence[Candidate]:
    """Return the candidates that are neither ejected, blocked nor busy.

    If all are, those are returned that are ignored with the least reason.
    """
    healthy = _healthy(candidates)
    unblocked = [candidate for candidate in healthy if not candidate.blocked]
    return without_busy(unblocked or healthy)


def without_busy(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Sequence[Candidate]:
    """Leave out busy candidates where others at the same distance aren't.

    A busy target has capacity again after some milliseconds, which costs a
    request less than the path to a more distant target.
    """
    free = {each.distance for each in candidates if not each.busy}
    return [
        each
        for each in candidates
        if not each.busy or each.distance not in free
    ]


def _healthy(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Sequence[Candidate]:
    healthy = [candidate for candidate in candidates if not candidate.ejected]
    ejected = len(candidates) - len(healthy)
    if ejected > MAX_EJECTED_SHARE * len(candidates):
        return candidates
    return healthy


def _search_scopes(
    candidates: collections.abc.Sequence[Candidate],
) -> collections.abc.Iterator[tuple[list[Candidate], float]]:
    max_loads = {
        Distance.DOMAIN: MAX_DOMAIN_LOAD,
        Distance.REGION: MAX_REGION_LOAD,
    }
    for distance in Distance:
        scope = [
            candidate
            for candidate in candidates
            if candidate.distance <= distance
        ]
        if scope:
            yield scope, max_loads.get(distance, float("inf"))


def _two_choices(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if first.load <= second.load else second


class Picker(abc.ABC):
    """A load-balancing policy."""

    @abc.abstractmethod
    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Return the chosen candidate, or None when there are none."""

    def cost(self, candidate: Candidate) -> float | None:
        """Return what is compared, or None if it isn't one figure."""
        return None


class TwoChoices(Picker):
    """A baseline: two random choices, see ``pick``."""

    def __init__(self) -> None:
        self._rng = random.Random()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by load, near targets before far ones."""
        return pick(candidates, self._rng)


LATE_SHARE_AT_OBJECTIVE: typing.Final = 0.4
"""The share of a target's answers that are late when their mean time equals
the objective: less than half, because service times are skewed."""

LATE_EXPONENT: typing.Final = 3
"""How steeply the share of late answers rises as their mean time approaches
the objective."""

DEFAULT_OBJECTIVE_MS: typing.Final = 1_000

PATH_COST: typing.Final = {
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.005,
    Distance.REMOTE: 0.04,
}
"""The cost of the network path there and back, as a share of the value of
an answer."""

COST_PER_KB: typing.Final = {
    Distance.DOMAIN: 0.0,
    Distance.REGION: 0.025,
    Distance.REMOTE: 0.08,
}
"""The cost of transferring a kilobyte, as a share of the value of an answer:
the middle of what operators state for traffic between failure domains (0.008
to 0.07) and between regions (0.03 to 0.2)."""

EQUAL_COST: typing.Final = 0.005
"""Costs that differ by less count as equal: an estimate of the load that is a
second old is no more exact.  It is less than any longer path costs."""

HEADERS_KB: typing.Final = 1.0
"""The size of the headers of a request and its answer."""


class LeastWait(Picker):
    """The target with the least cost: expected late answers plus network path.

    A faster target alone doesn't justify a longer path, because an answer
    well within its objective is worth as much as an earlier one.
    """

    def __init__(self) -> None:
        self._rng = random.Random()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by cost, among the candidates that are not blocked.

        Of those that cost nearly the least, two random ones are compared, so
        that many entries with similar knowledge don't choose the same target.
        """
        costs = [(self.cost(each), each) for each in eligible(candidates)]
        if not costs:
            return None
        limit = min(cost for cost, _ in costs) + EQUAL_COST
        near = [pair for pair in costs if pair[0] <= limit]
        # The sample is in random order, which decides between equal costs.
        compared = self._rng.sample(near, min(2, len(near)))
        return min(compared, key=lambda pair: pair[0])[1]

    def cost(self, candidate: Candidate) -> float:
        """Return the expected cost, as a share of the value of an answer."""
        objective_ms = candidate.objective_ms or DEFAULT_OBJECTIVE_MS
        objective_share = candidate.completion_ms / objective_ms
        late_share = min(
            1.0, LATE_SHARE_AT_OBJECTIVE * objective_share**LATE_EXPONENT
        )
        kilobytes = HEADERS_KB + candidate.transfer_bytes / 1000
        path_cost = PATH_COST[candidate.distance]
        return (
            late_share
            + path_cost
            + kilobytes * COST_PER_KB[candidate.distance]
        )


class RoundRobin(Picker):
    """A baseline: all targets in turn, regardless of distance."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose the next target in turn."""
        if not candidates:
            return None
        return candidates[next(self._counter) % len(candidates)]


class LeastReported(Picker):
    """A baseline: the target with the least load in its last report."""

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Choose by the last reported load, regardless of its age."""
        return min(
            candidates, key=lambda candidate: candidate.reported, default=None
        )


def picker(name: str) -> Picker:
    """Return the picker that a name in the settings selects."""
    pickers: dict[str, type[Picker]] = {
        "least-wait": LeastWait,
        "two-choices": TwoChoices,
        "round-robin": RoundRobin,
        "least-reported": LeastReported,
    }
    return pickers[name]()
