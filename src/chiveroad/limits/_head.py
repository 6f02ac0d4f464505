"""Tells from the first bytes of a request how many bytes to wait for."""

from __future__ import annotations

import re
import typing

SMALL_BODY_BYTES: typing.Final = 64 * 1024
"""Bodies up to this size are awaited without a thread; they then wait in the
kernel, whose receive buffer holds twice as much by default."""

_END: typing.Final = b"\r\n\r\n"
_LENGTH_NAME: typing.Final = b"\r\ncontent-length:"
_LENGTH: typing.Final = re.compile(rb"[ \t]*([0-9]{1,18})[ \t]*\r\n")
_ENCODING_NAME: typing.Final = b"\r\ntransfer-encoding:"
_EXPECT_NAME: typing.Final = b"\r\nexpect:"

LATER: typing.Final = -1
"""The body can't be awaited: it is large, of unknown length, or is sent only
after an interim answer."""


def bytes_expected(data: bytes) -> int:
    r"""Return the size of a request that begins with ``data``.

    The framing isn't validated here; the parser does so afterwards.

    :returns: 0 if the head isn't complete, or ``LATER``.

    >>> bytes_expected(b"GET / HTTP/1.1\r\nHost: x\r\n")
    0
    >>> bytes_expected(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    27
    >>> bytes_expected(b"PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
    42
    >>> bytes_expected(b"PUT / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
    -1
    """
    end = data.find(_END)
    if end < 0:
        return 0
    size = end + len(_END)
    head = data[: end + 2].lower()
    if _ENCODING_NAME in head or _EXPECT_NAME in head:
        return LATER
    name = head.find(_LENGTH_NAME)
    if name < 0:
        return size
    length = _LENGTH.match(head, name + len(_LENGTH_NAME))
    if length is None:
        return size
    body_bytes = int(length[1])
    return LATER if body_bytes > SMALL_BODY_BYTES else size + body_bytes
