"""``chiveroad trace``: one request's lines of all daemons, in order."""

from __future__ import annotations

import collections.abc
import pathlib

import msgspec

from chiveroad.cli import _output
from chiveroad import errors


class Line(msgspec.Struct):
    """A line of a daemon's log, as far as a trace needs it."""

    time: str
    part: str
    message: str
    level: str = "info"
    request: str = ""
    version: int = 0
    tried: list[str] = []
    left_ms: int = 0
    unlogged: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0

    @property
    def load(self) -> str:
        """Return what a guard said of its load, or nothing."""
        if not self.slots:
            return ""
        return f"{self.running} of {self.slots} run, {self.waiting} wait"


class Found(msgspec.Struct):
    """A line on a request, and the log that holds it."""

    log: str
    line: Line


_decoder = msgspec.json.Decoder(Line)


def find(
    request: str, logs: collections.abc.Iterable[pathlib.Path]
) -> list[Found]:
    """Return the lines on a request, in the order of their times.

    :raises errors.UsageError: when a log can't be read.
    """
    found: list[Found] = []
    for log in logs:
        try:
            text = log.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise errors.UsageError(f"{log}: {exc}") from exc
        for line in text.splitlines():
            if request in line:
                found += _read(log.name, line, request)
    return sorted(found, key=lambda each: each.line.time)


def report(request: str, found: list[Found]) -> _output.Report:
    """Return a trace as a report."""
    rows = [
        [
            each.line.time[11:23],
            each.log,
            each.line.part,
            each.line.message,
            str(each.line.version or ""),
            f"{each.line.left_ms} ms",
            each.line.load,
        ]
        for each in found
    ]
    notes = []
    if not rows:
        notes.append(
            f"No line on {request}: it went well and was sampled out, or "
            "its log isn't among those given."
        )
    return _output.Report(
        value=found,
        title=f"Request {request}",
        columns=(
            "time",
            "log",
            "part",
            "message",
            "version",
            "time left",
            "load",
        ),
        rows=rows,
        notes=notes,
    )


def _read(
    log: str, text: str, request: str
) -> collections.abc.Iterator[Found]:
    start = text.find("{")
    if start < 0:
        return
    try:
        line = _decoder.decode(text[start:])
    except msgspec.DecodeError:
        # Another program's line that happens to hold the id.
        return
    if line.request == request:
        yield Found(log, line)
