"""Reads the status line of an HTTP answer.

``http.client`` accepts what ``int`` does, such as ``+200``, statuses up to
999, and an interim status other than 100 as the last one.  A target in trouble
answers with status 000, so an invalid status counts as no answer.
"""

from __future__ import annotations

import http
import http.client
import re
import typing

_STATUS_LINE: typing.Final = re.compile(
    rb"HTTP/1\.([0-9])[ \t]+([1-5][0-9]{2})(?:[ \t]([^\r\n]*))?\r?\n"
)
_START: typing.Final = re.compile(
    rb"HTTP/1\.[0-9][ \t]+[2-5][0-9]{2}([ \t][^\r\n]*)?\r?"
)
_PREFIX: typing.Final = b"HTTP/1."
_MAX_PREFIX_BYTES: typing.Final = len(b"HTTP/1.1 200")
_HEAD_END: typing.Final = re.compile(rb"\r?\n\r?\n")


class StatusLine(typing.NamedTuple):
    """A status line; ``minor`` is the version after ``HTTP/1.``."""

    minor: int
    status: int
    reason: str

    @property
    def interim(self) -> bool:
        """Tell whether another answer follows."""
        return self.status < http.HTTPStatus.OK


def parse(line: bytes) -> StatusLine:
    """Parse a status line with its line end.

    :raises http.client.HTTPException: when it isn't one, its status isn't
        within 100 to 599 (RFC 9110, section 15), or is 101: chiveroad asks
        for no other protocol, so that none of its bytes can be read.
    """
    if not line:
        raise http.client.RemoteDisconnected("closed without an answer")
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise http.client.BadStatusLine(repr(line[:80]))
    minor, status, reason = found.groups(b"")
    if int(status) == http.HTTPStatus.SWITCHING_PROTOCOLS:
        raise http.client.BadStatusLine("101 wasn't asked for")
    text = reason.decode("latin-1").strip()
    return StatusLine(int(minor), int(status), text)


def begins_answer(data: bytes) -> bool:
    """Tell whether the first bytes that have arrived begin a last answer.

    A part of a status line counts unless it is known to be invalid.

    >>> begins_answer(b"HTTP/1.1 204 No Content"), begins_answer(b"HTT")
    (True, True)
    >>> begins_answer(b"HTTP/1.1 000 "), begins_answer(b"")
    (False, False)
    """
    line, end, rest = data.partition(b"\n")
    if not end and len(line) <= _MAX_PREFIX_BYTES:
        return line != b"" and line.startswith(_PREFIX[: len(line)])
    if _START.fullmatch(line):
        return not rest.startswith(_PREFIX)
    try:
        interim = parse(line + end).interim
    except http.client.HTTPException:
        return False
    head_end = _HEAD_END.search(data)
    return (
        interim
        and head_end is not None
        and begins_answer(data[head_end.end() :])
    )
