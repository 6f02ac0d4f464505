"""Bounds how many requests at once may do what others must not wait for."""

from __future__ import annotations

import collections.abc
import contextlib
import threading
import time


class Entered:
    """A request's admission; false if there was none in time."""

    def __init__(self, leave: collections.abc.Callable[[], None] | None):
        self._leave = leave

    def __bool__(self) -> bool:
        return self._leave is not None

    def leave(self) -> None:
        """Let another request in; further calls do nothing."""
        leave, self._leave = self._leave, None
        if leave is not None:
            leave()


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
    ) -> collections.abc.Iterator[Entered]:
        """Wait for admission; yields whether there was one in time.

        The admission ends with the context, or before by ``Entered.leave``.

        >>> gate = Gate()
        >>> with gate.admitted(1, 0.0) as first:
        ...     with gate.admitted(1, 0.0) as second:
        ...         bool(first), bool(second)
        (True, False)
        """
        is_inside = self._enter(capacity, time.monotonic() + limit_s)
        entered = Entered(self._leave if is_inside else None)
        try:
            yield entered
        finally:
            entered.leave()

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
