"""The guard's limits: slots, a short queue, and who is refused.

The guard sees every request to its upstream, so its count of slots is
exact.  What can't run at once waits in a short queue, the weightiest kind
first, then the team with the least running, then the earliest deadline.  A
request that couldn't finish before its deadline is refused at once, and a
full queue sheds its least weighty entry.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

DEFAULT_SERVICE_MS: typing.Final = 20.0
MIN_RETRY_MS: typing.Final = 50
SMOOTHING: typing.Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the service's team allows for each upstream."""

    slots: int
    queue_length: int


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One request at the guard; ``deadline_s`` is monotonic seconds."""

    team: str
    kind: str
    weight: int
    deadline_s: float
    arrived_s: float
    decided: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    admitted: bool = False
    refusal: Refused | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a request isn't run, and when asking again makes sense."""

    reason: str
    retry_after_ms: int


class Admission:
    """The state of one guard.

    ``offer`` decides on a ticket with the clock it is given; a ticket that
    is neither admitted nor refused waits.  ``finish`` frees a slot.  The
    class has no clock and no thread of its own; the caller holds a lock.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.waiting: list[Ticket] = []
        self.running_by_team: dict[str, int] = {}
        self.running = 0
        self._service_ms: dict[str, float] = {}

    @property
    def load(self) -> int:
        """Return how many requests run or wait."""
        return self.running + len(self.waiting)

    def offer(self, ticket: Ticket, now_s: float) -> None:
        """Admit, queue or refuse a request."""
        free = self.running < self.limits.slots and not self.waiting
        if free and (self._fits(ticket, now_s) or not self.running):
            # One at a time may try an upstream that has become too slow;
            # only so can it be seen to have become fast again.
            self._admit(ticket)
            return
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            self._refuse(ticket, refusal)
            return
        self.waiting.append(ticket)
        self.advance(now_s)

    def finish(self, ticket: Ticket, now_s: float) -> None:
        """Free the slot of an admitted ticket and admit those waiting."""
        assert ticket.admitted, "report this: finished but never admitted"
        self.running -= 1
        left = self.running_by_team[ticket.team] - 1
        self.running_by_team[ticket.team] = left
        if not left:
            del self.running_by_team[ticket.team]
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Refuse what is too late and admit what there are slots for."""
        for ticket in list(self.waiting):
            if not self._fits(ticket, now_s):
                self._drop(ticket, "no time left to run it", now_s)
        while self.waiting and self.running < self.limits.slots:
            chosen = min(self.waiting, key=self._rank)
            self.waiting.remove(chosen)
            self._admit(chosen)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back a waiting ticket; False when it was decided already."""
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def served(self, kind: str, took_ms: float) -> None:
        """Learn how long a request of a kind takes."""
        known = self._service_ms.get(kind, took_ms)
        self._service_ms[kind] = known + SMOOTHING * (took_ms - known)

    def service_ms(self, kind: str) -> float:
        """Return how long a request of a kind takes, as far as known."""
        return self._service_ms.get(kind, DEFAULT_SERVICE_MS)

    def wait_ms(self, ahead: int) -> float:
        """Return how long a request waits behind ``ahead`` others."""
        times = list(self._service_ms.values()) or [DEFAULT_SERVICE_MS]
        typical_ms = sum(times) / len(times)
        return (ahead + 1) * typical_ms / self.limits.slots

    def _fits(self, ticket: Ticket, now_s: float) -> bool:
        needed_s = self.service_ms(ticket.kind) / 1000
        return now_s + needed_s <= ticket.deadline_s

    def _refusal(self, ticket: Ticket, now_s: float) -> Refused | None:
        ahead = sum(1 for t in self.waiting if t.weight >= ticket.weight)
        if self.running < self.limits.slots:
            ahead = 0
        need_ms = self.wait_ms(ahead) + self.service_ms(ticket.kind)
        if now_s + need_ms / 1000 > ticket.deadline_s:
            return self._refused("can't be finished in time")
        if self._over_share(ticket):
            return self._refused("the team's share of the queue is used")
        if len(self.waiting) < self.limits.queue_length:
            return None
        least = min(self.waiting, key=_shed_rank, default=None)
        if least is None or least.weight >= ticket.weight:
            return self._refused("the queue is full")
        self._drop(least, "shed for a weightier request", now_s)
        return None

    def _over_share(self, ticket: Ticket) -> bool:
        queued: dict[str, int] = {}
        for entry in self.waiting:
            queued[entry.team] = queued.get(entry.team, 0) + 1
        teams = {*queued, *self.running_by_team, ticket.team}
        if len(teams) == 1:
            return False
        share = max(1, self.limits.queue_length // len(teams))
        return queued.get(ticket.team, 0) >= share

    def _refused(self, reason: str) -> Refused:
        retry_ms = int(self.wait_ms(len(self.waiting)))
        return Refused(reason, max(MIN_RETRY_MS, retry_ms))

    def _admit(self, ticket: Ticket) -> None:
        ticket.admitted = True
        self.running += 1
        count = self.running_by_team.get(ticket.team, 0)
        self.running_by_team[ticket.team] = count + 1
        ticket.decided.set()

    def _refuse(self, ticket: Ticket, refusal: Refused) -> None:
        ticket.refusal = refusal
        ticket.decided.set()

    def _drop(self, ticket: Ticket, reason: str, now_s: float) -> None:
        self.waiting.remove(ticket)
        self._refuse(ticket, self._refused(reason))

    def _rank(self, ticket: Ticket) -> tuple[int, int, float]:
        running = self.running_by_team.get(ticket.team, 0)
        return (-ticket.weight, running, ticket.deadline_s)


def _shed_rank(ticket: Ticket) -> tuple[int, float]:
    return (ticket.weight, -ticket.arrived_s)
