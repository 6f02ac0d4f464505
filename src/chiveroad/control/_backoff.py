"""Waiting between attempts on a store that can't be reached."""

from __future__ import annotations

import random
import time


class Backoff:
    """Pauses that double with each failure, spread at random.

    Daemons that lose the store together must not return to it together, and
    every call is paid for, also one that is refused.

    :param first_s: the first pause, in seconds.
    :param most_s: the longest.
    """

    def __init__(self, first_s: float, most_s: float) -> None:
        self._first_s = first_s
        self._most_s = most_s
        self._failures = 0

    def next_s(self) -> float:
        """Note a failure, and return how long to wait after it."""
        pause_s = min(self._most_s, self._first_s * 2.0**self._failures)
        self._failures += 1
        return pause_s * random.uniform(0.5, 1.5)

    def wait(self) -> None:
        """Note a failure, and wait after it."""
        time.sleep(self.next_s())

    def reset(self) -> None:
        """Note a success."""
        self._failures = 0
