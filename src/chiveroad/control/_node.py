"""State that the parts of a daemon's control plane share."""

from __future__ import annotations

import collections.abc
import dataclasses
import threading
import time
import typing

import msgspec

from chiveroad.control import _applied
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

MAX_BEHIND: typing.Final = 20
MAX_LOGGED_NAME: typing.Final = 80
FORMER_SUSPECTS_S: typing.Final = 60.0
"""For how long this daemon keeps what another one's record named before a
restart."""

Inherit = collections.abc.Callable[[membership.RecordedSuspects], None]

_log = logs.Logger("membership")


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerSuspects:
    suspects: membership.RecordedSuspects
    until_s: float


@dataclasses.dataclass(slots=True)
class Child:
    """A daemon that requests updates from this one.

    ``confirmed_s`` is the last confirmation that was sent to it.
    """

    last_contact_s: float
    version: int = 0
    behind: collections.abc.Sequence[str] = ()
    confirmed_s: float | None = None


class Node:
    """This daemon in the mesh.

    :param member: the daemon's first self-reported state.
    :param recorded: whether the states of members, this one's too, come from
        the store's records, rather than from gossip between daemons.
    :param keys_recorded: as in ``Applied``.

    ``as_of`` is the store's revision up to which the view holds all records.
    ``suspects`` is what this daemon's record is to name as suspects, and
    ``inherit`` takes over what the record of an earlier start of it named.
    """

    def __init__(
        self,
        member: membership.Member,
        recorded: bool = False,
        keys_recorded: bool = False,
    ) -> None:
        self.changed = threading.Condition()
        self._recorded = recorded
        self.applied = _applied.Applied(
            self.changed,
            confirmed_only=not recorded,
            keys_recorded=keys_recorded,
        )
        self.view = membership.View(self.changed)
        self.children: dict[str, Child] = {}
        self.control_bytes = 0
        self.as_of = store.ABSENT
        self._member = member
        self.suspects: membership.RecordedSuspects = ()
        self.inherit: Inherit = lambda suspects: None
        self._former_suspects: dict[str, _FormerSuspects] = {}
        """What the records of restarted daemons named before, by instance."""

        self._pending_updates: dict[str, membership.Member] = {}
        self.view.merge([member])

    @property
    def member(self) -> membership.Member:
        """Return the daemon's latest state."""
        return self._member

    def set_state(self, state: membership.State) -> None:
        """Put the daemon into a state, to be sent with the next request."""
        with self.changed:
            if self._member.state is state:
                return
            self._set_own_record(state, self._member.sequence + 1)

    def set_suspects(self, suspects: membership.RecordedSuspects) -> None:
        """Set the suspects that this daemon's record names."""
        with self.changed:
            self.suspects = suspects
            if not self._recorded:
                own = self._member
                self._set_own_record(own.state, own.sequence + 1)

    def merge(
        self, received: collections.abc.Iterable[membership.Member]
    ) -> collections.abc.Sequence[membership.Member]:
        """Merge members into the view.

        A record of this daemon from the store replaces its own state; gossip
        about it that is wrong is refuted.

        :returns: the members that changed the view.
        """
        usable = list(self._usable(received))
        self._keep_former_suspects(usable)
        updated = self.view.merge(usable)
        own = self._member
        for member in updated:
            if member.instance != own.instance:
                self._log_change(member)
            elif self._recorded:
                self._member = member
            elif member.order() > own.order():
                self._refute(member)
        return updated

    def inherit_usable(self, suspects: membership.RecordedSuspects) -> None:
        """Take over what this daemon's record named before its restart."""
        if suspects and membership.usable_suspects(suspects):
            self.inherit(suspects)

    def former_suspects(self, instance: str) -> membership.RecordedSuspects:
        """Return what a record named before its daemon was restarted.

        :returns: nothing ``FORMER_SUSPECTS_S`` after the restart.
        """
        former = self._former_suspects.get(instance)
        if former is None or time.monotonic() > former.until_s:
            return ()
        return former.suspects

    def former_suspects_at(self, address: str) -> membership.RecordedSuspects:
        """Return the same for the daemon with a control address."""
        for instance in list(self._former_suspects):
            member = self.view.get(instance)
            if member is not None and member.control == address:
                return self.former_suspects(instance)
        return ()

    def _keep_former_suspects(
        self, received: collections.abc.Iterable[membership.Member]
    ) -> None:
        """Keep what the records of restarted daemons named.

        A restarted daemon doesn't know it, and would send the requests that
        have ended targets to further ones.
        """
        for member in received:
            known = self.view.get(member.instance)
            if known is None or known.incarnation >= member.incarnation:
                continue
            if known.suspects:
                self._former_suspects[member.instance] = _FormerSuspects(
                    known.suspects, time.monotonic() + FORMER_SUSPECTS_S
                )

    def _usable(
        self, received: collections.abc.Iterable[membership.Member]
    ) -> collections.abc.Iterator[membership.Member]:
        """Yield the records without a defect."""
        for member in received:
            defect = member.defect()
            if not defect:
                yield member
                continue
            _log.warning(
                "Record of member {!r} ignored: {}.",
                member.instance[:MAX_LOGGED_NAME],
                defect,
            )

    def _log_change(self, member: membership.Member) -> None:
        """Log a member's state, at level info in the own failure domain only.

        The daemons of another domain log its changes themselves.
        """
        same_domain = member.failure_domain == self._member.failure_domain
        log = _log.info if same_domain else _log.debug
        log("Member {} is now {}.", member.instance, member.state.value)

    def merge_from_below(
        self, received: collections.abc.Iterable[membership.Member]
    ) -> None:
        """Merge a child's members, and queue the changes for the parent."""
        updated = self.merge(received)
        if self._recorded:
            return
        with self.changed:
            for member in updated:
                self._pending_updates[member.instance] = member

    def pending_updates(self) -> list[membership.Member]:
        """Return the members that haven't been sent to the parent yet."""
        with self.changed:
            return list(self._pending_updates.values())

    def mark_sent(
        self, members: collections.abc.Iterable[membership.Member]
    ) -> None:
        """Remove members that were sent to the parent from the queue."""
        with self.changed:
            for member in members:
                if self._pending_updates.get(member.instance) == member:
                    del self._pending_updates[member.instance]

    def advance_as_of(self, as_of: store.Revision) -> None:
        """Record that the view holds all records up to a revision."""
        with self.changed:
            self.as_of = max(self.as_of, as_of)

    def requeue_members(
        self,
        region: bool = False,
        after: store.Revision | None = None,
    ) -> None:
        """Queue all members of the own domain or region for a new parent.

        :param region: whether to queue the members of the whole region.
        :param after: the revision up to which the parent has them.
        """
        own = self._member
        with self.changed:
            for member in self.view.all():
                if after is not None and member.recorded_at <= after:
                    continue
                same_domain = member.failure_domain == own.failure_domain
                if same_domain or (region and member.region == own.region):
                    self._pending_updates[member.instance] = member

    def behind(self) -> list[str]:
        """Return the names of descendants that run an older version.

        There are ``MAX_BEHIND`` at most.
        """
        number = self.applied.current.number
        names: set[str] = set()
        for instance, child in list(self.children.items()):
            names.update(child.behind)
            if child.version < number:
                names.add(instance)
        return sorted(names)[:MAX_BEHIND]

    def record_contact(self, instance: str) -> Child:
        """Record a contact with a child now, and return the child."""
        child = self.children.setdefault(instance, Child(0.0))
        child.last_contact_s = time.monotonic()
        return child

    def _refute(self, member: membership.Member) -> None:
        with self.changed:
            state = self._member.state
            if member.incarnation > self._member.incarnation:
                _log.error(
                    "Another daemon runs as instance {}, with incarnation {}; "
                    "this one has {}.",
                    member.instance,
                    member.incarnation,
                    self._member.incarnation,
                )
                return
            self._set_own_record(state, member.sequence + 1)
        _log.info("Refuted a report of own state {}.", member.state.value)

    def _set_own_record(self, state: membership.State, sequence: int) -> None:
        self._member = msgspec.structs.replace(
            self._member,
            state=state,
            sequence=sequence,
            suspects=self.suspects,
        )
        self.view.merge([self._member])
        self._pending_updates[self._member.instance] = self._member
        self.changed.notify_all()
