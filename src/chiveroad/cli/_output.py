"""Prints the reports of commands as tables or as JSON."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import sys

import msgspec
import rich.console
import rich.table


class Format(str, enum.Enum):
    """The forms of output."""

    TABLE = "table"
    JSON = "json"


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of a command, for each form of output.

    ``value`` is printed as JSON with ``--output json``, ``rows`` as a table.
    ``exit_code`` is the exit status of the command.
    """

    value: object
    title: str
    columns: collections.abc.Sequence[str]
    rows: collections.abc.Sequence[collections.abc.Sequence[str]]
    notes: collections.abc.Sequence[str] = ()
    exit_code: int = 0


def show(report: Report, format_: Format) -> None:
    """Print a report."""
    if format_ is Format.JSON:
        text = msgspec.json.encode(report.value).decode()
        print(msgspec.json.format(text))
        return
    console = rich.console.Console(soft_wrap=True)
    table = rich.table.Table(title=report.title, title_justify="left")
    for column in report.columns:
        table.add_column(column, overflow="fold")
    for row in report.rows:
        table.add_row(*row)
    console.print(table)
    for note in report.notes:
        console.print(note, markup=False, highlight=False)


def progress(message: str) -> None:
    """Print a progress message to the standard error stream."""
    print(message, file=sys.stderr)
