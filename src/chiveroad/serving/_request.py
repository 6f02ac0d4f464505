"""The request interface for handlers: reads the body, sends the answer."""

from __future__ import annotations

import collections.abc
import http
import socket
import time
import typing

from chiveroad import errors
from chiveroad import limits
from chiveroad.serving import _refusals
from chiveroad.serving import _stream

BODY_CHUNK_BYTES: typing.Final = 64 * 1024
STREAM_CHUNK_BYTES: typing.Final = 16 * 1024
"""A part of a body that is passed on: it is sent only once it is complete."""

MAX_DISCARD_BYTES: typing.Final = 1024 * 1024
DISCARD_BYTES: typing.Final = 16 * 1024
DISCARD_TIMEOUT_S: typing.Final = 0.2
"""How long an answer is delayed to discard a body that wasn't read."""

BODY_S: typing.Final = 10.0
"""How long the body of a request to the daemon itself may take; the limit of
an answer is as long."""

COPIES: typing.Final = 2
"""How often a body is in memory while its last bytes are read."""

BODY_MEMORY_RETRY_MS: typing.Final = 1_000

_PHRASES: typing.Final = {
    status.value: f"{status.value} {status.phrase}".encode()
    for status in http.HTTPStatus
}

Header = tuple[str, str]


class BodyTruncated(Exception):
    """The caller's body ended before its stated length, or was malformed."""


class Request:
    """A request and its answer, as handlers use them.

    ``begun`` says that the head of the answer was sent or is held back, and
    ``finished`` that the answer is complete.
    """

    def __init__(self, raw: typing.Any) -> None:
        self._raw = raw
        self.method: str = raw.method.decode("latin-1")
        self.uri: str = raw.uri.decode("latin-1")
        self.path: str = self.uri.partition("?")[0]
        began_s = raw.conn.arrival.body_since_s
        self.received_s = time.monotonic() if began_s is None else began_s
        self.bytes_sent = 0
        self.begun = False
        self.finished = False

    @property
    def socket(self) -> socket.socket:
        """Return the caller's socket, to detect that it disconnects."""
        sock: socket.socket = self._raw.conn.socket
        return sock

    @property
    def peer_host(self) -> str:
        """Return the caller's IP address."""
        return str(self._raw.conn.remote_addr or "")

    @property
    def content_length(self) -> int | None:
        """Return the body's length in bytes, or None if it is chunked."""
        if self._raw.chunked_read:
            return None
        return int(self._raw.inheaders.get(b"Content-Length", b"0"))

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header; the name is in Title-Case."""
        value = self._raw.inheaders.get(name.encode("latin-1"))
        return default if value is None else value.decode("latin-1")

    def headers(self) -> collections.abc.Iterator[Header]:
        """Yield the headers; repeated headers are joined."""
        for name, value in self._raw.inheaders.items():
            yield name.decode("latin-1"), value.decode("latin-1")

    def read_body(self, limit: int) -> bytes:
        """Read the whole body of a request to the daemon itself.

        :raises errors.RequestTooLarge: when the body is over ``limit`` bytes.
        :raises errors.BadRequest: when the body is truncated or malformed.
        :raises errors.BodyTimeout: when the body arrives too slowly.
        :raises errors.Overloaded: when the bodies that are being read need
            more memory than they may take.
        """
        length = self.content_length
        budget = self._raw.server.bounds.budget
        if budget is not None:
            limit = min(limit, budget.limit_bytes // COPIES)
        if length is not None and length > limit:
            raise errors.RequestTooLarge(f"body over {limit} bytes")
        self.set_body_deadline(self.received_s + BODY_S)
        try:
            return self._read_within_budget(limit)
        except BodyTruncated as exc:
            if isinstance(exc.__cause__, TimeoutError):
                raise errors.BodyTimeout("the body came too slowly") from exc
            raise errors.BadRequest("the body is shorter than said") from exc

    def _read_within_budget(self, limit: int) -> bytes:
        body = bytearray()
        with limits.Reservation(self._raw.server.bounds.budget) as memory:
            self._reserve(memory, self.content_length or 0)
            for chunk in self._chunks(limit):
                if self.content_length is None:
                    self._reserve(memory, len(chunk))
                body += chunk
            return bytes(body)

    def _reserve(self, memory: limits.Reservation, count: int) -> None:
        if memory.grow(COPIES * count):
            return
        self._raw.conn.limit_reached(limits.Reason.BODY_MEMORY)
        raise errors.Overloaded(
            "the bodies of requests take too much memory",
            BODY_MEMORY_RETRY_MS,
        )

    def set_body_deadline(self, end_s: float) -> None:
        """Set the deadline for reading the body, in monotonic seconds."""
        self._raw.conn.rfile.set_deadline(end_s)

    @property
    def awaits_continue(self) -> bool:
        """Return whether the caller waits to be asked for its body."""
        return bool(self._raw.awaits_continue)

    @property
    def interrupt(self) -> _stream.Interrupt | None:
        """Return what ends waits for the body, or None."""
        interrupt: _stream.Interrupt | None = self._raw.conn.rfile.interrupt
        return interrupt

    @interrupt.setter
    def interrupt(self, interrupt: _stream.Interrupt | None) -> None:
        self._raw.conn.rfile.interrupt = interrupt

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the body in chunks, without keeping it in memory.

        :raises BodyTruncated: when the body is truncated or malformed.
        """
        yield from self._chunks(None, STREAM_CHUNK_BYTES)

    def _chunks(
        self, limit: int | None, chunk_bytes: int = BODY_CHUNK_BYTES
    ) -> collections.abc.Iterator[bytes]:
        total = 0
        try:
            if self.content_length != 0:
                self._raw.send_continue()
            while chunk := self._raw.rfile.read(chunk_bytes):
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
        """Send a complete answer."""
        self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if self.method != "HEAD":
            self._raw.write(body)
            self.bytes_sent += len(body)
        self.finish()

    def start(
        self, status: int, headers: collections.abc.Sequence[Header]
    ) -> None:
        """Start an answer; without a Content-Length its body is chunked.

        The head is held back until the first ``send`` or ``finish``.
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
        """Discard a short unread body, so that the connection can be reused.

        :returns: whether the body is read; if not, the closer discards it.
        """
        if self._raw.awaits_continue:
            # The peer may send its body or not, so the next bytes can't be
            # told from a request.
            return False
        remaining = getattr(self._raw.rfile, "remaining", 0)
        if not 0 < remaining <= MAX_DISCARD_BYTES:
            return not remaining
        self.set_body_deadline(time.monotonic() + DISCARD_TIMEOUT_S)
        try:
            # Read as a whole, such bodies took 1 MB for each thread.
            while self._raw.rfile.read(DISCARD_BYTES):
                pass
        except OSError:
            return False
        return not self._raw.rfile.remaining

    def send(self, chunk: bytes) -> None:
        """Send a chunk of the body.

        :raises OSError: when the caller has disconnected or is too slow.
        """
        self._raw.write(chunk)
        self._raw.conn.wfile.release()
        self.bytes_sent += len(chunk)

    def finish(self) -> None:
        """Send bytes that are held back, and mark the answer as complete."""
        self._raw.conn.wfile.release()
        self.finished = True

    def abort(self) -> None:
        """Truncate the answer, so that the caller sees it as incomplete."""
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
        all_headers = [
            *headers,
            *_refusals.refusal_headers(refusal, fractional),
        ]
        self.answer(
            refusal.status, all_headers, _refusals.refusal_body(refusal)
        )
