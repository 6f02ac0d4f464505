"""Admission control by latency objective, for overload.

When more requests arrive than a target can run, a queue in order of arrival
answers all of them late.  This policy runs inner calls first, because a
running request waits for them, and then requests that can still be answered
within their objective.

A request that would be late is still worth something.  It is queued behind
those that can be in time, as far as its deadline allows, and gives up its
place to one of them when the queue is full.  Once there has been a queue for
longer than ``CONGESTED_AFTER_S``, no more of such requests wait than the
target has slots: further ones are refused at once with a retry delay, instead
of waiting until they fail.
"""

from __future__ import annotations

import typing

from chiveroad.traffic import _admission

CONGESTED_AFTER_S: typing.Final = 0.5
"""A queue that has lasted longer than this is overload, not a burst that the
target is working off."""


class ObjectiveFirst(_admission.Policy):
    """Inner calls, then requests within their objective, then by weight."""

    def rank(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> tuple[float, ...]:
        """Return a ticket's sort key; the smallest key runs first."""
        running = state.running_by_team.get(ticket.team, 0)
        return (
            not ticket.inner,
            _misses_objective(state, ticket, now_s, 0.0),
            not state.shares.is_starved(ticket.weight),
            -ticket.weight,
            running,
            min(ticket.objective_s, ticket.deadline_s),
        )

    def refusal_reason(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> str:
        """Return why a ticket that can't run at once is refused, or ''."""
        ahead = 0
        if not state.has_room(now_s):
            ahead = state.ahead(ticket, now_s)
        wait_ms = state.wait_ms(ahead)
        need_ms = wait_ms + state.service_ms(ticket.kind)
        if now_s + need_ms / 1000 > ticket.deadline_s:
            return "can't be finished in time"
        if ticket.inner:
            return ""
        if _admission.exceeds_team_share(state, ticket):
            return "the team's share of the queue is used"
        late = _misses_objective(state, ticket, now_s, wait_ms)
        full = len(state.waiting) >= state.limits.queue_length
        if not full and not (late and _is_congested(state, now_s)):
            return ""
        waiting_late = [
            other
            for other in state.waiting
            if not other.inner and _misses_objective(state, other, now_s, 0.0)
        ]
        if not full and len(waiting_late) < state.limits.slots:
            return ""
        # A late request makes room only for a weightier one, or for one that
        # can be in time.
        lightest = min(waiting_late, key=_shed_rank, default=None)
        if lightest is None or (late and lightest.weight >= ticket.weight):
            return (
                "the queue is full"
                if full
                else "can't be finished within its objective"
            )
        state.drop(lightest, "shed for a request that is worth more")
        return ""

    def drop_reason(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> str:
        """Return why a ticket is dropped from the queue, or ''."""
        if state.meets_deadline(ticket, now_s):
            return ""
        return "no time left to run it"


def _shed_rank(ticket: _admission.Ticket) -> tuple[float, ...]:
    return (ticket.weight, -ticket.arrived_s)


def _misses_objective(
    state: _admission.Admission,
    ticket: _admission.Ticket,
    now_s: float,
    wait_ms: float,
) -> bool:
    need_ms = wait_ms + state.service_ms(ticket.kind)
    return now_s + need_ms / 1000 > ticket.objective_s


def _is_congested(state: _admission.Admission, now_s: float) -> bool:
    return now_s - state.queued_since_s > CONGESTED_AFTER_S
