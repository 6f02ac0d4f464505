"""Selection of a daemon's parent, and of the time to read the store.

Configurations are accepted outside of chiveroad, so every daemon could watch
the store; but each change is large, store calls are billed, and the link
between regions is narrow.  So one daemon, the watcher, watches the store, and
the others follow it along a tree that each daemon computes for itself, see
``_follow_tree``.  No lease is needed.

A daemon follows its nearest ancestor that answers and is current.  While its
version stays unconfirmed, it fails over to the next ancestor, and reads the
store itself before the version could be late.  So the store bounds the age of
the version, whatever delays the ancestors.  The store's answer is the whole
configuration; therefore the store is the last resort, and its readers are
staggered: hundreds of simultaneous reads would fill the link that the first
reader needs.
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
"""Time reserved for reading a version from the store before the change must
be in force: a whole configuration crosses a link that callers' requests use as
well, and is compiled on an instance that these requests keep busy."""

SUSPECT_SHARE: typing.Final = 0.8
"""A daemon fails over to another parent after this share of the time until it
reads the store: the parent answers or times out within the rest."""

BACKOFF_S: typing.Final = 2.0
MAX_BACKOFF_S: typing.Final = 16.0
"""A parent that failed is in back-off for this long; the time doubles with
each failure in a row."""

BEHIND_RETRY_S: typing.Final = 0.15
"""Delay before a parent that answers, but is behind, is asked again while all
others are in back-off as well.  It is short enough that the answers count as
recent, see ``FreshnessBounds.answered_recently``, where a version is to be in
force within two seconds."""

MAX_FALLBACK_PARENTS: typing.Final = 4
"""Number of daemons at the head of the own region, and then of the whole
fleet, that are asked once all ancestors have failed.  While the store is down,
every daemon asks them."""

STAGGER_STEP_S: typing.Final = 0.05
"""Distance between the stagger slots of two successive daemons of a region;
the first ``MAX_FALLBACK_PARENTS`` aren't staggered.  It is about the time that
a whole configuration takes between regions, so that daemons whose parent is
behind don't fill the link that this parent needs to catch up.  Only a daemon
that gets answers waits for its slot, see ``FreshnessBounds.stagger_s``."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """Bounds on the time for which a version may stay unconfirmed.

    A version is suspect, and then stale, when the last confirmation that it is
    the newest gets too old.

    :param apply_within_s: how soon after its acceptance a version is to be
        in force on every daemon.

    >>> FreshnessBounds(2.0).is_stale(confirmed_s=10.0, now_s=11.0)
    False
    """

    apply_within_s: float

    @property
    def stale_after_s(self) -> float:
        """Return the age of a confirmation at which the store is read.

        It is half of the bound where the bound is less than twice the time
        reserved for the read.
        """
        return max(
            self.apply_within_s - STORE_RESERVE_S, self.apply_within_s / 2
        )

    @property
    def suspect_after_s(self) -> float:
        """Return the age of a confirmation at which a daemon fails over."""
        return SUSPECT_SHARE * self.stale_after_s

    def is_stale(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether the store must be read whatever a parent answers."""
        return confirmed_s is None or now_s - confirmed_s > self.stale_after_s

    def is_suspect(self, confirmed_s: float | None, now_s: float) -> bool:
        """Tell whether the daemon is to fail over to another parent."""
        return (
            confirmed_s is None or now_s - confirmed_s > self.suspect_after_s
        )

    def likely_superseded(
        self, applied_at_s: float, confirmed_s: float | None, now_s: float
    ) -> bool:
        """Tell whether a suspect version has likely been superseded.

        That is assumed when the confirmation's age has reached the time for
        which the version was known to be the newest: changes are expected at
        least that often.

        :param applied_at_s: when the version was put in force.
        """
        if confirmed_s is None or not self.is_suspect(confirmed_s, now_s):
            return False
        return now_s - confirmed_s >= confirmed_s - applied_at_s

    def store_due_in_s(
        self, confirmed_s: float | None, now_s: float, stagger_s: float = 0.0
    ) -> float:
        """Return the time until the store must be read.

        :param stagger_s: the daemon's stagger slot, see ``stagger_s``.
        """
        if confirmed_s is None:
            return 0.0
        return max(0.0, confirmed_s + self.stale_after_s + stagger_s - now_s)

    def stagger_s(self, position: int, answered: bool) -> float:
        """Return a daemon's stagger slot: its delay after ``stale_after_s``.

        The first daemon of a region reads the store sooner (the delay is
        negative), as all others wait for it.  A daemon that is answered by a
        predecessor relies on this predecessor's slot, which isn't later than
        its own, and so on up to the first.  A daemon without an answer can't
        rely on another one and has no delay, whatever its position.

        :param position: how many daemons of its region precede it.
        :param answered: the result of ``answered_recently``.
        """
        if not position:
            return self.suspect_after_s - self.stale_after_s
        if not answered:
            return 0.0
        return STAGGER_STEP_S * max(0, position - MAX_FALLBACK_PARENTS + 1)

    def answered_recently(self, last_answer_s: float, now_s: float) -> bool:
        """Tell whether a parent has answered recently.

        The answer may be as old as the time between suspect and stale.  A
        parent that answers now takes part in the distribution of versions; an
        answer from before the version became suspect proves nothing.

        :param last_answer_s: when a parent answered last.
        """
        return (
            now_s - last_answer_s <= self.stale_after_s - self.suspect_after_s
        )

    def hold_s(self, confirmed_s: float | None, now_s: float) -> float:
        """Return the longest wait of a long poll without a confirmation.

        It ends in time for the failover to another parent or, once the
        version is suspect, in time for the read of the store.
        """
        left_s = self.store_due_in_s(confirmed_s, now_s)
        until_suspect_s = left_s - (self.stale_after_s - self.suspect_after_s)
        return until_suspect_s if until_suspect_s > 0 else left_s

    def is_current(self, answer: _messages.SyncAnswer) -> bool:
        """Tell whether the parent's own confirmation isn't stale yet."""
        return 0 <= answer.confirmed_ago_ms <= 1000 * self.stale_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The failures in a row of a parent, and the time of the last one.

    ``behind`` is set where the parent answered, but knew nothing newer.
    """

    at_s: float
    count: int
    behind: bool = False

    def in_backoff(self, now_s: float) -> bool:
        """Tell whether the parent is still in back-off."""
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

    That is the nearest ancestor in the tree that isn't in back-off, or else
    one of the first daemons of the region, or of the whole fleet.  Only a
    predecessor is followed, so that no two daemons wait for each other.

    :param pending: the names of the parents with an open exchange.
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
