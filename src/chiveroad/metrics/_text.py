"""Formats metrics in the text format that Prometheus scrapes.

The Prometheus exporter of OpenTelemetry would load OpenSSL and a web server,
see ``openssl``.  This module writes the same text for the metrics that
chiveroad has: counters and gauges with labels.
"""

from __future__ import annotations

import collections.abc
import json
import typing

if typing.TYPE_CHECKING:
    from opentelemetry.sdk.metrics import export

CONTENT_TYPE: typing.Final = "text/plain; version=0.0.4; charset=utf-8"

_UNIT_SUFFIXES: typing.Final = {"": "", "ms": "_milliseconds", "By": "_bytes"}


def render(data: export.MetricsData | None) -> str:
    """Return the text of all metrics.

    >>> render(reader.get_metrics_data())
    '# HELP chiveroad_members Members known.\\n# TYPE chiveroad_members ...
    """
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += _format_metric(metric)
    return "\n".join([*lines, ""])


def _format_metric(metric: export.Metric) -> collections.abc.Iterator[str]:
    points: typing.Any = metric.data
    is_counter = getattr(points, "is_monotonic", False)
    kind = "counter" if is_counter else "gauge"
    name = metric.name.replace(".", "_") + _UNIT_SUFFIXES[metric.unit or ""]
    name += "_total" if is_counter else ""
    yield f"# HELP {name} {metric.description}"
    yield f"# TYPE {name} {kind}"
    for point in points.data_points:
        yield f"{name}{_format_labels(point.attributes)} {point.value}"


def _format_labels(attributes: collections.abc.Mapping[str, object]) -> str:
    if not attributes:
        return ""
    # The format escapes label values as JSON escapes strings.
    pairs = [f"{key}={json.dumps(str(attributes[key]))}" for key in attributes]
    return "{" + ",".join(pairs) + "}"
