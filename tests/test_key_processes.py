"""Customers' keys in real processes, with the store of the platform."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

import msgspec
import pytest

from chiveroad import customers
from chiveroad import store
from standins import mesh
from standins import object_api
from standins import platform_store
from tests import gate
from tests import keyed

NAMES: typing.Final = "abcd"
BOUND_S: typing.Final = 5.0
TOKEN: typing.Final = f"Authorization: Token {keyed.KEY}"
PAGES: typing.Final = (
    "/control/v1/status",
    "/metrics",
    "/control/v1/upstreams",
    "/control/v1/quarantine",
)


@dataclasses.dataclass
class Fleet:
    """Daemons as processes, each behind a gate to the store."""

    api: object_api.ObjectApi
    gates: dict[str, gate.Gate]
    targets: dict[str, keyed.Target]
    entries: dict[str, str]
    controls: dict[str, str]
    folder: pathlib.Path
    processes: dict[str, "subprocess.Popen[bytes]"]

    def accept(self, spec: bytes) -> None:
        """Accept a version as the platform's operator does."""
        store.overwrite(
            self.api.store,
            store.Kind.ACCEPTED,
            "main",
            msgspec.Raw(spec),
        )

    def status(self, name: str, headers: list[str], path: str = "/x") -> int:
        """Send a request to a daemon's entry; return its answer's status."""
        answer = keyed.ask(self.entries[name], keyed.head_of(path, headers))
        return keyed.status_of(answer)


def _settings(
    name: str, ports: mesh.Ports, target: str, platform: str
) -> tuple[str, str, str]:
    entry, guard, control = (ports.take() for _ in range(3))
    text = f"""
        instance = "{name}"
        service = "glade"
        failure_domain = "z"
        region = "r"
        [listen]
        entry = "{entry}"
        guard = "{guard}"
        control = "{control}"
        [upstream]
        address = "{target}"
        [platform]
        address = "{platform}"
        protocol = "platform"
        timeout_ms = 1500
        [control]
        source = "accepted"
        [customers]
        fail_closed = true
        revoke_within_s = {BOUND_S}
        [log]
        format = "json"
        level = "debug"
        """
    return text, entry, control


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Fleet]:
    """Yield daemons that serve requests with keys."""
    folder = tmp_path_factory.mktemp("keys")
    server = platform_store.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"
    ports = mesh.Ports()
    fleet = Fleet(server.api, {}, {}, {}, {}, folder, {})
    fleet.accept(keyed.specification())
    with contextlib.ExitStack() as stack:
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        stack.callback(_stop_all, fleet)
        for name in NAMES:
            target = fleet.targets[name] = keyed.Target()
            stack.callback(target.close)
            path = fleet.gates[name] = gate.Gate(address)
            stack.callback(path.close)
            text, entry, control = _settings(
                name, ports, target.address, path.address
            )
            fleet.entries[name] = entry
            fleet.controls[name] = control
            settings = folder / f"{name}.toml"
            settings.write_text(text)
            fleet.processes[name] = _start(settings, folder / f"{name}.log")
        for name in NAMES:
            mesh.wait_for(lambda: _is_serving(fleet, name) or None, name, 40.0)
        time.sleep(4.0)
        yield fleet
    ports.close()


def _start(
    settings: pathlib.Path, log: pathlib.Path
) -> "subprocess.Popen[bytes]":
    with log.open("wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "chiveroad", "daemon", str(settings)],
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": str(mesh.ROOT / "src")},
        )


def _stop_all(fleet: Fleet) -> None:
    for process in fleet.processes.values():
        _stop(process)


def _stop(process: "subprocess.Popen[bytes]") -> None:
    process.kill()
    process.wait()


def _is_answering(fleet: Fleet, name: str) -> bool:
    """Tell whether a daemon knows a version, whatever it answers."""
    try:
        return fleet.status(name, [TOKEN]) != 503
    except OSError:
        return False


def _is_serving(fleet: Fleet, name: str) -> bool:
    try:
        return fleet.status(name, [TOKEN]) == 200
    except OSError:
        return False


# Guards against a key in clear in what a daemon writes, shows or answers.
def test_no_output_of_a_daemon_has_a_key(fleet: Fleet) -> None:
    shown = []
    for name in NAMES:
        for headers in (
            [TOKEN],
            [TOKEN, "X-Tenant: horn"],
            [TOKEN + "x"],
            [f"Authorization: Bearer {keyed.KEY}"],
            [TOKEN, TOKEN],
            [TOKEN, "Transfer-Encoding: gzip"],
            [f"Authorization Token {keyed.KEY}"],
            [f"Authorization: Token\r\n {keyed.KEY}"],
        ):
            for path in ("/x", "/open", "/once"):
                sent = keyed.head_of(path, headers)
                shown.append(keyed.ask(fleet.entries[name], sent))
        for page in PAGES:
            sent = keyed.head_of(page, [TOKEN])
            shown.append(keyed.ask(fleet.controls[name], sent))
        for key, value in (("version", 0), ("version", 7)):
            body = msgspec.json.encode({key: value, "digest": ""})
            sent = keyed.head_of(
                "/control/v1/confirmation",
                [f"Content-Length: {len(body)}"],
                "POST",
            )
            shown.append(keyed.ask(fleet.controls[name], sent + body))
    heads = [head for t in fleet.targets.values() for head in t.heads]
    logs = [path.read_text() for path in sorted(fleet.folder.glob("*.log"))]
    records = [
        bytes(found.spec).decode()
        for found in fleet.api.store.list(store.Kind.MEMBERS).objects
    ]
    assert heads and len(logs) == len(NAMES) and len(records) == len(NAMES)
    assert all(text for text in logs)
    for text in (*shown, *heads, *logs, *records):
        assert keyed.KEY not in text
        assert keyed.OTHER_KEY not in text


# Guards against a process that was suspended while a key was revoked, and
# counts its confirmation as young when it goes on.
def test_suspended_daemon_serves_no_key_that_was_revoked(fleet: Fleet) -> None:
    suspended = fleet.processes["d"]
    suspended.send_signal(signal.SIGSTOP)
    try:
        fleet.accept(keyed.specification(keyed.TENANTS[1:], number=8))
        time.sleep(BOUND_S + 0.1)
        asked: list[int] = []
        asking = [
            threading.Thread(
                target=lambda: asked.append(fleet.status("d", [TOKEN]))
            )
            for _ in range(4)
        ]
        for thread in asking:
            thread.start()
        time.sleep(0.2)
    finally:
        suspended.send_signal(signal.SIGCONT)
    for thread in asking:
        thread.join(10)
    assert len(asked) == len(asking) and set(asked) <= {401, 503}
    fleet.accept(keyed.specification(number=9))
    for name in NAMES:
        mesh.wait_for(lambda: _is_serving(fleet, name) or None, name, 40.0)


# Guards against requests that are refused at daemons that the store turns
# away while it answers another one, and against a revoked key that is served
# there, or anywhere without a path to the store.
def test_turned_away_daemons_serve_and_revoke_like_the_others(
    fleet: Fleet,
) -> None:
    for name, mode in zip("abc", ("503", gate.SILENT, gate.RESET)):
        fleet.gates[name].set_mode(mode)
    end_s = time.monotonic() + 2 * BOUND_S
    while time.monotonic() < end_s:
        assert {fleet.status(name, [TOKEN]) for name in NAMES} == {200}
        time.sleep(0.1)
    fleet.gates["a"].set_mode("429")
    fleet.accept(keyed.specification(keyed.TENANTS[1:], number=10))
    accepted_s = time.monotonic()
    other = [f"Authorization: Token {keyed.OTHER_KEY}"]
    while time.monotonic() < accepted_s + BOUND_S + 1:
        for name in NAMES:
            sent_s = time.monotonic()
            status = fleet.status(name, [TOKEN])
            if sent_s > accepted_s + BOUND_S:
                assert status == 401
            assert fleet.status(name, other) == 200
        time.sleep(0.05)
    # A version that the daemons can't learn of.
    for path in fleet.gates.values():
        path.set_mode(gate.SILENT)
    fleet.accept(keyed.specification((), number=11))
    accepted_s = time.monotonic()
    time.sleep(BOUND_S + 0.1)
    assert {fleet.status(name, other) for name in NAMES} == {503}
    assert {fleet.status(name, [], "/open") for name in NAMES} == {200}
    for path in fleet.gates.values():
        path.set_mode(gate.PASS)
    for name in NAMES:
        mesh.wait_for(
            lambda: fleet.status(name, other) == 401 or None, name, 40.0
        )


# Guards against a mesh that opens its routes, and shows targets the revoked
# keys, as all daemons have ended since the table of customers was left out.
def test_restarted_fleet_without_a_table_of_customers_stays_closed(
    fleet: Fleet,
) -> None:
    fleet.accept(keyed.specification(number=20))
    for name in NAMES:
        mesh.wait_for(lambda: _is_serving(fleet, name) or None, name, 40.0)
    fleet.accept(keyed.specification((), number=21))
    for name in NAMES:
        mesh.wait_for(
            lambda: fleet.status(name, [TOKEN]) == 401 or None, name, 40.0
        )
    for process in fleet.processes.values():
        _stop(process)
    for target in fleet.targets.values():
        target.heads.clear()
    for name in NAMES:
        settings = fleet.folder / f"{name}.toml"
        log = fleet.folder / f"{name}-restarted.log"
        fleet.processes[name] = _start(settings, log)
    for name in NAMES:
        mesh.wait_for(lambda: _is_answering(fleet, name) or None, name, 40.0)
    for _ in range(5):
        for name in NAMES:
            assert fleet.status(name, [TOKEN]) == 401
            assert fleet.status(name, []) == 401
        time.sleep(0.1)
    assert not any(target.heads for target in fleet.targets.values())


FOLDER: typing.Final = f"""team = "keys"
[service.glade]
slots = 12
[service.glade.kind.browse]
idempotent = true
[route.keyed]
path = "/"
methods = ["*"]
service = "glade"
kind = "browse"
[route.open]
path = "/open"
methods = ["*"]
service = "glade"
kind = "browse"
anonymous = true
[customer.tusk]
key_digests = ["{customers.digest_key(keyed.KEY)}"]
"""


# Guards against daemons that merge a folder themselves and can't confirm what
# they have merged, or that serve keys without their store.
def test_folder_with_customers_serves_and_fails_closed() -> None:
    deployment = mesh.Deployment("keys", "r", {"r": ["a", "b"]}, {"glade": 4})
    options = "[customers]\nfail_closed = true\n"
    bearer = [f"Authorization: Bearer {keyed.KEY}"]
    with mesh.Mesh(deployment, options) as running:
        entries = [each.entry for each in running.instances.values()]

        def statuses(headers: list[str], path: str = "/x") -> set[int]:
            # Targets share the address of other callers here.
            sent = keyed.head_of(path, headers)
            return {
                keyed.status_of(keyed.ask(entry, sent, "127.0.0.3"))
                for entry in entries
            }

        running.start()
        running.push_file("10-keys.toml", FOLDER)
        running.wait_in_force(1)
        running.wait_serving()
        mesh.wait_for(lambda: statuses(bearer) == {200} or None, "keys", 40.0)
        time.sleep(2.0)
        end_s = time.monotonic() + 2 * BOUND_S
        while time.monotonic() < end_s:
            assert statuses(bearer) == {200}
            time.sleep(0.1)
        assert statuses([]) == statuses([bearer[0] + "x"]) == {401}
        running.faults(outage=True)
        time.sleep(BOUND_S + 0.1)
        assert statuses(bearer) == {503}
        assert statuses([], "/open") == {200}
        running.faults(outage=False)
        mesh.wait_for(lambda: statuses(bearer) == {200} or None, "keys", 40.0)
