"""Calls to another daemon's control address."""

from __future__ import annotations

import http
import typing

import msgspec
import urllib3

from chiveroad import config
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad import errors

_HEADERS: typing.Final = {"Content-Type": "application/json"}


class Peers:
    """Kept connections to other daemons.

    :param connections: how many are kept to each of them.
    :param connect_timeout_s: how long opening a connection may take.
    """

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._http = urllib3.PoolManager(maxsize=connections, retries=False)

    def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Post a message, and return the answer's body.

        :raises errors.PeerUnavailable: when there is no good answer.
        """
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=timeout_s
        )
        try:
            response = self._http.request(
                "POST",
                f"http://{address}{path}",
                body=body,
                headers=_HEADERS,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.PeerUnavailable(f"{address}: {exc}") from exc
        if response.status != http.HTTPStatus.OK:
            raise errors.PeerUnavailable(f"{address}: {response.status}")
        return response.data


def snapshot_offer(node: _node.Node) -> bytes:
    """Return the message that hands the version in force to a peer."""
    held = node.applied.current
    packed = config.pack(held.config.items)
    offer = _messages.SnapshotOffer(held.number, held.digest, packed)
    return msgspec.json.encode(offer)
