"""How long work currently takes at a target, by its own statement.

The load that this answers: machines become slower for some tenths of a second
at a time, in turn.  Service times that the guard measures show this only once
the slow requests have ended, which is when the machine is fast again.
"""

from __future__ import annotations

import typing

USUAL_PACE: typing.Final = 100
"""The statement of a target that works as fast as usual."""

FULL_FOR_S: typing.Final = 0.3
"""How long a statement counts in full.  A slow phase of 0.6 s that has been
observed at a random moment lasts for another 0.3 s in the mean."""

MAX_AGE_S: typing.Final = 0.6
"""The age at which a statement no longer counts."""


class Pace:
    """The latest pace of one target; times are in monotonic seconds."""

    __slots__ = ("_excess", "_stated_s")

    def __init__(self) -> None:
        self._excess = 0.0
        self._stated_s = 0.0

    def learn(self, pace: float, now_s: float) -> None:
        """Take in a statement; ``USUAL_PACE`` is the usual."""
        self._excess = pace / USUAL_PACE - 1.0
        self._stated_s = now_s

    def factor(self, now_s: float) -> float:
        """Return the factor by which work takes longer than usual.

        >>> pace = Pace()
        >>> pace.learn(250, 10.0)
        >>> pace.factor(10.1), pace.factor(10.6)
        (2.5, 1.0)
        """
        if not self._excess:
            return 1.0
        left_s = MAX_AGE_S - (now_s - self._stated_s)
        freshness = left_s / (MAX_AGE_S - FULL_FOR_S)
        return 1.0 + self._excess * min(1.0, max(0.0, freshness))
