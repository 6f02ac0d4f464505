"""Admission control: slots, the rate limit, a short queue and refusals.

The guard sees every request to its target, so its counts of used slots and
of requests a second are exact.  A request that can't run at once waits in a
short queue.  A ``Policy`` decides which request runs next, which is refused
on arrival, and which is dropped from the queue.
"""

from __future__ import annotations

import abc
import copy
import dataclasses
import threading
import typing

from chiveroad import clock
from chiveroad import load
from chiveroad.traffic import _rate_limit

DEFAULT_SERVICE_MS: typing.Final = 20.0
MIN_RETRY_MS: typing.Final = 50
SMOOTHING: typing.Final = 0.2
MIN_RUNNING_OBSERVED: typing.Final = 4
"""With fewer running requests, their mean age is no reliable measure of the
target's speed."""

MIN_SAMPLES_PER_SLOT: typing.Final = 3
"""How many finished requests per slot the mean service time must be based on
before it is compared with the age of running requests."""

IMPATIENT_REASON: typing.Final = "the request may not wait that long here"

MAX_AGE_RATIO: typing.Final = 1.5
"""The ratio of the running requests' mean age to the mean service time above
which the target counts as slower.  The spread of service times alone leads to
smaller ratios."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits that the service's team sets for each target."""

    slots: int
    queue_length: int


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One request at the guard; times are in monotonic seconds.

    ``objective_s`` is the time after which its answer counts as late.
    ``inner`` is set when a running request of another target waits for it.
    ``leave_s`` is until when it may wait; then it goes to another target.
    """

    team: str
    kind: str
    weight: int
    deadline_s: float
    arrived_s: float
    objective_s: float = clock.NEVER_S
    inner: bool = False
    leave_s: float = clock.NEVER_S
    decided: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    admitted: bool = False
    refusal: TicketRefusal | None = None
    begun_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRefusal:
    """Why a request was refused, and after what time to retry it.

    ``rate_limited`` is set when the target's rate limit, rather than its
    slots, determines that time.  ``impatient`` is set when the request would
    have been queued if its entry had let it wait.
    """

    reason: str
    retry_after_ms: int
    rate_limited: bool = False
    impatient: bool = False


class Policy(abc.ABC):
    """An admission policy: the order of the queue, and load shedding."""

    @abc.abstractmethod
    def rank(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> tuple[float, ...]:
        """Return a ticket's sort key; the smallest key runs first."""

    @abc.abstractmethod
    def refusal_reason(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> str:
        """Return why a ticket that can't run at once is refused, or ''.

        The policy may drop another ticket to free a place in the queue.
        """

    @abc.abstractmethod
    def drop_reason(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> str:
        """Return why a ticket is dropped from the queue, or ''."""


class Admission:
    """The admission state of one guard.

    ``offer`` decides about a ticket at the given time; a ticket that is
    neither admitted nor refused waits.  ``finish`` frees a slot.  The class
    has no clock and no thread of its own; the caller must hold a lock.

    :param policy: defaults to ``WeightFirst``.

    ``pace`` is what the target states about its speed.  Mean service times
    are those at the usual pace.  ``shares`` says which weights are starved.
    """

    def __init__(self, limits: Limits, policy: Policy | None = None) -> None:
        self.limits = limits
        self.rate_limit = _rate_limit.RateLimit()
        self.pace = load.Pace()
        self.shares = load.ServedShares()
        self.pace_factor = 1.0
        self.waiting: list[Ticket] = []
        self.running_by_team: dict[str, int] = {}
        self.running = 0
        self.queued_since_s = clock.NEVER_S
        self._policy = policy or WeightFirst()
        self._service_ms: dict[str, float] = {}
        self._mean_ms = DEFAULT_SERVICE_MS
        self._slowdown = 1.0
        self._samples = 0
        self._running: set[Ticket] = set()

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + len(self.waiting)

    def preview(self) -> Admission:
        """Return a copy, whose decisions leave this state as it is."""
        copied = copy.copy(self)
        copied.rate_limit = copy.deepcopy(self.rate_limit)
        copied.shares = copy.deepcopy(self.shares)
        copied.waiting = [_copy_ticket(each) for each in self.waiting]
        copied._running = {_copy_ticket(each) for each in self._running}
        copied.running_by_team = dict(self.running_by_team)
        return copied

    def offer(self, ticket: Ticket, now_s: float) -> None:
        """Admit, queue or refuse a request."""
        self.update_slowdown(now_s)
        if self._expects_to_leave(ticket, now_s):
            self.refuse(ticket, IMPATIENT_REASON, impatient=True)
            return
        self.shares.offer(ticket.weight)
        free = self.has_room(now_s) and not self.waiting
        if free and (self.meets_deadline(ticket, now_s) or not self.running):
            # A target that has become too slow still gets one request at a
            # time: nothing else shows that it has become fast again.
            self._admit(ticket, now_s)
            return
        reason = self._policy.refusal_reason(self, ticket, now_s)
        if reason:
            self.refuse(ticket, reason)
            return
        self.waiting.append(ticket)
        self.queued_since_s = min(self.queued_since_s, now_s)
        self.advance(now_s)

    def finish(self, ticket: Ticket, now_s: float) -> None:
        """Free the slot of an admitted ticket and admit waiting tickets."""
        assert ticket.admitted, "report this: finished but never admitted"
        self.running -= 1
        self._running.discard(ticket)
        team_running = self.running_by_team[ticket.team] - 1
        self.running_by_team[ticket.team] = team_running
        if not team_running:
            del self.running_by_team[ticket.team]
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Drop tickets that the policy refuses, then fill the free slots."""
        self.update_slowdown(now_s)
        for ticket in list(self.waiting):
            reason = self._policy.drop_reason(self, ticket, now_s)
            if reason:
                self.drop(ticket, reason)
        self._fill_slots(now_s)
        for ticket in list(self.waiting):
            if ticket.leave_s <= now_s:
                self.waiting.remove(ticket)
                self.refuse(ticket, IMPATIENT_REASON, impatient=True)
        if not self.waiting:
            self.queued_since_s = clock.NEVER_S

    def _fill_slots(self, now_s: float) -> None:
        while self.waiting and self.has_room(now_s):
            chosen = min(
                self.waiting,
                key=lambda ticket: self._policy.rank(self, ticket, now_s),
            )
            self.waiting.remove(chosen)
            self._admit(chosen, now_s)

    def _expects_to_leave(self, ticket: Ticket, now_s: float) -> bool:
        """Tell whether a ticket would wait for longer than it may."""
        if ticket.leave_s == clock.NEVER_S:
            return False
        if self.has_room(now_s) and not self.waiting:
            return False
        wait_ms = self.wait_ms(self.ahead(ticket, now_s))
        return now_s + wait_ms / 1000 > ticket.leave_s

    def has_room(self, now_s: float) -> bool:
        """Tell whether a slot is free and the rate limit allows a request."""
        allowed = self.rate_limit.allows(now_s)
        return allowed and self.running < self.limits.slots

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; False if it is no longer waiting."""
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def record_service_time(self, kind: str, duration_ms: float) -> None:
        """Update the mean service times with a finished request.

        :param duration_ms: how long it would have taken at the usual pace.
        """
        mean_ms = self._service_ms.get(kind, duration_ms)
        self._service_ms[kind] = mean_ms + SMOOTHING * (duration_ms - mean_ms)
        mean_ms = self._mean_ms if self._samples else duration_ms
        self._samples += 1
        self._mean_ms = mean_ms + SMOOTHING / 2 * (duration_ms - mean_ms)

    def service_ms(self, kind: str) -> float:
        """Return the expected service time of a request of a kind."""
        usual_ms = self._service_ms.get(kind, DEFAULT_SERVICE_MS)
        return usual_ms * self._slowdown * self.pace_factor

    def update_slowdown(self, now_s: float) -> None:
        """Detect from the age of running requests that the target is slower.

        While service times are stable, the mean age of running requests is
        about the mean service time.  When they are older, the target has
        become slower; their own service times would show that too late.
        The pace that the target states accounts for a part of their age.
        """
        self._slowdown = 1.0
        self.pace_factor = self.pace.factor(now_s)
        if len(self._running) < MIN_RUNNING_OBSERVED:
            return
        if self._samples < MIN_SAMPLES_PER_SLOT * self.limits.slots:
            # Short requests end first, so the mean is too low at the start and
            # all other requests look slow.
            return
        total_s = sum(now_s - ticket.begun_s for ticket in self._running)
        age_ms = 1000 * total_s / len(self._running)
        self._slowdown = max(
            1.0,
            age_ms
            / max(1.0, self._mean_ms * self.pace_factor)
            / MAX_AGE_RATIO,
        )

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait of a request behind ``ahead`` others."""
        rate_wait_ms = self.rate_limit.wait_ms(ahead)
        return max(self._slot_wait_ms(ahead), rate_wait_ms)

    def _slot_wait_ms(self, ahead: int) -> float:
        mean_ms = self._mean_ms * self._slowdown * self.pace_factor
        return (ahead + 1) * mean_ms / max(1, self.limits.slots)

    def meets_deadline(self, ticket: Ticket, now_s: float) -> bool:
        """Tell whether a ticket that starts now can end by its deadline."""
        needed_s = self.service_ms(ticket.kind) / 1000
        return now_s + needed_s <= ticket.deadline_s

    def ahead(self, ticket: Ticket, now_s: float) -> int:
        """Return how many waiting tickets precede a ticket."""
        own_rank = self._policy.rank(self, ticket, now_s)
        return sum(
            self._policy.rank(self, other, now_s) <= own_rank
            for other in self.waiting
        )

    def refuse(
        self, ticket: Ticket, reason: str, impatient: bool = False
    ) -> None:
        """Refuse a ticket, with the expected wait as its retry delay."""
        ahead = len(self.waiting)
        retry_ms = int(self.wait_ms(ahead))
        ticket.refusal = TicketRefusal(
            reason,
            max(MIN_RETRY_MS, retry_ms),
            self.rate_limit.wait_ms(ahead) > self._slot_wait_ms(ahead),
            impatient,
        )
        ticket.decided.set()

    def drop(self, ticket: Ticket, reason: str) -> None:
        """Remove a waiting ticket from the queue and refuse it."""
        self.waiting.remove(ticket)
        self.refuse(ticket, reason)

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        ticket.admitted = True
        self.running += 1
        self.rate_limit.take()
        self.shares.serve(ticket.weight)
        ticket.begun_s = now_s
        self._running.add(ticket)
        count = self.running_by_team.get(ticket.team, 0)
        self.running_by_team[ticket.team] = count + 1
        ticket.decided.set()


def _copy_ticket(ticket: Ticket) -> Ticket:
    return dataclasses.replace(ticket, decided=threading.Event())


def exceeds_team_share(state: Admission, ticket: Ticket) -> bool:
    """Tell whether the ticket's team already uses its share of the queue."""
    queued: dict[str, int] = {}
    for waiting_ticket in state.waiting:
        queued[waiting_ticket.team] = queued.get(waiting_ticket.team, 0) + 1
    teams = {*queued, *state.running_by_team, ticket.team}
    if len(teams) == 1:
        return False
    share = max(1, state.limits.queue_length // len(teams))
    return queued.get(ticket.team, 0) >= share


class WeightFirst(Policy):
    """Greatest weight first, then the team with the fewest running requests.

    A full queue sheds its ticket with the least weight.
    """

    def rank(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> tuple[float, ...]:
        """Return a ticket's sort key; the smallest key runs first."""
        running = state.running_by_team.get(ticket.team, 0)
        return (-ticket.weight, running, ticket.deadline_s)

    def refusal_reason(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> str:
        """Return why a ticket that can't run at once is refused, or ''."""
        ahead = sum(
            1
            for waiting_ticket in state.waiting
            if waiting_ticket.weight >= ticket.weight
        )
        if state.has_room(now_s):
            ahead = 0
        need_ms = state.wait_ms(ahead) + state.service_ms(ticket.kind)
        if now_s + need_ms / 1000 > ticket.deadline_s:
            return "can't be finished in time"
        if exceeds_team_share(state, ticket):
            return "the team's share of the queue is used"
        if len(state.waiting) < state.limits.queue_length:
            return ""
        lightest = min(state.waiting, key=_shed_rank, default=None)
        if lightest is None or lightest.weight >= ticket.weight:
            return "the queue is full"
        state.drop(lightest, "shed for a weightier request")
        return ""

    def drop_reason(
        self, state: Admission, ticket: Ticket, now_s: float
    ) -> str:
        """Return why a ticket is dropped from the queue, or ''."""
        if state.meets_deadline(ticket, now_s):
            return ""
        return "no time left to run it"


def _shed_rank(ticket: Ticket) -> tuple[int, float]:
    return (ticket.weight, -ticket.arrived_s)
