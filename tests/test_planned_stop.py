"""Tests of planned stops whose limit is before the requests' deadlines."""

from __future__ import annotations

import collections.abc
import concurrent.futures
import contextlib
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
