"""Whether the daemons of a service can be reached, as one entry sees it.

A daemon whose machine lost power, or whose links are cut, refuses nothing: a
connection attempt times out, and a request on a kept connection waits until
its deadline.  So a daemon that is silent while a request waits for it is
probed, and so is one that took no connection.  The misses in a row decide
whether it gets new requests.

A daemon that takes a connection has power and a path; whether its process is
frozen or only busy shows in whether the answer comes at all.
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

PROBE_AFTER_S: typing.Final = 0.2
"""How long a daemon may be silent while a request waits for it.  Most
requests take less; a probe of a daemon that is only slow costs a packet."""

PROBE_TIMEOUT_S: typing.Final = 0.2
"""How long a probe waits: four times the two round trips between regions."""

PROBE_PAUSE_S: typing.Final = 0.1
MAX_PROBE_PAUSE_S: typing.Final = 1.0
"""The pause between probes of one daemon doubles up to this with each miss,
so that the machines that are gone for good cost little."""

UNREACHABLE_AFTER_MISSES: typing.Final = 2
"""A single miss may be a lost packet, which is sent again only later."""

UNANSWERED_S: typing.Final = 1.0
"""For how long a daemon that takes connections may leave a probe unanswered:
callers give up one that hasn't read their request for a second."""

_REQUEST: typing.Final = (
    b"GET %b HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
)


class State(enum.IntEnum):
    """Whether a daemon can be reached; lower is better."""

    REACHABLE = 0
    SUSPECT = 1
    UNREACHABLE = 2


@dataclasses.dataclass(slots=True)
class Reachability:
    """What is known of the way to one daemon.

    ``waiting`` counts the requests that wait for an answer from it,
    ``waiting_since_s`` is when it was last heard, or when the first of them
    began to wait, and ``misses`` counts failed attempts since it was last
    heard.  ``frozen`` says that it takes connections and answers nothing.
    Times are in monotonic seconds.
    """

    waiting: int = 0
    waiting_since_s: float = 0.0
    misses: int = 0
    last_probe_s: float = 0.0
    last_contact_s: float = 0.0
    last_miss_s: float = 0.0
    frozen: bool = False

    @property
    def state(self) -> State:
        """Return whether the daemon can be reached."""
        if self.frozen or self.misses >= UNREACHABLE_AFTER_MISSES:
            return State.UNREACHABLE
        return State.SUSPECT if self.misses else State.REACHABLE

    def request_sent(self, now_s: float) -> None:
        """Note a request that waits for an answer from now on."""
        if not self.waiting:
            self.waiting_since_s = max(self.waiting_since_s, now_s)
        self.waiting += 1

    def request_ended(self) -> None:
        """Note that a request no longer waits."""
        self.waiting -= 1

    def record_contact(self, now_s: float) -> None:
        """Note a sign of life."""
        self.waiting_since_s = self.last_contact_s = now_s
        self.misses = 0
        self.frozen = False

    def record_connect(self, frozen: bool, began_s: float) -> bool:
        """Note a connection without an answer; see ``record_miss``.

        :param frozen: whether it was silent for ``UNANSWERED_S``.
        """
        if began_s < self.last_contact_s:
            return False
        self.misses = 1
        self.frozen = self.frozen or frozen
        return True

    def record_miss(self, began_s: float, now_s: float) -> bool:
        """Note an attempt that reached nobody; tell whether it counts.

        One that began before the last sign of life or the last miss tells
        nothing that isn't known: attempts side by side fail of one cause.
        """
        if began_s < max(self.last_contact_s, self.last_miss_s):
            return False
        self.misses += 1
        self.last_miss_s = now_s
        return True

    def probe_due(self, now_s: float) -> bool:
        """Tell whether the daemon is to be probed now."""
        if self.misses:
            doubled = PROBE_PAUSE_S * 2 ** min(self.misses - 1, 8)
            pause_s = min(MAX_PROBE_PAUSE_S, doubled)
            return bool(now_s - self.last_probe_s >= pause_s)
        return (
            self.waiting > 0 and now_s - self.waiting_since_s >= PROBE_AFTER_S
        )


class ProbeResults(typing.NamedTuple):
    """The results of a probe: the signs of life that daemons gave.

    Those in ``connected`` took a connection and haven't answered yet, those
    in ``frozen`` haven't for ``UNANSWERED_S``.
    """

    answered: set[str]
    connected: set[str]
    frozen: set[str]


@dataclasses.dataclass(slots=True, eq=False)
class _Probe:
    """One probe; ``began_s`` is when its connection, or request, began."""

    address: str
    sock: socket.socket
    began_s: float
    asked: bool = False


class Prober:
    """Asks daemons for a sign of life.

    A probe that has no answer in time stays open, and its answer counts
    whenever it comes: a daemon that takes a little longer than the time
    would else be silent for as long as it is probed.

    :param path: what to ask for.
    """

    def __init__(self, path: str) -> None:
        self._request = _REQUEST % path.encode("latin-1")
        self._open: list[_Probe] = []

    def probe(
        self,
        addresses: collections.abc.Iterable[str],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> ProbeResults:
        """Return who gives a sign of life within a time.

        They are asked side by side, so that one probe of many lasts no
        longer than one of a single daemon.  Any byte of an answer counts.
        The time for an answer begins with the request, and what has arrived
        is read before the time is found to be over: a thread that got no
        processor meanwhile tells nothing of the daemons.
        """
        looked_s = time.monotonic()
        end_s = looked_s + timeout_s
        self._begin(addresses)
        answered: set[str] = set()
        poll = select.poll()
        open_ = {probe.sock.fileno(): probe for probe in self._open}
        for number, probe in open_.items():
            poll.register(
                number, select.POLLIN if probe.asked else select.POLLOUT
            )
        while open_:
            looked_s = time.monotonic()
            left_s = max(0.0, end_s - looked_s)
            events = poll.poll(left_s * 1000)
            if not (events or left_s):
                break
            for number, event in events:
                probe = open_[number]
                if self._ask(probe, event):
                    poll.modify(number, select.POLLIN)
                    end_s = max(end_s, probe.began_s + timeout_s)
                    continue
                if event & select.POLLIN and _answered(probe.sock):
                    answered.add(probe.address)
                poll.unregister(number)
                open_.pop(number).sock.close()
        return self._judge(open_.values(), answered, looked_s)

    def end(self) -> None:
        """End the probes that are open; an answer would be old once read."""
        for probe in self._open:
            probe.sock.close()
        self._open = []

    def _begin(self, addresses: collections.abc.Iterable[str]) -> None:
        """Open a connection to each that hasn't been asked yet."""
        asked = {probe.address for probe in self._open if probe.asked}
        for address in addresses:
            sock = None if address in asked else _begin(address)
            if sock is not None:
                self._open.append(_Probe(address, sock, time.monotonic()))

    def _ask(self, probe: _Probe, event: int) -> bool:
        """Send the request once connected; False when that isn't all."""
        if event & (select.POLLIN | select.POLLERR | select.POLLHUP):
            return False
        try:
            probe.sock.send(self._request)
        except OSError:
            return False
        probe.asked = True
        probe.began_s = time.monotonic()
        return True

    def _judge(
        self,
        unanswered: collections.abc.Iterable[_Probe],
        answered: set[str],
        looked_s: float,
    ) -> ProbeResults:
        """Keep the probes that may still be answered, and end the others.

        :param looked_s: until when all that arrived has been seen.
        """
        old_s = looked_s - UNANSWERED_S
        results = ProbeResults(answered, set(), set())
        self._open = []
        for probe in unanswered:
            old = probe.began_s <= old_s
            if probe.asked and probe.address not in answered:
                (results.frozen if old else results.connected).add(
                    probe.address
                )
            if old or probe.address in answered:
                probe.sock.close()
            else:
                self._open.append(probe)
        return results


def _begin(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if sock.connect_ex((host, int(port))) in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None


def _answered(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1))
    except OSError:
        return False
