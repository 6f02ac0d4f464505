"""What a quota server knows: the accounts of the customers it serves."""

from __future__ import annotations

import collections
import collections.abc

from chiveroad import config
from chiveroad.quotas import _account
from chiveroad.quotas import _limits
from chiveroad.quotas import _messages

EXPIRE_INTERVAL_S = 1.0
CLEAR_INTERVAL_S = 0.1

Customers = collections.abc.Mapping[str, config.Customer]


class Ledger:
    """The accounts of one quota server.

    :param server: names this start of the server.
    """

    def __init__(self, server: str, terms: _limits.Terms) -> None:
        self._server = server
        self._terms = terms
        self._accounts: dict[str, _account.Account] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self._reported_s: dict[str, float] = {}
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

    def report(
        self, report: _messages.Report, daemons: int, now_s: float
    ) -> _messages.Answer:
        """Count an entry's report, and answer it.

        A repeated report, or one that a later one has overtaken, isn't
        counted; its answer grants nothing.
        """
        order = (report.incarnation, report.sequence)
        allowances: list[_messages.Allowance] = []
        if self._sequences.get(report.entry, (-1, -1)) < order:
            self._sequences[report.entry] = order
            self._reported_s[report.entry] = now_s
            for use in report.uses:
                account = self._account(use.customer, now_s)
                if account is not None:
                    allowances.append(
                        account.report(report, use, daemons, now_s)
                    )
                    self._note_state(use.customer, account.close)
        self._tick(now_s)
        return self._answer(report, allowances)

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
        self, report: _messages.Report, allowances: list[_messages.Allowance]
    ) -> _messages.Answer:
        if report.server != self._server:
            return _messages.Answer(
                self._server,
                self._epoch,
                allowances,
                close=sorted(self._closed),
            )
        close: list[str] = []
        clear: list[str] = []
        for name in reversed(self._changes):
            if self._changes[name] <= report.epoch:
                break
            (close if name in self._closed else clear).append(name)
        return _messages.Answer(
            self._server, self._epoch, allowances, close, clear
        )

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

    def _tick(self, now_s: float) -> None:
        if now_s >= self._clear_due_s:
            self._clear_due_s = now_s + CLEAR_INTERVAL_S
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
        for entry, at_s in list(self._reported_s.items()):
            if at_s < limit_s:
                del self._reported_s[entry], self._sequences[entry]
