"""A queue of connections in two classes, for a pool of worker threads."""

from __future__ import annotations

import collections
import queue
import threading
import typing


class ClassQueue:
    """A bounded queue that serves requests that have arrived first.

    A request that may wait for its client, while it runs, is taken only while
    fewer than ``max_waiting`` such requests run.  So the other threads are
    left to requests that need nothing more from their clients.

    :param size: how many requests of each class may be queued.
    :param max_waiting: how many requests that may wait run at once.
    """

    def __init__(self, size: int, max_waiting: int) -> None:
        self._size = size
        self._max_waiting = max_waiting
        self._arrived: collections.deque[typing.Any] = collections.deque()
        self._waiting: collections.deque[typing.Any] = collections.deque()
        lock = threading.Lock()
        self._condition = threading.Condition(lock)
        self._taken = threading.Condition(lock)
        self._running_waiting = 0

    def put(
        self,
        item: typing.Any,
        block: bool = True,
        timeout: float | None = None,
    ) -> None:
        """Queue a request that has arrived, or a sentinel of the pool.

        :raises queue.Full: when the queue stays full for ``timeout`` seconds.
        """
        with self._condition:
            if not self._taken.wait_for(
                lambda: len(self._arrived) < self._size,
                timeout if block else 0.0,
            ):
                raise queue.Full
            self._arrived.append(item)
            self._condition.notify()

    def put_waiting(self, item: typing.Any) -> None:
        """Queue a request that may wait for its client.

        :raises queue.Full: when the queue is full, with both classes.
        """
        with self._condition:
            if self.queued() >= self._size:
                raise queue.Full
            self._waiting.append(item)
            self._condition.notify()

    def get(self) -> typing.Any:
        """Wait for the next request."""
        with self._condition:
            while True:
                if self._arrived:
                    self._taken.notify()
                    return self._arrived.popleft()
                if self._waiting and self._may_take_waiting():
                    self._running_waiting += 1
                    return self._waiting.popleft()
                self._condition.wait()

    def begin_waiting(self) -> bool:
        """Count a running request as one that may wait.

        :returns: False if other requests are to be served before.
        """
        with self._condition:
            if self._arrived or self._waiting or not self._may_take_waiting():
                return False
            self._running_waiting += 1
            return True

    def end_waiting(self) -> None:
        """Count the end of a request that may wait for its client."""
        with self._condition:
            self._running_waiting -= 1
            if self._waiting:
                self._condition.notify()

    def withdraw_waiting(self, count: int) -> list[typing.Any]:
        """Return the requests that may wait and were queued first."""
        with self._condition:
            number = min(count, len(self._waiting))
            return [self._waiting.popleft() for _ in range(number)]

    def _may_take_waiting(self) -> bool:
        return self._running_waiting < self._max_waiting

    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._arrived) + len(self._waiting)

    def shortage(self, idle_threads: int) -> int:
        """Return how many queued requests no thread is free for."""
        if not idle_threads:
            return self.queued()
        return 0 if self._may_take_waiting() else len(self._waiting)

    def qsize(self) -> int:
        """Return how many requests could be taken by further threads."""
        free = max(0, self._max_waiting - self._running_waiting)
        return len(self._arrived) + min(len(self._waiting), free)
