"""Quotas: the ledger, messages out of range, placement, and one daemon."""

from __future__ import annotations

import threading
import time
import typing

import msgspec
import pytest

from chiveroad import config
from chiveroad import control
from chiveroad import decoding
from chiveroad import errors
from chiveroad import membership
from chiveroad import metrics
from chiveroad import quotas
from chiveroad.quotas import _ledger
from chiveroad.quotas import _messages
from chiveroad.quotas import _placement
from tests import fakes
from tests import quota_mesh
from tests import test_quotas

CUSTOMER: typing.Final = test_quotas.CUSTOMER
START_S: typing.Final = quota_mesh.START_S


def ledger_of(rate_per_s: float) -> _ledger.Ledger:
    """Return a ledger with one customer in a mesh of one daemon."""
    mesh = quota_mesh.Mesh(1)
    ledger = mesh.ledgers["e00"]
    ledger.configure(
        {
            CUSTOMER: config.Customer(
                CUSTOMER, (), rate_per_s=rate_per_s, burst=rate_per_s
            )
        },
        START_S,
    )
    return ledger


def report(sequence: int, used: int, **values: typing.Any) -> _messages.Report:
    """Return a report on one customer."""
    use = _messages.Use(CUSTOMER, used, recent=[used], **values)
    return _messages.Report("e00", 1, sequence, uses=[use])


# Guards against reports that count twice, or take back what was counted.
def test_repeated_and_overtaken_reports_change_nothing() -> None:
    ledger = ledger_of(100)
    ledger.report(report(2, 30), START_S)
    account = ledger.accounts[CUSTOMER]
    level = account.level(START_S)
    for overtaken in (report(2, 30), report(1, 10)):
        assert not ledger.report(overtaken, START_S).allowances
    assert account.level(START_S) == level


# Guards against tokens that are lost when their request never ran.
def test_returned_and_unused_tokens_are_credited() -> None:
    ledger = ledger_of(100)
    ledger.report(report(1, 100), START_S)
    account = ledger.accounts[CUSTOMER]
    before = account.level(START_S)
    answer = ledger.report(report(2, 100, demand=40, waiting=5), START_S)
    granted = answer.allowances[0].count
    assert granted >= 5
    assert account.level(START_S) == before - granted
    ledger.report(report(3, 97), START_S)
    assert account.level(START_S) == before + 3


# Guards against a report that raises a bucket, or that can't be compared.
@pytest.mark.parametrize(
    "use",
    [
        ["c", -1],
        ["c", 2**60],
        ["c", 5, -5],
        ["c", 5, 0, 0, 0, 0, False, 7.5],
        ["c", 5, 0, 0, 0, 0, False, 0.0, [-5]],
        ["c", 5, 0, 0, 0, 0, False, 0.0, [0] * 2_000],
        ["c"],
    ],
)
def test_report_out_of_range_is_refused(use: list[object]) -> None:
    body = msgspec.json.encode(["e00", 1, 1, "", 0, [use]])
    with pytest.raises(msgspec.DecodeError):
        decoding.decode(msgspec.json.Decoder(_messages.Report), body)


class _NoPeers:
    """Peers that mustn't be called."""

    def post(self, *_: object) -> bytes:
        raise AssertionError("a report was sent")


# Guards against messages and threads where nothing has a limit.
@pytest.mark.parametrize("name", ["", "unlimited", "unknown"])
def test_nothing_is_sent_without_a_limit(name: str) -> None:
    node = control.Node(fakes.member("a"), recorded=True)
    key, text = config.customer_item(config.Customer("unlimited", ()))
    items = {key: text}
    node.applied.offer(1, config.digest(items), items)
    enforced = quotas.Quotas(
        fakes.options("a"),
        node.applied,
        node.view,
        metrics.Recorder(),
        _NoPeers(),
    )
    threads = threading.active_count()
    assert not enforced.admit(name, time.monotonic() + 1)
    assert threading.active_count() == threads


# Guards against a request that waits for its deadline while no quota server
# answers, and against one that is refused while the local server has tokens.
def test_daemon_serves_its_own_quota() -> None:
    node = control.Node(fakes.member("a"), recorded=True)
    customer = config.Customer(CUSTOMER, (), 0, 2.0, 2.0)
    items = dict([config.customer_item(customer)])
    node.applied.offer(1, config.digest(items), items)
    recorder = metrics.Recorder()
    enforced = quotas.Quotas(
        fakes.options("a"), node.applied, node.view, recorder, _NoPeers()
    )
    admitted = 0
    with pytest.raises(errors.OverQuota) as refused:
        while admitted < 40:
            admitted += enforced.admit(CUSTOMER, time.monotonic() + 10)
    enforced.stop()
    assert 2 <= admitted <= test_quotas.permitted(2, 2)
    assert 0 < refused.value.retry_after_ms <= 5_000
    assert enforced.refusals()[CUSTOMER] == {"over its quota": 1}
    assert recorder.counts()["chiveroad.quota.refused", "refuse"] == 1


def members(capacities: dict[str, int]) -> list[membership.Member]:
    """Return live members with capacities."""
    return [
        msgspec.structs.replace(fakes.member(name), capacity_percent=percent)
        for name, percent in capacities.items()
    ]


# Guards against quota servers on the weakest instances, or too few of them.
@pytest.mark.parametrize(
    ("daemons", "servers"), [(1, 1), (3, 2), (81, 2), (200, 4)]
)
def test_strongest_members_serve_one_for_each_64(
    daemons: int, servers: int
) -> None:
    everyone = members({f"m{n}": n for n in range(daemons)})
    chosen = _placement.servers(everyone)
    assert len(chosen) == servers
    assert chosen == _placement.servers(reversed(everyone))
    assert all(
        each.capacity_percent >= daemons - 2 * servers for each in chosen
    )


# Guards against a change of most customers' servers when one leaves.
def test_customers_of_a_server_that_leaves_change_alone() -> None:
    everyone = members({f"m{n}": 10 for n in range(4)})
    names = [f"customer-{n}" for n in range(100)]
    before = {name: _placement.order(name, everyone)[0] for name in names}
    for name in names:
        after = _placement.order(name, everyone[1:])[0]
        assert after == before[name] or before[name] == everyone[0]
