"""Hedged requests to several parents.

A late answer may be on its way over a full link, where a connection to another
parent would be delayed as well.  So the exchange with a parent stays open
while the next parent gets a hedged request, and each answer that arrives is
processed.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import threading
import typing

from chiveroad import clock
from chiveroad.control import _source
from chiveroad.control import _threads
from chiveroad import membership

MAX_EXCHANGES: typing.Final = 6
"""Limit of open exchanges, one per parent: while the first one stays open,
the following ones become late one after the other."""

SyncWithParent = collections.abc.Callable[
    [_source.ParentSource, membership.Member, int], None
]


@dataclasses.dataclass(slots=True, eq=False)
class _Worker:
    """A thread that runs one exchange at a time.

    ``parent`` is the other side of the open exchange, and ``late_at_s`` is the
    time after which the answer is late.
    """

    source: _source.ParentSource
    parent: membership.Member | None = None
    hold_ms: int = 0
    late_at_s: float = 0.0


class ParentExchanges:
    """The open exchanges with parents.

    :param sync: sends a request to a parent, and processes the answer.
    :param new_source: makes the client of a worker.
    :param grace_s: how long after the wait of its long poll an answer is late.
    """

    def __init__(
        self,
        sync: SyncWithParent,
        new_source: collections.abc.Callable[[], _source.ParentSource],
        grace_s: float,
    ) -> None:
        self._sync = sync
        self._new_source = new_source
        self._grace_s = grace_s
        self._changed = threading.Condition()
        self._workers: list[_Worker] = []
        self.stopped = False

    def pending(self) -> set[str]:
        """Return the names of the parents with an open exchange."""
        with self._changed:
            return {
                worker.parent.instance
                for worker in self._workers
                if worker.parent is not None
            }

    def wait(self) -> None:
        """Wait until no answer is outstanding, or all of them are late."""
        with self._changed:
            while not self.stopped:
                left_s = max(
                    (
                        w.late_at_s
                        for w in self._workers
                        if w.parent is not None
                    ),
                    default=0.0,
                )
                left_s -= clock.now_s()
                if left_s <= 0:
                    return
                self._changed.wait(left_s)

    def begin(self, parent: membership.Member, hold_ms: int) -> bool:
        """Begin an exchange with a parent.

        :param hold_ms: the wait of the long poll.  It isn't granted to a
            parent that the worker has no connection to: such a parent has
            changes to send, and answers at once.
        :returns: False where ``MAX_EXCHANGES`` are open.
        """
        with self._changed:
            worker = self._free_worker(parent)
            if worker is None:
                return False
            connected = worker.source.address == parent.control
            allowed_s = self._grace_s + (hold_ms / 1000 if connected else 0.0)
            worker.late_at_s = clock.now_s() + allowed_s
            worker.hold_ms = hold_ms
            worker.parent = parent
            self._changed.notify_all()
            return True

    def stop(self) -> None:
        """End the workers, each after its open exchange."""
        with self._changed:
            self.stopped = True
            self._changed.notify_all()

    def _free_worker(self, parent: membership.Member) -> _Worker | None:
        """Return a free worker, if possible one connected to the parent."""
        free = [worker for worker in self._workers if worker.parent is None]
        for worker in free:
            if worker.source.address == parent.control:
                return worker
        if len(self._workers) < MAX_EXCHANGES and not free:
            worker = _Worker(self._new_source())
            self._workers.append(worker)
            _threads.start("asking a parent", lambda: self._run(worker))
            return worker
        return free[-1] if free else None

    def _run(self, worker: _Worker) -> None:
        while True:
            with self._changed:
                while worker.parent is None and not self.stopped:
                    self._changed.wait()
                if self.stopped:
                    return
                parent = worker.parent
            assert (
                parent is not None
            ), "report this: an exchange without a parent"
            try:
                self._sync(worker.source, parent, worker.hold_ms)
            finally:
                with self._changed:
                    worker.parent = None
                    self._changed.notify_all()
