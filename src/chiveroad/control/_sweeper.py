"""Removing the records of daemons that are gone for good.

A daemon that stops as planned removes its record or comes back; one whose
instance is lost leaves it behind, and entries would go on to probe it.  The
daemons of a failure domain stand in a ring, in name order, and each looks
after those that follow it, up to the first that answers: so one daemon
watches one, and a whole rack that is lost is swept by the one before it.

A record that is removed by mistake does no lasting harm: its daemon hears of
it and writes it again.
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
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

SWEEP_INTERVAL_S: typing.Final = 60.0
"""The pause between two looks at the ring."""

REMOVE_AFTER_S: typing.Final = 600.0
"""A daemon that took no connection for this long is gone for good: an
instance that restarts is back sooner."""

MAX_GAP_S: typing.Final = 3 * SWEEP_INTERVAL_S
"""Turns that are further apart don't show what was in between: the process
was stopped, or its turns took that long."""

MAX_SUCCESSORS: typing.Final = 8
"""How many daemons are looked at in one turn, so that a turn is short."""

CONNECT_TIMEOUT_S: typing.Final = 0.5
"""Far above a round trip within a failure domain, also on a busy day."""

_log = logs.Logger("membership")


def successors(
    own: membership.Member,
    members: collections.abc.Iterable[membership.Member],
) -> list[membership.Member]:
    """Return the recorded daemons that follow one in its domain's ring."""
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
    """Since when the daemons that were looked at have been silent."""

    def __init__(self) -> None:
        self._condition_timer = _condition_timer.ConditionTimer()
        self._last_sweep_s = 0.0

    def removable(
        self,
        unresponsive: collections.abc.Collection[str],
        probed: int,
        now_s: float,
    ) -> list[str]:
        """Take in one turn, and return who is gone for good.

        :param silent: those that didn't answer in this turn.
        :param asked: how many were asked; where several were and none has
            answered, it is rather the asking daemon that is cut off.
        """
        if probed > 1 and len(unresponsive) == probed:
            unresponsive = ()
        if now_s - self._last_sweep_s > MAX_GAP_S:
            self._condition_timer = _condition_timer.ConditionTimer()
        self._last_sweep_s = now_s
        return self._condition_timer.exceeding(
            unresponsive, now_s, REMOVE_AFTER_S
        )


class Sweeper:
    """One daemon's share of removing what is gone for good."""

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        connects: connection.Connects = connection.connects,
    ) -> None:
        self._store = platform
        self._node = node
        self._connects = connects
        self._unresponsive_timer = UnresponsiveTimer()
        self._member_expiry = _member_expiry.MemberExpiry(
            node.view, node.member.instance
        )

    def tick(self, now_s: float | None = None) -> None:
        """Look at the ring once."""
        now_s = time.monotonic() if now_s is None else now_s
        self._member_expiry.expire(now_s)
        probed = successors(self._node.member, self._node.view.all())
        unresponsive = {
            member.instance: member
            for member in itertools.takewhile(
                lambda member: not self._connects(
                    member.control, CONNECT_TIMEOUT_S
                ),
                probed,
            )
        }
        for name in self._unresponsive_timer.removable(
            unresponsive, len(probed), now_s
        ):
            self._remove(unresponsive[name])

    def _remove(self, member: membership.Member) -> None:
        """Delete a record, unless it has been written since."""
        try:
            self._store.delete(
                store.Kind.MEMBERS, member.instance, member.sequence
            )
        except errors.StoreError as exc:
            _log.info("The record of {} stays: {}.", member.instance, exc)
            return
        _log.warning(
            "The record of {} is removed: silent for {} s.",
            member.instance,
            REMOVE_AFTER_S,
        )
