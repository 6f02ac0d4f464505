"""Measures what a report of customers' use costs in CPU time.

Run it as ``python -m standins.quota_cost``.  It prints, for several numbers of
customers in one report, the milliseconds of CPU at the entry and at the quota
server without HTTP, those of a whole exchange over loopback for both, and the
sizes of the messages.
"""

from __future__ import annotations

import threading
import time
import typing

import msgspec

from chiveroad import config
from chiveroad import control
from chiveroad import membership
from chiveroad.quotas import _ledger
from chiveroad.quotas import _limits
from chiveroad.quotas import _local
from chiveroad.quotas import _messages
from chiveroad import serving

ROUNDS: typing.Final = 100
ADDRESS: typing.Final = "127.0.0.1:17998"
SIZES: typing.Final = (1, 5, 20, 83, 1_000, 5_000)


class _Answers(serving.Handler):
    """Answers reports with a ledger."""

    def __init__(self, ledger: _ledger.Ledger) -> None:
        self._ledger = ledger

    def handle(self, request: serving.Request) -> None:
        body = request.read_body(4 * 1024 * 1024)
        report = msgspec.json.decode(body, type=_messages.Report)
        answer = self._ledger.report(report, time.monotonic())
        request.answer(200, [], msgspec.json.encode(answer))


def _mesh_of_one() -> membership.View:
    view = membership.View(threading.Condition())
    view.merge(
        [
            membership.Member(
                "e",
                "s",
                "d",
                "r",
                1,
                1,
                membership.State.READY,
                ADDRESS,
                ADDRESS,
                ADDRESS,
            )
        ]
    )
    return view


def measure(size: int) -> str:
    """Return one line of the table."""
    view = _mesh_of_one()
    customers = {
        f"customer-{number}": config.Customer(
            f"customer-{number}", (), 0, 400.0, 400.0
        )
        for number in range(size)
    }
    ledger = _ledger.Ledger("s", _limits.Terms(), view, 0.0)
    ledger.configure(customers, time.monotonic())
    local = _local.LocalQuotas("e", 1, view, _limits.Terms(), 0.0)
    server = serving.Server(ADDRESS, _Answers(ledger), 4, 2)
    server.open()
    peers = control.Peers(1, 1.0)
    entry_s = server_s = exchange_s = 0.0
    sizes = (0, 0)
    rounds = max(5, ROUNDS // max(1, size // 50))
    for _ in range(rounds):
        now_s = time.monotonic()
        for customer in customers.values():
            meter = local.meter_of(customer, now_s)
            meter.arrive()
            local.decide(customer.name, meter, now_s)
            local.schedule(customer.name, meter, now_s)
        later_s = now_s + 0.3
        started_s = time.process_time()
        batch = local.next_report(later_s)
        assert batch is not None, "report this: no report is due"
        body = msgspec.json.encode(batch.report)
        entry_s += time.process_time() - started_s
        started_s = time.process_time()
        report = msgspec.json.decode(body, type=_messages.Report)
        answer = msgspec.json.encode(ledger.report(report, later_s))
        server_s += time.process_time() - started_s
        started_s = time.process_time()
        decoded = msgspec.json.decode(answer, type=_messages.Answer)
        local.apply(batch, decoded, later_s)
        entry_s += time.process_time() - started_s
        sizes = (len(body), len(answer))
        started_s = time.process_time()
        peers.post(ADDRESS, "/", body, 5.0)
        exchange_s += time.process_time() - started_s
        time.sleep(0.3)
    server.stop()
    per_round = 1000 / rounds
    return (
        f"{size:6d} customers: entry {entry_s * per_round:.3f} ms, "
        f"server {server_s * per_round:.3f} ms, "
        f"HTTP exchange, both sides {exchange_s * per_round:.3f} ms, "
        f"report {sizes[0]} bytes, answer {sizes[1]} bytes"
    )


if __name__ == "__main__":
    for customers_in_report in SIZES:
        print(measure(customers_in_report), flush=True)
