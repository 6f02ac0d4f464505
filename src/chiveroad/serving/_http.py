"""Strict request parsing and connection handling on top of cheroot.

The library accepts repeated or malformed framing headers, folded header lines
and trailers, and its error answers are plain text without a code; the
subclasses here change this.  If a connection's last request came soon after
an answer, its worker waits briefly for the next request, which saves two
thread hand-overs for each request of a busy connection.
"""

from __future__ import annotations

import contextlib
import http
import re
import socket
import time
import typing

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server

from chiveroad import errors
from chiveroad import limits
from chiveroad.serving import _arrival
from chiveroad.serving import _client_waits
from chiveroad.serving import _refusals
from chiveroad.serving import _stream
from chiveroad.serving import _uplink

LINGER_MS: typing.Final = 20
MAX_HEAD_BYTES: typing.Final = 32 * 1024

_TOKEN: typing.Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER: typing.Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTENT_LENGTH: typing.Final = re.compile(rb"[0-9]{1,18}")
_SINGLE_VALUE_HEADERS: typing.Final = frozenset(
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
"""How long a peer may pause within a request or while it reads an answer."""

REQUEST_TIMEOUT: typing.Final = "408 Request Timeout"

_TOO_LARGE_STATUSES: typing.Final = (413, 414)


class _Headers(dict[bytes, bytes]):
    """A header table that rejects or joins repeated headers.

    :param max_fields: each field takes far more memory than its bytes, and is
        parsed and forwarded on its own.
    """

    def __init__(self, max_fields: int) -> None:
        super().__init__()
        self._fields_left = max_fields

    def __setitem__(self, name: bytes, value: bytes) -> None:
        self._fields_left -= 1
        if self._fields_left < 0:
            raise cheroot_errors.MaxSizeExceeded
        if name not in self or name in _LIST_HEADERS - _SINGLE_VALUE_HEADERS:
            super().__setitem__(name, value)
            return
        if name in _SINGLE_VALUE_HEADERS:
            raise ValueError(f"repeated header {name.decode('latin-1')}")
        separator = b"; " if name == b"Cookie" else b", "
        super().__setitem__(name, self[name] + separator + value)


class _CheckedLines:
    """The lines of a head, without control characters.

    The library strips some of them from a header's value, as it strips
    blanks.  This is the only check: headers that are forwarded to a target
    are not checked again.
    """

    def __init__(self, source: typing.Any) -> None:
        self._source = source

    def readline(self) -> bytes:
        """Return a line with its line end.

        :raises ValueError: when a control character comes before its end.
        """
        line: bytes = self._source.readline()
        if _CONTROL_CHARACTER.search(line.removesuffix(b"\r\n")):
            raise ValueError("control character in a header")
        return line


class _HeaderReader(cheroot_server.HeaderReader):
    """Reads one head; rejects folded lines and malformed names."""

    def __init__(self) -> None:
        self._name_read = False
        self.expects_continue = False

    def __call__(
        self, rfile: typing.Any, hdict: typing.Any = None
    ) -> typing.Any:
        """Read the lines of a head into a header table."""
        try:
            found = super().__call__(_CheckedLines(rfile), hdict)
        except UnboundLocalError as exc:
            # In the first line the library has no header to continue.
            raise ValueError("folded first header line") from exc
        # The library would ask for the body at once, before the request is
        # admitted.
        expected = found.pop(b"Expect", b"")
        self.expects_continue = expected.lower() == b"100-continue"
        return found

    def _transform_key(self, key_name: bytes) -> bytes:
        if not _TOKEN.fullmatch(key_name):
            raise ValueError("malformed header name")
        self._name_read = True
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if not self._name_read:
            raise ValueError("folded header line")
        self._name_read = False
        return True


class HttpRequest(cheroot_server.HTTPRequest):
    """A request parser that rejects ambiguous framing."""

    def __init__(self, server: typing.Any, conn: typing.Any) -> None:
        super().__init__(server, conn)
        self.inheaders: dict[bytes, bytes] = _Headers(
            server.bounds.terms.fields
        )
        self.header_reader = _HeaderReader()
        self._refused = False
        conn.request = self

    @property
    def unread(self) -> bool:
        """Return whether part of the request or its body is unread."""
        if self._refused:
            return True
        if self.chunked_read:
            return not getattr(self.rfile, "closed", True)
        return getattr(self.rfile, "remaining", 0) > 0

    @property
    def awaits_continue(self) -> bool:
        """Return whether the peer waits to be asked for its body."""
        return self.header_reader.expects_continue and self.unread

    def send_continue(self) -> None:
        """Ask for the body, if the peer waits for that."""
        expects = self.header_reader.expects_continue
        self.header_reader.expects_continue = False
        if expects and self.response_protocol == "HTTP/1.1":
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def parse_request(self) -> None:
        """Read the request line and head, within one timeout for both."""
        reader = self.conn.rfile
        due_s = self.conn.arrival.head_due_s
        if due_s is None:
            due_s = time.monotonic() + self.server.head_timeout_s
        reader.set_deadline(due_s)
        try:
            super().parse_request()
        except TimeoutError:
            self.simple_response(REQUEST_TIMEOUT, "the head came too slowly")
        finally:
            reader.set_deadline(None)

    def read_request_headers(self) -> bool:
        """Read the head, and reject ambiguous framing."""
        if not self._read_head():
            return False
        if not _TOKEN.fullmatch(self.method):
            return self._refuse("malformed method")
        length = self.inheaders.get(b"Content-Length")
        encoding = self.inheaders.get(b"Transfer-Encoding")
        if length is not None and not _CONTENT_LENGTH.fullmatch(length):
            return self._refuse("malformed Content-Length")
        if encoding is not None and encoding.lower() != b"chunked":
            return self._refuse("unknown Transfer-Encoding")
        if encoding is not None and length is not None:
            return self._refuse("both Content-Length and Transfer-Encoding")
        if encoding is not None and self.response_protocol != "HTTP/1.1":
            return self._refuse("Transfer-Encoding before HTTP/1.1")
        connection_options = self.inheaders.get(b"Connection", b"").lower()
        if b"close" in connection_options or encoding is not None:
            # Trailers of a chunked body must not be read as a request.
            self.close_connection = True
        return True

    def _read_head(self) -> bool:
        read = super().read_request_headers
        return bool(read())  # type: ignore[no-untyped-call]

    def _refuse(self, message: str) -> bool:
        self.simple_response("400 Bad Request", message)
        return False

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer an invalid request with an error code, and close."""
        self.close_connection = True
        status_code = int(str(status)[:3])
        if status_code == http.HTTPStatus.REQUEST_TIMEOUT:
            if not self.started_request:
                # No request has begun, so there is nothing to answer.
                return
        error: type[errors.Refusal] = errors.BadRequest
        if status_code == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            # The library limits heads only; bodies are limited when read.
            error, status_code = (
                errors.HeadTooLarge,
                errors.HeadTooLarge.status,
            )
            self._count_fields()
        elif status_code in _TOO_LARGE_STATUSES:
            error = errors.RequestTooLarge
        elif status_code == http.HTTPStatus.REQUEST_TIMEOUT:
            error = errors.BodyTimeout
        if status_code == http.HTTPStatus.INTERNAL_SERVER_ERROR:
            # A handler failed; the request may have been executed.
            error = errors.OutcomeUnknown
        self._refused = True
        answer = _refusals.refusal_answer(
            status_code, error(msg or str(status))
        )
        try:
            self.conn.wfile.write(answer)
        except OSError:
            return

    def _count_fields(self) -> None:
        if len(self.inheaders) >= self.server.bounds.terms.fields:
            self.conn.limit_reached(limits.Reason.FIELDS)


class PauseTracker:
    """Measures the pauses between an answer and the next request.

    ``busy`` says that the last pause was at most ``LINGER_MS``, so that the
    connection's worker should wait for the next request.
    """

    def __init__(self) -> None:
        self.busy = False
        self._answered_s: float | None = None

    def request_arrived(self, now_s: float) -> None:
        """Record that a request has arrived."""
        if self._answered_s is not None:
            pause_ms = 1000 * (now_s - self._answered_s)
            self.busy = pause_ms <= LINGER_MS

    def request_answered(self, now_s: float) -> None:
        """Record that the request was answered."""
        self._answered_s = now_s


class HttpConnection(cheroot_server.HTTPConnection):
    """A connection that keeps its worker while it is busy."""

    RequestHandlerClass = HttpRequest

    def __init__(
        self, server: typing.Any, sock: socket.socket, _: typing.Any
    ) -> None:
        sock.settimeout(READ_TIMEOUT_S)
        super().__init__(server, sock, _stream.make_file)
        if server.uplink is not None and _uplink.is_remote(sock):
            self.wfile.uplink = server.uplink
        self.arrival = _arrival.Arrival(sock)
        self.may_wait = False
        """Whether the current request is counted as one that may wait."""

        self.is_new = True
        self.has_served = False
        self.waits = _client_waits.ClientWaits(self, server.waits)
        self.rfile.record_waits(self.waits)
        self.wfile.waits = self.waits
        self.request: HttpRequest | None = None
        """The current request, or the one that ended the connection."""

        self.is_open = True
        self._pauses = PauseTracker()
        self._last_used_s = 0.0
        server.connection_opened()

    @property
    def last_used(self) -> float:
        """Time of the last use, in seconds of the library's wall clock.

        The library closes connections that have been idle for too long by
        this time.  A connection on which a request has just arrived isn't
        idle.  The wall clock may jump, so the time is stored as monotonic.
        """
        idle_s = time.monotonic() - self._last_used_s
        if idle_s > self.server.timeout and self.has_arrived():
            return time.time()
        return time.time() - idle_s

    @last_used.setter
    def last_used(self, at_s: float) -> None:
        self._last_used_s = time.monotonic() + at_s - time.time()

    def communicate(self) -> bool:
        """Serve requests until the connection is idle or has to be closed.

        :returns: whether the connection stays open.
        """
        try:
            return self._communicate()
        finally:
            self._end_waiting()

    def _communicate(self) -> bool:
        self._pauses.request_arrived(time.monotonic())
        while self._are_answers_taken() and self._serve_request():
            self.has_served = True
            self._pauses.request_answered(time.monotonic())
            if self.rfile.has_data():
                if not self._may_continue():
                    return True
                continue
            self._end_waiting()
            if not (self._pauses.busy and self.server.may_linger()):
                return True
            with self.server.lingering():
                arrived = _stream.readable(self.socket, LINGER_MS)
            if not arrived:
                self._pauses.busy = False
                return True
            if not self.arrival.is_whole(self.server.max_request_header_size):
                return True
        return False

    def _are_answers_taken(self) -> bool:
        """Wait until the peer has taken the answers; False if it doesn't.

        Only peers that send requests ahead may have left some unread.
        """
        if not self.may_wait:
            return True
        try:
            self.waits.until_taken(self.socket)
        except OSError:
            return False
        return True

    def _may_continue(self) -> bool:
        """Return whether to go on with a request that was sent ahead.

        Other requests go first, and the answer before must have been taken.
        """
        requests = self.server.requests
        if self.may_wait:
            if requests.queued():
                return False
        elif not requests.begin_waiting():
            return False
        self.may_wait = True
        return True

    def _end_waiting(self) -> None:
        if self.may_wait:
            self.may_wait = False
            self.server.requests.end_waiting()

    def has_arrived(self) -> bool:
        """Return whether bytes, or the peer's close, have arrived."""
        return (
            self.arrival.partial
            or self.rfile.has_data()
            or _stream.readable(self.socket)
        )

    def limit_reached(self, reason: limits.Reason) -> None:
        """Record that the peer has reached a limit."""
        peer = str(self.remote_addr or "")
        self.server.bounds.account.reached(reason, peer)

    def refuse_unread(self, refusal: errors.Refusal) -> None:
        """Reject a request that has arrived, without reading it."""
        fractional = self.server.fractional_retry
        answer = _refusals.refusal_answer(refusal.status, refusal, fractional)
        try:
            _stream.send_now(self.socket, answer)
        except OSError:
            self.close()
            return
        self.server.closer.close(self)

    def close(self) -> None:
        """Close the connection; linger if the request wasn't fully read."""
        last_request, self.request = self.request, None
        if last_request is not None and last_request.unread:
            self.server.closer.close(self)
            return
        # The thread that accepts connections may close lingering ones, too.
        if self.server.connection_closed(self):
            with contextlib.suppress(OSError):
                super().close()

    def _serve_request(self) -> bool:
        self.waits.begin_request()
        is_open = bool(super().communicate())  # type: ignore[no-untyped-call]
        self.arrival.begin()
        if is_open:
            self.request = None
        return is_open
