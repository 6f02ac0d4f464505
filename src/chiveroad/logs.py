"""Logging: one logbook channel for each part, as text or as JSON lines.

Lines are written by a thread of their own from a bounded queue, so that no
request ever waits for whoever reads them.  What doesn't fit is dropped and
counted, and lines on requests that went well are sampled under load; refusals
and failures are dropped last.
"""

from __future__ import annotations

import collections
import datetime
import sys
import threading
import time
import typing

import logbook
import msgspec

FORMATS: typing.Final = ("text", "json")
LEVELS: typing.Final = ("debug", "info", "warning", "error")
QUEUE_LINES: typing.Final = 2_000
RESERVED_LINES: typing.Final = 1_000
"""Room in the queue that only lines of note may take."""

SAMPLED_LINES_PER_S: typing.Final = 20
FLUSH_S: typing.Final = 1.0


class Logger(logbook.Logger):  # type: ignore[misc]
    """A channel; its name stands before every line of the part.

    >>> Logger("guard").info("Request {} was admitted.", "r-17")
    """


class Sampler:
    """Lets a bounded number of lines a second through, and counts the rest."""

    def __init__(self, lines_per_s: int = SAMPLED_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._passed = 0
        self.left_out = 0

    def passes(self) -> bool:
        """Tell whether a line is to be written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._passed = 0
        if self._passed < self._lines_per_s:
            self._passed += 1
            return True
        self.left_out += 1
        return False


class Writer:
    """A stream that is written by a thread of its own.

    :param stream: where the lines go, however slowly they are taken.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._filled = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self.dropped = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, text: str, of_note: bool = True) -> None:
        """Queue a line, or drop it when the queue is full."""
        room = QUEUE_LINES if of_note else QUEUE_LINES - RESERVED_LINES
        if len(self._lines) >= room:
            self.dropped += 1
            return
        self._idle.clear()
        self._lines.append(text)
        self._filled.set()

    def flush(self) -> None:
        """Wait a moment for what is queued."""
        self._idle.wait(FLUSH_S)

    def _run(self) -> None:
        while True:
            self._filled.wait()
            self._filled.clear()
            while self._lines:
                count = len(self._lines)
                batch = [self._lines.popleft() for _ in range(count)]
                self._stream.write("".join(batch))
            self._stream.flush()
            if not self._lines:
                self._idle.set()


class _Handler(logbook.Handler):  # type: ignore[misc]
    """Formats a record in the thread that logs, and queues it."""

    def __init__(self, writer: Writer, level: int) -> None:
        super().__init__(level=level)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record."""
        of_note = record.level > logbook.INFO
        self._writer.write(self.line(record) + "\n", of_note)

    def line(self, record: logbook.LogRecord) -> str:
        """Return the record as a line."""
        raise NotImplementedError


class JsonHandler(_Handler):
    """Writes each record as one JSON object on a line.

    ``dropped`` counts the lines that were left out since the start.
    """

    def line(self, record: logbook.LogRecord) -> str:
        """Return the record as JSON."""
        value: dict[str, object] = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "part": record.channel,
            "message": record.message,
        }
        value.update(record.extra)
        if record.exc_info:
            value["error"] = record.formatted_exception
        if self._writer.dropped:
            value["dropped"] = self._writer.dropped
        return msgspec.json.encode(value).decode()


class TextHandler(_Handler):
    """Writes each record as one line of text.

    The library's own formatter takes about three times as long, which a
    line for each request makes worth avoiding.
    """

    def line(self, record: logbook.LogRecord) -> str:
        """Return the record as a line."""
        time_ = record.time.isoformat(sep=" ", timespec="microseconds")[11:26]
        line = (
            f"{time_} {record.level_name} [{record.channel}] {record.message}"
        )
        if record.exc_info:
            return f"{line}\n{record.formatted_exception}"
        return line


_writers: list[Writer] = []


def set_up(
    level: str, format_: str, stream: typing.TextIO = sys.stdout
) -> None:
    """Send the log to a stream, from a level up."""
    logbook.set_datetime_format(
        lambda: datetime.datetime.now(datetime.timezone.utc)
    )
    number = logbook.lookup_level(level.upper())
    kind = JsonHandler if format_ == "json" else TextHandler
    writer = Writer(stream)
    _writers.append(writer)
    kind(writer, number).push_application()


def flush() -> None:
    """Wait a moment until what was logged is written."""
    for writer in _writers:
        writer.flush()
