"""Deciding whether a request is tried again.

A retry needs a promise that the request did not run, or a request that may
run twice.  Only the outermost entry of a deep call retries after an unknown
outcome; every entry may go to another upstream after a refusal that ran
nothing.  A budget, fed by successes, keeps retries a small share of traffic.
"""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

MAX_TRIES: typing.Final = 3
BUDGET_SHARE: typing.Final = 0.2
BUDGET_LIMIT: typing.Final = 20.0


class Decision(enum.Enum):
    """What to do with a failed try."""

    RETRY = "retry"
    GIVE_UP = "give up"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A try that gave no answer of the upstream's own.

    ``ran`` is ``no`` or ``unknown``; ``replayable`` says that the body is
    still there to be sent again; ``answer_begun`` that the caller has
    already received a part of an answer.
    """

    ran: str
    tries: int
    idempotent: bool
    outermost: bool
    replayable: bool
    answer_begun: bool
    left_ms: float


def decide(failure: Failure, budget_left: bool) -> Decision:
    """Return whether the request is tried again now."""
    if failure.answer_begun or not failure.replayable:
        return Decision.GIVE_UP
    if failure.tries >= MAX_TRIES or failure.left_ms <= 0:
        return Decision.GIVE_UP
    if failure.ran != "no" and not failure.idempotent:
        return Decision.GIVE_UP
    if failure.ran != "no" and not failure.outermost:
        return Decision.GIVE_UP
    return Decision.RETRY if budget_left else Decision.GIVE_UP


class Budget:
    """A share of successes that may be spent on retries."""

    def __init__(
        self, share: float = BUDGET_SHARE, limit: float = BUDGET_LIMIT
    ) -> None:
        self._share = share
        self._limit = limit
        self._tokens = limit
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Note a success."""
        with self._lock:
            self._tokens = min(self._limit, self._tokens + self._share)

    def spend(self) -> bool:
        """Take a retry from the budget; False when it is used up."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
