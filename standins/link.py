"""A network link with latency, a bandwidth limit, counters and faults."""

from __future__ import annotations

import queue
import socket
import struct
import threading
import time
import typing

ONE_WAY_S: typing.Final = 0.012
BITS_PER_S: typing.Final = 30_000_000

_NO_LINGER: typing.Final = struct.pack("ii", 1, 0)
_RECEIVE_BYTES: typing.Final = 16 * 1024


class Link:
    """Forwards connections to an address, with latency in each direction.

    The connections of a direction share ``BITS_PER_S``.  ``bytes_toward``
    counts the bytes to the forwarded address, ``bytes_back`` those from it.
    While the link is cut, its connections are closed and new ones refused.
    While it drops data, connections stay open but bytes of the given
    directions are discarded, and neither end is notified.

    :param address: where the link listens.
    :param target: the address that connections are forwarded to.
    :param one_way_s: the latency of each direction.
    """

    def __init__(
        self, address: str, target: str, one_way_s: float = ONE_WAY_S
    ) -> None:
        self._one_way_s = one_way_s
        self._dropping: frozenset[str] = frozenset()
        self._address = _split_address(address)
        self._target = _split_address(target)
        self._listener = socket.create_server(self._address, backlog=256)
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._idle_at_s = {"toward": 0.0, "back": 0.0}
        self._cut = False
        self.bytes_toward = 0
        self.bytes_back = 0

    def start(self) -> None:
        """Start to accept connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close the connections and the listener."""
        self.cut()
        self._listener.close()

    def cut(self) -> None:
        """Close all connections, and refuse new ones until ``heal``."""
        self._cut = True
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            _close(sock)

    def heal(self) -> None:
        """End a cut or the dropping of data; dropped bytes stay lost."""
        self._cut = False
        self._dropping = frozenset()

    def drop_data(self, *directions: str) -> None:
        """Discard the bytes ``toward`` the target, those ``back``, or both."""
        self._dropping = frozenset(directions)

    def reset(self) -> None:
        """Reset the open connections; new ones are accepted."""
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            _reset(sock)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self._cut:
                client.close()
                continue
            threading.Thread(
                target=self._forward, args=(client,), daemon=True
            ).start()

    def _forward(self, client: socket.socket) -> None:
        time.sleep(2 * self._one_way_s)
        try:
            server = socket.create_connection(self._target, 5)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sockets |= {client, server}
        self._pump(client, server, "toward")
        self._pump(server, client, "back")

    def _pump(
        self, source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        chunks: queue.Queue[tuple[float, bytes]] = queue.Queue()
        threading.Thread(
            target=self._receive, args=(source, chunks, direction), daemon=True
        ).start()
        threading.Thread(
            target=self._deliver, args=(sink, chunks), daemon=True
        ).start()

    def _receive(
        self,
        source: socket.socket,
        chunks: queue.Queue[tuple[float, bytes]],
        direction: str,
    ) -> None:
        data = b"-"
        while data:
            try:
                data = source.recv(_RECEIVE_BYTES)
            except OSError:
                data = b""
            if data and direction in self._dropping:
                continue
            chunks.put((self._delivery_s(len(data), direction), data))
        with self._lock:
            self._sockets.discard(source)

    def _delivery_s(self, size: int, direction: str) -> float:
        with self._lock:
            if direction == "toward":
                self.bytes_toward += size
            else:
                self.bytes_back += size
            now_s = time.monotonic()
            start_s = max(now_s, self._idle_at_s[direction])
            self._idle_at_s[direction] = start_s + size * 8 / BITS_PER_S
            return self._idle_at_s[direction] + self._one_way_s

    def _deliver(
        self, sink: socket.socket, chunks: queue.Queue[tuple[float, bytes]]
    ) -> None:
        while True:
            delivery_s, data = chunks.get()
            time.sleep(max(0.0, delivery_s - time.monotonic()))
            if not data:
                _close(sink)
                return
            try:
                sink.sendall(data)
            except OSError:
                return


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        sock.close()
    except OSError:
        pass


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
