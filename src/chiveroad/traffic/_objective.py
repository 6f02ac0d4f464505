"""Admission by latency objective: overload with more work than capacity.

When more arrives than a target can run, a queue in order of arrival
answers everybody late.  Here those that can still be answered within their
objective go first, calls that a running request waits for before all others.
What would be late is taken while a queue is young, so that a short burst is
worked off; once there has been a queue for a while it is refused at once and
told to come back, instead of being held until it fails.
"""

from __future__ import annotations

import typing

from chiveroad.traffic import _admission

CONGESTED_AFTER_S: typing.Final = 0.5
"""A queue this old isn't a burst that the target is working off."""

MAX_HOLD_SHARE: typing.Final = 0.5
"""The part of the way to its objective that a late request waits at most
while the target is congested."""


class ObjectiveFirst(_admission.Policy):
    """Those that can make their objective first, then by weight."""

    def rank(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> tuple[float, ...]:
        """Return a ticket's place in the queue."""
        running = state.running_by_team.get(ticket.team, 0)
        return (
            not ticket.inner,
            _late(state, ticket, now_s, 0.0),
            -ticket.weight,
            running,
            min(ticket.objective_s, ticket.deadline_s),
        )

    def refusal(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> str:
        """Return why a ticket is refused, or ''."""
        ahead = 0
        if state.running >= state.limits.slots:
            ahead = state.ahead(ticket, now_s)
        wait_ms = state.wait_ms(ahead)
        need_ms = wait_ms + state.service_ms(ticket.kind)
        if now_s + need_ms / 1000 > ticket.deadline_s:
            return "can't be finished in time"
        if ticket.inner:
            return ""
        if len(state.waiting) >= state.limits.queue_length:
            return "the queue is full"
        if _admission.over_share(state, ticket):
            return "the team's share of the queue is used"
        if _late(state, ticket, now_s, wait_ms) and _congested(state, now_s):
            return "can't be finished within its objective"
        return ""

    def given_up(
        self,
        state: _admission.Admission,
        ticket: _admission.Ticket,
        now_s: float,
    ) -> str:
        """Return why a waiting ticket is refused after all, or ''."""
        if not state.fits(ticket, now_s):
            return "no time left to run it"
        if ticket.inner or not _congested(state, now_s):
            return ""
        if not _late(state, ticket, now_s, 0.0):
            return ""
        hold_s = MAX_HOLD_SHARE * (ticket.objective_s - ticket.arrived_s)
        if now_s - ticket.arrived_s < hold_s:
            return ""
        return "can't be finished within its objective any more"


def _late(
    state: _admission.Admission,
    ticket: _admission.Ticket,
    now_s: float,
    wait_ms: float,
) -> bool:
    need_ms = wait_ms + state.service_ms(ticket.kind)
    return now_s + need_ms / 1000 > ticket.objective_s


def _congested(state: _admission.Admission, now_s: float) -> bool:
    return now_s - state.queued_since_s > CONGESTED_AFTER_S
