"""Logging with one logger for each part, as text or as JSON lines.

A separate thread writes the lines from a bounded queue, so that a slow reader
of the log never delays a request.  Lines that don't fit into the queue are
dropped and counted.  Under load, lines about successful requests are sampled;
refusals and failures are dropped last.

This module uses the standard library's logging, because logbook would load
the TLS library, which takes a tenth of a daemon's memory.
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
"""Capacity of the queue that is reserved for important lines."""

SAMPLED_LINES_PER_S: typing.Final = 20
FLUSH_TIMEOUT_S: typing.Final = 1.0
BATCH_DELAY_S: typing.Final = 0.2
"""How long a line waits for others, to be written in one batch: each write
wakes a thread and is a system call.  A process that is killed loses at most
the lines of this time."""

_ROOT_LOGGER_NAME: typing.Final = "chiveroad"
_Extra: typing.TypeAlias = dict[str, object] | None


class Logger:
    """The logger of one part; every line carries the part's name.

    >>> Logger("guard").info("Request {} was admitted.", "r-17")

    The entries of ``extra`` become fields of a JSON line; a text line has no
    fields.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(f"{_ROOT_LOGGER_NAME}.{part}")

    def debug(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log a detail for developers."""
        self._log(logging.DEBUG, message, values, extra)

    def info(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log a decision or a change."""
        self._log(logging.INFO, message, values, extra)

    def warning(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log a refusal, a failure, or a temporary outage."""
        self._log(logging.WARNING, message, values, extra)

    def error(
        self, message: str, *values: object, extra: _Extra = None
    ) -> None:
        """Log an error that an operator must deal with."""
        self._log(logging.ERROR, message, values, extra)

    def exception(self, message: str, *values: object) -> None:
        """Log an error with the exception that is being handled."""
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
    """Limits the rate of lines per second, and counts suppressed lines."""

    def __init__(self, lines_per_s: int = SAMPLED_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._allowed_lines = 0
        self.suppressed = 0

    def allow(self) -> bool:
        """Return whether a line may be written now."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._allowed_lines = 0
        if self._allowed_lines < self._lines_per_s:
            self._allowed_lines += 1
            return True
        self.suppressed += 1
        return False


class Writer:
    """Writes lines to a stream from a separate thread.

    :param stream: the stream to write to; it may block.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._has_lines = threading.Event()
        self._flush_requested = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        self.dropped = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, line: str, important: bool = True) -> None:
        """Queue a line, or drop it if the queue is full.

        :param important: whether the line may use the reserved capacity.
        """
        max_lines = QUEUE_LINES if important else QUEUE_LINES - RESERVED_LINES
        if len(self._lines) >= max_lines:
            self.dropped += 1
            return
        self._all_written.clear()
        self._lines.append(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self) -> None:
        """Wait up to ``FLUSH_TIMEOUT_S`` until the queue is written."""
        self._flush_requested.set()
        self._all_written.wait(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._flush_requested.wait(BATCH_DELAY_S)
            self._flush_requested.clear()
            self._has_lines.clear()
            while self._lines:
                count = len(self._lines)
                batch = [self._lines.popleft() for _ in range(count)]
                self._stream.write("".join(batch))
            self._stream.flush()
            if not self._lines:
                self._all_written.set()


class _Handler(logging.Handler, abc.ABC):
    """Formats a record in the calling thread, and queues the line."""

    def __init__(self, writer: Writer, level: int) -> None:
        super().__init__(level)
        self._writer = writer
        self._exceptions = logging.Formatter()

    def emit(self, record: logging.LogRecord) -> None:
        """Format and queue a record."""
        important = record.levelno > logging.INFO
        self._writer.write(self.line(record) + "\n", important)

    @abc.abstractmethod
    def line(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""

    def _exception(self, record: logging.LogRecord) -> str:
        if not record.exc_info:
            return ""
        return self._exceptions.formatException(record.exc_info)


class JsonHandler(_Handler):
    """Writes each record as one JSON object on a line.

    The field ``dropped`` is the number of lines dropped since the start.
    """

    def line(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        value: dict[str, object] = {
            "time": _time(record).isoformat(),
            "level": record.levelname.lower(),
            "part": _extra_field(record, "part"),
            "message": record.getMessage(),
        }
        value.update(_extra_field(record, "fields"))
        if error := self._exception(record):
            value["error"] = error
        if self._writer.dropped:
            value["dropped"] = self._writer.dropped
        return msgspec.json.encode(value).decode()


class TextHandler(_Handler):
    """Writes each record as one line of text."""

    def line(self, record: logging.LogRecord) -> str:
        """Return the record as a line of text."""
        time_ = _time(record).isoformat(sep=" ", timespec="microseconds")
        part = _extra_field(record, "part")
        line = (
            f"{time_[11:26]} {record.levelname} [{part}] {record.getMessage()}"
        )
        error = self._exception(record)
        return f"{line}\n{error}" if error else line


def _extra_field(record: logging.LogRecord, name: str) -> typing.Any:
    """Return an attribute that ``Logger`` has added to a record."""
    return record.__dict__[name]


def _time(record: logging.LogRecord) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(
        record.created, datetime.timezone.utc
    )


_writers: list[Writer] = []


def configure(
    level: str, format_: str, stream: typing.TextIO = sys.stdout
) -> None:
    """Write lines of a level and above to a stream, and nowhere else."""
    handler_type = JsonHandler if format_ == "json" else TextHandler
    writer = Writer(stream)
    _writers.append(writer)
    # By default the library looks up the thread, the process and the place
    # in the code for each record; no line contains them.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    level_number: int = logging.getLevelName(level.upper())
    root = logging.getLogger(_ROOT_LOGGER_NAME)
    root.setLevel(level_number)
    root.propagate = False
    root.handlers = [handler_type(writer, level_number)]


def flush() -> None:
    """Wait up to ``FLUSH_TIMEOUT_S`` per writer until lines are written."""
    for writer in _writers:
        writer.flush()
