"""Whom a daemon follows, as far as it knows the others.

A deployment starts many daemons at once, and some of them stand before those
that run.  What has just been heard of leads nobody yet: it has no connection,
perhaps no version, and all of a region would turn to it in the same moment.
"""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

from chiveroad import clock
from chiveroad.control import _follow_tree
from chiveroad.control import _freshness
from chiveroad import logs
from chiveroad import membership

SETTLE_S: typing.Final = 3.0
"""How long after a daemon was first heard of it is followed; the time in
which one that starts has read its version and followed others itself."""

_log = logs.Logger("control")


class Parents:
    """Those that stand before a daemon.

    :param mine: returns the daemon as it is at present.
    :param view: all members.
    """

    def __init__(
        self,
        mine: collections.abc.Callable[[], membership.Member],
        view: membership.View,
    ) -> None:
        self.failures: dict[str, _freshness.Failure] = {}
        self._mine = mine
        self._view = view
        self._lock = threading.Lock()
        self._settles_s: dict[tuple[str, int], float] = {}
        """When each life of a daemon has settled, in monotonic seconds."""

        self._next_settles_s = 0.0
        self._made_of: tuple[int, int] | None = None
        self._whole = _follow_tree.FollowTree(())
        self._settled = _follow_tree.FollowTree(())
        self._place = 0
        self._started_s = time.monotonic()

    def tree(self) -> _follow_tree.FollowTree:
        """Return the tree of those that have settled."""
        self._update()
        return self._settled

    def choose(
        self,
        confirmed: bool,
        pending: collections.abc.Container[str] = frozenset(),
    ) -> membership.Member | None:
        """Return whom to ask next, or None.

        Daemons that haven't settled are asked where this one hasn't, either:
        a whole fleet may have started.

        :param confirmed: whether the version is known to be the newest; one
            that isn't is asked for from daemons that haven't settled, too.
        :param pending: the names of those that are asked already.
        """
        self._update()
        mine = self._mine()
        now_s = clock.now_s()
        young = time.monotonic() - self._started_s < SETTLE_S
        trees = [self._settled]
        if young or not confirmed:
            trees.append(self._whole)
        for tree in trees:
            found = _freshness.parent(
                mine, tree, self.failures, now_s, pending
            )
            if found is not None:
                return found
        return None

    def place(self) -> int:
        """Return how many of the own region stand before this daemon."""
        self._update()
        return self._place

    def rely_on(self, parent: membership.Member) -> None:
        """Note that a parent has answered well."""
        self.failures.pop(parent.instance, None)
        with self._lock:
            if self._settles_s.get(_life(parent)):
                self._settles_s[_life(parent)] = 0.0
                self._made_of = None

    def settle(self) -> None:
        """Note that all known so far were there before this daemon."""
        self._update()
        with self._lock:
            self._settles_s = dict.fromkeys(self._settles_s, 0.0)
            self._made_of = None

    def put_aside(
        self, parent: membership.Member, reason: str, behind: bool = False
    ) -> None:
        """Leave a parent out for a while; the next one is asked.

        :param behind: whether it answers, but knows nothing newer.
        """
        failed = self.failures.get(parent.instance)
        count = failed.count + 1 if failed and not behind else 1
        self.failures[parent.instance] = _freshness.Failure(
            clock.now_s(), count, behind
        )
        _log.info("Parent {} {}.", parent.instance, reason)

    def _update(self) -> None:
        """Make the trees anew where the view has changed, or who settled."""
        mine = self._mine()
        epoch = self._view.epoch
        # The view has a lock of its own, which a caller may hold.
        members = self._view.all()
        with self._lock:
            self._make_trees(mine, members, epoch)

    def _make_trees(
        self,
        mine: membership.Member,
        members: collections.abc.Iterable[membership.Member],
        epoch: int,
    ) -> None:
        now_s = time.monotonic()
        made_of = (epoch, mine.store_distance_ms)
        if made_of == self._made_of and now_s < self._next_settles_s:
            return
        others = [
            member for member in members if member.instance != mine.instance
        ]
        known = self._settles_s
        self._settles_s = {
            _life(member): known.get(_life(member), now_s + SETTLE_S)
            for member in others
        }
        settled = [m for m in others if self._settles_s[_life(m)] <= now_s]
        later_s = (at_s for at_s in self._settles_s.values() if at_s > now_s)
        self._next_settles_s = min(later_s, default=clock.NEVER_S)
        self._whole = _follow_tree.FollowTree((*others, mine))
        self._settled = (
            self._whole
            if len(settled) == len(others)
            else _follow_tree.FollowTree((*settled, mine))
        )
        self._place = sum(
            member.region == mine.region
            for member in self._settled.before(mine)
        )
        self._made_of = made_of


def _life(member: membership.Member) -> tuple[str, int]:
    return member.instance, member.incarnation
