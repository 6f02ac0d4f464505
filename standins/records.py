"""The form of a measured figure: one JSON object on a line."""

from __future__ import annotations

import sys
import typing

import msgspec


class Figure(msgspec.Struct, omit_defaults=True):
    """One figure.

    ``target`` is the stated target in the same unit, or absent.  ``note``
    says under which condition the figure was taken.
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
    """Print a figure."""
    line = Figure(
        figure, deployment, daemons, round(value, 4), unit, target, note
    )
    text = msgspec.json.encode(line).decode() + "\n"
    for sink in _sinks:
        sink.write(text)
        sink.flush()


_sinks: list[typing.TextIO] = [sys.stdout]


def record_to(path: str, commit: str) -> None:
    """Write the figures to a file as well, after naming the commit."""
    file = open(path, "w", encoding="utf-8")
    file.write(msgspec.json.encode({"commit": commit}).decode() + "\n")
    _sinks.append(file)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
