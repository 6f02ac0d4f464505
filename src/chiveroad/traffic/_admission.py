"""The guard's limits: slots, a short queue, and who is refused.

The guard sees every request to its target, so its count of slots is
exact.  What can't run at once waits in a short queue; who is next, who is
refused at once and who is given up while it waits is a ``Policy``.
"""

from __future__ import annotations

import abc
import dataclasses
import threading
import typing

from chiveroad import clock

DEFAULT_SERVICE_MS: typing.Final = 20.0
MIN_RETRY_MS: typing.Final = 50
SMOOTHING: typing.Final = 0.2
MIN_OBSERVED: typing.Final = 4
"""Fewer requests in hand say little of how fast the target is."""

MIN_LEARNT_TURNS: typing.Final = 3
"""How often each slot must have been used before the mean is trusted."""

AGE_SHARE: typing.Final = 1.5
"""By how much the mean age of requests in hand may exceed the mean time that
they take before it counts as a change: their spread alone explains less."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the service's team allows for each target."""

    slots: int
    queue_length: int


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One request at the guard; times are monotonic seconds.

    ``objective_s`` is when its answer begins to count as late, and ``inner``
    says that a running request of another target waits for it.
    """

    team: str
    kind: str
    weight: int
    deadline_s: float
    arrived_s: float
    objective_s: float = clock.NEVER_S
    inner: bool = False
    decided: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    admitted: bool = False
    refusal: Refused | None = None
    begun_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a request isn't run, and when asking again makes sense."""

    reason: str
    retry_after_ms: int


class Policy(abc.ABC):
    """Who runs next, and who is refused."""

    @abc.abstractmethod
    def rank(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> tuple[float, ...]:
        """Return a ticket's place in the queue, the least first."""

    @abc.abstractmethod
    def refusal(self, state: Admission, ticket: Ticket, now_s: float) -> str:
        """Return why a ticket that can't run at once is refused, or ''.

        The policy may drop another ticket to make room.
        """

    @abc.abstractmethod
    def given_up(self, state: Admission, ticket: Ticket, now_s: float) -> str:
        """Return why a waiting ticket is refused after all, or ''."""


class Admission:
    """The state of one guard.

    ``offer`` decides on a ticket with the clock it is given; a ticket that
    is neither admitted nor refused waits.  ``finish`` frees a slot.  The
    class has no clock and no thread of its own; the caller holds a lock.

    :param policy: weight first, where none is given.
    """

    def __init__(self, limits: Limits, policy: Policy | None = None) -> None:
        self.limits = limits
        self.waiting: list[Ticket] = []
        self.running_by_team: dict[str, int] = {}
        self.running = 0
        self.queued_since_s = clock.NEVER_S
        self._policy = policy or WeightFirst()
        self._service_ms: dict[str, float] = {}
        self._mean_ms = DEFAULT_SERVICE_MS
        self._slowdown = 1.0
        self._learnt = 0
        self._running: set[Ticket] = set()

    @property
    def load(self) -> int:
        """Return how many requests run or wait."""
        return self.running + len(self.waiting)

    def offer(self, ticket: Ticket, now_s: float) -> None:
        """Admit, queue or refuse a request."""
        self.observe(now_s)
        free = self.running < self.limits.slots and not self.waiting
        if free and (self.fits(ticket, now_s) or not self.running):
            # One at a time may try a target that has become too slow;
            # only so can it be seen to have become fast again.
            self._admit(ticket, now_s)
            return
        reason = self._policy.refusal(self, ticket, now_s)
        if reason:
            self.refuse(ticket, reason)
            return
        self.waiting.append(ticket)
        self.queued_since_s = min(self.queued_since_s, now_s)
        self.advance(now_s)

    def finish(self, ticket: Ticket, now_s: float) -> None:
        """Free the slot of an admitted ticket and admit those waiting."""
        assert ticket.admitted, "report this: finished but never admitted"
        self.running -= 1
        self._running.discard(ticket)
        left = self.running_by_team[ticket.team] - 1
        self.running_by_team[ticket.team] = left
        if not left:
            del self.running_by_team[ticket.team]
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Refuse what is too late and admit what there are slots for."""
        self.observe(now_s)
        for ticket in list(self.waiting):
            reason = self._policy.given_up(self, ticket, now_s)
            if reason:
                self.drop(ticket, reason)
        while self.waiting and self.running < self.limits.slots:
            chosen = min(
                self.waiting,
                key=lambda ticket: self._policy.rank(self, ticket, now_s),
            )
            self.waiting.remove(chosen)
            self._admit(chosen, now_s)
        if not self.waiting:
            self.queued_since_s = clock.NEVER_S

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back a waiting ticket; False when it was decided already."""
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def record_service_time(self, kind: str, took_ms: float) -> None:
        """Learn how long a request of a kind takes."""
        known = self._service_ms.get(kind, took_ms)
        self._service_ms[kind] = known + SMOOTHING * (took_ms - known)
        known = self._mean_ms if self._learnt else took_ms
        self._learnt += 1
        self._mean_ms = known + SMOOTHING / 2 * (took_ms - known)

    def service_ms(self, kind: str) -> float:
        """Return how long a request of a kind takes, as far as known."""
        return self._service_ms.get(kind, DEFAULT_SERVICE_MS) * self._slowdown

    def observe(self, now_s: float) -> None:
        """Learn from what is still running that the target is slower.

        While service times don't change, requests in hand are about as old
        on average as a request takes; when they are older, waiting for their
        end would tell it too late.
        """
        self._slowdown = 1.0
        if len(self._running) < MIN_OBSERVED:
            return
        if self._learnt < MIN_LEARNT_TURNS * self.limits.slots:
            # The first to end are the short ones; all others look slow.
            return
        total_s = sum(now_s - ticket.begun_s for ticket in self._running)
        age_ms = 1000 * total_s / len(self._running)
        self._slowdown = max(1.0, age_ms / max(1.0, self._mean_ms) / AGE_SHARE)

    def wait_ms(self, ahead: int) -> float:
        """Return how long a request waits behind ``ahead`` others."""
        mean_ms = self._mean_ms * self._slowdown
        return (ahead + 1) * mean_ms / max(1, self.limits.slots)

    def fits(self, ticket: Ticket, now_s: float) -> bool:
        """Tell whether a ticket that ran now would end in time."""
        needed_s = self.service_ms(ticket.kind) / 1000
        return now_s + needed_s <= ticket.deadline_s

    def ahead(self, ticket: Ticket, now_s: float) -> int:
        """Return how many of those waiting go before a ticket."""
        mine = self._policy.rank(self, ticket, now_s)
        return sum(
            self._policy.rank(self, other, now_s) <= mine
            for other in self.waiting
        )

    def refuse(self, ticket: Ticket, reason: str) -> None:
        """Refuse a ticket, and tell when there will be room."""
        retry_ms = int(self.wait_ms(len(self.waiting)))
        ticket.refusal = Refused(reason, max(MIN_RETRY_MS, retry_ms))
        ticket.decided.set()

    def drop(self, ticket: Ticket, reason: str) -> None:
        """Refuse a ticket that waits."""
        self.waiting.remove(ticket)
        self.refuse(ticket, reason)

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        ticket.admitted = True
        self.running += 1
        ticket.begun_s = now_s
        self._running.add(ticket)
        count = self.running_by_team.get(ticket.team, 0)
        self.running_by_team[ticket.team] = count + 1
        ticket.decided.set()


def over_share(state: Admission, ticket: Ticket) -> bool:
    """Tell whether a team holds its part of the queue already."""
    queued: dict[str, int] = {}
    for entry in state.waiting:
        queued[entry.team] = queued.get(entry.team, 0) + 1
    teams = {*queued, *state.running_by_team, ticket.team}
    if len(teams) == 1:
        return False
    share = max(1, state.limits.queue_length // len(teams))
    return queued.get(ticket.team, 0) >= share


class WeightFirst(Policy):
    """The weightiest kind first, then the team with the least running.

    A full queue sheds its least weighty entry.
    """

    def rank(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> tuple[float, ...]:
        """Return a ticket's place in the queue."""
        running = state.running_by_team.get(ticket.team, 0)
        return (-ticket.weight, running, ticket.deadline_s)

    def refusal(self, state: Admission, ticket: Ticket, now_s: float) -> str:
        """Return why a ticket is refused, or ''."""
        ahead = sum(1 for t in state.waiting if t.weight >= ticket.weight)
        if state.running < state.limits.slots:
            ahead = 0
        need_ms = state.wait_ms(ahead) + state.service_ms(ticket.kind)
        if now_s + need_ms / 1000 > ticket.deadline_s:
            return "can't be finished in time"
        if over_share(state, ticket):
            return "the team's share of the queue is used"
        if len(state.waiting) < state.limits.queue_length:
            return ""
        least = min(state.waiting, key=_shed_rank, default=None)
        if least is None or least.weight >= ticket.weight:
            return "the queue is full"
        state.drop(least, "shed for a weightier request")
        return ""

    def given_up(self, state: Admission, ticket: Ticket, now_s: float) -> str:
        """Return why a waiting ticket is refused after all, or ''."""
        if state.fits(ticket, now_s):
            return ""
        return "no time left to run it"


def _shed_rank(ticket: Ticket) -> tuple[int, float]:
    return (ticket.weight, -ticket.arrived_s)
