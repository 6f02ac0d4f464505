"""Logging: one log for each part, as text or as JSON lines.

Lines are written by a thread of their own from a bounded queue, so that no
request ever waits for whoever reads them.  What doesn't fit is dropped and
counted, and lines on requests that went well are sampled under load; refusals
and failures are dropped last.

The standard library's logging serves here: logbook would bring the TLS
library along, which takes a tenth of a daemon's memory.
"""

from __future__ import annotations

import abc
import collections
import datetime
import logging
import sys
import threading
import time
import typing

import msgspec

FORMATS: typing.Final = ("text", "json")
QUEUE_LINES: typing.Final = 2_000
RESERVED_LINES: typing.Final = 1_000
"""Room in the queue that only lines of note may take."""

SAMPLED_LINES_PER_S: typing.Final = 20
FLUSH_S: typing.Final = 1.0
GATHER_S: typing.Final = 0.2
"""How long a line waits for others: each write wakes a thread and is a system
call.  It bounds what a killed process leaves untold."""

_ROOT: typing.Final = "chiveroad"
_Extra: typing.TypeAlias = dict[str, object] | None


class Logger:
    """The log of one part; its name stands in every line of the part.

    >>> Logger("guard").info("Request {} was admitted.", "r-17")

    What ``extra`` holds becomes fields of the line, where it has fields.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(f"{_ROOT}.{part}")

    def debug(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log what only a developer wants to see."""
        self._log(logging.DEBUG, message, values, extra)

    def info(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log a decision or a change."""
        self._log(logging.INFO, message, values, extra)

    def warning(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log a refusal, a failure, or something lost for a while."""
        self._log(logging.WARNING, message, values, extra)

    def error(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log what an operator has to see to."""
        self._log(logging.ERROR, message, values, extra)

    def exception(self, message: str, *values: object) -> None:
        """Log an error together with the exception in hand."""
        self._log(logging.ERROR, message, values, exc_info=True)

    def _log(
        self,
        level: int,
        message: str,
        values: tuple[object, ...],
        extra: _Extra = None,
        exc_info: bool = False,
    ) -> None:
        if not self._logger.isEnabledFor(level):
            return
        self._logger.log(
            level,
            message.format(*values),
            exc_info=exc_info,
            extra={"part": self._part, "fields": extra or {}},
        )


class Sampler:
    """Lets a bounded number of lines a second through, and counts the rest."""

    def __init__(self, lines_per_s: int = SAMPLED_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._passed = 0
        self.left_out = 0

    def allow(self) -> bool:
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
        self._flushing = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self.dropped = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, text: str, important: bool = True) -> None:
        """Queue a line, or drop it when the queue is full."""
        room = QUEUE_LINES if important else QUEUE_LINES - RESERVED_LINES
        if len(self._lines) >= room:
            self.dropped += 1
            return
        self._idle.clear()
        self._lines.append(text)
        if not self._filled.is_set():
            self._filled.set()

    def flush(self) -> None:
        """Wait a moment for what is queued."""
        self._flushing.set()
        self._idle.wait(FLUSH_S)

    def _run(self) -> None:
        while True:
            self._filled.wait()
            self._flushing.wait(GATHER_S)
            self._flushing.clear()
            self._filled.clear()
            while self._lines:
                count = len(self._lines)
                batch = [self._lines.popleft() for _ in range(count)]
                self._stream.write("".join(batch))
            self._stream.flush()
            if not self._lines:
                self._idle.set()


class _Handler(logging.Handler, abc.ABC):
    """Formats a record in the thread that logs, and queues it."""

    def __init__(self, writer: Writer, level: int) -> None:
        super().__init__(level)
        self._writer = writer
        self._exceptions = logging.Formatter()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record."""
        important = record.levelno > logging.INFO
        self._writer.write(self.line(record) + "\n", important)

    @abc.abstractmethod
    def line(self, record: logging.LogRecord) -> str:
        """Return the record as a line."""

    def _exception(self, record: logging.LogRecord) -> str:
        if not record.exc_info:
            return ""
        return self._exceptions.formatException(record.exc_info)


class JsonHandler(_Handler):
    """Writes each record as one JSON object on a line.

    ``dropped`` counts the lines that were left out since the start.
    """

    def line(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        value: dict[str, object] = {
            "time": _time(record).isoformat(),
            "level": record.levelname.lower(),
            "part": _field(record, "part"),
            "message": record.getMessage(),
        }
        value.update(_field(record, "fields"))
        if error := self._exception(record):
            value["error"] = error
        if self._writer.dropped:
            value["dropped"] = self._writer.dropped
        return msgspec.json.encode(value).decode()


class TextHandler(_Handler):
    """Writes each record as one line of text."""

    def line(self, record: logging.LogRecord) -> str:
        """Return the record as a line."""
        time_ = _time(record).isoformat(sep=" ", timespec="microseconds")
        part = _field(record, "part")
        line = (
            f"{time_[11:26]} {record.levelname} [{part}] {record.getMessage()}"
        )
        error = self._exception(record)
        return f"{line}\n{error}" if error else line


def _field(record: logging.LogRecord, name: str) -> typing.Any:
    """Return what ``Logger`` has put into a record."""
    return record.__dict__[name]


def _time(record: logging.LogRecord) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(
        record.created, datetime.timezone.utc
    )


_writers: list[Writer] = []


def configure(
    level: str, format_: str, stream: typing.TextIO = sys.stdout
) -> None:
    """Send the log to a stream, from a level up, and nowhere else."""
    kind = JsonHandler if format_ == "json" else TextHandler
    writer = Writer(stream)
    _writers.append(writer)
    # No line tells the thread, the process or the place in the code, which
    # the library looks up for each unless told not to.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    number: int = logging.getLevelName(level.upper())
    root = logging.getLogger(_ROOT)
    root.setLevel(number)
    root.propagate = False
    root.handlers = [kind(writer, number)]


def flush() -> None:
    """Wait a moment until what was logged is written."""
    for writer in _writers:
        writer.flush()
