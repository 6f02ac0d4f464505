"""Tests of planned stops whose limit is before the requests' deadlines."""

from __future__ import annotations

import collections.abc
import concurrent.futures
import contextlib
import socket
import threading
import time
import typing

import pytest

from standins import caller
from standins import mesh
from standins import target

TWO_INSTANCES: typing.Final = mesh.Deployment(
    "pair", "r", {"r": ["a"]}, {"glade": 2}
)
STOP_SETTINGS: typing.Final = """
[traffic]
drain_limit_ms = 2000
leave_after_ms = 800
"""
LEAVE_AFTER_S: typing.Final = 0.8
LATE_ID: typing.Final = "late"
SERVICE_FILE: typing.Final = """
team = "schools"
[service.glade]
slots = 1
queue_length = 8
open_to = ["*"]
[service.glade.kind.read]
weight = 2
idempotent = true
timeout_ms = 8000
[service.glade.kind.write]
weight = 2
idempotent = false
timeout_ms = 8000
[route.read]
path = "/read"
service = "glade"
kind = "read"
[route.write]
path = "/write"
methods = ["POST"]
service = "glade"
kind = "write"
"""


@contextlib.contextmanager
def _running() -> collections.abc.Iterator[mesh.Mesh]:
    with mesh.Mesh(TWO_INSTANCES, STOP_SETTINGS) as running_mesh:
        running_mesh.start()
        running_mesh.push_file("10-glade.toml", SERVICE_FILE)
        running_mesh.wait_in_force(1)
        for name in running_mesh.instances:
            running_mesh.wait_for_target(name)
        yield running_mesh


@pytest.mark.parametrize(
    "method, path", [("GET", "/read"), ("POST", "/write")]
)
def test_requests_due_after_the_drain_limit_are_answered(
    method: str, path: str
) -> None:
    """Requests that outlast the limit of a stop are answered with a refusal.

    At the limit the process exits; a caller without an answer by then would
    see its connection closed.
    """
    with (
        _running() as running_mesh,
        concurrent.futures.ThreadPoolExecutor(8) as pool,
    ):
        for name in running_mesh.instances:
            running_mesh.set_mode(name, target.Mode(service_ms=6_000.0))

        def send_request() -> caller.Result:
            return running_mesh.caller("glade-1").call(method, path)

        sent_before = [pool.submit(send_request) for _ in range(4)]
        time.sleep(0.5)
        stopping = running_mesh.ask_to_stop("glade-1")
        time.sleep(0.4)
        sent_during = [pool.submit(send_request) for _ in range(2)]
        results = [future.result() for future in [*sent_before, *sent_during]]
        stopping.wait(10)
    assert [r.error for r in results] == [""] * len(results)
    assert {r.status for r in results} <= {503, 504}
    assert all(r.whole for r in results)


def _send_in_two_parts(
    running_mesh: mesh.Mesh,
    timeout_ms: int,
    pause: collections.abc.Callable[[], object],
) -> bytes:
    """Send a POST with a pause within its head, and return the answer."""
    host, _, port = running_mesh.instances["glade-1"].entry.rpartition(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.sendall(b"POST /write HTTP/1.1\r\nHost: h\r\n")
        pause()
        sock.sendall(
            b"X-Request-Id: %b\r\nChiveroad-Timeout-Ms: %d\r\n"
            b"Content-Length: 0\r\n\r\n" % (LATE_ID.encode(), timeout_ms)
        )
        return sock.recv(65_536)


# Guards against requests that arrive late in a planned stop, are passed on,
# and are broken off when it ends, though they may not be repeated.
@pytest.mark.parametrize(
    ("service_ms", "timeout_ms", "status", "runs"),
    [(1_500.0, 3_000, 503, 0), (100.0, 600, 200, 1)],
)
def test_request_that_may_outlast_the_stop_is_refused_before_it_runs(
    service_ms: float, timeout_ms: int, status: int, runs: int
) -> None:
    with (
        _running() as running_mesh,
        concurrent.futures.ThreadPoolExecutor(1) as pool,
    ):
        stopped_listening = threading.Event()
        for name in running_mesh.instances:
            running_mesh.set_mode(name, target.Mode(service_ms=service_ms))
        sending = pool.submit(
            _send_in_two_parts,
            running_mesh,
            timeout_ms,
            lambda: stopped_listening.wait(10),
        )
        time.sleep(0.3)
        stopping = running_mesh.ask_to_stop("glade-1")
        time.sleep(LEAVE_AFTER_S + 0.2)
        stopped_listening.set()
        answer = sending.result()
        stopping.wait(10)
        counts = running_mesh.run_counts()
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert (b"Chiveroad-Ran: no" in answer) is (not runs)
    assert counts.get(LATE_ID, 0) == runs
