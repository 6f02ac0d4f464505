"""The form of a measured figure: one JSON object on a line."""

from __future__ import annotations

import sys

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
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
