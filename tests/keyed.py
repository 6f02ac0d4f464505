"""Daemons' entries and guards in this process, with targets that record."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import socket
import socketserver
import threading
import typing

import msgspec

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad import membership
from chiveroad import metrics
from chiveroad import platform
from chiveroad import presence
from chiveroad import serving
from chiveroad import settings
from chiveroad import traffic
from standins import memory_store
from standins import mesh
from tests import fakes

TARGET_HOST: typing.Final = "127.0.0.2"
"""The address of targets, which differs from that of callers."""

KEY: typing.Final = "hhacruddedev3nax7u27"
OTHER_KEY: typing.Final = "zz9pluralzalpha0042x"

ROUTE: typing.Final = {
    "host": "h",
    "kind": "idempotent",
    "timeout_s": 4.0,
    "target_latency_s": 1.0,
    "priority": 3,
    "service": "glade",
    "max_attempts": 3,
}
TENANTS: typing.Final = (
    {"name": "tusk", "api_keys": [KEY], "priority": 0},
    {"name": "horn", "api_keys": [OTHER_KEY], "priority": None},
)


def specification(
    tenants: collections.abc.Sequence[object] = TENANTS, number: int = 7
) -> bytes:
    """Return a configuration of the platform."""
    named: dict[str, dict[str, object]] = {
        "open": {"path_prefix": "/open", "allow_anonymous": True},
        "keyed": {"path_prefix": "/"},
        "once": {"path_prefix": "/once", "kind": "single", "max_attempts": 3},
    }
    routes = [{"name": n, **ROUTE, **more} for n, more in named.items()]
    body: dict[str, object] = {
        "version": f"r{number}",
        "routes": routes,
        "services": [{"name": "glade"}],
    }
    if tenants:
        body["tenants"] = tenants
    return msgspec.json.encode(body)


class Target:
    """A target that records the heads and bodies of its requests.

    ``answer`` is what each request gets, with its id filled in.  A target
    that answers early reads no body: what comes instead is in ``rest``, and
    ``ended`` is set once the connection is closed.
    """

    def __init__(self) -> None:
        self.heads: list[str] = []
        self.bodies: list[bytes] = []
        self.answer = "200 OK"
        self.extra = ""
        self.answers_early = False
        self.rest = b""
        self.ended = threading.Event()
        outer = self

        class _Handler(socketserver.StreamRequestHandler):
            def handle(self) -> None:
                while head := outer.read_head(self.rfile):
                    request_id = header_of(head, "x-request-id")[0]
                    self.wfile.write(
                        f"HTTP/1.1 {outer.answer}\r\n"
                        f"X-Request-Id: {request_id}\r\n"
                        f"X-Server-Stamp: s\r\n{outer.extra}"
                        "Content-Length: 2\r\n\r\nok".encode()
                    )
                    if outer.answers_early:
                        outer.rest = self.rfile.read()
                outer.ended.set()

        class _Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

        self._server = _Server((TARGET_HOST, 0), _Handler)
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        self.address = f"{TARGET_HOST}:{self._server.server_address[1]}"

    def read_head(self, rfile: typing.Any) -> str:
        """Read and record a request; return its head."""
        lines = []
        while (line := rfile.readline()) not in (b"", b"\r\n"):
            lines.append(line.decode("latin-1"))
        if not lines:
            return ""
        head = "".join(lines)
        self.heads.append(head)
        if self.answers_early:
            return head
        length = header_of(head, "content-length")
        body = rfile.read(int(length[0]) if length else 0)
        if header_of(head, "transfer-encoding"):
            while size := int(rfile.readline() or b"0", 16):
                body += rfile.read(size)
                rfile.readline()
            rfile.readline()
        self.bodies.append(body)
        return head

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


def header_of(head: str, name: str) -> list[str]:
    """Return all values of a header in a head."""
    found = []
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            found.append(value.strip())
    return found


@dataclasses.dataclass
class Daemon:
    """The traffic part of a daemon."""

    name: str
    target: Target
    applied: control.Applied
    view: membership.View
    entry: traffic.Entry
    guard: traffic.Guard
    member: membership.Member
    entry_address: str
    servers: list[serving.Server]


_PORTS: typing.Final = mesh.Ports()


def start(
    name: str, fail_closed: bool = True, answer: str = "200 OK"
) -> Daemon:
    """Start the entry, the guard and the target of a daemon."""
    target = Target()
    target.answer = answer
    entry_address, guard_address = _PORTS.take(), _PORTS.take()
    options = fakes.options(name, entry=entry_address, guard=guard_address)
    options = msgspec.structs.replace(
        options,
        target=msgspec.structs.replace(options.target, address=target.address),
        customers=settings.Customers(fail_closed=fail_closed),
    )
    local = presence.LocalTarget(target.address)
    local.set_status(
        presence.TargetStatus(
            f"i-{name}", "glade", presence.Phase.READY, slots=6
        )
    )
    changed = threading.Condition()
    applied = control.Applied(changed, confirmed_only=False)
    view = membership.View(changed)
    recorder = metrics.Recorder()
    protocol = platform.Protocol()
    claims = traffic.Claims(memory_store.MemoryStore(), name)
    guard = traffic.Guard(options, applied, claims, recorder, protocol, local)
    entry = traffic.Entry(options, applied, view, guard, recorder, protocol)
    servers = [
        serving.Server(guard_address, guard, 8),
        serving.Server(entry_address, entry, 8, fractional_retry=True),
    ]
    for server in servers:
        server.open()
    member = membership.Member(
        name,
        "glade",
        "d",
        "r",
        1,
        1,
        membership.State.READY,
        entry_address,
        guard_address,
        "127.0.0.1:1",
        target_id=f"i-{name}",
        slots=6,
    )
    return Daemon(
        name,
        target,
        applied,
        view,
        entry,
        guard,
        member,
        entry_address,
        servers,
    )


def offer(daemon: Daemon, spec: bytes) -> None:
    """Put a configuration in force, confirmed as of now."""
    version = platform.Protocol().read_version(msgspec.Raw(spec))
    digest = config.digest(version.items)
    daemon.applied.offer(version.number, digest, version.items)
    daemon.applied.confirm(clock.now_s())


@contextlib.contextmanager
def daemons(
    names: str = "ab", fail_closed: bool = True
) -> collections.abc.Iterator[list[Daemon]]:
    """Yield daemons that know the customers, but no members yet."""
    running = [start(name, fail_closed) for name in names]
    try:
        for each in running:
            offer(each, specification())
        yield running
    finally:
        for each in running:
            each.target.close()
            for server in each.servers:
                server.stop()


def head_of(
    path: str = "/x",
    headers: collections.abc.Sequence[str] = (),
    method: str = "GET",
) -> bytes:
    """Return a request's head that closes the connection."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", "Connection: close"]
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1")


def ask(address: str, sent: bytes, source: str = "127.0.0.1") -> str:
    """Send a request, and return the answer up to the connection's end."""
    host, _, port = address.rpartition(":")
    with socket.create_connection(
        (host, int(port)), 5, source_address=(source, 0)
    ) as sock:
        sock.sendall(sent)
        received = b"".join(iter(lambda: sock.recv(65_536), b""))
    return received.decode("latin-1")


def status_of(answer: str) -> int:
    """Return the status of an answer."""
    return int(answer.split(" ", 2)[1])
