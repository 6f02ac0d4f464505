"""Asking several parents side by side.

An answer that is late may be on its way over a full link, and a connection
to another parent would wait there as well.  So the exchange with a parent
stays open while the next one is asked beside it, and whatever arrives counts.
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
"""How many parents are asked at once: in the time for which an exchange stays
open, one after the other is found to be late."""

SyncWithParent = collections.abc.Callable[
    [_source.ParentSource, membership.Member, int], None
]


@dataclasses.dataclass(slots=True, eq=False)
class _Worker:
    """A thread that asks one parent at a time.

    ``parent`` is whom it asks at present, and ``late_s`` when the answer
    will be late.
    """

    source: _source.ParentSource
    parent: membership.Member | None = None
    hold_ms: int = 0
    late_at_s: float = 0.0


class ParentExchanges:
    """The exchanges with parents that are open.

    :param ask: asks a parent, and takes in what it says.
    :param new_source: makes what a worker asks parents with.
    :param grace_s: after how long an answer that isn't held is late.
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
        """Return the names of those that are asked at present."""
        with self._changed:
            return {
                worker.parent.instance
                for worker in self._workers
                if worker.parent is not None
            }

    def wait(self) -> None:
        """Wait while an answer is due that isn't late."""
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
        """Ask a parent; False where too many are asked already.

        :param hold_ms: how long it may hold its answer back.  One that the
            worker hasn't asked before has news, and answers at once.
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
        """End the workers, once what they ask has been answered."""
        with self._changed:
            self.stopped = True
            self._changed.notify_all()

    def _free_worker(self, parent: membership.Member) -> _Worker | None:
        """Return a worker that is free, best one that knows the parent."""
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
            assert parent is not None, "report this: nobody to ask"
            try:
                self._sync(worker.source, parent, worker.hold_ms)
            finally:
                with self._changed:
                    worker.parent = None
                    self._changed.notify_all()
