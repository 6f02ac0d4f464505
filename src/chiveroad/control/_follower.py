"""The control plane where configurations are accepted outside of chiveroad.

The store holds the accepted version and a record of each daemon.  Which
daemons watch the store is described in ``_freshness``.
"""

from __future__ import annotations

import random
import threading
import time
import typing

import msgspec

from chiveroad import clock
from chiveroad import config
from chiveroad import connection
from chiveroad.control import _applied
from chiveroad.control import _backoff
from chiveroad.control import _bootstrap
from chiveroad.control import _control_plane
from chiveroad.control import _freshness
from chiveroad.control import _key_record
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _parent_exchanges
from chiveroad.control import _parent_selector
from chiveroad.control import _peer_confirmations
from chiveroad.control import _record
from chiveroad.control import _recorded_members
from chiveroad.control import _source
from chiveroad.control import _sweeper
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import presence
from chiveroad import settings
from chiveroad import store
from chiveroad import wire

ACCEPTED: typing.Final = "main"
"""The name of the object that holds the accepted version."""

WATCH_VERSIONS_S: typing.Final = 0.6
"""Wait of a watch of the accepted version: an answer, though empty, shows that
the store can be reached, well within ``_freshness.FreshnessBounds``."""

CONFIRM_CHANGE_S: typing.Final = 0.2
"""Wait of the watch that follows a change.  It is shorter, as the answer with
the change confirms the version only as of its request, which is old by then.
"""

CONFIRM_SUSPECT_S: typing.Final = 0.05
"""Wait of the watch while the version is suspect: the daemon's descendants
wait for its confirmation, and would read the store themselves."""

STALE_ANSWER: typing.Final = "the answer is older than the version in force"
WAIT_ROUNDING_S: typing.Final = 0.005
"""How much shorter than asked for a wait of the store may seem here: both
sides round to milliseconds."""

HOLD_MS: typing.Final = 700
"""Longest wait of a long poll.  It is longer than the interval between
confirmations.  Together with ``HEDGE_DELAY_S`` it lets a daemon detect an
unresponsive parent before the store must be read, see
``_freshness.FreshnessBounds``."""

HEDGE_DELAY_S: typing.Final = 0.4
"""How long an answer may take, beyond the wait of its long poll, before
another parent gets a hedged request."""

CONNECT_TIMEOUT_S: typing.Final = 1.5
ANSWER_GRACE_S: typing.Final = 2.0
"""How long an exchange with a parent stays open beyond the wait of its long
poll: over a full link a new connection and an answer take a second each."""

RETRY_S: typing.Final = 0.15
MAX_RETRY_VERSIONS_S: typing.Final = 0.6
"""Low, as a version may have to be in force two seconds after its acceptance.
"""

MAX_RETRY_MEMBERS_S: typing.Final = 1.0
RESTORE_SPREAD_S: typing.Final = 0.6
"""Time over which daemons spread the writes of their records when the store
has come back from an older copy."""

BOOTSTRAP_INTERVAL_S: typing.Final = 0.3
TICK_S: typing.Final = 0.1
MEMBER_LIST_WAIT_S: typing.Final = 0.2
"""How long a daemon that starts waits for the list of members: several times
the duration of a store call across regions."""

PARENT_ANSWER_WAIT_S: typing.Final = 0.4
"""How long a daemon that starts waits for a parent's answer, as in
``HEDGE_DELAY_S``."""

MAX_SLEEP_S: typing.Final = 0.5
"""Longest sleep of an idle thread, and so the delay until it sees a stop."""

PROBE_TIMEOUT_S: typing.Final = 0.5
EXIT_PROBE_TIMEOUT_S: typing.Final = 0.1
"""On the same machine a connection is accepted or refused at once.  The probe
and the call that removes the record fit into the daemon's last call."""

_log = logs.Logger("control")


class Follower(_control_plane.ControlPlane):
    """Follows the accepted version and the members' records.

    :param target: the state of the daemon's local target.
    :param accepts_connections: tells whether an address accepts connections.
    """

    def __init__(
        self,
        options: settings.Settings,
        platform: store.Store,
        node: _node.Node,
        protocol: wire.Protocol,
        target: presence.LocalTarget,
        accepts_connections: connection.AcceptsConnections = (
            connection.accepts_connections
        ),
    ) -> None:
        self._store = platform
        self._node = node
        self._initial_member = node.member
        self._protocol = protocol
        self._target = target
        self._accepts_connections = accepts_connections
        self._store_address = options.platform.address
        self._target_address = options.target.address
        self._distance_ms = 0
        self._parent_address = ""
        self._parent_exchanges = _parent_exchanges.ParentExchanges(
            self._sync_with_parent, self._new_source, HEDGE_DELAY_S
        )
        self._freshness_lock = threading.Lock()
        self._parent_selector = _parent_selector.ParentSelector(
            self._own_member, node.view
        )
        self._last_answer_s = 0.0
        self._bootstrapper = _bootstrap.Bootstrapper(node)
        self._sweeper = _sweeper.Sweeper(platform, node)
        self._fail_closed = options.customers.fail_closed
        self._peer_confirmations = _peer_confirmations.PeerConfirmations(
            node, options.customers.revoke_within_s
        )
        self._key_record = _key_record.KeyRecord(
            platform, node, lambda: self._watching
        )
        self._bounds = _freshness.FreshnessBounds(
            options.control.apply_within_s
        )
        self._watching = True
        self._state = membership.State.READY
        self._last_watch_changed = False
        self._watching_changed = threading.Condition()
        self._members_listed = threading.Event()
        self._recorder = _record.Recorder(
            platform, options.instance, self._compose, self._restore
        )
        self._members = _recorded_members.RecordedMembers(
            platform, node, self._restore
        )
        platform.eras.subscribe(self._begin_era)

    @property
    def parent(self) -> str:
        """Return the address of the parent, or an empty string."""
        return "" if self._watching else self._parent_address

    @property
    def relay(self) -> str:
        """Return an empty string: failure domains have no relay here."""
        return ""

    def start(self) -> None:
        """Start the background threads."""
        self._distance_ms = _distance_ms(self._store_address)
        _threads.start("following members", self._follow_members)
        _threads.start("following versions", self._follow_versions)
        _threads.start("following a parent", self._follow_parent)
        _threads.start("bootstrapping others", self._bootstrap_others)
        _threads.start("sweeping", self._sweep)
        if self._node.applied.keys_recorded:
            _threads.start("recording keys", self._record_keys)
        if self._fail_closed:
            for _ in range(_peer_confirmations.THREADS):
                _threads.start("confirming", self._confirm_with_peers)
        self._recorder.start()

    def ancestors(self) -> list[str]:
        """Return an empty list: each daemon computes its own ancestors."""
        return []

    def roles(self) -> list[str]:
        """Return ``watcher`` while this daemon watches the store itself."""
        return ["watcher"] if self._watching else []

    def confirm(self, at_s: float) -> None:
        """Do nothing: each daemon obtains its own confirmations."""

    def announce(self, state: membership.State) -> None:
        """Put the daemon into a state, and have the state recorded.

        A daemon that stops while its local target is running is about to
        restart, and its record stays.  If the target is gone, the record is
        removed as well, but not while the target still accepts connections: a
        target that has announced its end goes on serving for seconds, and the
        record is valid until then.
        """
        if state is not membership.State.GONE:
            self._state = state
            self._recorder.record(0.0)
            return
        self._recorder.stopped = True
        if self._target.status.phase is not presence.Phase.GONE:
            return
        if not self._accepts_connections(
            self._target_address, EXIT_PROBE_TIMEOUT_S
        ):
            self._recorder.remove()

    def record(self, wait_s: float) -> bool:
        """Have the state of the local target recorded."""
        return self._recorder.record(wait_s)

    def learn_era(self, era: int) -> None:
        """Learn of an era of the store from another daemon."""
        self._store.eras.learn(era)

    def release_leases(self) -> None:
        """Do nothing: parents are computed, no lease is involved."""

    def _begin_era(self, former: int, era: int) -> None:
        """Have this daemon's record written again in a new era of the store.

        A leave is written at once, as it has been acknowledged.
        """
        if not former:
            return
        status = self._target.status
        delay_s = 0.0 if status.leaves else random.uniform(0, RESTORE_SPREAD_S)
        _log.warning(
            "The store went back to an older copy, era {} follows {}; members "
            "were known up to revision {}, version {} up to revision {}.  "
            "The record, with target {} {}, is written again in {:.2f} s.",
            era,
            former,
            self._node.as_of,
            self._node.applied.current.number,
            self._node.applied.current.revision,
            status.target_id,
            status.phase.value,
            delay_s,
        )
        timer = threading.Timer(delay_s, self._recorder.record, (0.0,))
        timer.daemon = True
        timer.start()

    def _compose(self) -> _messages.MemberRecord | None:
        """Return the record to write, or None while no target is known."""
        status = self._target.status
        if status.phase is presence.Phase.UNKNOWN:
            return None
        state = _STATE_BY_PHASE[status.phase]
        if self._state is not membership.State.READY and state.name == "READY":
            state = self._state
        # The node's own member may come from the record of an earlier
        # incarnation at other addresses.
        member = msgspec.structs.replace(
            self._initial_member,
            service=status.service,
            sequence=0,
            state=state,
            target_id=status.target_id,
            target_started_at_ms=status.started_at_ms,
            slots=status.slots,
            software_version=status.software_version,
            store_distance_ms=self._distance_ms,
            era=self._store.eras.current,
            suspects=self._node.suspects,
        )
        return _messages.MemberRecord(
            member,
            status.phase,
            status.ended_by_ms,
            _record.encode_superseded(
                self._target.superseded_with_later_start()
            ),
        )

    # Choosing and following a parent.

    def _choose_parent(self) -> membership.Member | None:
        pending = self._parent_exchanges.pending()
        return self._parent_selector.choose(not self._is_suspect(), pending)

    def _is_suspect(self) -> bool:
        confirmed_s = self._node.applied.confirmed_s
        return self._bounds.is_suspect(confirmed_s, clock.now_s())

    def _own_member(self) -> membership.Member:
        return msgspec.structs.replace(
            self._node.member, store_distance_ms=self._distance_ms
        )

    def _follow_parent(self) -> None:
        while not self.stopped:
            self._parent_exchanges.wait()
            chosen = self._choose_parent()
            if chosen is None or not self._begin_exchange(chosen):
                if (
                    self._parent_selector.region_position()
                    < _freshness.MAX_FALLBACK_PARENTS
                ):
                    self._start_watching("no parent is available")
                time.sleep(TICK_S)
        self._parent_exchanges.stop()

    def _begin_exchange(self, chosen: membership.Member) -> bool:
        """Send a parent a request, without long poll where it failed before.

        :returns: False where too many exchanges are open.
        """
        failure = self._parent_selector.failures.get(chosen.instance)
        failed = failure is not None and not failure.behind
        return self._parent_exchanges.begin(
            chosen, 0 if failed else self._hold_ms()
        )

    def _new_source(self) -> _source.ParentSource:
        return _source.ParentSource(
            self._node, CONNECT_TIMEOUT_S, ANSWER_GRACE_S, confirmations=True
        )

    def _sync_with_parent(
        self,
        source: _source.ParentSource,
        chosen: membership.Member,
        hold_ms: int,
    ) -> None:
        source.address = chosen.control
        domain = self._node.member.failure_domain
        try:
            answer = source.sync(
                chosen.control,
                hold_ms,
                unconfirmed=False,
                region=chosen.failure_domain != domain,
            )
        except errors.ChiveroadError as exc:
            self._parent_selector.back_off(chosen, f"request failed: {exc}")
            return
        self.learn_era(answer.as_of_era)
        with self._freshness_lock:
            self._last_answer_s = clock.now_s()
            self._evaluate_answer(chosen, answer)

    def _hold_ms(self) -> int:
        """Return the wait of the next long poll, in ms.

        A parent without changes answers in time for the failover to the next
        parent, and that one in time for the read of the store.
        """
        left_s = self._bounds.hold_s(
            self._node.applied.confirmed_s, clock.now_s()
        )
        return min(HOLD_MS, int(1000 * left_s))

    def _bootstrap_others(self) -> None:
        while not self.stopped:
            time.sleep(BOOTSTRAP_INTERVAL_S)
            self._rewrite_removed_record()
            if self._node.applied.ready:
                parents = self._parent_selector
                self._bootstrapper.tick(parents.tree(), parents.failures)

    def _rewrite_removed_record(self) -> None:
        """Rewrite this daemon's record after another daemon removed it."""
        own = self._node.member
        if own.state is membership.State.GONE:
            self._recorder.rewrite_deleted(own.recorded_at)

    def _sweep(self) -> None:
        while not self.stopped:
            time.sleep(_sweeper.SWEEP_INTERVAL_S)
            self._sweeper.tick()

    def _record_keys(self) -> None:
        backoff = _backoff.Backoff(RETRY_S, MAX_RETRY_VERSIONS_S)
        while not self.stopped:
            try:
                self._key_record.tick()
            except errors.ChiveroadError as exc:
                _log.info("The record of keys is unavailable: {}.", exc)
                backoff.wait()
                continue
            backoff.reset()
            self._key_record.wait(MAX_SLEEP_S)

    def _confirm_with_peers(self) -> None:
        backoff = _peer_confirmations.new_backoff()
        while not self.stopped:
            if self._peer_confirmations.tick(clock.now_s()):
                backoff.reset()
                time.sleep(_peer_confirmations.IDLE_S)
            else:
                backoff.wait()

    def _evaluate_answer(
        self, parent: membership.Member, answer: _messages.SyncAnswer
    ) -> None:
        """Start or stop watching the store according to a parent's answer.

        A parent whose answer leaves the version suspect goes into back-off.
        """
        if not self._store_due_in_s():
            self._start_watching("the version was not confirmed in time")
        if self._is_suspect():
            self._parent_selector.back_off(parent, "it is behind", behind=True)
            return
        self._parent_selector.record_success(parent)
        self._parent_address = parent.control
        if self._watching and self._bounds.is_current(answer):
            _log.info(
                "Parent {} at {} is current; no longer watching the store.",
                parent.instance,
                parent.control,
            )
            with self._watching_changed:
                self._watching = False
                self._watching_changed.notify_all()

    def _start_watching(self, reason: str) -> None:
        if not self._watching:
            _log.info(
                "Watching the store: {}.",
                reason,
                extra={
                    "unconfirmed_ms": self._node.applied.unconfirmed_ms(),
                    "place": self._parent_selector.region_position(),
                },
            )
        with self._watching_changed:
            self._watching = True
            self._watching_changed.notify_all()

    def _store_due_in_s(self) -> float:
        """Return the time until this daemon's stagger slot at the store."""
        now_s = clock.now_s()
        bounds = self._bounds
        answered = bounds.answered_recently(self._last_answer_s, now_s)
        stagger_s = bounds.stagger_s(
            self._parent_selector.region_position(), answered
        )
        return bounds.store_due_in_s(
            self._node.applied.confirmed_s, now_s, stagger_s
        )

    def _wait_until_watching(self) -> None:
        """Wait until this daemon is to watch the store."""
        while not self._watching and not self.stopped:
            left_s = self._store_due_in_s()
            if not left_s:
                self._start_watching("the version was not confirmed in time")
                return
            with self._watching_changed:
                if not self._watching:
                    self._watching_changed.wait(min(left_s, MAX_SLEEP_S))

    def _wait_until_following(self) -> None:
        """Give a parent time to answer before the store is watched."""
        with self._watching_changed:
            self._watching_changed.wait_for(
                lambda: not self._watching, PARENT_ANSWER_WAIT_S
            )

    # The accepted version.

    def _follow_versions(self) -> None:
        revision = store.ABSENT
        expiries = 0
        must_read = False
        backoff = _backoff.Backoff(RETRY_S, MAX_RETRY_VERSIONS_S)
        self._wait_for_parent()
        while not self.stopped:
            self._wait_until_watching()
            revision = max(revision, self._node.applied.current.revision)
            must_read |= revision == store.ABSENT or self._likely_superseded()
            try:
                if must_read:
                    revision = self._read_version()
                    must_read = False
                    continue
                revision = self._watch_versions(revision)
                expiries = 0
                backoff.reset()
            except errors.StoreExpired as exc:
                _log.info("Reading the version instead of watching: {}.", exc)
                must_read = True
                expiries += 1
                if expiries > 1:
                    # The store doesn't know what it has just answered.
                    backoff.wait()
            except errors.ChiveroadError as exc:
                self._log_failure(exc)
                backoff.wait()

    def _log_failure(self, exc: errors.ChiveroadError) -> None:
        """Log a failed read of the version, once for each retry."""
        _log.info(
            "Reading the version from the store failed, retrying: {}.",
            exc,
            extra={"unconfirmed_ms": self._node.applied.unconfirmed_ms()},
        )

    def _likely_superseded(self) -> bool:
        """Tell whether a watch would return several whole versions."""
        applied = self._node.applied
        return self._bounds.likely_superseded(
            applied.applied_at_s, applied.confirmed_s, clock.now_s()
        )

    def _wait_for_parent(self) -> None:
        """Give a parent time to send its version before the store is read.

        A parent sends a twentieth of the bytes that the store sends, and a
        daemon often starts where others run.  In a rolling restart, reads of
        whole configurations would otherwise load the store and the link
        between regions.
        """
        self._members_listed.wait(MEMBER_LIST_WAIT_S)
        end_s = clock.now_s() + PARENT_ANSWER_WAIT_S
        node = self._node
        with node.changed:
            while (
                node.applied.confirmed_s is None
                and (left_s := end_s - clock.now_s()) > 0
                and self._choose_parent() is not None
            ):
                node.changed.wait(min(left_s, TICK_S))

    def _read_version(self) -> store.Revision:
        sent_s = clock.now_s()
        stored = self._store.get(store.Kind.ACCEPTED, ACCEPTED)
        if not self._apply(stored):
            raise errors.StoreUnavailable(STALE_ANSWER)
        self._node.applied.confirm(sent_s)
        return stored.version

    def _watch_versions(self, revision: store.Revision) -> store.Revision:
        sent_s = clock.now_s()
        wait_s = self._watch_s()
        newest: store.StoredObject | None = None
        answered = store.ABSENT
        for event in self._store.watch(store.Kind.ACCEPTED, revision, wait_s):
            answered = max(answered, event.version)
            if event.object is not None and event.object.name == ACCEPTED:
                newest = event.object
        demands_keys = self._node.applied.demands_keys
        stale = demands_keys and store.ABSENT < answered < revision
        if newest is not None:
            stale = not self._apply(newest) or stale
        if stale:
            raise errors.StoreUnavailable(STALE_ANSWER)
        # The store gives an empty answer at the end of the wait, and so
        # confirms the version as of then; a change, or an answer that came
        # early, confirms it only as of the request.
        self._last_watch_changed = newest is not None
        now_s = clock.now_s()
        waited = newest is None and now_s - sent_s >= wait_s - WAIT_ROUNDING_S
        confirmed_s = min(now_s, sent_s + wait_s) if waited else sent_s
        self._node.applied.confirm(confirmed_s)
        return max(revision, answered)

    def _watch_s(self) -> float:
        """Return the wait of the next watch for a change."""
        if self._is_suspect():
            return CONFIRM_SUSPECT_S
        return (
            CONFIRM_CHANGE_S if self._last_watch_changed else WATCH_VERSIONS_S
        )

    def _apply(self, stored: store.StoredObject) -> bool:
        """Put a version in force if it is newer.

        :returns: whether the version in force counts as the newest.  While
            keys are revoked by versions, an answer that the store gives from
            an earlier state doesn't show that, nor does another version of
            the same number.  An older version in a later state does: the
            store went back to a copy, and the greater number stays in force.
        """
        version = self._protocol.read_version(stored.spec)
        digest = config.digest(version.items)
        applied = self._node.applied
        order = applied.offer(
            version.number,
            digest,
            version.items,
            stored.version,
            checked=True,
        )
        if order is _applied.VersionOrder.OLDER:
            _log.info(
                "The store holds version {}; version {} stays in force.",
                version.number,
                applied.current.number,
            )
        if not applied.demands_keys:
            return True
        if order is _applied.VersionOrder.OLDER:
            return stored.version >= applied.current.revision
        return order is not _applied.VersionOrder.CONTRADICTS

    # The members.

    def _follow_members(self) -> None:
        revision = store.ABSENT
        backoff = _backoff.Backoff(RETRY_S, MAX_RETRY_MEMBERS_S)
        while not self.stopped:
            self._wait_until_watching()
            try:
                if revision != store.ABSENT:
                    revision = self._members.watch(revision)
                else:
                    revision = self._members.read()
                    self._parent_selector.mark_all_settled()
                    self._members_listed.set()
                    self._wait_until_following()
                backoff.reset()
            except errors.StoreExpired:
                revision = store.ABSENT
            except errors.ChiveroadError as exc:
                _log.debug(
                    "Reading members from the store failed, retrying: {}.", exc
                )
                backoff.wait()

    def _restore(self, own: store.StoredObject | None) -> None:
        """Restore the state that an earlier incarnation has recorded.

        A record that the store may have brought back from an older copy is
        taken for what it says of a leave only: a later leave may be lost.
        The target's next heartbeat shows whether it still takes work.
        """
        if own is None:
            self._recorder.set_stored(None, store.ABSENT)
            return
        record = _record.read(own)
        if record is not None:
            self._node.inherit_usable(record.member.suspects)
        if record is not None and self._restores_target(record, own.version):
            member = record.member
            self._target.restore(
                presence.TargetStatus(
                    target_id=member.target_id,
                    service=member.service,
                    phase=record.phase,
                    started_at_ms=member.target_started_at_ms,
                    slots=member.slots,
                    software_version=member.software_version,
                    ended_by_ms=record.ended_by_ms,
                ),
                _record.decode_superseded(record),
            )
        # The target is restored first: callers that wait for the stored
        # record see the restored state.
        self._recorder.set_stored(record, own.version)
        self._recorder.record(0.0)

    def _restores_target(
        self, record: _messages.MemberRecord, read_at: store.Revision
    ) -> bool:
        """Return whether to restore the target's status from a record."""
        member = record.member
        if not member.target_id or self._recorder.knows(member.recorded_at):
            return False
        ready = record.phase is presence.Phase.READY
        return not (ready and member.era < read_at.era)


_STATE_BY_PHASE: typing.Final = {
    presence.Phase.UNKNOWN: membership.State.STARTING,
    presence.Phase.READY: membership.State.READY,
    presence.Phase.DRAINING: membership.State.DRAINING,
    presence.Phase.GONE: membership.State.GONE,
}


def _distance_ms(address: str) -> int:
    """Return how long opening a connection to the store takes, in ms."""
    started_s = time.monotonic()
    if not connection.accepts_connections(address, PROBE_TIMEOUT_S):
        return int(PROBE_TIMEOUT_S * 1000)
    return int((time.monotonic() - started_s) * 1000)
