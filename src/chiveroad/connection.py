"""Opens TCP connections, and checks whether an address accepts them."""

from __future__ import annotations

import collections.abc
import errno
import os
import re
import select
import socket
import typing

AcceptsConnections = collections.abc.Callable[[str, float], bool]
"""Returns whether an address accepts a connection within some seconds."""

SocketOption = tuple[int, int, int | bytes]

EXIT_S: typing.Final = 0.01
"""How long the kernel may take to close all sockets of a process that exits.
"""


_LABEL: typing.Final = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_ADDRESS: typing.Final = re.compile(
    rf"(?P<host>{_LABEL}(\.{_LABEL})*):(?P<port>[0-9]{{1,5}})"
)
_MAX_HOST_LENGTH: typing.Final = 253
_MAX_PORT: typing.Final = 65_535


def is_address(text: str) -> bool:
    """Tell whether a text is ``HOST:PORT``, as it can be connected to.

    >>> is_address("10.0.0.9:8080"), is_address("10.0.0.9:99999")
    (True, False)
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or len(found["host"]) > _MAX_HOST_LENGTH:
        return False
    return 0 < int(found["port"]) <= _MAX_PORT


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


def refuses_connections(address: str, timeout_s: float) -> bool:
    """Return whether nothing listens at ``HOST:PORT``.

    An address that neither accepts nor refuses within the time doesn't count.
    A process that exits may close its listening socket after others, so that
    an accepted connection is closed at once, and the next one is refused.
    """
    host, _, port = address.rpartition(":")
    for _ in range(2):
        try:
            with open_socket(host, int(port), timeout_s) as sock:
                poll = select.poll()
                poll.register(sock, select.POLLRDHUP)
                if not poll.poll(1000 * EXIT_S):
                    return False
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False


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
