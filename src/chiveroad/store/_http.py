"""HTTP client for the object API described in ``docs/PLATFORM.md``."""

from __future__ import annotations

import collections.abc
import http
import typing

import msgspec
import urllib3

from chiveroad import errors
from chiveroad.store import _base
from chiveroad.store import _client
from chiveroad.store import _era
from chiveroad.store import _outcome

CONNECT_TIMEOUT_S: typing.Final = 1.0
READ_TIMEOUT_S: typing.Final = 3.0
WATCH_GRACE_S: typing.Final = 5.0

MAX_EVENT_BYTES: typing.Final = 2 * _base.MAX_VALUE_BYTES
"""Bounds one line of a watch: a value and its metadata."""

_EVENT_READ_BYTES: typing.Final = 64 * 1024

ERA_HEADER: typing.Final = "Object-Api-Era"

_PATH: typing.Final = "/apis/chiveroad/v1"


_Version = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,18}\Z")]


class _Metadata(msgspec.Struct, rename="camel"):
    resource_version: _Version
    name: str = ""


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _List(msgspec.Struct):
    metadata: _Metadata
    items: list[_Object]


class _Event(msgspec.Struct):
    type: _base.EventType
    object: _Object


_object_decoder = msgspec.json.Decoder(_Object)
_list_decoder = msgspec.json.Decoder(_List)
_event_decoder = msgspec.json.Decoder(_Event)


class HttpStore(_base.Store):
    """A client of the object API at one address.

    :param address: ``HOST:PORT``.
    :param timeout_s: how long a call other than a watch waits for the answer
        to begin.
    """

    def __init__(
        self, address: str, timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self._client = _client.Client(
            f"http://{address}{_PATH}",
            CONNECT_TIMEOUT_S,
            timeout_s,
            ERA_HEADER,
        )

    @property
    def eras(self) -> _era.EraTracker:
        """Return the tracker of the latest era that is known."""
        return self._client.eras

    def get(self, kind: _base.Kind, name: str) -> _base.StoredObject:
        """Return an object."""
        reply = self._client.call("GET", self._client.url(kind.value, name))
        found = _outcome.decode_answer(_object_decoder, reply.body)
        return _stored_object(found, reply.era)

    def list(self, kind: _base.Kind, prefix: str = "") -> _base.Listing:
        """Return the objects whose names start with the prefix."""
        url = self._client.url(kind.value, query={"prefix": prefix})
        reply = self._client.call("GET", url)
        listing = _outcome.decode_answer(_list_decoder, reply.body)
        return _base.Listing(
            _version(listing.metadata, reply.era),
            tuple(_stored_object(item, reply.era) for item in listing.items),
        )

    def put(
        self, kind: _base.Kind, name: str, spec: object, version: _era.Revision
    ) -> _base.StoredObject:
        """Write an object if its version still equals ``version``."""
        value = _client.encode_spec(kind, name, spec)
        body = _client.encode_object(
            {"name": name, "resourceVersion": str(version.number)}, value
        )
        url = self._client.url(kind.value, name)
        reply = self._client.write("PUT", url, version, body)
        written = _outcome.decode_answer(_object_decoder, reply.body, "PUT")
        return _base.StoredObject(
            name, _version(written.metadata, reply.era), value
        )

    def delete(
        self, kind: _base.Kind, name: str, version: _era.Revision
    ) -> None:
        """Delete an object if its version still equals ``version``."""
        query = {"resourceVersion": version.number}
        url = self._client.url(kind.value, name, query)
        self._client.write("DELETE", url, version)

    def watch(
        self, kind: _base.Kind, version: _era.Revision, timeout_s: float
    ) -> collections.abc.Iterator[_base.Event]:
        """Yield the changes after a version until the timeout has passed."""
        self._client.check_era(version, self.eras.current)
        query = {
            "watch": "true",
            "resourceVersion": version.number,
            "timeoutSeconds": timeout_s,
        }
        response = self._client.send(
            "GET",
            self._client.url(kind.value, query=query),
            timeout_s=timeout_s + WATCH_GRACE_S,
            stream=True,
        )
        answer = response.http
        try:
            if answer.status != http.HTTPStatus.OK:
                raise _outcome.status_error(
                    answer.status, "GET", answer.read()
                )
            self._client.check_era(version, response.era)
            yield from _events(answer, response.era)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailable(
                f"watch {kind.value}: {exc}"
            ) from exc
        finally:
            answer.close()
            answer.release_conn()


def _events(
    response: urllib3.BaseHTTPResponse, era: int
) -> collections.abc.Iterator[_base.Event]:
    incomplete_line = b""
    # urllib3 reads the chunks of a stream with a parser of its own.
    while chunk := response.read1(_EVENT_READ_BYTES):
        *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        if len(incomplete_line) > MAX_EVENT_BYTES:
            raise errors.StoreUnavailable("an event is too long")
        for line in lines:
            event = _outcome.decode_answer(_event_decoder, line)
            version = _version(event.object.metadata, era)
            is_bookmark = event.type is _base.EventType.BOOKMARK
            stored = None if is_bookmark else _stored_object(event.object, era)
            yield _base.Event(event.type, version, stored)


def _version(metadata: _Metadata, era: int) -> _era.Revision:
    return _era.Revision(era, int(metadata.resource_version))


def _stored_object(item: _Object, era: int) -> _base.StoredObject:
    return _base.StoredObject(
        item.metadata.name,
        _version(item.metadata, era),
        item.spec.copy(),
    )
