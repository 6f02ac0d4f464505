"""The clock by which the age of what a process believes is counted.

The steady clock stands still while a machine is suspended, so a belief would
look younger than it is; the time of day may jump.  Neither decides here.
"""

from __future__ import annotations

import time
import typing

_BOOT = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


NEVER_S: typing.Final = float("inf")
"""A point in time that doesn't come."""


class Clock:
    """The clocks of a machine."""

    def unix_ms(self) -> int:
        """Return the time of day in Unix milliseconds; it may jump."""
        return int(time.time() * 1000)

    def steady_s(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


def now_s() -> float:
    """Return seconds since the machine's start, suspensions included."""
    return time.clock_gettime(_BOOT)
