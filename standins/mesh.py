"""A deployment on loopback: real processes, started and ended one by one.

Used by the demo, the scenarios and the measures.  Only processes that this
module started are ever signalled.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
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
WAIT_S: typing.Final = 40.0

CALL_ERRORS: typing.Final = (urllib3.exceptions.HTTPError,)

_FIRST_PORT: typing.Final = 18_000
_LAST_PORT: typing.Final = 32_000
CONNECT_S: typing.Final = 0.5
_BLOCK: typing.Final = 200
"""More ports than the meshes of the tests take."""

_POLL_S: typing.Final = 0.01
_T = typing.TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class Instance:
    """One instance: its place and its addresses."""

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
    """What stands in a deployment file."""

    name: str
    store_region: str
    regions: dict[str, list[str]]
    services: dict[str, int]

    def places(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield region and failure domain, in turn over the regions."""
        longest = max(len(domains) for domains in self.regions.values())
        for index in range(longest):
            for region, domains in self.regions.items():
                if index < len(domains):
                    yield region, domains[index]


def read_deployment(name: str) -> Deployment:
    """Read one of the examples."""
    text = (EXAMPLES / name / "deployment.toml").read_text()
    return Deployment(**tomllib.loads(text))


class Ports:
    """Hands out loopback addresses that nobody else is given.

    They come from blocks of ports.  Who has a block listens on its first
    port for as long as it lives, so that tests that run side by side, in
    whatever processes, never share one.
    """

    def __init__(self) -> None:
        self._claims: list[socket.socket] = []
        self._left: list[int] = []

    def take(self) -> str:
        """Return a free address."""
        while True:
            if not self._left:
                self._claim()
            port = self._left.pop(0)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"

    def close(self) -> None:
        """Give the blocks back."""
        while self._claims:
            self._claims.pop().close()
        self._left.clear()

    def _claim(self) -> None:
        """Take a block that nobody has.

        :raises OSError: when all are taken.
        """
        count = (_LAST_PORT - _FIRST_PORT) // _BLOCK
        for turn in range(count):
            block = (os.getpid() + turn) % count
            first = _FIRST_PORT + block * _BLOCK
            claim = socket.socket()
            try:
                claim.bind(("127.0.0.1", first))
                claim.listen()
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            self._left += range(first + 1, first + _BLOCK)
            return
        raise OSError("all blocks of ports are taken")


class Mesh:
    """A running deployment.

    :param options: text added to every daemon's settings.
    :param target_links: puts a link before each target, to be cut.
    :param far_link: puts a slow, narrow, counted link between the store and
        the regions that it isn't in.
    """

    def __init__(
        self,
        deployment: Deployment,
        options: str = "",
        far_link: bool = False,
        cold_s: float = 0.0,
        target_links: bool = False,
    ) -> None:
        self.deployment = deployment
        self._options = options
        self._cold_s = cold_s
        self._folder = tempfile.TemporaryDirectory(prefix="chiveroad-")
        self.path = pathlib.Path(self._folder.name)
        self._ports = Ports()
        self.store_address = self._ports.take()
        self.links: dict[str, link.Link] = {}
        self._linked: dict[str, str] = {}
        self._platform_address = {
            region: self._address_of_store(region, far_link)
            for region in deployment.regions
        }
        self.instances = {i.name: i for i in self._place()}
        self.target_links: dict[str, link.Link] = {}
        if target_links:
            self._link_targets()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._ended_runs: dict[str, int] = {}
        self.store = store.HttpStore(self.store_address)
        self._http = urllib3.PoolManager(maxsize=8, retries=False)

    def _address_of_store(self, region: str, far_link: bool) -> str:
        if not far_link or region == self.deployment.store_region:
            return self.store_address
        address = self._ports.take()
        self.links[region] = link.Link(address, self.store_address)
        self.links[region].start()
        return address

    def _link_targets(self) -> None:
        """Give the daemons the address of a link in place of targets."""
        for name, place in self.instances.items():
            address = self._ports.take()
            found = link.Link(address, place.target, one_way_s=0.0)
            found.start()
            self.target_links[name] = found
            self._linked[name] = address

    def _place(self) -> collections.abc.Iterator[Instance]:
        places = list(self.deployment.places())
        turn = 0
        for service, count in self.deployment.services.items():
            for number in range(1, count + 1):
                region, domain = places[turn % len(places)]
                turn += 1
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
        """Start all processes; the store is waited for."""
        self.start_store()
        for name in self.instances:
            self.start_target(name)
        for name in self.instances:
            self.start_daemon(name)

    def start_store(self) -> None:
        """Start the object API."""
        port = self.store_address.rpartition(":")[2]
        self._spawn("store", "-m", "standins.object_api", "--port", port)
        wait_for(
            lambda: connection.connects(self.store_address, CONNECT_S),
            "the store",
        )

    def start_target(self, name: str) -> None:
        """Start one target."""
        port = self.instances[name].target.rpartition(":")[2]
        cold = ("--cold-s", str(self._cold_s))
        self._spawn(
            f"upstream {name}",
            "-m",
            "standins.target",
            f"{name}:{port}",
            *cold,
        )

    def start_daemon(self, name: str) -> None:
        """Start one daemon."""
        path = self.path / f"{name}.toml"
        path.write_text(self.settings_of(name))
        self._spawn(name, "-m", "chiveroad", "daemon", str(path))

    def settings_of(self, name: str) -> str:
        """Return the text of a daemon's settings."""
        place = self.instances[name]
        return (
            f'instance = "{place.name}"\n'
            f'service = "{place.service}"\n'
            f'failure_domain = "{place.failure_domain}"\n'
            f'region = "{place.region}"\n'
            "[listen]\n"
            f'entry = "{place.entry}"\n'
            f'guard = "{place.guard}"\n'
            f'control = "{place.control}"\n'
            "[upstream]\n"
            f'address = "{self._linked.get(name, place.target)}"\n'
            "[platform]\n"
            f'address = "{self._platform_address[place.region]}"\n'
            f'region = "{self.deployment.store_region}"\n'
            f"{self._options}"
        )

    def ask_to_stop(self, name: str) -> subprocess.Popen[bytes]:
        """Ask a process to stop as planned, and return it."""
        process = self.processes.pop(name)
        process.terminate()
        return process

    def kill(self, name: str) -> None:
        """Kill a process at once; what a target had run is kept."""
        if name.startswith("upstream "):
            self._add_runs(name.removeprefix("upstream "), self._ended_runs)
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Ask a process to stop as planned, and return its exit code."""
        return self.ask_to_stop(name).wait(timeout=60)

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End everything that was started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for each in (*self.links.values(), *self.target_links.values()):
            each.stop()
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
        """Write one file into the folder, and return its revision."""
        value = control.FolderFile(text)
        kind = store.Kind.FILES
        return store.overwrite(self.store, kind, name, value).version

    def push_example(self) -> None:
        """Write all files of the deployment's example."""
        folder = EXAMPLES / self.deployment.name / "folder"
        for path in sorted(folder.glob("*.toml")):
            self.push_file(path.name, path.read_text())

    def remove_file(self, name: str) -> None:
        """Remove a file from the folder."""
        known = self.store.get(store.Kind.FILES, name).version
        self.store.delete(store.Kind.FILES, name, known)

    def folder_status(self) -> control.FolderStatus | None:
        """Return what operators are told of the folder."""
        try:
            stored = self.store.get(store.Kind.STATUSES, control.FILES_STATUS)
        except errors.StoreNotFound:
            return None
        return msgspec.json.decode(stored.spec, type=control.FolderStatus)

    def judged(self, revision: int) -> control.FolderStatus:
        """Wait until the folder has been judged up to a revision."""

        def found() -> control.FolderStatus | None:
            status = self.folder_status()
            if status is None or status.folder_version < revision:
                return None
            return status

        return wait_for(found, f"a verdict on revision {revision}")

    def accepted(self) -> int:
        """Return the accepted version's number."""
        return control.read_current(self.store).accepted.version

    # Daemons.

    def daemons(self) -> list[str]:
        """Return the names of the daemons that run."""
        return [name for name in self.instances if name in self.processes]

    def status(self, name: str) -> control.DaemonStatus | None:
        """Return what a daemon says of itself, or None."""
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

    def holder(self, role: str) -> str:
        """Wait until a daemon has a role, and return its name."""

        def found() -> str:
            for name in self.daemons():
                status = self.status(name)
                if status is not None and role in status.roles:
                    return name
            return ""

        return wait_for(found, f"a {role}")

    def wait_in_force(
        self, version: int, names: list[str] | None = None
    ) -> list[control.DaemonStatus]:
        """Wait until all daemons, or those named, run a version."""

        def found() -> list[control.DaemonStatus]:
            statuses = [self.status(n) for n in names or self.daemons()]
            good = [s for s in statuses if s is not None]
            done = len(good) == len(statuses) and all(
                s.ready and s.version >= version for s in good
            )
            return good if done else []

        return wait_for(found, f"version {version} in force")

    def wait_serving(self) -> None:
        """Wait until every daemon knows every target as ready."""

        def done() -> bool:
            stored = self.store.list(store.Kind.DOMAINS).objects
            members = [
                member
                for entry in stored
                for member in msgspec.json.decode(
                    entry.spec, type=control.DomainMembers
                ).members
                if member.state.value == "ready"
            ]
            statuses = [self.status(name) for name in self.daemons()]
            count = len(self.daemons())
            return len(members) >= count and all(
                s is not None and s.members >= count for s in statuses
            )

        wait_for(done, "all targets ready")

    def caller(self, name: str) -> caller.Caller:
        """Return a caller of one daemon's entry."""
        return caller.Caller(self.instances[name].entry)

    # Targets and the platform's faults.

    def set_mode(self, name: str, mode: target.Mode) -> None:
        """Set how a target behaves."""
        self._post(f"http://{self.instances[name].target}/standin/mode", mode)

    def wait_for_target(self, name: str) -> None:
        """Wait until a target takes connections."""
        address = self.instances[name].target
        wait_for(
            lambda: connection.connects(address, CONNECT_S),
            f"the target {name}",
        )

    def record(self, name: str) -> dict[str, target.Execution]:
        """Return what a target ran."""
        url = f"http://{self.instances[name].target}/standin/record"
        data = self._http.request("GET", url, timeout=5.0).data
        told = msgspec.json.decode(data)
        return msgspec.convert(told["record"], dict[str, target.Execution])

    def runs(self) -> dict[str, int]:
        """Return how often each request id ran, over all targets."""
        total = dict(self._ended_runs)
        for name in self.instances:
            if f"upstream {name}" in self.processes:
                self._add_runs(name, total)
        return total

    def _add_runs(self, name: str, total: dict[str, int]) -> None:
        for request, execution in self.record(name).items():
            total[request] = total.get(request, 0) + execution.runs

    def faults(self, **values: object) -> None:
        """Set what goes wrong at the platform."""
        self._post(f"http://{self.store_address}/faults", values)

    def store_calls(self) -> dict[str, int]:
        """Return the platform's call counter."""
        url = f"http://{self.store_address}/calls"
        counted: dict[str, int] = msgspec.json.decode(
            self._http.request("GET", url, timeout=5.0).data
        )
        return counted

    def forget_history(self) -> None:
        """Make the platform forget the versions that watches begin from."""
        self._post(f"http://{self.store_address}/compact", {})

    def _post(self, url: str, value: object) -> None:
        self._http.request(
            "POST", url, body=msgspec.json.encode(value), timeout=5.0
        )


@contextlib.contextmanager
def running(
    name: str, options: str = "", far_link: bool = False
) -> collections.abc.Iterator[Mesh]:
    """Run an example with its files in force everywhere."""
    with Mesh(read_deployment(name), options, far_link) as mesh:
        mesh.start()
        mesh.push_example()
        mesh.wait_in_force(1)
        mesh.wait_serving()
        yield mesh


def wait_for(
    found: collections.abc.Callable[[], _T | None],
    what: str,
    limit_s: float = WAIT_S,
) -> _T:
    """Poll until something is found, and return it.

    :raises TimeoutError: when it isn't found within the limit.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        value = found()
        if value:
            return value
        time.sleep(_POLL_S)
    raise TimeoutError(f"waited {limit_s} s for {what}")
