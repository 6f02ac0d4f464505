"""Every parent's part: deciding which of its children are dead."""

from __future__ import annotations

import time
import typing

from chiveroad.control import _lease
from chiveroad.control import _member_expiry
from chiveroad.control import _node
from chiveroad import logs
from chiveroad import membership

MAX_PAUSE_S: typing.Final = membership.DEAD_AFTER_S / 2
"""After a longer pause between two looks this process was stopped: what its
children sent meanwhile hasn't been read yet."""

_log = logs.Logger("membership")


class FailureDetector:
    """Decides which of those that should report here are dead."""

    def __init__(
        self, node: _node.Node, contender: _lease.LeaseContender
    ) -> None:
        self._node = node
        self._contender = contender
        self._member_expiry = _member_expiry.MemberExpiry(
            node.view, node.member.instance
        )
        self._looked_s = time.monotonic()

    def tick(self, relay: str) -> None:
        """Judge once; ``relay`` is the domain's root as far as known."""
        now_s = time.monotonic()
        self._expect(relay)
        children = self._node.children
        if now_s - self._looked_s > MAX_PAUSE_S:
            for name in list(children):
                self._node.record_contact(name)
        self._looked_s = now_s
        detection = membership.detect_failures(
            {
                name: child.last_contact_s
                for name, child in list(children.items())
            },
            now_s,
            connected=self._contender.held,
        )
        if detection.cut_off:
            _log.warning("Most members fell silent; the view is kept.")
        for name in detection.dead:
            children.pop(name, None)
            self._declare(name)
        self._member_expiry.expire(now_s)

    def _expect(self, relay: str) -> None:
        """Track exactly those that the tree puts below this daemon."""
        mine = self._node.member
        living = self._node.view.of_domain(mine.failure_domain)
        names = [member.instance for member in living]
        expected = set(membership.children(mine.instance, relay, names))
        for name in expected - set(self._node.children):
            self._node.record_contact(name)
        for name in set(self._node.children) - expected:
            child = self._node.children[name]
            if (
                time.monotonic() - child.last_contact_s
                > membership.DEAD_AFTER_S
            ):
                del self._node.children[name]

    def _declare(self, name: str) -> None:
        member = self._node.view.get(name)
        if member is None or not member.alive:
            return
        _log.info("Member {} fell silent and is taken for dead.", name)
        self._node.merge_from_below([membership.declared_dead(member)])
