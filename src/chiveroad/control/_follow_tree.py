"""The total order of the daemons, and the distribution tree built from it.

All daemons compute the same tree from the same records.  The first daemon in
the order is the root, the first of a region is the region's leader, and the
first of a failure domain the domain's leader.  In a large domain the next few
daemons, the branches, are placed between the leader and the others.  A daemon
chooses its branch by rendezvous hashing (Thaler and Ravishankar, 1996), so
that a daemon that joins or leaves changes the parent of few others.  A parent
always precedes its children, so no two daemons wait for each other.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from chiveroad import membership

DISTANCE_STEP_MS: typing.Final = 12
"""Step to which distances to the store are rounded in the order."""

CAPACITY_STEP_PERCENT: typing.Final = 50
"""Step to which capacities are rounded in the order: half a core."""

FAN_OUT: typing.Final = 16
"""Approximate number of children of a branch; as in the native tree, see
``membership._tree``."""

_Members = collections.abc.Sequence[membership.Member]


def rank(member: membership.Member) -> tuple[int, int, str]:
    """Return a daemon's sort key in the order.

    The daemons nearest to the store come first, and among them those with the
    most capacity, as the first daemons have the most followers.
    """
    return (
        member.store_distance_ms // DISTANCE_STEP_MS,
        -(member.capacity_percent // CAPACITY_STEP_PERCENT),
        member.instance,
    )


def _precedes(member: membership.Member, daemon: membership.Member) -> bool:
    # The records may hold an outdated rank of the daemon itself.
    other = member.instance != daemon.instance
    return other and rank(member) < rank(daemon)


class FollowTree:
    """The distribution tree of the live daemons.

    :param members: all known daemons; dead and gone ones are left out.
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
        self._children: dict[str, list[membership.Member]] = {}

    def ancestors(self, daemon: membership.Member) -> list[membership.Member]:
        """Return a daemon's ancestors, its parent first.

        :param daemon: a daemon, whether or not it is in the tree.
        """
        domain = self._domains.get(daemon.failure_domain, [])
        ancestors = [*self._branch_of(daemon, domain), *domain[:1]]
        if daemon.region in self._leaders:
            ancestors.append(self._leaders[daemon.region])
        ancestors += self.order[:1]
        preceding = {m.instance: m for m in ancestors if _precedes(m, daemon)}
        return list(preceding.values())

    def predecessors(
        self, daemon: membership.Member
    ) -> collections.abc.Iterator[membership.Member]:
        """Yield all daemons that a daemon may follow, in the order."""
        return (m for m in self.order if _precedes(m, daemon))

    def children(self, daemon: membership.Member) -> list[membership.Member]:
        """Return a daemon's children; computed once for each tree."""
        children = self._children.get(daemon.instance)
        if children is None:
            children = self._children[daemon.instance] = self._find_children(
                daemon
            )
        return children

    def _find_children(
        self, daemon: membership.Member
    ) -> list[membership.Member]:
        domain = self._domains.get(daemon.failure_domain, [])
        inner = [*domain[:1], *_branches(domain)]
        if daemon.instance not in {member.instance for member in inner}:
            return []
        leaders = [members[0] for members in self._domains.values()]
        return [
            member
            for member in {m.instance: m for m in (*leaders, *domain)}.values()
            if (ancestors := self.ancestors(member))
            and ancestors[0].instance == daemon.instance
        ]

    def _branch_of(
        self, daemon: membership.Member, domain: _Members
    ) -> list[membership.Member]:
        """Return a daemon's branch in a large domain, or an empty list."""
        branches = _branches(domain)
        if not branches or rank(daemon) <= rank(branches[-1]):
            return []
        return [max(branches, key=lambda b: _rendezvous_weight(b, daemon))]


def _branches(domain: _Members) -> _Members:
    """Return the daemons between a large domain's leader and the others."""
    followers = len(domain) - 1
    if followers <= FAN_OUT:
        return []
    return domain[1 : 1 + -(-followers // FAN_OUT)]


def _rendezvous_weight(
    branch: membership.Member, daemon: membership.Member
) -> bytes:
    text = f"{branch.instance} {daemon.instance}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
