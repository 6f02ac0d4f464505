"""Whether outer work may begin, as its inner calls fare now.

Load: the service that inner calls lead to is full, while the service of the
outer requests has free slots.  Outer work that begins then ends with a failed
inner call, after it has taken a slot, and inner calls of its own, for nothing.
"""

from __future__ import annotations

import collections
import threading
import typing

WINDOW_S: typing.Final = 1.0
"""How long the outcome of an inner call says something about the next one:
queues build up and drain within about a second."""

MIN_FAILURES: typing.Final = 2
"""One failure may be a target that has just ended."""

MAX_FAILURE_SHARE: typing.Final = 0.5
"""Above this share of failures, most of the outer work would be wasted."""

PROBE_INTERVAL_S: typing.Final = 0.25
"""How often outer work is let through to detect that there is capacity."""

RETRY_AFTER_MS: typing.Final = 250


class Outlook:
    """The outcomes of the local target's inner calls in the last second."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._outcomes: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        self._failures = 0
        self._probed_s = 0.0

    def record(self, failed: bool, now_s: float) -> None:
        """Record the outcome of an inner call.

        :param failed: whether it failed for want of capacity or time.
        """
        with self._lock:
            self._outcomes.append((now_s, failed))
            self._failures += failed
            self._expire(now_s)

    def admits(self, now_s: float) -> bool:
        """Return whether outer work may begin.

        While inner calls fail, it is let through once in
        ``PROBE_INTERVAL_S``.
        """
        with self._lock:
            self._expire(now_s)
            if not self._is_poor():
                return True
            if now_s - self._probed_s < PROBE_INTERVAL_S:
                return False
            self._probed_s = now_s
            return True

    def _is_poor(self) -> bool:
        if self._failures < MIN_FAILURES:
            return False
        return self._failures > MAX_FAILURE_SHARE * len(self._outcomes)

    def _expire(self, now_s: float) -> None:
        while self._outcomes and self._outcomes[0][0] < now_s - WINDOW_S:
            _, failed = self._outcomes.popleft()
            self._failures -= failed
