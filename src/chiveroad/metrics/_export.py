"""Handing the counters to OpenTelemetry, for scraping and for pushing.

The SDK is loaded at the first scrape or for pushing only: it would cost a
daemon that nobody scrapes a tenth of its memory.
"""

from __future__ import annotations

import collections.abc
import threading
import typing

from chiveroad.metrics import _record
from chiveroad.metrics import _text
from chiveroad import serving

if typing.TYPE_CHECKING:
    from opentelemetry import metrics as otel
    from opentelemetry.sdk.metrics import export

COUNTERS = {
    "chiveroad.entry.requests": "Requests taken by the entry, by outcome.",
    "chiveroad.entry.retries": "Tries after the first.",
    "chiveroad.entry.picks": "Upstreams picked, by distance.",
    "chiveroad.guard.requests": "Requests at the guard, by outcome.",
}
LATENCY = "chiveroad.latency"
GAUGES = {
    "chiveroad.config.version": "Version in force.",
    "chiveroad.config.ready": "Whether the version is confirmed.",
    "chiveroad.members": "Members known.",
    "chiveroad.guard.load": "Requests running or waiting at the guard.",
}

Gauges = collections.abc.Callable[[], dict[str, float]]


class Exporter:
    """Serves the metrics page, and pushes if an address is set.

    :param gauges: returns the present values named in ``GAUGES``.
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
                name, [self._counter(name)], description=text
            )
        for name, text in GAUGES.items():
            meter.create_observable_gauge(
                name, [self._gauge(name)], description=text
            )
        meter.create_observable_gauge(
            LATENCY,
            [self._latency],
            unit="ms",
            description="Latency by part and quantile.",
        )

    def _counter(
        self, name: str
    ) -> collections.abc.Callable[
        [otel.CallbackOptions], collections.abc.Iterable[otel.Observation]
    ]:
        from opentelemetry import metrics as otel

        def observe(
            _: otel.CallbackOptions,
        ) -> collections.abc.Iterable[otel.Observation]:
            for (found, label), count in self._recorder.counts().items():
                if found == name:
                    yield otel.Observation(count, {"label": label})

        return observe

    def _gauge(
        self, name: str
    ) -> collections.abc.Callable[
        [otel.CallbackOptions], collections.abc.Iterable[otel.Observation]
    ]:
        from opentelemetry import metrics as otel

        def observe(
            _: otel.CallbackOptions,
        ) -> collections.abc.Iterable[otel.Observation]:
            yield otel.Observation(self._gauges()[name])

        return observe

    def _latency(
        self, _: otel.CallbackOptions
    ) -> collections.abc.Iterable[otel.Observation]:
        from opentelemetry import metrics as otel

        for (part, share), value in self._recorder.quantiles_ms().items():
            labels = {"part": part, "quantile": str(share)}
            yield otel.Observation(value, labels)
