"""Request parsing and connection handling on top of cheroot.

The subclasses here close what the library leaves open: repeated or odd
framing headers, folded header lines, trailers, and plain-text refusals
without a code.  A connection that has just been used is watched by its own
worker for a moment if its last request came soon after an answer, which saves
two thread hand-overs for each request of a busy connection.
"""

from __future__ import annotations

import http
import math
import re
import socket
import time
import typing

from cheroot import server as cheroot_server
import msgspec

from chiveroad import errors
from chiveroad.serving import _stream
from chiveroad.serving import _uplink

LINGER_MS: typing.Final = 20
MAX_HEAD_BYTES: typing.Final = 32 * 1024

_TOKEN: typing.Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL: typing.Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH: typing.Final = re.compile(rb"[0-9]{1,18}")
_SINGLE: typing.Final = frozenset(
    {
        b"Content-Length",
        b"Content-Type",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"Authorization",
    }
)
_LIST_HEADERS: typing.Final = frozenset(
    cheroot_server.comma_separated_headers  # type: ignore[attr-defined]
)
READ_TIMEOUT_S: typing.Final = 5.0
"""How long a peer may pause within a request or an answer."""

_TOO_LARGE: typing.Final = (413, 414)

CODE_HEADER: typing.Final = "Chiveroad-Code"
RAN_HEADER: typing.Final = "Chiveroad-Ran"


class _Headers(dict[bytes, bytes]):
    """A header table that refuses or joins repeated headers.

    Control characters are refused here, once: what is sent on to others is
    not checked again.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if _CONTROL.search(value):
            raise ValueError("control character in a header")
        if name not in self or name in _LIST_HEADERS - _SINGLE:
            super().__setitem__(name, value)
            return
        if name in _SINGLE:
            raise ValueError(f"repeated header {name.decode('latin-1')}")
        joint = b"; " if name == b"Cookie" else b", "
        super().__setitem__(name, self[name] + joint + value)


class _HeaderReader(cheroot_server.HeaderReader):
    """A reader for one head that refuses folded lines and odd names."""

    def __init__(self) -> None:
        self._named = False

    def __call__(
        self, rfile: typing.Any, hdict: typing.Any = None
    ) -> typing.Any:
        """Read a head's lines into a table."""
        try:
            return super().__call__(rfile, hdict)
        except UnboundLocalError as exc:
            # The library knows no name to continue in the first line.
            raise ValueError("folded first header line") from exc

    def _transform_key(self, key_name: bytes) -> bytes:
        if not _TOKEN.fullmatch(key_name):
            raise ValueError("malformed header name")
        self._named = True
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if not self._named:
            raise ValueError("folded header line")
        self._named = False
        return True


class HttpRequest(cheroot_server.HTTPRequest):
    """A request whose framing can't be read in two ways."""

    def __init__(self, server: typing.Any, conn: typing.Any) -> None:
        super().__init__(server, conn)
        self.inheaders: dict[bytes, bytes] = _Headers()
        self.header_reader = _HeaderReader()
        self._refused = False
        conn.request = self

    @property
    def unread(self) -> bool:
        """Tell whether a part of the request, or of its body, wasn't read."""
        if self._refused:
            return True
        if self.chunked_read:
            return not getattr(self.rfile, "closed", True)
        return getattr(self.rfile, "remaining", 0) > 0

    def parse_request(self) -> None:
        """Read a request's line and head, within a time for both."""
        reader = self.conn.rfile
        reader.end_by(time.monotonic() + self.server.head_timeout_s)
        try:
            super().parse_request()
        finally:
            reader.end_by(None)

    def read_request_headers(self) -> bool:
        """Read the head, and refuse ambiguous framing."""
        if not self._read_head():
            return False
        length = self.inheaders.get(b"Content-Length")
        encoding = self.inheaders.get(b"Transfer-Encoding")
        if length is not None and not _LENGTH.fullmatch(length):
            return self._refuse("malformed Content-Length")
        if encoding is not None and encoding.lower() != b"chunked":
            return self._refuse("unknown Transfer-Encoding")
        if encoding is not None and length is not None:
            return self._refuse("both Content-Length and Transfer-Encoding")
        if encoding is not None and self.response_protocol != "HTTP/1.1":
            return self._refuse("Transfer-Encoding before HTTP/1.1")
        options = self.inheaders.get(b"Connection", b"").lower()
        if b"close" in options or encoding is not None:
            # What follows a chunked body (trailers) is never reused.
            self.close_connection = True
        return True

    def _read_head(self) -> bool:
        read = super().read_request_headers
        return bool(read())  # type: ignore[no-untyped-call]

    def _refuse(self, message: str) -> bool:
        self.simple_response("400 Bad Request", message)
        return False

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that can't be used, with a code, and close."""
        self.close_connection = True
        number = int(str(status)[:3])
        if number == http.HTTPStatus.REQUEST_TIMEOUT:
            if not self.started_request:
                # Nothing was asked, so there is nothing to answer.
                return
        error: type[errors.Refusal] = errors.BadRequest
        if number == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            # The library limits heads only; bodies are limited when read.
            error, number = errors.HeadTooLarge, errors.HeadTooLarge.status
        elif number in _TOO_LARGE:
            error = errors.RequestTooLarge
        elif number == http.HTTPStatus.REQUEST_TIMEOUT:
            error = errors.BodyTimeout
        if number == http.HTTPStatus.INTERNAL_SERVER_ERROR:
            # A handler failed, and nobody knows how far it had come.
            error = errors.OutcomeUnknown
        self._refused = True
        answer = whole_refusal(number, error(msg or str(status)))
        try:
            self.conn.wfile.write(answer)
        except OSError:
            return


class Rhythm:
    """How soon after an answer a connection's next request comes.

    ``busy`` says that it came so soon the last time that it pays for the
    worker to wait for the next one.
    """

    def __init__(self) -> None:
        self.busy = False
        self._answered_s: float | None = None

    def asked(self, now_s: float) -> None:
        """Note that a request has come."""
        if self._answered_s is not None:
            pause_ms = 1000 * (now_s - self._answered_s)
            self.busy = pause_ms <= LINGER_MS

    def answered(self, now_s: float) -> None:
        """Note that it was answered."""
        self._answered_s = now_s


class HttpConnection(cheroot_server.HTTPConnection):
    """A connection that stays with its worker while it is busy."""

    RequestHandlerClass = HttpRequest

    def __init__(
        self, server: typing.Any, sock: socket.socket, _: typing.Any
    ) -> None:
        sock.settimeout(READ_TIMEOUT_S)
        super().__init__(server, sock, _stream.make_file)
        if server.uplink is not None and _uplink.is_remote(sock):
            self.wfile.uplink = server.uplink
        self.request: HttpRequest | None = None
        """The one in hand, or the one that has ended the connection."""

        self._open = True
        self._rhythm = Rhythm()
        self._last_used_s = 0.0
        server.opened()

    @property
    def last_used(self) -> float:
        """When it was last used, as the library sees it.

        The library closes it by this once it has been idle for too long; one
        on which a request has just arrived isn't idle.  The library counts by
        the time of day, which may jump; what is kept here doesn't.
        """
        idle_s = time.monotonic() - self._last_used_s
        if idle_s > self.server.timeout and self.has_arrived():
            return time.time()
        return time.time() - idle_s

    @last_used.setter
    def last_used(self, at_s: float) -> None:
        self._last_used_s = time.monotonic() + at_s - time.time()

    def communicate(self) -> bool:
        """Serve requests until the connection is quiet or over."""
        self._rhythm.asked(time.monotonic())
        while self._serve_one():
            self._rhythm.answered(time.monotonic())
            if self.rfile.has_data():
                continue
            if not (self._rhythm.busy and self.server.may_linger()):
                return True
            with self.server.lingering():
                active = _stream.readable(self.socket, LINGER_MS)
            if not active:
                self._rhythm.busy = False
                return True
        return False

    def has_arrived(self) -> bool:
        """Tell whether a request's first bytes, or the end, have arrived."""
        return self.rfile.has_data() or _stream.readable(self.socket)

    def refuse_unread(self, refusal: errors.Refusal) -> None:
        """Answer a request that has arrived, without reading it."""
        fractional = self.server.fractional_retry
        answer = whole_refusal(refusal.status, refusal, fractional)
        try:
            _stream.send_now(self.socket, answer)
        except OSError:
            self.close()
            return
        self.server.closer.close(self)

    def close(self) -> None:
        """Close the connection, once a peer that still sends has left."""
        ended_by, self.request = self.request, None
        if ended_by is not None and ended_by.unread:
            self.server.closer.close(self)
            return
        if self._open:
            self._open = False
            self.server.closed()
        super().close()

    def _serve_one(self) -> bool:
        kept = bool(super().communicate())  # type: ignore[no-untyped-call]
        if kept:
            self.request = None
        return kept


def whole_refusal(
    status: int, refusal: errors.Refusal, fractional_retry: bool = False
) -> bytes:
    """Return a whole answer that refuses a request and ends a connection."""
    body = refusal_body(refusal)
    headers = [
        *refusal_headers(refusal, fractional_retry),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join([*lines, "", ""])
    return head.encode("latin-1") + body


def refusal_headers(
    refusal: errors.Refusal, fractional_retry: bool = False
) -> list[tuple[str, str]]:
    """Return the headers that tell what a refusal means.

    :param fractional_retry: whether the caller reads fractions of a second;
        others get the next whole one, as the standard has it.
    """
    headers = [
        ("Content-Type", "application/json"),
        (CODE_HEADER, str(refusal.code)),
        (RAN_HEADER, refusal.ran),
    ]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / 1000
        text = f"{seconds:.3f}" if fractional_retry else _ceil(seconds)
        headers.append(("Retry-After", text))
    return headers


def _ceil(seconds: float) -> str:
    return str(math.ceil(seconds))


class _RefusalBody(msgspec.Struct):
    code: int
    message: str
    hint: str
    ran: str
    retry_after_ms: int


def refusal_body(refusal: errors.Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        _RefusalBody(
            refusal.code,
            refusal.reason,
            refusal.hint,
            refusal.ran,
            refusal.retry_after_ms,
        )
    )
