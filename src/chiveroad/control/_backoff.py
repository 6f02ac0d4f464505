"""Exponential backoff for calls to an unreachable store."""

from __future__ import annotations

import random
import time


class Backoff:
    """Exponential backoff with jitter.

    The jitter keeps daemons that lose the store at the same time from
    returning to it at the same time.  The backoff saves calls, since even a
    refused call is charged for.

    :param first_s: the first pause, in seconds.
    :param max_s: the longest pause before jitter, in seconds.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._failures = 0

    def next_s(self) -> float:
        """Record a failure, and return the pause until the next attempt."""
        pause_s = min(self._max_s, self._first_s * 2.0**self._failures)
        self._failures += 1
        return pause_s * random.uniform(0.5, 1.5)

    def wait(self) -> None:
        """Record a failure, and sleep until the next attempt."""
        time.sleep(self.next_s())

    def reset(self) -> None:
        """Record a success: the next pause is the shortest again."""
        self._failures = 0
