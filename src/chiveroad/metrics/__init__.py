"""Counters, gauges and latencies, exported through OpenTelemetry."""

from chiveroad.metrics._export import Exporter
from chiveroad.metrics._export import Gauges
from chiveroad.metrics._export import Values
from chiveroad.metrics._record import Recorder

__all__ = ["Exporter", "Gauges", "Recorder", "Values"]
