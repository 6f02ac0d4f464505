"""What an entry knows of one customer's quota, and what it admits."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing

from chiveroad.quotas import _limits
from chiveroad.quotas import _messages
from chiveroad.quotas import _recent_use

CLOSE_KNOWN_S: typing.Final = 3.0
"""For how long an entry tells a new quota server that the customer was close
to its limit."""

SHARE_KNOWN_S: typing.Final = 5.0
"""How long after its last request an entry relies on its share; its quota
server keeps it longer."""

FALLBACK_RETRY_MS: typing.Final = 1_000


class Verdict(enum.Enum):
    """What an entry does with a request."""

    ADMIT = "admit"
    ASK = "ask"
    REFUSE = "over its quota"
    REFUSE_ALONE = "as no quota server answers"

    @property
    def refuses(self) -> bool:
        """Tell whether the request is refused."""
        return self in (Verdict.REFUSE, Verdict.REFUSE_ALONE)


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What an entry knows of a customer's quota server.

    ``fresh`` says that it has answered a moment ago, and ``daemons`` is how
    many daemons there are.
    """

    fresh: bool
    daemons: int


class Meter:
    """The use of one customer at one entry.

    ``used`` is cumulative and ``allowed`` the count up to which requests are
    admitted.  While the customer isn't close to its limit, the entry may
    admit a few more than it has reported.  Otherwise ``allowed`` are tokens,
    which expire.
    """

    def __init__(
        self,
        limit: _limits.Limit,
        terms: _limits.Terms,
        started_s: float,
        close: bool,
    ) -> None:
        self.limit = limit
        self.close = close
        self._near = False
        self.share = 0.0
        self.waiting = 0
        self.server = ""
        self.answered_s = -math.inf
        self.wants_recent = True
        self._in_report = False
        self._terms = terms
        self._started_s = started_s
        self._used = 0
        self._allowed = 0 if close else 1
        self._allowed_until_s = math.inf
        self._demand = 0
        self._refused = 0
        self._dry_until_s = 0.0
        self._retry_at_s = 0.0
        self._reported = 0
        self._slots: collections.deque[list[int]] = collections.deque()

    @property
    def unreported(self) -> bool:
        """Tell whether the quota server has to be told something."""
        if self.waiting or self._demand or self._used != self._reported:
            return True
        return self.close and self._allowed > self._used

    @property
    def reportable(self) -> bool:
        """Tell whether a report may not leave this customer out."""
        return self.unreported or self.wants_recent

    @property
    def urgent(self) -> bool:
        """Tell whether the report is due before the interval has passed."""
        if self.waiting:
            return True
        unreported = self._used - self._reported
        return not self.close and unreported >= max(
            2, (self._allowed - self._reported) * 0.75
        )

    def arrive(self) -> None:
        """Count a request that has arrived."""
        self._demand += 1

    def decide(self, situation: Situation, now_s: float) -> Verdict:
        """Decide on a request, and count it if it is admitted."""
        if self._used < self._allowed and self._valid(situation, now_s):
            self._take(now_s)
            return Verdict.ADMIT
        if self.close and now_s < self._dry_until_s:
            return Verdict.REFUSE
        return Verdict.ASK

    def decide_alone(self, daemons: int, now_s: float) -> Verdict:
        """Decide on a request while no quota server can be reached.

        The entry admits its share of the customer's limit.  The sum over all
        entries is within the limit, whichever of them are cut off.  What an
        earlier process has admitted in the window isn't known.
        """
        share = max(self._known_share(now_s), 1 / max(1, daemons))
        stated = self.limit
        part = _limits.MARGIN_PART * stated.margin
        rate_per_s = stated.rate_per_s - part / self._terms.window_s
        burst = stated.burst - part
        used = 0
        for slot, count in reversed(self._slots):
            used += count
            span_s = max(0.0, now_s - (slot + 1) * _recent_use.RECENT_SLOT_S)
            if span_s > self._terms.window_s:
                break
            if used + 1 > share * (burst + rate_per_s * span_s):
                return Verdict.REFUSE_ALONE
        if share * (burst + rate_per_s * self._terms.window_s) < 1:
            return Verdict.REFUSE_ALONE
        up_s = now_s - self._started_s
        if up_s < self._terms.window_s and used + 1 > max(
            1.0, share * stated.level_at_start(up_s)
        ):
            return Verdict.REFUSE_ALONE
        self._take(now_s)
        self._allowed = max(self._allowed, self._used)
        return Verdict.ADMIT

    def refuse(self, now_s: float) -> int:
        """Count a refusal, and return when to come back, in ms."""
        self._refused += 1
        left_ms = int((self._retry_at_s - now_s) * 1000)
        return left_ms if left_ms > 0 else FALLBACK_RETRY_MS

    def give_back(self, now_s: float) -> None:
        """Return the token of a request that never ran."""
        if self._used == 0:
            # The meter has been dropped and made again since.
            return
        self._used -= 1
        self._add(now_s, -1)

    def use(
        self, server: str, rank: int, fresh: bool, now_s: float
    ) -> _messages.Use:
        """Return the report on this customer.

        Tokens that weren't needed, or have expired, are given back.

        :param server: the quota server's instance.
        :param rank: its place in the customer's order.
        :param fresh: whether it has answered a moment ago.
        """
        moved = self.wants_recent or self.server != server
        held = 0
        if self.close:
            if self._demand and now_s < self._allowed_until_s:
                held = max(0, self._allowed - self._used)
            self._allowed = self._used + held
        recent = None
        if moved or not fresh:
            recent = self._recent(now_s)
        known_close = now_s - self.answered_s < CLOSE_KNOWN_S
        message = _messages.Use(
            "",
            self._used,
            held=held,
            demand=self._demand,
            refused=self._refused,
            waiting=self.waiting,
            close=moved and self._near and known_close,
            share=self._known_share(now_s) if moved or rank else 0.0,
            recent=recent,
            rank=abs(rank),
        )
        self._demand = self._refused = 0
        self._in_report = True
        return message

    def restore(self, use: _messages.Use) -> None:
        """Count again what a report that failed had stated."""
        self._in_report = False
        self._demand += use.demand
        self._refused += use.refused

    def answer(
        self,
        use: _messages.Use,
        allowance: _messages.Allowance,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply a quota server's answer to a report."""
        if allowance.unknown:
            self.wants_recent = True
            self.restore(use)
            return
        self.wants_recent = False
        self.answered_s = now_s
        self.share = allowance.share
        self.close = allowance.close
        near = allowance.close if allowance.near is None else allowance.near
        self._near = near
        self._reported = use.used
        self._allowed = use.used + allowance.count
        self._dry_until_s = self._retry_at_s = 0.0
        self._allowed_until_s = math.inf
        if not allowance.close:
            return
        self._allowed_until_s = sent_s + _limits.GRANT_S
        if allowance.retry_ms:
            retry_s = allowance.retry_ms / 1000
            self._retry_at_s = now_s + retry_s
            self._dry_until_s = now_s + min(retry_s, _limits.REPORT_INTERVAL_S)

    def end_report(self) -> None:
        """Note that a report has been answered, even if not on this meter."""
        self._in_report = False

    def learn_state(self, close: bool) -> None:
        """Apply a change of the customer's state at its quota server."""
        if close is self.close:
            return
        self.close = close
        self._near = self._near and close
        self._allowed = self._used if close else self._reported + 1
        self._allowed_until_s = math.inf
        self._dry_until_s = self._retry_at_s = 0.0

    def idle(self, now_s: float) -> bool:
        """Tell whether nothing of the meter is needed any more."""
        if self.unreported or self.close or self._in_report:
            return False
        newest_s = (
            self._slots[-1][0] * _recent_use.RECENT_SLOT_S
            if self._slots
            else 0
        )
        return now_s - newest_s > 12 * self._terms.window_s

    def _known_share(self, now_s: float) -> float:
        """Return the share, unless its quota server has forgotten it."""
        if not self._slots:
            return 0.0
        known_s = self._slots[-1][0] * _recent_use.RECENT_SLOT_S
        return self.share if now_s - known_s < SHARE_KNOWN_S else 0.0

    def _valid(self, situation: Situation, now_s: float) -> bool:
        if self.close:
            return now_s < self._allowed_until_s
        return situation.fresh or self.limit.unasked >= situation.daemons

    def _take(self, now_s: float) -> None:
        self._used += 1
        self._add(now_s, 1)

    def _add(self, now_s: float, count: int) -> None:
        slot = int(now_s / _recent_use.RECENT_SLOT_S)
        slots = self._slots
        if not slots or slots[-1][0] < slot:
            slots.append([slot, 0])
            oldest = slot - self._slot_count()
            while slots[0][0] < oldest:
                slots.popleft()
        slots[-1][1] += count

    def _recent(self, now_s: float) -> list[int]:
        """Return what was admitted in each slot, the latest first."""
        latest = int(now_s / _recent_use.RECENT_SLOT_S)
        counts = dict((slot, count) for slot, count in self._slots)
        return [
            max(0, counts.get(latest - age, 0))
            for age in range(self._slot_count())
        ]

    def _slot_count(self) -> int:
        return 1 + math.ceil(self._terms.window_s / _recent_use.RECENT_SLOT_S)
