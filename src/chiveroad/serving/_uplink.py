"""Sharing an instance's link between large bodies and everything else.

What is written to a socket waits in the link's queue, and what is written
after it waits behind it: new versions, probes, new connections, small
answers.  So large bodies are written in pieces, at a rate that leaves the
link room for the rest, and they wait here instead.
"""

from __future__ import annotations

import collections.abc
import socket
import threading
import time
import typing

PIECE_BYTES: typing.Final = 16 * 1024
"""How much is written at once: 31 ms of a link of 4.2 Mbit/s."""

LINK_SHARE: typing.Final = 0.9
"""The share of the link that counted bytes may take; the rest is for control
messages, what is sent to other daemons, and what frames all of it."""

_BITS_PER_BYTE: typing.Final = 8


class Uplink:
    """The rate at which bodies leave the instance.

    Those of up to one piece are counted, but wait for nothing.

    :param mbps: the link in Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = LINK_SHARE * mbps * 1_000_000 / _BITS_PER_BYTE
        self._lock = threading.Lock()
        self._free_s = 0.0

    def reserve(self, count: int) -> float:
        """Reserve the link for some bytes; return the seconds until then."""
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._free_s)
            self._free_s = start_s + count / self._bytes_per_s
            return start_s - now_s

    def pieces(
        self, data: bytes | memoryview[typing.Any]
    ) -> collections.abc.Iterator[memoryview[typing.Any]]:
        """Yield the parts of what is to be written, each when it is due."""
        waits = len(data) > PIECE_BYTES
        for begin in range(0, len(data), PIECE_BYTES):
            piece = memoryview(data)[begin : begin + PIECE_BYTES]
            wait_s = self.reserve(len(piece))
            if waits and wait_s > 0:
                time.sleep(wait_s)
            yield piece


def is_remote(sock: socket.socket) -> bool:
    """Tell whether the peer is on another instance."""
    try:
        return bool(sock.getsockname()[0] != sock.getpeername()[0])
    except OSError:
        # It has hung up already.
        return False
