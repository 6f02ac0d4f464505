"""The view of all members that a daemon holds."""

from __future__ import annotations

import collections.abc
import dataclasses
import threading

from chiveroad.membership import _member

_Members = tuple[_member.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a view after an epoch, and the epoch it leads to."""

    epoch: int
    members: tuple[_member.Member, ...]


class View:
    """All members, merged from every word heard.

    Each merge that changes something advances ``epoch``, a number that only
    this process understands.

    :param changed: notified whenever the view changes.
    """

    def __init__(self, changed: threading.Condition) -> None:
        self._changed = changed
        self._members: dict[str, _member.Member] = {}
        self._changed_at: dict[str, int] = {}
        self._kept: dict[str, _Members] = {}
        self.epoch = 0

    def merge(
        self, heard: collections.abc.Iterable[_member.Member]
    ) -> collections.abc.Sequence[_member.Member]:
        """Take in words on members, and return those that were news."""
        with self._changed:
            fresh = _member.newer(self._members, heard)
            if not fresh:
                return ()
            self.epoch += 1
            self._members.update(fresh)
            for instance in fresh:
                self._changed_at[instance] = self.epoch
            self._kept = {}
            self._changed.notify_all()
            return tuple(fresh.values())

    def since(self, epoch: int) -> Changes:
        """Return what changed after an epoch of this view; 0 gives all."""
        with self._changed:
            members = tuple(
                self._members[instance]
                for instance, changed in self._changed_at.items()
                if changed > epoch
            )
            return Changes(self.epoch, members)

    def since_revision(self, revision: int) -> Changes:
        """Return what one who knows all records up to a revision may lack.

        Where members are recorded, their sequence numbers are revisions, and
        those without a record have none; 0 gives all.
        """
        with self._changed:
            members = tuple(
                member
                for member in self._members.values()
                if member.sequence > revision or not member.sequence
            )
            return Changes(self.epoch, members)

    def get(self, instance: str) -> _member.Member | None:
        """Return a member by its name."""
        return self._members.get(instance)

    def all(self) -> _Members:
        """Return all members, by name."""
        return self._found("all", lambda _: True)

    def of_service(self, service: str) -> _Members:
        """Return the members that take new work for a service, by name."""
        return self._found(
            f"service {service}",
            lambda member: member.service == service
            and member.state is _member.State.READY,
        )

    def of_domain(self, domain: str) -> _Members:
        """Return the living members of a failure domain, by name."""
        return self._found(
            f"domain {domain}",
            lambda member: member.failure_domain == domain and member.alive,
        )

    def _found(
        self,
        name: str,
        wanted: collections.abc.Callable[[_member.Member], bool],
    ) -> _Members:
        """Return the members wanted, found once for each epoch."""
        found = self._kept.get(name)
        if found is not None:
            return found
        with self._changed:
            found = tuple(
                member
                for _, member in sorted(self._members.items())
                if wanted(member)
            )
            self._kept[name] = found
        return found

    def forget(self, instances: collections.abc.Iterable[str]) -> None:
        """Drop members that have been gone for long."""
        with self._changed:
            for instance in instances:
                self._members.pop(instance, None)
                self._changed_at.pop(instance, None)
            self._kept = {}
