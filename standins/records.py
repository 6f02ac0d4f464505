"""Output of measured figures, as one JSON object on each line."""

from __future__ import annotations

import sys
import typing

import msgspec


class Figure(msgspec.Struct, omit_defaults=True):
    """A measured figure.

    ``target`` is the goal in the same unit, if there is one.  ``note`` is the
    condition of the measurement.
    """

    figure: str
    deployment: str
    daemons: int
    value: float
    unit: str
    target: float | None = None
    note: str = ""


def emit(
    figure: str,
    deployment: str,
    daemons: int,
    value: float,
    unit: str,
    target: float | None = None,
    note: str = "",
) -> None:
    """Write a figure to standard output, and to the record file if set."""
    record = Figure(
        figure, deployment, daemons, round(value, 4), unit, target, note
    )
    encoded_line = msgspec.json.encode(record).decode() + "\n"
    for sink in _sinks:
        sink.write(encoded_line)
        sink.flush()


_sinks: list[typing.TextIO] = [sys.stdout]


def record_to(path: str, commit: str) -> None:
    """Write the figures to a file too, after a line with the commit."""
    file = open(path, "w", encoding="utf-8")
    file.write(msgspec.json.encode({"commit": commit}).decode() + "\n")
    _sinks.append(file)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
