"""One entry's part in the quotas, without threads, network or clock."""

from __future__ import annotations

import dataclasses
import math
import typing

import msgspec

from chiveroad import config
from chiveroad import membership
from chiveroad.quotas import _limits
from chiveroad.quotas import _links
from chiveroad.quotas import _messages
from chiveroad.quotas import _meter

IDLE_INTERVAL_S: typing.Final = 10.0
"""How often meters that are no longer needed are searched for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """A report that is being sent."""

    link: _links.Link
    report: _messages.Report
    uses: dict[str, _messages.Use]
    sent_s: float


class LocalQuotas:
    """The meters of one entry, and its reports to the quota servers.

    :param instance: the name of the entry's daemon.
    :param incarnation: a number that grows with each start of the daemon.
    :param started_s: when it was started, by the clock of ``now_s``.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        view: membership.View,
        terms: _limits.Terms,
        started_s: float,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._started_s = started_s
        self._view = view
        self._terms = terms
        self._links = _links.Links(view, started_s + terms.window_s)
        self._sequence = 0
        self._meters: dict[str, _meter.Meter] = {}
        self._limits: dict[tuple[float, float], _limits.Limit] = {}
        self._unreported: set[str] = set()
        self._idle_due_s = 0.0

    @property
    def daemons(self) -> int:
        """Return how many daemons there are."""
        return max(1, len(self._view.all()))

    def meter_of(
        self, customer: config.Customer, now_s: float
    ) -> _meter.Meter:
        """Return a customer's meter, with the limit in force."""
        stated = (customer.rate_per_s, customer.burst)
        limit = self._limits.get(stated)
        if limit is None:
            limit = self._limits[stated] = _limits.limit(*stated, self._terms)
        meter = self._meters.get(customer.name)
        if meter is None:
            link, _ = self._links.owner(customer.name, now_s)
            asks = customer.name in link.close or self._is_young(now_s)
            meter = self._meters[customer.name] = _meter.Meter(
                limit, self._terms, self._started_s, asks
            )
        meter.limit = limit
        return meter

    def _is_young(self, now_s: float) -> bool:
        """Tell whether an earlier process may have admitted requests."""
        return now_s - self._started_s < self._terms.window_s

    def decide(
        self, name: str, meter: _meter.Meter, now_s: float
    ) -> _meter.Verdict:
        """Decide on a request, and count it if it is admitted."""
        link, rank = self._links.owner(name, now_s)
        situation = _meter.Situation(link.fresh(now_s), self.daemons)
        verdict = meter.decide(situation, now_s)
        asks = verdict is _meter.Verdict.ASK
        if asks and rank == _links.NONE_ANSWERS:
            return meter.decide_alone(self.daemons, now_s)
        return verdict

    def give_back(self, name: str, now_s: float) -> bool:
        """Return a token; True if a report is due sooner than before."""
        meter = self._meters.get(name)
        if meter is None:
            return False
        meter.give_back(now_s)
        return self.schedule(name, meter, now_s)

    def schedule(self, name: str, meter: _meter.Meter, now_s: float) -> bool:
        """Schedule the report on a customer, if there is anything to report.

        :returns: whether a report is due sooner than before.
        """
        if not meter.unreported:
            return False
        self._unreported.add(name)
        link, _ = self._links.owner(name, now_s)
        return link.want_report(meter.urgent, now_s) and not link.busy

    def due_s(self) -> float:
        """Return when the next report is due."""
        return min(
            (link.report_due_s for link in self._links.all() if not link.busy),
            default=math.inf,
        )

    def next_report(self, now_s: float) -> Batch | None:
        """Return a report that is due, or None."""
        if self._is_young(now_s):
            self._links.refresh(now_s)
        due = [
            link
            for link in self._links.all()
            if not link.busy and link.report_due_s <= now_s
        ]
        for link in sorted(due, key=lambda each: each.due_s):
            batch = self._collect(link, now_s)
            if batch is not None:
                return batch
        return None

    def apply(
        self, batch: Batch, answer: _messages.Answer, now_s: float
    ) -> None:
        """Apply a quota server's answer."""
        link = batch.link
        link.busy = False
        link.answered_s = now_s
        if link.failed:
            link.failed = False
            self._links.report_recovery(now_s)
        link.failures = 0
        link.announced = True
        self._learn_states(link, answer, now_s)
        for name, up_ms in answer.restarted:
            self._links.restarted(name, now_s - up_ms / 1000, now_s)
        for allowance in answer.allowances:
            use = batch.uses.get(allowance.customer)
            meter = self._meters.get(allowance.customer)
            if use is None or meter is None:
                # A server of another release may name other customers.
                continue
            meter.server = link.member.instance
            meter.answer(use, allowance, batch.sent_s, now_s)
            if allowance.unknown:
                self._unreported.add(allowance.customer)
                link.want_report(True, now_s)
        link.server, link.epoch = answer.server, answer.epoch
        for name in batch.uses:
            self._meters[name].end_report()
            self.schedule(name, self._meters[name], now_s)
        if not link.idle:
            link.due_s = min(link.due_s, link.sent_s + _links.IDLE_S)
        self._forget_idle(now_s)

    def fail(self, batch: Batch, now_s: float) -> None:
        """Pass over a quota server that hasn't answered for a while."""
        batch.link.fail(now_s)
        for name, use in batch.uses.items():
            meter = self._meters[name]
            meter.restore(use)
            self._unreported.add(name)
            owner, _ = self._links.owner(name, now_s)
            owner.want_report(True, now_s)

    def _collect(self, link: _links.Link, now_s: float) -> Batch | None:
        """Collect the report to one quota server; None if it is empty."""
        link.due_s = math.inf
        uses: dict[str, _messages.Use] = {}
        fresh = link.fresh(now_s)
        for name in list(self._unreported):
            owner, rank = self._links.owner(name, now_s)
            if owner is not link:
                owner.want_report(False, now_s)
                continue
            meter = self._meters[name]
            self._unreported.discard(name)
            if not meter.reportable:
                continue
            use = meter.use(link.member.instance, rank, fresh, now_s)
            uses[name] = msgspec.structs.replace(use, customer=name)
        if not uses:
            idle_at_s = link.sent_s + _links.IDLE_S
            silent = link.idle or now_s < idle_at_s
            if link.announced and not link.told_failed and silent:
                link.due_s = math.inf if link.idle else idle_at_s
                return None
        link.idle = not uses
        failed = self._links.failed(link)
        link.told_failed = bool(failed)
        self._sequence += 1
        link.busy = True
        link.sent_s = now_s
        report = _messages.Report(
            self._instance,
            self._incarnation,
            self._sequence,
            link.server,
            link.epoch,
            list(uses.values()),
            failed,
            int(1000 * min(now_s - self._started_s, self._terms.window_s)),
        )
        return Batch(link, report, uses, now_s)

    def _learn_states(
        self, link: _links.Link, answer: _messages.Answer, now_s: float
    ) -> None:
        """Apply which customers are close to their limits."""
        if link.server != answer.server:
            # A server that has just started knows of no customer that it is
            # close to its limit; the entry's own knowledge is newer.
            link.close.clear()
        changed = [(name, True) for name in answer.close]
        changed += [(name, False) for name in answer.clear]
        for name, close in changed:
            (link.close.add if close else link.close.discard)(name)
            meter = self._meters.get(name)
            if meter is None:
                continue
            owner, _ = self._links.owner(name, now_s)
            if owner is link:
                meter.learn_state(close)

    def _forget_idle(self, now_s: float) -> None:
        """Drop meters that haven't been needed for long."""
        if now_s < self._idle_due_s:
            return
        self._idle_due_s = now_s + IDLE_INTERVAL_S
        for name, meter in list(self._meters.items()):
            if meter.idle(now_s) and name not in self._unreported:
                del self._meters[name]
