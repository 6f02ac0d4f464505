"""The messages that daemons exchange and store, encoded as JSON."""

from __future__ import annotations

import msgspec

from chiveroad import decoding
from chiveroad import logs
from chiveroad import membership
from chiveroad import presence
from chiveroad import store

_log = logs.Logger("control")


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A child's request for updates from its parent, and its heartbeat.

    ``member`` is the child's own record and ``members`` are changed records
    of its descendants.  ``source`` and ``epoch`` identify the last change of
    the parent's view that the child has.  ``hold_ms`` is the longest wait of
    the long poll while there are no updates.  ``unconfirmed`` asks for a
    confirmation.  ``behind`` names descendants that run an older version, as
    far as known.  With ``confirmations`` a newer confirmation alone ends the
    long poll.  ``as_of`` and ``as_of_era`` are the store's revision up to
    which the child knows all records of members; both are 0 in deployments
    that don't record members in the store.  ``former_suspects`` is what the
    parent's record named before the parent was restarted.
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
    as_of_era: int = 0
    former_suspects: membership.RecordedSuspects = ()

    @property
    def synced_to(self) -> store.Revision:
        """Return the revision up to which the child knows all records."""
        return store.Revision(self.as_of_era, self.as_of)


class SyncAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The parent's answer.

    ``delta`` or ``snapshot`` is set when the parent has a newer version; both
    are compressed.  ``confirmed_ago_ms`` is the time since the version was
    last confirmed to be the newest accepted one, or negative without a
    confirmation.  ``ancestors`` are control addresses that the child may
    fail over to.  ``wants_snapshot`` asks the child for its newer version.
    ``held_ms`` is the time that the parent took to answer, which is the wait
    of the long poll.  ``revision`` and ``revision_era`` are the store's
    revision of the version.  ``leads`` says that the parent is its region's
    leader.  ``as_of`` and ``as_of_era`` are as in ``SyncRequest``, for the
    parent.  ``former_suspects`` is what the child's record named before the
    child was restarted.  ``keys_needed`` says whether requests need keys; it
    is None where the version states it, or where it isn't known.
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
    revision_era: int = 0
    as_of_era: int = 0
    former_suspects: membership.RecordedSuspects = ()
    keys_needed: bool | None = None

    @property
    def version_revision(self) -> store.Revision:
        """Return the store's revision of the version."""
        return store.Revision(self.revision_era, self.revision)

    @property
    def synced_to(self) -> store.Revision:
        """Return the revision up to which the parent knows all records."""
        return store.Revision(self.as_of_era, self.as_of)


class ConfirmationRequest(msgspec.Struct, frozen=True):
    """A request to confirm a version, from any daemon to any other."""

    version: int
    digest: str


class ConfirmationAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to it; the fields are those of ``SyncAnswer``."""

    version: int
    digest: str
    confirmed_ago_ms: float = -1.0
    held_ms: int = 0
    delta: bytes = b""
    snapshot: bytes = b""
    revision: int = 0
    revision_era: int = 0
    keys_needed: bool | None = None

    @property
    def version_revision(self) -> store.Revision:
        """Return the store's revision of the version."""
        return store.Revision(self.revision_era, self.revision)


class SnapshotOffer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A version that a child sends to a parent that has an older one.

    ``revision`` and ``revision_era`` are the store's revision of the version,
    and ``keys_needed`` is as in ``SyncAnswer``.
    """

    version: int
    digest: str
    snapshot: bytes
    revision: int = 0
    revision_era: int = 0
    keys_needed: bool | None = None

    @property
    def version_revision(self) -> store.Revision:
        """Return the store's revision of the version."""
        return store.Revision(self.revision_era, self.revision)


class Hello(msgspec.Struct, frozen=True):
    """A daemon's offer to be the parent of a daemon that may know none."""

    member: membership.Member
    version: int


class HelloAnswer(msgspec.Struct, frozen=True):
    """The version in force on the daemon that received the offer."""

    version: int


class DaemonStatus(msgspec.Struct, frozen=True):
    """The self-reported status of a daemon.

    ``control_bytes`` counts the bodies of the messages that it exchanged with
    its parents.
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
    """The status of a failure domain, published by its relay.

    It has no version, since every new version would then cause a write over
    the link to the store.
    """

    failure_domain: str
    relay: str
    daemons: int
    behind: list[str]


class SupersededTarget(msgspec.Struct, frozen=True, omit_defaults=True):
    """An incarnation of a target that another one has superseded.

    ``sequence`` is that of its last heartbeat, and ``leaves`` says whether
    it had announced its leave.
    """

    target_id: str = msgspec.field(name="upstream_id")
    started_at_ms: int = 0
    sequence: int = 0
    leaves: bool = False

    def in_range(self) -> bool:
        """Return whether all numbers can be compared and encoded."""
        numbers = (self.started_at_ms, self.sequence)
        return all(0 <= each <= decoding.MAX_INTEGER for each in numbers)


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The record that a daemon stores of itself and its local target.

    ``phase`` is the target's own phase.  ``member.state``, which other
    daemons route by, depends on the daemon's state as well.  ``ended_by_ms``
    is as in ``presence.TargetStatus``.  ``superseded`` holds the incarnations
    that the target has superseded though their start times are greater.
    """

    member: membership.Member
    phase: presence.Phase
    ended_by_ms: int = 0
    superseded: tuple[SupersededTarget, ...] = ()


class DomainMembers(msgspec.Struct, frozen=True):
    """The value of a failure domain's membership object."""

    members: list[membership.Member]


_domain_decoder = msgspec.json.Decoder(DomainMembers)


def read_domain_members(
    stored: store.StoredObject,
) -> list[membership.Member]:
    """Return the members in a stored object, none where it can't be read."""
    try:
        return decoding.decode(_domain_decoder, stored.spec).members
    except msgspec.DecodeError as exc:
        _log.warning(
            "Members of domain {} ignored, not readable: {}.",
            stored.name,
            exc,
        )
        return []
