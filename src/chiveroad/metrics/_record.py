"""Counters and latency histograms, cheap enough for every request."""

from __future__ import annotations

from collections import Counter
import threading
import typing

from hdrh import histogram

LOWEST_US: typing.Final = 1
HIGHEST_US: typing.Final = 60_000_000
SIGNIFICANT_DIGITS: typing.Final = 2
QUANTILES: typing.Final = (0.5, 0.9, 0.99, 0.999)


class Recorder:
    """The counters and latency histograms of one daemon.

    Counters are named as in ``docs/METRICS.md`` and carry one label, which
    may be empty.  Histograms have a precision of two significant digits.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "", step: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counts[name, label] += step

    def record_latency(self, name: str, seconds: float) -> None:
        """Record a latency."""
        with self._lock:
            latencies = self._latencies.get(name)
            if latencies is None:
                latencies = histogram.HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
                )
                self._latencies[name] = latencies
            latencies.record_value(max(LOWEST_US, int(seconds * 1_000_000)))

    def counts(self) -> dict[tuple[str, str], int]:
        """Return all counters by name and label."""
        with self._lock:
            return dict(self._counts)

    def quantiles_ms(self) -> dict[tuple[str, float], float]:
        """Return latencies in milliseconds by name and quantile."""
        with self._lock:
            return {
                (name, quantile): latencies.get_value_at_percentile(
                    quantile * 100
                )
                / 1000
                for name, latencies in self._latencies.items()
                for quantile in QUANTILES
            }
