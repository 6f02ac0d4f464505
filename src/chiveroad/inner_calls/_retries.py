"""Retries of inner calls that found no capacity.

Load: several services are nearly full, and a running target needs an answer
of another one.  An inner call that fails wastes all work that its target has
done for the outer request, so it is worth waiting for a slot that another
request frees.  An outer request is refused instead: its caller is told when to
return.
"""

from __future__ import annotations

import typing

FIRST_PAUSE_S: typing.Final = 0.015
"""The pause before the targets are tried again.  Of a few dozen slots with
requests of 100 ms, one becomes free every few milliseconds."""

MAX_PAUSE_S: typing.Final = 0.06
"""The longest pause: about the time that an inner call itself takes."""

MIN_LEFT_MS: typing.Final = 10.0
"""With less time left, an answer of another instance comes too late."""

WORK_SHARE: typing.Final = 0.25
"""The share of its latency objective that a call takes at the least.  One that
begins with less time left would be run and broken off."""


def retry_pause_s(
    rounds: int,
    ran: str,
    reached: bool,
    left_ms: float,
    spread: float,
    objective_ms: float = 0.0,
) -> float | None:
    """Return the pause before an inner call is tried again, or None.

    A round is one attempt at each of several targets, all of which refused
    the call or couldn't be reached.

    :param rounds: how many rounds have failed.
    :param ran: the last refusal's ``ran``; a call that may have run isn't
        tried again here.
    :param reached: whether the call has been sent to a target, which takes
        from the retry budget.
    :param left_ms: the time left until the call's deadline.
    :param spread: a random number from 0 to 1, so that calls which failed
        together don't return together.
    :param objective_ms: the latency objective of the call's kind, 0 for none.

    >>> retry_pause_s(1, "no", False, 300.0, 1.0)
    0.015
    """
    if ran != "no" or reached:
        return None
    pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (rounds - 1))
    pause_s *= 0.5 + 0.5 * spread
    needed_ms = max(MIN_LEFT_MS, WORK_SHARE * objective_ms)
    if left_ms - 1000 * pause_s < needed_ms:
        return None
    return pause_s
