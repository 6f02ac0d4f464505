"""A load model of targets, without sockets: policies under patterns.

Time jumps from event to event.  A fleet has targets with slots, speeds and
the guard's admission before each; entries that choose by what answers have
told them; clients that come back after a refusal.  The parts that decide are
the product's own.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer

SLOTS: typing.Final = 10
QUEUE_LENGTH: typing.Final = 64
WORK_S: typing.Final = 0.2
OBJECTIVE_S: typing.Final = 0.6
DEADLINE_S: typing.Final = 2.5
WAY_S: typing.Final = 0.001
"""One way between an entry and a guard of the same region."""

LATE_WORTH: typing.Final = 0.3
OVERLOAD_BLOCK_S: typing.Final = 0.05


@dataclasses.dataclass
class Tally:
    """What became of the requests; ``held_s`` is how long refused ones were.

    ``asked`` and ``by_kind`` (answered within the objective) count by kind.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    held_s: float = 0.0
    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def worth(self) -> float:
        """Return the credit earned, late answers at ``LATE_WORTH``."""
        return self.in_time + LATE_WORTH * self.late

    @property
    def total(self) -> int:
        """Return how many requests there were."""
        return self.in_time + self.late + self.refused

    def fairness(self) -> float:
        """Return the least share in time of a kind against the greatest."""
        shares = [self.by_kind[kind] / n for kind, n in self.asked.items()]
        return min(shares) / max(shares) if max(shares, default=0) else 0.0


@dataclasses.dataclass
class Request:
    """One request of a client, through all its tries."""

    kind: str
    weight: int
    first_s: float
    tries: int = 1
    tried: tuple[int, ...] = ()

    @property
    def deadline_s(self) -> float:
        """Return when the client gives up."""
        return self.first_s + DEADLINE_S


@dataclasses.dataclass
class Target:
    """A target: its guard's admission, its speed, when it is slow.

    ``speed`` divides the time of a request; within ``slow`` it is divided
    by ``slow_factor`` once more.
    """

    admission: _admission.Admission
    speed: float = 1.0
    slow: tuple[float, float] = (0.0, 0.0)
    slow_factor: float = 1.0

    def work_s(self, now_s: float, rng: random.Random) -> float:
        """Return how long a request takes that begins now."""
        begun, ended = self.slow
        factor = self.slow_factor if begun <= now_s < ended else 1.0
        return rng.uniform(0.5, 1.5) * WORK_S / self.speed * factor


class Fleet:
    """Targets behind entries that know only what answers told them.

    :param policy: makes the admission policy of each guard.
    :param picker: makes the balancing of each entry.
    :param returns: how often a refused client comes back, each time when
        its refusal said.
    """

    def __init__(
        self,
        speeds: collections.abc.Sequence[float],
        policy: collections.abc.Callable[[], _admission.Policy],
        picker: collections.abc.Callable[[], _balancer.Picker],
        entries: int = 4,
        returns: int = 1,
        seed: int = 1,
    ) -> None:
        limits = _admission.Limits(SLOTS, QUEUE_LENGTH)
        self.targets = [
            Target(_admission.Admission(limits, policy()), speed)
            for speed in speeds
        ]
        self._returns = returns
        self._rng = random.Random(seed)
        self._entries = [
            (picker(), [_balancer.TargetStats(since_s=-60.0) for _ in speeds])
            for _ in range(entries)
        ]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._order = itertools.count()
        self._waiting: dict[int, tuple[int, int, Request]] = {}
        self.tally = Tally()

    def capacity(self) -> float:
        """Return how many requests a second the targets can run."""
        return sum(u.speed for u in self.targets) * SLOTS / WORK_S

    def run(
        self, arrivals: collections.abc.Iterable[tuple[float, str, int]]
    ) -> Tally:
        """Play arrivals, each a time, a kind and its weight, to the end."""
        for at_s, kind, weight in arrivals:
            self.tally.asked[kind] += 1
            come = functools.partial(self._come, kind, weight)
            self._at(at_s, come)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.tally

    def _at(
        self, at_s: float, event: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), event))

    def _come(self, kind: str, weight: int, now_s: float) -> None:
        self._choose(now_s, Request(kind, weight, now_s))

    def _choose(self, now_s: float, request: Request) -> None:
        """One entry sends a request to the target that it picks."""
        number = self._rng.randrange(len(self._entries))
        picker, all_stats = self._entries[number]
        wanted = _balancer.RequestProfile(
            request.kind, int(OBJECTIVE_S * 1000)
        )
        candidates = [
            _balancer.candidate(
                str(index), _balancer.Distance.DOMAIN, stats, now_s, wanted
            )
            for index, stats in enumerate(all_stats)
            if index not in request.tried
        ]
        chosen = picker.pick(candidates)
        if chosen is None:
            self._refused(now_s, request, _admission.MIN_RETRY_MS)
            return
        index = int(chosen.instance)
        all_stats[index].in_flight += 1
        request.tried += (index,)
        self._at(
            now_s + WAY_S, lambda t: self._offer(t, number, index, request)
        )

    def _offer(
        self, now_s: float, entry: int, index: int, request: Request
    ) -> None:
        target = self.targets[index]
        ticket = _admission.Ticket(
            "team",
            request.kind,
            request.weight,
            request.deadline_s,
            now_s,
            request.first_s + OBJECTIVE_S,
        )
        self._waiting[id(ticket)] = (entry, index, request)
        waiting = [*target.admission.waiting, ticket]
        target.admission.offer(ticket, now_s)
        self._settle(now_s, target, waiting)

    def _settle(
        self,
        now_s: float,
        target: Target,
        waiting: collections.abc.Iterable[_admission.Ticket],
    ) -> None:
        """Begin what was admitted, and answer what was refused."""
        for ticket in waiting:
            if not ticket.decided.is_set():
                continue
            entry, index, request = self._waiting.pop(id(ticket))
            if ticket.refusal is None:
                end_s = now_s + target.work_s(now_s, self._rng)
                self._at(end_s, self._ending(ticket, entry, index, request))
            else:
                retry_ms = ticket.refusal.retry_after_ms
                self._tell(now_s, entry, index, request.kind)
                stats = self._entries[entry][1][index]
                stats.record_block(
                    now_s, min(retry_ms / 1000, OVERLOAD_BLOCK_S)
                )
                self._refused_by_guard(now_s, request, retry_ms)

    def _ending(
        self,
        ticket: _admission.Ticket,
        entry: int,
        index: int,
        request: Request,
    ) -> collections.abc.Callable[[float], None]:
        def end(now_s: float) -> None:
            target = self.targets[index]
            took_ms = (now_s - ticket.begun_s) * 1000
            target.admission.record_service_time(request.kind, took_ms)
            waiting = list(target.admission.waiting)
            target.admission.finish(ticket, now_s)
            self._tell(now_s, entry, index, request.kind)
            in_time = now_s <= request.first_s + OBJECTIVE_S
            self.tally.in_time += in_time
            self.tally.late += not in_time
            self.tally.by_kind[request.kind] += in_time
            self._settle(now_s, target, waiting)

        return end

    def _tell(self, now_s: float, entry: int, index: int, kind: str) -> None:
        """An answer tells an entry the load and the speed."""
        admission = self.targets[index].admission
        stats = self._entries[entry][1][index]
        stats.in_flight -= 1
        speed_ms = admission.service_ms(kind)
        stats.record_load(admission.load, SLOTS, now_s, kind, speed_ms)

    def _refused_by_guard(
        self, now_s: float, request: Request, retry_ms: float
    ) -> None:
        if len(request.tried) < min(3, len(self.targets)):
            self._choose(now_s, request)
            return
        self._refused(now_s, request, retry_ms)

    def _refused(
        self, now_s: float, request: Request, retry_ms: float
    ) -> None:
        again_s = now_s + retry_ms / 1000
        patience_s = (request.deadline_s - now_s) / 3
        if request.tries > self._returns or retry_ms / 1000 > patience_s:
            self.tally.refused += 1
            self.tally.held_s += now_s - request.first_s
            return
        request.tries += 1
        request.tried = ()
        self._at(again_s, lambda t: self._choose(t, request))


def steady(
    rate: float,
    seconds: float,
    kinds: collections.abc.Mapping[str, tuple[float, int]],
    seed: int = 3,
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0),
) -> list[tuple[float, str, int]]:
    """Return arrivals at a rate, as many independent clients make them.

    :param kinds: the share and the weight of each kind.
    :param burst: from when to when, and by how much there are more.
    """
    rng = random.Random(seed)
    names = list(kinds)
    shares = [kinds[name][0] for name in names]
    begun_s, ended_s, factor = burst
    now_s, found = 0.0, []
    while now_s < seconds:
        more = factor if begun_s <= now_s < ended_s else 1.0
        now_s += rng.expovariate(rate * more)
        [kind] = rng.choices(names, shares)
        found.append((now_s, kind, kinds[kind][1]))
    return found
