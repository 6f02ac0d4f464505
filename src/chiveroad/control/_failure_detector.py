"""The failure detector that every parent runs for its children."""

from __future__ import annotations

import time
import typing

from chiveroad.control import _lease
from chiveroad.control import _member_expiry
from chiveroad.control import _node
from chiveroad import logs
from chiveroad import membership

MAX_PAUSE_S: typing.Final = membership.DEAD_AFTER_S / 2
"""After a longer pause between two ticks this process was stopped: it hasn't
read yet what its children sent meanwhile."""

_log = logs.Logger("membership")


class FailureDetector:
    """Declares dead the children that have become unresponsive."""

    def __init__(
        self, node: _node.Node, contender: _lease.LeaseContender
    ) -> None:
        self._node = node
        self._contender = contender
        self._member_expiry = _member_expiry.MemberExpiry(
            node.view, node.member.instance
        )
        self._last_tick_s = time.monotonic()

    def tick(self, relay: str) -> None:
        """Check all children; ``relay`` is the domain's root, if known."""
        now_s = time.monotonic()
        self._update_children(relay)
        children = self._node.children
        if now_s - self._last_tick_s > MAX_PAUSE_S:
            for name in list(children):
                self._node.record_contact(name)
        self._last_tick_s = now_s
        detection = membership.detect_failures(
            {
                name: child.last_contact_s
                for name, child in list(children.items())
            },
            now_s,
            connected=self._contender.held,
        )
        if detection.isolated:
            _log.warning(
                "Most of the {} children have become unresponsive; "
                "none is declared dead and the view is kept.",
                len(children),
            )
        for name in detection.dead:
            children.pop(name, None)
            self._declare_dead(name)
        self._member_expiry.expire(now_s)

    def _update_children(self, relay: str) -> None:
        """Track the children that the tree gives to this daemon.

        A former child is tracked until its last contact is
        ``DEAD_AFTER_S`` ago.
        """
        own = self._node.member
        living = self._node.view.of_domain(own.failure_domain)
        names = [member.instance for member in living]
        expected = set(membership.children(own.instance, relay, names))
        for name in expected - set(self._node.children):
            self._node.record_contact(name)
        for name in set(self._node.children) - expected:
            child = self._node.children[name]
            if (
                time.monotonic() - child.last_contact_s
                > membership.DEAD_AFTER_S
            ):
                del self._node.children[name]

    def _declare_dead(self, name: str) -> None:
        member = self._node.view.get(name)
        if member is None or not member.alive:
            return
        _log.info("Member {} is unresponsive and is declared dead.", name)
        self._node.merge_from_below([membership.declared_dead(member)])
