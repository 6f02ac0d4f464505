"""The worker threads of a server, started as they are needed."""

from __future__ import annotations

import typing

import cheroot.workers.threadpool as threadpool

QUEUE_TIMEOUT_S: typing.Final = 0.001
GROW_STEP: typing.Final = 4


class Workers(threadpool.ThreadPool):
    """A pool that begins with a few threads and grows while all are busy.

    An idle thread costs memory, a missing one makes a request wait.

    :param few: how many threads there are from the start.
    :param most: how many there may be.
    """

    _queue: typing.Any
    _threads: list[typing.Any]
    _spawn_worker: typing.Callable[[], typing.Any]

    def __init__(self, server: typing.Any, few: int, most: int) -> None:
        super().__init__(
            server,
            min=few,
            max=most,
            accepted_queue_size=most,
            accepted_queue_timeout=QUEUE_TIMEOUT_S,  # type: ignore[arg-type]
        )

    def put(self, obj: typing.Any) -> None:
        """Hand a connection to a worker.

        :raises queue.Full: when all are taken and too many wait already.
        """
        super().put(obj)
        if self._queue.qsize() > self.idle:
            self.grow(GROW_STEP)

    def grow(self, amount: int) -> None:
        """Start more threads, without waiting for them as the library does."""
        room = int(self.max) - len(self._threads)
        for _ in range(min(amount, room)):
            self._threads.append(self._spawn_worker())
