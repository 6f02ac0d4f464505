"""The control plane that distributes versions along a tree of daemons."""

from __future__ import annotations

import random
import time
import typing

from chiveroad import clock
from chiveroad.control import _control_plane
from chiveroad.control import _failure_detector
from chiveroad.control import _feed
from chiveroad.control import _lease
from chiveroad.control import _merger
from chiveroad.control import _node
from chiveroad.control import _peer_confirmations
from chiveroad.control import _plan
from chiveroad.control import _publisher
from chiveroad.control import _source
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import settings
from chiveroad import store

MERGER: typing.Final = "merger"
FAR_OBSERVE_S: typing.Final = 3.0
FAR_TAKEOVER_DELAY_S: typing.Final = 6.0
LEASE_CHECK_S: typing.Final = 0.5
KEYS_CONFIRM_S: typing.Final = 0.5
"""How often a leader reads the accepted version while keys depend on it: a
third of the age at which its peers ask, see ``_peer_confirmations``."""

SUBSTITUTE_HOLD_MS: typing.Final = 300

_TICK_S: typing.Final = 0.5
_IDLE_S: typing.Final = 0.1
_log = logs.Logger("control")


class Agent(_control_plane.ControlPlane):
    """Runs the control plane of a folder that chiveroad merges itself.

    Every daemon is a member.  The holder of a failure domain's lease is its
    relay.  The holder of a region's lease is its leader, the only daemon of
    the region that watches the store.  One leader holds the merger lease.
    """

    def __init__(
        self,
        options: settings.Settings,
        platform: store.Store,
        node: _node.Node,
    ) -> None:
        self._options = options
        self._node = node
        own_record = _lease.Record(
            holder=f"{options.instance}:{node.member.incarnation}",
            instance=options.instance,
            address=options.listen.control,
            term=0,
        )
        self._near_store = options.region == options.platform.region
        observe_s = _lease.OBSERVE_S if self._near_store else FAR_OBSERVE_S
        takeover_delay_s = 0.0 if self._near_store else FAR_TAKEOVER_DELAY_S
        domain = f"domain-{options.failure_domain}"
        self._relay_lease = _lease.LeaseContender(platform, domain, own_record)
        self._leader_lease = _lease.LeaseContender(
            platform, f"region-{options.region}", own_record
        )
        self._merger_lease = _lease.LeaseContender(
            platform, MERGER, own_record, observe_s, takeover_delay_s
        )
        self._parent = _source.ParentSource(node)
        self._store = _source.StoreSource(platform, node)
        self._feed = _feed.Feed(platform, node, self._store, self._reads_store)
        self._merger = _merger.Merger(platform, self._merger_lease)
        self._publisher = _publisher.Publisher(
            platform, node, self._relay_lease
        )
        self._failure_detector = _failure_detector.FailureDetector(
            node, self._relay_lease
        )
        self._peer_confirmations = _peer_confirmations.PeerConfirmations(
            node, options.customers.revoke_within_s
        )
        self._failed_s: dict[str, float] = {}
        self._unresponsive_since_s: float | None = None
        self._lease_check_due_s = 0.0
        self._planned_address = ""
        self.stopped = False

    def start(self) -> None:
        """Start the background threads."""
        for contender in (
            self._relay_lease,
            self._leader_lease,
            self._merger_lease,
        ):
            contender.start()
        self._feed.start()
        self._merger.start()
        self._publisher.start()
        _threads.start("parent exchanges", self._exchange_loop)
        _threads.start("failure detection", self._detection_loop)
        if self._options.customers.fail_closed:
            _threads.start("confirming", self._confirm_keys)

    @property
    def parent(self) -> str:
        """Return the parent's address; the leader has no parent."""
        return "" if self._leader_lease.acting else self._parent.address

    @property
    def relay(self) -> str:
        """Return the name of the failure domain's relay, as far as known."""
        if self._relay_lease.acting:
            return self._options.instance
        answer = self._parent.answer
        record = self._relay_lease.record
        if record is not None and record.instance:
            return record.instance
        return answer.relay if answer else ""

    def ancestors(self) -> list[str]:
        """Return the addresses that children may fail over to."""
        if self._leader_lease.acting or not self._parent.address:
            return []
        answer = self._parent.answer
        parent_ancestors = answer.ancestors if answer else []
        return [self._parent.address, *parent_ancestors][:3]

    def roles(self) -> list[str]:
        """Return the roles that this daemon has now."""
        contenders = (
            ("relay", self._relay_lease),
            ("leader", self._leader_lease),
            ("merger", self._merger_lease),
        )
        return [name for name, contender in contenders if contender.acting]

    def confirm(self, at_s: float) -> None:
        """Try to confirm that nothing newer was accepted at a time."""
        source = self._store if self._reads_store() else self._parent
        source.confirm(at_s)

    def announce(self, state: membership.State) -> None:
        """Set the daemon's state, and send it to the parent at once."""
        self._node.set_state(state)
        if self._leader_lease.acting or not self._parent.address:
            return
        try:
            self._parent.sync(self._parent.address, 0, unconfirmed=False)
        except errors.ChiveroadError as exc:
            _log.info(
                "State {} wasn't sent to the parent: {}.", state.value, exc
            )

    def record(self, wait_s: float) -> bool:
        """Return True: members are sent to parents instead of recorded."""
        return True

    def learn_era(self, era: int) -> None:
        """Do nothing: leaders learn of an era from the store."""

    def release_leases(self) -> None:
        """Release all leases, the one with the widest scope first."""
        self._merger.stopped = True
        for contender in (
            self._merger_lease,
            self._leader_lease,
            self._relay_lease,
        ):
            contender.release()

    def _reads_store(self) -> bool:
        direct = self._options.control.distribution == "direct"
        return direct or self._leader_lease.acting

    def _detection_loop(self) -> None:
        while not self.stopped:
            self._merger_lease.wanted = self._leader_lease.acting
            self._merger_lease.watched = (
                self._near_store and self._relay_lease.acting
            )
            self._failure_detector.tick(self.relay)
            time.sleep(_TICK_S)

    def _exchange_loop(self) -> None:
        spread_s = self._options.control.start_spread_ms / 1000
        time.sleep(random.uniform(0, spread_s))
        while not self.stopped:
            if self._leader_lease.acting:
                self._relay_lease.wanted = True
                self._confirm_once()
                time.sleep(_IDLE_S)
                continue
            address = self._choose_parent()
            if address:
                self._sync(address, planned=address == self._planned_address)
            else:
                self._check_lease()

    def _confirm_keys(self) -> None:
        """Keep the version confirmed while customers' keys depend on it.

        A leader reads the store, and the others ask their peers.
        """
        backoff = _peer_confirmations.new_backoff()
        while not self.stopped:
            now_s = clock.now_s()
            if self._reads_store():
                if self._node.applied.demands_keys:
                    self._store.confirm(now_s)
                time.sleep(KEYS_CONFIRM_S)
            elif self._peer_confirmations.tick(now_s):
                backoff.reset()
                time.sleep(_peer_confirmations.IDLE_S)
            else:
                backoff.wait()

    def _confirm_once(self) -> None:
        if not self._node.applied.ready:
            self._store.confirm(clock.now_s())

    def _choose_parent(self) -> str:
        answer = self._parent.answer
        options = self._options
        peers = self._node.view.of_domain(options.failure_domain)
        situation = _plan.Situation(
            planned=self._planned_parent(peers),
            ancestors=answer.ancestors if answer else (),
            peers=[member.control for member in peers],
            relay=self._relay_lease.acting,
            failed_s=self._failed_s,
            own_address=options.listen.control,
            now_s=time.monotonic(),
        )
        self._planned_address = situation.planned
        chosen = _plan.choose_parent(situation)
        if chosen != situation.planned:
            self._check_lease()
        return chosen

    def _planned_parent(self, peers: tuple[membership.Member, ...]) -> str:
        if self._relay_lease.acting:
            record = self._leader_lease.record
            return record.address if record and record.holder else ""
        record = self._relay_lease.record
        if record is None or not record.holder:
            return ""
        names = [member.instance for member in peers]
        name = membership.parent(
            self._options.instance, record.instance, names
        )
        member = self._node.view.get(name)
        if name == record.instance or member is None:
            return record.address
        return member.control

    def _sync(self, address: str, planned: bool) -> None:
        unconfirmed = not self._node.applied.ready
        hold_ms = _source.HOLD_MS if planned else SUBSTITUTE_HOLD_MS
        hold_ms = 0 if unconfirmed else hold_ms
        try:
            answer = self._parent.sync(address, hold_ms, unconfirmed)
        except errors.ChiveroadError as exc:
            _log.info("Parent {} failed, in back-off: {}.", address, exc)
            self._failed_s[address] = time.monotonic()
            return
        if planned and self._relay_lease.acting and not answer.leads:
            # A restarted leader keeps its address and may now be a child of
            # this daemon: each would wait for the other's updates.
            _log.info(
                "Parent {} no longer leads the region, in back-off.", address
            )
            self._failed_s[address] = time.monotonic()
            return
        if self._parent.address != address:
            _log.info("The parent is now {}.", address)
        self._parent.address = address
        self._failed_s.pop(address, None)
        if unconfirmed and not self._node.applied.ready:
            time.sleep(_IDLE_S)

    def _check_lease(self) -> None:
        """Read the lease that the parent holds by its role.

        While the lease's holder is unresponsive, contend for the lease.
        """
        now_s = time.monotonic()
        if now_s < self._lease_check_due_s:
            time.sleep(_IDLE_S)
            return
        # Daemons that start together, or lose a parent together, spread
        # their reads of the store over the configured start_spread_ms.
        spread_s = self._options.control.start_spread_ms / 1000
        pause_s = max(LEASE_CHECK_S, spread_s) * random.uniform(1, 2)
        self._lease_check_due_s = now_s + pause_s
        contender = (
            self._leader_lease
            if self._relay_lease.acting
            else self._relay_lease
        )
        try:
            record = contender.refresh()
        except errors.StoreError as exc:
            _log.debug("The parent's lease can't be read: {}.", exc)
            time.sleep(_IDLE_S * random.uniform(1, 5))
            return
        contender.wanted = self._contends(record, now_s)

    def _contends(self, record: _lease.Record | None, now_s: float) -> bool:
        if record is None or not record.holder:
            return True
        if record.address not in self._failed_s:
            self._unresponsive_since_s = None
            return record.address == self._options.listen.control
        if self._unresponsive_since_s is None:
            self._unresponsive_since_s = now_s
        unresponsive_s = now_s - self._unresponsive_since_s
        options = self._options
        if self._relay_lease.acting:
            return _plan.contends(unresponsive_s, options.instance, (), "")
        living = self._node.view.of_domain(options.failure_domain)
        names = [member.instance for member in living]
        return _plan.contends(
            unresponsive_s, options.instance, names, record.instance
        )
