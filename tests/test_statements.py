"""What a target states in its answers: a rate limit, and that it leaves."""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

import pytest

from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import membership
from chiveroad import metrics
from chiveroad import platform
from chiveroad import presence
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _claims
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _targets
from chiveroad import wire
from standins import caller
from standins import mesh
from standins import statements
from standins import target
from tests import fakes
from tests import test_presence

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


def freeze_daemon(running_mesh: mesh.Mesh) -> None:
    """Pause the daemon beside the target, and let it go on."""
    running_mesh.freeze(STATED)
    time.sleep(2.0)
    running_mesh.resume(STATED)


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
@pytest.mark.parametrize("event", [nothing, restart_daemon, freeze_daemon])
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


class _GuardAnswer:
    """The headers of a guard's answer."""

    def __init__(self, **headers: str) -> None:
        self._headers = headers

    def header(self, name: str, default: str = "") -> str:
        """Return a header, named without its prefix."""
        short = name.removeprefix(_call.PREFIX).lower().replace("-", "_")
        return self._headers.get(short, default)


class _EntryView:
    """An entry's view of the targets ``a`` and ``b`` of one service."""

    def __init__(self) -> None:
        changed = threading.Condition()
        applied = control.Applied(changed, confirmed_only=False)
        service = config.Service("glade", "t", 0, 10, 10, ("*",), {})
        items = dict([config.service_item(service)])
        applied.offer(1, config.digest(items), items)
        self.view = membership.View(changed)
        self.targets = _targets.Targets(fakes.options("e"), applied, self.view)
        for name in "ab":
            self.merge(fakes.member(name))

    def merge(self, member: membership.Member) -> None:
        """Merge the record of a member."""
        self.view.merge([member])

    def learn(self, name: str, **headers: str) -> None:
        """Learn from an answer of a guard."""
        member = self.view.get(name)
        assert member is not None
        answer = typing.cast(_exchange.Answer, _GuardAnswer(**headers))
        stats = self.targets.stats(member)
        self.targets.learn_state(member, stats, answer, "k")

    def limit_of(self, name: str) -> float:
        """Return the rate limit of a target, as the entry knows it."""
        member = self.view.get(name)
        assert member is not None
        return self.targets.stats(member).rate_limit_per_s

    def picks(self) -> set[str]:
        """Return the names of the targets that are picked."""
        profile = _balancer.RequestProfile()
        return {
            self.targets.pick("glade", profile, ())[0].instance
            for _ in range(50)
        }


# Guards against losing a target's limit at a restart of the daemon beside it.
def test_entry_keeps_a_limit_while_the_guard_does_not_know_it() -> None:
    entry = _EntryView()
    entry.learn("a", load="0 8 5", rate_limit="8.500")
    entry.merge(fakes.member("a", incarnation=2))
    assert entry.limit_of("a") == 8.5
    entry.learn("a", load="0 8 5", code="4018")
    assert entry.limit_of("a") == 8.5
    entry.learn("a", load="0 8 5")
    assert entry.limit_of("a") == wire.UNLIMITED
    assert entry.limit_of("b") == wire.UNLIMITED


# Guards against picking a target that leaves, as its restarted daemon
# doesn't know.
def test_entry_leaves_out_the_incarnation_of_a_target_that_leaves() -> None:
    entry = _EntryView()
    assert entry.picks() == {"a", "b"}
    entry.learn("a", load="0 8 5", leaving="@0")
    entry.merge(fakes.member("a", incarnation=2))
    entry.targets.tick()
    assert entry.picks() == {"b"}
    entry.learn("b", load="0 8 5", leaving="@0")
    with pytest.raises(errors.NoTarget):
        entry.picks()


def test_request_is_refused_at_once_when_all_rate_limits_are_used_up() -> None:
    entry = _EntryView()
    refusal = errors.RateLimited("used up", 400)
    for name in "ab":
        assert name in entry.picks()
        member = entry.view.get(name)
        assert member is not None
        _targets.learn_refusal(entry.targets.stats(member), refusal)
    with pytest.raises(errors.NoTarget) as caught:
        entry.picks()
    assert 300 < caught.value.retry_after_ms <= 400


# Guards against an answer that may be anybody's and lifts a target's limit.
def test_answer_without_the_id_of_its_request_states_nothing() -> None:
    local = presence.LocalTarget("127.0.0.1:4")
    ready = presence.TargetStatus("i-7", "glade", presence.Phase.READY)
    local.set_status(ready)
    guard = _guard.Guard(
        fakes.options(),
        control.Applied(threading.Condition(), confirmed_only=False),
        typing.cast(_claims.Claims, None),
        metrics.Recorder(),
        platform.Protocol(),
        local,
    )

    def learn(request_id: str, per_s: float, leaving: bool = False) -> None:
        terms = wire.AnswerTerms(
            request_id, rate_limit_per_s=per_s, leaving=leaving
        )
        guard._learn("q", terms, ready, time.monotonic())

    learn("q", 8.5)
    assert guard.rate_limit_per_s == 8.5
    learn("", wire.UNLIMITED, leaving=True)
    assert guard.rate_limit_per_s == 8.5
    assert test_presence.phase_of(local) is presence.Phase.READY
    learn("q", wire.UNLIMITED, leaving=True)
    assert guard.rate_limit_per_s == wire.UNLIMITED
    assert test_presence.phase_of(local) is presence.Phase.DRAINING
