"""The retry budget, which all daemons share without coordination.

In any window, the retries to a target service may amount to a ratio of its
requests plus some slack.  Each daemon may spend the ratio of the requests that
it accepted itself, plus its own share of the slack.  The sum over all daemons
therefore stays within the whole budget, however requests are distributed.
"""

from __future__ import annotations

import collections
import collections.abc
import copy
import dataclasses
import threading
import time
import typing

BUCKETS: typing.Final = 10
USABLE_SHARE: typing.Final = 0.5
"""The share of the budget that may be spent.  The rest is kept because the
calls that a retried request makes count as retries at the services that they
reach."""

MIN_DAEMONS: typing.Final = 8
"""The minimum number of daemons that the slack is divided by, because some
daemons may not be known yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The budget of each service, for all daemons together."""

    ratio: float
    window_s: float
    slack: float


class _SlidingWindow:
    """A sliding-window counter, made of ``BUCKETS`` buckets."""

    def __init__(self, bucket_s: float) -> None:
        self._bucket_s = bucket_s
        self._counts: collections.deque[list[int]] = collections.deque()
        self.total = 0

    def add(self, now_s: float) -> None:
        """Count one event."""
        bucket = int(now_s / self._bucket_s)
        if not self._counts or self._counts[-1][0] != bucket:
            self._counts.append([bucket, 0])
        self._counts[-1][1] += 1
        self.total += 1

    def expire(self, now_s: float) -> None:
        """Drop the buckets that are older than the window."""
        oldest_bucket = int(now_s / self._bucket_s) - BUCKETS
        while self._counts and self._counts[0][0] < oldest_bucket:
            self.total -= self._counts.popleft()[1]


class RetryBudget:
    """This daemon's share of the retry budget of every service.

    :param daemons: returns the number of daemons that share the budget.
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
        self._requests: dict[str, _SlidingWindow] = {}
        self._retries: dict[str, _SlidingWindow] = {}

    def change(self, terms: Terms) -> None:
        """Apply new terms; a new window length drops all counts."""
        with self._lock:
            if terms.window_s != self._terms.window_s:
                self._requests.clear()
                self._retries.clear()
            self._terms = terms

    def count(self, service: str) -> None:
        """Count a request to a service."""
        with self._lock:
            self._window_of(self._requests, service).add(self._clock())

    def spend(self, service: str) -> bool:
        """Take a retry from the budget; False when the budget is used up."""
        now_s = self._clock()
        with self._lock:
            requests, retries = self._current_windows(service, now_s)
            if retries.total + 1 > self._allowed(requests.total):
                return False
            retries.add(now_s)
            return True

    def left(self, service: str) -> float:
        """Return the number of retries left in the current window."""
        with self._lock:
            requests, retries = self._current_windows(service, self._clock())
            return self._allowed(requests.total) - retries.total

    def preview(self) -> RetryBudget:
        """Return a copy with the budget that is left."""
        copied = RetryBudget(self._terms, self._daemons, self._clock)
        with self._lock:
            copied._requests = copy.deepcopy(self._requests)
            copied._retries = copy.deepcopy(self._retries)
        return copied

    def _current_windows(
        self, service: str, now_s: float
    ) -> tuple[_SlidingWindow, _SlidingWindow]:
        """Return a service's requests and retries, without old buckets."""
        requests = self._window_of(self._requests, service)
        retries = self._window_of(self._retries, service)
        requests.expire(now_s)
        retries.expire(now_s)
        return requests, retries

    def _allowed(self, requests: int) -> float:
        terms = self._terms
        slack_share = terms.slack / max(MIN_DAEMONS, self._daemons())
        return USABLE_SHARE * (terms.ratio * requests + slack_share)

    def _window_of(
        self, windows: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _SlidingWindow(
                self._terms.window_s / BUCKETS
            )
        return window
