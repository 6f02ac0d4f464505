"""The stand-in for the users' platform's metadata store.

It speaks the published calls of that store: objects with ``metadata`` and
``spec``, conditional writes, pages, and watches that answer once.  Faults are
those of ``object_api``.
"""

from __future__ import annotations

import collections.abc
import http
import typing
import urllib.parse

import msgspec

from chiveroad import errors
from chiveroad import store
from standins import object_api

PREFIX: typing.Final = "/objects/"
PAGE: typing.Final = 5

KINDS: typing.Final = {
    "config": store.Kind.ACCEPTED,
    "chiveroad-members": store.Kind.MEMBERS,
}

_STATUS: typing.Final = {
    errors.StoreNotFound: http.HTTPStatus.NOT_FOUND,
    errors.StoreConflict: http.HTTPStatus.CONFLICT,
    errors.StoreExpired: http.HTTPStatus.GONE,
    errors.StoreTooLarge: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


class Handler(object_api.Handler):
    """One connection of a client."""

    def do_POST(self) -> None:
        """Create an object."""
        self._guarded(self._create)

    def _guarded(self, work: collections.abc.Callable[..., None]) -> None:
        body = self._body()
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind_text, _, name = url.path.removeprefix(PREFIX).partition("/")
        if self.api.faults.outage:
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        try:
            kind = KINDS.get(kind_text) or store.Kind(kind_text)
            work(kind, urllib.parse.unquote(name), query, body)
        except errors.StoreError as exc:
            self._answer(_STATUS[type(exc)], {"message": str(exc)})

    def _read(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        if name:
            self._answer(
                http.HTTPStatus.OK, _object(self.api.store.get(kind, name))
            )
        elif "watch" in query:
            self._changes(kind, int(query["watch"]), int(query["wait_ms"]))
        else:
            self._page(kind, query.get("after", ""))

    def _page(self, kind: store.Kind, after: str) -> None:
        listing = self.api.store.list(kind)
        left = [item for item in listing.objects if item.name > after]
        answer = {
            "items": [_object(item) for item in left[:PAGE]],
            "has_more": len(left) > PAGE,
            "as_of": listing.version,
        }
        self._answer(http.HTTPStatus.OK, answer)

    def _changes(self, kind: store.Kind, revision: int, wait_ms: int) -> None:
        found: list[store.Event] = []
        for event in self.api.store.watch(kind, revision, wait_ms / 1000):
            rest = self.api.store.watch(kind, event.version, 0)
            found = [event, *rest]
            revision = found[-1].version
            break
        events = [_change(event) for event in found]
        answer = {"events": events, "as_of": revision}
        self._answer(http.HTTPStatus.OK, answer)

    def _create(
        self, kind: store.Kind, _: str, query: dict[str, str], body: bytes
    ) -> None:
        sent = msgspec.json.decode(body)
        self._put(kind, sent["metadata"]["name"], sent, store.ABSENT)

    def _write(
        self, kind: store.Kind, name: str, query: dict[str, str], body: bytes
    ) -> None:
        sent = msgspec.json.decode(body)
        self.api.store.get(kind, name)
        self._put(kind, name, sent, int(sent["metadata"]["revision"]))

    def _put(
        self,
        kind: store.Kind,
        name: str,
        sent: dict[str, typing.Any],
        revision: int,
    ) -> None:
        written = self.api.store.put(kind, name, sent["spec"], revision)
        if self.api.loses_answer(kind.value):
            self.close_connection = True
            return
        self._answer(http.HTTPStatus.OK, _object(written))

    def _delete(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        self.api.store.delete(kind, name, int(query["revision"]))
        self._answer(http.HTTPStatus.OK, {})


def _change(event: store.Event) -> dict[str, object]:
    assert event.object is not None
    tombstone = event.type is store.EventType.DELETED
    return {"object": _object(event.object), "tombstone": tombstone}


def _object(item: store.StoredObject) -> dict[str, object]:
    metadata = {"name": item.name, "revision": item.version}
    return {"metadata": metadata, "spec": item.spec, "status": None}


def serve(host: str, port: int) -> object_api.Server:
    """Return a bound server that isn't running yet."""
    api = object_api.ObjectApi()
    handler = type("BoundHandler", (Handler,), {"api": api})
    server = object_api.Server((host, port), handler)
    server.api = api
    return server
