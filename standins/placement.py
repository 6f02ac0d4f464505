"""Simulation of where requests run in a fleet of uneven, changing targets.

Entries in several failure domains send requests to the targets of two
services.  Targets differ in speed, become slow by turns, and some requests
call the second service while they hold their slot.  The callers of a domain
come in waves.  Admission control, balancing and the decisions to move on are
those of the daemon; a central queue, which knows every target at each moment
and costs no hop, shows what is possible.
"""

from __future__ import annotations

import collections.abc
import functools
import heapq
import itertools
import math
import random

from chiveroad import clock
from chiveroad import load
from chiveroad.traffic import _admission
from chiveroad.traffic import _balancer
from chiveroad.traffic import _retry
from standins import placement_parts as parts


class Fleet:
    """Targets of two services, and entries.

    The second service is only called by requests of the first.
    """

    def __init__(
        self,
        pattern: parts.Load,
        options: parts.Options,
        entries: int = 56,
        targets: tuple[int, int] = (31, 16),
        seed: int = 1,
    ) -> None:
        self._rng = rng = random.Random(seed)
        self._pattern = pattern
        self._options = options
        self.services = [
            [
                parts.Target(
                    index,
                    index % parts.DOMAINS,
                    rng.uniform(*parts.SPEEDS),
                    parts.SLOTS[service],
                    rng.randrange(parts.SLOW_SHARE),
                    _admission.Admission(
                        _admission.Limits(
                            parts.SLOTS[service], parts.QUEUE_LENGTH
                        ),
                        options.policy(),
                    ),
                )
                for index in range(count)
            ]
            for service, count in enumerate(targets)
        ]
        self._entries = []
        for index in range(entries):
            picker = (
                _balancer.LeastWait()
                if options.random_near
                else parts.Cheapest()
            )
            picker._rng = random.Random(seed * 1000 + index)
            stats = [
                [
                    _balancer.TargetStats(since_s=-60.0, slots=target.slots)
                    for target in service
                ]
                for service in self.services
            ]
            loads = [load.ServiceLoad() for _ in self.services]
            self._entries.append(
                parts.Entry(index % parts.DOMAINS, picker, stats, loads)
            )
        self._events: list[
            tuple[float, int, collections.abc.Callable[[float], None]]
        ] = []
        self._numbers = itertools.count()
        self._requests: dict[_admission.Ticket, parts.Request] = {}
        self._queues: list[list[_admission.Ticket]] = [[], []]
        self.tally = parts.Tally()

    def rate(self) -> float:
        """Return how many outer requests a second the pattern offers."""
        slow = 1.0
        if self._pattern.slow_turns:
            slow += (
                (parts.SLOW_FACTOR - 1) / parts.SLOW_SHARE / parts.SLOW_FACTOR
            )
        capacity = sum(t.speed * t.slots for t in self.services[0]) / slow
        # A request that calls holds its slot during the call.
        held_s = parts.WORK_S * (1 + self._pattern.inner_share)
        return self._pattern.share * capacity / held_s

    def run(self) -> parts.Tally:
        """Simulate the pattern and return the outcomes."""
        pattern, rate, now_s = self._pattern, self.rate(), 0.0
        weights = [weight for weight, _ in pattern.weights]
        shares = [share for _, share in pattern.weights]
        peak = 1 + pattern.wave
        while now_s < pattern.seconds:
            now_s += self._rng.expovariate(rate * peak)
            entry = self._rng.randrange(len(self._entries))
            domain = self._entries[entry].domain
            phase = (
                2 * math.pi * (now_s / parts.WAVE_S + domain / parts.DOMAINS)
            )
            wave = 1 + pattern.wave * math.sin(phase)
            if self._rng.random() * peak > wave:
                continue
            [weight] = self._rng.choices(weights, shares)
            self._at(now_s, functools.partial(self._arrive, entry, weight))
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.tally

    def _at(
        self, at_s: float, event: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _arrive(self, entry: int, weight: int, now_s: float) -> None:
        calls = self._rng.random() < self._pattern.inner_share
        request = parts.Request(
            0,
            entry,
            weight,
            now_s,
            now_s,
            lambda end_s, served: None,
            calls_inner=calls,
        )

        def ended(end_s: float, served: bool) -> None:
            in_time = served and end_s <= request.objective_s
            self.tally.in_time += in_time
            self.tally.late += served and not in_time
            counts = self.tally.by_weight.setdefault(weight, [0, 0, 0])
            counts[0] += 1
            counts[1] += served
            counts[2] += in_time

        request.ended = ended
        self._dispatch(now_s, request)

    def _distance(
        self, entry: parts.Entry, target: parts.Target
    ) -> _balancer.Distance:
        if entry.domain == target.domain:
            return _balancer.Distance.DOMAIN
        region = entry.domain // parts.DOMAINS_PER_REGION
        if region == target.domain // parts.DOMAINS_PER_REGION:
            return _balancer.Distance.REGION
        return _balancer.Distance.REMOTE

    def _dispatch(self, now_s: float, request: parts.Request) -> None:
        if self._options.central:
            self._queue_centrally(now_s, request)
            return
        entry = self._entries[request.entry]
        impatient = self._may_move(entry, request, now_s)
        request.patience_s = clock.NEVER_S
        skipped = set(request.tried)
        if impatient:
            patience_ms = load.patience_ms(
                parts.OBJECTIVE_S * 1000, 0, request.inner
            )
            request.patience_s = patience_ms / 1000
        else:
            skipped -= request.busy
        mean = 0.0
        if self._options.fades_to_mean:
            mean = entry.loads[request.service].mean(now_s)
        profile = _balancer.RequestProfile("k", int(parts.OBJECTIVE_S * 1000))
        candidates = [
            _balancer.candidate(
                str(target.index),
                self._distance(entry, target),
                entry.stats[request.service][target.index],
                now_s,
                profile,
                mean_load=mean,
            )
            for target in self._sampled(entry, request.service)
            if target.index not in skipped
        ]
        chosen = entry.picker.pick(candidates)
        if chosen is None:
            self._refuse(now_s, request, _admission.MIN_RETRY_MS)
            return
        target = self.services[request.service][int(chosen.instance)]
        request.tried.append(target.index)
        self.tally.tries += 1
        self.tally.far += chosen.distance is _balancer.Distance.REMOTE
        self.tally.price += parts.PRICES[chosen.distance]
        entry.stats[request.service][target.index].in_flight += 1
        self._at(
            now_s + parts.HOP_S[chosen.distance],
            lambda t: self._offer(t, request, target),
        )

    def _sampled(self, entry: parts.Entry, service: int) -> list[parts.Target]:
        by_distance: dict[_balancer.Distance, list[parts.Target]] = {}
        for target in self.services[service]:
            distance = self._distance(entry, target)
            by_distance.setdefault(distance, []).append(target)
        return [
            target
            for group in by_distance.values()
            for target in _balancer.sample(group, self._rng)
        ]

    def _may_move(
        self, entry: parts.Entry, request: parts.Request, now_s: float
    ) -> bool:
        targets = self.services[request.service]
        if not self._options.moves or len(targets) - len(request.tried) < 2:
            return False
        learnt, full = entry.loads[request.service].lately(now_s)
        limit = load.impatient_tries(learnt, full, _retry.MAX_TRIES)
        return len(request.tried) < limit

    def _offer(
        self, now_s: float, request: parts.Request, target: parts.Target
    ) -> None:
        ticket = self._ticket(now_s, request)
        self._learn_pace(now_s, target)
        waiting = [*target.admission.waiting, ticket]
        target.admission.offer(ticket, now_s)
        if not ticket.decided.is_set() and ticket.leave_s < clock.NEVER_S:
            self._at(
                ticket.leave_s, lambda t: self._leave(t, target, [ticket])
            )
        self._apply(now_s, target, waiting)

    def _ticket(
        self, now_s: float, request: parts.Request
    ) -> _admission.Ticket:
        ticket = _admission.Ticket(
            "team",
            "k",
            request.weight,
            request.deadline_s,
            now_s,
            request.objective_s,
            request.inner,
            now_s + request.patience_s,
        )
        self._requests[ticket] = request
        return ticket

    def _leave(
        self,
        now_s: float,
        target: parts.Target,
        tickets: list[_admission.Ticket],
    ) -> None:
        waiting = list(target.admission.waiting)
        target.admission.advance(now_s)
        self._apply(now_s, target, waiting)

    def _learn_pace(self, now_s: float, target: parts.Target) -> None:
        """Learn what an answer at about this moment states."""
        if self._options.pace and target.admission.running:
            factor = target.factor(now_s, self._pattern.slow_turns)
            target.admission.pace.learn(100 * factor, now_s)

    def _apply(
        self,
        now_s: float,
        target: parts.Target,
        tickets: collections.abc.Iterable[_admission.Ticket],
    ) -> None:
        """Start admitted requests, and answer refused ones."""
        for ticket in tickets:
            if not ticket.decided.is_set() or ticket not in self._requests:
                continue
            request = self._requests.pop(ticket)
            if ticket.refusal is None:
                self._start(now_s, request, target, ticket)
                continue
            entry = self._entries[request.entry]
            delay_s = parts.HOP_S[self._distance(entry, target)]
            refusal = ticket.refusal
            self._at(
                now_s + delay_s,
                functools.partial(self._refused, request, target, refusal),
            )

    def _refused(
        self,
        request: parts.Request,
        target: parts.Target,
        refusal: _admission.TicketRefusal,
        now_s: float,
    ) -> None:
        self._report(now_s, request, target)
        if request.patience_s < clock.NEVER_S:
            self.tally.moved += 1
            request.busy.add(target.index)
        else:
            stats = self._entries[request.entry].stats[request.service]
            stats[target.index].record_block(now_s, parts.BLOCK_S)
            request.busy.discard(target.index)
        if len(request.tried) < _retry.MAX_TRIES:
            self._dispatch(now_s, request)
            return
        self._refuse(now_s, request, refusal.retry_after_ms)

    def _start(
        self,
        now_s: float,
        request: parts.Request,
        target: parts.Target,
        ticket: _admission.Ticket,
    ) -> None:
        if not request.inner:
            self.tally.waited += (
                now_s - request.arrived_s > parts.OBJECTIVE_S / 2
            )
        work_s = self._rng.uniform(0.5, 1.5) * parts.WORK_S
        if request.calls_inner:
            work_s /= 2
        end_s = target.end_s(now_s, work_s, self._pattern.slow_turns)
        self._at(
            end_s, lambda t: self._worked(t, request, target, ticket, work_s)
        )

    def _worked(
        self,
        now_s: float,
        request: parts.Request,
        target: parts.Target,
        ticket: _admission.Ticket,
        work_s: float,
    ) -> None:
        if not request.calls_inner:
            self._finish(now_s, request, target, ticket, True)
            return

        def called(back_s: float, served: bool) -> None:
            if not served:
                self.tally.broken += 1
                self.tally.refused -= 1
                self._finish(back_s, request, target, ticket, False)
                return
            slow_turns = self._pattern.slow_turns
            self._at(
                target.end_s(back_s, work_s, slow_turns),
                lambda t: self._finish(t, request, target, ticket, True),
            )

        entries = range(target.domain, len(self._entries), parts.DOMAINS)
        inner = parts.Request(
            1,
            self._rng.choice(entries),
            request.weight,
            request.arrived_s,
            now_s,
            called,
            inner=True,
            attempts=2,
        )
        self._dispatch(now_s, inner)

    def _finish(
        self,
        now_s: float,
        request: parts.Request,
        target: parts.Target,
        ticket: _admission.Ticket,
        served: bool,
    ) -> None:
        admission = target.admission
        took_ms = 1000 * (now_s - ticket.begun_s)
        before = admission.pace.factor(ticket.begun_s)
        self._learn_pace(now_s, target)
        if served:
            factor = (before + admission.pace.factor(now_s)) / 2
            admission.record_service_time("k", took_ms / factor)
        waiting = list(admission.waiting)
        admission.finish(ticket, now_s)
        back_s = now_s
        if not self._options.central:
            entry = self._entries[request.entry]
            back_s += parts.HOP_S[self._distance(entry, target)]
            self._at(back_s, lambda t: self._report(t, request, target))
        self._at(back_s, lambda t: request.ended(t, served))
        if self._options.central:
            self._assign(now_s, request.service)
        else:
            self._apply(now_s, target, waiting)

    def _report(
        self, now_s: float, request: parts.Request, target: parts.Target
    ) -> None:
        """Update an entry with the load in an answer."""
        admission = target.admission
        entry = self._entries[request.entry]
        stats = entry.stats[request.service][target.index]
        stats.in_flight -= 1
        admission.update_slowdown(now_s)
        factor = admission.pace_factor
        stats.record_load(
            admission.load,
            target.slots,
            now_s,
            "k",
            admission.service_ms("k") / factor,
            100 * factor if self._options.pace else 100,
        )
        entry.loads[request.service].record(
            str(target.index),
            admission.load / target.slots,
            admission.load >= target.slots,
            now_s,
        )

    def _refuse(
        self, now_s: float, request: parts.Request, retry_ms: float
    ) -> None:
        may_wait_s = (request.deadline_s - now_s) / 3
        if request.attempts > 1 or retry_ms / 1000 > may_wait_s:
            self.tally.refused += 1
            request.ended(now_s, False)
            return
        request.attempts += 1
        request.tried, request.busy = [], set()
        self._at(now_s + retry_ms / 1000, lambda t: self._dispatch(t, request))

    def _queue_centrally(self, now_s: float, request: parts.Request) -> None:
        self._queues[request.service].append(self._ticket(now_s, request))
        self._assign(now_s, request.service)

    def _assign(self, now_s: float, service: int) -> None:
        """Start queued requests at the fastest targets with a free slot."""
        queue = self._queues[service]
        while queue:
            free = [
                target
                for target in self.services[service]
                if target.admission.running < target.slots
            ]
            if not free:
                return
            target = min(
                free,
                key=lambda each: each.factor(now_s, self._pattern.slow_turns)
                / each.speed,
            )
            ticket = min(
                queue,
                key=lambda each: (
                    not each.inner,
                    now_s + parts.WORK_S > each.objective_s,
                    -each.weight,
                    each.objective_s,
                ),
            )
            queue.remove(ticket)
            request = self._requests.pop(ticket)
            if now_s + parts.WORK_S > ticket.deadline_s:
                self.tally.refused += 1
                request.ended(now_s, False)
                continue
            target.admission._admit(ticket, now_s)
            self._start(now_s, request, target, ticket)
