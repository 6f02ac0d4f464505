"""Assembles a daemon, runs it, and drains it on a planned stop."""

from __future__ import annotations

import functools
import gc
import itertools
import pathlib
import sys
import threading
import time
import typing

from chiveroad import connection
from chiveroad import control
from chiveroad import errors
from chiveroad import gauges
from chiveroad import limits
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import platform
from chiveroad import presence
from chiveroad import quotas
from chiveroad import readiness
from chiveroad import serving
from chiveroad import settings
from chiveroad import signals
from chiveroad import store
from chiveroad import traffic
from chiveroad import wire

SWITCH_INTERVAL_S: typing.Final = 0.0005
CONTROL_THREADS: typing.Final = 48
INITIAL_THREADS: typing.Final = 4
HEARTBEAT_THREADS: typing.Final = 4
READY_THREADS: typing.Final = 2
SLOW_EXPIRE_INTERVAL_S: typing.Final = 2.0
"""How often servers with few callers look for idle connections; each search
wakes a thread."""

PROBE_INTERVAL_S: typing.Final = 0.3
PROBE_TIMEOUT_S: typing.Final = 0.3
LEAVE_CHECK_INTERVAL_S: typing.Final = 1.0
"""How late a leave is noticed that an earlier daemon has recorded."""

PEER_PROBE_INTERVAL_S: typing.Final = 0.1
PEER_IDLE_WAIT_S: typing.Final = 1.0
"""How late the probing thread may notice a stop if no request waits."""

GUARD_TICK_INTERVAL_S: typing.Final = 0.05
FINAL_ANSWERS_S: typing.Final = 0.15
"""How long before the limit of a planned stop the last answers are due, so
that they are sent before the process exits."""

GUARD_GRACE_S: typing.Final = 0.5
"""How long other daemons may take to learn that this daemon is draining."""

ENTRY_TICK_INTERVAL_S: typing.Final = 1.0
CLAIM_TIMEOUT_S: typing.Final = 1.0
CLAIM_FLUSH_TIMEOUT_S: typing.Final = 0.4
"""How long a stop waits for pending writes of claims; few are pending by then,
and claims expire."""

LEAVE_TIMEOUT_S: typing.Final = 0.4
"""How long a stop waits until the store has removed the daemon's record; a
record that remains does no harm."""

COLLECT_INTERVAL_S: typing.Final = 5.0
CLAIM_SHARDS: typing.Final = 256
METRICS_PATH: typing.Final = "/metrics"

_log = logs.Logger("daemon")


class Daemon:
    """A daemon with the given settings; ``run`` returns after a stop.

    :param path: the settings file, which is reloaded when it changes.
    """

    def __init__(
        self,
        options: settings.Settings,
        path: pathlib.Path | None = None,
    ) -> None:
        self._options = options
        self._path = path
        self._modified_ns = path.stat().st_mtime_ns if path else 0
        self._signals = signals.Signals()
        accepted = options.control.source == "accepted"
        self._protocol = _protocol(options)
        self._recorder = metrics.Recorder()
        self._limits = limits.Shared(
            options.limits, options.capacity, self._recorder.count
        )
        self._uplink = serving.Uplink(options.capacity.link_mbps)
        self._platform = self._store(options.platform.timeout_ms / 1000)
        self._target = presence.LocalTarget(options.target.address)
        self._node = control.Node(
            _initial_member(options, accepted),
            recorded=accepted,
            keys_recorded=accepted and _records_keys(options.customers),
        )
        self._control_plane = self._make_control_plane(accepted)
        self._claims = traffic.Claims(
            self._store(CLAIM_TIMEOUT_S), options.instance
        )
        self._guard = traffic.Guard(
            options,
            self._node.applied,
            self._claims,
            self._recorder,
            self._protocol,
            self._target,
        )
        self._quotas = quotas.Quotas(
            options,
            self._node.applied,
            self._node.view,
            self._recorder,
            control.Peers(1, quotas.EXCHANGE_TIMEOUT_S),
        )
        self._entry = traffic.Entry(
            options,
            self._node.applied,
            self._node.view,
            self._guard,
            self._recorder,
            self._protocol,
            self._uplink,
            self._quotas,
        )
        self._exporter = metrics.Exporter(
            self._recorder,
            gauges.readers(self._node, self._entry, self._guard),
        )
        self._control = control.ControlHandler(self._node, self._control_plane)
        self._control.add_page(
            traffic.TARGETS_PATH,
            functools.partial(traffic.targets_page, self._entry),
        )
        self._control.add_page(
            traffic.QUARANTINE_PATH,
            functools.partial(traffic.quarantine_page, self._entry),
        )
        self._control.add_page(
            traffic.QUARANTINE_PATH,
            functools.partial(traffic.lift_page, self._entry),
            "POST",
        )
        self._control.add_page(
            quotas.USAGE_PATH, self._quotas.usage_page, "POST"
        )
        customers_page = quotas.CustomersPage(
            options, self._node.applied, self._quotas, self._recorder
        )
        self._control.add_page(quotas.CUSTOMERS_PATH, customers_page.handle)
        self._control.add_page(
            traffic.EXPLAIN_PATH,
            functools.partial(traffic.explain_page, self._entry),
            "POST",
        )
        self._control.add_page(METRICS_PATH, self._exporter.page)
        self._stop = threading.Event()
        self._target_leaves = threading.Event()
        self._guard.on_leave = self._record_leave
        self._guard.outlook = self._entry.outlook
        self._entry.quarantine.publish = self._record_suspects
        self._node.inherit = self._entry.quarantine.inherit
        self._peers_left = threading.Event()
        self._servers = self._make_servers()
        self._status_servers = self._make_status_servers()

    def _store(self, timeout_s: float) -> store.Store:
        client = _store_client(self._options, timeout_s)
        return store.CountedStore(client, self._recorder.count)

    def _make_control_plane(self, accepted: bool) -> control.ControlPlane:
        if not accepted:
            return control.Agent(self._options, self._platform, self._node)
        return control.Follower(
            self._options,
            self._platform,
            self._node,
            self._protocol,
            self._target,
        )

    def _make_servers(self) -> list[serving.Server]:
        """Return the servers of the control plane, the guard and the entry."""
        listen = self._options.listen
        options = self._options.traffic
        control_server = _low_traffic_server(
            listen.control,
            self._control,
            CONTROL_THREADS,
            INITIAL_THREADS,
            self._limits.at(limits.Place.CONTROL),
        )
        guard_server = serving.Server(
            listen.guard,
            self._guard,
            options.threads,
            INITIAL_THREADS,
            uplink=self._uplink,
            bounds=self._limits.at(limits.Place.GUARD),
        )
        entry_server = serving.Server(
            listen.entry,
            self._entry,
            options.threads,
            INITIAL_THREADS,
            options.idle_timeout_ms // 1000,
            self._protocol.fractional_retry_after,
            bounds=self._limits.at(limits.Place.ENTRY),
        )
        for server in (guard_server, entry_server):
            server.others_waiting = lambda: self._guard.uploads.waiting
        return [control_server, guard_server, entry_server]

    def _make_status_servers(self) -> list[serving.Server]:
        """Return the servers for heartbeats and for readiness checks."""
        listen = self._options.listen
        servers = []
        if listen.heartbeat:
            handler = presence.HeartbeatHandler(
                self._protocol,
                self._target,
                self._options.target.address.rpartition(":")[0],
                self._control_plane.record,
                self._known_services,
            )
            servers.append(
                _low_traffic_server(
                    listen.heartbeat,
                    handler,
                    HEARTBEAT_THREADS,
                    1,
                    self._limits.at(limits.Place.HEARTBEAT),
                    self._protocol.fractional_retry_after,
                )
            )
        if listen.ready:
            ready = readiness.ReadyHandler(self._accepts_requests)
            servers.append(
                _low_traffic_server(
                    listen.ready,
                    ready,
                    READY_THREADS,
                    1,
                    self._limits.at(limits.Place.READY),
                )
            )
        return servers

    def run(self) -> None:
        """Serve until a signal requests a planned stop.

        :raises errors.AddressInUse: when an address can't be listened on.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        # Objects that the imports created live as long as the process.
        gc.collect()
        gc.freeze()
        self._open_servers()
        self._signals.install()
        self._control_plane.start()
        push_options = self._options.metrics
        if push_options.push_address:
            self._exporter.push(
                push_options.push_address, push_options.push_interval_ms
            )
        for task in (
            self._watch_target,
            self._collect_claims,
            self._probe_peers,
        ):
            threading.Thread(
                target=task, name=task.__name__, daemon=True
            ).start()
        _log.info("Daemon {} started.", self._options.instance)
        self._run_ticks()
        self._stop.set()
        self._target_leaves.set()
        self._drain()

    def _accepts_requests(self) -> bool:
        return self._node.applied.ready and not self._signals.stop

    def _known_services(self) -> set[str]:
        configured = self._node.applied.config.services
        return {self._options.service, *configured}

    def _open_servers(self) -> None:
        open_servers: list[serving.Server] = []
        try:
            for server in (*self._servers, *self._status_servers):
                server.open()
                open_servers.append(server)
        except errors.AddressInUse:
            for server in open_servers:
                server.stop()
            raise

    def _run_ticks(self) -> None:
        entry_due_s = 0.0
        self._guard.on_queue = self._signals.wake
        while not self._signals.wait(self._time_to_next_task_s(entry_due_s)):
            self._guard.tick()
            if time.monotonic() >= entry_due_s:
                entry_due_s = time.monotonic() + ENTRY_TICK_INTERVAL_S
                self._guard.retire()
                self._entry.tick()
                self._apply_limits()
                self._reload_if_changed()

    def _time_to_next_task_s(self, entry_due_s: float) -> float:
        """Return the time until the main thread's next task."""
        if self._guard.waiting:
            return GUARD_TICK_INTERVAL_S
        return max(0.0, entry_due_s - time.monotonic())

    def _apply_limits(self) -> None:
        limits = self._node.applied.config.limits
        *_, entry_server = self._servers
        entry_server.limit_heads(
            limits.max_head_bytes, limits.head_timeout_ms / 1000
        )
        entry_server.keep_idle(limits.idle_timeout_ms / 1000)

    def _watch_target(self) -> None:
        """Announce the states of a target that sends no heartbeats.

        The target is ready once it accepts connections, and its next
        incarnation once connections have been refused after a leave.
        """
        if self._options.target.heartbeats:
            return
        service = self._options.service
        ready = presence.TargetStatus(
            service=service, phase=presence.Phase.READY
        )
        while self._wait_for_target(accepting=True):
            self._target_leaves.clear()
            self._target.set_status(ready)
            self._control_plane.announce(membership.State.READY)
            _log.info(
                "Target {} accepts connections and is ready.",
                self._options.target.address,
            )
            self._wait_for_leave()
            if self._stop.is_set():
                return
            self._control_plane.announce(membership.State.DRAINING)
            if not self._wait_for_target(accepting=False):
                return

    def _wait_for_target(self, accepting: bool) -> bool:
        """Wait until the target accepts connections, or no longer does.

        :returns: False at a stop.
        """
        address = self._options.target.address
        while not self._stop.is_set():
            accepts = connection.accepts_connections(address, PROBE_TIMEOUT_S)
            if accepts is accepting:
                return True
            self._stop.wait(PROBE_INTERVAL_S)
        return False

    def _wait_for_leave(self) -> None:
        """Wait until the target leaves or the daemon stops.

        The record of an earlier incarnation of the daemon may say so, too.
        """
        while not self._target_leaves.wait(LEAVE_CHECK_INTERVAL_S):
            if self._target.status.phase is not presence.Phase.READY:
                return

    def _record_leave(self) -> None:
        """Let other daemons know that the target states that it leaves."""
        self._control_plane.record(0.0)
        self._target_leaves.set()

    def _record_suspects(self, suspects: membership.RecordedSuspects) -> None:
        """Let other daemons know of the contents that are suspect here."""
        self._node.set_suspects(suspects)
        self._control_plane.record(0.0)

    def _probe_peers(self) -> None:
        """Probe unresponsive daemons while requests wait."""
        while not self._peers_left.wait(PEER_PROBE_INTERVAL_S):
            try:
                idle = not self._entry.probe()
            except OSError as exc:
                # Without this thread, an unreachable daemon would stay so.
                _log.warning(
                    "Probing other daemons failed, retrying in {} s: {}.",
                    PEER_PROBE_INTERVAL_S,
                    exc,
                )
                continue
            if idle:
                self._entry.wait_for_work(PEER_IDLE_WAIT_S)

    def _collect_claims(self) -> None:
        """Delete expired claims, shard by shard, while this is the merger."""
        shards = itertools.cycle(f"{n:02x}" for n in range(CLAIM_SHARDS))
        while not self._stop.wait(COLLECT_INTERVAL_S):
            if "merger" not in self._control_plane.roles():
                continue
            now_ms = time.time_ns() // 1_000_000
            try:
                traffic.collect_expired_claims(
                    self._platform, next(shards), now_ms
                )
            except errors.StoreError as exc:
                _log.debug(
                    "Expired claims of a shard were not deleted, retrying "
                    "in the next cycle: {}.",
                    exc,
                )

    def _drain(self) -> None:
        """Drain the daemon, so that no running request is aborted.

        The guard soon rejects new requests; the entry keeps serving until its
        callers have closed their connections.
        """
        traffic_options = self._options.traffic
        limit_s = traffic_options.stop_limit_s
        deadline_s = time.monotonic() + limit_s
        leave_after_s = traffic_options.leave_after_ms / 1000
        _log.info("Draining, for {:.2f} s at most.", limit_s)
        for component in (self._entry, self._guard):
            component.set_deadline(deadline_s - FINAL_ANSWERS_S)
        threading.Thread(
            target=self._tick_until_drained, name="ticking", daemon=True
        ).start()
        self._control_plane.announce(membership.State.DRAINING)
        # Other daemons learn of the drain before the guard rejects requests.
        threading.Timer(GUARD_GRACE_S, self._drain_guard).start()
        self._control_plane.release_leases()
        _, guard_server, entry_server = self._servers
        entry_server.stop_accepting(
            max(0.0, deadline_s - time.monotonic()),
            leave_after_s,
            traffic_options.leave_while_busy_ms / 1000,
        )
        self._entry.refuse_outlasting()
        aborted = entry_server.wait_closed(deadline_s - time.monotonic())
        self._drain_guard()
        aborted += guard_server.wait_idle(
            max(0.0, deadline_s - time.monotonic())
        )
        if aborted:
            _log.error(
                "Drain limit of {:.2f} s reached; {} running requests are "
                "aborted.",
                limit_s,
                aborted,
            )
        self._claims.flush(CLAIM_FLUSH_TIMEOUT_S)
        # A store that doesn't answer must not delay the exit.
        leave_thread = threading.Thread(
            target=self._control_plane.announce,
            args=(membership.State.GONE,),
            daemon=True,
        )
        leave_thread.start()
        leave_thread.join(LEAVE_TIMEOUT_S)
        self._control_plane.stopped = True
        self._control.stopped = True
        self._peers_left.set()
        self._quotas.stop()
        _log.info("Stopped.")
        serving.stop_all((*self._status_servers, *reversed(self._servers)))

    def _tick_until_drained(self) -> None:
        """Tick the guard in a drain, so that overdue requests are refused."""
        while not self._peers_left.wait(GUARD_TICK_INTERVAL_S):
            self._guard.tick()

    def _drain_guard(self) -> None:
        self._guard.draining = True

    def _reload_if_changed(self) -> None:
        """Apply a changed settings file, or ignore it if it is invalid."""
        if self._path is None:
            return
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns and not self._signals.reload:
                return
            self._modified_ns = modified_ns
            self._signals.reload = False
            options = settings.load(self._path)
        except (OSError, errors.SettingsError) as exc:
            _log.error(
                "Settings file {} can't be used, so the previous settings "
                "stay in use: {}.",
                self._path,
                exc,
            )
            return
        if options == self._options:
            _log.info("Settings were reloaded and are unchanged.")
            return
        for name in settings.restart_needed(self._options, options):
            _log.warning(
                "Setting {} has changed, which takes effect after a restart.",
                name,
            )
        self._options = options
        self._entry.reload(options)
        _log.info("Changed settings are in use.")


def run_file(path: pathlib.Path) -> int:
    """Run a daemon with a settings file, and return the exit code."""
    try:
        options = settings.load(path)
        logs.configure(options.log.level, options.log.format)
        Daemon(options, path).run()
        logs.flush()
    except errors.ChiveroadError as exc:
        print(f"chiveroad: {exc} ({exc.hint})", file=sys.stderr)
        return exc.exit_code
    return 0


def _protocol(options: settings.Settings) -> wire.Protocol:
    if options.platform.protocol == "native":
        return wire.Native()
    return platform.Protocol()


def _records_keys(options: settings.Customers) -> bool:
    return options.fail_closed or options.record_keys


def _store_client(options: settings.Settings, timeout_s: float) -> store.Store:
    address = options.platform.address
    if options.platform.protocol == "native":
        return store.HttpStore(address, timeout_s)
    return platform.ObjectStore(address, timeout_s)


def _low_traffic_server(
    address: str,
    handler: serving.Handler,
    threads: int,
    initial_threads: int,
    bounds: limits.Bounds,
    fractional_retry: bool = False,
) -> serving.Server:
    """Return a server for few callers."""
    return serving.Server(
        address,
        handler,
        threads,
        initial_threads,
        fractional_retry=fractional_retry,
        expire_s=SLOW_EXPIRE_INTERVAL_S,
        bounds=bounds,
    )


def _initial_member(
    options: settings.Settings, accepted: bool
) -> membership.Member:
    return membership.Member(
        instance=options.instance,
        service=options.service,
        failure_domain=options.failure_domain,
        region=options.region,
        incarnation=0 if accepted else time.time_ns() // 1_000_000,
        sequence=0 if accepted else 1,
        state=membership.State.STARTING,
        entry=options.listen.entry,
        guard=options.listen.guard,
        control=options.listen.control,
        capacity_percent=options.capacity.percent,
    )
