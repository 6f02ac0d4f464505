"""HTTP calls whose answers are bounded in time and in bytes.

The library bounds each read, so that a peer which sends a little now and then
holds its caller for ever.
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

ANSWER_TIMEOUT_S: typing.Final = 10.0
"""How long an answer may take from its first byte, where the call's own limit
isn't longer: an answer of 1 MB over a link of 1 Mbit/s takes 8 s."""

MAX_ANSWER_BYTES: typing.Final = 64 * 1024 * 1024
"""As much as a control message may have."""


class _Source(io.RawIOBase):
    """What one answer is read from.

    :param sock: its time-out is how long the answer's begin may take, and
        each pause within it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._raw = sock.makefile("rb", buffering=0)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._pause_s = sock.gettimeout()
        self._end_s: float | None = None
        if self._pause_s is not None:
            self._end_s = time.monotonic() + self._pause_s
        self._left_bytes = MAX_ANSWER_BYTES

    def readable(self) -> bool:
        """Tell that this can be read from."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what there is.

        :raises TimeoutError: when it doesn't come in time.
        :raises OSError: when it is too much.
        """
        if self._pause_s is not None and self._end_s is not None:
            left_s = min(self._pause_s, self._end_s - time.monotonic())
            if not self._poll.poll(max(0.0, 1000 * left_s)):
                raise TimeoutError("the answer takes too long")
        count = self._raw.readinto(buffer)
        if self._end_s is not None and self._left_bytes == MAX_ANSWER_BYTES:
            self._end_s = max(self._end_s, time.monotonic() + ANSWER_TIMEOUT_S)
        self._left_bytes -= count or 0
        if self._left_bytes < 0:
            raise OSError("the answer is too long")
        return count

    def close(self) -> None:
        """Leave the socket to its connection."""
        super().close()
        self._raw.close()


class _Readable:
    """What a response takes for its socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return what the answer is read from."""
        return io.BufferedReader(_Source(self._sock))


class _Response(http.client.HTTPResponse):
    def __init__(
        self, sock: socket.socket, *args: typing.Any, **named: typing.Any
    ) -> None:
        bounded = typing.cast(socket.socket, _Readable(sock))
        super().__init__(bounded, *args, **named)


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Client:
    """Kept connections for calls to any address.

    :param connections: how many are kept to each of them.
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
        """Make a call, with JSON both ways, and return its answer.

        :param timeout_s: how long the answer's begin may take, and each
            pause within it.
        :param stream: whether the body is left to be read.
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
            # What is compressed has no bound; nobody was asked for it.
            decode_content=False,
            redirect=False,
        )
