"""One listening address, its worker threads, and the request they handle."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import errno
import http
import math
import queue
import socket
import threading
import time
import typing

import cheroot.server as cheroot_server
import cheroot.workers.threadpool as threadpool

from chiveroad import errors
from chiveroad import logs
from chiveroad.serving import _http

IDLE_TIMEOUT_S: typing.Final = 10
"""How long a kept connection may be idle; answers tell it to the peer."""

LISTEN_GRACE_S: typing.Final = 0.5
QUEUE_TIMEOUT_S: typing.Final = 0.001
FULL_RETRY_MS: typing.Final = 1_000
BODY_CHUNK_BYTES: typing.Final = 64 * 1024
DISCARD_BYTES: typing.Final = 1024 * 1024

_BACKLOG: typing.Final = 512
_KEPT_CONNECTIONS: typing.Final = 4_096
_PHRASES: typing.Final = {
    status.value: f"{status.value} {status.phrase}".encode()
    for status in http.HTTPStatus
}
_log = logs.Logger("serving")

Header = tuple[str, str]


class BodyCut(Exception):
    """The caller's body ended before its length."""


class Request:
    """A request as a handler sees it."""

    def __init__(self, raw: typing.Any) -> None:
        self._raw = raw
        self.method: str = raw.method.decode("latin-1")
        self.target: str = raw.uri.decode("latin-1")
        self.path: str = self.target.partition("?")[0]
        self.received_s = time.monotonic()
        self.bytes_sent = 0
        self.begun = False

    @property
    def socket(self) -> socket.socket:
        """Return the caller's connection, to see whether it hung up."""
        found: socket.socket = self._raw.conn.socket
        return found

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
        """Read the whole body.

        :raises errors.RequestTooLarge: when it is over ``limit`` bytes.
        :raises errors.BadRequest: when it ends before its length.
        """
        length = self.content_length
        if length is not None and length > limit:
            raise errors.RequestTooLarge(f"body over {limit} bytes")
        try:
            chunks = list(self._chunks(limit))
        except BodyCut as exc:
            raise errors.BadRequest("the body is shorter than said") from exc
        return b"".join(chunks)

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the body in chunks, for a body too large to hold.

        :raises BodyCut: when it ends before its length.
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
            raise BodyCut(str(exc)) from exc
        length = self.content_length
        if length is not None and total < length:
            raise BodyCut(f"{total} of {length} bytes")

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
        self.finish()

    def start(
        self, status: int, headers: collections.abc.Sequence[Header]
    ) -> None:
        """Begin an answer; without a Content-Length it goes in chunks.

        The head is held back until the first chunk or ``finish``.
        """
        raw = self._raw
        self.begun = True
        if getattr(raw.rfile, "remaining", 0) > DISCARD_BYTES:
            # Less than that the library reads and throws away, so that the
            # answer isn't lost to a reset.
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
        sent = [
            *headers,
            ("Content-Type", "application/json"),
            (_http.CODE_HEADER, str(refusal.code)),
            (_http.RAN_HEADER, refusal.ran),
        ]
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / 1000)
            sent.append(("Retry-After", str(seconds)))
        self.answer(refusal.status, sent, _http.refusal_body(refusal))


class Handler(abc.ABC):
    """What answers the requests of a server."""

    @abc.abstractmethod
    def handle(self, request: Request) -> None:
        """Answer one request; a refusal may be raised instead."""


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        server = self.req.server
        request = Request(self.req)
        server.entered()
        try:
            server.handler.handle(request)
        except errors.Refusal as refusal:
            _refuse(request, refusal)
        finally:
            server.left()


def _refuse(request: Request, refusal: errors.Refusal) -> None:
    if request.begun:
        request.abort()
        return
    request.refuse(refusal)


class Server(cheroot_server.HTTPServer):
    """A server on one address.

    :param address: ``HOST:PORT``.
    :param threads: how many requests can be in hand at once.
    :raises errors.AddressInUse: from ``open`` when it can't listen.
    """

    ConnectionClass = _http.HttpConnection
    request_queue_size = _BACKLOG
    timeout = IDLE_TIMEOUT_S
    keep_alive_conn_limit = _KEPT_CONNECTIONS
    max_request_header_size = _http.MAX_HEAD_BYTES
    _connections: typing.Any

    def __init__(self, address: str, handler: Handler, threads: int) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Gateway, minthreads=threads)
        self.requests = threadpool.ThreadPool(
            self,
            min=threads,
            accepted_queue_size=threads,
            accepted_queue_timeout=QUEUE_TIMEOUT_S,  # type: ignore[arg-type]
        )
        self.handler = handler
        self.keeps_connections = True
        self._address = address
        self._busy = 0
        self._lingering = 0
        self._connected = 0
        self._busy_lock = threading.Lock()

    def open(self) -> None:
        """Bind the address and start serving in the background."""
        try:
            self.prepare()
        except OSError as exc:
            reason = "in use" if _in_use(exc) else str(exc)
            raise errors.AddressInUse(f"{self._address}: {reason}") from exc
        threading.Thread(
            target=self.serve, name=f"serve {self._address}", daemon=True
        ).start()

    def process_conn(self, conn: _http.HttpConnection) -> None:
        """Hand a connection to a worker, or refuse it when all are taken."""
        try:
            self.requests.put(conn)
        except queue.Full:
            full = errors.Overloaded("all workers are taken", FULL_RETRY_MS)
            conn.refuse_unread(full)

    def may_linger(self) -> bool:
        """Tell whether a worker may wait on its own connection."""
        occupied = self._busy + self._lingering
        return self.keeps_connections and occupied < self.requests.min // 2

    @contextlib.contextmanager
    def lingering(self) -> collections.abc.Iterator[None]:
        """Count a worker as waiting on its own connection."""
        with self._busy_lock:
            self._lingering += 1
        try:
            yield
        finally:
            with self._busy_lock:
                self._lingering -= 1

    def entered(self) -> None:
        """Note that a request is in hand."""
        with self._busy_lock:
            self._busy += 1

    def left(self) -> None:
        """Note that a request is done."""
        with self._busy_lock:
            self._busy -= 1

    def opened(self) -> None:
        """Note that a connection was opened."""
        with self._busy_lock:
            self._connected += 1

    def closed(self) -> None:
        """Note that a connection was closed."""
        with self._busy_lock:
            self._connected -= 1

    def drain(self, limit_s: float) -> int:
        """Let callers leave, and wait until the last connection is closed.

        Every answer says ``Connection: close`` from now on, and after a
        grace nobody new is let in.  A kept connection that isn't used again
        ends at its idle timeout, as its caller was told.

        :returns: how many requests are still in hand at the limit.
        """
        self.keeps_connections = False
        end_s = time.monotonic() + limit_s
        time.sleep(min(LISTEN_GRACE_S, limit_s))
        self._stop_listening()
        while time.monotonic() < end_s and self._connected:
            time.sleep(0.02)
        return self._busy

    def _stop_listening(self) -> None:
        """Close the listening socket after taking in all who wait there.

        Closing it resets those who were not taken in yet.
        """
        listener, self.socket = self.socket, None
        # The library has no call for this; its selector must forget the
        # socket before the number can be given to another one.
        self._connections._selector.unregister(listener.fileno())
        listener.settimeout(0)
        while (
            waiting := self._connections._from_server_socket(listener)
        ) is not None:
            self.process_conn(waiting)
        listener.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log what the library has to say."""
        if traceback:
            _log.exception("Unexpected error: {}.", msg)
        else:
            _log.debug("Library message: {}.", msg)


def _in_use(exc: OSError) -> bool:
    return exc.errno == errno.EADDRINUSE or "Address already in use" in str(
        exc
    )
