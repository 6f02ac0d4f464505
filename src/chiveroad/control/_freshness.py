"""Deciding whom a daemon follows, and when it asks the store itself.

Configurations are accepted outside of chiveroad, so all daemons could watch
the store; but each change is large, calls are paid for, and the link between
regions is narrow.  So one daemon watches and the others follow it: the first
in an order that all of them know.  Nobody holds a lease.  A daemon follows
whoever stands first before it and answers, and asks the store itself as soon
as it doesn't know for a while that its version is the newest: whatever holds
its parent up, the store bounds how late it is.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chiveroad import membership

STALE_S: typing.Final = 1.1
"""How long a version may go unconfirmed before the store is asked: a change
is to be in force two seconds after its acceptance."""

DISTANCE_STEP_MS: typing.Final = 12
"""Daemons whose distance to the store differs by less count as equal."""

AVOID_S: typing.Final = 2.0
MAX_AVOID_S: typing.Final = 16.0
"""A parent that failed is left out for this long, twice as long each time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """How often in a row a parent has failed, and when it did last."""

    at_s: float
    count: int

    def avoided(self, now_s: float) -> bool:
        """Tell whether the parent is still left out."""
        wait_s = min(MAX_AVOID_S, AVOID_S * 2.0 ** (self.count - 1))
        return now_s - self.at_s < wait_s


def rank(member: membership.Member) -> tuple[int, str]:
    """Return a daemon's place in the order, the store's neighbours first."""
    return member.store_distance_ms // DISTANCE_STEP_MS, member.instance


def parent(
    mine: membership.Member,
    members: collections.abc.Iterable[membership.Member],
    failures: collections.abc.Mapping[str, Failure],
    now_s: float,
) -> membership.Member | None:
    """Return the daemon to follow, or None for the one that watches.

    Only daemons that stand before this one are followed, so that no two
    wait for each other.
    """
    before = [
        member
        for member in members
        if member.alive
        and member.instance != mine.instance
        and rank(member) < rank(mine)
    ]
    for member in sorted(before, key=rank):
        failure = failures.get(member.instance)
        if failure is None or not failure.avoided(now_s):
            return member
    return None


def stale(confirmed_s: float | None, now_s: float) -> bool:
    """Tell whether the store must be asked whatever the parent says."""
    return confirmed_s is None or now_s - confirmed_s > STALE_S
