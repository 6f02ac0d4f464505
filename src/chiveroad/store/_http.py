"""The object API over HTTP, as ``docs/PLATFORM.md`` describes it."""

from __future__ import annotations

import collections.abc
import http
import typing
import urllib.parse

import msgspec
import urllib3

from chiveroad import errors
from chiveroad.store import _base
from chiveroad.store import _outcome

CONNECT_TIMEOUT_S: typing.Final = 1.0
READ_TIMEOUT_S: typing.Final = 3.0
WATCH_GRACE_S: typing.Final = 5.0

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


_T = typing.TypeVar("_T")

_object_decoder = msgspec.json.Decoder(_Object)
_list_decoder = msgspec.json.Decoder(_List)
_event_decoder = msgspec.json.Decoder(_Event)
_encoder = msgspec.json.Encoder()


class HttpStore(_base.Store):
    """A client of the object API at one address.

    :param address: ``HOST:PORT``.
    :param timeout_s: how long one call other than a watch may take.
    """

    def __init__(
        self, address: str, timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self._base_url = f"http://{address}{_PATH}"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def get(self, kind: _base.Kind, name: str) -> _base.StoredObject:
        """Return an object."""
        body = self._call("GET", self._url(kind, name))
        return _stored(_outcome.decode_answer(_object_decoder, body))

    def list(self, kind: _base.Kind, prefix: str = "") -> _base.Listing:
        """Return the objects whose names begin with the prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        body = self._call("GET", f"{self._url(kind)}?{query}")
        listed = _outcome.decode_answer(_list_decoder, body)
        return _base.Listing(
            _version(listed.metadata),
            tuple(_stored(item) for item in listed.items),
        )

    def put(
        self, kind: _base.Kind, name: str, spec: object, version: int
    ) -> _base.StoredObject:
        """Write an object if its version is still the one given."""
        value = _encoder.encode(spec)
        if len(value) > _base.MAX_VALUE_BYTES:
            raise errors.StoreTooLarge(f"{kind.value}/{name}: {len(value)} B")
        metadata = {"name": name, "resourceVersion": str(version)}
        body = _encoder.encode(
            {"metadata": metadata, "spec": msgspec.Raw(value)}
        )
        answer = self._call("PUT", self._url(kind, name), body)
        written = _outcome.decode_answer(_object_decoder, answer)
        return _base.StoredObject(
            name, _version(written.metadata), msgspec.Raw(value)
        )

    def delete(self, kind: _base.Kind, name: str, version: int) -> None:
        """Delete an object if its version is still the one given."""
        query = urllib.parse.urlencode({"resourceVersion": version})
        self._call("DELETE", f"{self._url(kind, name)}?{query}")

    def watch(
        self, kind: _base.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[_base.Event]:
        """Yield the changes after a version until the time is over."""
        query = urllib.parse.urlencode(
            {
                "watch": "true",
                "resourceVersion": version,
                "timeoutSeconds": timeout_s,
            }
        )
        response = self._send(
            "GET",
            f"{self._url(kind)}?{query}",
            None,
            read_timeout_s=timeout_s + WATCH_GRACE_S,
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

    def _url(self, kind: _base.Kind, name: str = "") -> str:
        url = f"{self._base_url}/{kind.value}"
        return f"{url}/{urllib.parse.quote(name, safe='')}" if name else url

    def _call(self, method: str, url: str, body: bytes | None = None) -> bytes:
        response = self._send(method, url, body, self._timeout_s, stream=False)
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            raise _outcome.status_error(response.status, method, response.data)
        return response.data

    def _send(
        self,
        method: str,
        url: str,
        body: bytes | None,
        read_timeout_s: float,
        stream: bool,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                url,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=read_timeout_s
                ),
                preload_content=not stream,
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as exc:
            raise errors.StoreUnavailable(f"{method}: {exc}") from exc
        except urllib3.exceptions.ConnectTimeoutError as exc:
            raise errors.StoreUnavailable(f"{method}: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _outcome.lost_answer(method, str(exc)) from exc


def _events(
    response: urllib3.BaseHTTPResponse,
) -> collections.abc.Iterator[_base.Event]:
    pending = b""
    for chunk in response.stream(64 * 1024):
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            event = _outcome.decode_answer(_event_decoder, line)
            version = _version(event.object.metadata)
            bookmark = event.type is _base.EventType.BOOKMARK
            stored = None if bookmark else _stored(event.object)
            yield _base.Event(event.type, version, stored)


def _version(metadata: _Metadata) -> int:
    return int(metadata.resource_version)


def _stored(item: _Object) -> _base.StoredObject:
    return _base.StoredObject(
        item.metadata.name,
        _version(item.metadata),
        item.spec.copy(),
    )
