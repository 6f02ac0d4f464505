"""A thread pool for a server's requests that grows on demand."""

from __future__ import annotations

import typing

import cheroot.workers.threadpool as threadpool

QUEUE_TIMEOUT_S: typing.Final = 0.001
GROW_STEP: typing.Final = 4


class Workers(threadpool.ThreadPool):
    """A pool that starts small and grows while all threads are busy.

    An idle thread costs memory; with too few threads, requests wait.

    :param initial_threads: how many threads are started first.
    :param max_threads: the maximum number of threads.
    """

    _queue: typing.Any
    _threads: list[typing.Any]
    _spawn_worker: typing.Callable[[], typing.Any]

    def __init__(
        self, server: typing.Any, initial_threads: int, max_threads: int
    ) -> None:
        super().__init__(
            server,
            min=initial_threads,
            max=max_threads,
            accepted_queue_size=max_threads,
            accepted_queue_timeout=QUEUE_TIMEOUT_S,  # type: ignore[arg-type]
        )

    def put(self, obj: typing.Any) -> None:
        """Queue a connection for a worker thread.

        :raises queue.Full: when all workers are busy and the queue is full.
        """
        super().put(obj)
        if self._queue.qsize() > self.idle:
            self.grow(GROW_STEP)

    def grow(self, amount: int) -> None:
        """Start more threads; unlike the library, don't wait for them."""
        capacity = int(self.max) - len(self._threads)
        for _ in range(min(amount, capacity)):
            self._threads.append(self._spawn_worker())
