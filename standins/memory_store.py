"""A store in memory, which the stand-ins and the tests use."""

from __future__ import annotations

import collections.abc
import dataclasses
import threading
import time
import typing

import msgspec

from chiveroad import errors
from chiveroad import store

HISTORY_LENGTH: typing.Final = 2_000

_Events = list[store.Event]


@dataclasses.dataclass(frozen=True)
class Copy:
    """A copy of the objects, and the last revision at that time."""

    objects: dict[store.Kind, dict[str, store.StoredObject]]
    number: int


def _in_era(stored: store.StoredObject, era: int) -> store.StoredObject:
    version = store.Revision(era, stored.version.number)
    return dataclasses.replace(stored, version=version)


class MemoryStore(store.Store):
    """A store that keeps its objects in this process.

    All kinds share one sequence of versions.  A watch can start up to
    ``history_length`` changes back.  ``restore`` goes back to a copy, and
    gives the revisions after it out again.
    """

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self._objects: dict[store.Kind, dict[str, store.StoredObject]] = {
            kind: {} for kind in store.Kind
        }
        self._eras = store.EraTracker()
        self._eras.learn(1)
        self._number = 0
        self._history: collections.deque[tuple[store.Kind, store.Event]] = (
            collections.deque(maxlen=history_length)
        )
        self._changed = threading.Condition()

    @property
    def eras(self) -> store.EraTracker:
        """Return the tracker of the store's own era."""
        return self._eras

    @property
    def _version(self) -> store.Revision:
        return store.Revision(self._eras.current, self._number)

    def _next_version(self) -> store.Revision:
        self._number += 1
        return self._version

    def take_copy(self) -> Copy:
        """Return a copy of the present state."""
        with self._changed:
            objects = {
                kind: dict(by_name) for kind, by_name in self._objects.items()
            }
            return Copy(objects, self._number)

    def restore(self, copy: Copy) -> int:
        """Go back to a copy, which begins a new era.

        :returns: how many revisions are lost.
        """
        with self._changed:
            lost = self._number - copy.number
            era = self._eras.current + 1
            self._objects = {
                kind: {
                    name: _in_era(stored, era)
                    for name, stored in by_name.items()
                }
                for kind, by_name in copy.objects.items()
            }
            self._number = copy.number
            self._history.clear()
            self._eras.learn(era)
            self._changed.notify_all()
            return lost

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object.

        :raises errors.StoreNotFound: when there is no such object.
        """
        with self._changed:
            item = self._objects[kind].get(name)
        if item is None:
            raise errors.StoreNotFound(f"{kind.value}/{name}")
        return item

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names start with the prefix."""
        with self._changed:
            items = [
                item
                for name, item in sorted(self._objects[kind].items())
                if name.startswith(prefix)
            ]
            return store.Listing(self._version, tuple(items))

    def put(
        self,
        kind: store.Kind,
        name: str,
        spec: object,
        version: store.Revision,
    ) -> store.StoredObject:
        """Write an object if its version is the given one."""
        value = msgspec.json.encode(spec)
        if len(value) > store.MAX_VALUE_BYTES:
            raise errors.StoreTooLarge(f"{kind.value}/{name}")
        with self._changed:
            current = self._objects[kind].get(name)
            if version != (current.version if current else store.ABSENT):
                raise errors.StoreConflict(f"{kind.value}/{name}")
            written = store.StoredObject(
                name, self._next_version(), msgspec.Raw(value)
            )
            self._objects[kind][name] = written
            added = store.EventType.ADDED
            changed = store.EventType.MODIFIED
            self._record(kind, changed if current else added, written)
            return written

    def delete(
        self, kind: store.Kind, name: str, version: store.Revision
    ) -> None:
        """Delete an object if its version is the given one."""
        with self._changed:
            current = self._objects[kind].get(name)
            if current is None:
                raise errors.StoreNotFound(f"{kind.value}/{name}")
            if current.version != version:
                raise errors.StoreConflict(f"{kind.value}/{name}")
            del self._objects[kind][name]
            deleted = store.StoredObject(
                name, self._next_version(), current.spec
            )
            self._record(kind, store.EventType.DELETED, deleted)

    def watch(
        self, kind: store.Kind, version: store.Revision, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version, until ``timeout_s`` has passed.

        :raises errors.StoreExpired: when the history doesn't go back that far.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            with self._changed:
                events = self._events_after(kind, version)
                remaining_s = end_s - time.monotonic()
                if not events and remaining_s > 0:
                    self._changed.wait(remaining_s)
                    events = self._events_after(kind, version)
                version = self._version
            yield from events
            if time.monotonic() >= end_s:
                return

    def compact(self) -> None:
        """Drop the history, so that watches of older versions expire."""
        with self._changed:
            self._history.clear()

    def _record(
        self,
        kind: store.Kind,
        type_: store.EventType,
        item: store.StoredObject,
    ) -> None:
        event = store.Event(type_, item.version, item)
        self._history.append((kind, event))
        self._changed.notify_all()

    def _events_after(
        self, kind: store.Kind, version: store.Revision
    ) -> "_Events":
        if version.era != self._eras.current:
            raise errors.StoreExpired(f"version {version} was superseded")
        oldest_number = self._number - len(self._history)
        if not oldest_number <= version.number <= self._number:
            raise errors.StoreExpired(
                f"version {version} isn't in the history, which goes from "
                f"version {oldest_number} to {self._number}"
            )
        return [
            event
            for event_kind, event in self._history
            if event_kind is kind and event.version > version
        ]
