"""Socket streams for the HTTP server: buffered reads, combined writes."""

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


class BodyInterrupted(Exception):
    """A wait for a body was ended; what was read of its next part is lost."""


class Interrupt(typing.Protocol):
    """A connection whose answer ends the wait for a request's body."""

    def fileno(self) -> int:
        """Return the descriptor that becomes readable."""

    def answer_begun(self) -> bool:
        """Return whether a final answer has begun, once it is readable."""


class _TimedSocket(socket.SocketIO):
    """A raw socket reader with a timeout for each read and a deadline.

    The socket has a timeout, so its descriptor never blocks: a read is one
    system call if bytes have arrived, and waits only if none have.
    ``read_timeout_s`` bounds each wait, and all waits end at ``deadline_s``.
    While ``is_suspended`` nothing is read from the socket.  A wait also ends
    when the peer of the socket ``caller`` disconnects, or the connection
    ``interrupt`` has an answer.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self._socket = sock
        self.read_timeout_s = sock.gettimeout()
        self.deadline_s: float | None = None
        self.is_suspended = False
        self.caller: socket.socket | None = None
        self.waits: Waits = NO_WAITS
        self.interrupt: Interrupt | None = None

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read the bytes that are available; wait if there are none.

        :raises TimeoutError: when no bytes arrive in time.
        :raises errors.CallerDisconnected: when the caller disconnects.
        """
        if self.is_suspended:
            return None
        try:
            return os.readv(self._socket.fileno(), (buffer,))
        except BlockingIOError:
            return self._read_later(buffer)

    def _read_later(self, buffer: typing.Any) -> int:
        while True:
            self.waits.begin(is_sending=False)
            try:
                self._wait()
            finally:
                self.waits.end()
            try:
                count = os.readv(self._socket.fileno(), (buffer,))
            except BlockingIOError:
                continue
            self.waits.received(count)
            return count

    def _wait(self) -> None:
        wait_s = self.read_timeout_s
        if self.deadline_s is not None:
            remaining_s = max(0.0, self.deadline_s - time.monotonic())
            wait_s = (
                remaining_s if wait_s is None else min(remaining_s, wait_s)
            )
        wait_ms = None if wait_s is None else 1000 * wait_s
        if self.interrupt is not None:
            arrived = self._readable_or_interrupted(self.interrupt, wait_ms)
        elif self.caller is None:
            arrived = readable(self._socket, wait_ms)
        else:
            arrived = self._readable_or_disconnected(self.caller, wait_ms)
        # Bytes may have arrived while this thread waited to be scheduled.
        if not (arrived or readable(self._socket)):
            raise TimeoutError("the peer is too slow")

    def _readable_or_interrupted(
        self, interrupt: Interrupt, wait_ms: float | None
    ) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        poll.register(interrupt.fileno(), select.POLLIN)
        ready = dict(poll.poll(wait_ms))
        if not ready or self._socket.fileno() in ready:
            return bool(ready)
        if interrupt.answer_begun():
            raise BodyInterrupted("an answer has begun")
        # An interim answer; the wait starts again, once for each read.
        return readable(self._socket, wait_ms)

    def _readable_or_disconnected(
        self, caller: socket.socket, wait_ms: float | None
    ) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        poll.register(caller, select.POLLIN | select.POLLRDHUP)
        ready = dict(poll.poll(wait_ms))
        if not ready or self._socket.fileno() in ready:
            return bool(ready)
        if not is_disconnected(caller):
            # The caller has sent more bytes; only a disconnect matters here.
            # The wait starts again, once for each read.
            poll.modify(caller, select.POLLRDHUP)
            ready = dict(poll.poll(wait_ms))
            if not ready or self._socket.fileno() in ready:
                return bool(ready)
        raise errors.CallerDisconnected("the caller hung up")


class Waits:
    """Records the times in which a thread waits for its client."""

    __slots__ = ()

    def begin(self, is_sending: bool) -> None:
        """Record that a wait begins; ``is_sending`` until bytes are taken."""

    def end(self) -> None:
        """Record that a wait has ended.

        :raises OSError: when the client has been given up.
        """

    def received(self, count: int) -> None:
        """Record how many bytes were read after a wait."""


NO_WAITS: typing.Final = Waits()


class Reader(io.BufferedReader):
    """A buffered socket reader with timeouts, bound to a caller if set."""

    def __init__(self, sock: socket.socket) -> None:
        self._timed_socket = _TimedSocket(sock)
        super().__init__(self._timed_socket, READ_BUFFER_BYTES)
        self.bytes_read = 0

    def set_deadline(self, deadline_s: float | None) -> None:
        """Set the deadline of all further reads; None removes it.

        :param deadline_s: the deadline in monotonic seconds.
        """
        self._timed_socket.deadline_s = deadline_s

    def set_read_timeout(self, read_timeout_s: float) -> None:
        """Set the timeout of each further read."""
        self._timed_socket.read_timeout_s = read_timeout_s

    def watch_caller(self, caller: socket.socket | None) -> None:
        """Abort further waits when the caller disconnects; None for never."""
        self._timed_socket.caller = caller

    def record_waits(self, waits: Waits) -> None:
        """Record all waits for the peer."""
        self._timed_socket.waits = waits

    @property
    def interrupt(self) -> Interrupt | None:
        """Return the connection that ends waits, or None."""
        return self._timed_socket.interrupt

    @interrupt.setter
    def interrupt(self, interrupt: Interrupt | None) -> None:
        self._timed_socket.interrupt = interrupt

    def has_data(self) -> bool:
        """Return whether the buffer holds data, without reading."""
        self._timed_socket.is_suspended = True
        try:
            return bool(self.peek(1))
        finally:
            self._timed_socket.is_suspended = False


class Writer:
    """A socket writer that can send a head and its body in one call.

    After ``hold``, writes are collected; ``release`` sends them in one call,
    or in pieces if the writer has an ``Uplink``.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.uplink: _uplink.Uplink | None = None
        self.waits: Waits = NO_WAITS
        self._held = False
        self._pending: list[bytes] = []
        self.bytes_written = 0

    def hold(self) -> None:
        """Collect further writes instead of sending them."""
        self._held = True

    def release(self) -> None:
        """Send the collected writes; further writes are sent immediately."""
        self._held = False
        if self._pending:
            pending = b"".join(self._pending)
            self._pending.clear()
            self._send(pending)

    def write(self, data: bytes) -> int:
        """Send the data, or collect it while held."""
        self.bytes_written += len(data)
        if self._held:
            self._pending.append(data)
        elif data:
            self._send(data)
        return len(data)

    def flush(self) -> None:
        """Do nothing: data is sent by ``write`` or ``release``."""

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
        if sent == len(data):
            return
        self.waits.begin(is_sending=True)
        try:
            self._sock.sendall(memoryview(data)[sent:])
        finally:
            self.waits.end()


def readable(sock: socket.socket, timeout_ms: float | None = 0.0) -> bool:
    """Wait for bytes or the peer's close; None waits without a limit."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_ms))


def is_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed, with no bytes left to read."""
    # A socket with a timeout waits for data in recv, whatever the flags.
    if not readable(sock):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_reset(sock: socket.socket) -> bool:
    """Return whether the connection has failed or was shut down."""
    poll = select.poll()
    poll.register(sock, 0)
    return bool(poll.poll(0))


def send_now(sock: socket.socket, data: bytes | memoryview[typing.Any]) -> int:
    """Send as many bytes as possible without waiting; return their number.

    The socket must have a timeout, so that its descriptor never blocks.  This
    is one system call; the methods of a socket poll first whether the send
    buffer has capacity.

    :raises OSError: when the connection is closed.
    """
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


def make_file(
    sock: socket.socket, mode: str = "r", bufsize: int = 0
) -> typing.Any:
    """Return a reader or a writer for the server's connection class."""
    return Reader(sock) if "r" in mode else Writer(sock)
