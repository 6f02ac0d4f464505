"""One customer's token bucket at its quota server.

An entry states cumulative counts, and the server charges the difference to
what it has charged before.  A granted token is charged at once and credited
when the entry states that it no longer holds it, so a report that is lost,
repeated or late changes nothing in the end.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from chiveroad.quotas import _limits
from chiveroad.quotas import _messages
from chiveroad.quotas import _recent_use

LEARNING_S: typing.Final = 3.0
"""Every entry with requests of the customer has reported by then, even one
that has passed over this server after a failure, see
``_links.RETRY_FAILED_S``."""

CLAIM_S: typing.Final = 0.6
"""How long after its last report an entry's share counts: two intervals and
the time that a message takes."""

DEMAND_TAU_S: typing.Final = 2.0
"""Time constant of the demand by which tokens are shared out."""

MAX_BACKLOG_S: typing.Final = 1.0
"""How much the requests that were refused may add to Retry-After."""

MAX_RETRY_MS: typing.Final = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a quota server knows of the daemons.

    ``failed_over`` is the part of them that reports to this server because
    another one doesn't answer, and ``present`` the part that has reported to
    it since it was started, 0 once that is long ago.  ``server_up_s`` and
    ``entry_up_s`` are for how long this server and the reporting entry have
    known what was used.
    """

    daemons: int
    failed_over: float
    present: float
    server_up_s: float
    entry_up_s: float
    now_s: float


@dataclasses.dataclass(slots=True)
class _EntryUse:
    """What is known of one entry.

    ``used`` and ``charged`` are cumulative; the difference are tokens that
    the entry may still use.  ``share`` is its part of the customer's demand,
    and ``claim`` the same as another quota server told it.
    """

    incarnation: int
    used: int
    charged: int
    seen_s: float
    demand: float = 0.0
    share: float = 0.0
    claim: float = 0.0


class Account:
    """The bucket of one customer."""

    def __init__(
        self, limit: _limits.Limit, terms: _limits.Terms, now_s: float
    ) -> None:
        self.limit = limit
        self.close = False
        self.refused = 0
        self._terms = terms
        self._created_s = now_s
        self._updated_s = now_s
        self._first_choice_s = -math.inf
        self._scale = 0.0
        self._reserved = 0.0
        self._taken_over = False
        self._told_close = False
        self._window_known_at_s: float | None = None
        self._level = 0.0
        self._held = 0
        self._backlog = 0.0
        self._demand = 0.0
        self._demand_s = now_s
        self._entries: dict[str, _EntryUse] = {}
        self._recent = _recent_use.RecentUse(terms.window_s)

    @property
    def entries(self) -> int:
        """Return the number of entries known to send requests."""
        return len(self._entries)

    def change(self, limit: _limits.Limit, now_s: float) -> None:
        """Apply a changed limit; a lower burst takes effect at once."""
        if limit == self.limit:
            return
        self._refill(now_s)
        if limit.burst > self.limit.burst:
            self._level += self._scale * (limit.burst - self.limit.burst)
        self.limit = limit
        self._cap()
        self._decide_state()

    def level(self, now_s: float) -> float:
        """Return the tokens that are left."""
        self._refill(now_s)
        self._decide_state()
        return self._level

    def used_per_s(self, now_s: float) -> float:
        """Return the mean rate of what was counted in the last window."""
        from_s = now_s - self._terms.window_s
        return self._recent.since(from_s) / self._terms.window_s

    def expire(self, now_s: float) -> bool:
        """Forget entries that are silent; True if the account isn't needed.

        What a forgotten entry held can't have been used in the last window.
        """
        limit_s = now_s - self._terms.window_s - 2 * _limits.GRANT_S
        for name, known in list(self._entries.items()):
            if known.seen_s < limit_s:
                self._held -= known.charged - known.used
                del self._entries[name]
        if self._entries:
            return False
        return self.level(now_s) >= self._scale * self.limit.burst

    def report(
        self,
        report: _messages.Report,
        use: _messages.Use,
        situation: Situation,
    ) -> _messages.Allowance:
        """Count an entry's use, and return what it may admit next."""
        now_s = situation.now_s
        self._refill(now_s)
        known = self._entries.get(report.entry)
        if known is None or known.incarnation != report.incarnation:
            if use.recent is None:
                return _messages.Allowance(
                    use.customer, use.used, use.close, unknown=True
                )
            known = self._add(report, use, now_s)
        self._rescale(known, use, situation)
        self._count(known, use, now_s)
        self._decide_state()
        share = known.demand / self._demand if self._demand else 0.0
        known.share = share
        # The share that the first choice gave stays until it serves again.
        told = known.claim if use.rank else share * self._scale
        allowance = _messages.Allowance(
            use.customer,
            use.used,
            close=self.close,
            share=min(1.0, round(told, 4)),
            near=self._is_near(),
        )
        if not self.close:
            allowance.count = self._unasked(share, situation.daemons)
            return allowance
        granted = self._grant(known, use, share)
        allowance.count = use.held + granted
        allowance.retry_ms = self._retry_ms()
        return allowance

    def _add(
        self, report: _messages.Report, use: _messages.Use, now_s: float
    ) -> _EntryUse:
        """Add an entry whose recent use hasn't been counted."""
        previous = self._entries.get(report.entry)
        if previous is not None:
            self._held -= previous.charged - previous.used
        before = use.used - sum(use.recent or ())
        known = _EntryUse(report.incarnation, before, before, now_s)
        self._entries[report.entry] = known
        return known

    def reserve(
        self,
        missing: collections.abc.Collection[str],
        daemons: int,
        now_s: float,
    ) -> None:
        """Keep the shares of entries that are cut off from this server."""
        self._refill(now_s)
        self._reserved = sum(
            max(known.share, 1 / daemons)
            for name in missing
            if (known := self._entries.get(name)) is not None
        )
        unknown = sum(name not in self._entries for name in missing)
        self._reserved += unknown / daemons
        if not self._learning(now_s) and self._is_first_choice(now_s):
            self._scale = max(0.0, 1 - self._reserved)
            self._cap()

    def _learning(self, now_s: float) -> bool:
        return now_s - self._created_s < LEARNING_S

    def _is_first_choice(self, now_s: float) -> bool:
        return now_s - self._first_choice_s < LEARNING_S

    def _rescale(
        self, known: _EntryUse, use: _messages.Use, situation: Situation
    ) -> None:
        """Set the part of the limit that this server may grant.

        It is the whole limit, less the shares of entries that are cut off.
        Where another server may be serving other entries, because they can
        reach it or haven't changed to this one yet, it is the sum of the
        shares of those that report here.
        """
        now_s = situation.now_s
        known.claim = use.share or known.claim
        if use.rank:
            known.claim = max(use.share, 1 / situation.daemons)
        else:
            self._first_choice_s = now_s
        if use.recent is not None and self._learning(now_s):
            if use.close and not self._told_close:
                # Other entries' use isn't known yet, but it is near the
                # limit.
                self._level = min(0.0, self._level)
                self._told_close = self.close = True
            self._taken_over = self._taken_over or use.share > 0
        scale = max(0.0, 1 - self._reserved)
        if not self._is_first_choice(now_s):
            claims = self._claims(known, now_s - CLAIM_S)
            scale = min(1.0, max(claims, situation.failed_over))
        elif self._taken_over and self._learning(now_s):
            # Entries that have changed to this server stay with it.
            claims = self._claims(known, self._created_s)
            scale = min(1.0, max(claims, situation.present))
        if scale > self._scale and not self._told_close:
            known_s = self._known_s(use, situation)
            added = scale - self._scale
            self._level += added * self.limit.level_at_start(known_s)
            if known_s < self._terms.window_s:
                known_at_s = now_s - known_s + self._terms.window_s
                self._window_known_at_s = max(
                    self._window_known_at_s or known_at_s, known_at_s
                )
        self._scale = scale
        self._cap()

    def _known_s(self, use: _messages.Use, situation: Situation) -> float:
        """Return for how long the use of an added part of the limit is known.

        An entry that was served elsewhere brings its own use along.  One that
        has started again may have used its part, and so may entries that
        don't report here before this server was started.
        """
        learning = self._learning(situation.now_s)
        if use.rank or (self._taken_over and learning):
            return situation.entry_up_s
        if learning:
            return min(situation.server_up_s, situation.entry_up_s)
        return situation.server_up_s

    def _is_near(self) -> bool:
        """Tell whether most of the limit is known to be used."""
        if self._window_known_at_s is not None:
            return self._level < 1
        return self._level < self.limit.close_at * self._scale

    def _claims(self, reporting: _EntryUse, from_s: float) -> float:
        """Return the sum of the shares of entries that have reported since.

        :param reporting: an entry whose report is being counted.
        """
        return sum(
            each.claim
            for each in self._entries.values()
            if each is reporting or each.seen_s >= from_s
        )

    def _count(
        self, known: _EntryUse, use: _messages.Use, now_s: float
    ) -> None:
        """Charge what is new in a report, and credit what isn't held."""
        held_before = known.charged - known.used
        charged = use.used + use.held
        new = charged - known.charged
        if use.recent is not None and new > 0:
            self._charge_recent(use.recent, new - use.held, now_s)
            new = use.held
        self._charge(new, now_s)
        self._held += use.held - held_before
        known.used = use.used
        known.charged = charged
        decay = math.exp((known.seen_s - now_s) / DEMAND_TAU_S)
        known.demand = known.demand * decay + use.demand
        decay = math.exp((self._demand_s - now_s) / DEMAND_TAU_S)
        self._demand = self._demand * decay + use.demand
        self._demand_s = known.seen_s = now_s
        self.refused += use.refused
        self._backlog += use.refused
        self._cap()

    def _charge(self, count: float, now_s: float) -> None:
        if not count:
            return
        self._level -= count
        self._recent.add(count, now_s)

    def _charge_recent(
        self, recent: list[int], new: int, now_s: float
    ) -> None:
        """Count use in the slots in which it was, up to what is new.

        The bucket has been refilled since, so its level is that which follows
        from the use in all slots.  It falls by no more than what is new: the
        other use may belong to parts of the limit that are no longer served
        here.
        """
        lowest = self._level
        for age, count in enumerate(recent):
            count = min(count, new)
            new -= count
            lowest -= count
            if count:
                at_s = now_s - age * _recent_use.RECENT_SLOT_S
                self._recent.add(count, at_s)
        by_window = self._recent.level(self.limit, self._scale, now_s)
        self._level = min(self._level, max(lowest, by_window))

    def _learn_window(self, now_s: float) -> None:
        """Raise the level once all use in the last window is known.

        A customer that was refused meanwhile sends more than its limit, and
        its bucket is empty whatever was used before.
        """
        known_at_s = self._window_known_at_s
        if known_at_s is None or now_s < known_at_s:
            return
        self._window_known_at_s = None
        if not self.refused:
            by_window = self._recent.level(self.limit, self._scale, now_s)
            self._level = max(self._level, by_window)

    def _grant(
        self, known: _EntryUse, use: _messages.Use, share: float
    ) -> int:
        """Grant tokens, as far as there are any, by the share of demand."""
        available = int(self._level)
        expected_per_s = known.demand / DEMAND_TAU_S
        expected = 0
        if use.demand:
            expected = int(expected_per_s * _limits.REPORT_INTERVAL_S)
        needed = use.waiting + expected - use.held
        if available < 1 or needed < 1:
            return 0
        soon = self.limit.rate_per_s * _limits.REPORT_INTERVAL_S
        fair = math.ceil(share * (self._level + self._scale * soon))
        granted = min(available, needed, max(1, fair))
        known.charged += granted
        self._held += granted
        self._charge(granted, known.seen_s)
        return granted

    def _unasked(self, share: float, daemons: int) -> int:
        """Return what an entry may admit before its next report."""
        spare = max(0.0, self.limit.unasked * self._scale - daemons)
        return 1 + int(share * spare)

    def _retry_ms(self) -> int:
        """Return the time until a token is there, 0 if there is one."""
        if self._level >= 1 and self._backlog < 1:
            return 0
        rate_per_s = max(1e-3, self.limit.rate_per_s * self._scale)
        token_s = max(0.0, 1 - self._level) / rate_per_s
        backlog_s = min(MAX_BACKLOG_S, self._backlog / rate_per_s)
        return min(MAX_RETRY_MS, 1 + int((token_s + backlog_s) * 1000))

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        tokens = elapsed_s * self.limit.rate_per_s * self._scale
        self._level += tokens
        self._learn_window(now_s)
        self._backlog = max(0.0, self._backlog - tokens)
        self._cap()

    def _cap(self) -> None:
        """Limit the level; tokens that entries hold belong to the burst."""
        cap = self.limit.burst * self._scale - self._held
        self._level = min(self._level, cap)

    def _decide_state(self) -> None:
        if self._window_known_at_s is not None:
            # What entries admit unasked isn't counted, and would be forgotten
            # with the next start.
            self.close = True
        elif self.close:
            clear_at = self.limit.clear_at * self._scale
            learning = self._taken_over and self._learning(self._updated_s)
            self.close = learning or self._level < clear_at
        else:
            self.close = self._level < self.limit.close_at * self._scale
