"""Socket streams for the HTTP server: C-level reading, gathered writing."""

from __future__ import annotations

import io
import socket
import time
import typing

READ_BUFFER_BYTES: typing.Final = 8 * 1024


class _TimedSocket(socket.SocketIO):
    """A raw socket reader whose reads all end by one point in time."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self._timed = sock
        self.end_s: float | None = None

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what there is.

        :raises TimeoutError: when nothing has come by then.
        """
        if self.end_s is not None:
            left_s = self.end_s - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("the peer is too slow")
            pause_s = self._timed.gettimeout()
            self._timed.settimeout(min(left_s, pause_s or left_s))
            try:
                return super().readinto(buffer)
            finally:
                self._timed.settimeout(pause_s)
        return super().readinto(buffer)


class Reader(io.BufferedReader):
    """A buffered socket reader that can tell whether it holds data."""

    def __init__(self, sock: socket.socket) -> None:
        self._timed = _TimedSocket(sock)
        super().__init__(self._timed, READ_BUFFER_BYTES)
        self._sock = sock
        self.bytes_read = 0

    def end_by(self, end_s: float | None) -> None:
        """Bound all reads from now on; None lifts the bound.

        :param end_s: in monotonic seconds.
        """
        self._timed.end_s = end_s

    def has_data(self) -> bool:
        """Tell whether data waits in the buffer, without waiting for it."""
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0)
        try:
            return bool(self.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout_s)


class Writer:
    """A socket writer that sends a head together with what follows it.

    While held, writes gather; ``release`` sends them in one call.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._held = False
        self._pending: list[bytes] = []
        self.bytes_written = 0

    def hold(self) -> None:
        """Gather what is written from now on."""
        self._held = True

    def release(self) -> None:
        """Send what was gathered, and send further writes at once."""
        self._held = False
        if self._pending:
            pending = b"".join(self._pending)
            self._pending.clear()
            self._sock.sendall(pending)

    def write(self, data: bytes) -> int:
        """Send the data, or gather it while held."""
        self.bytes_written += len(data)
        if self._held:
            self._pending.append(data)
        elif data:
            self._sock.sendall(data)
        return len(data)

    def flush(self) -> None:
        """Do nothing: writes are sent when made or released."""


def make_file(
    sock: socket.socket, mode: str = "r", bufsize: int = 0
) -> typing.Any:
    """Return a reader or writer, as the server's connection class asks."""
    return Reader(sock) if "r" in mode else Writer(sock)
