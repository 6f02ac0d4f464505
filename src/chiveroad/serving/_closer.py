"""Lingering close for connections with unread request bytes.

Closing a socket that holds unread bytes resets the connection, and the reset
discards an answer that the peer hasn't read yet.  So the write side is shut
down first, and received bytes are discarded until the peer closes, too.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
import typing

CLOSE_TIMEOUT_S: typing.Final = 1.0
"""How long a peer may take to read its last answer and to close."""

MAX_CLOSING: typing.Final = 512
"""How many connections may linger; more are closed immediately."""

POLL_INTERVAL_S: typing.Final = 0.05
"""How late the thread may notice a new connection or a deadline."""

_READ_BYTES: typing.Final = 64 * 1024


class _Connection(typing.Protocol):
    socket: socket.socket

    def close(self) -> None:
        """Close the connection."""


class Closer:
    """Closes connections whose peers may still be sending.

    A thread runs only while there are connections to close.
    """

    def __init__(self) -> None:
        self._new: list[_Connection] = []
        self._closing: dict[_Connection, None] = {}
        self._count = 0
        self._lock = threading.Lock()

    def close(self, conn: _Connection) -> None:
        """Close a connection after its peer has closed, or timed out."""
        try:
            conn.socket.settimeout(0)
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            conn.close()
            return
        with self._lock:
            if self._count >= MAX_CLOSING:
                conn.close()
                return
            self._count += 1
            self._new.append(conn)
            self._closing[conn] = None
            if self._count > 1:
                return
        threading.Thread(
            target=self._close_all, name="closing", daemon=True
        ).start()

    def close_oldest(self, count: int) -> int:
        """Close the connections that have lingered for longest.

        :returns: how many were closed, at most ``count``.
        """
        with self._lock:
            oldest = list(self._closing)[:count]
            for conn in oldest:
                del self._closing[conn]
        for conn in oldest:
            conn.close()
        return len(oldest)

    def _close_all(self) -> None:
        deadlines_s: dict[_Connection, float] = {}
        with selectors.DefaultSelector() as selector:
            while True:
                with self._lock:
                    new, self._new = self._new, []
                    self._count = len(deadlines_s) + len(new)
                    if not self._count:
                        return
                now_s = time.monotonic()
                for conn in new:
                    if _register(selector, conn):
                        deadlines_s[conn] = now_s + CLOSE_TIMEOUT_S
                    else:
                        with self._lock:
                            self._closing.pop(conn, None)
                finished = [
                    key.data
                    for key, _ in selector.select(POLL_INTERVAL_S)
                    if _discard_received(key.data)
                ]
                finished += [
                    c
                    for c, deadline_s in deadlines_s.items()
                    if deadline_s <= now_s
                ]
                for conn in set(finished):
                    with self._lock:
                        self._closing.pop(conn, None)
                    del deadlines_s[conn]
                    with contextlib.suppress(KeyError, ValueError):
                        selector.unregister(conn.socket)
                    conn.close()


def _register(selector: selectors.BaseSelector, conn: _Connection) -> bool:
    """Register a connection; return False if it is closed already.

    ``close_oldest`` may close it at any time.
    """
    try:
        with contextlib.suppress(KeyError):
            selector.register(conn.socket, selectors.EVENT_READ, conn)
            return True
        # The connection that had this descriptor was closed elsewhere.
        with contextlib.suppress(KeyError):
            selector.unregister(conn.socket.fileno())
        selector.register(conn.socket, selectors.EVENT_READ, conn)
        return True
    except (KeyError, ValueError, OSError):
        conn.close()
        return False


def _discard_received(conn: _Connection) -> bool:
    """Discard received bytes; return whether the peer has closed."""
    try:
        return not conn.socket.recv(_READ_BYTES)
    except BlockingIOError:
        return False
    except OSError:
        return True
