"""Tells whether the local target has ended, and names each of its ends.

All requests that the target was running report the same end, whose name counts
once.  A target may be started again by its platform with the id that it had,
or be known by no id at all: the name holds the number of the end, too.
"""

from __future__ import annotations

import dataclasses
import secrets
import threading
import typing

from chiveroad import connection
from chiveroad import presence

END_CHECK_TIMEOUT_S: typing.Final = 0.1
"""On the same machine a connection is accepted or refused at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Recipient:
    """The target as it was when a request was sent to it.

    ``ends`` is the number of ends that had been noticed.
    """

    status: presence.TargetStatus
    ends: int


class TargetEnds:
    """The ends of the local target that this daemon has noticed.

    :param address: the target's ``HOST:PORT``.
    """

    def __init__(self, target: presence.LocalTarget, address: str) -> None:
        self._target = target
        self._address = address
        self._lock = threading.Lock()
        self._ends = 0
        self._start = secrets.token_hex(4)
        """Tells the ends that this process numbers from those of others."""

    def recipient(self) -> Recipient:
        """Return the target that a request is sent to now."""
        return Recipient(self._target.status, self._ends)

    def name_end(self, recipient: Recipient) -> str:
        """Return the name of the unplanned end of a request's target.

        A target that only broke off one answer still accepts connections.

        :returns: an empty string when the target hasn't ended.
        """
        if not self._has_ended(recipient.status):
            return ""
        with self._lock:
            # Of the requests that it was running, the first one counts.
            if recipient.ends == self._ends:
                self._ends += 1
        return (
            f"{recipient.status.target_id}@{recipient.status.started_at_ms}"
            f"/{self._start}.{recipient.ends}"
        )

    def _has_ended(self, before: presence.TargetStatus) -> bool:
        status = self._target.status
        if before.leaves or status.leaves:
            return False
        if status.incarnation != before.incarnation:
            return True
        return connection.refuses_connections(
            self._address, END_CHECK_TIMEOUT_S
        )
