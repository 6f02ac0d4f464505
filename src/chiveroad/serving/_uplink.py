"""Rate limiting of large bodies, so that other traffic isn't delayed.

Bytes that are written to a socket wait in the queue of the instance's link,
and later writes wait behind them: new versions, probes, new connections,
small answers.  So large bodies are written in pieces, at a rate that leaves
capacity for the other traffic, and they wait in the daemon instead.
"""

from __future__ import annotations

import collections.abc
import socket
import threading
import time
import typing

PIECE_BYTES: typing.Final = 16 * 1024
"""The size of one write: 31 ms of a link of 4.2 Mbit/s."""

LINK_SHARE: typing.Final = 0.9
"""The share of the link that bodies may use; the rest is for control messages,
traffic to other daemons, and the framing of all of these."""

_BITS_PER_BYTE: typing.Final = 8


class Uplink:
    """Limits the rate at which bodies are sent from the instance.

    Bodies of up to one piece count towards the rate, but are never delayed.

    :param mbps: the capacity of the link in Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = LINK_SHARE * mbps * 1_000_000 / _BITS_PER_BYTE
        self._lock = threading.Lock()
        self._available_s = 0.0

    def reserve(self, count: int) -> float:
        """Reserve link time for ``count`` bytes; return the delay in s."""
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._available_s)
            self._available_s = start_s + count / self._bytes_per_s
            return start_s - now_s

    def pieces(
        self, data: bytes | memoryview[typing.Any]
    ) -> collections.abc.Iterator[memoryview[typing.Any]]:
        """Yield the data in pieces, each when it may be written."""
        is_delayed = len(data) > PIECE_BYTES
        for begin in range(0, len(data), PIECE_BYTES):
            piece = memoryview(data)[begin : begin + PIECE_BYTES]
            wait_s = self.reserve(len(piece))
            if is_delayed and wait_s > 0:
                time.sleep(wait_s)
            yield piece


def is_remote(sock: socket.socket) -> bool:
    """Return whether the peer is on another instance."""
    try:
        return bool(sock.getsockname()[0] != sock.getpeername()[0])
    except OSError:
        # The peer has disconnected already.
        return False
