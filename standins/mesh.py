"""A mesh of real processes on loopback: store, targets and daemons.

The demo, the scenarios, the soak and the measurements run it.  Signals are
sent only to processes that this module started.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import msgspec
import urllib3

from chiveroad import connection
from chiveroad import control
from chiveroad import errors
from chiveroad import store
from standins import caller
from standins import link
from standins import target

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES: typing.Final = ROOT / "examples"
WAIT_TIMEOUT_S: typing.Final = 40.0

CALL_ERRORS: typing.Final = (urllib3.exceptions.HTTPError,)

_FIRST_PORT: typing.Final = 18_000
_LAST_PORT: typing.Final = 32_000
CONNECT_TIMEOUT_S: typing.Final = 0.5
_PORTS_PER_BLOCK: typing.Final = 200
"""More than the largest mesh of the tests uses."""

_POLL_S: typing.Final = 0.01
_T = typing.TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class Instance:
    """The location and the addresses of an instance."""

    name: str
    service: str
    failure_domain: str
    region: str
    entry: str
    guard: str
    control: str
    target: str


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The contents of a deployment file.

    ``regions`` are failure domains by region, ``services`` the number of
    instances by service.
    """

    name: str
    store_region: str
    regions: dict[str, list[str]]
    services: dict[str, int]

    def placements(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield region and failure domain, alternating between regions."""
        most_domains = max(len(domains) for domains in self.regions.values())
        for index in range(most_domains):
            for region, domains in self.regions.items():
                if index < len(domains):
                    yield region, domains[index]


def read_deployment(name: str) -> Deployment:
    """Read the deployment file of an example."""
    text = (EXAMPLES / name / "deployment.toml").read_text()
    return Deployment(**tomllib.loads(text))


class Ports:
    """Allocates loopback addresses that are unique across processes.

    Ports are allocated in blocks.  The owner of a block listens on the first
    port of the block for as long as it exists, so that tests that run in
    parallel, even in different processes, never share a block.
    """

    def __init__(self) -> None:
        self._block_listeners: list[socket.socket] = []
        self._free_ports: list[int] = []

    def take(self) -> str:
        """Return a free address."""
        while True:
            if not self._free_ports:
                self._claim_block()
            port = self._free_ports.pop(0)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"

    def close(self) -> None:
        """Release the blocks."""
        while self._block_listeners:
            self._block_listeners.pop().close()
        self._free_ports.clear()

    def _claim_block(self) -> None:
        """Claim a block of ports that has no owner.

        :raises OSError: when all blocks have an owner.
        """
        block_count = (_LAST_PORT - _FIRST_PORT) // _PORTS_PER_BLOCK
        for offset in range(block_count):
            block = (os.getpid() + offset) % block_count
            first_port = _FIRST_PORT + block * _PORTS_PER_BLOCK
            listener = socket.socket()
            try:
                listener.bind(("127.0.0.1", first_port))
                listener.listen()
            except OSError:
                listener.close()
                continue
            self._block_listeners.append(listener)
            self._free_ports += range(
                first_port + 1, first_port + _PORTS_PER_BLOCK
            )
            return
        raise OSError(
            f"all {block_count} port blocks from {_FIRST_PORT} to "
            f"{_LAST_PORT} are in use"
        )


class Mesh:
    """A running deployment.

    :param options: text appended to the settings of each daemon.
    :param far_link: puts a link with added latency, limited bandwidth and
        byte counters between the store and each other region.
    :param cold_s: for how long targets serve slowly after their start.
    :param target_links: puts a link in front of each target, so that network
        faults can be injected.
    :param ends_on: a request whose path contains it ends its target.
    """

    def __init__(
        self,
        deployment: Deployment,
        options: str = "",
        far_link: bool = False,
        cold_s: float = 0.0,
        target_links: bool = False,
        ends_on: str = "",
    ) -> None:
        self.deployment = deployment
        self._options = options
        self._cold_s = cold_s
        self._ends_on = ends_on
        self._folder = tempfile.TemporaryDirectory(prefix="chiveroad-")
        self.path = pathlib.Path(self._folder.name)
        self._ports = Ports()
        self.store_address = self._ports.take()
        self.store_links: dict[str, link.Link] = {}
        self._linked_targets: dict[str, str] = {}
        self._store_addresses = {
            region: self._store_address_for(region, far_link)
            for region in deployment.regions
        }
        self.instances = {i.name: i for i in self._make_instances()}
        self.target_links: dict[str, link.Link] = {}
        if target_links:
            self._link_targets()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._killed_target_runs: dict[str, int] = {}
        self.store = store.HttpStore(self.store_address)
        self._http = urllib3.PoolManager(maxsize=8, retries=False)

    def _store_address_for(self, region: str, far_link: bool) -> str:
        if not far_link or region == self.deployment.store_region:
            return self.store_address
        address = self._ports.take()
        self.store_links[region] = link.Link(address, self.store_address)
        self.store_links[region].start()
        return address

    def _link_targets(self) -> None:
        """Create the links whose addresses daemons use for their targets."""
        for name, instance in self.instances.items():
            address = self._ports.take()
            link_ = link.Link(address, instance.target, one_way_s=0.0)
            link_.start()
            self.target_links[name] = link_
            self._linked_targets[name] = address

    def _make_instances(self) -> collections.abc.Iterator[Instance]:
        placements = list(self.deployment.placements())
        index = 0
        for service, count in self.deployment.services.items():
            for number in range(1, count + 1):
                region, domain = placements[index % len(placements)]
                index += 1
                yield Instance(
                    f"{service}-{number}",
                    service,
                    domain,
                    region,
                    self._ports.take(),
                    self._ports.take(),
                    self._ports.take(),
                    self._ports.take(),
                )

    # Processes.

    def start(self) -> None:
        """Start all processes, the store first."""
        self.start_store()
        for name in self.instances:
            self.start_target(name)
        for name in self.instances:
            self.start_daemon(name)

    def start_store(self) -> None:
        """Start the object API, and wait until it accepts connections."""
        port = self.store_address.rpartition(":")[2]
        self._spawn("store", "-m", "standins.object_api", "--port", port)
        wait_for(
            lambda: connection.accepts_connections(
                self.store_address, CONNECT_TIMEOUT_S
            ),
            "the store to accept connections",
        )

    def start_target(self, name: str) -> None:
        """Start the target of an instance."""
        port = self.instances[name].target.rpartition(":")[2]
        cold = ("--cold-s", str(self._cold_s))
        self._spawn(
            f"upstream {name}",
            "-m",
            "standins.target",
            f"{name}:{port}",
            f"--ends-on={self._ends_on}",
            *cold,
        )

    def target_has_ended(self, name: str) -> bool:
        """Return whether a target has ended by itself."""
        process = self.processes.get(f"upstream {name}")
        return process is not None and process.poll() is not None

    def restart_ended_target(self, name: str) -> None:
        """Start a target that a request has ended; keep its run counts."""
        del self.processes[f"upstream {name}"]
        log = (self.path / f"upstream {name}.log").read_bytes()
        _, _, line = log.rpartition(target.LAST_RECORD)
        record = msgspec.json.decode(line.partition(b"\n")[0])["record"]
        executions = msgspec.convert(record, dict[str, target.Execution])
        _add_run_counts(executions, self._killed_target_runs)
        self.start_target(name)

    def start_daemon(self, name: str) -> None:
        """Start the daemon of an instance."""
        path = self.path / f"{name}.toml"
        path.write_text(self.settings_of(name))
        self._spawn(name, "-m", "chiveroad", "daemon", str(path))

    def settings_of(self, name: str) -> str:
        """Return the settings file of a daemon."""
        instance = self.instances[name]
        return (
            f'instance = "{instance.name}"\n'
            f'service = "{instance.service}"\n'
            f'failure_domain = "{instance.failure_domain}"\n'
            f'region = "{instance.region}"\n'
            "[listen]\n"
            f'entry = "{instance.entry}"\n'
            f'guard = "{instance.guard}"\n'
            f'control = "{instance.control}"\n'
            "[upstream]\n"
            f'address = "{self._linked_targets.get(name, instance.target)}"\n'
            "[platform]\n"
            f'address = "{self._store_addresses[instance.region]}"\n'
            f'region = "{self.deployment.store_region}"\n'
            f"{self._options}"
        )

    def ask_to_stop(self, name: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM for a planned stop, and return the process."""
        process = self.processes.pop(name)
        process.terminate()
        return process

    def kill(self, name: str) -> None:
        """Kill a process; the run counts of a killed target are kept."""
        if name.startswith("upstream "):
            executions = self.executions(name.removeprefix("upstream "))
            _add_run_counts(executions, self._killed_target_runs)
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Wait for the planned stop of a process; return its exit code."""
        return self.ask_to_stop(name).wait(timeout=60)

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def log_of(self, name: str) -> str:
        """Return the log output of a process."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    def peak_memory_mb(self, name: str) -> int:
        """Return the greatest resident size of a process so far."""
        pid = self.processes[name].pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        found = re.search(r"^VmHWM:\s+(\d+) kB", status, re.MULTILINE)
        assert found is not None
        return int(found[1]) // 1024

    def close(self) -> None:
        """Kill all processes, and remove links, ports and files."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for link_ in (*self.store_links.values(), *self.target_links.values()):
            link_.stop()
        self._ports.close()
        self._folder.cleanup()

    def __enter__(self) -> Mesh:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _spawn(self, name: str, *arguments: str) -> None:
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
            )

    # The folder.

    def push_file(self, name: str, text: str) -> int:
        """Write a file into the folder, and return its revision."""
        value = control.FolderFile(text)
        kind = store.Kind.FILES
        return store.overwrite(self.store, kind, name, value).version.number

    def push_example(self) -> None:
        """Write all files of the example of this deployment."""
        folder = EXAMPLES / self.deployment.name / "folder"
        for path in sorted(folder.glob("*.toml")):
            self.push_file(path.name, path.read_text())

    def remove_file(self, name: str) -> None:
        """Remove a file from the folder."""
        version = self.store.get(store.Kind.FILES, name).version
        self.store.delete(store.Kind.FILES, name, version)

    def folder_status(self) -> control.FolderStatus | None:
        """Return the status of the folder, or None before the first merge."""
        try:
            stored = self.store.get(store.Kind.STATUSES, control.FILES_STATUS)
        except errors.StoreNotFound:
            return None
        return msgspec.json.decode(stored.spec, type=control.FolderStatus)

    def judged(self, revision: int) -> control.FolderStatus:
        """Wait for the verdicts on the folder up to a revision."""

        def status_after_revision() -> control.FolderStatus | None:
            status = self.folder_status()
            if status is None or status.folder_version < revision:
                return None
            return status

        return wait_for(
            status_after_revision, f"a verdict on revision {revision}"
        )

    def accepted(self) -> int:
        """Return the number of the accepted version."""
        return control.read_current(self.store).accepted.version

    # Daemons.

    def daemons(self) -> list[str]:
        """Return the names of the daemons that were started."""
        return [name for name in self.instances if name in self.processes]

    def status(self, name: str) -> control.DaemonStatus | None:
        """Return the status of a daemon, or None if it doesn't answer."""
        address = self.instances[name].control
        try:
            response = self._http.request(
                "GET", f"http://{address}{control.STATUS_PATH}", timeout=2.0
            )
            return msgspec.json.decode(
                response.data, type=control.DaemonStatus
            )
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None

    def wait_for_role(self, role: str) -> str:
        """Wait until a daemon has a role; return the name of the daemon."""

        def daemon_with_role() -> str:
            for name in self.daemons():
                status = self.status(name)
                if status is not None and role in status.roles:
                    return name
            return ""

        return wait_for(daemon_with_role, f"a daemon with the role {role}")

    def wait_in_force(
        self, version: int, names: list[str] | None = None
    ) -> list[control.DaemonStatus]:
        """Wait until a version is in force on all daemons, or on some.

        :param names: the daemons to wait for, by default all.
        """

        def statuses_in_force() -> list[control.DaemonStatus]:
            statuses = [self.status(n) for n in names or self.daemons()]
            answered = [s for s in statuses if s is not None]
            complete = len(answered) == len(statuses) and all(
                s.ready and s.version >= version for s in answered
            )
            return answered if complete else []

        return wait_for(statuses_in_force, f"version {version} to be in force")

    def wait_serving(self) -> None:
        """Wait until each daemon has a record of each member as ready."""

        def all_ready() -> bool:
            domain_objects = self.store.list(store.Kind.DOMAINS).objects
            members = [
                member
                for domain_object in domain_objects
                for member in msgspec.json.decode(
                    domain_object.spec, type=control.DomainMembers
                ).members
                if member.state.value == "ready"
            ]
            statuses = [self.status(name) for name in self.daemons()]
            count = len(self.daemons())
            return len(members) >= count and all(
                s is not None and s.members >= count for s in statuses
            )

        wait_for(all_ready, "all targets to be ready")

    def caller(self, name: str) -> caller.Caller:
        """Return a caller of the entry of a daemon."""
        return caller.Caller(self.instances[name].entry)

    # Targets and faults of the store.

    def set_mode(self, name: str, mode: target.Mode) -> None:
        """Set the behavior of a target."""
        self._post(f"http://{self.instances[name].target}/standin/mode", mode)

    def wait_for_target(self, name: str) -> None:
        """Wait until a target accepts connections."""
        address = self.instances[name].target
        wait_for(
            lambda: connection.accepts_connections(address, CONNECT_TIMEOUT_S),
            f"the target {name} to accept connections",
        )

    def executions(self, name: str) -> dict[str, target.Execution]:
        """Return the executions that a target recorded, by request id."""
        record = self._target_record(name)["record"]
        return msgspec.convert(record, dict[str, target.Execution])

    def arrivals(self, name: str) -> list[target.Arrival]:
        """Return the requests that arrived at a target, in order."""
        record = self._target_record(name)["arrivals"]
        return msgspec.convert(record, list[target.Arrival])

    def _target_record(self, name: str) -> dict[str, typing.Any]:
        url = f"http://{self.instances[name].target}/standin/record"
        data = self._http.request("GET", url, timeout=5.0).data
        record: dict[str, typing.Any] = msgspec.json.decode(data)
        return record

    def run_counts(self) -> dict[str, int]:
        """Return the number of runs per request id, over all targets.

        Runs of targets that were killed since are included.
        """
        counts = dict(self._killed_target_runs)
        for name in self.instances:
            if f"upstream {name}" in self.processes:
                _add_run_counts(self.executions(name), counts)
        return counts

    def faults(self, **values: object) -> None:
        """Set the faults of the store; faults that aren't named end."""
        self._post(f"http://{self.store_address}/faults", values)

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls of the store by kind of call."""
        url = f"http://{self.store_address}/calls"
        counts: dict[str, int] = msgspec.json.decode(
            self._http.request("GET", url, timeout=5.0).data
        )
        return counts

    def compact_history(self) -> None:
        """Drop the history of the store, so that watches expire."""
        self._post(f"http://{self.store_address}/compact", {})

    def write_malformed_entry(self) -> None:
        """Have another writer leave an entry among those of the members."""
        self._post(f"http://{self.store_address}/malformed-entry", {})

    def _post(self, url: str, value: object) -> None:
        self._http.request(
            "POST", url, body=msgspec.json.encode(value), timeout=5.0
        )


@contextlib.contextmanager
def running(
    name: str, options: str = "", far_link: bool = False
) -> collections.abc.Iterator[Mesh]:
    """Run an example; its files are in force on all daemons."""
    with Mesh(read_deployment(name), options, far_link) as started:
        started.start()
        started.push_example()
        started.wait_in_force(1)
        started.wait_serving()
        yield started


def _add_run_counts(
    executions: collections.abc.Mapping[str, target.Execution],
    counts: dict[str, int],
) -> None:
    for request, execution in executions.items():
        counts[request] = counts.get(request, 0) + execution.runs


def wait_for(
    condition: collections.abc.Callable[[], _T | None],
    what: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> _T:
    """Poll until a condition returns a true value, and return the value.

    :param what: what is waited for, for the error message.
    :raises TimeoutError: when there is no such value within ``timeout_s``.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(_POLL_S)
    raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}")
