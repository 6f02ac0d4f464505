"""Metrics in the text format that Prometheus scrapes.

The usual exporter would bring OpenSSL and a web server along, see
``openssl``; what is served here is the same text for the points that
chiveroad has: counters and gauges with labels.
"""

from __future__ import annotations

import collections.abc
import json
import typing

if typing.TYPE_CHECKING:
    from opentelemetry.sdk.metrics import export

CONTENT_TYPE: typing.Final = "text/plain; version=0.0.4; charset=utf-8"

_UNITS: typing.Final = {"": "", "ms": "_milliseconds", "By": "_bytes"}


def render(data: export.MetricsData | None) -> str:
    """Return the text of all metrics.

    >>> render(reader.get_metrics_data())
    '# HELP chiveroad_members Members known.\\n# TYPE chiveroad_members ...
    """
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += _lines(metric)
    return "\n".join([*lines, ""])


def _lines(metric: export.Metric) -> collections.abc.Iterator[str]:
    points: typing.Any = metric.data
    counted = getattr(points, "is_monotonic", False)
    kind = "counter" if counted else "gauge"
    name = metric.name.replace(".", "_") + _UNITS[metric.unit or ""]
    name += "_total" if counted else ""
    yield f"# HELP {name} {metric.description}"
    yield f"# TYPE {name} {kind}"
    for point in points.data_points:
        yield f"{name}{_labels(point.attributes)} {point.value}"


def _labels(attributes: collections.abc.Mapping[str, object]) -> str:
    if not attributes:
        return ""
    # JSON escapes a text as this format does.
    pairs = [f"{key}={json.dumps(str(attributes[key]))}" for key in attributes]
    return "{" + ",".join(pairs) + "}"
