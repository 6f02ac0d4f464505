"""``chiveroad trace``: finds a request's lines in the logs of daemons."""

from __future__ import annotations

import collections.abc
import pathlib

import msgspec

from chiveroad.cli import _output
from chiveroad import errors


class LogLine(msgspec.Struct):
    """The fields of a JSON log line that a trace shows."""

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
        """Return the load that a guard logged, or an empty string."""
        if not self.slots:
            return ""
        return f"{self.running} of {self.slots} run, {self.waiting} wait"


class LogMatch(msgspec.Struct):
    """A line about a request, and the name of its log."""

    log: str
    line: LogLine


_decoder = msgspec.json.Decoder(LogLine)


def find(
    request: str, logs: collections.abc.Iterable[pathlib.Path]
) -> list[LogMatch]:
    """Return the lines about a request, ordered by time.

    :raises errors.UsageError: when a log can't be read.
    """
    matches: list[LogMatch] = []
    for log in logs:
        try:
            text = log.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise errors.UsageError(f"{log}: {exc}") from exc
        for line in text.splitlines():
            if request in line:
                matches += _parse_line(log.name, line, request)
    return sorted(matches, key=lambda match: match.line.time)


def report(request: str, matches: list[LogMatch]) -> _output.Report:
    """Return the report of a trace."""
    rows = [
        [
            match.line.time[11:23],
            match.log,
            match.line.part,
            match.line.message,
            str(match.line.version or ""),
            f"{match.line.left_ms} ms",
            match.line.load,
        ]
        for match in matches
    ]
    notes = []
    if not rows:
        notes.append(
            f"No line on {request}: it went well and was sampled out, or "
            "its log isn't among those given."
        )
    return _output.Report(
        value=matches,
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


def _parse_line(
    log: str, text: str, request: str
) -> collections.abc.Iterator[LogMatch]:
    json_start = text.find("{")
    if json_start < 0:
        return
    try:
        line = _decoder.decode(text[json_start:])
    except msgspec.DecodeError:
        # The line is another program's, and contains the id by chance.
        return
    if line.request == request:
        yield LogMatch(log, line)
