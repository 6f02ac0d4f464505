"""One daemon: its parts, wired together, from start to planned stop."""

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
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import platform
from chiveroad import presence
from chiveroad import readiness
from chiveroad import serving
from chiveroad import settings
from chiveroad import signals
from chiveroad import store
from chiveroad import traffic
from chiveroad import wire

SWITCH_INTERVAL_S: typing.Final = 0.0005
CONTROL_THREADS: typing.Final = 48
FEW_THREADS: typing.Final = 4
HEARTBEAT_THREADS: typing.Final = 4
READY_THREADS: typing.Final = 2
RARE_EXPIRE_S: typing.Final = 2.0
"""How often idle connections are looked for where callers are few; each look
wakes a thread."""

PROBE_S: typing.Final = 0.3
PROBE_TIMEOUT_S: typing.Final = 0.3
PEER_PROBE_TICK_S: typing.Final = 0.1
PEER_IDLE_S: typing.Final = 1.0
"""How long the thread that probes may overlook a stop while nothing waits."""

GUARD_TICK_S: typing.Final = 0.05
LAST_ANSWERS_S: typing.Final = 0.15
"""What the answers that are due at the limit of a planned stop need to be sent
before its end."""

GUARD_GRACE_S: typing.Final = 0.5
"""What other daemons need to hear that this one stops."""

ENTRY_TICK_S: typing.Final = 1.0
CLAIM_TIMEOUT_S: typing.Final = 1.0
SETTLE_S: typing.Final = 0.4
"""What is left to write of claims is small, and claims expire."""

LAST_CALL_S: typing.Final = 0.4
"""How long the end waits for the store to take the daemon's record back; the
record that stays does no harm."""

COLLECT_S: typing.Final = 5.0
CLAIM_SHARDS: typing.Final = 256
METRICS_PATH: typing.Final = "/metrics"

_log = logs.Logger("daemon")


class Daemon:
    """A daemon made from its settings; ``run`` returns after a stop.

    :param path: the settings file, to be read again when it changes.
    """

    def __init__(
        self,
        options: settings.Settings,
        path: pathlib.Path | None = None,
    ) -> None:
        self._options = options
        self._path = path
        self._written_ns = path.stat().st_mtime_ns if path else 0
        self._signals = signals.Signals()
        accepted = options.control.source == "accepted"
        self._protocol = _protocol(options)
        self._recorder = metrics.Recorder()
        self._uplink = serving.Uplink(options.capacity.link_mbps)
        self._platform = self._store(options.platform.timeout_ms / 1000)
        self._target = presence.LocalTarget(options.target.address)
        self._node = control.Node(_first_word(options, accepted), accepted)
        self._plane = self._make_plane(accepted)
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
        self._entry = traffic.Entry(
            options,
            self._node.applied,
            self._node.view,
            self._guard,
            self._recorder,
            self._protocol,
            self._uplink,
        )
        self._exporter = metrics.Exporter(
            self._recorder, gauges.of(self._node, self._entry, self._guard)
        )
        self._control = control.ControlHandler(self._node, self._plane)
        self._control.add_page(
            traffic.TARGETS_PATH,
            functools.partial(traffic.targets_page, self._entry),
        )
        self._control.add_page(METRICS_PATH, self._exporter.page)
        self._stop = threading.Event()
        self._peers_left = threading.Event()
        self._servers = self._make_servers()
        self._border_servers = self._make_border_servers()

    def _store(self, timeout_s: float) -> store.Store:
        found = _store_client(self._options, timeout_s)
        return store.CountedStore(found, self._recorder.count)

    def _make_plane(self, accepted: bool) -> control.ControlPlane:
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
        """Return the servers of control, guard and entry."""
        listen = self._options.listen
        options = self._options.traffic
        control_server = _quiet_server(
            listen.control, self._control, CONTROL_THREADS, FEW_THREADS
        )
        guard_server = serving.Server(
            listen.guard,
            self._guard,
            options.threads,
            FEW_THREADS,
            uplink=self._uplink,
        )
        entry_server = serving.Server(
            listen.entry,
            self._entry,
            options.threads,
            FEW_THREADS,
            options.idle_timeout_ms // 1000,
            self._protocol.fractional_retry_after,
        )
        return [control_server, guard_server, entry_server]

    def _make_border_servers(self) -> list[serving.Server]:
        """Return the servers that the platform and the target ask."""
        listen = self._options.listen
        servers = []
        if listen.heartbeat:
            handler = presence.HeartbeatHandler(
                self._protocol,
                self._target,
                self._options.target.address.rpartition(":")[0],
                self._plane.record,
                self._known_services,
            )
            servers.append(
                _quiet_server(
                    listen.heartbeat,
                    handler,
                    HEARTBEAT_THREADS,
                    1,
                    self._protocol.fractional_retry_after,
                )
            )
        if listen.ready:
            ready = readiness.ReadyHandler(self._takes_requests)
            servers.append(
                _quiet_server(listen.ready, ready, READY_THREADS, 1)
            )
        return servers

    def run(self) -> None:
        """Serve until a signal asks for a planned stop.

        :raises errors.AddressInUse: when an address can't be listened on.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        # What the modules made lives as long as the process.
        gc.collect()
        gc.freeze()
        self._open_servers()
        self._signals.install()
        self._plane.start()
        push = self._options.metrics
        if push.push_address:
            self._exporter.push(push.push_address, push.push_interval_ms)
        for work in (self._probe, self._collect, self._probe_peers):
            threading.Thread(
                target=work, name=work.__name__, daemon=True
            ).start()
        _log.info("Daemon {} started.", self._options.instance)
        self._tick_until_stopped()
        self._stop.set()
        self._drain()

    def _takes_requests(self) -> bool:
        return self._node.applied.ready and not self._signals.stop

    def _known_services(self) -> set[str]:
        configured = self._node.applied.config.services
        return {self._options.service, *configured}

    def _open_servers(self) -> None:
        opened: list[serving.Server] = []
        try:
            for server in (*self._servers, *self._border_servers):
                server.open()
                opened.append(server)
        except errors.AddressInUse:
            for server in opened:
                server.stop()
            raise

    def _tick_until_stopped(self) -> None:
        entry_due_s = 0.0
        self._guard.on_queue = self._signals.wake
        while not self._signals.wait(self._pause_s(entry_due_s)):
            self._guard.tick()
            if time.monotonic() >= entry_due_s:
                entry_due_s = time.monotonic() + ENTRY_TICK_S
                self._guard.retire()
                self._entry.tick()
                self._limit_callers()
                self._reload_if_changed()

    def _pause_s(self, entry_due_s: float) -> float:
        """Return how long the main thread has nothing to do."""
        if self._guard.waiting:
            return GUARD_TICK_S
        return max(0.0, entry_due_s - time.monotonic())

    def _limit_callers(self) -> None:
        limits = self._node.applied.config.limits
        *_, entry_server = self._servers
        entry_server.limit_heads(
            limits.max_head_bytes, limits.head_timeout_ms / 1000
        )

    def _probe(self) -> None:
        """Announce a target without heartbeats once it can be reached."""
        if self._options.target.heartbeats:
            return
        self._target.restore(
            presence.TargetStatus(
                service=self._options.service, phase=presence.Phase.READY
            )
        )
        while not self._stop.is_set():
            address = self._options.target.address
            if connection.connects(address, PROBE_TIMEOUT_S):
                self._plane.announce(membership.State.READY)
                _log.info("The target takes connections.")
                return
            time.sleep(PROBE_S)

    def _probe_peers(self) -> None:
        """Ask silent daemons for a sign of life while requests wait."""
        while not self._peers_left.wait(PEER_PROBE_TICK_S):
            try:
                idle = not self._entry.probe()
            except OSError as exc:
                # Without this thread whoever is lost would stay so.
                _log.warning("Other daemons can't be probed: {}.", exc)
                continue
            if idle:
                self._entry.wait_for_work(PEER_IDLE_S)

    def _collect(self) -> None:
        """Delete expired claims, a share of them at a time, as merger."""
        shards = itertools.cycle(f"{n:02x}" for n in range(CLAIM_SHARDS))
        while not self._stop.wait(COLLECT_S):
            if "merger" not in self._plane.roles():
                continue
            now_ms = time.time_ns() // 1_000_000
            try:
                traffic.collect_expired_claims(
                    self._platform, next(shards), now_ms
                )
            except errors.StoreError as exc:
                _log.debug("Claims are collected later: {}.", exc)

    def _drain(self) -> None:
        """Stop without cutting a request.

        The guard soon takes no new work; the entry serves on until its
        callers have left by themselves.
        """
        traffic_options = self._options.traffic
        end_s = time.monotonic() + traffic_options.drain_limit_ms / 1000
        leave_after_s = traffic_options.leave_after_ms / 1000
        _log.info("Draining.")
        for part in (self._entry, self._guard):
            part.end_by(end_s - LAST_ANSWERS_S)
        threading.Thread(
            target=self._tick_until_left, name="ticking", daemon=True
        ).start()
        self._plane.announce(membership.State.DRAINING)
        # Others hear of it before they are refused.
        threading.Timer(GUARD_GRACE_S, self._close_guard).start()
        self._plane.release_leases()
        _, guard_server, entry_server = self._servers
        cut = entry_server.drain(
            max(0.0, end_s - time.monotonic()),
            leave_after_s,
            traffic_options.leave_while_busy_ms / 1000,
        )
        self._close_guard()
        cut += guard_server.wait_idle(max(0.0, end_s - time.monotonic()))
        if cut:
            _log.error("The limit cuts {} requests.", cut)
        self._claims.flush(SETTLE_S)
        # A store that doesn't answer may not hold up the end.
        leaving = threading.Thread(
            target=self._plane.announce,
            args=(membership.State.GONE,),
            daemon=True,
        )
        leaving.start()
        leaving.join(LAST_CALL_S)
        self._plane.stopped = True
        self._control.stopped = True
        self._peers_left.set()
        _log.info("Stopped.")
        serving.stop_all((*self._border_servers, *reversed(self._servers)))

    def _tick_until_left(self) -> None:
        """Refuse who waits too long, as long as requests are in hand."""
        while not self._peers_left.wait(GUARD_TICK_S):
            self._guard.tick()

    def _close_guard(self) -> None:
        self._guard.draining = True

    def _reload_if_changed(self) -> None:
        """Take in a changed settings file, whole or not at all."""
        if self._path is None:
            return
        try:
            written_ns = self._path.stat().st_mtime_ns
            if written_ns == self._written_ns and not self._signals.reload:
                return
            self._written_ns = written_ns
            self._signals.reload = False
            options = settings.load(self._path)
        except (OSError, errors.SettingsError) as exc:
            _log.error("The changed settings aren't used: {}.", exc)
            return
        if options == self._options:
            _log.info("The settings are the same.")
            return
        for name in settings.restart_needed(self._options, options):
            _log.warning("The setting {} needs a restart.", name)
        self._options = options
        self._entry.reload(options)
        _log.info("The changed settings are in use.")


def run_file(path: pathlib.Path) -> int:
    """Run a daemon from its settings file, and return the exit code."""
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


def _store_client(options: settings.Settings, timeout_s: float) -> store.Store:
    address = options.platform.address
    if options.platform.protocol == "native":
        return store.HttpStore(address, timeout_s)
    return platform.ObjectStore(address, timeout_s)


def _quiet_server(
    address: str,
    handler: serving.Handler,
    threads: int,
    few_threads: int,
    fractional_retry: bool = False,
) -> serving.Server:
    """Return a server that few callers use."""
    return serving.Server(
        address,
        handler,
        threads,
        few_threads,
        fractional_retry=fractional_retry,
        expire_s=RARE_EXPIRE_S,
    )


def _first_word(
    options: settings.Settings, recorded: bool
) -> membership.Member:
    return membership.Member(
        instance=options.instance,
        service=options.service,
        failure_domain=options.failure_domain,
        region=options.region,
        incarnation=0 if recorded else time.time_ns() // 1_000_000,
        sequence=0 if recorded else 1,
        state=membership.State.STARTING,
        entry=options.listen.entry,
        guard=options.listen.guard,
        control=options.listen.control,
        capacity_percent=options.capacity.percent,
    )
