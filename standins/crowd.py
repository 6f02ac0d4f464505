"""Clients that send what a server must survive, from one thread.

Each client repeats one ``Habit`` on its connection: it sends pieces, may stop
for good without closing, and reads its answers or doesn't.  A client whose
connection is closed connects again, so that the crowd stays the same size.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import errno
import itertools
import socket
import threading
import time
import types
import typing

MIB: typing.Final = 1024 * 1024
_TICK_S: typing.Final = 0.01
_REOPEN_S: typing.Final = 0.1
"""How long a client whose connection was closed waits before the next, so
that the crowd doesn't only measure how fast connections are accepted."""

_BLOCK_BYTES: typing.Final = 64 * 1024
_READ_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Habit:
    """What a client does on each connection.

    :param pieces: returns the pieces that are sent at a path.
    :param interval_s: the pause before each piece.
    :param read_bytes: how much is read of the answers in each interval; 0 if
        they aren't read.
    """

    pieces: collections.abc.Callable[[str], collections.abc.Iterable[bytes]]
    interval_s: float = 0.0
    read_bytes: int = 0


def _head(path: str, fields: str, method: str = "POST") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


def _blocks(size: int, block: int) -> collections.abc.Iterator[bytes]:
    for begin in range(0, size, block):
        yield bytes(min(block, size - begin))


def _unfinished(
    path: str, size: int, block: int = _BLOCK_BYTES
) -> collections.abc.Iterator[bytes]:
    yield _head(path, f"Content-Length: {size}\r\n")
    yield from _blocks(size - 1, block)


def _chunks(
    path: str, count: int, size: int
) -> collections.abc.Iterator[bytes]:
    yield _head(path, "Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
    together = max(1, _BLOCK_BYTES // len(chunk))
    for begin in range(0, count, together):
        yield chunk * min(together, count - begin)


def _fields(path: str) -> collections.abc.Iterator[bytes]:
    fields = "".join(f"a{n}:\r\n" for n in range(3_500))
    return itertools.repeat(_head(path, fields, "GET"), 200)


def _pipelined(path: str) -> collections.abc.Iterator[bytes]:
    return itertools.repeat(_head(path, "", "GET") * 500, 4)


def _large_body(path: str) -> collections.abc.Iterator[bytes]:
    yield _head(path, f"Content-Length: {10**12}\r\n")
    yield from itertools.repeat(bytes(_BLOCK_BYTES), 4_096)


def _trickle(path: str) -> collections.abc.Iterator[bytes]:
    yield _head(path, f"Content-Length: {100_000}\r\n")
    yield from itertools.repeat(bytes(16), 4_096)


HABITS: typing.Final[dict[str, Habit]] = {
    "body in one piece": Habit(lambda path: _unfinished(path, MIB)),
    "largest body": Habit(lambda path: _unfinished(path, 64 * MIB)),
    "body in small pieces": Habit(
        lambda path: _unfinished(path, 60_000, 1_000), 0.01
    ),
    "chunks": Habit(lambda path: _chunks(path, 1_000, 1_024)),
    "tiny chunks": Habit(lambda path: _chunks(path, 100_000, 1)),
    "body over the limit": Habit(_large_body),
    "many fields": Habit(_fields, 0.0, _READ_BYTES),
    "pipelined": Habit(_pipelined),
    "slow sender": Habit(_trickle, 0.2),
    "slow reader": Habit(
        lambda path: itertools.repeat(_head(path, "", "GET"), 4), 0.2, 16
    ),
    "no reader": Habit(lambda path: [_head(path, "", "GET")]),
    "half a head": Habit(lambda path: [_head(path, "")[:-2]]),
    "nothing": Habit(lambda path: []),
}


class _Client:
    def __init__(self, address: str, path: str, habit: Habit) -> None:
        self.habit = habit
        self._address = address
        self._path = path
        self._pieces: collections.abc.Iterator[bytes] = iter(())
        self._unsent = b""
        self._due_s = 0.0
        self.sock: socket.socket | None = None

    def connect(self, now_s: float) -> None:
        """Connect without waiting; failures are retried later."""
        host, _, port = self._address.rpartition(":")
        self.close()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self.sock.connect_ex((host, int(port))) not in (
            0,
            errno.EINPROGRESS,
        ):
            self.close()
            return
        self._pieces = iter(self.habit.pieces(self._path))
        self._unsent = b""
        self._due_s = now_s

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
            self._due_s = time.monotonic() + _REOPEN_S

    def advance(self, now_s: float) -> None:
        """Connect, read and send as far as that is possible now."""
        if self._due_s > now_s:
            return
        if self.sock is None:
            self.connect(now_s)
            return
        try:
            self._read(self.sock)
            self._send(self.sock)
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        self._due_s = now_s + self.habit.interval_s

    def _read(self, sock: socket.socket) -> None:
        count = self.habit.read_bytes
        flags = 0 if count else socket.MSG_PEEK
        with contextlib.suppress(BlockingIOError):
            if not sock.recv(count or 1, flags):
                raise ConnectionError("closed")

    def _send(self, sock: socket.socket) -> None:
        while True:
            if not self._unsent:
                self._unsent = next(self._pieces, b"")
            if not self._unsent:
                return
            self._unsent = self._unsent[sock.send(self._unsent) :]
            if self.habit.interval_s:
                return


class Crowd:
    """A number of clients of some addresses, while it is entered.

    :param clients: address, path and habit of each client.
    """

    def __init__(
        self, clients: collections.abc.Iterable[tuple[str, str, Habit]]
    ) -> None:
        self._clients = [_Client(*client) for client in clients]
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Crowd:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stopped.set()
        self._thread.join()
        for client in self._clients:
            client.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            began_s = time.monotonic()
            for client in self._clients:
                client.advance(began_s)
            self._stopped.wait(_TICK_S)
