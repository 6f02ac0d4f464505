"""A budget of bytes that many requests share."""

from __future__ import annotations

import threading
import types


class ByteBudget:
    """The bytes that all requests together may reserve.

    :param limit_bytes: the limit in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._lock = threading.Lock()
        self.limit_bytes = limit_bytes
        self.left_bytes = limit_bytes

    def reserve(self, count: int) -> bool:
        """Reserve bytes; return False if not as many are left."""
        with self._lock:
            if count > self.left_bytes:
                return False
            self.left_bytes -= count
            return True

    def release(self, count: int) -> None:
        """Return reserved bytes."""
        with self._lock:
            self.left_bytes += count


class Reservation:
    """The bytes that one request has reserved, until its end.

    >>> budget = ByteBudget(10)
    >>> with Reservation(budget) as reservation:
    ...     reservation.grow(8), reservation.grow(8)
    (True, False)
    >>> budget.left_bytes
    10
    """

    def __init__(self, budget: ByteBudget | None) -> None:
        self._budget = budget
        self._count = 0

    def grow(self, count: int) -> bool:
        """Reserve more bytes; return False if not as many are left."""
        if self._budget is None:
            return True
        if not self._budget.reserve(count):
            return False
        self._count += count
        return True

    def __enter__(self) -> Reservation:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._budget is not None:
            self._budget.release(self._count)
