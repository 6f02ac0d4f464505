"""Logging: one logbook channel for each part, as text or as JSON lines."""

from __future__ import annotations

import datetime
import sys
import typing

import logbook
import msgspec

FORMATS: typing.Final = ("text", "json")
LEVELS: typing.Final = ("debug", "info", "warning", "error")

_TEXT: typing.Final = (
    "{record.time:%H:%M:%S.%f} {record.level_name} "
    "[{record.channel}] {record.message}"
)


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


def set_up(
    level: str, format_: str, stream: typing.TextIO = sys.stderr
) -> None:
    """Send the log to a stream, from a level up."""
    logbook.set_datetime_format(
        lambda: datetime.datetime.now(datetime.timezone.utc)
    )
    number = logbook.lookup_level(level.upper())
    if format_ == "json":
        handler = JsonHandler(stream, level=number)
    else:
        handler = logbook.StreamHandler(
            stream, level=number, format_string=_TEXT
        )
    handler.push_application()
