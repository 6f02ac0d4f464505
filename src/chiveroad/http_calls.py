"""HTTP client whose answers are bounded in time and in size.

urllib3 bounds only the time of each read, so that a peer which sends a few
bytes now and then would block its caller forever.
"""

from __future__ import annotations

import http.client
import io
import select
import socket
import time
import typing

import urllib3
import urllib3.connection

from chiveroad import answers

ANSWER_TIMEOUT_S: typing.Final = 10.0
"""How long an answer may take from its first byte on, unless the call's own
limit ends later: an answer of 1 MB over a link of 1 Mbit/s takes 8 s."""

MAX_ANSWER_BYTES: typing.Final = 8 * 1024 * 1024
"""The size limit of an answer: twice the records of 5,700 members.  A daemon
reads several answers at once, and an instance may have 200 MB for it."""


class _BoundedReader(io.RawIOBase):
    """Reads one answer from a socket, within limits of time and size.

    :param sock: a socket; its timeout bounds the wait for the first byte of
        the answer, and each pause within the answer.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket_file = sock.makefile("rb", buffering=0)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._read_timeout_s = sock.gettimeout()
        self._deadline_s: float | None = None
        if self._read_timeout_s is not None:
            self._deadline_s = time.monotonic() + self._read_timeout_s
        self._remaining_bytes = MAX_ANSWER_BYTES

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read the bytes that are available.

        :raises TimeoutError: when no bytes arrive in time.
        :raises OSError: when the answer is over ``MAX_ANSWER_BYTES``.
        """
        if self._read_timeout_s is not None and self._deadline_s is not None:
            remaining_s = min(
                self._read_timeout_s, self._deadline_s - time.monotonic()
            )
            if not self._poll.poll(max(0.0, 1000 * remaining_s)):
                raise TimeoutError("the answer takes too long")
        count = self._socket_file.readinto(buffer)
        if (
            self._deadline_s is not None
            and self._remaining_bytes == MAX_ANSWER_BYTES
        ):
            self._deadline_s = max(
                self._deadline_s, time.monotonic() + ANSWER_TIMEOUT_S
            )
        self._remaining_bytes -= count or 0
        if self._remaining_bytes < 0:
            raise OSError("the answer is too long")
        return count

    def close(self) -> None:
        """Close the reader; the connection keeps its socket."""
        super().close()
        self._socket_file.close()


class _BoundedSocket:
    """Replaces the socket from which ``HTTPResponse`` makes its file."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return a buffered reader of the answer."""
        return io.BufferedReader(_BoundedReader(self._sock))


class _BoundedResponse(answers.Response):
    def __init__(
        self, sock: socket.socket, *args: typing.Any, **keywords: typing.Any
    ) -> None:
        super().__init__(_BoundedSocket(sock), *args, **keywords)

    def begin(self) -> None:
        """Read the head, and offer its fields as urllib3 expects them.

        :raises http.client.HTTPException: when there is no whole head.
        """
        super().begin()
        message = http.client.HTTPMessage()
        for name, value in self.headers.items():
            message[name] = value
        self.msg = message

    def _safe_read(self, amt: int) -> bytes:
        """Read a number of bytes, for which memory is allocated at once.

        Overrides a method of ``http.client.HTTPResponse``.

        :raises OSError: when the answer is over ``MAX_ANSWER_BYTES``.
        """
        if amt > MAX_ANSWER_BYTES:
            raise OSError("the answer is too long")
        read: bytes = super()._safe_read(amt)  # type: ignore[misc]
        return read


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _BoundedResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Client:
    """An HTTP client with a pool of persistent connections per address.

    :param connections: how many connections to each address are kept open.
    :param connect_timeout_s: how long opening a connection may take.
    """

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pools = urllib3.PoolManager(maxsize=connections, retries=False)
        self._pools.pool_classes_by_scheme = {"http": _Pool}

    def request(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_s: float,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call with a JSON body, and return its answer.

        :param timeout_s: bounds the wait for the first byte of the answer,
            and each pause within the answer.
        :param stream: whether the caller reads the body from the answer.
        :raises urllib3.exceptions.HTTPError: when there is no whole answer.
        """
        return self._pools.request(
            method,
            url,
            body=body,
            headers={"Content-Type": "application/json"},
            timeout=urllib3.Timeout(
                connect=self._connect_timeout_s, read=timeout_s
            ),
            preload_content=not stream,
            # A compressed body has no bound once it is decoded, and the
            # client doesn't ask for compression.
            decode_content=False,
            redirect=False,
        )
