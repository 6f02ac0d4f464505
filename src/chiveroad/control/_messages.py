"""What daemons tell each other: typed messages, JSON on the wire."""

from __future__ import annotations

import msgspec

from chiveroad import membership
from chiveroad import presence


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A child asks its parent for news; it is the heartbeat as well.

    ``member`` is the child itself and ``members`` are news from below it.
    ``source`` and ``epoch`` say which of the parent's view changes it has.
    ``hold_ms`` is how long the parent may hold the answer back while there
    is nothing new.  ``unconfirmed`` asks for a confirmation.  ``behind``
    names daemons below that run an older version, as far as known.
    ``confirmations`` says that a newer confirmation alone is news.
    ``as_of`` is the store's revision up to which the child knows all records
    of members; 0 where members aren't recorded.
    """

    member: membership.Member
    version: int
    digest: str
    source: str = ""
    epoch: int = 0
    hold_ms: int = 0
    unconfirmed: bool = False
    members: list[membership.Member] = []
    behind: list[str] = []
    confirmations: bool = False
    as_of: int = 0


class SyncAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The parent's answer.

    ``delta`` or ``snapshot`` is there when the parent has a newer version;
    both are compressed.  ``confirmed_ago_ms`` says how long ago the version
    was known to be the newest accepted, or is negative where it never was.
    ``ancestors`` are control addresses to turn to when the parent fails.
    ``wants_snapshot`` asks the child for its newer version.  ``held_ms`` is
    how long the answer was held back, ``revision`` the store's revision of
    the version, and ``leads`` says that the parent is its region's leader.
    ``as_of`` is as in ``SyncRequest``, for the parent.
    """

    source: str
    epoch: int
    version: int
    digest: str
    relay: str
    confirmed_ago_ms: float = -1.0
    members: list[membership.Member] = []
    ancestors: list[str] = []
    delta: bytes = b""
    snapshot: bytes = b""
    wants_snapshot: bool = False
    held_ms: int = 0
    revision: int = 0
    leads: bool = False
    as_of: int = 0


class SnapshotOffer(msgspec.Struct, frozen=True):
    """A child hands its parent a version that the parent lacks."""

    version: int
    digest: str
    snapshot: bytes


class Hello(msgspec.Struct, frozen=True):
    """A daemon offers itself as a parent to one that may know nobody."""

    member: membership.Member
    version: int


class HelloAnswer(msgspec.Struct, frozen=True):
    """The version that the daemon spoken to holds."""

    version: int


class DaemonStatus(msgspec.Struct, frozen=True):
    """What a daemon says of itself.

    ``control_bytes`` counts the bodies of its messages with its parents.
    """

    instance: str
    incarnation: int
    version: int
    digest: str
    applied_at_ms: float
    ready: bool
    state: membership.State
    roles: list[str]
    parent: str
    members: int
    behind: list[str]
    control_bytes: int = 0


class DomainStatus(msgspec.Struct, frozen=True):
    """What a relay publishes of its failure domain.

    It names no version: a write for each change would cross the link.
    """

    failure_domain: str
    relay: str
    daemons: int
    behind: list[str]


class MemberRecord(msgspec.Struct, frozen=True):
    """What a daemon records of itself and of the target beside it.

    ``phase`` is how far the target is; ``member.state`` is what others
    are to do with it, which also depends on the daemon.  ``ended_by_ms`` is
    as in ``presence.TargetStatus``.
    """

    member: membership.Member
    phase: presence.Phase
    ended_by_ms: int = 0


class DomainMembers(msgspec.Struct, frozen=True):
    """The value of a failure domain's membership object."""

    members: list[membership.Member]
