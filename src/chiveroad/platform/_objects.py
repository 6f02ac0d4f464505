"""The platform's metadata store, called over HTTP."""

from __future__ import annotations

import collections.abc
import http
import typing
import urllib.parse

import msgspec
import urllib3

from chiveroad import errors
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
_encoder = msgspec.json.Encoder()


class ObjectStore(store.Store):
    """A client of the platform's store.

    :param address: ``HOST:PORT``.
    :param timeout_s: how long one call other than a watch may take.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._base_url = f"http://{address}/objects"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        body = self._call("GET", self._url(kind, name))
        return _stored(store.decode_answer(_object_decoder, body))

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return the objects whose names begin with the prefix."""
        objects: list[store.StoredObject] = []
        after = ""
        while True:
            query = f"?{urllib.parse.urlencode({'after': after})}"
            url = self._url(kind) + (query if after else "")
            page = store.decode_answer(_page_decoder, self._call("GET", url))
            found = [_stored(item) for item in page.items]
            objects += [each for each in found if each.name.startswith(prefix)]
            if not page.has_more or not found:
                return store.Listing(page.as_of, tuple(objects))
            after = found[-1].name

    def put(
        self, kind: store.Kind, name: str, spec: object, version: int
    ) -> store.StoredObject:
        """Write an object if its version is still the one given."""
        value = _encoder.encode(spec)
        if len(value) > store.MAX_VALUE_BYTES:
            raise errors.StoreTooLarge(f"{kind.value}/{name}: {len(value)} B")
        metadata: dict[str, object] = {"name": name}
        if version != store.ABSENT:
            metadata["revision"] = version
        body = _encoder.encode(
            {"metadata": metadata, "spec": msgspec.Raw(value)}
        )
        try:
            if version == store.ABSENT:
                answer = self._call("POST", self._url(kind), body)
            else:
                answer = self._call("PUT", self._url(kind, name), body)
        except errors.StoreNotFound as exc:
            raise errors.StoreConflict(f"{kind.value}/{name} is gone") from exc
        written = store.decode_answer(_object_decoder, answer)
        return store.StoredObject(
            name, written.metadata.revision, msgspec.Raw(value)
        )

    def delete(self, kind: store.Kind, name: str, version: int) -> None:
        """Delete an object if its version is still the one given."""
        query = urllib.parse.urlencode({"revision": version})
        self._call("DELETE", f"{self._url(kind, name)}?{query}")

    def watch(
        self, kind: store.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield the changes after a version; one call, one answer."""
        query = urllib.parse.urlencode(
            {"watch": version, "wait_ms": int(timeout_s * 1000)}
        )
        url = f"{self._url(kind)}?{query}"
        body = self._call("GET", url, timeout_s=timeout_s + WATCH_GRACE_S)
        changes = store.decode_answer(_changes_decoder, body)
        for change in changes.events:
            stored = _stored(change.object)
            if change.tombstone:
                # A tombstone may bear the revision of the last write.
                yield store.Event(
                    store.EventType.DELETED, changes.as_of, stored
                )
                continue
            yield store.Event(store.EventType.MODIFIED, stored.version, stored)
        yield store.Event(store.EventType.BOOKMARK, changes.as_of, None)

    def _url(self, kind: store.Kind, name: str = "") -> str:
        url = f"{self._base_url}/{_KINDS.get(kind, kind.value)}"
        return f"{url}/{urllib.parse.quote(name, safe='')}" if name else url

    def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float = 0.0,
    ) -> bytes:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeout_s or self._timeout_s
        )
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise errors.StoreUnavailable(f"{method}: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise store.lost_answer(method, str(exc)) from exc
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            raise store.status_error(response.status, method, response.data)
        return response.data


def _stored(item: _Object) -> store.StoredObject:
    return store.StoredObject(
        item.metadata.name, item.metadata.revision, item.spec.copy()
    )
