"""Closing connections whose requests nobody reads to their end.

Closing a connection over data that wasn't read resets it, and the reset takes
an answer along that the peer hasn't read yet.  So the sending side is closed
first, and what still arrives is thrown away until the peer closes, too.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
import typing

CLOSE_WITHIN_S: typing.Final = 1.0
"""How long a peer may take to read its last answer and to close."""

MAX_CLOSING: typing.Final = 512
"""How many connections are kept for it; those above are closed at once."""

ROUND_S: typing.Final = 0.05
"""How long the thread may overlook a new connection, or a time that is up."""

_READ_BYTES: typing.Final = 64 * 1024


class _Connection(typing.Protocol):
    socket: socket.socket

    def close(self) -> None:
        """Close the connection."""


class Closer:
    """Closes connections whose peers may still be sending.

    A thread looks after them while there are any.
    """

    def __init__(self) -> None:
        self._new: list[_Connection] = []
        self._count = 0
        self._lock = threading.Lock()

    def close(self, conn: _Connection) -> None:
        """Close a connection once its peer has, or had the time to."""
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
            if self._count > 1:
                return
        threading.Thread(
            target=self._look_after, name="closing", daemon=True
        ).start()

    def _look_after(self) -> None:
        ends_s: dict[_Connection, float] = {}
        with selectors.DefaultSelector() as selector:
            while True:
                with self._lock:
                    new, self._new = self._new, []
                    self._count = len(ends_s) + len(new)
                    if not self._count:
                        return
                now_s = time.monotonic()
                for conn in new:
                    if _watch(selector, conn):
                        ends_s[conn] = now_s + CLOSE_WITHIN_S
                ended = [
                    key.data
                    for key, _ in selector.select(ROUND_S)
                    if _has_closed(key.data)
                ]
                ended += [c for c, end_s in ends_s.items() if end_s <= now_s]
                for conn in set(ended):
                    del ends_s[conn]
                    with contextlib.suppress(KeyError, ValueError):
                        selector.unregister(conn.socket)
                    conn.close()


def _watch(selector: selectors.BaseSelector, conn: _Connection) -> bool:
    """Wait for a peer, too; False where its connection is closed already."""
    try:
        selector.register(conn.socket, selectors.EVENT_READ, conn)
    except KeyError:
        # Whoever had this descriptor before was closed elsewhere.
        selector.unregister(conn.socket.fileno())
        selector.register(conn.socket, selectors.EVENT_READ, conn)
    except ValueError:
        conn.close()
        return False
    return True


def _has_closed(conn: _Connection) -> bool:
    """Throw away what has arrived; tell whether the peer has closed."""
    try:
        return not conn.socket.recv(_READ_BYTES)
    except BlockingIOError:
        return False
    except OSError:
        return True
