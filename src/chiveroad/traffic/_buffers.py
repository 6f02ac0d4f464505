"""The memory that a daemon's buffered answers may take together.

An answer is buffered so that it can be replaced if it is truncated.  Targets
that send bodies without end would otherwise fill a buffer for each request.
"""

from __future__ import annotations

import types
import typing

from chiveroad import limits

SMALL_ANSWER_BYTES: typing.Final = 64 * 1024
"""What each answer may take without a reservation."""

BUDGET_BYTES: typing.Final = 16 * 1024 * 1024
"""Far below the memory of an instance, 200 MB, as an answer is copied twice
on its way to the caller."""

STEP_BYTES: typing.Final = 64 * 1024


class BufferBudget(limits.ByteBudget):
    """The bytes that all buffered answers may take together.

    :param limit_bytes: the limit, without ``SMALL_ANSWER_BYTES`` of each.
    """

    def __init__(self, limit_bytes: int = BUDGET_BYTES) -> None:
        super().__init__(limit_bytes)


class Reservation:
    """The bytes that are reserved for one answer, until it is released.

    >>> with Reservation(BufferBudget(0)) as reservation:
    ...     reservation.grow(SMALL_ANSWER_BYTES + 1)
    False
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def grow(self, size: int) -> bool:
        """Reserve enough for a buffer; return False where that fails.

        :param size: the size of the buffer in bytes.
        """
        missing = size - SMALL_ANSWER_BYTES - self._reserved_bytes
        if missing <= 0:
            return True
        count = -(-missing // STEP_BYTES) * STEP_BYTES
        if not self._budget.reserve(count):
            return False
        self._reserved_bytes += count
        return True

    def release(self) -> None:
        """Return all that is reserved; the buffer isn't kept any longer."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def __enter__(self) -> Reservation:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.release()
