"""The object API in memory: the heart of the stand-in and of the tests."""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

import msgspec

from chiveroad import errors
from chiveroad import store

HISTORY_LENGTH: typing.Final = 2_000

_Events = list[store.Event]


class MemoryStore(store.Store):
    """A store that keeps its objects in this process.

    Versions are one sequence over all kinds.  ``history_length`` bounds how
    far back a watch may begin.
    """

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self._objects: dict[store.Kind, dict[str, store.StoredObject]] = {
            kind: {} for kind in store.Kind
        }
        self._version = 0
        self._history: collections.deque[tuple[store.Kind, store.Event]] = (
            collections.deque(maxlen=history_length)
        )
        self._changed = threading.Condition()

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        with self._changed:
            found = self._objects[kind].get(name)
        if found is None:
            raise errors.StoreNotFound(f"{kind.value}/{name}")
        return found

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names begin with the prefix."""
        with self._changed:
            found = [
                item
                for name, item in sorted(self._objects[kind].items())
                if name.startswith(prefix)
            ]
            return store.Listing(self._version, tuple(found))

    def put(
        self, kind: store.Kind, name: str, spec: object, version: int
    ) -> store.StoredObject:
        """Write an object if its version is still the one given."""
        value = msgspec.json.encode(spec)
        if len(value) > store.MAX_VALUE_BYTES:
            raise errors.StoreTooLarge(f"{kind.value}/{name}")
        with self._changed:
            current = self._objects[kind].get(name)
            if version != (current.version if current else store.ABSENT):
                raise errors.StoreConflict(f"{kind.value}/{name}")
            self._version += 1
            written = store.StoredObject(
                name, self._version, msgspec.Raw(value)
            )
            self._objects[kind][name] = written
            added = store.EventType.ADDED
            changed = store.EventType.MODIFIED
            self._record(kind, changed if current else added, written)
            return written

    def delete(self, kind: store.Kind, name: str, version: int) -> None:
        """Delete an object if its version is still the one given."""
        with self._changed:
            current = self._objects[kind].get(name)
            if current is None:
                raise errors.StoreNotFound(f"{kind.value}/{name}")
            if current.version != version:
                raise errors.StoreConflict(f"{kind.value}/{name}")
            del self._objects[kind][name]
            self._version += 1
            gone = store.StoredObject(name, self._version, current.spec)
            self._record(kind, store.EventType.DELETED, gone)

    def watch(
        self, kind: store.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version until the time is over."""
        end_s = time.monotonic() + timeout_s
        while True:
            with self._changed:
                events = self._since(kind, version)
                left_s = end_s - time.monotonic()
                if not events and left_s > 0:
                    self._changed.wait(left_s)
                    events = self._since(kind, version)
                version = self._version
            yield from events
            if time.monotonic() >= end_s:
                return

    def compact(self) -> None:
        """Forget the history, so that older watches have to list again."""
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

    def _since(self, kind: store.Kind, version: int) -> "_Events":
        oldest = self._version - len(self._history)
        if version < oldest:
            raise errors.StoreExpired(f"version {version} is too old")
        return [
            event
            for event_kind, event in self._history
            if event_kind is kind and event.version > version
        ]
