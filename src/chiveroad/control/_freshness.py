"""Deciding whom a daemon follows, and when it asks the store itself.

Configurations are accepted outside of chiveroad, so all daemons could watch
the store; but each change is large, calls are paid for, and the link between
regions is narrow.  So one daemon watches and the others follow it along a
tree that all of them compute, see ``_follow_tree``.  Nobody holds a lease.  A
daemon follows the nearest above it that answers and is current.  It turns to
the next one above while its version goes unconfirmed, and asks the store
itself before it could be late: whatever holds those above it up, the store
bounds how old its version gets.  The store's answer is the whole
configuration, so it is the last to be asked, and in turn: hundreds that ask
in the same moment would fill the link that the first of them needs.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import typing

from chiveroad.control import _follow_tree
from chiveroad.control import _messages
from chiveroad import membership

STORE_RESERVE_S: typing.Final = 0.9
"""How long before a change must be in force the store is asked at the latest:
a whole configuration crosses a link that callers use as well, and is compiled
on an instance that they keep busy."""

SUSPECT_SHARE: typing.Final = 0.8
"""After this share of the time until the store is asked, another parent is:
its answer, or its silence, is known before the rest is over."""

BACKOFF_S: typing.Final = 2.0
MAX_BACKOFF_S: typing.Final = 16.0
"""A parent that failed is left out for this long, twice as long each time."""

BEHIND_RETRY_S: typing.Final = 0.15
"""One that answers, but is behind, is asked again after this time where all
others are left out as well: often enough to be relied on, see
``Bounds.relies_on``, where a version is to be in force within two seconds."""

MAX_FALLBACK_PARENTS: typing.Final = 4
"""How many of the first of the own region, and then of all, are asked once
all above have failed: while the store is down, everybody asks them."""

STAGGER_STEP_S: typing.Final = 0.05
"""By how much later each daemon of a region asks the store than the one that
stands before it, but for the first ``MAX_FIRST``: about the time that a whole
configuration takes between regions, so that those who wait for a parent that
is behind don't fill the link which it needs to catch up.  Only a daemon that
is answered waits for its turn, see ``Bounds.turn_s``."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """How long a version may go unconfirmed.

    :param apply_within_s: how soon after its acceptance a version is to be
        in force everywhere.

    >>> Bounds(2.0).stale(confirmed_s=10.0, now_s=11.0)
    False
    """

    apply_within_s: float

    @property
    def stale_after_s(self) -> float:
        """Return the time after which the store is asked.

        Where the bound leaves less than twice the time of the store's
        answer, half of it.
        """
        return max(
            self.apply_within_s - STORE_RESERVE_S, self.apply_within_s / 2
        )

    @property
    def suspect_after_s(self) -> float:
        """Return the time after which another parent is asked."""
        return SUSPECT_SHARE * self.stale_after_s

    def is_stale(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether the store must be asked whatever a parent says."""
        return confirmed_s is None or now_s - confirmed_s > self.stale_after_s

    def is_suspect(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether another parent is to be asked."""
        return (
            confirmed_s is None or now_s - confirmed_s > self.suspect_after_s
        )

    def likely_superseded(
        self, applied_at_s: float, confirmed_s: float | None, now_s: float
    ) -> bool:
        """Tell whether a doubtful version has likely been replaced.

        It has where the last confirmation came sooner after the last change
        than it is old by now: changes come faster than that.

        :param changed_s: when the version was put in force.
        """
        if confirmed_s is None or not self.is_suspect(confirmed_s, now_s):
            return False
        return now_s - confirmed_s >= confirmed_s - applied_at_s

    def store_due_in_s(
        self, confirmed_s: float | None, now_s: float, stagger_s: float = 0.0
    ) -> float:
        """Return the time until the store must be asked.

        :param turn_s: see ``turn_s``.
        """
        if confirmed_s is None:
            return 0.0
        return max(0.0, confirmed_s + self.stale_after_s + stagger_s - now_s)

    def stagger_s(self, position: int, answered: bool) -> float:
        """Return how much later than the bound a daemon asks the store.

        The first of a region asks sooner: all others wait for it.  One that
        is answered by a daemon that stands before it relies on that one's
        turn, which is sooner than its own, and so on up to the first.  One
        that isn't can rely on nobody, wherever it stands.

        :param place: how many of its region stand before it.
        :param answered: as told by ``relies_on``.
        """
        if not position:
            return self.suspect_after_s - self.stale_after_s
        if not answered:
            return 0.0
        return STAGGER_STEP_S * max(0, position - MAX_FALLBACK_PARENTS + 1)

    def answered_recently(self, last_answer_s: float, now_s: float) -> bool:
        """Tell whether other daemons have answered lately.

        One that answers at this moment takes part in what is going on; what
        it said before the version became doubtful tells nothing.

        :param answered_s: when one of them answered last.
        """
        return (
            now_s - last_answer_s <= self.stale_after_s - self.suspect_after_s
        )

    def hold_s(self, confirmed_s: float | None, now_s: float) -> float:
        """Return how long an answer without a confirmation may take."""
        left_s = self.store_due_in_s(confirmed_s, now_s)
        until_suspect_s = left_s - (self.stale_after_s - self.suspect_after_s)
        return until_suspect_s if until_suspect_s > 0 else left_s

    def is_current(self, answer: _messages.SyncAnswer) -> bool:
        """Tell whether a parent knew its version to be nearly the newest."""
        return 0 <= answer.confirmed_ago_ms <= 1000 * self.stale_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """How often in a row a parent has failed, and when it did last."""

    at_s: float
    count: int
    behind: bool = False

    def in_backoff(self, now_s: float) -> bool:
        """Tell whether the parent is still left out."""
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** (self.count - 1))
        return now_s - self.at_s < backoff_s


def choose_parent(
    own: membership.Member,
    tree: _follow_tree.FollowTree,
    failures: collections.abc.Mapping[str, Failure],
    now_s: float,
    pending: collections.abc.Container[str] = frozenset(),
) -> membership.Member | None:
    """Return the daemon to follow, or None where there is none at present.

    That is the nearest above in the tree that hasn't just failed, or else
    one of the first of its region, or of all.  Only daemons that stand before
    this one are followed, so that no two wait for each other.

    :param pending: the names of those that are asked already.
    """
    region_predecessors = (
        m for m in tree.predecessors(own) if m.region == own.region
    )
    fleet_predecessors = itertools.islice(
        tree.predecessors(own), MAX_FALLBACK_PARENTS
    )
    behind: list[tuple[float, membership.Member]] = []
    for member in itertools.chain(
        tree.ancestors(own),
        itertools.islice(region_predecessors, MAX_FALLBACK_PARENTS),
        fleet_predecessors,
    ):
        if member.instance in pending:
            continue
        failure = failures.get(member.instance)
        if failure is None or not failure.in_backoff(now_s):
            return member
        if failure.behind and now_s - failure.at_s >= BEHIND_RETRY_S:
            behind.append((failure.at_s, member))
    return min(behind, key=lambda found: found[0])[1] if behind else None
