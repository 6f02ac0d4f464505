"""The retry budget that all daemons share without talking about it.

In any window, a target service may see a ratio of its requests, plus some
slack, once more.  Each daemon spends the ratio of the requests that it took
itself and its part of the slack, so the sum over all daemons stays within
the whole budget whatever each of them sees.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import threading
import time
import typing

BUCKETS: typing.Final = 10
RESERVE: typing.Final = 0.5
"""The share of the budget that is spent: a retry's own calls count as
retries at the services that they reach."""

MIN_DAEMONS: typing.Final = 8
"""How many daemons are assumed at least, as some may not be known yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The budget of one service, for all daemons together."""

    ratio: float
    window_s: float
    slack: float


class _Window:
    """Counts of the last window, in buckets."""

    def __init__(self, bucket_s: float) -> None:
        self._bucket_s = bucket_s
        self._counts: collections.deque[list[int]] = collections.deque()
        self.total = 0

    def add(self, now_s: float) -> None:
        """Count one."""
        number = int(now_s / self._bucket_s)
        if not self._counts or self._counts[-1][0] != number:
            self._counts.append([number, 0])
        self._counts[-1][1] += 1
        self.total += 1

    def expire(self, now_s: float) -> None:
        """Forget what is older than the window."""
        oldest = int(now_s / self._bucket_s) - BUCKETS
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class RetryBudget:
    """This daemon's part of the retry budget of every service.

    :param daemons: returns how many daemons share the budget.
    """

    def __init__(
        self,
        terms: Terms,
        daemons: collections.abc.Callable[[], int],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._terms = terms
        self._daemons = daemons
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def change(self, terms: Terms) -> None:
        """Go by other terms; what was counted by another window is dropped."""
        with self._lock:
            if terms.window_s != self._terms.window_s:
                self._requests.clear()
                self._retries.clear()
            self._terms = terms

    def count(self, service: str) -> None:
        """Note a request for a service."""
        with self._lock:
            self._window(self._requests, service).add(self._clock())

    def spend(self, service: str) -> bool:
        """Take a retry from the budget; False when it is used up."""
        now_s = self._clock()
        with self._lock:
            requests, retries = self._counted(service, now_s)
            if retries.total + 1 > self._allowed(requests.total):
                return False
            retries.add(now_s)
            return True

    def left(self, service: str) -> float:
        """Return how many retries are left in this window."""
        with self._lock:
            requests, retries = self._counted(service, self._clock())
            return self._allowed(requests.total) - retries.total

    def _counted(self, service: str, now_s: float) -> tuple[_Window, _Window]:
        """Return a service's requests and retries of the last window."""
        requests = self._window(self._requests, service)
        retries = self._window(self._retries, service)
        requests.expire(now_s)
        retries.expire(now_s)
        return requests, retries

    def _allowed(self, requests: int) -> float:
        terms = self._terms
        part = terms.slack / max(MIN_DAEMONS, self._daemons())
        return RESERVE * (terms.ratio * requests + part)

    def _window(self, table: dict[str, _Window], service: str) -> _Window:
        window = table.get(service)
        if window is None:
            window = table[service] = _Window(self._terms.window_s / BUCKETS)
        return window
