"""What a quota server knows: the accounts of the customers it serves."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import typing

from chiveroad import config
from chiveroad import logs
from chiveroad import membership
from chiveroad.quotas import _account
from chiveroad.quotas import _limits
from chiveroad.quotas import _messages

EXPIRE_INTERVAL_S: typing.Final = 1.0
CLEAR_INTERVAL_S: typing.Final = 0.1
MISSING_S: typing.Final = 1.6
"""An entry that isn't idle reports at least this often, see
``_links.IDLE_S``, even if one report is lost."""

_log = logs.Logger("quotas")

Customers = collections.abc.Mapping[str, config.Customer]


def _up_s(report: _messages.Report) -> float:
    """Return for how long an entry has been up, at most a window."""
    return math.inf if report.up_ms is None else report.up_ms / 1000


@dataclasses.dataclass(slots=True)
class _Reporter:
    """An entry that reports.

    ``order`` is the incarnation and sequence of its last report, ``start``
    its daemon's incarnation in the view, and ``announced_s`` when the first
    report of its process came, if that had just started.  ``failed`` are the
    quota servers that don't answer it.
    """

    order: tuple[int, int]
    start: int
    seen_s: float
    announced_s: float
    idle: bool = False
    failed: collections.abc.Collection[str] = ()


class Ledger:
    """The accounts of one quota server.

    :param server: names this start of the server.
    :param started_s: when that was, by the clock of ``now_s``.
    """

    def __init__(
        self,
        server: str,
        terms: _limits.Terms,
        view: membership.View,
        started_s: float,
    ) -> None:
        self._server = server
        self._started_s = started_s
        self._terms = terms
        self._view = view
        self._accounts: dict[str, _account.Account] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._missing: frozenset[str] = frozenset()
        self._first_report_s = 0.0
        self._customers: Customers = {}
        self._epoch = 0
        self._changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._closed: set[str] = set()
        self._expire_due_s = 0.0
        self._clear_due_s = 0.0

    @property
    def accounts(self) -> collections.abc.Mapping[str, _account.Account]:
        """Return the accounts by customer."""
        return self._accounts

    def configure(self, customers: Customers, now_s: float) -> None:
        """Apply the customers of the configuration in force."""
        if customers is self._customers:
            return
        self._customers = customers
        for name, account in list(self._accounts.items()):
            customer = customers.get(name)
            if customer is None or not customer.rate_per_s:
                del self._accounts[name]
                self._note_state(name, False)
                continue
            account.change(self._limit(customer), now_s)
            self._note_state(name, account.close)

    @property
    def missing(self) -> frozenset[str]:
        """Return the entries that are cut off from this server."""
        return self._missing

    def report(
        self, report: _messages.Report, now_s: float
    ) -> _messages.Answer:
        """Count an entry's report, and answer it.

        A repeated report, or one that a later one has overtaken, isn't
        counted; its answer grants nothing.
        """
        allowances: list[_messages.Allowance] = []
        daemons = max(1, len(self._view.all()))
        if self._is_new(report, now_s):
            situation = _account.Situation(
                daemons,
                self._failed_over(report.failed) / daemons,
                self._present(now_s) / daemons,
                now_s - self._started_s,
                _up_s(report),
                now_s,
            )
            for use in report.uses:
                account = self._account(use.customer, now_s)
                if account is not None:
                    opened = not account.entries
                    allowances.append(account.report(report, use, situation))
                    if opened:
                        self._log_opened(use, report, account, now_s)
                    self._note_state(use.customer, account.close)
        self._tick(daemons, now_s)
        return self._answer(report, allowances, now_s)

    def _is_new(self, report: _messages.Report, now_s: float) -> bool:
        """Register a report; False if it isn't later than the last one."""
        order = (report.incarnation, report.sequence)
        known = self._reporters.get(report.entry)
        if known is not None and known.order >= order:
            return False
        member = self._view.get(report.entry)
        if not self._reporters:
            self._first_report_s = now_s
        if known is None or known.order[0] != report.incarnation:
            young = _up_s(report) < self._terms.window_s
            known = self._reporters[report.entry] = _Reporter(
                order, 0, now_s, now_s if young else -math.inf
            )
        known.order = order
        known.start = member.incarnation if member else 0
        known.seen_s = now_s
        known.idle = not report.uses
        known.failed = report.failed
        return True

    def _failed_over(self, failed: list[str]) -> int:
        """Return how many entries don't get an answer of a quota server.

        :param failed: the servers; the one that fails for most entries counts.
        """
        return max(
            (
                sum(name in known.failed for known in self._reporters.values())
                for name in failed
            ),
            default=0,
        )

    def _present(self, now_s: float) -> int:
        """Return how many entries have reported since the first report.

        :returns: 0 once an entry may have reported for other customers alone.
        """
        if now_s - self._first_report_s > _account.LEARNING_S:
            return 0
        return len(self._reporters)

    def _log_opened(
        self,
        use: _messages.Use,
        report: _messages.Report,
        account: _account.Account,
        now_s: float,
    ) -> None:
        """Log what an account begins with, and what was known then."""
        _log.info(
            "Quota account of customer {} opened by a report of {}: {:.0f} "
            "tokens.",
            use.customer,
            report.entry,
            account.level(now_s),
            extra={
                "daemons": len(self._view.all()),
                "rank": use.rank,
                "entry_up_ms": report.up_ms,
                "server_up_ms": int(1000 * (now_s - self._started_s)),
                "recent": sum(use.recent or ()),
                "close": account.close,
            },
        )

    def _account(self, name: str, now_s: float) -> _account.Account | None:
        account = self._accounts.get(name)
        if account is None:
            customer = self._customers.get(name)
            if customer is None or not customer.rate_per_s:
                return None
            account = _account.Account(
                self._limit(customer), self._terms, now_s
            )
            self._accounts[name] = account
        return account

    def _limit(self, customer: config.Customer) -> _limits.Limit:
        return _limits.limit(customer.rate_per_s, customer.burst, self._terms)

    def _answer(
        self,
        report: _messages.Report,
        allowances: list[_messages.Allowance],
        now_s: float,
    ) -> _messages.Answer:
        restarted = self._restarted(report.failed, now_s)
        if report.server != self._server:
            return _messages.Answer(
                self._server,
                self._epoch,
                allowances,
                close=sorted(self._closed),
                restarted=restarted,
            )
        close: list[str] = []
        clear: list[str] = []
        for name in reversed(self._changes):
            if self._changes[name] <= report.epoch:
                break
            (close if name in self._closed else clear).append(name)
        return _messages.Answer(
            self._server, self._epoch, allowances, close, clear, restarted
        )

    def _restarted(
        self, failed: list[str], now_s: float
    ) -> list[tuple[str, int]]:
        """Return the quota servers that have started again lately.

        Their own entries have reported here, see ``_links.Link.announced``.
        They serve since then; a process doesn't yet while it is starting.
        """
        found: list[tuple[str, int]] = []
        for name in failed:
            known = self._reporters.get(name)
            if known is None:
                continue
            ago_s = now_s - known.announced_s
            if ago_s < self._terms.window_s:
                found.append((name, int(ago_s * 1000)))
        return found

    def _note_state(self, name: str, close: bool) -> None:
        if close is (name in self._closed):
            return
        self._epoch += 1
        self._changes[name] = self._epoch
        self._changes.move_to_end(name)
        if close:
            self._closed.add(name)
        else:
            self._closed.discard(name)

    def _tick(self, daemons: int, now_s: float) -> None:
        if now_s >= self._clear_due_s:
            self._clear_due_s = now_s + CLEAR_INTERVAL_S
            self._find_missing(daemons, now_s)
            for name in list(self._closed):
                account = self._accounts[name]
                account.level(now_s)
                self._note_state(name, account.close)
        if now_s >= self._expire_due_s:
            self._expire_due_s = now_s + EXPIRE_INTERVAL_S
            self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        for name, account in list(self._accounts.items()):
            if account.expire(now_s):
                del self._accounts[name]
                self._note_state(name, False)
        limit_s = now_s - 60 * self._terms.window_s
        for entry, known in list(self._reporters.items()):
            if known.seen_s < limit_s and entry not in self._missing:
                del self._reporters[entry]

    def _find_missing(self, daemons: int, now_s: float) -> None:
        """Find the entries that are silent without being idle.

        Each may go on admitting its share of each customer's limit, by itself
        or at another quota server, for as long as its daemon may be alive.
        """
        missing = frozenset(
            entry
            for entry, known in self._reporters.items()
            if not known.idle
            and now_s - known.seen_s > MISSING_S
            and self._may_live(entry, known)
        )
        if not missing and not self._missing:
            return
        self._missing = missing
        for account in self._accounts.values():
            account.reserve(missing, daemons, now_s)

    def _may_live(self, entry: str, known: _Reporter) -> bool:
        member = self._view.get(entry)
        if member is None or not member.alive:
            return False
        return member.incarnation == known.start
