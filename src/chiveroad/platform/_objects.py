"""HTTP client for the platform's metadata store."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from chiveroad import errors
from chiveroad import http_calls
from chiveroad import store

CONNECT_TIMEOUT_S: typing.Final = 0.5
WATCH_GRACE_S: typing.Final = 0.6
"""How long after the end of its long poll the answer to a watch may arrive."""

_PLATFORM_KINDS: typing.Final = {
    store.Kind.ACCEPTED: "config",
    store.Kind.MEMBERS: "chiveroad-members",
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
            f"http://{address}/objects", CONNECT_TIMEOUT_S, timeout_s
        )

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        body = self._client.call("GET", self._url(kind, name))
        return _stored_object(store.decode_answer(_object_decoder, body))

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names start with the prefix."""
        objects: list[store.StoredObject] = []
        after = ""
        as_of: int | None = None
        page_ends: set[str] = set()
        left_bytes = http_calls.MAX_ANSWER_BYTES
        while True:
            url = self._url(kind, query={"after": after} if after else None)
            body = self._client.call("GET", url)
            page = store.decode_answer(_page_decoder, body)
            page_objects = [_stored_object(item) for item in page.items]
            objects += [
                stored
                for stored in page_objects
                if stored.name.startswith(prefix)
            ]
            # An object that is written meanwhile, with a name before the
            # next page, is missing; so the first page's revision counts.
            as_of = page.as_of if as_of is None else as_of
            if not page.has_more or not page_objects:
                return store.Listing(as_of, tuple(objects))
            after = page_objects[-1].name
            left_bytes -= len(body)
            if after in page_ends or left_bytes < 0:
                raise errors.StoreUnavailable(f"{kind.value}: endless list")
            page_ends.add(after)

    def put(
        self, kind: store.Kind, name: str, spec: object, version: int
    ) -> store.StoredObject:
        """Write an object if its version still equals ``version``."""
        value = store.encode_spec(kind, name, spec)
        metadata: dict[str, object] = {"name": name}
        if version != store.ABSENT:
            metadata["revision"] = version
        body = store.encode_object(metadata, value)
        try:
            if version == store.ABSENT:
                answer = self._client.call("POST", self._url(kind), body)
            else:
                answer = self._client.call("PUT", self._url(kind, name), body)
        except errors.StoreNotFound as exc:
            raise errors.StoreConflict(f"{kind.value}/{name} is gone") from exc
        written = store.decode_answer(_object_decoder, answer)
        return store.StoredObject(name, written.metadata.revision, value)

    def delete(self, kind: store.Kind, name: str, version: int) -> None:
        """Delete an object if its version still equals ``version``."""
        url = self._url(kind, name, {"revision": version})
        self._client.call("DELETE", url)

    def watch(
        self, kind: store.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version, by one long poll."""
        wait_ms = int(timeout_s * 1000)
        query = {"watch": version, "wait_ms": wait_ms}
        body = self._client.call(
            "GET",
            self._url(kind, query=query),
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        changes = store.decode_answer(_changes_decoder, body)
        for change, version in zip(changes.events, _versions(changes)):
            event_type = store.EventType.MODIFIED
            if change.tombstone:
                event_type = store.EventType.DELETED
            yield store.Event(
                event_type, version, _stored_object(change.object)
            )
        yield store.Event(store.EventType.BOOKMARK, changes.as_of, None)

    def _url(
        self,
        kind: store.Kind,
        name: str = "",
        query: collections.abc.Mapping[str, object] | None = None,
    ) -> str:
        return self._client.url(
            _PLATFORM_KINDS.get(kind, kind.value), name, query
        )


def _versions(changes: _Changes) -> list[int]:
    """Return the version of each change.

    A tombstone may have the revision of the object's last write instead of its
    own.  The deletion precedes all later writes under the same name, so its
    version is one less than that of the next write, or else ``as_of``.
    """
    versions: list[int] = []
    next_versions: dict[str, int] = {}
    for change in reversed(changes.events):
        metadata = change.object.metadata
        version = metadata.revision
        if change.tombstone:
            version = next_versions.get(metadata.name, changes.as_of + 1) - 1
        next_versions[metadata.name] = version
        versions.append(version)
    return versions[::-1]


def _stored_object(item: _Object) -> store.StoredObject:
    return store.StoredObject(
        item.metadata.name, item.metadata.revision, item.spec.copy()
    )
