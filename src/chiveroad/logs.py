"""Logging: one logbook channel for each part, as text or as JSON lines."""

from __future__ import annotations

import datetime
import sys
import typing

import logbook
import msgspec

FORMATS: typing.Final = ("text", "json")
LEVELS: typing.Final = ("debug", "info", "warning", "error")


class Logger(logbook.Logger):  # type: ignore[misc]
    """A channel; its name stands before every line of the part.

    >>> Logger("guard").info("Request {} was admitted.", "r-17")
    """


class JsonHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object on a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as JSON."""
        value = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "part": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            value["error"] = record.formatted_exception
        return msgspec.json.encode(value).decode()


class TextHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one line of text.

    The library's own formatter takes about three times as long, which a
    line for each request makes worth avoiding.
    """

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as a line."""
        time = record.time.isoformat(sep=" ", timespec="microseconds")[11:26]
        line = (
            f"{time} {record.level_name} [{record.channel}] {record.message}"
        )
        if record.exc_info:
            return f"{line}\n{record.formatted_exception}"
        return line


def set_up(
    level: str, format_: str, stream: typing.TextIO = sys.stderr
) -> None:
    """Send the log to a stream, from a level up."""
    logbook.set_datetime_format(
        lambda: datetime.datetime.now(datetime.timezone.utc)
    )
    number = logbook.lookup_level(level.upper())
    kind = JsonHandler if format_ == "json" else TextHandler
    kind(stream, level=number).push_application()
