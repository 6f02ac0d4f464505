"""The relay's part: publishing its failure domain, judging its members."""

from __future__ import annotations

import time
import typing

import msgspec

from chiveroad.control import _lease
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

GATHER_S: typing.Final = 0.05
TICK_S: typing.Final = 0.5
STATUS_S: typing.Final = 5.0
RETRY_S: typing.Final = 0.5

_log = logs.Logger("membership")


class Publisher:
    """Writes one object for the failure domain while the relay lease acts."""

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        keeper: _lease.Keeper,
    ) -> None:
        self._store = platform
        self._node = node
        self._keeper = keeper
        self._published: dict[str, membership.Member] = {}
        self._status: _messages.DomainStatus | None = None
        self._status_s = 0.0
        self.stopped = False

    def start(self) -> None:
        """Begin, in the background."""
        _threads.start("publisher", self._run)

    def _run(self) -> None:
        while not self.stopped:
            with self._node.news:
                self._node.news.wait(TICK_S)
            if not self._keeper.acting:
                continue
            time.sleep(GATHER_S)
            try:
                self._publish()
                self._publish_status()
            except errors.StoreError as exc:
                _log.debug("Publishing waits: {}.", exc)
                time.sleep(RETRY_S)

    def _publish(self) -> None:
        domain = self._node.member.failure_domain
        members = {
            member.instance: member
            for member in self._node.view.all()
            if member.failure_domain == domain
        }
        if members == self._published:
            return
        version = self._merge_stored(domain)
        value = _messages.DomainMembers(
            [m for m in self._node.view.all() if m.failure_domain == domain]
        )
        self._store.put(store.Kind.DOMAINS, domain, value, version)
        self._published = {m.instance: m for m in value.members}

    def _merge_stored(self, domain: str) -> int:
        try:
            stored = self._store.get(store.Kind.DOMAINS, domain)
        except errors.StoreNotFound:
            return store.ABSENT
        known = msgspec.json.decode(stored.spec, type=_messages.DomainMembers)
        self._node.take(known.members)
        return stored.version

    def _publish_status(self) -> None:
        now_s = time.monotonic()
        if now_s - self._status_s < STATUS_S:
            return
        node = self._node
        domain = node.member.failure_domain
        status = _messages.DomainStatus(
            domain,
            node.member.instance,
            len(node.view.of_domain(domain)),
            node.behind(),
        )
        if status == self._status:
            return
        name = f"domain-{domain}"
        store.overwrite(self._store, store.Kind.STATUSES, name, status)
        self._status = status
        self._status_s = now_s


class Judge:
    """Decides which of those that should report here are dead."""

    def __init__(self, node: _node.Node, keeper: _lease.Keeper) -> None:
        self._node = node
        self._keeper = keeper
        self._gone_s: dict[str, float] = {}

    def tick(self, relay: str) -> None:
        """Judge once; ``relay`` is the domain's root as far as known."""
        now_s = time.monotonic()
        self._expect(relay)
        children = self._node.children
        judgement = membership.judge(
            {name: child.heard_s for name, child in list(children.items())},
            now_s,
            connected=self._keeper.held,
        )
        if judgement.cut_off:
            _log.warning("Most members fell silent; the view is kept.")
        for name in judgement.dead:
            children.pop(name, None)
            self._declare(name)
        self._forget(now_s)

    def _expect(self, relay: str) -> None:
        """Track exactly those that the tree puts below this daemon."""
        mine = self._node.member
        living = self._node.view.of_domain(mine.failure_domain)
        names = [member.instance for member in living]
        expected = set(membership.children(mine.instance, relay, names))
        for name in expected - set(self._node.children):
            self._node.heard(name)
        for name in set(self._node.children) - expected:
            child = self._node.children[name]
            if time.monotonic() - child.heard_s > membership.DEAD_AFTER_S:
                del self._node.children[name]

    def _declare(self, name: str) -> None:
        member = self._node.view.get(name)
        if member is None or not member.alive:
            return
        _log.info("Member {} fell silent and is taken for dead.", name)
        self._node.take_from_below([membership.declared_dead(member)])

    def _forget(self, now_s: float) -> None:
        gone = [m.instance for m in self._node.view.all() if not m.alive]
        for name in gone:
            self._gone_s.setdefault(name, now_s)
        for name in set(self._gone_s) - set(gone):
            del self._gone_s[name]
        limit_s = now_s - membership.FORGET_AFTER_S
        old = [n for n, since_s in self._gone_s.items() if since_s < limit_s]
        self._node.view.forget(old)
