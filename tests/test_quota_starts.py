"""Quotas while daemons start: nobody may know what was used before."""

from __future__ import annotations

import functools
import itertools
import typing

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from chiveroad.quotas import _account
from chiveroad.quotas import _limits
from chiveroad.quotas import _links
from chiveroad.quotas import _local
from chiveroad.quotas import _messages
from chiveroad.quotas import _meter
from chiveroad.quotas import _placement
from tests import quota_mesh
from tests import test_quotas

CUSTOMER: typing.Final = test_quotas.CUSTOMER
START_S: typing.Final = test_quotas.START_S
DOWN_S: typing.Final = 0.5
HOT: typing.Final = 7.5 / 1.6
"""The load of a customer that sends 7.5 times its usual, times its rate."""

BELOW: typing.Final = 1 / 1.6


def even_load(
    mesh: quota_mesh.Mesh, per_s: float, from_s: float, until_s: float
) -> None:
    """Send a customer's requests in even steps to all entries in turn."""
    count = int(per_s * (until_s - from_s))
    for number, name in zip(range(count), itertools.cycle(mesh.names)):
        send = functools.partial(mesh.send, name, CUSTOMER)
        mesh.at(from_s + number / per_s, send)


def restarts(
    mesh: quota_mesh.Mesh, pattern: str
) -> list[tuple[float, list[str]]]:
    """Return the times and names of daemons that end."""
    servers = _placement.servers(mesh.view.all())
    order = [member.instance for member in _placement.order(CUSTOMER, servers)]
    names = order + [name for name in mesh.names if name not in order]
    first, second, third, *_ = names
    return {
        "all": [(1.0, names)],
        "all at once, early": [(0.3, names)],
        "all twice": [(1.0, names), (2.6, names)],
        "server": [(1.0, [first])],
        "both servers": [(1.0, [first, second])],
        "server and an entry": [(1.0, [first, third])],
        "half": [(1.0, names[::2])],
        "in turn": [
            (1.0 + 0.8 * number, [name])
            for number, name in enumerate(names[:4])
        ],
    }[pattern]


PATTERNS: typing.Final = (
    "all",
    "all at once, early",
    "all twice",
    "server",
    "both servers",
    "server and an entry",
    "half",
    "in turn",
)


def play(
    entries: int, rate_per_s: float, burst: float, pattern: str, load: float
) -> quota_mesh.Mesh:
    """Play restarts one second after the load has risen to ``load``."""
    mesh = quota_mesh.Mesh(entries, 0.015)
    mesh.limit(CUSTOMER, rate_per_s, burst)
    jump_s = START_S + 5
    even_load(mesh, BELOW * rate_per_s, START_S, jump_s)
    even_load(mesh, load * rate_per_s, jump_s, jump_s + 9)
    for at_s, names in restarts(mesh, pattern):
        mesh.restart_daemons(names, jump_s + at_s, DOWN_S)
    mesh.run(jump_s + 10)
    return mesh


# Guards against a bucket that starts full, whatever its customer was served a
# moment before, and against two servers that both grant the whole limit, as
# entries pass over one that has started again.
@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize(
    ("rate_per_s", "burst"),
    [(2, 2), (20, 20), (20, 200), (100, 100), (100, 200), (400, 400)],
)
def test_bound_holds_while_daemons_restart(
    rate_per_s: float, burst: float, pattern: str
) -> None:
    mesh = play(4, rate_per_s, burst, pattern, HOT)
    permitted = test_quotas.permitted(rate_per_s, burst)
    assert mesh.worst_window(CUSTOMER) <= permitted


# Guards against two servers that both grant the whole limit, as the first one
# serves later than the daemons that have started with it.
@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(20, 20), (100, 100), (100, 200), (400, 400)]
)
def test_bound_holds_while_the_first_server_starts_slowly(
    rate_per_s: float, burst: float
) -> None:
    mesh = quota_mesh.Mesh(4, 0.015)
    mesh.limit(CUSTOMER, rate_per_s, burst)
    jump_s = START_S + 5
    even_load(mesh, BELOW * rate_per_s, START_S, jump_s)
    even_load(mesh, HOT * rate_per_s, jump_s, jump_s + 9)
    [(_, [server])] = restarts(mesh, "server")
    others = [name for name in mesh.names if name != server]
    mesh.restart_daemons(others, jump_s + 1, 0.2, 0.2)
    mesh.restart_daemons([server], jump_s + 1, 0.2, 0.8)
    mesh.run(jump_s + 10)
    permitted = test_quotas.permitted(rate_per_s, burst)
    assert mesh.worst_window(CUSTOMER) <= permitted


# Guards against the same in a mesh of the size of the deployments.
@pytest.mark.parametrize("pattern", ["all", "all twice", "half", "in turn"])
@pytest.mark.parametrize("rate_per_s", [2, 100, 400])
def test_bound_holds_while_81_daemons_restart(
    rate_per_s: float, pattern: str
) -> None:
    mesh = play(81, rate_per_s, rate_per_s, pattern, HOT)
    permitted = test_quotas.permitted(rate_per_s, rate_per_s)
    assert mesh.worst_window(CUSTOMER) <= permitted


# Guards against a bound that is kept by refusing customers within their limit.
@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("load", [BELOW, 0.9])
@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(2, 2), (20, 200), (100, 100), (100, 200)]
)
def test_customer_below_its_limit_is_not_refused(
    rate_per_s: float, burst: float, load: float, pattern: str
) -> None:
    mesh = play(4, rate_per_s, burst, pattern, load)
    assert not mesh.refused


# Guards against a customer that stays without its burst after a start.
def test_burst_is_whole_a_window_after_a_start() -> None:
    mesh = quota_mesh.Mesh(4, 0.015)
    mesh.limit(CUSTOMER, 2, 100)
    mesh.restart_daemons(mesh.names, START_S, DOWN_S)
    even_load(mesh, 1, START_S + 1, START_S + 7)
    burst_s = START_S + 7
    even_load(mesh, 400, burst_s, burst_s + 0.2)
    mesh.run(burst_s + 3)
    assert not mesh.refused


# Guards against an entry that has started and admits its share of a whole
# burst by itself, again and again.
@pytest.mark.parametrize(("up_s", "most"), [(0.0, 6), (1.0, 32), (60.0, 50)])
def test_entry_without_a_server_admits_what_its_age_allows(
    up_s: float, most: int
) -> None:
    limit = _limits.limit(100, 100, _limits.Terms())
    meter = _meter.Meter(limit, _limits.Terms(), START_S - up_s, False)
    verdicts = [meter.decide_alone(4, START_S) for _ in range(200)]
    admitted = verdicts.count(_meter.Verdict.ADMIT)
    assert 1 <= admitted <= most


# Guards against entries that pass over a server for seconds after it has
# started again, and against those that return to one that still fails.
@pytest.mark.parametrize(
    ("started_s", "failed"), [(9.0, True), (9.9, True), (10.1, False)]
)
def test_server_that_started_since_it_failed_is_asked(
    started_s: float, failed: bool
) -> None:
    mesh = quota_mesh.Mesh(2)
    link = _links.Link(mesh.view.all()[0])
    for _ in range(_links.MIN_FAILURES):
        link.fail(10.0)
    link.note_restart(started_s, 10.3)
    assert link.failed is failed
    assert (link.failed_until_s > 10.3) is failed


# Guards against restarted servers that other servers never hear of, and
# against such reports from entries that have been up for long.
@pytest.mark.parametrize(("up_s", "expected"), [(0.0, 2), (60.0, 0)])
def test_entry_that_has_started_announces_itself_to_all_servers(
    up_s: float, expected: int
) -> None:
    mesh = quota_mesh.Mesh(4)
    mesh.limit(CUSTOMER, 100, 100)
    local = _local.LocalQuotas(
        "e00", 2, mesh.view, _limits.Terms(), START_S - up_s
    )
    customer = mesh.customers[CUSTOMER]
    local.meter_of(customer, START_S)
    batches = []
    while (batch := local.next_report(START_S)) is not None:
        batches.append(batch)
    assert len(batches) == expected
    assert not any(batch.report.uses for batch in batches)


# Guards against an entry that returns to a server and empties the bucket, as
# the server counts what others have used there against the part of one.
def test_returning_entry_costs_no_more_than_it_has_used() -> None:
    limit = _limits.limit(100, 100, test_quotas.TERMS)
    account = _account.Account(limit, test_quotas.TERMS, START_S)

    def report(entry: str, used: int, recent: list[int], now_s: float) -> None:
        situation = _account.Situation(4, 0.0, 0.0, 60.0, 60.0, now_s)
        use = _messages.Use(CUSTOMER, used, share=0.25, recent=recent, rank=1)
        account.report(_messages.Report(entry, 1, 1), use, situation)

    for entry in ("a", "b", "c", "d"):
        report(entry, 25, [25], START_S)
    assert account.level(START_S) == pytest.approx(20.0)
    report("a", 28, [3, 0, 0, 0, 25], START_S + 2)
    assert account.level(START_S + 2) >= limit.burst / 4 - 3


# Guards against entries that pass over a server for seconds since they have
# asked it while its process was starting, before it served.
@pytest.mark.parametrize(
    ("up_ms", "named"), [(400, [("e00", 100)]), (5_000, [])]
)
def test_server_counts_as_started_once_it_serves(
    up_ms: int, named: list[tuple[str, int]]
) -> None:
    mesh = quota_mesh.Mesh(4)
    ledger = mesh.ledgers["e03"]
    started = _messages.Report("e00", 2, 1, up_ms=up_ms)
    ledger.report(started, START_S)
    ledger.report(
        _messages.Report("e00", 2, 2, up_ms=up_ms + 50), START_S + 0.05
    )
    asking = _messages.Report("e01", 1, 1, failed=["e00"], up_ms=5_000)
    assert ledger.report(asking, START_S + 0.1).restarted == named


class StartsMachine(stateful.RuleBasedStateMachine):
    """No window has more than the formula with a term for starts says."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = quota_mesh.Mesh(test_quotas.ENTRIES, 0.015)
        self.limit = _limits.limit(20, 40, test_quotas.TERMS)
        self.mesh.limit(CUSTOMER, 20, 40)
        self.starts_s: list[float] = []

    @stateful.rule(
        entry=st.integers(0, test_quotas.ENTRIES - 1),
        count=st.integers(1, 60),
    )
    def send(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.mesh.send(self.mesh.names[entry], CUSTOMER)

    @stateful.rule(
        per_s=st.sampled_from([1, 10, 200]), span_s=st.sampled_from([0.3, 2])
    )
    def load(self, per_s: float, span_s: float) -> None:
        now_s = self.mesh.now_s
        self.mesh.load(CUSTOMER, per_s, now_s, now_s + span_s)
        self.wait(span_s)

    @stateful.rule(span_s=st.sampled_from([0.01, 0.1, 0.6, 3.0]))
    def wait(self, span_s: float) -> None:
        self.mesh.run(self.mesh.now_s + span_s)

    @stateful.rule(down_s=st.sampled_from([0.05, 0.5, 2.0]))
    def restart_all(self, down_s: float) -> None:
        self.starts_s.append(self.mesh.now_s + down_s)
        self.mesh.restart_daemons(self.mesh.names, self.mesh.now_s, down_s)
        self.wait(down_s)

    @stateful.invariant()
    def window_within_formula(self) -> None:
        now_s = self.mesh.now_s
        from_s = now_s - test_quotas.TERMS.window_s
        times = self.mesh.admitted.get(CUSTOMER, [])
        count = sum(at_s >= from_s for at_s in times)
        starts = sum(at_s >= from_s for at_s in self.starts_s)
        unasked = test_quotas.unasked(self.limit, test_quotas.ENTRIES)
        worst = test_quotas.formula(self.limit, test_quotas.ENTRIES, 0)
        assert count <= worst + starts * (self.limit.start + unasked)


TestStarts = StartsMachine.TestCase
TestStarts.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=30, deadline=None
)


# Guards against a level at a start that exceeds what was possible.
@pytest.mark.parametrize(
    ("known_s", "level"), [(0.0, 20.0), (0.5, 72.0), (1.0, 120.0), (5, 120.0)]
)
def test_level_at_a_start_grows_with_what_is_known(
    known_s: float, level: float
) -> None:
    limit = _limits.limit(100, 100, _limits.Terms())
    assert limit.level_at_start(known_s) == pytest.approx(level)
    assert _account.LEARNING_S < _limits.Terms().window_s
