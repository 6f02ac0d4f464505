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
from chiveroad.store import _outcome

CONNECT_TIMEOUT_S: typing.Final = 1.0
READ_TIMEOUT_S: typing.Final = 3.0
WATCH_GRACE_S: typing.Final = 5.0

MAX_EVENT_BYTES: typing.Final = 2 * _base.MAX_VALUE_BYTES
"""Bounds one line of a watch: a value and its metadata."""

_PATH: typing.Final = "/apis/chiveroad/v1"


class _Metadata(msgspec.Struct, rename="camel"):
    resource_version: str
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
            f"http://{address}{_PATH}", CONNECT_TIMEOUT_S, timeout_s
        )

    def get(self, kind: _base.Kind, name: str) -> _base.StoredObject:
        """Return an object."""
        body = self._client.call("GET", self._client.url(kind.value, name))
        return _stored_object(_outcome.decode_answer(_object_decoder, body))

    def list(self, kind: _base.Kind, prefix: str = "") -> _base.Listing:
        """Return the objects whose names start with the prefix."""
        url = self._client.url(kind.value, query={"prefix": prefix})
        body = self._client.call("GET", url)
        listing = _outcome.decode_answer(_list_decoder, body)
        return _base.Listing(
            _version(listing.metadata),
            tuple(_stored_object(item) for item in listing.items),
        )

    def put(
        self, kind: _base.Kind, name: str, spec: object, version: int
    ) -> _base.StoredObject:
        """Write an object if its version still equals ``version``."""
        value = _client.encode_spec(kind, name, spec)
        body = _client.encode_object(
            {"name": name, "resourceVersion": str(version)}, value
        )
        url = self._client.url(kind.value, name)
        answer = self._client.call("PUT", url, body)
        written = _outcome.decode_answer(_object_decoder, answer)
        return _base.StoredObject(name, _version(written.metadata), value)

    def delete(self, kind: _base.Kind, name: str, version: int) -> None:
        """Delete an object if its version still equals ``version``."""
        query = {"resourceVersion": version}
        url = self._client.url(kind.value, name, query)
        self._client.call("DELETE", url)

    def watch(
        self, kind: _base.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[_base.Event]:
        """Yield the changes after a version until the timeout has passed."""
        query = {
            "watch": "true",
            "resourceVersion": version,
            "timeoutSeconds": timeout_s,
        }
        response = self._client.send(
            "GET",
            self._client.url(kind.value, query=query),
            timeout_s=timeout_s + WATCH_GRACE_S,
            stream=True,
        )
        try:
            if response.status != http.HTTPStatus.OK:
                raise _outcome.status_error(
                    response.status, "GET", response.read()
                )
            yield from _events(response)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailable(
                f"watch {kind.value}: {exc}"
            ) from exc
        finally:
            response.close()
            response.release_conn()


def _events(
    response: urllib3.BaseHTTPResponse,
) -> collections.abc.Iterator[_base.Event]:
    incomplete_line = b""
    for chunk in response.stream(64 * 1024):
        *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        if len(incomplete_line) > MAX_EVENT_BYTES:
            raise errors.StoreUnavailable("an event is too long")
        for line in lines:
            event = _outcome.decode_answer(_event_decoder, line)
            version = _version(event.object.metadata)
            is_bookmark = event.type is _base.EventType.BOOKMARK
            stored = None if is_bookmark else _stored_object(event.object)
            yield _base.Event(event.type, version, stored)


def _version(metadata: _Metadata) -> int:
    return int(metadata.resource_version)


def _stored_object(item: _Object) -> _base.StoredObject:
    return _base.StoredObject(
        item.metadata.name,
        _version(item.metadata),
        item.spec.copy(),
    )
