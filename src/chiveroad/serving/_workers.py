"""A thread pool for a server's requests that grows on demand."""

from __future__ import annotations

import typing

import cheroot.workers.threadpool as threadpool

from chiveroad import limits

QUEUE_TIMEOUT_S: typing.Final = 0.001
GROW_STEP: typing.Final = 4


class Workers(threadpool.ThreadPool):
    """A pool that starts small and grows while all threads are busy.

    An idle thread costs memory; with too few threads, requests wait.

    :param initial_threads: how many threads are started first.
    :param max_threads: the maximum number of threads.
    :param waiting_share: the share of the threads that may process requests
        which can wait for their client.
    """

    _queue: typing.Any
    _threads: list[typing.Any]
    _spawn_worker: typing.Callable[[], typing.Any]

    def __init__(
        self,
        server: typing.Any,
        initial_threads: int,
        max_threads: int,
        waiting_share: float = 0.5,
    ) -> None:
        super().__init__(
            server,
            min=initial_threads,
            max=max_threads,
            accepted_queue_size=max_threads,
            accepted_queue_timeout=QUEUE_TIMEOUT_S,  # type: ignore[arg-type]
        )
        self._queue = limits.ClassQueue(
            max_threads, max(1, int(waiting_share * max_threads))
        )
        self.get = self._queue.get
        self.begin_waiting = self._queue.begin_waiting
        self.end_waiting = self._queue.end_waiting
        self.queued = self._queue.queued
        self.withdraw_waiting = self._queue.withdraw_waiting

    def put(self, obj: typing.Any) -> None:
        """Queue a connection for a worker thread.

        :raises queue.Full: when all workers are busy and the queue is full.
        """
        super().put(obj)
        self._grow_if_needed()

    def put_waiting(self, obj: typing.Any) -> None:
        """Queue a connection whose request may wait for its client.

        :raises queue.Full: when too many such connections are queued.
        """
        self._queue.put_waiting(obj)
        self._grow_if_needed()

    def shortage(self) -> int:
        """Return how many queued requests can't get a thread now."""
        if not self._queue.queued():
            return 0
        unstarted = int(self.max) - len(self._threads)
        shortage: int = self._queue.shortage(self.idle + unstarted)
        return shortage

    def _grow_if_needed(self) -> None:
        if self._queue.qsize() > self.idle:
            self.grow(GROW_STEP)

    def grow(self, amount: int) -> None:
        """Start more threads; unlike the library, don't wait for them."""
        capacity = int(self.max) - len(self._threads)
        for _ in range(min(amount, capacity)):
            self._threads.append(self._spawn_worker())
