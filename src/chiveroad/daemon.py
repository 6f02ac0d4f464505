"""One daemon: its parts, wired together, from start to planned stop."""

from __future__ import annotations

import functools
import itertools
import pathlib
import signal
import socket
import sys
import threading
import time
import typing

from chiveroad import control
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import serving
from chiveroad import settings
from chiveroad import store
from chiveroad import traffic

SWITCH_INTERVAL_S: typing.Final = 0.0005
CONTROL_THREADS: typing.Final = 24
PROBE_S: typing.Final = 0.3
PROBE_TIMEOUT_S: typing.Final = 0.3
GUARD_TICK_S: typing.Final = 0.05
ENTRY_TICK_S: typing.Final = 1.0
CLAIM_TIMEOUT_S: typing.Final = 1.0
SETTLE_S: typing.Final = 2.0
COLLECT_S: typing.Final = 5.0
CLAIM_SHARDS: typing.Final = 256
METRICS_PATH: typing.Final = "/metrics"

_log = logs.Logger("daemon")


class Daemon:
    """A daemon made from its settings; ``run`` returns after a stop."""

    def __init__(self, options: settings.Settings) -> None:
        self._options = options
        self._node = control.Node(_first_word(options))
        self._platform = store.HttpStore(
            options.platform.address, options.platform.timeout_ms / 1000
        )
        self._agent = control.Agent(options, self._platform, self._node)
        self._claims = traffic.Claims(
            store.HttpStore(options.platform.address, CLAIM_TIMEOUT_S),
            options.instance,
        )
        self._recorder = metrics.Recorder()
        self._exporter = metrics.Exporter(self._recorder, self._gauges)
        self._guard = traffic.Guard(
            options, self._node.applied, self._claims, self._recorder
        )
        self._entry = traffic.Entry(
            options,
            self._node.applied,
            self._node.view,
            self._guard,
            self._recorder,
        )
        self._control = control.ControlHandler(self._node, self._agent)
        self._control.add_page(
            traffic.UPSTREAMS_PATH,
            functools.partial(traffic.upstreams_page, self._entry),
        )
        self._control.add_page(METRICS_PATH, self._exporter.page)
        threads = options.traffic.threads
        listen = options.listen
        self._servers = [
            serving.Server(listen.control, self._control, CONTROL_THREADS),
            serving.Server(listen.guard, self._guard, threads),
            serving.Server(listen.entry, self._entry, threads),
        ]
        self._stop = threading.Event()

    def run(self) -> None:
        """Serve until a signal asks for a planned stop.

        :raises errors.AddressInUse: when an address can't be listened on.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._open_servers()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop.set())
        self._agent.start()
        push = self._options.metrics
        if push.push_address:
            self._exporter.push(push.push_address, push.push_interval_ms)
        for work in (self._probe, self._collect):
            threading.Thread(
                target=work, name=work.__name__, daemon=True
            ).start()
        _log.info("Daemon {} started.", self._options.instance)
        self._tick_until_stopped()
        self._drain()

    def _open_servers(self) -> None:
        opened: list[serving.Server] = []
        try:
            for server in self._servers:
                server.open()
                opened.append(server)
        except errors.AddressInUse:
            for server in opened:
                server.stop()
            raise

    def _tick_until_stopped(self) -> None:
        entry_due_s = 0.0
        while not self._stop.wait(GUARD_TICK_S):
            self._guard.tick()
            if time.monotonic() >= entry_due_s:
                entry_due_s = time.monotonic() + ENTRY_TICK_S
                self._entry.tick()

    def _gauges(self) -> dict[str, float]:
        load, _, _ = self._guard.load()[1].partition(" ")
        return {
            "chiveroad.config.version": self._node.applied.current.number,
            "chiveroad.config.ready": float(self._node.applied.ready),
            "chiveroad.members": len(self._node.view.all()),
            "chiveroad.guard.load": float(load),
        }

    def _probe(self) -> None:
        """Announce the upstream once it takes connections."""
        while not self._stop.is_set():
            if _connects(self._options.upstream.address):
                self._node.say(membership.State.READY)
                self._agent.announce()
                _log.info("The upstream takes connections.")
                return
            time.sleep(PROBE_S)

    def _collect(self) -> None:
        """Delete expired claims, a share of them at a time, as merger."""
        shards = itertools.cycle(f"{n:02x}" for n in range(CLAIM_SHARDS))
        while not self._stop.wait(COLLECT_S):
            if "merger" not in self._agent.roles():
                continue
            now_ms = time.time_ns() // 1_000_000
            try:
                traffic.collect(self._platform, next(shards), now_ms)
            except errors.StoreError as exc:
                _log.debug("Claims are collected later: {}.", exc)

    def _drain(self) -> None:
        """Stop without cutting a request.

        From the first step on the guard takes no new work; the entry serves
        on until its callers have left by themselves.
        """
        limit_s = self._options.traffic.drain_limit_ms / 1000
        end_s = time.monotonic() + limit_s
        _log.info("Draining.")
        self._guard.draining = True
        self._node.say(membership.State.DRAINING)
        self._agent.announce()
        self._agent.give_back_leases()
        for server in reversed(self._servers[1:]):
            cut = server.drain(max(0.0, end_s - time.monotonic()))
            if cut:
                _log.error("The limit cuts {} requests.", cut)
        self._claims.settle(SETTLE_S)
        self._node.say(membership.State.GONE)
        self._agent.announce()
        self._agent.stopped = True
        self._control.stopped = True
        for server in reversed(self._servers):
            server.stop()
        _log.info("Stopped.")


def run_file(path: pathlib.Path) -> int:
    """Run a daemon from its settings file, and return the exit code."""
    try:
        options = settings.load(path)
        logs.set_up(options.log.level, options.log.format)
        Daemon(options).run()
    except errors.ChiveroadError as exc:
        print(f"chiveroad: {exc} ({exc.hint})", file=sys.stderr)
        return exc.exit_code
    return 0


def _first_word(options: settings.Settings) -> membership.Member:
    return membership.Member(
        instance=options.instance,
        service=options.service,
        failure_domain=options.failure_domain,
        region=options.region,
        incarnation=time.time_ns() // 1_000_000,
        sequence=1,
        state=membership.State.STARTING,
        entry=options.listen.entry,
        guard=options.listen.guard,
        control=options.listen.control,
    )


def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), PROBE_TIMEOUT_S).close()
    except OSError:
        return False
    return True
