"""Opens TCP connections, and checks whether an address accepts them."""

from __future__ import annotations

import collections.abc
import errno
import os
import select
import socket

AcceptsConnections = collections.abc.Callable[[str, float], bool]
"""Returns whether an address accepts a connection within some seconds."""

SocketOption = tuple[int, int, int | bytes]


def open_socket(
    host: str,
    port: int,
    timeout_s: float,
    options: collections.abc.Iterable[SocketOption] = (),
) -> socket.socket:
    """Return a connected socket; ``timeout_s`` stays its timeout.

    A blocking ``connect`` with a timeout isn't used: it fails when a
    connection opens after the timeout, but before the waiting thread is
    scheduled.

    :raises OSError: when the connection can't be opened; ``TimeoutError``
        when it isn't open at the time of the check after the timeout.
    """
    failure = OSError(f"{host} has no address")
    addresses = socket.getaddrinfo(host, port, 0, socket.SOCK_STREAM)
    for family, kind, protocol, _, address in addresses:
        sock = socket.socket(family, kind, protocol)
        try:
            for option in options:
                sock.setsockopt(*option)
            sock.setblocking(False)
            _connect(sock, address, timeout_s)
            sock.settimeout(timeout_s)
            return sock
        except OSError as exc:
            sock.close()
            failure = exc
    raise failure


def accepts_connections(address: str, timeout_s: float) -> bool:
    """Return whether ``HOST:PORT`` accepts a connection within a time."""
    host, _, port = address.rpartition(":")
    try:
        open_socket(host, int(port), timeout_s).close()
    except OSError:
        return False
    return True


def _connect(
    sock: socket.socket, address: tuple[object, ...], timeout_s: float
) -> None:
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        poll = select.poll()
        poll.register(sock, select.POLLOUT)
        if not (poll.poll(1000 * timeout_s) or poll.poll(0)):
            raise TimeoutError(f"not opened within {timeout_s} s")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
