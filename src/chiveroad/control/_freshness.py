"""Deciding whom a daemon follows, and when it asks the store itself.

Configurations are accepted outside of chiveroad, so all daemons could watch
the store; but each change is large, calls are paid for, and the link between
regions is narrow.  So one daemon watches and the others follow it along a
tree that all of them compute, see ``_order``.  Nobody holds a lease.  A
daemon follows the nearest above it that answers and is current.  It turns to
the next one above while its version goes unconfirmed, and asks the store
itself before it could be late: whatever holds those above it up, the store
bounds how old its version gets.  The store's answer is the whole
configuration, so it is the last to be asked.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import typing

from chiveroad.control import _messages
from chiveroad.control import _order
from chiveroad import membership

STORE_S: typing.Final = 0.9
"""How long before a change must be in force the store is asked at the latest:
a whole configuration crosses a link that callers use as well, and is compiled
on an instance that they keep busy."""

DOUBT_SHARE: typing.Final = 0.8
"""After this share of the time until the store is asked, another parent is:
its answer, or its silence, is known before the rest is over."""

AVOID_S: typing.Final = 2.0
MAX_AVOID_S: typing.Final = 16.0
"""A parent that failed is left out for this long, twice as long each time."""

MAX_FIRST: typing.Final = 4
"""How many of the first in the order are asked once all above have failed:
while the store is down, everybody asks them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How long a version may go unconfirmed.

    :param apply_within_s: how soon after its acceptance a version is to be
        in force everywhere.

    >>> Bounds(2.0).stale(confirmed_s=10.0, now_s=11.0)
    False
    """

    apply_within_s: float

    @property
    def stale_s(self) -> float:
        """Return the time after which the store is asked.

        Where the bound leaves less than twice the time of the store's
        answer, half of it.
        """
        return max(self.apply_within_s - STORE_S, self.apply_within_s / 2)

    @property
    def doubt_s(self) -> float:
        """Return the time after which another parent is asked."""
        return DOUBT_SHARE * self.stale_s

    def stale(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether the store must be asked whatever a parent says."""
        return confirmed_s is None or now_s - confirmed_s > self.stale_s

    def doubtful(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether another parent is to be asked."""
        return confirmed_s is None or now_s - confirmed_s > self.doubt_s

    def left_s(self, confirmed_s: float | None, now_s: float) -> float:
        """Return the time until the store must be asked."""
        if confirmed_s is None:
            return 0.0
        return max(0.0, confirmed_s + self.stale_s - now_s)

    def hold_s(self, confirmed_s: float | None, now_s: float) -> float:
        """Return how long an answer without a confirmation may take."""
        left_s = self.left_s(confirmed_s, now_s)
        until_doubtful_s = left_s - (self.stale_s - self.doubt_s)
        return until_doubtful_s if until_doubtful_s > 0 else left_s

    def is_current(self, answer: _messages.SyncAnswer) -> bool:
        """Tell whether a parent knew its version to be nearly the newest."""
        return 0 <= answer.confirmed_ago_ms <= 1000 * self.stale_s


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
    one of the first in the order.  Only daemons that stand before this one are
    followed, so that no two wait for each other.
    """
    first = itertools.islice(tree.before(mine), MAX_FIRST)
    for member in itertools.chain(tree.above(mine), first):
        failure = failures.get(member.instance)
        if failure is None or not failure.avoided(now_s):
            return member
    return None
