"""The members of a deployment that records them in the store."""

from __future__ import annotations

import collections.abc
import time
import typing

import msgspec

from chiveroad import clock
from chiveroad.control import _node
from chiveroad.control import _record
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

WATCH_S: typing.Final = 2.0
BATCH_DELAY_S: typing.Final = 0.2
"""Pause after a change of members, to batch changes: when many daemons start,
each change would otherwise cost one call by each watcher."""

RESTORE_TIMEOUT_S: typing.Final = 2.0
"""How long the record of a living daemon may be missing after the store has
come back from an older copy."""

Restore = collections.abc.Callable[[store.StoredObject | None], None]
"""Processes the daemon's own record, or None where the store has none."""

_log = logs.Logger("control")


class RecordedMembers:
    """Reads the members' records from the store into a daemon's view."""

    def __init__(
        self, platform: store.Store, node: _node.Node, restore: Restore
    ) -> None:
        self._store = platform
        self._node = node
        self._restore = restore
        self._missing_until_s: dict[str, float] = {}
        """Until when the members that the store has lost may be restored, by
        their names."""

    def read(self) -> store.Revision:
        """List all records; return the revision from which to watch."""
        listing = self._store.list(store.Kind.MEMBERS)
        names = set()
        own: store.StoredObject | None = None
        for stored in listing.objects:
            names.add(stored.name)
            if stored.name == self._node.member.instance:
                own = stored
            self._merge_record(stored)
        self._restore(own)
        for member in self._node.view.all():
            known = member.sequence and member.recorded_at <= listing.version
            if known and member.instance not in names:
                self._process_missing(member, listing.version)
        self._node.advance_as_of(listing.version)
        return listing.version

    def watch(self, revision: store.Revision) -> store.Revision:
        """Merge the changes after a revision; return the one reached.

        :raises errors.StoreExpired: when the records have to be listed again.
        """
        before = revision
        for event in self._store.watch(
            store.Kind.MEMBERS, revision, self._watch_s()
        ):
            revision = max(revision, event.version)
            if event.object is None:
                continue
            if event.type is store.EventType.DELETED:
                self._mark_gone(event.object.name, event.version)
            else:
                self._merge_record(event.object)
        self._node.advance_as_of(revision)
        self._expire_missing(revision)
        if revision > before:
            time.sleep(BATCH_DELAY_S)
        return revision

    def _process_missing(
        self, member: membership.Member, listed_at: store.Revision
    ) -> None:
        """Process that the store has no record of a known member.

        The record was deleted, or the store went back to a copy from before
        it was written; then its daemon writes it again.
        """
        if member.era == listed_at.era:
            self._mark_gone(member.instance, listed_at)
        elif member.alive and member.instance != self._node.member.instance:
            self._missing_until_s.setdefault(
                member.instance, clock.now_s() + RESTORE_TIMEOUT_S
            )

    def _expire_missing(self, revision: store.Revision) -> None:
        """Mark the members gone whose records weren't restored in time."""
        now_s = clock.now_s()
        for name, until_s in list(self._missing_until_s.items()):
            member = self._node.view.get(name)
            restored = member is None or member.era == revision.era
            if not restored and now_s < until_s:
                continue
            del self._missing_until_s[name]
            if not restored:
                _log.warning(
                    "Member {} has no record in era {} after {} s and counts "
                    "as gone.",
                    name,
                    revision.era,
                    RESTORE_TIMEOUT_S,
                )
                self._mark_gone(name, revision)

    def _watch_s(self) -> float:
        """Return the wait of the next watch for a change of members."""
        ends_s = self._missing_until_s.values()
        left_s = min(ends_s, default=clock.NEVER_S) - clock.now_s()
        return min(WATCH_S, max(BATCH_DELAY_S, left_s))

    def _merge_record(self, stored: store.StoredObject) -> None:
        record = _record.read(stored)
        if record is not None:
            self._node.merge([record.member])

    def _mark_gone(self, name: str, revision: store.Revision) -> None:
        member = self._node.view.get(name)
        if member is None:
            return
        gone = msgspec.structs.replace(
            member,
            state=membership.State.GONE,
            era=revision.era,
            sequence=revision.number,
        )
        self._node.merge([gone])
