"""An HTTP response with the grammar of this package.

The body is read by ``http.client``.  Its own head parser is the one for
e-mail, which mends what it can't read and takes longer than all other work on
an answer.
"""

from __future__ import annotations

import collections.abc
import http
import http.client
import typing

from chiveroad.answers import _grammar
from chiveroad import serving

_SKIP_BYTES: typing.Final = 64 * 1024
_BODILESS: typing.Final = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)


class Response(http.client.HTTPResponse):
    """An HTTP response that is read strictly, within a limit on its framing.

    ``http.client`` doesn't limit the total size of interim heads, trailers
    and chunk extensions, and accepts negative chunk sizes.

    :param source: an object with the ``makefile`` method of a socket.
    :param debuglevel: unused, as ``http.client`` passes it.
    :param method: the method of the request.
    """

    _check_close: collections.abc.Callable[[], bool]
    _close_conn: collections.abc.Callable[[], None]

    def __init__(
        self,
        source: typing.Any,
        debuglevel: int = 0,
        method: str | None = None,
    ) -> None:
        super().__init__(source, debuglevel, method)
        self._bodiless = method == "HEAD"
        self._lines = serving.Lines(self.fp)
        self.until_continue = False

    def begin(self) -> None:
        """Read the head, and the interim heads before it.

        With ``until_continue``, an interim head that asks for the request's
        body ends it as well.

        :raises _grammar.Malformed: when a head is malformed or too long.
        :raises http.client.HTTPException: when the connection ends before
            the end of the head.
        """
        line, headers, framing = self._read_head()
        while line.interim:
            if self.until_continue and line.status == http.HTTPStatus.CONTINUE:
                self.status = line.status
                return
            line, headers, framing = self._read_head()
        self._lines.remaining_bytes = serving.MAX_FRAMING_BYTES
        self.code = self.status = line.status
        self.reason = line.reason
        self.version = 10 + min(1, line.minor)
        self.headers = self.msg = typing.cast(typing.Any, headers)
        self._bodiless = self._bodiless or line.status in _BODILESS
        self.chunked = framing.chunked and not self._bodiless
        self.chunk_left = None
        self.length = 0 if self._bodiless else framing.length
        framed = self.chunked or self.length is not None
        self.will_close = self._check_close() or not framed

    def _read_head(
        self,
    ) -> tuple[_grammar.StatusLine, _grammar.Headers, _grammar.Framing]:
        line = _grammar.parse_status_line(_grammar.read_line(self._lines))
        headers = _grammar.read_fields(self._lines)
        return line, headers, _grammar.parse_framing(line, headers)

    def skip(self, limit_bytes: int) -> None:
        """Read the body and discard it.

        :raises http.client.HTTPException: when the body and its framing are
            over the limit, or malformed.
        """
        while chunk := self.read1(_SKIP_BYTES):
            limit_bytes -= len(chunk) + serving.CHUNK_LINE_BYTES
            if limit_bytes < 0:
                raise http.client.HTTPException("too long to be skipped")

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left in the current chunk, or None at the end.

        Overrides a method of ``http.client.HTTPResponse``.

        :raises _grammar.Malformed: when a chunk or a trailer is malformed.
        """
        left: int | None = self.chunk_left
        if left:
            return left
        size = self._next_chunk_size(is_first=left is None)
        if size:
            self.chunk_left = size
            return size
        self._discard_trailers()
        self._close_conn()
        self.chunk_left = None
        return None

    def _next_chunk_size(self, is_first: bool) -> int:
        try:
            if not is_first:
                self._lines.end_chunk()
            return self._lines.read_chunk_size()
        except ValueError as exc:
            raise _grammar.Malformed(_grammar.Part.CHUNK, str(exc)) from exc

    def _discard_trailers(self) -> None:
        """Read the trailers: a body that ends too early shows in them."""
        try:
            _grammar.read_fields(self._lines)
        except _grammar.Malformed as exc:
            raise _grammar.Malformed(
                _grammar.Part.TRAILER, f"trailers, {exc}"
            ) from exc
