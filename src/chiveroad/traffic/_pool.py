"""A pool of persistent connections to one peer, with checks before reuse."""

from __future__ import annotations

import select
import socket
import threading
import time
import typing

import urllib3.connection
import urllib3.util

from chiveroad import answers
from chiveroad import connection
from chiveroad import serving

CONNECT_TIMEOUT_S: typing.Final = 0.4
"""A target that is nearly full is slow to accept a connection."""

PEER_CONNECT_TIMEOUT_S: typing.Final = 0.2
"""Several round trips between regions; a daemon without power never accepts
a connection."""

UNACKNOWLEDGED_MS: typing.Final = 1_500
"""After this long without an acknowledgement the kernel closes a
connection."""

RETIRE_IDLE_S: typing.Final = 4.0
"""A sender closes an idle connection long before the receiver does."""

MIN_IDLE_S: typing.Final = 0.25
"""The lowest idle limit, however soon a peer drops idle connections: shorter
pauses occur between the requests of normal traffic."""

DOUBLE_LIMIT_AFTER_S: typing.Final = 30.0
"""How long a lowered idle limit applies before it is doubled."""

MAX_IDLE: typing.Final = 64

KEEPALIVE_S: typing.Final = 1
"""The idle time before the kernel's first keep-alive probe of a peer, and the
interval between probes."""

_SOCKET_OPTIONS: typing.Final[list[connection.SocketOption]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]


_INTERIM: typing.Final = b"HTTP/1.1 1"


class IdleLimit:
    """How long a connection to a peer may be idle before it isn't reused.

    A peer may drop idle connections sooner than it announces, and reset them
    on the next request: the outcome of a request that may run only once is
    then unknown.  So a reused connection that fails without an answer lowers
    the limit to a quarter of the time that it had been idle.  Each
    ``DOUBLE_LIMIT_AFTER_S`` without another such failure doubles the limit.
    """

    def __init__(self) -> None:
        self._limit_s = RETIRE_IDLE_S
        self._lowered_s = 0.0

    def connection_lost(self, idle_s: float, now_s: float) -> None:
        """Lower the limit after a connection failed.

        :param idle_s: how long the connection had been idle.
        """
        if idle_s < MIN_IDLE_S:
            return
        limit_s = min(self.limit_s(now_s), idle_s / 4)
        self._limit_s = max(MIN_IDLE_S, limit_s)
        self._lowered_s = now_s

    def limit_s(self, now_s: float) -> float:
        """Return the current limit, in seconds."""
        doublings = int((now_s - self._lowered_s) / DOUBLE_LIMIT_AFTER_S)
        return min(RETIRE_IDLE_S, self._limit_s * 2.0 ** min(doublings, 8))


class _PersistentReader(serving.Reader):
    """A reader that stays open for all answers on its connection.

    Bytes that follow an answer stay in its buffer, where they are detected.
    """

    def close(self) -> None:
        """Do nothing: the connection closes its socket."""


class _SocketAdapter:
    """The socket interface that ``http.client`` reads a response from."""

    def __init__(self, reader: _PersistentReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _PersistentReader:
        """Return the reader of the connection."""
        return self._reader


class Connection(urllib3.connection.HTTPConnection):
    """A persistent connection for one request after the other.

    ``reusable`` turns False once the connection can't serve another request.
    ``uplink`` paces large bodies; None for no pacing.  ``idle_limit_s`` is
    how long the connection may be idle, and ``idle_before_s`` how long it
    was idle before the current request.
    """

    def __init__(self, host: str, port: int, connect_timeout_s: float) -> None:
        super().__init__(host, port, timeout=connect_timeout_s)
        self._connect_timeout_s = connect_timeout_s
        self._reader: _PersistentReader | None = None
        self._poll = select.poll()
        self.idle_since_s = 0.0
        self.idle_limit_s = RETIRE_IDLE_S
        self.idle_before_s = 0.0
        self.reusable = True
        self.uplink: serving.Uplink | None = None

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        assert self.sock is not None, "report this: connected to nothing"
        self._reader = _PersistentReader(self.sock)
        self._poll.register(self.sock, select.POLLIN)

    def _new_conn(self) -> socket.socket:
        return connection.open_socket(
            self.host, self.port, self._connect_timeout_s, _SOCKET_OPTIONS
        )

    def read_head(
        self, method: str, until_continue: bool = False
    ) -> answers.Response:
        """Read the head of an answer and leave its body unread.

        :param until_continue: whether to return an interim head that asks
            for the request's body.
        """
        assert self._reader is not None, "report this: unopened connection"
        response = answers.Response(
            _SocketAdapter(self._reader), method=method
        )
        response.until_continue = until_continue
        response.begin()
        return response

    def set_read_timeout(self, pause_s: float) -> None:
        """Bound how long the peer may pause within its answer."""
        assert self._reader is not None, "report this: unopened connection"
        self._reader.set_read_timeout(pause_s)

    def set_deadline(self, end_s: float | None) -> None:
        """Set the deadline of all further reads; None lifts it.

        :param end_s: in monotonic seconds.
        """
        assert self._reader is not None, "report this: unopened connection"
        self._reader.set_deadline(end_s)

    def watch_caller(self, caller: socket.socket | None) -> None:
        """End reads from the peer once a caller has disconnected."""
        assert self._reader is not None, "report this: unopened connection"
        self._reader.watch_caller(caller)

    def has_data(self) -> bool:
        """Tell whether the buffer holds bytes that haven't been consumed."""
        return self._reader is not None and self._reader.has_data()

    def no_pending_data(self) -> bool:
        """Tell whether the open connection has no unread data."""
        if self.sock is None or self._reader is None:
            return False
        return not (self._reader.has_data() or self._poll.poll(0))

    def received_unsolicited(self) -> bool:
        """Tell whether the peer of an idle connection has sent data.

        A close of the connection doesn't count.
        """
        if self.sock is None or self.no_pending_data():
            return False
        return self.has_data() or not serving.is_disconnected(self.sock)

    @property
    def reused(self) -> bool:
        """Tell whether the connection has carried an earlier request."""
        return self.idle_since_s > 0.0

    def readable(self) -> bool:
        """Tell whether a part of an answer has arrived."""
        return not self.no_pending_data()

    def fileno(self) -> int:
        """Return the descriptor of the open connection."""
        assert self.sock is not None, "report this: unopened connection"
        return self.sock.fileno()

    def answer_begun(self) -> bool:
        """Tell whether a final answer has begun, or the peer has closed.

        A peer may send interim heads while it reads a body.
        """
        if self._reader is None or not self.readable():
            return False
        begin = self._reader.peek(1)[: len(_INTERIM)]
        return not begin or not _INTERIM.startswith(begin)


class Pool:
    """The connections to one peer.

    A connection serves one request at a time and returns to the pool only
    after a complete answer.  The connection used last is reused first, so
    that busy connections stay warm and the others reach their idle limit.

    ``echoes_ids`` says that the peer has stated the request's id in an
    answer: an answer without an id may then be a second answer to an earlier
    request.  ``trusted`` turns False once the peer has sent unsolicited data.
    If its answers don't state an id either, a second answer can't be told
    from the expected one, and each request gets a connection of its own.
    ``last_body_s`` is when a part of a body last arrived, in monotonic
    seconds.

    :param address: ``HOST:PORT``.
    :param connect_timeout_s: how long opening a connection may take.
    :param uplink: the uplink shared by large bodies to other instances.
    :param echoes_ids: whether the protocol has the peer state ids.
    :param is_daemon: whether the peer is another daemon.  One that has no
        free worker refuses a request without having read its id.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        uplink: serving.Uplink | None = None,
        echoes_ids: bool = False,
        is_daemon: bool = False,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self._uplink = uplink
        self.echoes_ids = echoes_ids
        self.is_daemon = is_daemon
        self.trusted = True
        self.last_body_s = 0.0
        self._limit = IdleLimit()
        self._idle: list[Connection] = []
        self._lock = threading.Lock()

    def acquire(self) -> Connection:
        """Return an open connection without unread data.

        :raises OSError: when no connection could be opened.
        """
        while kept := self._pop():
            now_s = time.monotonic()
            if (
                not self._past_idle_limit(kept, now_s)
                and kept.no_pending_data()
            ):
                kept.idle_before_s = now_s - kept.idle_since_s
                return kept
            self.trusted = self.trusted and not kept.received_unsolicited()
            kept.close()
        fresh = Connection(self._host, self._port, self._connect_timeout_s)
        fresh.connect()
        if self._uplink is not None and serving.is_remote(fresh.sock):
            fresh.uplink = self._uplink
        return fresh

    def release(self, connection: Connection) -> None:
        """Return a connection whose answer was read to its end."""
        connection.set_deadline(None)
        connection.watch_caller(None)
        # Data that arrives from now on is detected by acquire().
        surplus = connection.has_data()
        self.trusted = self.trusted and not surplus
        answers_match = self.trusted or self.echoes_ids
        if surplus or not (answers_match and connection.reusable):
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        with self._lock:
            if len(self._idle) < MAX_IDLE:
                self._idle.append(connection)
                return
        connection.close()

    def connection_lost(self, connection: Connection) -> None:
        """Lower the idle limit after a failure before an answer began."""
        now_s = time.monotonic()
        self._limit.connection_lost(connection.idle_before_s, now_s)

    def retire(self) -> None:
        """Close the connections that are past their idle limit."""
        now_s = time.monotonic()
        with self._lock:
            old = [c for c in self._idle if self._past_idle_limit(c, now_s)]
            self._idle = [c for c in self._idle if c not in old]
        for kept in old:
            kept.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for kept in idle:
            kept.close()

    def _pop(self) -> Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _past_idle_limit(self, connection: Connection, now_s: float) -> bool:
        limit_s = min(connection.idle_limit_s, self._limit.limit_s(now_s))
        return now_s - connection.idle_since_s > limit_s
