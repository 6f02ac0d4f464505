"""A stand-in for a link: late, narrow, counted, and cut in several ways."""

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
_CHUNK_BYTES: typing.Final = 16 * 1024


class Link:
    """Passes connections on to a target, each way late and bounded.

    ``bytes_toward`` counts what went to the target and ``bytes_back`` what
    came from it.  A cut link closes its connections and takes no new ones; a
    silent one drops what comes, in the ways named, and tells nobody.

    :param one_way_s: how long a byte is on its way.
    """

    def __init__(
        self, address: str, target: str, one_way_s: float = ONE_WAY_S
    ) -> None:
        self._one_way_s = one_way_s
        self._silent: frozenset[str] = frozenset()
        self._address = _pair(address)
        self._target = _pair(target)
        self._listener = socket.create_server(self._address, backlog=256)
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._free_at_s = {"toward": 0.0, "back": 0.0}
        self._cut = False
        self.bytes_toward = 0
        self.bytes_back = 0

    def start(self) -> None:
        """Begin to take connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """End it."""
        self.cut()
        self._listener.close()

    def cut(self) -> None:
        """Cut the link."""
        self._cut = True
        with self._lock:
            open_ = list(self._open)
        for sock in open_:
            _shut(sock)

    def heal(self) -> None:
        """Heal the link; what was dropped is lost."""
        self._cut = False
        self._silent = frozenset()

    def silence(self, *ways: str) -> None:
        """Drop what comes from now on: ``toward`` the target or ``back``."""
        self._silent = frozenset(ways)

    def reset(self) -> None:
        """Reset the connections that are open now."""
        with self._lock:
            open_ = list(self._open)
        for sock in open_:
            _reset(sock)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._cut:
                near.close()
                continue
            threading.Thread(
                target=self._join, args=(near,), daemon=True
            ).start()

    def _join(self, near: socket.socket) -> None:
        time.sleep(2 * self._one_way_s)
        try:
            far = socket.create_connection(self._target, 5)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open |= {near, far}
        self._pump(near, far, "toward")
        self._pump(far, near, "back")

    def _pump(
        self, source: socket.socket, sink: socket.socket, way: str
    ) -> None:
        line: queue.Queue[tuple[float, bytes]] = queue.Queue()
        threading.Thread(
            target=self._read, args=(source, line, way), daemon=True
        ).start()
        threading.Thread(
            target=self._write, args=(sink, line), daemon=True
        ).start()

    def _read(
        self,
        source: socket.socket,
        line: queue.Queue[tuple[float, bytes]],
        way: str,
    ) -> None:
        data = b"-"
        while data:
            try:
                data = source.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            if data and way in self._silent:
                continue
            line.put((self._due_s(len(data), way), data))
        with self._lock:
            self._open.discard(source)

    def _due_s(self, size: int, way: str) -> float:
        with self._lock:
            if way == "toward":
                self.bytes_toward += size
            else:
                self.bytes_back += size
            now_s = time.monotonic()
            start_s = max(now_s, self._free_at_s[way])
            self._free_at_s[way] = start_s + size * 8 / BITS_PER_S
            return self._free_at_s[way] + self._one_way_s

    def _write(
        self, sink: socket.socket, line: queue.Queue[tuple[float, bytes]]
    ) -> None:
        while True:
            due_s, data = line.get()
            time.sleep(max(0.0, due_s - time.monotonic()))
            if not data:
                _shut(sink)
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


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def _pair(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
