"""Clients that use up threads, memory or descriptors of a daemon.

Each test guards against a daemon that ends, grows beyond the memory or the
descriptors that its settings state, or answers nobody, while a crowd of such
clients stays.  ``docs/design/20-what-a-connection-may-hold.md`` has the
limits.  The tests hold a lock file and so run one at a time, with
``--dist loadgroup`` on one worker and with ``--dist worksteal`` on any.
"""

from __future__ import annotations

import collections.abc
import contextlib
import fcntl
import os
import pathlib
import re
import tempfile
import threading
import time
import typing

import pytest

from standins import caller
from standins import crowd
from standins import mesh
from standins import target

pytestmark = pytest.mark.xdist_group("untrusted clients")

THREADS: typing.Final = 8
MEMORY_MB: typing.Final = 64
"""An idle daemon uses about 28 MB, so callers may use about 36 MB."""

DESCRIPTORS: typing.Final = 160
CLIENTS: typing.Final = 48
IDLE_CLIENTS: typing.Final = 240
LARGE_ANSWER_BYTES: typing.Final = 8 * 1024 * 1024
"""More than the socket buffers of both ends hold."""

SETTINGS: typing.Final = f"""
[traffic]
threads = {THREADS}
[capacity]
memory_mb = {MEMORY_MB}
file_descriptors = {DESCRIPTORS}
"""
SERVICE_FILE: typing.Final = """
team = "schools"
[service.glade]
slots = 16
queue_length = 64
open_to = ["*"]
[service.glade.kind.any]
weight = 2
idempotent = true
timeout_ms = 8000
[route.any]
path = "/any"
methods = ["*"]
service = "glade"
kind = "any"
"""
STAY_S: typing.Final = 2.0
ATTEMPTS: typing.Final = 3
ATTEMPT_TIMEOUT_S: typing.Final = 3.0
WATCH_INTERVAL_S: typing.Final = 0.05
_LOCK: typing.Final = "chiveroad-untrusted-clients.lock"


class Mesh(mesh.Mesh):
    """One daemon with all its addresses, its target and the store."""

    def __init__(self, options: str = SETTINGS) -> None:
        deployment = mesh.Deployment("one", "r", {"r": ["a"]}, {"glade": 1})
        super().__init__(deployment, options)
        self.ready = self._ports.take()
        self.heartbeat = self._ports.take()

    def settings_of(self, name: str) -> str:
        """Return the settings file of a daemon."""
        return (
            super()
            .settings_of(name)
            .replace(
                "[upstream]",
                f'ready = "{self.ready}"\n'
                f'heartbeat = "{self.heartbeat}"\n[upstream]',
                1,
            )
        )

    def places(self) -> dict[str, tuple[str, str]]:
        """Return the addresses and paths that clients may use, by name."""
        instance = self.instances["glade-1"]
        return {
            "route": (instance.entry, "/any/thing"),
            "no route": (instance.entry, "/nowhere"),
            "ready": (self.ready, "/ready"),
            "guard": (instance.guard, "/any/thing"),
            "control": (instance.control, "/control/v1/hello"),
            "heartbeat": (self.heartbeat, "/upstream/v1/heartbeat"),
        }


class Watcher:
    """Records the greatest memory and number of descriptors of a process."""

    def __init__(self, pid: int) -> None:
        self._proc = pathlib.Path(f"/proc/{pid}")
        self.memory_mb = 0.0
        self.descriptors = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(WATCH_INTERVAL_S):
            with contextlib.suppress(OSError):
                self._look()

    def _look(self) -> None:
        status = (self._proc / "status").read_text()
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        if found is not None:
            self.memory_mb = max(self.memory_mb, int(found[1]) / 1024)
        self.descriptors = max(
            self.descriptors, len(os.listdir(self._proc / "fd"))
        )


@contextlib.contextmanager
def _alone(
    options: str = SETTINGS, service_file: str = SERVICE_FILE
) -> collections.abc.Iterator[Mesh]:
    """Run a daemon while no other of these tests runs."""
    path = pathlib.Path(tempfile.gettempdir()) / _LOCK
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        running = Mesh(options)
        with running:
            running.start()
            running.push_file("10-glade.toml", service_file)
            running.wait_in_force(1)
            running.wait_for_target("glade-1")
            assert mesh.wait_for(lambda: _is_served(running), "an answer")
            yield running


@pytest.fixture
def daemon() -> collections.abc.Iterator[Mesh]:
    """Yield a running daemon."""
    with _alone() as running:
        yield running


def _is_served(running: Mesh, timeout_s: float = ATTEMPT_TIMEOUT_S) -> bool:
    entry = running.instances["glade-1"].entry
    result = caller.Caller(entry, timeout_s).call("GET", "/any/ordinary")
    return result.status == 200


def _is_ready(running: Mesh) -> bool:
    probe = caller.Caller(running.ready, ATTEMPT_TIMEOUT_S)
    return probe.call("GET", "/ready").status == 200


def _unserved(running: Mesh) -> list[str]:
    """Return the addresses that answer no ordinary request.

    A caller that is refused tries again, as callers do.
    """
    ordinary: dict[str, collections.abc.Callable[[], object]] = {
        "entry": lambda: _is_served(running),
        "ready": lambda: _is_ready(running),
        "control": lambda: running.status("glade-1"),
    }
    return [
        name
        for name, ask in ordinary.items()
        if not any(ask() for _ in range(ATTEMPTS))
    ]


def _check(
    running: Mesh,
    clients: collections.abc.Iterable[tuple[str, str, crowd.Habit]],
) -> None:
    """Let a crowd stay; check the daemon's use and ordinary requests."""
    process = running.processes["glade-1"]
    watcher = Watcher(process.pid)
    with crowd.Crowd(clients):
        time.sleep(STAY_S)
        unserved = _unserved(running)
    watcher.stop()
    used = f"{watcher.memory_mb:.0f} MB, {watcher.descriptors} descriptors"
    unserved_later = _unserved(running)
    print(f"used: {used}; unserved: {unserved}, later: {unserved_later}")
    assert process.poll() is None
    assert "Traceback" not in running.log_of("glade-1")
    assert not unserved_later
    assert watcher.memory_mb <= MEMORY_MB, used
    assert watcher.descriptors <= DESCRIPTORS, used
    assert not unserved


@pytest.mark.parametrize(
    "habit", sorted(set(crowd.HABITS) - {"no reader", "nothing"})
)
@pytest.mark.parametrize("place", ["route", "no route", "ready"])
def test_one_kind_of_client_leaves_the_daemon_in_order(
    daemon: Mesh, place: str, habit: str
) -> None:
    """Such clients held all threads, or more memory than is stated."""
    address, path = daemon.places()[place]
    client = (address, path, crowd.HABITS[habit])
    _check(daemon, [client] * CLIENTS)


# A control message may have 64 MiB, which was read into memory as a whole.
@pytest.mark.parametrize("place", ["guard", "control", "heartbeat"])
def test_large_bodies_at_an_inner_address_leave_the_daemon_in_order(
    daemon: Mesh, place: str
) -> None:
    address, path = daemon.places()[place]
    client = (address, path, crowd.HABITS["largest body"])
    _check(daemon, [client] * CLIENTS)


# Connections without a request had no limit but that of the process.
@pytest.mark.parametrize("place", ["route", "ready"])
def test_connections_without_requests_leave_descriptors(
    daemon: Mesh, place: str
) -> None:
    address, path = daemon.places()[place]
    client = (address, path, crowd.HABITS["nothing"])
    _check(daemon, [client] * IDLE_CLIENTS)


def test_bodies_without_an_end_leave_slots_of_the_target() -> None:
    """Such bodies held all slots, though threads were left for others."""
    many_threads = SETTINGS.replace("threads = 8", "threads = 64")
    few_slots = SERVICE_FILE.replace("slots = 16", "slots = 2")
    with _alone(many_threads, few_slots) as running:
        address, path = running.places()["route"]
        client = (address, path, crowd.HABITS["body in one piece"])
        _check(running, [client] * CLIENTS)


def test_large_answers_that_are_not_read_leave_the_daemon_in_order(
    daemon: Mesh,
) -> None:
    """An answer that isn't taken held a thread for five seconds."""
    daemon.set_mode("glade-1", target.Mode(answer_bytes=LARGE_ANSWER_BYTES))
    address, path = daemon.places()["route"]
    client = (address, path, crowd.HABITS["no reader"])
    _check(daemon, [client] * CLIENTS)


def test_all_kinds_of_clients_at_once_leave_the_daemon_in_order(
    daemon: Mesh,
) -> None:
    """Limits that hold for each kind alone may not hold for all together."""
    _check(
        daemon,
        [
            (*place, habit)
            for place in daemon.places().values()
            for habit in crowd.HABITS.values()
            for _ in range(2)
        ],
    )
