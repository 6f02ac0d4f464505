"""Which threads wait for clients, and which of them to free first."""

from __future__ import annotations

import threading
import typing

_K = typing.TypeVar("_K", bound=typing.Hashable)


class Waits(typing.Generic[_K]):
    """The connections whose threads wait for their clients now.

    All times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._since_s: dict[_K, float] = {}

    def begin(self, key: _K, since_s: float) -> None:
        """Record a wait.

        :param since_s: when it began, minus earlier waits for the same
            request, so that a client that sends a byte now and then counts
            as waited for all the time.
        """
        with self._lock:
            self._since_s[key] = since_s

    def end(self, key: _K) -> None:
        """Record the end of a wait."""
        with self._lock:
            self._since_s.pop(key, None)

    def take_longest(
        self, count: int, min_wait_s: float, now_s: float
    ) -> list[_K]:
        """Return and forget the longest waits beyond the minimum.

        >>> waits = Waits[str]()
        >>> for key, since_s in (("a", 5.0), ("b", 1.0), ("c", 3.0)):
        ...     waits.begin(key, since_s)
        >>> waits.take_longest(2, min_wait_s=2.0, now_s=6.0)
        ['b', 'c']
        >>> waits.take_longest(2, min_wait_s=2.0, now_s=6.0)
        []
        """
        with self._lock:
            due = [
                (since_s, key)
                for key, since_s in self._since_s.items()
                if now_s - since_s >= min_wait_s
            ]
            due.sort(key=lambda pair: pair[0])
            longest = [key for _, key in due[:count]]
            for key in longest:
                del self._since_s[key]
            return longest
