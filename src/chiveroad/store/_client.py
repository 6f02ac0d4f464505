"""HTTP client for object stores; requests and answers are JSON."""

from __future__ import annotations

import collections.abc
import http
import urllib.parse

import msgspec
import urllib3

from chiveroad import errors
from chiveroad import http_calls
from chiveroad.store import _base
from chiveroad.store import _outcome

_encoder = msgspec.json.Encoder()


class Client:
    """An HTTP client for the objects below one URL.

    :param base_url: the URL to which the kind's path is appended.
    :param connect_timeout_s: how long opening a connection may take.
    :param timeout_s: how long a call waits for the answer to begin.
    """

    def __init__(
        self, base_url: str, connect_timeout_s: float, timeout_s: float
    ) -> None:
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._http_client = http_calls.Client(4, connect_timeout_s)

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
    ) -> bytes:
        """Make a call, and return the body of its answer.

        :raises errors.StoreError: when the call had no effect or its answer
            was lost; the subclass tells these cases apart.
        """
        response = self.send(method, url, body, timeout_s)
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            raise _outcome.status_error(response.status, method, response.data)
        return response.data

    def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call, and return its answer whatever its status is.

        :param stream: whether the caller reads the body from the answer.
        :raises errors.StoreError: when there is no whole answer.
        """
        if timeout_s is None:
            timeout_s = self._timeout_s
        try:
            return self._http_client.request(
                method, url, body, timeout_s, stream
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise errors.StoreUnavailable(f"{method}: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _outcome.answer_lost_error(method, str(exc)) from exc


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
