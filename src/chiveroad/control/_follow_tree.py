"""The order in which daemons stand, and the tree that follows from it.

Everyone computes the same tree from the same records.  The first daemon in
the order is the root, the first of a region leads it, the first of a failure
domain leads that, and in a large domain the next few, its branches, stand
between its leader and the others.  A branch is chosen by rendezvous hashing
(Thaler and Ravishankar, 1996), so that one that joins or leaves moves few.
Whoever is followed stands before its followers, so no two wait for each other.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from chiveroad import membership

DISTANCE_STEP_MS: typing.Final = 12
"""Daemons whose distance to the store differs by less count as equal."""

CAPACITY_STEP_PERCENT: typing.Final = 50
"""Daemons whose capacity differs by less than half a core count as equal."""

FAN_OUT: typing.Final = 16
"""How many daemons a branch has below it, about; as in the native tree, see
``membership._tree``."""

_Members = collections.abc.Sequence[membership.Member]


def rank(member: membership.Member) -> tuple[int, int, str]:
    """Return a daemon's place in the order.

    The store's neighbours come first, and among them those with the most
    capacity: the others follow these.
    """
    return (
        member.store_distance_ms // DISTANCE_STEP_MS,
        -(member.capacity_percent // CAPACITY_STEP_PERCENT),
        member.instance,
    )


def _stands_before(member: membership.Member, mine: membership.Member) -> bool:
    # The records may still have an older place of the daemon itself.
    other = member.instance != mine.instance
    return other and rank(member) < rank(mine)


class FollowTree:
    """The tree of the daemons that take part.

    :param members: all that are known; the dead and the gone don't count.
    """

    def __init__(
        self, members: collections.abc.Iterable[membership.Member]
    ) -> None:
        living = (member for member in members if member.alive)
        self.order: _Members = sorted(living, key=rank)
        self._leaders: dict[str, membership.Member] = {}
        self._domains: dict[str, list[membership.Member]] = {}
        for member in self.order:
            self._leaders.setdefault(member.region, member)
            self._domains.setdefault(member.failure_domain, []).append(member)
        self._below: dict[str, list[membership.Member]] = {}

    def above(self, mine: membership.Member) -> list[membership.Member]:
        """Return those to follow, the nearest first, then those above it.

        :param mine: a daemon, whether or not it is in the tree.
        """
        domain = self._domains.get(mine.failure_domain, [])
        found = [*self._branch(mine, domain), *domain[:1]]
        if mine.region in self._leaders:
            found.append(self._leaders[mine.region])
        found += self.order[:1]
        nearest = {m.instance: m for m in found if _stands_before(m, mine)}
        return list(nearest.values())

    def before(
        self, mine: membership.Member
    ) -> collections.abc.Iterator[membership.Member]:
        """Yield all that a daemon may follow, in the order."""
        return (m for m in self.order if _stands_before(m, mine))

    def below(self, mine: membership.Member) -> list[membership.Member]:
        """Return those that follow a daemon; found once for each tree."""
        found = self._below.get(mine.instance)
        if found is None:
            found = self._below[mine.instance] = self._find_below(mine)
        return found

    def _find_below(self, mine: membership.Member) -> list[membership.Member]:
        domain = self._domains.get(mine.failure_domain, [])
        upper = [*domain[:1], *_branches(domain)]
        if mine.instance not in {member.instance for member in upper}:
            return []
        leaders = [members[0] for members in self._domains.values()]
        return [
            member
            for member in {m.instance: m for m in (*leaders, *domain)}.values()
            if (above := self.above(member))
            and above[0].instance == mine.instance
        ]

    def _branch(
        self, mine: membership.Member, domain: _Members
    ) -> list[membership.Member]:
        """Return the branch above a daemon in a large domain."""
        branches = _branches(domain)
        if not branches or rank(mine) <= rank(branches[-1]):
            return []
        return [max(branches, key=lambda b: _weight(b, mine))]


def _branches(domain: _Members) -> _Members:
    """Return those that stand between a domain's leader and the others."""
    followers = len(domain) - 1
    if followers <= FAN_OUT:
        return []
    return domain[1 : 1 + -(-followers // FAN_OUT)]


def _weight(branch: membership.Member, mine: membership.Member) -> bytes:
    text = f"{branch.instance} {mine.instance}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
