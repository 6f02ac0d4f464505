"""Counts the limits that clients reach, and logs them at a bounded rate."""

from __future__ import annotations

import collections.abc
import enum
import threading
import time
import typing

from chiveroad import logs

LINE_INTERVAL_S: typing.Final = 10.0
MAX_PEERS: typing.Final = 256
"""How many peers and reasons are told apart in an interval; peers beyond share
one line for each reason."""

COUNTER: typing.Final = "chiveroad.limits.reached"
OTHERS: typing.Final = "other peers"
_log = logs.Logger("limits")


class Reason(enum.Enum):
    """The limit that a client has reached."""

    CONNECTIONS = "connections"
    WAITING = "waiting"
    THREADS = "threads"
    FIELDS = "fields"
    BODY_MEMORY = "body-memory"


class Account:
    """Counts each limit reached; one log line a peer and reason in a period.

    :param count: called with the name and the label of a counter.
    """

    def __init__(
        self, count: collections.abc.Callable[[str, str], None]
    ) -> None:
        self._count = count
        self._lock = threading.Lock()
        self._period = 0
        self._lines: dict[tuple[str, Reason], int] = {}

    def reached(self, reason: Reason, peer: str) -> None:
        """Record that a peer has reached a limit."""
        self._count(COUNTER, reason.value)
        if self.is_new(reason, peer, time.monotonic()):
            _log.warning(
                "Limit {} reached by {}; its requests are refused or its "
                "connections closed. Further ones are only counted for {} s.",
                reason.value,
                peer,
                LINE_INTERVAL_S,
            )

    @classmethod
    def silent(cls) -> Account:
        """Return an account that counts nothing."""
        return cls(lambda name, label: None)

    def is_new(self, reason: Reason, peer: str, now_s: float) -> bool:
        """Return whether this is the first time in this period."""
        with self._lock:
            period = int(now_s / LINE_INTERVAL_S)
            if period != self._period:
                self._period = period
                self._lines.clear()
            if len(self._lines) >= MAX_PEERS:
                peer = OTHERS
            times = self._lines.get((peer, reason), 0)
            self._lines[peer, reason] = times + 1
            return not times
