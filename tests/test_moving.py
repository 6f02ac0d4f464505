"""Requests that move on from a busy target, through real sockets."""

from __future__ import annotations

import collections
import contextlib
import http.client
import threading
import time
import typing

import msgspec

from chiveroad import config
from chiveroad import control
from chiveroad import membership
from chiveroad import metrics
from chiveroad import presence
from chiveroad import serving
from chiveroad.traffic import _claims
from chiveroad.traffic import _entry
from chiveroad.traffic import _guard
from chiveroad import wire
from standins import mesh
from tests import fakes

_PORTS = mesh.Ports()


class _Target(serving.Handler):
    """Counts what it runs; ``/hold`` ends once ``proceed`` is set."""

    def __init__(self) -> None:
        self.proceed = threading.Event()
        self.runs: collections.Counter[str] = collections.Counter()

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        self.runs[request.path] += 1
        if request.path == "/hold":
            self.proceed.wait(10)
        request.answer(200, [], b"done")


def _configured() -> control.Applied:
    kind = config.Kind(1, False, 4_000, 500, 1)
    service = config.Service("glade", "t", 1, 10, 10, ("*",), {"k": kind})
    route = config.Route("r", "t", "/", ("GET",), "glade", "k")
    items = dict([config.service_item(service), config.route_item(route)])
    applied = control.Applied(threading.Condition(), confirmed_only=False)
    applied.offer(1, config.digest(items), items)
    return applied


class _Mesh:
    """One entry, and two targets with one slot each; the first is nearer."""

    def __init__(self, stack: contextlib.ExitStack, moves: bool) -> None:
        self._stack = stack
        self.recorder = metrics.Recorder()
        self.targets = [_Target(), _Target()]
        applied = _configured()
        view = membership.View(threading.Condition())
        for name, domain, handler in zip("ab", "de", self.targets):
            target = self._listen(handler)
            local = presence.LocalTarget(target)
            ready = presence.TargetStatus(name, "glade", presence.Phase.READY)
            local.set_status(ready)
            options = fakes.options(name)
            guard = _guard.Guard(
                msgspec.structs.replace(
                    options,
                    target=msgspec.structs.replace(
                        options.target, address=target
                    ),
                ),
                applied,
                typing.cast(_claims.Claims, None),
                self.recorder,
                wire.Native(),
                local,
            )
            member = fakes.member(name, domain=domain)
            address = self._listen(guard)
            view.merge([msgspec.structs.replace(member, guard=address)])
        options = fakes.options("e")
        traffic = msgspec.structs.replace(options.traffic, move_waiting=moves)
        entry = _entry.Entry(
            msgspec.structs.replace(options, traffic=traffic),
            applied,
            view,
            typing.cast(_guard.Guard, None),
            self.recorder,
            wire.Native(),
        )
        self._entry = self._listen(entry)

    def _listen(self, handler: serving.Handler) -> str:
        address = _PORTS.take()
        server = serving.Server(address, handler, threads=4)
        server.open()
        self._stack.callback(server.stop)
        return address

    def get(self, path: str) -> int:
        """Send a request through the entry; return the answer's status."""
        connection = http.client.HTTPConnection(self._entry, timeout=10)
        with contextlib.closing(connection):
            connection.request("GET", path)
            return connection.getresponse().status

    def hold(self, count: int) -> list[threading.Thread]:
        """Occupy the slots of that many targets."""
        threads = []
        for held in range(1, count + 1):
            thread = threading.Thread(target=self.get, args=("/hold",))
            thread.start()
            threads.append(thread)
            while sum(each.runs["/hold"] for each in self.targets) < held:
                time.sleep(0.01)
        return threads

    def moved(self) -> tuple[int, int]:
        """Return how often the entry moved on, and guards refused."""
        counts = self.recorder.counts()
        return (
            counts.get(("chiveroad.entry.moved", ""), 0),
            counts.get(("chiveroad.guard.impatient", ""), 0),
        )


# Guards against a request that waits at a busy target while another one is
# idle, runs twice as it moves, or can't move as its kind isn't idempotent.
def test_request_moves_on_from_a_target_that_is_busy() -> None:
    with contextlib.ExitStack() as stack:
        running = _Mesh(stack, moves=True)
        near, far = running.targets
        held = running.hold(1)
        assert near.runs["/hold"] == 1
        for _ in range(3):
            assert running.get("/page") == 200
        assert (near.runs["/page"], far.runs["/page"]) == (0, 3)
        moved, refused = running.moved()
        assert 1 <= moved == refused <= 3
        near.proceed.set()
        for thread in held:
            thread.join(10)


# Guards against a request that no guard lets wait, as both are busy.
def test_request_waits_at_last_if_all_targets_are_busy() -> None:
    with contextlib.ExitStack() as stack:
        running = _Mesh(stack, moves=True)
        held = running.hold(2)
        statuses: list[int] = []
        waiting = threading.Thread(
            target=lambda: statuses.append(running.get("/page"))
        )
        waiting.start()
        time.sleep(0.3)
        for each in running.targets:
            each.proceed.set()
        for thread in (*held, waiting):
            thread.join(10)
        assert statuses == [200]
        assert sum(each.runs["/page"] for each in running.targets) == 1
