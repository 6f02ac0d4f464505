"""Discrete-event simulation of entries, guards and targets.

Time advances from event to event, without sockets.  A fleet has targets with
slots and speeds, each behind the admission control of a guard; entries that
balance by the load that answers reported; and clients that retry after a
refusal.  Admission control and balancing are those of the daemon.
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
NETWORK_DELAY_S: typing.Final = 0.001
"""Network delay from an entry to a guard of the same region."""

LATE_CREDIT: typing.Final = 0.3
OVERLOAD_BLOCK_S: typing.Final = 0.05


@dataclasses.dataclass
class Tally:
    """The outcomes of the requests.

    ``refused_after_s`` is the sum of the times from arrival to refusal.
    ``arrivals_by_kind`` counts all requests, ``by_kind`` those answered within
    the objective.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_after_s: float = 0.0
    arrivals_by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def worth(self) -> float:
        """Return the credit: 1 per answer in time, ``LATE_CREDIT`` if late."""
        return self.in_time + LATE_CREDIT * self.late

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.in_time + self.late + self.refused

    def fairness(self) -> float:
        """Return the lowest share in time of a kind, over the highest."""
        shares = [
            self.by_kind[kind] / n for kind, n in self.arrivals_by_kind.items()
        ]
        return min(shares) / max(shares) if max(shares, default=0) else 0.0


@dataclasses.dataclass
class Request:
    """A request of a client, over all its attempts.

    ``tried_targets`` are the targets of the current attempt.
    """

    kind: str
    weight: int
    arrived_s: float
    attempts: int = 1
    tried_targets: tuple[int, ...] = ()

    @property
    def deadline_s(self) -> float:
        """Return when the client gives up."""
        return self.arrived_s + DEADLINE_S


@dataclasses.dataclass
class Target:
    """A target with the admission control of its guard.

    ``speed`` divides the service time of a request.  Within ``slow_period_s``
    the service time is multiplied by ``slow_factor``.
    """

    admission: _admission.Admission
    speed: float = 1.0
    slow_period_s: tuple[float, float] = (0.0, 0.0)
    slow_factor: float = 1.0

    def work_s(self, now_s: float, rng: random.Random) -> float:
        """Return the service time of a request that starts now."""
        start_s, end_s = self.slow_period_s
        factor = self.slow_factor if start_s <= now_s < end_s else 1.0
        return rng.uniform(0.5, 1.5) * WORK_S / self.speed * factor


class Fleet:
    """Targets, and entries that know the targets only from their answers.

    :param speeds: the speed of each target.
    :param policy: makes the admission policy of each guard.
    :param picker: makes the balancing policy of each entry.
    :param client_retries: how often a client retries after a refusal, each
        time after the delay that the refusal gave.
    """

    def __init__(
        self,
        speeds: collections.abc.Sequence[float],
        policy: collections.abc.Callable[[], _admission.Policy],
        picker: collections.abc.Callable[[], _balancer.Picker],
        entries: int = 4,
        client_retries: int = 1,
        seed: int = 1,
    ) -> None:
        limits = _admission.Limits(SLOTS, QUEUE_LENGTH)
        self.targets = [
            Target(_admission.Admission(limits, policy()), speed)
            for speed in speeds
        ]
        self._client_retries = client_retries
        self._rng = random.Random(seed)
        self._entries = [
            (picker(), [_balancer.TargetStats(since_s=-60.0) for _ in speeds])
            for _ in range(entries)
        ]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._event_numbers = itertools.count()
        self._waiting: dict[int, tuple[int, int, Request]] = {}
        self.tally = Tally()

    def capacity(self) -> float:
        """Return how many requests per second the targets can serve."""
        return sum(target.speed for target in self.targets) * SLOTS / WORK_S

    def run(
        self, arrivals: collections.abc.Iterable[tuple[float, str, int]]
    ) -> Tally:
        """Simulate all arrivals, each a time, a kind and a weight."""
        for at_s, kind, weight in arrivals:
            self.tally.arrivals_by_kind[kind] += 1
            arrive = functools.partial(self._arrive, kind, weight)
            self._schedule(at_s, arrive)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.tally

    def _schedule(
        self, at_s: float, event: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def _arrive(self, kind: str, weight: int, now_s: float) -> None:
        self._dispatch(now_s, Request(kind, weight, now_s))

    def _dispatch(self, now_s: float, request: Request) -> None:
        """Send a request from a random entry to the target that it picks."""
        entry = self._rng.randrange(len(self._entries))
        picker, all_stats = self._entries[entry]
        wanted = _balancer.RequestProfile(
            request.kind, int(OBJECTIVE_S * 1000)
        )
        candidates = [
            _balancer.candidate(
                str(index), _balancer.Distance.DOMAIN, stats, now_s, wanted
            )
            for index, stats in enumerate(all_stats)
            if index not in request.tried_targets
        ]
        chosen = picker.pick(candidates)
        if chosen is None:
            self._refuse(now_s, request, _admission.MIN_RETRY_MS)
            return
        index = int(chosen.instance)
        all_stats[index].in_flight += 1
        request.tried_targets += (index,)
        self._schedule(
            now_s + NETWORK_DELAY_S,
            lambda t: self._offer(t, entry, index, request),
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
            request.arrived_s + OBJECTIVE_S,
        )
        self._waiting[id(ticket)] = (entry, index, request)
        waiting = [*target.admission.waiting, ticket]
        target.admission.offer(ticket, now_s)
        self._apply_decisions(now_s, target, waiting)

    def _apply_decisions(
        self,
        now_s: float,
        target: Target,
        waiting: collections.abc.Iterable[_admission.Ticket],
    ) -> None:
        """Start admitted requests, and answer refused ones."""
        for ticket in waiting:
            if not ticket.decided.is_set():
                continue
            entry, index, request = self._waiting.pop(id(ticket))
            if ticket.refusal is None:
                end_s = now_s + target.work_s(now_s, self._rng)
                self._schedule(
                    end_s, self._completion(ticket, entry, index, request)
                )
            else:
                retry_ms = ticket.refusal.retry_after_ms
                self._report_answer(now_s, entry, index, request.kind)
                stats = self._entries[entry][1][index]
                stats.record_block(
                    now_s, min(retry_ms / 1000, OVERLOAD_BLOCK_S)
                )
                self._retry_or_refuse(now_s, request, retry_ms)

    def _completion(
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
            self._report_answer(now_s, entry, index, request.kind)
            in_time = now_s <= request.arrived_s + OBJECTIVE_S
            self.tally.in_time += in_time
            self.tally.late += not in_time
            self.tally.by_kind[request.kind] += in_time
            self._apply_decisions(now_s, target, waiting)

        return end

    def _report_answer(
        self, now_s: float, entry: int, index: int, kind: str
    ) -> None:
        """Update an entry with the load and service time in an answer."""
        admission = self.targets[index].admission
        stats = self._entries[entry][1][index]
        stats.in_flight -= 1
        speed_ms = admission.service_ms(kind)
        stats.record_load(admission.load, SLOTS, now_s, kind, speed_ms)

    def _retry_or_refuse(
        self, now_s: float, request: Request, retry_ms: float
    ) -> None:
        if len(request.tried_targets) < min(3, len(self.targets)):
            self._dispatch(now_s, request)
            return
        self._refuse(now_s, request, retry_ms)

    def _refuse(self, now_s: float, request: Request, retry_ms: float) -> None:
        retry_at_s = now_s + retry_ms / 1000
        max_retry_delay_s = (request.deadline_s - now_s) / 3
        if (
            request.attempts > self._client_retries
            or retry_ms / 1000 > max_retry_delay_s
        ):
            self.tally.refused += 1
            self.tally.refused_after_s += now_s - request.arrived_s
            return
        request.attempts += 1
        request.tried_targets = ()
        self._schedule(retry_at_s, lambda t: self._dispatch(t, request))


def steady(
    rate: float,
    seconds: float,
    kinds: collections.abc.Mapping[str, tuple[float, int]],
    seed: int = 3,
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0),
) -> list[tuple[float, str, int]]:
    """Return the arrivals of a Poisson process, as of independent clients.

    :param rate: arrivals per second.
    :param kinds: the share and the weight of each kind.
    :param burst: start and end of a burst, and the factor of the rate in it.
    """
    rng = random.Random(seed)
    names = list(kinds)
    shares = [kinds[name][0] for name in names]
    burst_start_s, burst_end_s, factor = burst
    now_s, arrivals = 0.0, []
    while now_s < seconds:
        rate_factor = factor if burst_start_s <= now_s < burst_end_s else 1.0
        now_s += rng.expovariate(rate * rate_factor)
        [kind] = rng.choices(names, shares)
        arrivals.append((now_s, kind, kinds[kind][1]))
    return arrivals
