"""The hedging delay, from the latencies of requests of the same kind.

A fixed delay is too short for slow kinds, which would use up the limit, and
too long for fast ones.  The delay of a kind is a high quantile of its own
recent latencies, separately for each distance, because a longer network path
isn't lateness.
"""

from __future__ import annotations

import typing

from hdrh import histogram

AGE_S: typing.Final = 30.0
"""Latencies count for at least this long and for at most twice as long: an
entry with 10 requests a second needs about that to see ``MIN_SAMPLES`` of a
kind at a distance."""

MIN_SAMPLES: typing.Final = 20
"""How many latencies a delay is based on.  The greatest of fewer is often an
ordinary one.  With this many the delay may still be too short, in which case
the limit bounds the hedges."""

MIN_QUANTILE: typing.Final = 0.95
"""With a limit above 5% the delay stays here: a shorter delay would hedge
requests that are about to be answered."""

MIN_MEDIANS: typing.Final = 1.5
"""The minimum delay in medians of the kind.  Where latencies hardly differ, a
second attempt takes longer than what is left of the first."""

MAX_MEDIANS: typing.Final = 3.0
"""The maximum delay in medians of the kind.  While more requests than the
share of hedges wait for a pausing target, the quantile is as long as the
pause, and a hedge would come too late to help."""

MIN_DELAY_MS: typing.Final = 5.0
"""The minimum delay: several round trips within a region."""

REFRESH_S: typing.Final = 0.5
"""How often a delay is calculated anew: reading a quantile takes a hundred
times as long as recording a latency."""

MAX_KEYS: typing.Final = 128
"""The limit on keys with latencies of their own.  Each takes 13 KB."""

_LOWEST: typing.Final = 1
_HIGHEST: typing.Final = 120_000
_DIGITS: typing.Final = 2
_PER_MS: typing.Final = 2
"""Latencies are recorded in halves of a millisecond, up to a minute."""

_COUNTER_BYTES: typing.Final = 4
"""Half of the library's default, which halves the memory of a histogram."""

Key = tuple[str, str, str]
"""The service, the kind and the distance of a request."""


def late_quantile(share: float) -> float:
    """Return the quantile of latencies beyond which a request is late.

    >>> late_quantile(0.02), late_quantile(0.2)
    (0.98, 0.95)
    """
    return max(MIN_QUANTILE, 1.0 - share)


def _histogram() -> typing.Any:
    return histogram.HdrHistogram(_LOWEST, _HIGHEST, _DIGITS, _COUNTER_BYTES)


class _Aged:
    """Latencies of one key in two histograms, the newer one a part.

    Each latency is recorded in both.  After ``AGE_S`` the older histogram is
    dropped, and the newer one takes its place.
    """

    def __init__(self, now_s: float) -> None:
        self.older = _histogram()
        self._newer = _histogram()
        self._since_s = now_s
        self.delay_ms: float | None = None
        self.refresh_s = now_s

    def record(self, value: int) -> None:
        """Record a latency."""
        self.older.record_value(value)
        self._newer.record_value(value)

    def age(self, now_s: float) -> None:
        """Drop latencies that are too old."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < AGE_S:
            return
        self.older, self._newer = self._newer, _histogram()
        if elapsed_s >= 2 * AGE_S:
            self.older = _histogram()
        self._since_s = self.refresh_s = now_s


class Delays:
    """The hedging delays of one entry; the caller must hold a lock.

    :param quantile: see ``late_quantile``.
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._aged: dict[Key, _Aged] = {}

    def record(self, key: Key, took_ms: float, now_s: float) -> None:
        """Record how long an answer took."""
        aged = self._aged.get(key)
        if aged is None:
            if len(self._aged) >= MAX_KEYS:
                self._forget_unused(now_s)
            if len(self._aged) >= MAX_KEYS:
                return
            aged = self._aged[key] = _Aged(now_s)
        aged.age(now_s)
        aged.record(min(_HIGHEST, max(_LOWEST, int(took_ms * _PER_MS))))

    def delay_ms(self, key: Key, now_s: float) -> float | None:
        """Return after how long a request is late; None if not known."""
        aged = self._aged.get(key)
        if aged is None:
            return None
        aged.age(now_s)
        if now_s >= aged.refresh_s or aged.delay_ms is None:
            aged.delay_ms = self._calculate(aged.older)
            aged.refresh_s = now_s + REFRESH_S
        return aged.delay_ms

    def calculated_ms(self, key: Key) -> float | None:
        """Return the delay as it was last calculated, and change nothing."""
        aged = self._aged.get(key)
        return None if aged is None else aged.delay_ms

    def _calculate(self, latencies: typing.Any) -> float | None:
        if latencies.get_total_count() < MIN_SAMPLES:
            return None
        late: float = latencies.get_value_at_percentile(100 * self._quantile)
        median: float = latencies.get_value_at_percentile(50)
        usual_ms = median / _PER_MS
        delay_ms = min(late / _PER_MS, MAX_MEDIANS * usual_ms)
        return max(delay_ms, MIN_MEDIANS * usual_ms, MIN_DELAY_MS)

    def _forget_unused(self, now_s: float) -> None:
        """Drop the keys without recent latencies."""
        for key, aged in list(self._aged.items()):
            aged.age(now_s)
            if not aged.older.get_total_count():
                del self._aged[key]
