"""What was used of one customer's limit in the last window."""

from __future__ import annotations

import collections
import math
import typing

from chiveroad.quotas import _limits

RECENT_SLOT_S: typing.Final = 0.5
"""The length of a slot; use isn't told apart within one."""


class RecentUse:
    """Counts of use, in slots of time.

    :param window_s: for how long use is kept.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slots: collections.deque[list[float]] = collections.deque()

    def add(self, count: float, at_s: float) -> None:
        """Count use at a time; a negative count is use that is undone."""
        self._slot(at_s)[1] += count

    def since(self, from_s: float) -> float:
        """Return what was used in the slots from a time on."""
        return sum(count for at_s, count in self._slots if at_s >= from_s)

    def level(self, limit: _limits.Limit, scale: float, now_s: float) -> float:
        """Return the level of a bucket that follows from the use.

        All use of a slot counts as if it was at the slot's end.

        :param scale: the part of the limit that the bucket holds.
        """
        level, used = scale * limit.burst, 0.0
        for start_s, count in reversed(self._slots):
            used += count
            span_s = max(0.0, now_s - start_s - RECENT_SLOT_S)
            full = scale * (limit.burst + limit.rate_per_s * span_s)
            level = min(level, full - used)
        return level

    def _slot(self, at_s: float) -> list[float]:
        """Return the slot of a time; the slots are in order of time."""
        start_s = math.floor(at_s / RECENT_SLOT_S) * RECENT_SLOT_S
        slots = self._slots
        index = len(slots)
        while index and slots[index - 1][0] > start_s:
            index -= 1
        if index and slots[index - 1][0] == start_s:
            return slots[index - 1]
        slot = [start_s, 0.0]
        slots.insert(index, slot)
        oldest_s = slots[-1][0] - self._window_s - RECENT_SLOT_S
        while slots[0][0] < oldest_s and slots[0] is not slot:
            slots.popleft()
        return slot
