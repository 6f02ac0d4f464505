"""A stand-in for the metadata store of the users' platform.

It implements the published calls of that store: objects with ``metadata`` and
``spec``, conditional writes, lists in pages, and watches that answer once, as
long polls.  Of the faults of ``object_api`` it has outages and lost answers.
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
    "chiveroad-keys": store.Kind.KEYS,
}

_ERROR_STATUS: typing.Final = {
    errors.StoreNotFound: http.HTTPStatus.NOT_FOUND,
    errors.StoreConflict: http.HTTPStatus.CONFLICT,
    errors.StoreExpired: http.HTTPStatus.GONE,
    errors.StoreTooLarge: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


class Handler(object_api.Handler):
    """Handles one connection of a client."""

    era_header = "Store-Era"

    def do_POST(self) -> None:
        """Create an object."""
        self._handle(self._create)

    def _handle(self, operation: collections.abc.Callable[..., None]) -> None:
        body = self._read_body()
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind_text, _, name = url.path.removeprefix(PREFIX).partition("/")
        if self.api.faults.outage:
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        try:
            kind = KINDS.get(kind_text) or store.Kind(kind_text)
            operation(kind, urllib.parse.unquote(name), query, body)
        except errors.StoreError as exc:
            self._answer(_ERROR_STATUS[type(exc)], {"message": str(exc)})

    def _get_or_list(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        if name:
            self._answer(
                http.HTTPStatus.OK,
                _encoded_object(self.api.store.get(kind, name)),
            )
        elif "watch" in query:
            era = self.api.store.eras.current
            version = store.Revision(era, int(query["watch"]))
            self._long_poll(kind, version, int(query["wait_ms"]))
        else:
            self._list_page(kind, query.get("after", ""))

    def _list_page(self, kind: store.Kind, after: str) -> None:
        listing = self.api.store.list(kind)
        remaining = [item for item in listing.objects if item.name > after]
        answer = {
            "items": [_encoded_object(item) for item in remaining[:PAGE]],
            "has_more": len(remaining) > PAGE,
            "as_of": listing.version.number,
        }
        self._answer(http.HTTPStatus.OK, answer)

    def _long_poll(
        self, kind: store.Kind, version: store.Revision, wait_ms: int
    ) -> None:
        changes: list[store.Event] = []
        for event in self.api.store.watch(kind, version, wait_ms / 1000):
            rest = self.api.store.watch(kind, event.version, 0)
            changes = [event, *rest]
            version = changes[-1].version
            break
        events = [_encoded_event(event) for event in changes]
        answer = {"events": events, "as_of": version.number}
        self._answer(http.HTTPStatus.OK, answer)

    def _create(
        self, kind: store.Kind, _: str, query: dict[str, str], body: bytes
    ) -> None:
        request = msgspec.json.decode(body)
        self._put_and_answer(
            kind, request["metadata"]["name"], request, store.ABSENT
        )

    def _put(
        self, kind: store.Kind, name: str, query: dict[str, str], body: bytes
    ) -> None:
        request = msgspec.json.decode(body)
        self.api.store.get(kind, name)
        self._put_and_answer(
            kind,
            name,
            request,
            self.api.version(int(request["metadata"]["revision"])),
        )

    def _put_and_answer(
        self,
        kind: store.Kind,
        name: str,
        request: dict[str, typing.Any],
        version: store.Revision,
    ) -> None:
        written = self.api.store.put(kind, name, request["spec"], version)
        if self.api.consume_lost_answer(kind.value):
            self.close_connection = True
            return
        self._answer(http.HTTPStatus.OK, _encoded_object(written))

    def _delete(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        version = self.api.version(int(query["revision"]))
        self.api.store.delete(kind, name, version)
        self._answer(http.HTTPStatus.OK, {})


def _encoded_event(event: store.Event) -> dict[str, object]:
    assert event.object is not None
    tombstone = event.type is store.EventType.DELETED
    return {"object": _encoded_object(event.object), "tombstone": tombstone}


def _encoded_object(item: store.StoredObject) -> dict[str, object]:
    metadata = {"name": item.name, "revision": item.version.number}
    return {"metadata": metadata, "spec": item.spec, "status": None}


def serve(host: str, port: int) -> object_api.Server:
    """Return a server that is bound to its port but not yet running."""
    api = object_api.ObjectApi()
    handler = type("BoundHandler", (Handler,), {"api": api})
    server = object_api.Server((host, port), handler)
    server.api = api
    return server
