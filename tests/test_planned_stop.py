"""Planned stops that end before the requests in hand are due."""

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

PAIR: typing.Final = mesh.Deployment("pair", "r", {"r": ["a"]}, {"glade": 2})
STOPS: typing.Final = """
[traffic]
drain_limit_ms = 2000
leave_after_ms = 800
"""
KINDS: typing.Final = """
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
    with mesh.Mesh(PAIR, STOPS) as on:
        on.start()
        on.push_file("10-glade.toml", KINDS)
        on.wait_in_force(1)
        for name in on.instances:
            on.wait_for_target(name)
        yield on


# Guards against callers who are cut, unanswered, at the limit of a stop.
@pytest.mark.parametrize(
    "method, path", [("GET", "/read"), ("POST", "/write")]
)
def test_whoever_is_due_after_the_limit_of_a_stop_is_answered(
    method: str, path: str
) -> None:
    with _running() as on, concurrent.futures.ThreadPoolExecutor(8) as pool:
        for name in on.instances:
            on.set_mode(name, target.Mode(service_ms=6_000.0))

        def ask() -> caller.Result:
            return on.caller("glade-1").call(method, path)

        before = [pool.submit(ask) for _ in range(4)]
        time.sleep(0.5)
        stopping = on.ask_to_stop("glade-1")
        time.sleep(0.4)
        during = [pool.submit(ask) for _ in range(2)]
        results = [each.result() for each in [*before, *during]]
        stopping.wait(10)
    assert [r.error for r in results] == [""] * len(results)
    assert {r.status for r in results} <= {503, 504}
    assert all(r.whole for r in results)
