"""Handing the counters to OpenTelemetry, for scraping and for pushing.

The SDK is loaded at the first scrape or for pushing only: it would cost a
daemon that nobody scrapes a tenth of its memory.
"""

from __future__ import annotations

import collections.abc
import functools
import threading
import typing

from chiveroad.metrics import _record
from chiveroad.metrics import _text
from chiveroad import serving

if typing.TYPE_CHECKING:
    from opentelemetry import metrics as otel
    from opentelemetry.sdk.metrics import export

COUNTERS = {
    "chiveroad.entry.bytes": "Bytes of bodies, in from callers and out.",
    "chiveroad.entry.requests": "Requests taken by the entry, by outcome.",
    "chiveroad.entry.retries": "Tries after the first.",
    "chiveroad.entry.picks": "Upstreams picked, by distance.",
    "chiveroad.guard.requests": "Requests at the guard, by outcome.",
    "chiveroad.store.calls": "Calls to the store, by kind and outcome.",
}
LATENCY = "chiveroad.latency"
GAUGES = {
    "chiveroad.config.version": "Version in force.",
    "chiveroad.config.ready": "Whether the version may be used.",
    "chiveroad.config.age": "Seconds since the version was confirmed.",
    "chiveroad.members": "Members known, by state.",
    "chiveroad.members.missing": "Daemons that can't be reached.",
    "chiveroad.guard.running": "Requests running at the upstream.",
    "chiveroad.guard.waiting": "Requests waiting for a slot.",
    "chiveroad.guard.slots": "Requests that the upstream takes at once.",
    "chiveroad.retries.left": "Retries left in this window, by service.",
}

Values = dict[str, float]
"""The values of one metric by its label, which may be empty."""

Read = collections.abc.Callable[[], Values]
Gauges = collections.abc.Mapping[str, Read]


class Exporter:
    """Serves the metrics page, and pushes if an address is set.

    :param gauges: reads the present values of each gauge, by name.
    """

    def __init__(self, recorder: _record.Recorder, gauges: Gauges) -> None:
        self._recorder = recorder
        self._gauges = gauges
        self._lock = threading.Lock()
        self._reader: export.InMemoryMetricReader | None = None

    def page(self, request: serving.Request) -> None:
        """Answer a scrape."""
        from opentelemetry.sdk.metrics import export

        with self._lock:
            if self._reader is None:
                self._reader = export.InMemoryMetricReader()
                self._provide(self._reader)
            data = self._reader.get_metrics_data()
        body = _text.render(data).encode()
        request.answer(200, [("Content-Type", _text.CONTENT_TYPE)], body)

    def push(self, address: str, interval_ms: int) -> None:
        """Push to an OTLP collector's URL from now on."""
        from opentelemetry.exporter.otlp.proto.http import metric_exporter
        from opentelemetry.sdk.metrics import export

        exporter = metric_exporter.OTLPMetricExporter(endpoint=address)
        self._provide(
            export.PeriodicExportingMetricReader(exporter, interval_ms)
        )

    def _provide(self, reader: object) -> None:
        from opentelemetry.sdk import metrics as sdk

        provider = sdk.MeterProvider([reader])  # type: ignore[list-item]
        meter = provider.get_meter("chiveroad")
        for name, text in COUNTERS.items():
            meter.create_observable_counter(
                name,
                [_observing(functools.partial(self._counts, name))],
                description=text,
            )
        for name, read in self._gauges.items():
            meter.create_observable_gauge(
                name, [_observing(read)], description=GAUGES[name]
            )
        meter.create_observable_gauge(
            LATENCY,
            [self._latency],
            unit="ms",
            description="Latency by part and quantile.",
        )

    def _counts(self, name: str) -> Values:
        return {
            label: count
            for (found, label), count in self._recorder.counts().items()
            if found == name
        }

    def _latency(
        self, _: otel.CallbackOptions
    ) -> collections.abc.Iterable[otel.Observation]:
        from opentelemetry import metrics as otel

        for (part, share), value in self._recorder.quantiles_ms().items():
            labels = {"part": part, "quantile": str(share)}
            yield otel.Observation(value, labels)


def _observing(
    read: Read,
) -> collections.abc.Callable[
    [otel.CallbackOptions], collections.abc.Iterable[otel.Observation]
]:
    """Return what observes one metric."""
    from opentelemetry import metrics as otel

    def observe(
        _: otel.CallbackOptions,
    ) -> collections.abc.Iterable[otel.Observation]:
        for label, value in read().items():
            yield otel.Observation(value, {"label": label} if label else {})

    return observe
