"""Deciding whom a daemon follows, and when it asks the store itself.

Configurations are accepted outside of chiveroad, so all daemons could watch
the store; but each change is large, calls are paid for, and the link between
regions is narrow.  So one daemon watches and the others follow it along a
tree that all of them compute, see ``_order``.  Nobody holds a lease.  A
daemon follows the nearest above it that answers, and asks the store itself as
soon as it doesn't know for a while that its version is the newest: whatever
holds those above it up, the store bounds how late it is.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import typing

from chiveroad.control import _messages
from chiveroad.control import _order
from chiveroad import membership

STALE_S: typing.Final = 1.1
"""How long a version may go unconfirmed before the store is asked: a change
is to be in force two seconds after its acceptance."""

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


def parent(
    mine: membership.Member,
    tree: _order.Tree,
    failures: collections.abc.Mapping[str, Failure],
    now_s: float,
) -> membership.Member | None:
    """Return the daemon to follow, or None for the one that watches.

    That is the nearest above in the tree that hasn't just failed, or else
    the first in the order.  Only daemons that stand before this one are
    followed, so that no two wait for each other.
    """
    for member in itertools.chain(tree.above(mine), tree.before(mine)):
        failure = failures.get(member.instance)
        if failure is None or not failure.avoided(now_s):
            return member
    return None


def is_current(answer: _messages.SyncAnswer) -> bool:
    """Tell whether a parent knew its version to be the newest, or nearly."""
    return 0 <= answer.confirmed_ago_ms <= 1000 * STALE_S


def stale(confirmed_s: float | None, now_s: float) -> bool:
    """Tell whether the store must be asked whatever the parent says."""
    return confirmed_s is None or now_s - confirmed_s > STALE_S
