"""Kept connections to one peer, and the checks before one is used again."""

from __future__ import annotations

import http.client
import select
import socket
import threading
import time
import typing

import urllib3.connection
import urllib3.util

from chiveroad import serving

CONNECT_TIMEOUT_S: typing.Final = 0.4
"""An upstream that is nearly full takes its time for a new connection."""

PEER_CONNECT_TIMEOUT_S: typing.Final = 0.2
"""Several round trips between regions; a daemon without power never
answers."""

UNACKNOWLEDGED_MS: typing.Final = 1_500
"""After this long without an acknowledgement the kernel gives a peer up."""

RETIRE_IDLE_S: typing.Final = 4.0
"""A sender retires an idle connection long before the receiver does."""

MAX_IDLE: typing.Final = 64


KEEPALIVE_S: typing.Final = 1
"""The kernel's first probe of a silent peer and the pause between probes."""

_SOCKET_OPTIONS: typing.Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]


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
    and ``idle_limit_s`` is how long it may be idle.
    """

    def __init__(self, host: str, port: int, connect_timeout_s: float) -> None:
        super().__init__(
            host,
            port,
            timeout=connect_timeout_s,
            socket_options=_SOCKET_OPTIONS,
        )
        self._reader: _KeptReader | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = RETIRE_IDLE_S
        self.reusable = True

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        assert self.sock is not None, "report this: connected to nothing"
        self._reader = _KeptReader(self.sock)

    def read_head(self, method: str) -> http.client.HTTPResponse:
        """Read the head of an answer; its body may be read afterwards."""
        assert self._reader is not None, "report this: unopened connection"
        response = http.client.HTTPResponse(
            _Readable(self._reader),  # type: ignore[arg-type]
            method=method,
        )
        response.begin()
        return response

    def silent(self) -> bool:
        """Tell whether nothing has arrived that belongs to no request."""
        if self.sock is None or self._reader is None:
            return False
        if self._reader.has_data():
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return not poll.poll(0)

    def readable(self) -> bool:
        """Tell whether a part of an answer has arrived."""
        return not self.silent()


class Pool:
    """The connections to one peer.

    A connection is handed out to one request at a time and comes back only
    after a whole answer; the last used goes out first, so that the busy ones
    stay warm and the others retire.

    :param address: ``HOST:PORT``.
    ``echoes`` says that the peer has named the request in an answer: one
    that doesn't may be a second answer to an earlier request.

    :param connect_timeout_s: how long opening a connection may take.
    """

    def __init__(
        self, address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self.echoes = False
        self._idle: list[Connection] = []
        self._lock = threading.Lock()

    def take(self) -> Connection:
        """Return a connection that is open and silent.

        :raises OSError: when none could be opened.
        :raises urllib3.exceptions.HTTPError: likewise.
        """
        while kept := self._pop():
            if _usable(kept, time.monotonic()):
                return kept
            kept.close()
        fresh = Connection(self._host, self._port, self._connect_timeout_s)
        fresh.connect()
        return fresh

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose answer was read whole."""
        if not connection.reusable or not connection.silent():
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        with self._lock:
            if len(self._idle) < MAX_IDLE:
                self._idle.append(connection)
                return
        connection.close()

    def retire(self) -> None:
        """Close the connections that have been idle for long."""
        now_s = time.monotonic()
        with self._lock:
            old = [c for c in self._idle if _too_old(c, now_s)]
            self._idle = [c for c in self._idle if c not in old]
        for connection in old:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _pop(self) -> Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None


def _too_old(connection: Connection, now_s: float) -> bool:
    return now_s - connection.idle_since_s > connection.idle_limit_s


def _usable(connection: Connection, now_s: float) -> bool:
    return not _too_old(connection, now_s) and connection.silent()
