"""Fetches pages that daemons serve on their control addresses."""

from __future__ import annotations

import typing

import msgspec
import urllib3

from chiveroad import errors
from chiveroad import http_calls

TIMEOUT_S: typing.Final = 2.0
"""How long the daemon may take to accept a connection, and to answer."""

_T = typing.TypeVar("_T")


def fetch(
    address: str,
    page: str,
    answer_type: type[_T],
    method: str = "GET",
    message: object = None,
) -> _T:
    """Return the decoded answer of a daemon's page.

    :param page: the path, with the query if there is one.
    :param message: what is sent as JSON, unless it is None.
    :raises errors.PeerUnavailable: when the daemon gives no valid answer.
    """
    body = None if method == "GET" else b""
    if message is not None:
        body = msgspec.json.encode(message)
    try:
        client = http_calls.Client(1, TIMEOUT_S)
        response = client.request(
            method, f"http://{address}{page}", body, TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc
    try:
        return msgspec.json.decode(response.data, type=answer_type)
    except msgspec.DecodeError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc
