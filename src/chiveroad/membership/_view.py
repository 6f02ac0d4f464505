"""The view of all members that a daemon holds."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import threading

from chiveroad.membership import _member
from chiveroad import store

_Members = tuple[_member.Member, ...]
SoftwareVersions = collections.abc.Mapping[str, frozenset[str]]
"""Which versions the targets of each service run; an empty one is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The members that changed after an epoch, and the resulting epoch."""

    epoch: int
    members: tuple[_member.Member, ...]


class View:
    """All members, merged from the records received.

    Each merge that changes something advances ``epoch``, a number that is
    valid only within this process.

    :param changed: notified whenever the view changes.
    """

    def __init__(self, changed: threading.Condition) -> None:
        self._changed = changed
        self._members: dict[str, _member.Member] = {}
        self._changed_at: dict[str, int] = {}
        self._selections: dict[str, _Members] = {}
        self._versions: SoftwareVersions | None = None
        self.epoch = 0

    def merge(
        self, received: collections.abc.Iterable[_member.Member]
    ) -> collections.abc.Sequence[_member.Member]:
        """Merge records of members, and return those that changed the view."""
        with self._changed:
            updates = _member.newer(self._members, received)
            if not updates:
                return ()
            self.epoch += 1
            self._members.update(updates)
            for instance in updates:
                self._changed_at[instance] = self.epoch
            self._selections = {}
            self._versions = None
            self._changed.notify_all()
            return tuple(updates.values())

    def since(self, epoch: int) -> Changes:
        """Return the changes after an epoch of this view; 0 gives all."""
        with self._changed:
            members = tuple(
                self._members[instance]
                for instance, changed in self._changed_at.items()
                if changed > epoch
            )
            return Changes(self.epoch, members)

    def since_revision(self, revision: store.Revision) -> Changes:
        """Return the members that a daemon synced up to a revision may lack.

        In deployments that record members in the store, members without a
        record have sequence number 0.  ``store.ABSENT`` gives all members.
        """
        with self._changed:
            members = tuple(
                member
                for member in self._members.values()
                if member.recorded_at > revision or not member.sequence
            )
            return Changes(self.epoch, members)

    def get(self, instance: str) -> _member.Member | None:
        """Return a member by its name."""
        return self._members.get(instance)

    def all(self) -> _Members:
        """Return all members, by name."""
        return self._select("all", lambda _: True)

    def of_service(self, service: str) -> _Members:
        """Return the members that take new work for a service, by name."""
        return self._select(
            f"service {service}",
            lambda member: member.service == service
            and member.state is _member.State.READY,
        )

    def of_domain(self, domain: str) -> _Members:
        """Return the living members of a failure domain, by name."""
        return self._select(
            f"domain {domain}",
            lambda member: member.failure_domain == domain and member.alive,
        )

    def software_versions(self) -> SoftwareVersions:
        """Return which versions the living targets of each service run."""
        with self._changed:
            if self._versions is None:
                versions = collections.defaultdict[str, set[str]](set)
                for member in self._members.values():
                    if member.alive:
                        versions[member.service].add(member.software_version)
                self._versions = {
                    service: frozenset(named)
                    for service, named in versions.items()
                }
            return self._versions

    def _select(
        self,
        name: str,
        predicate: collections.abc.Callable[[_member.Member], bool],
    ) -> _Members:
        """Return the matching members, cached until the view changes."""
        selected = self._selections.get(name)
        if selected is not None:
            return selected
        with self._changed:
            selected = tuple(
                member
                for _, member in sorted(self._members.items())
                if predicate(member)
            )
            self._selections[name] = selected
        return selected

    def forget(self, instances: collections.abc.Iterable[str]) -> None:
        """Remove members that have been gone for long."""
        with self._changed:
            for instance in instances:
                self._members.pop(instance, None)
                self._changed_at.pop(instance, None)
            self._selections = {}
            self._versions = None
