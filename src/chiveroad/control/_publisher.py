"""Publishes the members and the status of a failure domain, on its relay."""

from __future__ import annotations

import time
import typing

from chiveroad.control import _lease
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

BATCH_DELAY_S: typing.Final = 0.05
TICK_S: typing.Final = 0.5
STATUS_INTERVAL_S: typing.Final = 5.0
RETRY_S: typing.Final = 0.5

_log = logs.Logger("membership")


class Publisher:
    """Writes the failure domain's objects while this daemon is the relay."""

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        contender: _lease.LeaseContender,
    ) -> None:
        self._store = platform
        self._node = node
        self._contender = contender
        self._published: dict[str, membership.Member] = {}
        self._status: _messages.DomainStatus | None = None
        self._status_written_s = 0.0
        self._era = platform.eras.current
        self.stopped = False

    def start(self) -> None:
        """Start the background thread."""
        _threads.start("publisher", self._run)

    def _run(self) -> None:
        while not self.stopped:
            with self._node.changed:
                self._node.changed.wait(TICK_S)
            if not self._contender.acting:
                continue
            time.sleep(BATCH_DELAY_S)
            try:
                self._publish_again_in_new_era()
                self._publish()
                self._publish_status()
            except errors.StoreError as exc:
                _log.debug(
                    "Failure domain {} not published, retry in {} s: {}.",
                    self._node.member.failure_domain,
                    RETRY_S,
                    exc,
                )
                time.sleep(RETRY_S)

    def _publish_again_in_new_era(self) -> None:
        """Have both objects written again after the store went back."""
        era = self._store.eras.current
        if era == self._era:
            return
        self._era = era
        self._published = {}
        self._status = None

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

    def _merge_stored(self, domain: str) -> store.Revision:
        try:
            stored = self._store.get(store.Kind.DOMAINS, domain)
        except errors.StoreNotFound:
            return store.ABSENT
        self._node.merge(_messages.read_domain_members(stored))
        return stored.version

    def _publish_status(self) -> None:
        now_s = time.monotonic()
        if now_s - self._status_written_s < STATUS_INTERVAL_S:
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
        self._status_written_s = now_s
