"""Bounds how many requests at once may do what others must not wait for."""

from __future__ import annotations

import collections.abc
import contextlib
import threading
import time


class Gate:
    """Admits requests up to a capacity, in the order of their arrival.

    ``waiting`` is how many requests wait.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._inside = 0
        self._next = 0
        self._queue: list[int] = []

    @property
    def waiting(self) -> int:
        """Return how many requests wait to be admitted."""
        return len(self._queue)

    @contextlib.contextmanager
    def admitted(
        self, capacity: int, limit_s: float
    ) -> collections.abc.Iterator[bool]:
        """Wait for admission; yields False if there is none in time.

        >>> gate = Gate()
        >>> with gate.admitted(1, 0.0) as first:
        ...     with gate.admitted(1, 0.0) as second:
        ...         first, second
        (True, False)
        """
        is_inside = self._enter(capacity, time.monotonic() + limit_s)
        try:
            yield is_inside
        finally:
            if is_inside:
                self._leave()

    def _enter(self, capacity: int, end_s: float) -> bool:
        with self._condition:
            turn = self._next
            self._next += 1
            self._queue.append(turn)
            try:
                while self._inside >= capacity or self._queue[0] != turn:
                    left_s = end_s - time.monotonic()
                    if left_s <= 0 or not self._condition.wait(left_s):
                        return False
                self._inside += 1
                return True
            finally:
                self._queue.remove(turn)
                self._condition.notify_all()

    def _leave(self) -> None:
        with self._condition:
            self._inside -= 1
            self._condition.notify_all()
