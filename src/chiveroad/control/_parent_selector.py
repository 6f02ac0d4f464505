"""Selection of parents among the known daemons.

A deployment starts many daemons at once, and some of them precede the running
ones.  A daemon that has just become known isn't followed yet: it has no
connection to a parent, perhaps no version, and all daemons of a region would
fail over to it at the same moment.
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
"""Time from when a daemon becomes known until it is followed.  A starting
daemon needs about that long to read its version and to follow a parent."""

_log = logs.Logger("control")


class ParentSelector:
    """Selects a daemon's parent, and keeps the failures of parents.

    :param own_member: returns the daemon's present member.
    :param view: all known members.
    """

    def __init__(
        self,
        own_member: collections.abc.Callable[[], membership.Member],
        view: membership.View,
    ) -> None:
        self.failures: dict[str, _freshness.Failure] = {}
        self._own_member = own_member
        self._view = view
        self._lock = threading.Lock()
        self._settles_s: dict[tuple[str, int], float] = {}
        """When each incarnation of a daemon has settled, in monotonic s."""

        self._next_settles_s = 0.0
        self._tree_inputs: tuple[int, int] | None = None
        self._full_tree = _follow_tree.FollowTree(())
        self._settled_tree = _follow_tree.FollowTree(())
        self._region_position = 0
        self._started_s = time.monotonic()

    def tree(self) -> _follow_tree.FollowTree:
        """Return the tree of the settled daemons."""
        self._update()
        return self._settled_tree

    def choose(
        self,
        confirmed: bool,
        pending: collections.abc.Container[str] = frozenset(),
    ) -> membership.Member | None:
        """Return the parent to ask next, or None.

        Daemons that haven't settled are candidates while this one hasn't
        settled either: the whole fleet may have started.

        :param confirmed: whether the version is known to be the newest; if
            not, daemons that haven't settled are candidates, too.
        :param pending: the names of the parents with an open exchange.
        """
        self._update()
        own = self._own_member()
        now_s = clock.now_s()
        recently_started = time.monotonic() - self._started_s < SETTLE_S
        trees = [self._settled_tree]
        if recently_started or not confirmed:
            trees.append(self._full_tree)
        for tree in trees:
            parent = _freshness.choose_parent(
                own, tree, self.failures, now_s, pending
            )
            if parent is not None:
                return parent
        return None

    def region_position(self) -> int:
        """Return how many daemons of its region precede this daemon."""
        self._update()
        return self._region_position

    def record_success(self, parent: membership.Member) -> None:
        """Record a good answer: the parent has settled, its back-off ends."""
        self.failures.pop(parent.instance, None)
        with self._lock:
            if self._settles_s.get(_incarnation_key(parent)):
                self._settles_s[_incarnation_key(parent)] = 0.0
                self._tree_inputs = None

    def mark_all_settled(self) -> None:
        """Mark all known daemons as settled: they ran before this one."""
        self._update()
        with self._lock:
            self._settles_s = dict.fromkeys(self._settles_s, 0.0)
            self._tree_inputs = None

    def back_off(
        self, parent: membership.Member, reason: str, behind: bool = False
    ) -> None:
        """Put a parent into back-off, so that the next one is asked.

        :param behind: whether the parent answers, but knows nothing newer.
        """
        previous = self.failures.get(parent.instance)
        count = previous.count + 1 if previous and not behind else 1
        self.failures[parent.instance] = _freshness.Failure(
            clock.now_s(), count, behind
        )
        _log.info("Parent {} is in back-off: {}.", parent.instance, reason)

    def _update(self) -> None:
        """Rebuild the trees after a change of the view or a settlement."""
        own = self._own_member()
        epoch = self._view.epoch
        # Read before taking the lock: the view has a lock of its own, which
        # a caller may hold.
        members = self._view.all()
        with self._lock:
            self._make_trees(own, members, epoch)

    def _make_trees(
        self,
        own: membership.Member,
        members: collections.abc.Iterable[membership.Member],
        epoch: int,
    ) -> None:
        now_s = time.monotonic()
        tree_inputs = (epoch, own.store_distance_ms)
        if tree_inputs == self._tree_inputs and now_s < self._next_settles_s:
            return
        others = [
            member for member in members if member.instance != own.instance
        ]
        known_settles_s = self._settles_s
        self._settles_s = {
            _incarnation_key(member): known_settles_s.get(
                _incarnation_key(member), now_s + SETTLE_S
            )
            for member in others
        }
        settled = [
            m for m in others if self._settles_s[_incarnation_key(m)] <= now_s
        ]
        pending_s = (at_s for at_s in self._settles_s.values() if at_s > now_s)
        self._next_settles_s = min(pending_s, default=clock.NEVER_S)
        self._full_tree = _follow_tree.FollowTree((*others, own))
        self._settled_tree = (
            self._full_tree
            if len(settled) == len(others)
            else _follow_tree.FollowTree((*settled, own))
        )
        self._region_position = sum(
            member.region == own.region
            for member in self._settled_tree.predecessors(own)
        )
        self._tree_inputs = tree_inputs


def _incarnation_key(member: membership.Member) -> tuple[str, int]:
    return member.instance, member.incarnation
