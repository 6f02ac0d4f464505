"""Exports the metrics through OpenTelemetry, by scraping or by pushing.

The SDK is loaded only for pushing, or at the first scrape: it takes a tenth
of a daemon's memory, which a daemon that isn't scraped doesn't need.
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
    "chiveroad.entry.inner_retries": "Rounds of inner calls after refusals.",
    "chiveroad.entry.quarantine": "Quarantines of requests, by change.",
    "chiveroad.entry.hedges": "Hedged requests for late answers, by outcome.",
    "chiveroad.entry.hedges.wasted": "Milliseconds of withdrawn attempts.",
    "chiveroad.entry.picks": "Upstreams picked, by distance.",
    "chiveroad.entry.moved": "Requests moved on from a busy upstream.",
    "chiveroad.guard.impatient": "Requests that were not to wait here.",
    "chiveroad.entry.malformed": "Malformed answers of daemons, by part.",
    "chiveroad.guard.malformed": "Malformed answers of the upstream, by part.",
    "chiveroad.guard.requests": "Requests at the guard, by outcome.",
    "chiveroad.quota.alone": "Requests decided on without a quota server.",
    "chiveroad.quota.refused": "Requests over a quota, by reason.",
    "chiveroad.quota.reports": "Reports to quota servers, by outcome.",
    "chiveroad.quota.waits": "Requests that waited for a token.",
    "chiveroad.limits.reached": "Limits that clients reached, by limit.",
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
    "chiveroad.guard.pace": "Factor by which work takes longer than usual.",
    "chiveroad.guard.rate_limit": "Requests a second that the upstream takes.",
    "chiveroad.guard.slots": "Requests that the upstream takes at once.",
    "chiveroad.hedges.left": "Hedges left now, by service.",
    "chiveroad.retries.left": "Retries left in this window, by service.",
}

Values = dict[str, float]
"""The values of one metric by label; the label may be empty."""

ReadValues = collections.abc.Callable[[], Values]
Gauges = collections.abc.Mapping[str, ReadValues]


class Exporter:
    """Serves the metrics page, and pushes metrics to a collector.

    :param gauges: functions that read the present values of each gauge, by
        the gauge's name.
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
                self._register_instruments(self._reader)
            data = self._reader.get_metrics_data()
        body = _text.render(data).encode()
        request.answer(200, [("Content-Type", _text.CONTENT_TYPE)], body)

    def push(self, address: str, interval_ms: int) -> None:
        """Start pushing to the URL of an OTLP collector."""
        from opentelemetry.exporter.otlp.proto.http import metric_exporter
        from opentelemetry.sdk.metrics import export

        exporter = metric_exporter.OTLPMetricExporter(endpoint=address)
        self._register_instruments(
            export.PeriodicExportingMetricReader(exporter, interval_ms)
        )

    def _register_instruments(self, reader: object) -> None:
        from opentelemetry.sdk import metrics as sdk

        provider = sdk.MeterProvider([reader])  # type: ignore[list-item]
        meter = provider.get_meter("chiveroad")
        for name, description in COUNTERS.items():
            meter.create_observable_counter(
                name,
                [
                    _observation_callback(
                        functools.partial(self._counter_values, name)
                    )
                ],
                description=description,
            )
        for name, read in self._gauges.items():
            meter.create_observable_gauge(
                name, [_observation_callback(read)], description=GAUGES[name]
            )
        meter.create_observable_gauge(
            LATENCY,
            [self._observe_latencies],
            unit="ms",
            description="Latency by part and quantile.",
        )

    def _counter_values(self, name: str) -> Values:
        return {
            label: count
            for (counter_name, label), count in self._recorder.counts().items()
            if counter_name == name
        }

    def _observe_latencies(
        self, _: otel.CallbackOptions
    ) -> collections.abc.Iterable[otel.Observation]:
        from opentelemetry import metrics as otel

        for (part, quantile), value in self._recorder.quantiles_ms().items():
            labels = {"part": part, "quantile": str(quantile)}
            yield otel.Observation(value, labels)


def _observation_callback(
    read: ReadValues,
) -> collections.abc.Callable[
    [otel.CallbackOptions], collections.abc.Iterable[otel.Observation]
]:
    """Return a callback with which OpenTelemetry reads one metric."""
    from opentelemetry import metrics as otel

    def observe(
        _: otel.CallbackOptions,
    ) -> collections.abc.Iterable[otel.Observation]:
        for label, value in read().items():
            yield otel.Observation(value, {"label": label} if label else {})

    return observe
