"""Socket streams for the HTTP server: C-level reading, gathered writing."""

from __future__ import annotations

import io
import os
import select
import socket
import time
import typing

from chiveroad import errors
from chiveroad.serving import _uplink

READ_BUFFER_BYTES: typing.Final = 8 * 1024


class _TimedSocket(socket.SocketIO):
    """A raw socket reader whose reads all end by one point in time.

    The socket has a time-out, so its descriptor never blocks: a read is one
    system call where something has arrived, and waits only where nothing
    has.  ``pause_s`` bounds one such wait, ``end_s`` all of them, and while
    ``held`` nothing is read at all.  A wait ends, too, once whoever is at
    the other end of ``caller`` has hung up.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self._timed = sock
        self.pause_s = sock.gettimeout()
        self.end_s: float | None = None
        self.held = False
        self.caller: socket.socket | None = None

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what there is.

        :raises TimeoutError: when nothing has come by then.
        :raises errors.CallerDisconnected: when nobody waits for it any longer.
        """
        if self.held:
            return None
        while True:
            try:
                return os.readv(self._timed.fileno(), (buffer,))
            except BlockingIOError:
                self._wait()

    def _wait(self) -> None:
        wait_s = self.pause_s
        if self.end_s is not None:
            left_s = max(0.0, self.end_s - time.monotonic())
            wait_s = left_s if wait_s is None else min(left_s, wait_s)
        wait_ms = None if wait_s is None else 1000 * wait_s
        if self.caller is None:
            arrived = readable(self._timed, wait_ms)
        else:
            arrived = self._readable_for(self.caller, wait_ms)
        # Bytes may have come while this thread waited for the processor.
        if not (arrived or readable(self._timed)):
            raise TimeoutError("the peer is too slow")

    def _readable_for(
        self, caller: socket.socket, wait_ms: float | None
    ) -> bool:
        poll = select.poll()
        poll.register(self._timed, select.POLLIN)
        poll.register(caller, select.POLLIN | select.POLLRDHUP)
        ready = dict(poll.poll(wait_ms))
        if not ready or self._timed.fileno() in ready:
            return bool(ready)
        if not is_disconnected(caller):
            # It has sent more already; only its hang-up matters.  The wait
            # begins anew, once for each read.
            poll.modify(caller, select.POLLRDHUP)
            ready = dict(poll.poll(wait_ms))
            if not ready or self._timed.fileno() in ready:
                return bool(ready)
        raise errors.CallerDisconnected("the caller hung up")


class Reader(io.BufferedReader):
    """A buffered socket reader that can tell whether it holds data."""

    def __init__(self, sock: socket.socket) -> None:
        self._timed = _TimedSocket(sock)
        super().__init__(self._timed, READ_BUFFER_BYTES)
        self.bytes_read = 0

    def end_by(self, end_s: float | None) -> None:
        """Bound all reads from now on; None lifts the bound.

        :param end_s: in monotonic seconds.
        """
        self._timed.end_s = end_s

    def pause_at_most(self, pause_s: float) -> None:
        """Bound the wait of each read from now on."""
        self._timed.pause_s = pause_s

    def read_for(self, caller: socket.socket | None) -> None:
        """End waiting from now on once a caller has hung up."""
        self._timed.caller = caller

    def has_data(self) -> bool:
        """Tell whether data waits in the buffer; the socket isn't asked."""
        self._timed.held = True
        try:
            return bool(self.peek(1))
        finally:
            self._timed.held = False


class Writer:
    """A socket writer that sends a head together with what follows it.

    While held, writes gather; ``release`` sends them in one call, or in
    several where the link is shared, see ``Uplink``.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.uplink: _uplink.Uplink | None = None
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
            self._send(pending)

    def write(self, data: bytes) -> int:
        """Send the data, or gather it while held."""
        self.bytes_written += len(data)
        if self._held:
            self._pending.append(data)
        elif data:
            self._send(data)
        return len(data)

    def flush(self) -> None:
        """Do nothing: writes are sent when made or released."""

    def _send(self, data: bytes) -> None:
        if self.uplink is None:
            self._send_all(data)
            return
        for piece in self.uplink.pieces(data):
            if len(data) > len(piece) and is_disconnected(self._sock):
                raise BrokenPipeError("the peer hung up")
            self._send_all(piece)

    def _send_all(self, data: bytes | memoryview[typing.Any]) -> None:
        sent = send_now(self._sock, data)
        if sent < len(data):
            self._sock.sendall(memoryview(data)[sent:])


def readable(sock: socket.socket, timeout_ms: float | None = 0.0) -> bool:
    """Wait for bytes, or for the end; None waits without a limit."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_ms))


def is_disconnected(sock: socket.socket) -> bool:
    """Tell whether the peer has closed its end and sent nothing more."""
    # With a timeout set, the socket would wait for data whatever the flags.
    if not readable(sock):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def send_now(sock: socket.socket, data: bytes | memoryview[typing.Any]) -> int:
    """Send what a socket takes without waiting; return how many bytes.

    The socket must have a time-out: then its descriptor never blocks, and
    this is one system call, where the socket's own methods ask first whether
    there is room.

    :raises OSError: when the connection is gone.
    """
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


def make_file(
    sock: socket.socket, mode: str = "r", bufsize: int = 0
) -> typing.Any:
    """Return a reader or writer, as the server's connection class asks."""
    return Reader(sock) if "r" in mode else Writer(sock)
