"""Whether an address takes connections."""

from __future__ import annotations

import collections.abc
import socket

Connects = collections.abc.Callable[[str, float], bool]
"""Tells whether an address takes a connection within some seconds."""


def connects(address: str, timeout_s: float) -> bool:
    """Tell whether a connection to ``HOST:PORT`` opens within a time."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except OSError:
        return False
    return True
