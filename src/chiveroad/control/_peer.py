"""Calls to another daemon's control address."""

from __future__ import annotations

import http

import msgspec
import urllib3

from chiveroad import config
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad import errors
from chiveroad import http_calls


class Peers:
    """Kept connections to other daemons.

    :param connections: how many are kept to each of them.
    :param connect_timeout_s: how long opening a connection may take.
    """

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._calls = http_calls.Client(connections, connect_timeout_s)

    def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Post a message, and return the answer's body.

        :raises errors.PeerUnavailable: when there is no good answer.
        """
        url = f"http://{address}{path}"
        try:
            response = self._calls.request("POST", url, body, timeout_s)
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
