"""Daemons as processes whose targets give broken answers, and a client."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import itertools
import pathlib
import socket
import subprocess
import threading
import typing

import msgspec

from chiveroad import store
from standins import broken_answers
from standins import mesh
from standins import platform_store
from tests import test_key_processes

DEADLINE_MS: typing.Final = 5_000
MAX_BODY_BYTES: typing.Final = 1024 * 1024
IDS: typing.Final = itertools.count()
"""The numbers of the requests, which have different ids in all tests."""

INSTANCES: typing.Final = {
    "a": "cave",
    "b": "glade",
    "c": "grove",
    "d": "grove",
}
"""The services of the instances.  The targets of ``grove`` give a request one
broken answer at most; all others give the same answer each time."""


def _specification() -> bytes:
    """Return a configuration of the platform with routes of both kinds."""
    named = {
        "read": ("/read/", "idempotent", "glade"),
        "once": ("/once/", "non_idempotent", "glade"),
        "pair": ("/pair/", "idempotent", "grove"),
    }
    routes = [
        {
            "name": name,
            "host": "h",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_s": 1.2 * DEADLINE_MS / 1000,
            "target_latency_s": 1.0,
            "priority": 1,
            "service": service,
            "max_attempts": 3,
        }
        for name, (prefix, kind, service) in named.items()
    ]
    services = [{"name": name} for name in ("cave", "glade", "grove")]
    body = {"version": "r7", "routes": routes, "services": services}
    return msgspec.json.encode(body)


FAILURES: typing.Final = (OSError, ValueError, LookupError, AssertionError)


@dataclasses.dataclass
class Reply:
    """An answer as a client reads it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """A client that keeps its connection open for all its requests.

    ``OSError``, ``ValueError``, ``LookupError`` and ``AssertionError``, listed
    in ``FAILURES``, say that what it received isn't one answer.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sock: socket.socket | None = None

    def ask(
        self,
        path: str,
        request_id: str,
        method: str = "GET",
        body: bytes = b"",
    ) -> Reply:
        """Send a request, and read one answer and nothing after it."""
        if self._sock is None:
            self._sock = socket.create_connection(self._address, 10)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self._sock.sendall(head.encode() + b"\r\n" + body)
        received = self._sock.makefile("rb")
        status = int(received.readline().split(b" ")[1])
        headers: dict[str, str] = {}
        while (line := received.readline()) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            lower, value = name.lower(), value.strip(" \t\r\n")
            assert lower != "content-length" or lower not in headers, line
            joined = [headers[lower], value] if lower in headers else [value]
            headers[lower] = ", ".join(joined)
        bodiless = method == "HEAD" or status in (204, 304)
        size = 0 if bodiless else int(headers["content-length"])
        assert size < MAX_BODY_BYTES, headers
        found = Reply(status, headers, received.read(size))
        self._sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            assert self._sock.recv(1) == b"", "bytes after the answer"
        self._sock.settimeout(10)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return found

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


@dataclasses.dataclass
class Fleet:
    """Daemons as processes; the targets of each service are alike.

    ``arrivals`` has the requests that reached the targets of a service, and
    ``named`` the answers that the targets give.
    """

    entries: dict[str, str]
    controls: dict[str, str]
    arrivals: dict[str, broken_answers.Arrivals]
    named: dict[str, bytes] = dataclasses.field(repr=False)
    folder: pathlib.Path
    processes: list["subprocess.Popen[bytes]"]

    def client(self, name: str) -> Client:
        """Return a client of a daemon's entry."""
        return Client(self.entries[name])


@contextlib.contextmanager
def running(
    folder: pathlib.Path, named: dict[str, bytes]
) -> collections.abc.Iterator[Fleet]:
    """Run a daemon of each instance, with targets that give some answers."""
    server = platform_store.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    platform = f"127.0.0.1:{server.server_address[1]}"
    spec = msgspec.Raw(_specification())
    store.overwrite(server.api.store, store.Kind.ACCEPTED, "main", spec)
    arrivals = {
        service: broken_answers.Arrivals(broken_once=service == "grove")
        for service in INSTANCES.values()
    }
    ports = mesh.Ports()
    fleet = Fleet({}, {}, arrivals, named, folder, [])
    with contextlib.ExitStack() as stack:
        stack.callback(ports.close)
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        for name, service in INSTANCES.items():
            target = broken_answers.Target(named, arrivals[service])
            stack.callback(target.close)
            text, entry, control = test_key_processes._settings(
                name, ports, target.address, platform
            )
            text = text.replace('service = "glade"', f'service = "{service}"')
            text += "[retries]\nratio = 1.0\nslack = 1e6\n"
            fleet.entries[name], fleet.controls[name] = entry, control
            settings = folder / f"{name}.toml"
            settings.write_text(text)
            process = test_key_processes._start(
                settings, folder / f"{name}.log"
            )
            fleet.processes.append(process)
            stack.callback(test_key_processes._stop, process)
        # A request is served in spite of a broken answer once its entry
        # knows both targets of the service.
        for name, path in itertools.product(
            "ab", ("/read/whole/keep", "/pair/broken/keep")
        ):
            mesh.wait_for(lambda: _serves(fleet, name, path) or None, name)
        yield fleet


def _serves(fleet: Fleet, name: str, path: str) -> bool:
    client = fleet.client(name)
    try:
        reply = client.ask(path, f"wait-{next(IDS)}")
        return reply.status == 200
    except FAILURES:
        return False
    finally:
        client.close()
