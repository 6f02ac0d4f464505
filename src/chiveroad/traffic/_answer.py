"""An HTTP response with its own parser for the head and chunk sizes.

The body is read by ``http.client``.  Its head parser is the one for e-mail,
which takes longer than all other work on an answer.
"""

from __future__ import annotations

import collections.abc
import http
import http.client
import re
import typing

from chiveroad import serving
from chiveroad import status_line

MAX_HEADERS: typing.Final = 100
"""The same limit as in ``http.client``."""

_SKIP_BYTES: typing.Final = 64 * 1024
_NAME: typing.Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_BODILESS: typing.Final = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)


class Headers:
    """The headers of an answer, in the order in which they were sent.

    >>> Headers([("Retry-After", "1")]).get("retry-after")
    '1'
    """

    def __init__(
        self, items: collections.abc.Sequence[tuple[str, str]]
    ) -> None:
        self._items = items
        self._first: dict[str, str] = {}
        for name, value in items:
            self._first.setdefault(name.lower(), value)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first header of a case-insensitive name."""
        return self._first.get(name.lower(), default)

    def items(self) -> collections.abc.Sequence[tuple[str, str]]:
        """Return all headers, including repeated ones."""
        return self._items


class Response(http.client.HTTPResponse):
    """An HTTP response that limits framing and validates chunk sizes.

    ``http.client`` doesn't limit the total size of interim heads, trailers
    and chunk extensions, and accepts negative chunk sizes.

    :param source: an object with the ``makefile`` method of a socket.
    """

    _check_close: collections.abc.Callable[[], bool]
    _close_conn: collections.abc.Callable[[], None]

    def __init__(self, source: typing.Any, method: str) -> None:
        super().__init__(source, method=method)
        self._bodiless = method == "HEAD"
        self._lines = serving.Lines(self.fp)
        self.until_continue = False

    def begin(self) -> None:
        """Read the head.

        With ``until_continue``, an interim head that asks for the request's
        body ends it as well.

        :raises http.client.HTTPException: when the head is malformed, or the
            connection ends before its end.
        :raises ValueError: when the head is too long.
        """
        line = status_line.parse(self._lines.read())
        while line.interim:
            _read_headers(self._lines)
            if self.until_continue and line.status == http.HTTPStatus.CONTINUE:
                self.status = line.status
                return
            line = status_line.parse(self._lines.read())
        self.code = self.status = line.status
        self.reason = line.reason
        self.version = 10 + min(1, line.minor)
        found = Headers(_read_headers(self._lines))
        self._lines.remaining_bytes = serving.MAX_FRAMING_BYTES
        self.headers = self.msg = typing.cast(typing.Any, found)
        encoding = found.get("transfer-encoding") or ""
        self._bodiless = self._bodiless or line.status in _BODILESS
        self.chunked = encoding.lower() == "chunked" and not self._bodiless
        self.chunk_left = None
        self.length = self._declared_length(found)
        framed = self.chunked or self.length is not None
        self.will_close = self._check_close() or not framed

    def skip(self, limit_bytes: int) -> None:
        """Read the body and discard it.

        :raises http.client.HTTPException: when the body and its framing are
            over the limit.
        """
        while chunk := self.read1(_SKIP_BYTES):
            limit_bytes -= len(chunk) + serving.CHUNK_LINE_BYTES
            if limit_bytes < 0:
                raise http.client.HTTPException("too long to be skipped")

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left in the current chunk, or None at the end.

        Overrides a method of ``http.client.HTTPResponse``.
        """
        left: int | None = self.chunk_left
        if left:
            return left
        if left is not None:
            self._lines.end_chunk()
        size = self._lines.read_chunk_size()
        if size:
            self.chunk_left = size
            return size
        while self._lines.read() not in (b"\r\n", b"\n", b""):
            """Trailers are discarded."""
        self._close_conn()
        self.chunk_left = None
        return None

    def _declared_length(self, headers: Headers) -> int | None:
        if self._bodiless:
            return 0
        text = headers.get("content-length")
        if self.chunked or text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise http.client.HTTPException("malformed Content-Length")
        return int(text)


def _read_headers(lines: serving.Lines) -> list[tuple[str, str]]:
    """Read header lines up to the empty line.

    :raises http.client.HTTPException: when a line isn't a header line, there
        are too many, or the connection ends before the empty line: the
        header with the body's length may be missing then.
    """
    found: list[tuple[str, str]] = []
    while True:
        line = lines.read()
        if line in (b"\r\n", b"\n"):
            return found
        if not line.endswith(b"\n"):
            raise http.client.HTTPException("the head is cut")
        name, _, value = line.partition(b":")
        if not _NAME.fullmatch(name) or len(found) >= MAX_HEADERS:
            raise http.client.HTTPException("no header line, or too many")
        text = value.strip().decode("latin-1")
        found.append((name.decode("latin-1"), text))
