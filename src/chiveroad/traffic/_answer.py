"""The head of a peer's answer.

The library's response reads the body.  The head it would read through the
parser for mail, which takes longer than everything else about an answer.
"""

from __future__ import annotations

import collections.abc
import http
import http.client
import re
import typing

MAX_LINE_BYTES: typing.Final = 64 * 1024
MAX_HEADERS: typing.Final = 100
"""As in the library."""

_NAME: typing.Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_BODILESS: typing.Final = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)


class Headers:
    """The headers of an answer, in their order.

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
        """Return the first header of a name, in any case."""
        return self._first.get(name.lower(), default)

    def items(self) -> collections.abc.Sequence[tuple[str, str]]:
        """Return all headers, repeated ones too."""
        return self._items


class Response(http.client.HTTPResponse):
    """An answer of which only the head is read in a way of its own.

    :param source: what the library takes for a socket.
    """

    _check_close: collections.abc.Callable[[], bool]
    _read_status: collections.abc.Callable[[], tuple[str, int, str]]

    def __init__(self, source: typing.Any, method: str) -> None:
        super().__init__(source, method=method)
        self._bodiless = method == "HEAD"

    def begin(self) -> None:
        """Read the head.

        :raises http.client.HTTPException: when it isn't one, or ends early.
        """
        version, status, reason = self._read_status()
        while status < http.HTTPStatus.OK:
            _read_headers(self.fp)
            version, status, reason = self._read_status()
        self.code = self.status = status
        self.reason = reason.strip()
        if not version.startswith("HTTP/1."):
            raise http.client.UnknownProtocol(version)
        self.version = 10 if version == "HTTP/1.0" else 11
        found = Headers(_read_headers(self.fp))
        self.headers = self.msg = typing.cast(typing.Any, found)
        encoding = found.get("transfer-encoding") or ""
        self.chunked = encoding.lower() == "chunked"
        self.chunk_left = None
        self.length = self._stated_length(found)
        framed = self.chunked or self.length is not None
        self.will_close = self._check_close() or not framed

    def _stated_length(self, headers: Headers) -> int | None:
        if self._bodiless or self.status in _BODILESS:
            return 0
        text = headers.get("content-length")
        if self.chunked or text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise http.client.HTTPException("malformed Content-Length")
        return int(text)


def _read_headers(source: typing.Any) -> list[tuple[str, str]]:
    """Read header lines up to the empty line.

    :raises http.client.HTTPException: when they aren't any, or the
        connection ends before: the length of the body may be missing.
    """
    found: list[tuple[str, str]] = []
    while True:
        line: bytes = source.readline(MAX_LINE_BYTES + 1)
        if line in (b"\r\n", b"\n"):
            return found
        if not line.endswith(b"\n") or len(line) > MAX_LINE_BYTES:
            raise http.client.HTTPException("the head is cut or too long")
        name, _, value = line.partition(b":")
        if not _NAME.fullmatch(name) or len(found) >= MAX_HEADERS:
            raise http.client.HTTPException("no header line, or too many")
        text = value.strip().decode("latin-1")
        found.append((name.decode("latin-1"), text))
