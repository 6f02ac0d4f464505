"""Kept connections to one peer, and the checks before one is used again."""

from __future__ import annotations

import select
import socket
import threading
import time
import typing

import urllib3.connection
import urllib3.util

from chiveroad import connection
from chiveroad import serving
from chiveroad.traffic import _answer

CONNECT_TIMEOUT_S: typing.Final = 0.4
"""A target that is nearly full takes its time for a new connection."""

PEER_CONNECT_TIMEOUT_S: typing.Final = 0.2
"""Several round trips between regions; a daemon without power never
answers."""

UNACKNOWLEDGED_MS: typing.Final = 1_500
"""After this long without an acknowledgement the kernel gives a peer up."""

RETIRE_IDLE_S: typing.Final = 4.0
"""A sender retires an idle connection long before the receiver does."""

MIN_IDLE_S: typing.Final = 0.25
"""However soon a peer forgets connections, one is kept for this long: pauses
shorter than it are the rhythm of the work itself."""

DOUBLE_LIMIT_AFTER_S: typing.Final = 30.0
"""How long a peer's shorter patience is gone by before it is tried again."""

MAX_IDLE: typing.Final = 64

KEEPALIVE_S: typing.Final = 1
"""The kernel's first probe of a silent peer and the pause between probes."""

_SOCKET_OPTIONS: typing.Final[list[connection.SocketOption]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]


class IdleLimit:
    """How long a connection to a peer may be idle and be used again.

    A peer may forget idle connections sooner than it says, and reset what is
    sent next: a request that may run once is then unknown.  So a kept
    connection that fails without an answer lowers the limit to a quarter of
    the time that it had been idle, and each
    ``DOUBLE_LIMIT_AFTER_S`` without another doubles it.
    """

    def __init__(self) -> None:
        self._limit_s = RETIRE_IDLE_S
        self._learnt_s = 0.0

    def connection_lost(self, idle_s: float, now_s: float) -> None:
        """Take in that a connection failed that had been idle so long."""
        if idle_s < MIN_IDLE_S:
            return
        limit_s = min(self.limit_s(now_s), idle_s / 4)
        self._limit_s = max(MIN_IDLE_S, limit_s)
        self._learnt_s = now_s

    def limit_s(self, now_s: float) -> float:
        """Return the limit as it is now."""
        doublings = int((now_s - self._learnt_s) / DOUBLE_LIMIT_AFTER_S)
        return min(RETIRE_IDLE_S, self._limit_s * 2.0 ** min(doublings, 8))


class _KeptReader(serving.Reader):
    """A reader that outlives the answers read from it.

    Bytes that follow an answer stay in its buffer, where they are seen.
    """

    def close(self) -> None:
        """Do nothing: the connection closes its socket."""


class _Readable:
    """What an answer takes for its socket."""

    def __init__(self, reader: _KeptReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _KeptReader:
        """Return the connection's one reader."""
        return self._reader


class Connection(urllib3.connection.HTTPConnection):
    """A connection that carries one request after the other.

    ``reusable`` turns False once the connection can't serve another request,
    ``uplink`` is what paces large bodies, if anything does,
    ``idle_limit_s`` is how long it may be idle, and ``rested_s`` for how long
    it was idle before the present request.
    """

    def __init__(self, host: str, port: int, connect_timeout_s: float) -> None:
        super().__init__(host, port, timeout=connect_timeout_s)
        self._connect_timeout_s = connect_timeout_s
        self._reader: _KeptReader | None = None
        self._poll = select.poll()
        self.idle_since_s = 0.0
        self.idle_limit_s = RETIRE_IDLE_S
        self.rested_s = 0.0
        self.reusable = True
        self.uplink: serving.Uplink | None = None

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        assert self.sock is not None, "report this: connected to nothing"
        self._reader = _KeptReader(self.sock)
        self._poll.register(self.sock, select.POLLIN)

    def _new_conn(self) -> socket.socket:
        return connection.open_socket(
            self.host, self.port, self._connect_timeout_s, _SOCKET_OPTIONS
        )

    def read_head(self, method: str) -> _answer.Response:
        """Read the head of an answer; its body may be read afterwards."""
        assert self._reader is not None, "report this: unopened connection"
        response = _answer.Response(_Readable(self._reader), method)
        response.begin()
        return response

    def pause_at_most(self, pause_s: float) -> None:
        """Bound how long the peer may pause within its answer."""
        assert self._reader is not None, "report this: unopened connection"
        self._reader.pause_at_most(pause_s)

    def end_by(self, end_s: float | None) -> None:
        """Bound all reading from now on; None lifts the bound.

        :param end_s: in monotonic seconds.
        """
        assert self._reader is not None, "report this: unopened connection"
        self._reader.end_by(end_s)

    def read_for(self, caller: socket.socket | None) -> None:
        """End waiting for the peer once a caller has hung up."""
        assert self._reader is not None, "report this: unopened connection"
        self._reader.read_for(caller)

    def has_data(self) -> bool:
        """Tell whether bytes were read that belong to no answer yet."""
        return self._reader is not None and self._reader.has_data()

    def silent(self) -> bool:
        """Tell whether nothing has arrived that belongs to no request."""
        if self.sock is None or self._reader is None:
            return False
        return not (self._reader.has_data() or self._poll.poll(0))

    def spoke(self) -> bool:
        """Tell whether an idle peer has sent anything but its end."""
        if self.sock is None or self.silent():
            return False
        return self.has_data() or not serving.is_disconnected(self.sock)

    def readable(self) -> bool:
        """Tell whether a part of an answer has arrived."""
        return not self.silent()


class Pool:
    """The connections to one peer.

    A connection is handed out to one request at a time and comes back only
    after a whole answer; the last used goes out first, so that the busy ones
    stay warm and the others retire.

    :param address: ``HOST:PORT``.
    ``echoes_ids`` says that the peer has named the request in an answer: one
    that doesn't may be a second answer to an earlier request.  ``trusted``
    turns False once the peer has spoken without being asked: if its answers
    name no requests, nothing tells the next second answer from the one
    awaited, and each request gets a connection of its own.  ``last_body_s`` is
    when a part of a body last came, in monotonic seconds.

    :param connect_timeout_s: how long opening a connection may take.
    :param uplink: the link that large bodies to another instance share.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        uplink: serving.Uplink | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self._uplink = uplink
        self.echoes_ids = False
        self.trusted = True
        self.last_body_s = 0.0
        self._limit = IdleLimit()
        self._idle: list[Connection] = []
        self._lock = threading.Lock()

    def acquire(self) -> Connection:
        """Return a connection that is open and silent.

        :raises OSError: when none could be opened.
        """
        while kept := self._pop():
            now_s = time.monotonic()
            if not self._too_old(kept, now_s) and kept.silent():
                kept.rested_s = now_s - kept.idle_since_s
                return kept
            self.trusted = self.trusted and not kept.spoke()
            kept.close()
        fresh = Connection(self._host, self._port, self._connect_timeout_s)
        fresh.connect()
        if self._uplink is not None and serving.is_remote(fresh.sock):
            fresh.uplink = self._uplink
        return fresh

    def release(self, connection: Connection) -> None:
        """Keep a connection whose answer was read whole."""
        connection.end_by(None)
        connection.read_for(None)
        # What arrives from now on is seen before the next request.
        more = connection.has_data()
        self.trusted = self.trusted and not more
        known = self.trusted or self.echoes_ids
        if more or not (known and connection.reusable):
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        with self._lock:
            if len(self._idle) < MAX_IDLE:
                self._idle.append(connection)
                return
        connection.close()

    def connection_lost(self, connection: Connection) -> None:
        """Learn from a connection that failed before an answer began."""
        now_s = time.monotonic()
        self._limit.connection_lost(connection.rested_s, now_s)

    def retire(self) -> None:
        """Close the connections that have been idle for long."""
        now_s = time.monotonic()
        with self._lock:
            old = [c for c in self._idle if self._too_old(c, now_s)]
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

    def _too_old(self, connection: Connection, now_s: float) -> bool:
        limit_s = min(connection.idle_limit_s, self._limit.limit_s(now_s))
        return now_s - connection.idle_since_s > limit_s
