"""Removal of the records of daemons that are permanently lost.

A daemon that stops as planned removes its record or restarts.  A daemon whose
instance is lost leaves its record behind, and entries would go on probing it.
The daemons of a failure domain form a ring in name order.  Each daemon probes
its successors, up to the first that accepts a connection: so each daemon is
usually probed by one other, and the records of a whole lost rack are removed
by the daemon before it.

A record that is removed by mistake does no lasting harm: its daemon receives
the deletion and writes the record again.
"""

from __future__ import annotations

import collections.abc
import itertools
import time
import typing

from chiveroad import connection
from chiveroad.control import _condition_timer
from chiveroad.control import _member_expiry
from chiveroad.control import _node
from chiveroad.control import _record
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

SWEEP_INTERVAL_S: typing.Final = 60.0
"""The pause between two sweeps."""

REMOVE_AFTER_S: typing.Final = 600.0
"""A daemon that accepted no connection for this long is permanently lost: an
instance that restarts is back sooner."""

MAX_GAP_S: typing.Final = 3 * SWEEP_INTERVAL_S
"""Longest gap between two sweeps of one period.  A longer gap starts a new
period, as the state in between is unknown: the process was stopped, or its
sweeps took that long."""

MAX_SUCCESSORS: typing.Final = 8
"""Limit of probes in one sweep, so that a sweep is short."""

CONNECT_TIMEOUT_S: typing.Final = 0.5
"""Far above a round trip within a failure domain, even under high load."""

_log = logs.Logger("membership")


def successors(
    own: membership.Member,
    members: collections.abc.Iterable[membership.Member],
) -> list[membership.Member]:
    """Return the recorded daemons that follow ``own`` in its domain's ring."""
    others = sorted(
        (
            member
            for member in members
            if member.failure_domain == own.failure_domain
            and member.instance != own.instance
            and member.sequence
        ),
        key=lambda member: (
            member.instance < own.instance,
            member.instance,
        ),
    )
    return others[:MAX_SUCCESSORS]


class UnresponsiveTimer:
    """Measures for how long probed daemons have been unresponsive."""

    def __init__(self) -> None:
        self._condition_timer = _condition_timer.ConditionTimer()
        self._last_sweep_s = 0.0

    def removable(
        self,
        unresponsive: collections.abc.Collection[str],
        candidates: int,
        now_s: float,
    ) -> list[str]:
        """Process one sweep, and return the permanently lost daemons.

        :param unresponsive: the probed daemons that didn't answer.
        :param candidates: how many successors the daemon has.  Where it has
            several and none has answered, the probing daemon itself is more
            likely cut off, and all periods start anew.
        """
        if candidates > 1 and len(unresponsive) == candidates:
            unresponsive = ()
        if now_s - self._last_sweep_s > MAX_GAP_S:
            self._condition_timer = _condition_timer.ConditionTimer()
        self._last_sweep_s = now_s
        return self._condition_timer.exceeding(
            unresponsive, now_s, REMOVE_AFTER_S
        )


class Sweeper:
    """One daemon's part in removing the records of lost daemons.

    :param accepts_connections: tells whether an address accepts connections.
    """

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        accepts_connections: connection.AcceptsConnections = (
            connection.accepts_connections
        ),
    ) -> None:
        self._store = platform
        self._node = node
        self._accepts_connections = accepts_connections
        self._unresponsive_timer = UnresponsiveTimer()
        self._member_expiry = _member_expiry.MemberExpiry(
            node.view, node.member.instance
        )

    def tick(self, now_s: float | None = None) -> None:
        """Run one sweep."""
        now_s = time.monotonic() if now_s is None else now_s
        self._member_expiry.expire(now_s)
        candidates = successors(self._node.member, self._node.view.all())
        unresponsive = {
            member.instance: member
            for member in itertools.takewhile(
                lambda member: not self._accepts_connections(
                    member.control, CONNECT_TIMEOUT_S
                ),
                candidates,
            )
        }
        for name in self._unresponsive_timer.removable(
            unresponsive, len(candidates), now_s
        ):
            self._remove(unresponsive[name])

    def _remove(self, member: membership.Member) -> None:
        """Delete a record, unless it was written again since it was read."""
        try:
            stored = self._store.get(store.Kind.MEMBERS, member.instance)
            record = _record.read(stored)
            if record and record.member.recorded_at != member.recorded_at:
                return
            self._store.delete(
                store.Kind.MEMBERS, member.instance, stored.version
            )
        except errors.StoreError as exc:
            _log.info(
                "Record of {} could not be deleted: {}.", member.instance, exc
            )
            return
        _log.warning(
            "Record of {} deleted: unresponsive for {} s.",
            member.instance,
            REMOVE_AFTER_S,
        )
