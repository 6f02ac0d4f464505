"""HTTP client for object stores; requests and answers are JSON."""

from __future__ import annotations

import collections.abc
import dataclasses
import http
import urllib.parse

import msgspec
import urllib3

from chiveroad import errors
from chiveroad import http_calls
from chiveroad.store import _base
from chiveroad.store import _era
from chiveroad.store import _outcome

_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The body of an answer, and the era that it belongs to."""

    era: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer whose body may be unread, and the era that it belongs to."""

    era: int
    http: urllib3.BaseHTTPResponse


class Client:
    """An HTTP client for the objects below one URL.

    :param base_url: the URL to which the kind's path is appended.
    :param connect_timeout_s: how long opening a connection may take.
    :param timeout_s: how long a call waits for the answer to begin.
    :param era_header: the header in which each answer states its era.
    """

    def __init__(
        self,
        base_url: str,
        connect_timeout_s: float,
        timeout_s: float,
        era_header: str,
    ) -> None:
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._era_header = era_header
        self._http_client = http_calls.Client(4, connect_timeout_s)
        self.eras = _era.EraTracker()

    def url(
        self,
        kind: str,
        name: str = "",
        query: collections.abc.Mapping[str, object] | None = None,
    ) -> str:
        """Return the URL of a kind, or of one of its objects."""
        url = f"{self._base_url}/{kind}"
        if name:
            url += f"/{urllib.parse.quote(name, safe='')}"
        return f"{url}?{urllib.parse.urlencode(query)}" if query else url

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> Reply:
        """Make a call, and return the body of its answer.

        :raises errors.StoreError: when the call had no effect or its answer
            was lost; the subclass tells these cases apart.
        """
        response = self.send(method, url, body, timeout_s)
        answer = response.http
        if answer.status >= http.HTTPStatus.BAD_REQUEST:
            raise _outcome.status_error(answer.status, method, answer.data)
        return Reply(response.era, answer.data)

    def write(
        self,
        method: str,
        url: str,
        version: _era.Revision,
        body: bytes | None = None,
    ) -> Reply:
        """Make a write on the condition that an object has a version.

        :raises errors.StoreConflict: also when the version is from an earlier
            era, in which case no call is made.
        """
        if version == _base.ABSENT:
            return self.call(method, url, body)
        if version.era < self.eras.current:
            raise errors.StoreConflict(f"version {version} was superseded")
        reply = self.call(method, url, body)
        if reply.era != version.era:
            # The number has been given out again, to a write that the
            # caller doesn't know.
            raise errors.StoreOutcomeUnknown(
                f"{method}: written in era {reply.era} on version {version}"
            )
        return reply

    def watch(
        self, url: str, version: _era.Revision, timeout_s: float
    ) -> Reply:
        """Make a call for the changes after a version.

        :raises errors.StoreExpired: also when the version is from an earlier
            era.
        """
        self.check_era(version, self.eras.current)
        reply = self.call("GET", url, timeout_s=timeout_s)
        self.check_era(version, reply.era)
        return reply

    def check_era(self, version: _era.Revision, era: int) -> None:
        """Check that changes after a version can be known in an era.

        :raises errors.StoreExpired: when the version is from another era.
        """
        if version.era != era:
            raise errors.StoreExpired(
                f"version {version} precedes era {era} of the store"
            )

    def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
        stream: bool = False,
    ) -> Response:
        """Make a call, and return its answer whatever its status is.

        :param stream: whether the caller reads the body from the answer.
        :raises errors.StoreError: when there is no whole answer, or when it
            belongs to an era that has ended since.
        """
        if timeout_s is None:
            timeout_s = self._timeout_s
        known_era = self.eras.current
        try:
            answer = self._http_client.request(
                method, url, body, timeout_s, stream
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise errors.StoreUnavailable(f"{method}: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _outcome.answer_lost_error(method, str(exc)) from exc
        era = self.eras.era_of_answer(
            answer.headers.get(self._era_header), known_era
        )
        if era < self.eras.current:
            answer.close()
            raise _outcome.answer_lost_error(
                method, f"the answer belongs to era {era}, which has ended"
            )
        return Response(era, answer)


def encode_spec(kind: _base.Kind, name: str, spec: object) -> msgspec.Raw:
    """Return the JSON text of a value.

    :raises errors.StoreTooLarge: when the text is over the store's limit.
    """
    value = _encoder.encode(spec)
    if len(value) > _base.MAX_VALUE_BYTES:
        raise errors.StoreTooLarge(f"{kind.value}/{name}: {len(value)} B")
    return msgspec.Raw(value)


def encode_object(metadata: dict[str, object], spec: msgspec.Raw) -> bytes:
    """Return the request body of a write."""
    return _encoder.encode({"metadata": metadata, "spec": spec})
