"""A failure detector for the daemons that one entry sends requests to.

A daemon whose machine lost power, or whose links are cut, refuses nothing: a
connection attempt times out, and a request on a kept connection waits until
its deadline.  So the entry probes a daemon that is unresponsive while a
request waits for it, and a daemon that didn't accept a connection.  The
number of consecutive misses decides whether it gets new requests.

A daemon that accepts a connection has power and a network path.  Whether its
process is frozen or only busy shows in whether an answer arrives at all.
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

from chiveroad import answers

PROBE_AFTER_S: typing.Final = 0.2
"""A daemon is probed after a request has waited for it this long.  Most
requests take less, and probing a daemon that is only slow costs a packet."""

PROBE_TIMEOUT_S: typing.Final = 0.2
"""How long a probe waits for an answer: four times the two round trips that
it takes between regions."""

PROBE_PAUSE_S: typing.Final = 0.1
MAX_PROBE_PAUSE_S: typing.Final = 1.0
"""With each miss the pause between probes of a daemon doubles up to this
limit, so that machines that are gone for good cost little."""

UNREACHABLE_AFTER_MISSES: typing.Final = 2
"""One miss may be a lost packet, which is retransmitted only later."""

UNANSWERED_S: typing.Final = 1.0
"""How long a daemon that accepts connections may leave a probe unanswered
before it counts as frozen.  Callers time out after a second on a daemon that
hasn't read their request."""

_STATUS_BYTES: typing.Final = 512
"""How much of an answer to a probe is read: a guard's whole head.  A malformed
one shows that the address isn't a daemon's, or that it is in trouble."""

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
    """The reachability of one daemon.

    ``waiting`` counts the requests that wait for its answer.
    ``waiting_since_s`` is when the first of them began to wait, or the last
    contact if that was later.  ``misses`` counts failed attempts since the
    last contact.  ``frozen`` says that the daemon accepts connections but
    doesn't answer.  Times are in monotonic seconds.
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
        """Return whether the daemon is reachable."""
        if self.frozen or self.misses >= UNREACHABLE_AFTER_MISSES:
            return State.UNREACHABLE
        return State.SUSPECT if self.misses else State.REACHABLE

    def request_sent(self, now_s: float) -> None:
        """Record that a request begins to wait for an answer."""
        if not self.waiting:
            self.waiting_since_s = max(self.waiting_since_s, now_s)
        self.waiting += 1

    def request_ended(self) -> None:
        """Record that a request no longer waits."""
        self.waiting -= 1

    def record_contact(self, now_s: float) -> None:
        """Record that the daemon has responded."""
        self.waiting_since_s = self.last_contact_s = now_s
        self.misses = 0
        self.frozen = False

    def record_connect(self, frozen: bool, began_s: float) -> bool:
        """Record an accepted connection that wasn't answered.

        :param frozen: whether no answer came for ``UNANSWERED_S``.
        :returns: whether the attempt counts; see ``record_miss``.
        """
        if began_s < self.last_contact_s:
            return False
        self.misses = 1
        self.frozen = self.frozen or frozen
        return True

    def record_miss(self, began_s: float, now_s: float) -> bool:
        """Record an attempt that didn't reach the daemon.

        An attempt that began before the last contact or the last miss
        doesn't count: concurrent attempts fail for the same cause.

        :returns: whether the attempt counts.
        """
        if began_s < max(self.last_contact_s, self.last_miss_s):
            return False
        self.misses += 1
        self.last_miss_s = now_s
        return True

    def probe_due(self, now_s: float) -> bool:
        """Tell whether a probe of the daemon is due."""
        if self.misses:
            doubled = PROBE_PAUSE_S * 2 ** min(self.misses - 1, 8)
            pause_s = min(MAX_PROBE_PAUSE_S, doubled)
            return bool(now_s - self.last_probe_s >= pause_s)
        return (
            self.waiting > 0 and now_s - self.waiting_since_s >= PROBE_AFTER_S
        )


class ProbeResults(typing.NamedTuple):
    """The results of a round of probes, as addresses of daemons.

    Daemons in ``answered`` have answered.  Daemons in ``connected`` accepted
    a connection and haven't answered yet, and those in ``frozen`` haven't
    answered for ``UNANSWERED_S``.
    """

    answered: set[str]
    connected: set[str]
    frozen: set[str]


@dataclasses.dataclass(slots=True, eq=False)
class _Probe:
    """One probe.

    ``began_s`` is when its request was sent, or else when its connection
    attempt began.
    """

    address: str
    sock: socket.socket
    began_s: float
    requested: bool = False


class Prober:
    """Probes daemons with an HTTP request.

    A probe that isn't answered in time stays open, and its answer counts
    whenever it arrives.  Otherwise a daemon that takes slightly longer than
    the timeout would never count as responding.

    :param path: the path of the request.
    """

    def __init__(self, path: str) -> None:
        self._request = _REQUEST % path.encode("latin-1")
        self._open: list[_Probe] = []

    def probe(
        self,
        addresses: collections.abc.Iterable[str],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> ProbeResults:
        """Probe daemons and return which of them responded in time.

        The probes run concurrently, so that many take no longer than one.
        Any part of an answer counts that isn't malformed.  The
        timeout of an answer begins with the request, and sockets are polled
        once more before it counts as expired: a delay of this thread, when it
        got no CPU time, must not count as a delay of the daemons.
        """
        polled_s = time.monotonic()
        end_s = polled_s + timeout_s
        self._connect(addresses)
        answered: set[str] = set()
        poll = select.poll()
        open_ = {probe.sock.fileno(): probe for probe in self._open}
        for number, probe in open_.items():
            poll.register(
                number, select.POLLIN if probe.requested else select.POLLOUT
            )
        while open_:
            polled_s = time.monotonic()
            left_s = max(0.0, end_s - polled_s)
            events = poll.poll(left_s * 1000)
            if not (events or left_s):
                break
            for number, event in events:
                probe = open_[number]
                if self._send_request(probe, event):
                    poll.modify(number, select.POLLIN)
                    end_s = max(end_s, probe.began_s + timeout_s)
                    continue
                if event & select.POLLIN and _answered(probe.sock):
                    answered.add(probe.address)
                poll.unregister(number)
                open_.pop(number).sock.close()
        return self._classify(open_.values(), answered, polled_s)

    def end(self) -> None:
        """Close the open probes, whose answers would be read too late."""
        for probe in self._open:
            probe.sock.close()
        self._open = []

    def _connect(self, addresses: collections.abc.Iterable[str]) -> None:
        """Connect to each daemon that has no request pending."""
        requested = {probe.address for probe in self._open if probe.requested}
        for address in addresses:
            sock = None if address in requested else _connect(address)
            if sock is not None:
                self._open.append(_Probe(address, sock, time.monotonic()))

    def _send_request(self, probe: _Probe, event: int) -> bool:
        """Send the request of a probe once its connection is open.

        :returns: False if the probe is over: it was answered or has failed.
        """
        if event & (select.POLLIN | select.POLLERR | select.POLLHUP):
            return False
        try:
            probe.sock.send(self._request)
        except OSError:
            return False
        probe.requested = True
        probe.began_s = time.monotonic()
        return True

    def _classify(
        self,
        unanswered: collections.abc.Iterable[_Probe],
        answered: set[str],
        polled_s: float,
    ) -> ProbeResults:
        """Add unanswered probes to the results; close the expired ones.

        Probes that may still be answered stay open.

        :param polled_s: when the sockets were last polled.
        """
        expired_s = polled_s - UNANSWERED_S
        results = ProbeResults(answered, set(), set())
        self._open = []
        for probe in unanswered:
            expired = probe.began_s <= expired_s
            if probe.requested and probe.address not in answered:
                (results.frozen if expired else results.connected).add(
                    probe.address
                )
            if expired or probe.address in answered:
                probe.sock.close()
            else:
                self._open.append(probe)
        return results


def _connect(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if sock.connect_ex((host, int(port))) in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None


def _answered(sock: socket.socket) -> bool:
    try:
        return answers.begins_answer(sock.recv(_STATUS_BYTES))
    except OSError:
        return False
