"""Kept connections to one peer, and the checks before one is used again."""

from __future__ import annotations

import select
import threading
import time
import typing

import urllib3.connection
import urllib3.util

CONNECT_TIMEOUT_S: typing.Final = 0.5

RETIRE_IDLE_S: typing.Final = 4.0
"""A sender retires an idle connection long before the receiver does."""

MAX_IDLE: typing.Final = 64


class Connection(urllib3.connection.HTTPConnection):
    """A connection that sends a head and a small body in one call."""

    idle_since_s = 0.0

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_S)
        self._held: list[bytes] | None = None

    def hold(self) -> None:
        """Gather what is sent from now on."""
        self._held = []

    def release(self) -> None:
        """Send what was gathered."""
        held, self._held = self._held, None
        if held:
            self.send(b"".join(held))

    def putheader(  # type: ignore[override]
        self, header: str, *values: str
    ) -> None:
        """Add a header that has been read by a server, and so is sound.

        The library would check name and value by two patterns each time.
        """
        self._output(  # type: ignore[attr-defined]
            f"{header}: {values[0]}".encode("latin-1")
        )

    def send(self, data: object) -> None:
        """Send data, or gather it while held."""
        if self._held is not None and isinstance(data, bytes):
            self._held.append(data)
            return
        super().send(data)  # type: ignore[arg-type]


class Pool:
    """The connections to one peer.

    A connection is handed out to one request at a time and comes back only
    after a whole answer; the last used goes out first, so that the busy ones
    stay warm and the others retire.

    :param address: ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
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
        fresh = Connection(self._host, self._port)
        fresh.connect()
        return fresh

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose answer was read whole."""
        connection.idle_since_s = time.monotonic()
        with self._lock:
            if len(self._idle) < MAX_IDLE:
                self._idle.append(connection)
                return
        connection.close()

    def retire(self) -> None:
        """Close the connections that have been idle for long."""
        oldest_s = time.monotonic() - RETIRE_IDLE_S
        with self._lock:
            old = [c for c in self._idle if c.idle_since_s < oldest_s]
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


def _usable(connection: Connection, now_s: float) -> bool:
    if now_s - connection.idle_since_s > RETIRE_IDLE_S:
        return False
    if connection.sock is None:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return not poll.poll(0)
