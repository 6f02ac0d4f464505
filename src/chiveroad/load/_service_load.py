"""The load of a service as one entry knows it from all of its targets.

The load that this answers: many entries with few requests each.  What one of
them knows of a single target is often seconds old, while what it has heard
from all targets of the service is recent.
"""

from __future__ import annotations

import collections
import typing

SMOOTHING: typing.Final = 0.15
"""The weight of the latest report.  About seven reports make up the mean,
which is a second of one entry's requests."""

LATELY_S: typing.Final = 1.0
MAX_REPORTS: typing.Final = 32
"""The limit of reports that are kept; a busy entry has more in a second."""

FAILURE_SMOOTHING: typing.Final = 0.05
"""The weight of the latest answer in the share of failures: about twenty make
up the mean, which is some seconds of one entry's requests."""

MAX_ASSUMED_LOAD: typing.Final = 0.7
"""The most that a target counts as loaded of which nothing recent is known.
With the uncapped mean of a full service, requests go to far targets that are
no less full, in the load model 0.4 of them at 0.95 of capacity; a near target
that turns out to be full refuses at once."""

MEAN_FADE_S: typing.Final = 5.0
"""The age at which the mean load no longer counts: the length of a wave."""


class ServiceLoad:
    """What an entry has learnt lately from the targets of a service.

    Times are in monotonic seconds.  A load is the number of running and
    waiting requests per slot.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0
        """The smoothed share of failures among the answers of all targets."""

        self._mean = 0.0
        self._learnt_s = 0.0
        self._reports: collections.deque[tuple[float, str, bool]] = (
            collections.deque(maxlen=MAX_REPORTS)
        )

    def record(
        self, target: str, load: float, full: bool, now_s: float
    ) -> None:
        """Record the load that a target's guard has reported.

        :param full: whether a further request would have waited there.
        """
        if not self._reports:
            self._mean = load
        self._mean += SMOOTHING * (load - self._mean)
        self._learnt_s = now_s
        self._reports.append((now_s, target, full))

    def record_outcome(self, failed: bool) -> None:
        """Record whether an answer of any target was a failure."""
        self.failure_share += FAILURE_SMOOTHING * (failed - self.failure_share)

    def mean(self, now_s: float) -> float:
        """Return the load that a target has for all that is known.

        It is the mean of the latest reports, with a limit; it fades to 0
        while there are none.
        """
        left_s = MEAN_FADE_S - (now_s - self._learnt_s)
        mean = self._mean * min(1.0, max(0.0, left_s / MEAN_FADE_S))
        return min(MAX_ASSUMED_LOAD, mean)

    def lately(self, now_s: float) -> tuple[int, int]:
        """Return how many targets reported in the last second.

        :returns: the number of targets, and of those that were full.
        """
        latest = {
            target: full
            for learnt_s, target, full in list(self._reports)
            if now_s - learnt_s <= LATELY_S
        }
        return len(latest), sum(latest.values())
