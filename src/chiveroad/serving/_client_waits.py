"""The waits of one connection's thread for its client."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
import typing

from chiveroad import limits
from chiveroad.serving import _arrival
from chiveroad.serving import _stream

TAKE_TIMEOUT_S: typing.Final = 5.0
"""How long a peer that sends requests ahead may leave its answers unread."""

USUAL_BYTES_PER_S: typing.Final = 16 * 1024
"""A client that sends a body this fast isn't waited for: 40 such bodies share
a link of 5 Mbit/s."""

TAKE_CHECK_S: typing.Final = 0.02


class ClientWaits(_stream.Waits):
    """Records the waits of a connection, so that a server can end them.

    :param waits: the current waits of all connections of the server.
    """

    __slots__ = (
        "_conn",
        "_all",
        "_begun_s",
        "_waited_s",
        "_is_sending",
        "_given_up",
    )

    def __init__(
        self, conn: typing.Any, waits: limits.Waits[typing.Any]
    ) -> None:
        self._conn = conn
        self._all = waits
        self._begun_s = 0.0
        self._waited_s = 0.0
        self._is_sending = False
        self._given_up = False

    def begin_request(self) -> None:
        """Count no earlier waits for the next request."""
        self._waited_s = 0.0

    def begin(self, is_sending: bool) -> None:
        """Record that a wait begins; ``is_sending`` until bytes are taken."""
        self._is_sending = is_sending
        self._begun_s = time.monotonic()
        self._all.begin(self._conn, self._begun_s - self._waited_s)

    def end(self) -> None:
        """Record that a wait has ended.

        :raises OSError: when the client has been given up.
        """
        self._all.end(self._conn)
        self._waited_s += time.monotonic() - self._begun_s
        if self._given_up and self._is_sending:
            # The library logs other errors of a write with a stack trace.
            raise BrokenPipeError(errno.EPIPE, "the peer doesn't read")
        if self._given_up:
            raise TimeoutError("threads are short, and the peer is slow")

    def received(self, count: int) -> None:
        """Count less of the time waited so far for bytes that came in it."""
        self._waited_s = max(0.0, self._waited_s - count / USUAL_BYTES_PER_S)

    def give_up(self) -> None:
        """End the current wait.

        A client that is still sending can read its refusal.
        """
        self._given_up = True
        how = socket.SHUT_RDWR if self._is_sending else socket.SHUT_RD
        with contextlib.suppress(OSError):
            self._conn.socket.shutdown(how)

    def until_taken(self, sock: socket.socket) -> None:
        """Wait until the peer has taken the answers sent so far.

        :raises OSError: when the peer doesn't in time.
        """
        if not _arrival.untaken_bytes(sock):
            return
        self.begin(is_sending=True)
        end_s = time.monotonic() + TAKE_TIMEOUT_S
        try:
            while _arrival.untaken_bytes(sock) and not self._given_up:
                if time.monotonic() > end_s or _stream.is_reset(sock):
                    raise TimeoutError("the answers aren't read")
                time.sleep(TAKE_CHECK_S)
        finally:
            self.end()
