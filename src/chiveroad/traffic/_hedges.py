"""Hedged requests for late answers: ``hedging`` applied by an entry.

Only requests sent to guards of other daemons are watched.  The guard of the
local target is called in process, where a request waits for its slot without
noticing answers to other exchanges, so it neither gets a hedge nor is the
target of one.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import http
import random
import threading
import time
import typing

from chiveroad import clock
from chiveroad import hedging
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad.traffic import _reachability
from chiveroad.traffic import _retry_budget
from chiveroad.traffic import _targets

MAX_CHECKS: typing.Final = 3
"""How often it is checked whether a late request may be hedged.  Each check
looks at all targets of the service."""

RECHECK_S: typing.Final = 0.05
"""The pause between checks: loads and refusals arrive a few times in it."""

_FINAL: typing.Final = frozenset(
    {
        hedging.Denial.ATTEMPTS,
        hedging.Denial.CALLER,
        hedging.Denial.TIME,
    }
)
"""Denials that don't change while the request is pending."""

_CAPACITY_STATUSES: typing.Final = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_WITHDRAWN: typing.Final = (_exchange.HedgeAnswered, _exchange.Superseded)
_log = logs.Logger("entry")


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Sends a hedge of one request.

    ``allowed`` tells whether another target may receive the request, and
    ``send`` sends it to an instance and returns whether the caller has been
    answered from there.  ``tried`` names the instances that were picked.
    """

    allowed: collections.abc.Callable[[], bool]
    send: collections.abc.Callable[[str], bool]
    caller: typing.Any
    tried: collections.abc.Sequence[str]


class Watch(_exchange.LateHedge):
    """One request to another daemon, until its answer has begun."""

    def __init__(
        self,
        hedges: Hedges,
        call: _call.Call,
        watched: hedging.Watched,
        key: hedging.Key,
        sender: Sender | None,
    ) -> None:
        self._hedges = hedges
        self.call = call
        self.watched = watched
        self.key = key
        self.sender = sender
        self.denial: hedging.Denial | None = None
        self._checks = 0
        delay_s = watched.delay_ms / 1000
        self.due_s = clock.NEVER_S
        if sender is not None and watched.delay_ms != clock.NEVER_S:
            self.due_s = watched.sent_s + delay_s

    def send(self) -> bool:
        """Send the hedge, unless it is denied now."""
        self.due_s = clock.NEVER_S
        assert self.sender is not None, "report this: a hedge without sender"
        now_s = time.monotonic()
        chosen = self._hedges.decide(self, self.sender, now_s)
        if isinstance(chosen, hedging.Option):
            self.denial = None
            return self._hedges.send(self, self.sender, chosen, now_s)
        self.denial = chosen
        self._checks += 1
        if chosen not in _FINAL and self._checks < MAX_CHECKS:
            self.due_s = now_s + RECHECK_S
        return False

    def answered(self, answer: _exchange.Answer) -> None:
        """Record that the head of an answer has come."""
        self._hedges.answered(self, answer)


class Hedges:
    """The hedged requests of one entry."""

    def __init__(
        self,
        options: settings.Settings,
        targets: _targets.Targets,
        budget: _retry_budget.RetryBudget,
        recorder: metrics.Recorder,
    ) -> None:
        share = options.hedging.share
        self.enabled = share > 0
        self._instance = options.instance
        self._targets = targets
        self._budget = budget
        self._recorder = recorder
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._delays = hedging.Delays(hedging.late_quantile(share))
        self._limit = hedging.Limit(share)
        self._conditions = hedging.Conditions()

    def count(self, service: str) -> None:
        """Count a request to a service."""
        if self.enabled:
            with self._lock:
                self._limit.count(service)

    def left(
        self, services: collections.abc.Iterable[str]
    ) -> dict[str, float]:
        """Return the hedges that each service may have now."""
        if not self.enabled:
            return {}
        with self._lock:
            return {name: self._limit.left(name) for name in services}

    def delay_ms(
        self, service: str, kind: str, distance: _balancer.Distance
    ) -> float | None:
        """Return after how long a request is late; None if not known."""
        key = (service, kind, distance.name)
        with self._lock:
            return self._delays.calculated_ms(key)

    @contextlib.contextmanager
    def watch(
        self,
        call: _call.Call,
        member: membership.Member,
        sender: Sender | None,
    ) -> collections.abc.Iterator[Watch | None]:
        """Watch a request that is sent to another daemon.

        :param sender: None if the request may not be hedged.
        """
        if not self.enabled:
            yield None
            return
        now_s = time.monotonic()
        distance = self._targets.distance(member).name
        key = (call.service, call.kind_name, distance)
        watched = hedging.Watched(
            call.service, member.instance, member.failure_domain, now_s
        )
        with self._lock:
            delay_ms = self._delays.delay_ms(key, now_s)
            if delay_ms is not None:
                watched.delay_ms = delay_ms
            self._conditions.sent(watched)
        watch = Watch(self, call, watched, key, sender)
        try:
            yield watch
        except _WITHDRAWN:
            # The answer would have taken at least as long.
            self._record(watch, time.monotonic())
            raise
        finally:
            with self._lock:
                self._conditions.ended(watched)
            if watch.denial is not None:
                self._count(f"denied-{watch.denial.value}")

    def answered(self, watch: Watch, answer: _exchange.Answer) -> None:
        """Record an answer or a refusal of a guard."""
        now_s = time.monotonic()
        if answer.header(serving.CODE_HEADER):
            if answer.status in _CAPACITY_STATUSES:
                with self._lock:
                    self._conditions.refused(watch.watched.service, now_s)
            return
        if answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._record(watch, now_s)

    def decide(
        self, watch: Watch, sender: Sender, now_s: float
    ) -> hedging.Option | hedging.Denial:
        """Return the target of a hedge, or why there is none now.

        The hedge is taken from the limit and from the retry budget.
        """
        service = watch.watched.service
        options = self._options(service, sender.tried, watch.call, now_s)
        caller_left = serving.is_disconnected(sender.caller)
        with self._lock:
            situation = hedging.Situation(
                caller_left,
                sender.allowed(),
                self._conditions.is_refusing(service, now_s),
                self._conditions.is_slow(watch.watched, now_s),
                options,
            )
            denial = hedging.find_denial(situation)
            if denial is not None:
                return denial
            troubled = self._conditions.troubled(watch.watched, now_s)
            chosen = hedging.choose(
                situation, troubled, watch.call.left_ms(), self._rng
            )
            if isinstance(chosen, hedging.Denial):
                return chosen
            return (
                self._limit.take(service, lambda: self._budget.spend(service))
                or chosen
            )

    def send(
        self,
        watch: Watch,
        sender: Sender,
        chosen: hedging.Option,
        now_s: float,
    ) -> bool:
        """Send a hedge that has been taken from the limit."""
        self._count("sent")
        watched = watch.watched
        _log.info(
            "Request {} is late at {} and is hedged at {}.",
            watch.call.id,
            watched.instance,
            chosen.instance,
            extra={
                "request": watch.call.id,
                "service": watched.service,
                "kind": watch.call.kind_name,
                "waited_ms": int((now_s - watched.sent_s) * 1000),
                "late_after_ms": int(watched.delay_ms),
                "hedges_left": round(self._limit.left(watched.service), 2),
                "retries_left": round(self._budget.left(watched.service), 1),
            },
        )
        won = sender.send(chosen.instance)
        wasted_since_s = watched.sent_s if won else now_s
        wasted_ms = int((time.monotonic() - wasted_since_s) * 1000)
        self._count("won" if won else "lost")
        self._recorder.count("chiveroad.entry.hedges.wasted", "", wasted_ms)
        return won

    def _options(
        self,
        service: str,
        tried: collections.abc.Container[str],
        call: _call.Call,
        now_s: float,
    ) -> list[hedging.Option]:
        return [
            hedging.Option(
                seen.member.instance,
                seen.member.failure_domain,
                int(seen.distance),
                max(seen.stats.reported, seen.stats.in_flight),
                seen.stats.slots,
                now_s - seen.stats.reported_s,
                seen.stats.service_ms.get(call.kind_name, 0.0),
                seen.member.instance not in tried
                and seen.member.instance != self._instance
                and not seen.leaving
                and seen.state is _reachability.State.REACHABLE
                and not _is_troubled(seen.stats, now_s),
            )
            for seen in self._targets.survey(service)
        ]

    def _record(self, watch: Watch, now_s: float) -> None:
        took_ms = (now_s - watch.watched.sent_s) * 1000
        with self._lock:
            self._delays.record(watch.key, took_ms, now_s)
            self._conditions.answered(watch.watched, now_s)

    def _count(self, label: str) -> None:
        self._recorder.count("chiveroad.entry.hedges", label)


def _is_troubled(stats: _balancer.TargetStats, now_s: float) -> bool:
    return max(stats.ejected_until_s, stats.blocked_until_s) > now_s
