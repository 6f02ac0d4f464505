"""HTTP calls to the control addresses of other daemons."""

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
    """A pool of connections to other daemons.

    :param connections: the number of idle connections kept per daemon.
    :param connect_timeout_s: how long opening a connection may take.
    """

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._calls = http_calls.Client(connections, connect_timeout_s)

    def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Post a message, and return the answer's body.

        :raises errors.PeerUnavailable: when the call fails or the answer's
            status isn't 200.
        """
        url = f"http://{address}{path}"
        try:
            response = self._calls.request("POST", url, body, timeout_s)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.PeerUnavailable(f"{address}: {exc}") from exc
        if response.status != http.HTTPStatus.OK:
            raise errors.PeerUnavailable(
                f"{address}: expected status 200, got {response.status}"
            )
        return response.data


def snapshot_offer(node: _node.Node) -> bytes:
    """Return the message that sends the version in force to a peer."""
    current = node.applied.current
    packed = config.pack(current.config.items)
    revision = current.revision
    offer = _messages.SnapshotOffer(
        current.number,
        current.digest,
        packed,
        revision.number,
        revision.era,
        node.applied.unstated_keys_needed,
    )
    return msgspec.json.encode(offer)
