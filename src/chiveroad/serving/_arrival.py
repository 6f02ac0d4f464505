"""Waits for requests to arrive, without a thread for each.

The bytes of a request that isn't complete stay in the kernel.  The low-water
mark of the socket is set to the size that is awaited, so that the selector
reports the connection only once that many bytes have arrived or the peer has
closed.
"""

from __future__ import annotations

import array
import collections.abc
import fcntl
import queue
import selectors
import socket
import termios
import time
import typing

from cheroot import connections

from chiveroad import limits

SHORTAGE_INTERVAL_S: typing.Final = 0.05
"""How often threads that wait for their clients are looked at while requests
are queued."""

USUAL_BYTES: typing.Final = 4 * 1024
"""Most requests are smaller as a whole, so that one system call tells that
they have arrived."""

_SIOCOUTQNSD: typing.Final = 0x894B
"""The request for the bytes that the peer has no capacity for: its receive
window is full.  Unlike SIOCOUTQ it doesn't count bytes that were sent and not
yet acknowledged, which takes up to 40 ms for a peer that reads."""


class Arrival:
    """What has arrived of a connection's next request.

    ``may_wait`` says that the request's thread may have to wait for the
    client.  ``head_due_s`` is when the head is to be complete, and
    ``body_since_s`` since when a complete head has waited for its body; both
    in monotonic seconds, or None.
    """

    __slots__ = (
        "_sock",
        "_low_water",
        "_due_s",
        "may_wait",
        "head_due_s",
        "body_since_s",
    )

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._low_water = 0
        self._due_s = 0.0
        self.may_wait = False
        self.head_due_s: float | None = None
        self.body_since_s: float | None = None

    @property
    def partial(self) -> bool:
        """Return whether a part of a request has arrived and waits."""
        return self._low_water > 0

    @property
    def due_s(self) -> float:
        """Return when a partial request is to be processed as it is."""
        return self._due_s

    def is_complete(self, server: typing.Any, now_s: float) -> bool:
        """Return whether to process a connection that can be read.

        That is so if its request has arrived, can't be awaited here, or its
        peer has closed; otherwise the low-water mark is raised.
        """
        if not self._low_water and self.is_whole(
            server.max_request_header_size
        ):
            self.may_wait = False
            return True
        count = pending_bytes(self._sock)
        if count < max(1, self._low_water):
            # The peer has closed, or the kernel is short of memory.
            self._process(may_wait=count > 0)
            return True
        max_head_bytes = server.max_request_header_size
        expected = limits.bytes_expected(self._peek(max_head_bytes))
        if expected == limits.LATER:
            self._process(may_wait=True)
            return True
        if not expected:
            if count > max_head_bytes:
                self._process(may_wait=False)
                return True
            if self.head_due_s is None:
                self.head_due_s = now_s + server.head_timeout_s
            self._await(count + 1, self.head_due_s)
            return False
        if count >= expected:
            self._process(may_wait=False)
            return True
        if self.body_since_s is None:
            self.body_since_s = now_s
        body_wait_s = server.bounds.terms.body_wait_s
        self._await(expected, self.body_since_s + body_wait_s)
        return False

    def is_whole(self, max_head_bytes: int) -> bool:
        """Return whether a thread can process the request without a wait."""
        data = self._peek(min(max_head_bytes, USUAL_BYTES))
        expected = limits.bytes_expected(data)
        return 0 < expected <= len(data)

    def give_up(self) -> None:
        """Let a thread process the request, although it isn't complete."""
        self._process(may_wait=True)

    def begin(self) -> None:
        """Forget the times of the request that was processed before."""
        self.head_due_s = None
        self.body_since_s = None

    def _peek(self, max_bytes: int) -> bytes:
        try:
            return self._sock.recv(
                max_bytes + 1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            return b""

    def _await(self, low_water: int, due_s: float) -> None:
        self._low_water = low_water
        self._due_s = due_s
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, low_water)

    def _process(self, may_wait: bool) -> None:
        self.may_wait = may_wait
        if self._low_water:
            self._low_water = 0
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)


class Selector(connections._ThreadsafeSelector):
    """The selector of a server; reports connections with whole requests.

    The library has no method to replace its selector or to filter what it
    reports.

    :param server: is told each time, to close connections that wait longest.
    """

    def __init__(self, server: typing.Any) -> None:
        super().__init__()
        self._server = server
        self._partial: dict[int, typing.Any] = {}

    _selector: selectors.BaseSelector

    def select(
        self, timeout: float | None = None
    ) -> collections.abc.Iterable[tuple[int, typing.Any]]:
        """Return descriptors and connections that can be processed."""
        server = self._server
        ready = self._selector.select(self._wait_s(timeout))
        now_s = time.monotonic()
        complete = []
        new = []
        for key, _ in ready:
            conn = key.data
            if conn is server:
                new.append((key.fd, conn))
            elif conn.arrival.is_complete(server, now_s):
                self._partial.pop(key.fd, None)
                complete.append((key.fd, conn))
            else:
                self._partial[key.fd] = conn
        complete += self._overdue(now_s)
        server.free_threads(now_s)
        # A new connection may close idle ones, which the library's loop would
        # then process.
        return complete + new

    def forget(self, descriptor: int) -> None:
        """Unregister a connection that is closed by the selector's thread."""
        self._partial.pop(descriptor, None)
        self.unregister(descriptor)  # type: ignore[no-untyped-call]

    def _overdue(self, now_s: float) -> list[tuple[int, typing.Any]]:
        overdue = [
            (descriptor, conn)
            for descriptor, conn in self._partial.items()
            if conn.arrival.due_s <= now_s
        ]
        for descriptor, conn in overdue:
            del self._partial[descriptor]
            conn.arrival.give_up()
        return overdue

    def _wait_s(self, timeout: float | None) -> float | None:
        waits_s = [] if timeout is None else [timeout]
        if self._server.requests.queued() or self._server.others_waiting():
            waits_s.append(SHORTAGE_INTERVAL_S)
        if self._partial:
            due_s = min(c.arrival.due_s for c in self._partial.values())
            waits_s.append(max(0.0, due_s - time.monotonic()))
        return min(waits_s, default=None)


def pending_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived and weren't read."""
    return _ask(sock, termios.FIONREAD)


def untaken_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer has no capacity for."""
    return _ask(sock, _SIOCOUTQNSD)


def _ask(sock: socket.socket, request: int) -> int:
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), request, count)
    except (OSError, ValueError):
        # The socket is closed.
        return 0
    return count[0]


def queue_request(server: typing.Any, conn: typing.Any) -> bool:
    """Queue a connection for a thread; return False if the queue is full."""
    conn.may_wait = conn.arrival.may_wait or conn.rfile.has_data()
    try:
        if conn.may_wait:
            server.requests.put_waiting(conn)
        else:
            server.requests.put(conn)
    except queue.Full:
        conn.may_wait = False
        return False
    return True
