"""HTTP server of one address: workers, overload refusals, drain and stop."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import errno
import math
import selectors
import threading
import time
import typing

import cheroot.server as cheroot_server

from chiveroad import errors
from chiveroad import limits
from chiveroad import logs
from chiveroad.serving import _arrival
from chiveroad.serving import _closer
from chiveroad.serving import _framing
from chiveroad.serving import _http
from chiveroad.serving import _request
from chiveroad.serving import _uplink
from chiveroad.serving import _workers

IDLE_TIMEOUT_S: typing.Final = 10
"""How long a persistent connection may be idle; answers tell it to callers."""

EXPIRE_INTERVAL_S: typing.Final = 0.5
"""How often idle connections are expired, which delays a planned stop."""

FIRST_REQUEST_TIMEOUT_S: typing.Final = 1.0
"""How long a new connection may take to send its first request, even while
idle connections are being closed."""

LISTEN_GRACE_S: typing.Final = 0.5
OVERLOADED_RETRY_MS: typing.Final = 1_000

STOP_LIMIT_S: typing.Final = 0.3
"""How long the process's exit waits for the servers; no request is running by
then."""

CLOSED_TOGETHER: typing.Final = 16
"""At the limit of connections a share of them, one in so many, is closed at
once, as the search for the longest idle takes time."""

_BACKLOG: typing.Final = 512
_MAX_KEPT_CONNECTIONS: typing.Final = 4_096
_log = logs.Logger("serving")


class Handler(abc.ABC):
    """Interface of an object that answers a server's requests."""

    @abc.abstractmethod
    def handle(self, request: _request.Request) -> None:
        """Answer one request, or raise a refusal."""


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        server = self.req.server
        if self.req.chunked_read:
            self.req.rfile = _framing.ChunkedBody(self.req.conn.rfile)
        request = _request.Request(self.req)
        server.request_started()
        try:
            server.handler.handle(request)
        except errors.Refusal as refusal:
            _refuse(request, refusal)
        finally:
            server.request_finished()


def _refuse(request: _request.Request, refusal: errors.Refusal) -> None:
    if request.begun:
        request.abort()
        return
    request.refuse(refusal)


class Server(cheroot_server.HTTPServer):
    """A server on one address.

    :param address: ``HOST:PORT``.
    :param threads: how many requests can be processed concurrently.
    :param initial_threads: how many threads are started first; all, if 0.
    :param idle_timeout_s: how long a persistent connection may be idle.
    :param fractional_retry: whether callers accept a ``Retry-After`` with
        fractions of a second.
    :param expire_s: how often connections that have been idle for too long
        are searched for and closed.
    :param uplink: limits the rate of large answers to other instances.
    :param bounds: what clients may hold.
    :raises errors.AddressInUse: from ``open`` when it can't listen.
    """

    ConnectionClass = _http.HttpConnection
    request_queue_size = _BACKLOG
    timeout = IDLE_TIMEOUT_S
    keep_alive_conn_limit = _MAX_KEPT_CONNECTIONS
    shutdown_timeout = 0.05  # type: ignore[assignment]
    """How long a stop waits for workers; no request is running by then."""

    max_request_header_size = _http.MAX_HEAD_BYTES
    _connections: typing.Any

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int,
        initial_threads: int = 0,
        idle_timeout_s: int = IDLE_TIMEOUT_S,
        fractional_retry: bool = False,
        expire_s: float = EXPIRE_INTERVAL_S,
        uplink: _uplink.Uplink | None = None,
        bounds: limits.Bounds | None = None,
    ) -> None:
        self.bounds = bounds or limits.Bounds()
        self.waits: limits.Waits[_http.HttpConnection] = limits.Waits()
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Gateway, minthreads=threads)
        self.requests = _workers.Workers(
            self,
            initial_threads or threads,
            threads,
            self.bounds.terms.waiting_share,
        )
        self.closer = _closer.Closer()
        self.uplink = uplink
        self.handler = handler
        self._idle_timeout_s = idle_timeout_s
        self.timeout = idle_timeout_s
        self.expiration_interval = expire_s
        self.fractional_retry = fractional_retry
        self.keeps_connections = True
        self.head_timeout_s = _http.READ_TIMEOUT_S
        self.others_waiting: collections.abc.Callable[[], int] = lambda: 0
        """Returns how many requests wait for what slow clients hold."""

        self._address = address
        self._running = 0
        self._lingering = 0
        self._connected = 0
        self._count_lock = threading.Lock()

    def open(self) -> None:
        """Bind the address and start serving in the background."""
        try:
            self.prepare()
        except OSError as exc:
            reason = "in use" if _is_in_use(exc) else str(exc)
            raise errors.AddressInUse(f"{self._address}: {reason}") from exc
        threading.Thread(
            target=self.serve, name=f"serve {self._address}", daemon=True
        ).start()

    def prepare(self) -> None:
        """Bind the address, and wait for requests with our own selector."""
        super().prepare()
        self._connections._selector.close()
        selector = self._connections._selector = _arrival.Selector(self)
        selector.register(self.socket.fileno(), selectors.EVENT_READ, self)

    def process_conn(self, conn: _http.HttpConnection) -> None:
        """Queue a connection for a worker, or refuse its request if full.

        A new connection is kept until its request arrives.
        """
        if conn.is_new:
            conn.is_new = False
            if self._has_capacity(conn):
                self._keep_until_request(conn)
            return
        if _arrival.queue_request(self, conn):
            return
        conn.limit_reached(limits.Reason.THREADS)
        self._refuse_unread(conn)

    def _refuse_unread(self, conn: _http.HttpConnection) -> None:
        reason = "all workers are taken"
        conn.refuse_unread(errors.Overloaded(reason, OVERLOADED_RETRY_MS))

    def _has_capacity(self, conn: _http.HttpConnection) -> bool:
        """Make capacity for a new connection, or close it if there is none.

        Connections that linger are closed first, then those without a request
        so far, those that have been idle for longest, and those whose
        requests wait for their clients.
        """
        limit = self.bounds.terms.connections
        if not limit or self._connected <= limit or self.socket is None:
            return True
        conn.limit_reached(limits.Reason.CONNECTIONS)
        count = max(1, limit // CLOSED_TOGETHER)
        closers = self.closer.close_oldest, self._close_idle, self._end_waiting
        if not any(close(count) for close in closers):
            conn.close()
        return conn.is_open

    def _close_idle(self, count: int) -> bool:
        selector = self._connections._selector
        idle = [
            (conn.has_served, conn.last_used, descriptor, conn)
            for descriptor, conn in selector.connections
            if conn is not self
        ]
        idle.sort(key=lambda entry: entry[:2])
        for *_, descriptor, conn in idle[:count]:
            selector.forget(descriptor)
            conn.close()
        return bool(idle)

    def _end_waiting(self, count: int) -> bool:
        queued = self.requests.withdraw_waiting(count)
        for conn in queued:
            conn.may_wait = False
            self._refuse_unread(conn)
        if queued:
            return True
        now_s, min_wait_s = time.monotonic(), self.bounds.terms.min_wait_s
        longest = self.waits.take_longest(count, min_wait_s, now_s)
        for conn in longest:
            conn.waits.give_up()
        return bool(longest)

    def free_threads(self, now_s: float) -> None:
        """End the longest waits for clients while other requests wait."""
        shortage = self.requests.shortage() + self.others_waiting()
        if not shortage:
            return
        min_wait_s = self.bounds.terms.min_wait_s
        for conn in self.waits.take_longest(shortage, min_wait_s, now_s):
            conn.limit_reached(limits.Reason.WAITING)
            conn.waits.give_up()

    def _keep_until_request(self, conn: _http.HttpConnection) -> None:
        self._connections.put(conn)
        # A stop closes idle connections immediately, but this one is new.
        conn.last_used = time.time() + FIRST_REQUEST_TIMEOUT_S

    def limit_heads(self, max_bytes: int, timeout_s: float) -> None:
        """Set the limits of size and time for the heads of requests."""
        self.max_request_header_size = max_bytes
        self.head_timeout_s = timeout_s

    def keep_idle(self, at_least_s: float) -> None:
        """Keep idle connections open for at least some seconds."""
        self.timeout = max(self._idle_timeout_s, math.ceil(at_least_s))

    def may_linger(self) -> bool:
        """Return whether a worker may wait for a connection's next request."""
        occupied_workers = self._running + self._lingering
        return (
            self.keeps_connections
            and occupied_workers < self.requests.max // 2
        )

    @contextlib.contextmanager
    def lingering(self) -> collections.abc.Iterator[None]:
        """Count a worker that waits for its connection's next request."""
        with self._count_lock:
            self._lingering += 1
        try:
            yield
        finally:
            with self._count_lock:
                self._lingering -= 1

    def request_started(self) -> None:
        """Count a request that has started."""
        with self._count_lock:
            self._running += 1

    def request_finished(self) -> None:
        """Count a request that has finished."""
        with self._count_lock:
            self._running -= 1

    def connection_opened(self) -> None:
        """Count a connection that was opened."""
        with self._count_lock:
            self._connected += 1

    def connection_closed(self, conn: _http.HttpConnection) -> bool:
        """Count a closed connection; return False if it was closed before."""
        with self._count_lock:
            was_open, conn.is_open = conn.is_open, False
            self._connected -= was_open
            return was_open

    def drain(
        self,
        limit_s: float,
        grace_s: float = LISTEN_GRACE_S,
        busy_grace_s: float = 0.0,
    ) -> int:
        """Drain the server: stop accepting, and wait until it is closed.

        The parameters are those of ``stop_accepting``.

        :returns: how many requests are still running at the limit.
        """
        deadline_s = time.monotonic() + limit_s
        self.stop_accepting(limit_s, grace_s, busy_grace_s)
        return self.wait_closed(deadline_s - time.monotonic())

    def stop_accepting(
        self, limit_s: float, grace_s: float, busy_grace_s: float = 0.0
    ) -> None:
        """Stop listening after a grace period.

        Every further answer has ``Connection: close``.  An unused persistent
        connection is closed at its idle timeout, as stated to its caller, or
        at the end of the grace period if the limit is shorter than the idle
        timeout.

        :param limit_s: the time until the server is to be closed.
        :param grace_s: for how long new connections are still accepted.
        :param busy_grace_s: for how much longer they are accepted while a
            request is running.  Callers that keep connecting find no listener
            from then until a new process has started.
        """
        self.keeps_connections = False
        deadline_s = time.monotonic() + limit_s
        time.sleep(min(grace_s, limit_s))
        self.wait_idle(min(busy_grace_s, deadline_s - time.monotonic()))
        self._stop_listening()
        if self.timeout > limit_s:
            # The library's thread then expires all idle connections.
            self.timeout = 0

    def wait_closed(self, limit_s: float) -> int:
        """Wait until all connections are closed.

        :returns: how many requests are still running at the limit.
        """
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s and self._connected:
            time.sleep(0.02)
        return self._running

    def wait_idle(self, limit_s: float) -> int:
        """Wait until no request is running; return how many still are."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s and self._running:
            time.sleep(0.02)
        return self._running

    def _stop_listening(self) -> None:
        """Close the listening socket after accepting all pending connections.

        The close resets connections that haven't been accepted.
        """
        listener, self.socket = self.socket, None
        # The library has no method for this.  Its selector must drop the
        # socket before another socket can get the descriptor's number.
        self._connections._selector.unregister(listener.fileno())
        listener.settimeout(0)
        while (
            pending := self._connections._from_server_socket(listener)
        ) is not None:
            self.process_conn(pending)
        listener.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the HTTP library."""
        if traceback:
            _log.exception("HTTP server library reported an error: {}.", msg)
        else:
            _log.debug("HTTP server library: {}.", msg)


def stop_all(
    servers: collections.abc.Iterable[Server],
    limit_s: float = STOP_LIMIT_S,
) -> None:
    """Stop servers concurrently, and abandon those that exceed the limit.

    The library's own stop waits without a limit for a blocked worker.
    """
    deadline_s = time.monotonic() + limit_s
    threads = [
        threading.Thread(target=server.stop, daemon=True) for server in servers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(max(0.0, deadline_s - time.monotonic()))


def _is_in_use(exc: OSError) -> bool:
    return exc.errno == errno.EADDRINUSE or "Address already in use" in str(
        exc
    )
