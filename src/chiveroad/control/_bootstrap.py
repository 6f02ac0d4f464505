"""Bootstrap of daemons that start during an outage of the store.

The settings name no other daemon, so a daemon that can't read the store knows
no parent.  Its neighbours in the tree detect that it is unresponsive and
contact it: they offer themselves as parents, and send their version.
"""

from __future__ import annotations

import collections.abc
import time
import typing

import msgspec

from chiveroad.control import _follow_tree
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _peer
from chiveroad.control import _source
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership

UNRESPONSIVE_S: typing.Final = 1.5
"""A daemon that hasn't sent a request to its parent for this long is
unresponsive; a child sends at least two in this time."""

MAX_ORPHANS: typing.Final = 32
"""How many children of unresponsive daemons are contacted as well: those of
two branches, as each one costs up to ``CONNECT_TIMEOUT_S``, one after the
other."""

RETRY_S: typing.Final = 0.5
MAX_RETRY_S: typing.Final = 4.0
CONNECT_TIMEOUT_S: typing.Final = 0.2
READ_TIMEOUT_S: typing.Final = 0.5

_log = logs.Logger("control")
_decoder = msgspec.json.Decoder(_messages.HelloAnswer)


class Bootstrapper:
    """Contacts unresponsive daemons."""

    def __init__(self, node: _node.Node) -> None:
        self._node = node
        self._peers = _peer.Peers(1, CONNECT_TIMEOUT_S)
        self._due_s: dict[str, float] = {}
        self._pause_s: dict[str, float] = {}

    def tick(
        self,
        tree: _follow_tree.FollowTree,
        failed: collections.abc.Container[str],
    ) -> None:
        """Contact each unresponsive daemon whose retry is due.

        :param failed: the names of the parents that failed recently.
        """
        now_s = time.monotonic()
        unresponsive = {
            member.instance: member
            for member in (
                *self._unresponsive_ancestors(tree, failed),
                *self._unresponsive_descendants(tree, now_s),
            )
        }
        for member in unresponsive.values():
            if now_s >= self._due_s.get(member.instance, 0.0):
                self._bootstrap(member)
        for name in set(self._pause_s) - set(unresponsive):
            del self._pause_s[name]
            self._due_s.pop(name, None)

    def _unresponsive_ancestors(
        self,
        tree: _follow_tree.FollowTree,
        failed: collections.abc.Container[str],
    ) -> list[membership.Member]:
        ancestors = tree.ancestors(self._node.member)
        return [member for member in ancestors if member.instance in failed]

    def _unresponsive_descendants(
        self, tree: _follow_tree.FollowTree, now_s: float
    ) -> list[membership.Member]:
        """Return unresponsive children, and their unresponsive children."""
        unresponsive: list[membership.Member] = []
        queue = list(tree.children(self._node.member))
        child_count = len(queue)
        while queue and len(unresponsive) < child_count + MAX_ORPHANS:
            member = queue.pop(0)
            if self._is_unresponsive(member, now_s):
                unresponsive.append(member)
                queue += tree.children(member)
        return unresponsive

    def _is_unresponsive(
        self, member: membership.Member, now_s: float
    ) -> bool:
        child = self._node.children.get(member.instance)
        return child is None or now_s - child.last_contact_s > UNRESPONSIVE_S

    def _bootstrap(self, member: membership.Member) -> None:
        pause_s = self._pause_s.get(member.instance, RETRY_S)
        self._pause_s[member.instance] = min(MAX_RETRY_S, 2 * pause_s)
        try:
            self._send_hello(member)
        except errors.ChiveroadError as exc:
            _log.debug(
                "Bootstrap of {} failed, retrying: {}.", member.instance, exc
            )
        self._due_s[member.instance] = time.monotonic() + pause_s

    def _send_hello(self, member: membership.Member) -> None:
        current = self._node.applied.current
        hello = msgspec.json.encode(
            _messages.Hello(self._node.member, current.number)
        )
        answer = self._post(member, _source.HELLO_PATH, hello)
        try:
            peer_version = decoding.decode(_decoder, answer).version
        except msgspec.DecodeError as exc:
            raise errors.BadMessage(f"{member.instance}: {exc}") from exc
        if peer_version >= current.number:
            return
        offer = _peer.snapshot_offer(self._node)
        self._post(member, _source.SNAPSHOT_PATH, offer)
        _log.info(
            "Bootstrapped {} with version {}.", member.instance, current.number
        )

    def _post(
        self, member: membership.Member, path: str, body: bytes
    ) -> bytes:
        return self._peers.post(member.control, path, body, READ_TIMEOUT_S)
