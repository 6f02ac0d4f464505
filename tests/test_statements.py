"""What a target states in its answers: a rate limit, and that it leaves."""

from __future__ import annotations

import collections.abc
import time
import typing

import pytest

from standins import caller
from standins import mesh
from standins import statements
from standins import target

DEPLOYMENT: typing.Final = mesh.Deployment(
    "woodland-circle",
    "east-mids",
    {"east-mids": ["sherwood", "charnwood"]},
    {"glade": 3, "hollow": 1, "bramble": 1},
)
MIX: typing.Final = (
    caller.RequestSpec("GET", "/sessions", 4),
    caller.RequestSpec("GET", "/kit-lists", 1),
)
REQUESTS_PER_S: typing.Final = 120.0
LIMIT: typing.Final = "8.5"
STATED: typing.Final = "glade-1"
"""The instance whose target states a limit or a leave."""

MIN_SHARE_SERVED: typing.Final = 0.97
"""The other targets of the service have room for all requests."""

LOAD_S: typing.Final = 9.0
"""How long the load goes on once the target states a limit."""

MIN_SHARE_USED: typing.Final = 0.5
"""The share of what the limit allows that the fastest target has to get."""

Event = collections.abc.Callable[[mesh.Mesh], None]


@pytest.fixture
def running_mesh() -> collections.abc.Iterator[mesh.Mesh]:
    """Yield a running deployment."""
    with mesh.Mesh(DEPLOYMENT, "[traffic]\nleave_after_ms = 500\n") as started:
        started.start()
        started.push_example()
        started.wait_in_force(1)
        started.wait_serving()
        yield started


def restart_daemon(running_mesh: mesh.Mesh) -> None:
    """Kill the daemon beside the target, and start it again."""
    running_mesh.kill(STATED)
    running_mesh.start_daemon(STATED)


def nothing(running_mesh: mesh.Mesh) -> None:
    """Change nothing."""


def run_load(
    running_mesh: mesh.Mesh,
    mode: target.Mode,
    event: Event,
    before_s: float,
    after_s: float,
) -> list[caller.Result]:
    """Generate load while a target states something; return the results.

    :param before_s: how long the target states it before the event.
    :param after_s: how long the load goes on after the event.
    """
    entries = [i.entry for i in running_mesh.instances.values()]
    load = caller.LoadGenerator(entries, MIX, REQUESTS_PER_S, 20)
    for name in ("glade-2", "glade-3"):
        # The target that states something is the fastest one.
        running_mesh.set_mode(name, target.Mode(service_ms=20.0))
    load.start()
    time.sleep(1.0)
    running_mesh.set_mode(STATED, mode)
    time.sleep(before_s)
    event(running_mesh)
    time.sleep(after_s)
    return [result for _, result in load.stop()]


def share_served(
    running_mesh: mesh.Mesh, results: list[caller.Result]
) -> float:
    """Return the share of served requests, at entries without an event."""
    own = running_mesh.instances[STATED].entry
    others = [result for result in results if result.entry != own]
    return sum(result.status == 200 for result in others) / len(others)


# Guards against sending a target more requests than the limit that it states.
@pytest.mark.parametrize("event", [nothing, restart_daemon])
def test_target_gets_no_more_than_its_stated_rate_limit(
    running_mesh: mesh.Mesh, event: Event
) -> None:
    mode = target.Mode(rate_limit=LIMIT)
    results = run_load(running_mesh, mode, event, 4.0, LOAD_S - 4.0)
    arrivals = running_mesh.arrivals(STATED)
    assert statements.over_limit(arrivals) == []
    assert share_served(running_mesh, results) >= MIN_SHARE_SERVED
    used = sum(bool(a.rate_limit) for a in arrivals)
    assert used >= MIN_SHARE_USED * float(LIMIT) * LOAD_S


# Guards against sending requests to a target that has stated that it leaves.
@pytest.mark.parametrize("event", [nothing, restart_daemon])
def test_no_request_reaches_a_target_that_has_stated_that_it_leaves(
    running_mesh: mesh.Mesh, event: Event
) -> None:
    mode = target.Mode(leaving=True)
    results = run_load(running_mesh, mode, event, 1.0, 5.0)
    sent_s = {
        result.id: result.ended_s - result.took_ms / 1000 for result in results
    }
    arrivals = running_mesh.arrivals(STATED)
    assert any(arrival.leaving for arrival in arrivals)
    assert statements.after_leaving(arrivals, sent_s) == []
    assert share_served(running_mesh, results) >= MIN_SHARE_SERVED
