"""A request as a handler sees it, and its answer."""

from __future__ import annotations

import collections.abc
import http
import socket
import time
import typing

from chiveroad import errors
from chiveroad.serving import _http

BODY_CHUNK_BYTES: typing.Final = 64 * 1024
DISCARD_BYTES: typing.Final = 1024 * 1024
DISCARD_S: typing.Final = 0.2
"""How long an answer waits for a body that nobody reads."""

BODY_S: typing.Final = 10.0
"""How long a message to the daemon itself may take, as an answer may."""

_PHRASES: typing.Final = {
    status.value: f"{status.value} {status.phrase}".encode()
    for status in http.HTTPStatus
}

Header = tuple[str, str]


class BodyTruncated(Exception):
    """The caller's body ended before its length."""


class Request:
    """A request as a handler sees it."""

    def __init__(self, raw: typing.Any) -> None:
        self._raw = raw
        self.method: str = raw.method.decode("latin-1")
        self.uri: str = raw.uri.decode("latin-1")
        self.path: str = self.uri.partition("?")[0]
        self.received_s = time.monotonic()
        self.bytes_sent = 0
        self.begun = False
        self.finished = False

    @property
    def socket(self) -> socket.socket:
        """Return the caller's connection, to see whether it hung up."""
        found: socket.socket = self._raw.conn.socket
        return found

    @property
    def peer_host(self) -> str:
        """Return the caller's IP address."""
        return str(self._raw.conn.remote_addr or "")

    @property
    def content_length(self) -> int | None:
        """Return the body's length in bytes, or None where it is chunked."""
        if self._raw.chunked_read:
            return None
        return int(self._raw.inheaders.get(b"Content-Length", b"0"))

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its Title-Case name."""
        found = self._raw.inheaders.get(name.encode("latin-1"))
        return default if found is None else found.decode("latin-1")

    def headers(self) -> collections.abc.Iterator[Header]:
        """Yield the headers, with repeated ones joined."""
        for name, value in self._raw.inheaders.items():
            yield name.decode("latin-1"), value.decode("latin-1")

    def read_body(self, limit: int) -> bytes:
        """Read the whole body of a message to the daemon itself.

        :raises errors.RequestTooLarge: when it is over ``limit`` bytes.
        :raises errors.BadRequest: when it ends before its length.
        :raises errors.BodyTimeout: when it comes too slowly.
        """
        length = self.content_length
        if length is not None and length > limit:
            raise errors.RequestTooLarge(f"body over {limit} bytes")
        self.end_body_by(self.received_s + BODY_S)
        try:
            chunks = list(self._chunks(limit))
        except BodyTruncated as exc:
            if isinstance(exc.__cause__, TimeoutError):
                raise errors.BodyTimeout("the body came too slowly") from exc
            raise errors.BadRequest("the body is shorter than said") from exc
        return b"".join(chunks)

    def end_body_by(self, end_s: float) -> None:
        """Bound reading the body, in monotonic seconds."""
        self._raw.conn.rfile.end_by(end_s)

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the body in chunks, for a body too large to hold.

        :raises BodyTruncated: when it ends before its length.
        """
        yield from self._chunks(None)

    def _chunks(self, limit: int | None) -> collections.abc.Iterator[bytes]:
        total = 0
        try:
            while chunk := self._raw.rfile.read(BODY_CHUNK_BYTES):
                total += len(chunk)
                if limit is not None and total > limit:
                    raise errors.RequestTooLarge(f"body over {limit} bytes")
                yield chunk
        except (OSError, ValueError) as exc:
            raise BodyTruncated(str(exc)) from exc
        length = self.content_length
        if length is not None and total < length:
            raise BodyTruncated(f"{total} of {length} bytes")

    def answer(
        self,
        status: int,
        headers: collections.abc.Sequence[Header],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if self.method != "HEAD":
            self._raw.write(body)
            self.bytes_sent += len(body)
        self.finish()

    def start(
        self, status: int, headers: collections.abc.Sequence[Header]
    ) -> None:
        """Begin an answer; without a Content-Length it goes in chunks.

        The head is held back until the first chunk or ``finish``.
        """
        raw = self._raw
        self.begun = True
        if not self._discard():
            raw.close_connection = True
        if not raw.server.keeps_connections:
            raw.close_connection = True
        raw.conn.wfile.hold()
        raw.status = _PHRASES.get(status, f"{status} Status".encode())
        raw.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        raw.sent_headers = True
        raw.send_headers()

    def _discard(self) -> bool:
        """Throw away a body that wasn't read, so that the connection is kept.

        :returns: whether it is read now; if not, it is left to the closer.
        """
        remaining = getattr(self._raw.rfile, "remaining", 0)
        if not 0 < remaining <= DISCARD_BYTES:
            return not remaining
        self.end_body_by(time.monotonic() + DISCARD_S)
        try:
            self._raw.rfile.read(remaining)
        except OSError:
            return False
        return True

    def send(self, chunk: bytes) -> None:
        """Send a chunk of the body.

        :raises OSError: when the caller is gone or too slow.
        """
        self._raw.write(chunk)
        self._raw.conn.wfile.release()
        self.bytes_sent += len(chunk)

    def finish(self) -> None:
        """Send what is held back; the answer is whole."""
        self._raw.conn.wfile.release()
        self.finished = True

    def abort(self) -> None:
        """Cut the answer, so that the caller can't take it as whole."""
        self._raw.close_connection = True
        self._raw.chunked_write = False
        self._raw.conn.wfile.release()

    def refuse(
        self,
        refusal: errors.Refusal,
        headers: collections.abc.Sequence[Header] = (),
    ) -> None:
        """Answer with a refusal."""
        fractional = self._raw.server.fractional_retry
        sent = [*headers, *_http.refusal_headers(refusal, fractional)]
        self.answer(refusal.status, sent, _http.refusal_body(refusal))
