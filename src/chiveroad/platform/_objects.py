"""HTTP client for the platform's metadata store."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from chiveroad import errors
from chiveroad import store

MAX_LIST_BYTES: typing.Final = 16 * 1024 * 1024
"""The size limit of a list with all its pages."""

CONNECT_TIMEOUT_S: typing.Final = 0.5
WATCH_GRACE_S: typing.Final = 0.6
"""How long after the end of its long poll the answer to a watch may arrive."""

ERA_HEADER: typing.Final = "Store-Era"

_PLATFORM_KINDS: typing.Final = {
    store.Kind.ACCEPTED: "config",
    store.Kind.MEMBERS: "chiveroad-members",
    store.Kind.KEYS: "chiveroad-keys",
}
"""The platform's names of kinds; kinds that aren't listed keep their names."""


class _Metadata(msgspec.Struct):
    """``revision`` is the store's revision of the object's last change."""

    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    """A page of a list; ``as_of`` is the store's revision at that time."""

    items: list[_Object]
    as_of: int
    has_more: bool = False


class _Change(msgspec.Struct):
    """``tombstone`` says that the object was deleted."""

    object: _Object
    tombstone: bool = False


class _Changes(msgspec.Struct):
    events: list[_Change]
    as_of: int


_object_decoder = msgspec.json.Decoder(_Object)
_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)


class ObjectStore(store.Store):
    """A client of the platform's store.

    :param address: ``HOST:PORT``.
    :param timeout_s: how long a call other than a watch waits for the answer
        to begin.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._client = store.Client(
            f"http://{address}/objects",
            CONNECT_TIMEOUT_S,
            timeout_s,
            ERA_HEADER,
        )

    @property
    def eras(self) -> store.EraTracker:
        """Return the tracker of the latest era that is known."""
        return self._client.eras

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        reply = self._client.call("GET", self._url(kind, name))
        found = store.decode_answer(_object_decoder, reply.body)
        return _stored_object(found, reply.era)

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names start with the prefix."""
        objects: list[store.StoredObject] = []
        after = ""
        as_of: store.Revision | None = None
        page_ends: set[str] = set()
        left_bytes = MAX_LIST_BYTES
        while True:
            url = self._url(kind, query={"after": after} if after else None)
            reply = self._client.call("GET", url)
            page = store.decode_answer(_page_decoder, reply.body)
            page_objects = [
                _stored_object(item, reply.era) for item in page.items
            ]
            objects += [
                stored
                for stored in page_objects
                if stored.name.startswith(prefix)
            ]
            # An object that is written meanwhile, with a name before the
            # next page, is missing; so the first page's revision counts.
            if as_of is None:
                as_of = store.Revision(reply.era, page.as_of)
            if reply.era != as_of.era:
                raise errors.StoreUnavailable(
                    f"{kind.value}: the era changed between two pages"
                )
            if not page.has_more or not page_objects:
                return store.Listing(as_of, tuple(objects))
            after = page_objects[-1].name
            left_bytes -= len(reply.body)
            if after in page_ends or left_bytes < 0:
                raise errors.StoreUnavailable(f"{kind.value}: endless list")
            page_ends.add(after)

    def put(
        self,
        kind: store.Kind,
        name: str,
        spec: object,
        version: store.Revision,
    ) -> store.StoredObject:
        """Write an object if its version still equals ``version``."""
        value = store.encode_spec(kind, name, spec)
        metadata: dict[str, object] = {"name": name}
        if version != store.ABSENT:
            metadata["revision"] = version.number
        body = store.encode_object(metadata, value)
        try:
            if version == store.ABSENT:
                method, url = "POST", self._url(kind)
            else:
                method, url = "PUT", self._url(kind, name)
            reply = self._client.write(method, url, version, body)
        except errors.StoreNotFound as exc:
            raise errors.StoreConflict(f"{kind.value}/{name} is gone") from exc
        written = store.decode_answer(
            _object_decoder, reply.body, method
        ).metadata
        return store.StoredObject(
            name, store.Revision(reply.era, written.revision), value
        )

    def delete(
        self, kind: store.Kind, name: str, version: store.Revision
    ) -> None:
        """Delete an object if its version still equals ``version``."""
        url = self._url(kind, name, {"revision": version.number})
        self._client.write("DELETE", url, version)

    def watch(
        self, kind: store.Kind, version: store.Revision, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version, by one long poll."""
        wait_ms = int(timeout_s * 1000)
        query = {"watch": version.number, "wait_ms": wait_ms}
        reply = self._client.watch(
            self._url(kind, query=query), version, timeout_s + WATCH_GRACE_S
        )
        changes = store.decode_answer(_changes_decoder, reply.body)
        for change, number in zip(changes.events, _revisions(changes)):
            event_type = store.EventType.MODIFIED
            if change.tombstone:
                event_type = store.EventType.DELETED
            yield store.Event(
                event_type,
                store.Revision(reply.era, number),
                _stored_object(change.object, reply.era),
            )
        as_of = store.Revision(reply.era, changes.as_of)
        yield store.Event(store.EventType.BOOKMARK, as_of, None)

    def _url(
        self,
        kind: store.Kind,
        name: str = "",
        query: collections.abc.Mapping[str, object] | None = None,
    ) -> str:
        return self._client.url(
            _PLATFORM_KINDS.get(kind, kind.value), name, query
        )


def _revisions(changes: _Changes) -> list[int]:
    """Return the revision of each change.

    A tombstone may have the revision of the object's last write instead of its
    own.  The deletion precedes all later writes under the same name, so its
    revision is one less than that of the next write, or else ``as_of``.
    """
    revisions: list[int] = []
    next_revisions: dict[str, int] = {}
    for change in reversed(changes.events):
        metadata = change.object.metadata
        revision = metadata.revision
        if change.tombstone:
            later = next_revisions.get(metadata.name, changes.as_of + 1)
            revision = later - 1
        next_revisions[metadata.name] = revision
        revisions.append(revision)
    return revisions[::-1]


def _stored_object(item: _Object, era: int) -> store.StoredObject:
    version = store.Revision(era, item.metadata.revision)
    return store.StoredObject(item.metadata.name, version, item.spec.copy())
