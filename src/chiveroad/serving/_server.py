"""One listening address, its worker threads, and the request they handle."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import errno
import queue
import threading
import time
import typing

import cheroot.server as cheroot_server

from chiveroad import errors
from chiveroad import logs
from chiveroad.serving import _closer
from chiveroad.serving import _framing
from chiveroad.serving import _http
from chiveroad.serving import _request
from chiveroad.serving import _uplink
from chiveroad.serving import _workers

IDLE_TIMEOUT_S: typing.Final = 10
"""How long a kept connection may be idle; answers tell it to the peer."""

EXPIRE_S: typing.Final = 0.5
"""A planned stop waits this long for the connections that nobody uses."""

FIRST_REQUEST_S: typing.Final = 1.0
"""How long a new connection may take to ask, whatever ends idle ones."""

LISTEN_GRACE_S: typing.Final = 0.5
FULL_RETRY_MS: typing.Final = 1_000

STOP_LIMIT_S: typing.Final = 0.3
"""How long the end waits for the servers; no request is in hand by then."""

_BACKLOG: typing.Final = 512
_KEPT_CONNECTIONS: typing.Final = 4_096
_log = logs.Logger("serving")


class Handler(abc.ABC):
    """What answers the requests of a server."""

    @abc.abstractmethod
    def handle(self, request: _request.Request) -> None:
        """Answer one request; a refusal may be raised instead."""


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        server = self.req.server
        if self.req.chunked_read:
            self.req.rfile = _framing.ChunkedBody(self.req.conn.rfile)
        request = _request.Request(self.req)
        server.entered()
        try:
            server.handler.handle(request)
        except errors.Refusal as refusal:
            _refuse(request, refusal)
        finally:
            server.left()


def _refuse(request: _request.Request, refusal: errors.Refusal) -> None:
    if request.begun:
        request.abort()
        return
    request.refuse(refusal)


class Server(cheroot_server.HTTPServer):
    """A server on one address.

    :param address: ``HOST:PORT``.
    :param threads: how many requests can be in hand at once.
    :param few_threads: how many threads to begin with; all, if 0.
    :param idle_timeout_s: how long a kept connection may be idle.
    :param fractional_retry: whether peers read a ``Retry-After`` with
        fractions of a second.
    :param expire_s: how often connections that have been idle for too long
        are looked for.
    :param uplink: the link that large answers to other instances share.
    :raises errors.AddressInUse: from ``open`` when it can't listen.
    """

    ConnectionClass = _http.HttpConnection
    request_queue_size = _BACKLOG
    timeout = IDLE_TIMEOUT_S
    keep_alive_conn_limit = _KEPT_CONNECTIONS
    shutdown_timeout = 0.05  # type: ignore[assignment]
    """How long a stop waits for workers; no request is in hand by then."""

    max_request_header_size = _http.MAX_HEAD_BYTES
    _connections: typing.Any

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int,
        few_threads: int = 0,
        idle_timeout_s: int = IDLE_TIMEOUT_S,
        fractional_retry: bool = False,
        expire_s: float = EXPIRE_S,
        uplink: _uplink.Uplink | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Gateway, minthreads=threads)
        self.requests = _workers.Workers(self, few_threads or threads, threads)
        self.closer = _closer.Closer()
        self.uplink = uplink
        self.handler = handler
        self.timeout = idle_timeout_s
        self.expiration_interval = expire_s
        self.fractional_retry = fractional_retry
        self.keeps_connections = True
        self.head_timeout_s = _http.READ_TIMEOUT_S
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
        """Hand a connection to a worker, or refuse it when all are taken.

        A connection is often accepted before its request has arrived: one
        that asks nothing yet is refused nothing, it is kept until it does.
        """
        try:
            self.requests.put(conn)
        except queue.Full:
            if not conn.has_arrived():
                self._keep_until_asked(conn)
                return
            full = errors.Overloaded("all workers are taken", FULL_RETRY_MS)
            conn.refuse_unread(full)

    def _keep_until_asked(self, conn: _http.HttpConnection) -> None:
        self._connections.put(conn)
        # A stop ends idle connections at once, but this one has just begun.
        conn.last_used = time.time() + FIRST_REQUEST_S

    def limit_heads(self, max_bytes: int, timeout_s: float) -> None:
        """Bound the heads of requests, and how long they may take."""
        self.max_request_header_size = max_bytes
        self.head_timeout_s = timeout_s

    def may_linger(self) -> bool:
        """Tell whether a worker may wait on its own connection."""
        occupied = self._busy + self._lingering
        return self.keeps_connections and occupied < self.requests.max // 2

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

    def drain(
        self,
        limit_s: float,
        grace_s: float = LISTEN_GRACE_S,
        busy_grace_s: float = 0.0,
    ) -> int:
        """Let callers leave, and wait until the last connection is closed.

        Every answer says ``Connection: close`` from now on, and after a
        grace nobody new is let in.  A kept connection that isn't used again
        ends at its idle timeout, as its caller was told, or at the end of
        the grace where the limit comes before that.

        :param grace_s: for how long new callers are still let in.
        :param busy_grace_s: for how much longer they are while a request is
            in hand: where callers keep coming, the time until the process
            has ended is the time for which nobody is there.
        :returns: how many requests are still in hand at the limit.
        """
        self.keeps_connections = False
        end_s = time.monotonic() + limit_s
        time.sleep(min(grace_s, limit_s))
        self.wait_idle(min(busy_grace_s, end_s - time.monotonic()))
        self._stop_listening()
        if self.timeout > limit_s:
            # The thread that owns idle connections expires them all.
            self.timeout = 0
        while time.monotonic() < end_s and self._connected:
            time.sleep(0.02)
        return self._busy

    def wait_idle(self, limit_s: float) -> int:
        """Wait until no request is in hand; return how many are at the end."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s and self._busy:
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


def stop_all(
    servers: collections.abc.Iterable[Server],
    limit_s: float = STOP_LIMIT_S,
) -> None:
    """Stop servers side by side, and leave those that take longer behind.

    The library waits without a limit for a worker that doesn't come back.
    """
    end_s = time.monotonic() + limit_s
    threads = [
        threading.Thread(target=server.stop, daemon=True) for server in servers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(max(0.0, end_s - time.monotonic()))


def _in_use(exc: OSError) -> bool:
    return exc.errno == errno.EADDRINUSE or "Address already in use" in str(
        exc
    )
