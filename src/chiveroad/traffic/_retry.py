"""Deciding whether a request is tried again.

A retry needs a promise that the request did not run, or a request that may
run twice.  Only the outermost entry of a deep call retries after an unknown
outcome; every entry may go to another target after a refusal that ran
nothing.  A budget, see ``_retry_budget``, keeps retries a small share of
traffic.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

MAX_TRIES: typing.Final = 5
"""Refusals by guards cost a round trip each, and no target's time."""


class Decision(enum.Enum):
    """What to do with a failed try."""

    RETRY = "retry"
    GIVE_UP = "give up"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A try that gave no answer of the target's own.

    ``ran`` is ``no`` or ``unknown``; ``replayable`` says that the body is
    still there to be sent again; ``answer_begun`` that the caller has
    already received a part of an answer.  ``sent`` counts the targets that
    have seen the request, ``max_attempts`` is how many may, and ``tries``
    counts guards that refused it as well.
    """

    ran: str
    tries: int
    sent: int
    idempotent: bool
    outermost: bool
    replayable: bool
    answer_begun: bool
    left_ms: float
    max_attempts: int


def decide(failure: Failure, budget_left: bool) -> Decision:
    """Return whether the request is tried again now."""
    if failure.answer_begun or not failure.replayable:
        return Decision.GIVE_UP
    if failure.tries >= MAX_TRIES or failure.left_ms <= 0:
        return Decision.GIVE_UP
    if failure.sent >= failure.max_attempts:
        return Decision.GIVE_UP
    if failure.ran != "no" and not failure.idempotent:
        return Decision.GIVE_UP
    if failure.ran != "no" and not failure.outermost:
        return Decision.GIVE_UP
    return Decision.RETRY if budget_left else Decision.GIVE_UP
