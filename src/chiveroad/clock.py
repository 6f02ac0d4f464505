"""Clocks, among them the one that measures the age of a process's knowledge.

The monotonic clock stops while a machine is suspended, so knowledge would
look younger than it is, and the time of day may jump.  ``now_s`` uses neither.
"""

from __future__ import annotations

import time
import typing

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


NEVER_S: typing.Final = float("inf")
"""A point in time that is never reached."""


class Clock:
    """The machine's time of day and its monotonic clock."""

    def unix_ms(self) -> int:
        """Return the time of day in Unix milliseconds; it may jump."""
        return int(time.time() * 1000)

    def steady_s(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()


def now_s() -> float:
    """Return seconds since the machine's start, including suspensions."""
    return time.clock_gettime(_BOOT_CLOCK)
