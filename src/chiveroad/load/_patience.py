"""How long a request may wait at a guard before it goes to another target.

The load that this answers: one target has a queue while others are idle, as
the entries' knowledge of the targets is seconds old.  A move costs a refusal
and another hop, so it pays only if it saves more than that, and only while
some target has capacity.
"""

from __future__ import annotations

import typing

DEFAULT_OBJECTIVE_MS: typing.Final = 1_000
OBJECTIVE_SHARE: typing.Final = 0.1
"""The share of a request's objective that it may wait at one guard.  In the
load model a longer wait saves hops at 0.6 of capacity, 1.13 tries a request
instead of 1.54 at a share of 0.03, and serves as many in time."""

MIN_PATIENCE_MS: typing.Final = 5.0
"""A move within a failure domain costs about this much: the refusal, and the
next hop, with 1 to 2 ms of processor time on each side."""

MAX_PATIENCE_MS: typing.Final = 100.0
"""Four times the round trip to another region, the most that a move costs."""

BYTES_PER_MS: typing.Final = 600.0
"""The bytes that a link of 5 Mbit/s transfers in a millisecond: the slowest
links between failure domains.  A move sends the body again."""

MIN_LEARNT: typing.Final = 3
"""With fewer targets learnt about in the last second, nothing shows that the
service has no capacity."""


def patience_ms(
    objective_ms: float, body_bytes: float, inner: bool = False
) -> float:
    """Return how long a request may wait at a guard.

    An inner call waits for as long as a move costs, and no longer: while it
    waits, its parent holds a slot of another target.

    >>> patience_ms(600, 0), patience_ms(600, 60_000)
    (60.0, 160.0)
    >>> patience_ms(600, 0, inner=True)
    5.0
    """
    base_ms = MIN_PATIENCE_MS
    if not inner:
        base_ms = OBJECTIVE_SHARE * (objective_ms or DEFAULT_OBJECTIVE_MS)
        base_ms = min(MAX_PATIENCE_MS, max(MIN_PATIENCE_MS, base_ms))
    return base_ms + body_bytes / BYTES_PER_MS


def impatient_tries(learnt: int, full: int, limit: int) -> int:
    """Return how many tries may refuse to wait before the last one.

    The more of the targets that were heard of lately are full, the fewer
    tries pay.  If all are, none does: moving requests around would take
    processor time from an overloaded service.

    :param learnt: how many targets this entry heard of in the last second.
    :param full: how many of these had no free slot.
    :param limit: the limit of tries, including the last one.

    >>> impatient_tries(0, 0, 5), impatient_tries(8, 6, 5)
    (4, 2)
    >>> impatient_tries(8, 8, 5)
    0
    """
    if learnt < MIN_LEARNT:
        return limit - 1
    free = learnt - full
    if not free:
        return 0
    # Twice the share: the pick avoids the targets that are known to be full.
    return max(1, min(limit - 1, round(2 * (limit - 1) * free / learnt)))
