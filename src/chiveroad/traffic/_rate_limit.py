"""The rate limit that a target states in its answers.

A target in need states how many requests a second it takes from all daemons
together, for as long as its answers say so.  Its guard sees every request to
the target, so one token bucket in the guard enforces the limit exactly.
"""

from __future__ import annotations

import typing

from chiveroad import wire

MIN_RATE_PER_S: typing.Final = 0.5
"""A target whose limit is lower still gets this many requests a second: only
an answer can raise or lift the limit."""

BURST_S: typing.Final = 0.25
"""How many seconds' worth of requests may be sent at once after a pause.  It
is several times the interval at which waiting requests are admitted."""


class RateLimit:
    """A token bucket that follows the limit of one target.

    The class has no clock of its own; times are in monotonic seconds, and
    the caller must hold a lock.

    ``per_s`` is the limit that is enforced, or ``wire.UNLIMITED``.
    """

    def __init__(self) -> None:
        self.per_s = wire.UNLIMITED
        self._heard = False
        self._stated_s = 0.0
        self._tokens = 0.0
        self._updated_s = 0.0

    @property
    def active(self) -> bool:
        """Tell whether there is a limit."""
        return self.per_s != wire.UNLIMITED

    def learn(
        self, stated_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Follow the limit that an answer of the target states.

        An answer without a limit lifts it only if its request was sent after
        the last answer with one: answers may overtake each other.

        :param stated_per_s: ``wire.UNLIMITED`` if the answer states no limit,
            None if its statement can't be read.
        :param sent_s: when the answered request was sent.
        """
        if stated_per_s is None:
            return
        self._heard = True
        if stated_per_s != wire.UNLIMITED:
            self._stated_s = now_s
            self._enforce(stated_per_s, now_s)
        elif sent_s >= self._stated_s:
            self.per_s = wire.UNLIMITED

    def adopt(self, stated_per_s: float, now_s: float) -> None:
        """Enforce a limit that an entry knows of, until the target answers.

        A guard that was restarted doesn't know the limit of its target.
        """
        if not (self._heard or self.active):
            self._enforce(stated_per_s, now_s)

    def allows(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.active:
            return True
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        burst = max(1.0, self.per_s * BURST_S)
        self._tokens = min(burst, self._tokens + elapsed_s * self.per_s)
        return self._tokens >= 1.0

    def take(self) -> None:
        """Count a request that is sent now."""
        self._tokens -= 1.0

    def wait_ms(self, ahead: int) -> float:
        """Return how long a request waits behind ``ahead`` others.

        The time counts from the last call of ``allows``.
        """
        if not self.active:
            return 0.0
        return max(0.0, 1000 * (ahead + 1 - self._tokens) / self.per_s)

    def _enforce(self, per_s: float, now_s: float) -> None:
        """Change the limit; a new bucket is empty, as requests are running."""
        if self.active:
            self.allows(now_s)
        else:
            self._tokens = 0.0
            self._updated_s = now_s
        self.per_s = max(MIN_RATE_PER_S, per_s)
