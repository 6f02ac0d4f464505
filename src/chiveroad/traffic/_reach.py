"""Whether the daemons of a service can be reached, as one entry sees it.

A daemon whose machine lost power, or whose links are cut, refuses nothing: a
connection attempt times out, and a request on a kept connection waits until
its deadline.  So a daemon that is silent while a request waits for it is
probed, and so is one that took no connection.  The misses in a row decide
whether it gets new requests.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import errno
import select
import socket
import time
import typing

QUIET_S: typing.Final = 0.2
"""How long a daemon may be silent while a request waits for it.  Most
requests take less; a probe of a daemon that is only slow costs a packet."""

PROBE_TIMEOUT_S: typing.Final = 0.2
"""How long a probe waits: four times the two round trips between regions."""

PROBE_PAUSE_S: typing.Final = 0.1
MAX_PROBE_PAUSE_S: typing.Final = 1.0
"""The pause between probes of one daemon doubles up to this with each miss,
so that the machines that are gone for good cost little."""

LOST_AFTER_MISSES: typing.Final = 2
"""A single miss may be a lost packet, which is sent again only later."""

_REQUEST: typing.Final = (
    b"GET %b HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
)


class State(enum.IntEnum):
    """Whether a daemon can be reached; lower is better."""

    REACHED = 0
    DOUBTED = 1
    LOST = 2


@dataclasses.dataclass(slots=True)
class Reach:
    """What is known of the way to one daemon.

    ``waiting`` counts the requests that wait for an answer from it,
    ``quiet_since_s`` is when it was last heard, or when the first of them
    began to wait, and ``misses`` counts failed attempts since it was last
    heard.  Times are in monotonic seconds.
    """

    waiting: int = 0
    quiet_since_s: float = 0.0
    misses: int = 0
    probed_s: float = 0.0
    heard_s: float = 0.0
    missed_s: float = 0.0

    @property
    def state(self) -> State:
        """Return whether the daemon can be reached."""
        if self.misses >= LOST_AFTER_MISSES:
            return State.LOST
        return State.DOUBTED if self.misses else State.REACHED

    def sent(self, now_s: float) -> None:
        """Note a request that waits for an answer from now on."""
        if not self.waiting:
            self.quiet_since_s = max(self.quiet_since_s, now_s)
        self.waiting += 1

    def ended(self) -> None:
        """Note that a request no longer waits."""
        self.waiting -= 1

    def heard(self, now_s: float) -> None:
        """Note a sign of life."""
        self.quiet_since_s = self.heard_s = now_s
        self.misses = 0

    def missed(self, began_s: float, now_s: float) -> bool:
        """Note an attempt that reached nobody; tell whether it counts.

        One that began before the last sign of life or the last miss tells
        nothing that isn't known: attempts side by side fail of one cause.
        """
        if began_s < max(self.heard_s, self.missed_s):
            return False
        self.misses += 1
        self.missed_s = now_s
        return True

    def probe_due(self, now_s: float) -> bool:
        """Tell whether the daemon is to be probed now."""
        if self.misses:
            doubled = PROBE_PAUSE_S * 2 ** min(self.misses - 1, 8)
            pause_s = min(MAX_PROBE_PAUSE_S, doubled)
            return bool(now_s - self.probed_s >= pause_s)
        return self.waiting > 0 and now_s - self.quiet_since_s >= QUIET_S


def probe(
    addresses: collections.abc.Iterable[str],
    path: str,
    timeout_s: float = PROBE_TIMEOUT_S,
) -> set[str]:
    """Return which of several daemons answer a request within a time.

    They are asked side by side, so that one probe of many lasts no longer
    than one of a single daemon.  Any byte of an answer counts.  The time for
    an answer begins with the request, and what has arrived is read before
    the time is found to be over: a thread that got no processor meanwhile
    tells nothing of the daemons.
    """
    end_s = time.monotonic() + timeout_s
    asked: dict[int, tuple[str, socket.socket]] = {}
    living: set[str] = set()
    poll = select.poll()
    try:
        for address in addresses:
            sock = _begin(address)
            if sock is not None:
                asked[sock.fileno()] = (address, sock)
                poll.register(sock, select.POLLOUT)
        while asked:
            left_s = max(0.0, end_s - time.monotonic())
            events = poll.poll(left_s * 1000)
            if not (events or left_s):
                break
            for number, event in events:
                address, sock = asked[number]
                if _go_on(sock, event, poll, path):
                    end_s = max(end_s, time.monotonic() + timeout_s)
                    continue
                if event & select.POLLIN and _answered(sock):
                    living.add(address)
                poll.unregister(number)
                asked.pop(number)[1].close()
    finally:
        for _, sock in asked.values():
            sock.close()
    return living


def _begin(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if sock.connect_ex((host, int(port))) in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None


def _go_on(
    sock: socket.socket, event: int, poll: select.poll, path: str
) -> bool:
    """Send the request once connected; False when there is no more to do."""
    if event & (select.POLLIN | select.POLLERR | select.POLLHUP):
        return False
    try:
        sock.send(_REQUEST % path.encode("latin-1"))
    except OSError:
        return False
    poll.modify(sock, select.POLLIN)
    return True


def _answered(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1))
    except OSError:
        return False
