"""The platform's metadata store, called over HTTP."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from chiveroad import errors
from chiveroad import http_calls
from chiveroad import store

CONNECT_TIMEOUT_S: typing.Final = 0.5
WATCH_GRACE_S: typing.Final = 0.6
"""How much later than its wait the answer to a watch may arrive."""

_KINDS: typing.Final = {
    store.Kind.ACCEPTED: "config",
    store.Kind.MEMBERS: "chiveroad-members",
}
"""The platform's kind for each of ours; others keep their name."""


class _Metadata(msgspec.Struct):
    """``revision`` is that of the object's last change."""

    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    """``as_of`` is the store's revision; a page may not be the last."""

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
    :param timeout_s: how long one call other than a watch may take.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._client = store.Client(
            f"http://{address}/objects", CONNECT_TIMEOUT_S, timeout_s
        )

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        body = self._client.call("GET", self._url(kind, name))
        return _stored(store.decode_answer(_object_decoder, body))

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names begin with the prefix."""
        objects: list[store.StoredObject] = []
        after = ""
        as_of: int | None = None
        ends: set[str] = set()
        left_bytes = http_calls.MAX_ANSWER_BYTES
        while True:
            url = self._url(kind, query={"after": after} if after else None)
            body = self._client.call("GET", url)
            page = store.decode_answer(_page_decoder, body)
            found = [_stored(item) for item in page.items]
            objects += [each for each in found if each.name.startswith(prefix)]
            # Later pages don't hold what was written before their names.
            as_of = page.as_of if as_of is None else as_of
            if not page.has_more or not found:
                return store.Listing(as_of, tuple(objects))
            after = found[-1].name
            left_bytes -= len(body)
            if after in ends or left_bytes < 0:
                raise errors.StoreUnavailable(f"{kind.value}: endless list")
            ends.add(after)

    def put(
        self, kind: store.Kind, name: str, spec: object, version: int
    ) -> store.StoredObject:
        """Write an object if its version is still the one given."""
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
        """Delete an object if its version is still the one given."""
        url = self._url(kind, name, {"revision": version})
        self._client.call("DELETE", url)

    def watch(
        self, kind: store.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version; one call, one answer."""
        wait_ms = int(timeout_s * 1000)
        query = {"watch": version, "wait_ms": wait_ms}
        body = self._client.call(
            "GET",
            self._url(kind, query=query),
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        changes = store.decode_answer(_changes_decoder, body)
        for change, version in zip(changes.events, _versions(changes)):
            type_ = store.EventType.MODIFIED
            if change.tombstone:
                type_ = store.EventType.DELETED
            yield store.Event(type_, version, _stored(change.object))
        yield store.Event(store.EventType.BOOKMARK, changes.as_of, None)

    def _url(
        self,
        kind: store.Kind,
        name: str = "",
        query: collections.abc.Mapping[str, object] | None = None,
    ) -> str:
        return self._client.url(_KINDS.get(kind, kind.value), name, query)


def _versions(changes: _Changes) -> list[int]:
    """Return the version of each change.

    A tombstone may bear the revision of the last write, and none of its own;
    the deletion came before whatever was written under its name since.
    """
    versions: list[int] = []
    since: dict[str, int] = {}
    for change in reversed(changes.events):
        metadata = change.object.metadata
        version = metadata.revision
        if change.tombstone:
            version = since.get(metadata.name, changes.as_of + 1) - 1
        since[metadata.name] = version
        versions.append(version)
    return versions[::-1]


def _stored(item: _Object) -> store.StoredObject:
    return store.StoredObject(
        item.metadata.name, item.metadata.revision, item.spec.copy()
    )
