"""The decision whether a failed request is retried.

A request is retried only if it certainly did not run, or if it is idempotent.
In a chain of calls, only the outermost entry retries after an unknown outcome;
every entry may send the request to another target after a refusal that states
that it did not run.  A budget, see ``_retry_budget``, keeps retries a small
share of the traffic.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

MAX_TRIES: typing.Final = 5
"""The limit of tries per request.  It can exceed ``max_attempts``, because a
refusal by a guard costs a round trip but no time of a target."""


class Decision(enum.Enum):
    """What happens to a request after a failed try."""

    RETRY = "retry"
    GIVE_UP = "give up"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A try that ended without an answer from the target.

    ``ran`` is ``no`` or ``unknown``.  ``replayable`` is set when the body can
    be sent again, and ``answer_begun`` when the caller has already received a
    part of an answer.  ``sent`` counts the targets that have seen the request,
    and ``max_attempts`` is the limit of that number.  ``tries`` also counts
    the guards that refused the request.
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
    """Return whether the request is retried now."""
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
