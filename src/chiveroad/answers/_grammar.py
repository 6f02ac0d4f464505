r"""The grammar of an answer's head.

    head        = status-line *field-line CRLF
    status-line = "HTTP/1." DIGIT SP status [ SP text ] CRLF
    status      = %x31-35 2DIGIT        ; but not 101
    field-line  = token ":" text CRLF
    text        = *( HTAB / SP / VCHAR / obs-text )

The fields of an interim head and of the trailers have the same form.  RFC 9112
lets a recipient accept more, such as a line that ends without a carriage
return, a folded field, or a length that is stated twice.  Two readers of such
a head may see different fields or another end of the body, so each departure
is refused.

The length of a body follows RFC 9112, section 6.3:

- ``Transfer-Encoding`` is ``chunked`` or absent, as no other encoding is asked
  for.  It comes neither before HTTP/1.1 nor beside ``Content-Length``.
- ``Content-Length`` is one decimal number, also where no body follows.
- Interim answers and those with status 204 have no body, and state none.
- Without either field, a body ends with its connection.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import http
import http.client
import re
import typing

from chiveroad import serving

MAX_FIELDS: typing.Final = 100
"""The same limit as in ``http.client``."""

_TEXT: typing.Final = rb"[\t\x20-\x7e\x80-\xff]*"
_TOKEN: typing.Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_STATUS_LINE: typing.Final = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (%b))?\r\n" % _TEXT
)
_STATUS_LINE_START: typing.Final = re.compile(
    rb"HTTP/1\.[0-9] [2-5][0-9]{2}(?: %b)?\r?" % _TEXT
)
_FIELD_LINE: typing.Final = re.compile(rb"(%b):(%b)\r\n" % (_TOKEN, _TEXT))
_NAME: typing.Final = re.compile(_TOKEN)
_PREFIX: typing.Final = b"HTTP/1."
_MAX_PREFIX_BYTES: typing.Final = len(b"HTTP/1.1 200")
_BLANKS: typing.Final = b" \t"
_LENGTH: typing.Final = re.compile("[0-9]{1,18}")


class Part(enum.StrEnum):
    """The part of an answer that departs from the grammar."""

    STATUS = "status"
    LINE = "line"
    NAME = "name"
    VALUE = "value"
    LENGTH = "length"
    ENCODING = "encoding"
    SIZE = "size"
    CHUNK = "chunk"
    TRAILER = "trailer"


class Malformed(http.client.HTTPException):
    """An answer departs from the grammar; it counts as none.

    The message names the place and never the bytes, which may be anything.
    """

    def __init__(self, part: Part, message: str) -> None:
        super().__init__(message)
        self.part = part


class StatusLine(typing.NamedTuple):
    """A status line; ``minor`` is the version after ``HTTP/1.``."""

    minor: int
    status: int
    reason: str

    @property
    def interim(self) -> bool:
        """Tell whether another answer follows."""
        return self.status < http.HTTPStatus.OK


class Headers:
    """The fields of a head, in the order in which they were sent.

    >>> Headers([("Retry-After", "1")]).get("retry-after")
    '1'
    """

    def __init__(
        self, items: collections.abc.Sequence[tuple[str, str]]
    ) -> None:
        self._items = items
        self._values: dict[str, str] = {}
        for name, value in items:
            lower = name.lower()
            if lower in self._values:
                value = f"{self._values[lower]}, {value}"
            self._values[lower] = value

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a case-insensitive name.

        The values of a repeated name are joined with commas (RFC 9110,
        section 5.2), so that a single value which was stated twice isn't
        taken for either.
        """
        return self._values.get(name.lower(), default)

    def items(self) -> collections.abc.Sequence[tuple[str, str]]:
        """Return all fields, including repeated ones."""
        return self._items


@dataclasses.dataclass(frozen=True, slots=True)
class Framing:
    """How the body of an answer is delimited.

    ``length`` is the number of bytes that the head states, or None.
    """

    length: int | None
    chunked: bool


def read_line(lines: serving.Lines) -> bytes:
    """Read a line with its line end, or what the connection ended with.

    :raises Malformed: when the framing is over its limit.
    """
    try:
        return lines.read()
    except ValueError as exc:
        raise Malformed(Part.SIZE, str(exc)) from exc


def parse_status_line(line: bytes) -> StatusLine:
    """Parse a status line with its line end.

    :raises http.client.HTTPException: when the connection ended within it.
    :raises Malformed: when it isn't one, its status isn't within 100 to 599
        (RFC 9110, section 15), or is 101: chiveroad asks for no other
        protocol, so that none of its bytes can be read.
    """
    if not line:
        raise http.client.RemoteDisconnected("closed without an answer")
    if not line.endswith(b"\n"):
        raise http.client.RemoteDisconnected("closed within the status line")
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise Malformed(Part.STATUS, "line 1: no status line")
    minor, status, reason = found.groups(b"")
    if int(status) == http.HTTPStatus.SWITCHING_PROTOCOLS:
        raise Malformed(Part.STATUS, "line 1: 101 wasn't asked for")
    return StatusLine(int(minor), int(status), reason.decode("latin-1"))


def parse_field_line(line: bytes, number: int) -> tuple[str, str]:
    """Parse a field line with its line end into its name and its value.

    :param number: the position of the line, for the error.
    :raises Malformed: when it isn't a field line.

    >>> parse_field_line(b"Retry-After: 1 \\r\\n", 2)
    ('Retry-After', '1')
    """
    found = _FIELD_LINE.fullmatch(line)
    if found is None:
        part, message = _fault(line)
        raise Malformed(part, f"line {number}: {message}")
    name, value = found.groups()
    return name.decode("latin-1"), value.strip(_BLANKS).decode("latin-1")


def read_fields(lines: serving.Lines) -> Headers:
    """Read field lines up to the empty line.

    :raises Malformed: when a line isn't a field line, or there are too many.
    :raises http.client.HTTPException: when the connection ends before the
        empty line: the field with the body's length may be missing then.
    """
    found: list[tuple[str, str]] = []
    while (line := read_line(lines)) != b"\r\n":
        if not line.endswith(b"\n"):
            raise http.client.RemoteDisconnected("closed within the head")
        number = len(found) + 2
        if len(found) >= MAX_FIELDS:
            raise Malformed(Part.SIZE, f"line {number}: too many fields")
        found.append(parse_field_line(line, number))
    return Headers(found)


def parse_framing(line: StatusLine, headers: Headers) -> Framing:
    """Return how the body is delimited, as far as the head states it.

    :raises Malformed: when the head states it wrongly or twice.
    """
    length = headers.get("content-length")
    encoding = headers.get("transfer-encoding")
    if encoding is not None:
        if encoding.lower() != "chunked":
            raise Malformed(Part.ENCODING, "an encoding other than chunked")
        if line.minor < 1:
            raise Malformed(Part.ENCODING, "chunked before HTTP/1.1")
        if length is not None:
            raise Malformed(Part.LENGTH, "a length beside chunks")
    if length is not None and not _LENGTH.fullmatch(length):
        raise Malformed(Part.LENGTH, "a length that isn't one number")
    framing = Framing(
        None if length is None else int(length), encoding is not None
    )
    without_body = line.interim or line.status == http.HTTPStatus.NO_CONTENT
    if without_body and (framing.chunked or framing.length):
        raise Malformed(Part.LENGTH, f"a body with status {line.status}")
    return framing


def begins_answer(data: bytes) -> bool:
    """Tell whether the first bytes that have arrived begin a last answer.

    A part of a head counts unless it is known to be malformed.

    >>> begins_answer(b"HTTP/1.1 204 No Content"), begins_answer(b"HTT")
    (True, True)
    >>> begins_answer(b"HTTP/1.1 000 "), begins_answer(b"")
    (False, False)
    """
    line, end, rest = data.partition(b"\n")
    if not end:
        if len(line) <= _MAX_PREFIX_BYTES:
            return line != b"" and line.startswith(_PREFIX[: len(line)])
        return _STATUS_LINE_START.fullmatch(line) is not None
    try:
        status_line = parse_status_line(line + end)
        headers, after = _parse_fields(rest)
        if after is not None:
            parse_framing(status_line, headers)
    except http.client.HTTPException:
        return False
    if not status_line.interim:
        return True
    return after is not None and begins_answer(after)


def _parse_fields(data: bytes) -> tuple[Headers, bytes | None]:
    """Parse the field lines that have arrived.

    :returns: the fields, and what follows the head, or None if its end
        hasn't arrived.
    :raises Malformed: when a line isn't a field line.
    """
    found: list[tuple[str, str]] = []
    while True:
        line, end, data = data.partition(b"\n")
        if not end:
            return Headers(found), None
        if line == b"\r":
            return Headers(found), data
        found.append(parse_field_line(line + end, len(found) + 2))


def _fault(line: bytes) -> tuple[Part, str]:
    """Return what is wrong with a line that isn't a field line."""
    if not line.endswith(b"\r\n"):
        return Part.LINE, "it ends without a carriage return"
    name, colon, _ = line.partition(b":")
    if not colon:
        return Part.LINE, "no colon"
    if not name or name[:1] in _BLANKS:
        return Part.LINE, "no name before the colon, or a folded line"
    if not _NAME.fullmatch(name):
        return Part.NAME, "a field's name isn't a token"
    return Part.VALUE, "a control character in a field's value"
