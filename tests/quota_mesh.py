"""Entries and quota servers on a simulated clock and network."""

from __future__ import annotations

import collections.abc
import dataclasses
import functools
import heapq
import itertools
import random
import threading

from chiveroad import config
from chiveroad import membership
from chiveroad.quotas import _ledger
from chiveroad.quotas import _limits
from chiveroad.quotas import _local
from chiveroad.quotas import _messages
from chiveroad.quotas import _meter
from chiveroad.quotas import _placement
from tests import fakes

TIMEOUT_S = 0.3
MAX_WAIT_S = 1.0
START_S = 1_000.0
LONG_AGO_S = START_S - 60.0
RECORD_S = 1.5
"""The record of a daemon that has started is written with a heartbeat of its
target."""


@dataclasses.dataclass
class Waiting:
    """A request that waits for a token at an entry."""

    customer: str
    until_s: float
    since_s: float


class Entry:
    """One entry, with the requests that wait at it."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        view: membership.View,
        started_s: float,
    ) -> None:
        self.name = name
        self.quotas = _local.LocalQuotas(
            name, incarnation, view, _limits.Terms(), started_s
        )
        self.waiting: list[Waiting] = []
        self.incarnation = incarnation


class Mesh:
    """Entries that each may be a quota server.

    ``cut`` holds the pairs of daemons that can't reach each other, and
    ``lost`` is the share of messages that is lost on each way.
    """

    def __init__(
        self, entries: int, delay_s: float = 0.025, seed: int = 1
    ) -> None:
        self.now_s = START_S
        self.random = random.Random(seed)
        self.delay_s = delay_s
        self.view = membership.View(threading.Condition())
        self.names = [f"e{number:02}" for number in range(entries)]
        self.view.merge(
            [fakes.member(name, domain="d") for name in self.names]
        )
        self.customers: dict[str, config.Customer] = {}
        self.entries = {
            name: Entry(name, 1, self.view, LONG_AGO_S) for name in self.names
        }
        self.ledgers: dict[str, _ledger.Ledger] = {}
        self.starts = itertools.count(1)
        for name in self.names:
            self._start_server(name, LONG_AGO_S)
        self.dead: set[str] = set()
        self.ended: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.lost = 0.0
        self.doubled = 0.0
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, list[float]] = {}
        self.alone = 0
        self.asked = 0
        self.exchanges = 0
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], object]]
        ] = []
        self._order = itertools.count()

    def restart_server(self, name: str) -> None:
        """Start a daemon's ledger anew."""
        self._start_server(name, self.now_s)

    def _start_server(self, name: str, started_s: float) -> None:
        self.ledgers[name] = _ledger.Ledger(
            f"{name}-{next(self.starts)}",
            _limits.Terms(),
            self.view,
            started_s,
        )

    def end_daemon(self, name: str) -> None:
        """End a daemon, with its ledger, its entry and what waits there."""
        self.dead.add(name)
        self.ended.add(name)
        entry = self.entries[name]
        self.entries[name] = Entry(
            name, entry.incarnation + 1, self.view, self.now_s
        )

    def start_daemon(self, name: str) -> None:
        """Start the process of a daemon that was ended."""
        self.restart_server(name)
        incarnation = self.entries[name].incarnation
        self.entries[name] = Entry(name, incarnation, self.view, self.now_s)

    def open_daemon(self, name: str) -> None:
        """Have a started daemon serve; its record follows later."""
        self.dead.discard(name)
        self.ended.discard(name)
        incarnation = self.entries[name].incarnation
        record = fakes.member(name, incarnation, domain="d")
        self.at(self.now_s + RECORD_S, lambda: self.view.merge([record]))

    def restart_daemons(
        self,
        names: list[str],
        at_s: float,
        down_s: float,
        opening_s: float = 0.0,
    ) -> None:
        """Schedule an end of daemons, and their start after a while.

        :param opening_s: the time from the start of a process until it serves.
        """
        for name in names:
            started_s = at_s + down_s
            self.at(at_s, functools.partial(self.end_daemon, name))
            self.at(started_s, functools.partial(self.start_daemon, name))
            self.at(
                started_s + opening_s,
                functools.partial(self.open_daemon, name),
            )

    def limit(self, name: str, rate_per_s: float, burst: float) -> None:
        """Set a customer's limit at all daemons."""
        self.customers = {
            **self.customers,
            name: config.Customer(
                name, (), rate_per_s=rate_per_s, burst=burst
            ),
        }

    def at(
        self, at_s: float, action: collections.abc.Callable[[], object]
    ) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = until_s

    def load(
        self,
        customer: str,
        rate_per_s: float,
        from_s: float,
        until_s: float,
        names: list[str] | None = None,
    ) -> None:
        """Send a customer's requests at random times to random entries."""
        at_s = from_s
        while True:
            at_s += self.random.expovariate(rate_per_s)
            if at_s >= until_s:
                return
            name = self.random.choice(names or self.names)
            self.at(at_s, functools.partial(self.send, name, customer))

    def send(self, name: str, customer: str) -> bool | None:
        """Send a request to an entry.

        :returns: whether it was admitted, None while it waits; False while
            the daemon has ended, without its being recorded.
        """
        if name in self.ended:
            return False
        entry = self.entries[name]
        meter = entry.quotas.meter_of(self.customers[customer], self.now_s)
        meter.arrive()
        verdict = entry.quotas.decide(customer, meter, self.now_s)
        if verdict is _meter.Verdict.ASK:
            self.asked += 1
            meter.waiting += 1
            until_s = self.now_s + MAX_WAIT_S
            entry.waiting.append(Waiting(customer, until_s, self.now_s))
            self.at(until_s, lambda: self._decide_waiting(entry))
        else:
            self._record(customer, verdict)
        entry.quotas.schedule(customer, meter, self.now_s)
        self._report_soon(entry)
        if verdict is _meter.Verdict.ASK:
            return None
        return verdict is _meter.Verdict.ADMIT

    def _record(self, customer: str, verdict: _meter.Verdict) -> None:
        admitted = verdict is _meter.Verdict.ADMIT
        records = self.admitted if admitted else self.refused
        records.setdefault(customer, []).append(self.now_s)

    def _decide_waiting(self, entry: Entry) -> None:
        if self.entries[entry.name] is not entry:
            return
        still: list[Waiting] = []
        for each in entry.waiting:
            name = each.customer
            meter = entry.quotas.meter_of(self.customers[name], self.now_s)
            verdict = entry.quotas.decide(name, meter, self.now_s)
            if verdict is _meter.Verdict.ASK and self.now_s >= each.until_s:
                verdict = _meter.Verdict.REFUSE
                if meter.answered_s < each.since_s:
                    self.alone += 1
                    verdict = meter.decide_alone(
                        entry.quotas.daemons, self.now_s
                    )
            if verdict is _meter.Verdict.ASK:
                still.append(each)
                entry.quotas.schedule(name, meter, self.now_s)
                continue
            meter.waiting -= 1
            if verdict.refuses:
                meter.refuse(self.now_s)
            self._record(name, verdict)
        entry.waiting = still
        self._report_soon(entry)

    def _report_soon(self, entry: Entry) -> None:
        due_s = entry.quotas.due_s()
        if due_s != float("inf"):
            self.at(max(due_s, self.now_s), lambda: self._report(entry))

    def _report(self, entry: Entry) -> None:
        if self.entries[entry.name] is not entry:
            return
        while True:
            batch = entry.quotas.next_report(self.now_s)
            if batch is None:
                return
            self._send(entry, batch)

    def _send(self, entry: Entry, batch: _local.Batch) -> None:
        server = batch.link.member.instance
        timeout_s = self.now_s + TIMEOUT_S
        answers: list[_messages.Answer] = []

        def receive() -> None:
            if server in self.dead or not self._reaches(entry.name, server):
                return
            self.exchanges += 1
            ledger = self.ledgers[server]
            ledger.configure(self.customers, self.now_s)
            answer = ledger.report(batch.report, self.now_s)
            if self.random.random() >= self.lost:
                self.at(
                    self.now_s + self._delay(server, entry.name),
                    lambda: deliver(answer),
                )

        def deliver(answer: _messages.Answer) -> None:
            if answers or self.now_s > timeout_s:
                return
            if self.entries[entry.name] is not entry:
                return
            answers.append(answer)
            entry.quotas.apply(batch, answer, self.now_s)
            self._decide_waiting(entry)

        def time_out() -> None:
            if not answers and self.entries[entry.name] is entry:
                entry.quotas.fail(batch, self.now_s)
                self._decide_waiting(entry)

        copies = 0 if self.random.random() < self.lost else 1
        copies += self.random.random() < self.doubled
        for _ in range(copies):
            delay_s = self._delay(entry.name, server)
            if self.random.random() < self.doubled:
                delay_s += self.random.uniform(0, 2)
            self.at(self.now_s + delay_s, receive)
        self.at(timeout_s, time_out)

    def _delay(self, one: str, other: str) -> float:
        if one == other:
            return 0.0
        return self.delay_s * self.random.uniform(0.6, 1.4)

    def _reaches(self, one: str, other: str) -> bool:
        return one == other or (
            (one, other) not in self.cut and (other, one) not in self.cut
        )

    def worst_window(self, customer: str, window_s: float = 5.0) -> int:
        """Return the most that was admitted in any window."""
        times = self.admitted.get(customer, [])
        worst = first = 0
        for last, at_s in enumerate(times):
            while at_s - times[first] > window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


def trial(rate_per_s: float, usual: float, jump: float, fault: str) -> str:
    """Return a row of the table in ``docs/design/18-quotas.md``.

    :param usual: the load of the first 10 s, as a multiple of the rate.
    :param jump: that of the next 10 s.
    :param fault: what happens to the quota server at the jump, or, with
        ``fleet``, to all daemons one second later.
    """
    mesh = Mesh(81)
    mesh.limit("c", rate_per_s, rate_per_s)
    for number in range(4):
        mesh.limit(f"other-{number}", 1_000, 1_000)
        mesh.load(f"other-{number}", 2.5 * 81, START_S, START_S + 20)
    jump_s = START_S + 10
    mesh.load("c", usual * rate_per_s, START_S, jump_s)
    mesh.load("c", jump * rate_per_s, jump_s, START_S + 20)
    servers = _placement.servers(mesh.view.all())
    first = _placement.order("c", servers)[0].instance

    def restart() -> None:
        mesh.dead.clear()
        mesh.restart_server(first)

    if fault in ("dies", "restarts"):
        mesh.at(jump_s, lambda: mesh.dead.add(first))
    if fault == "restarts":
        mesh.at(jump_s + 2.5, restart)
    if fault == "fleet":
        mesh.restart_daemons(mesh.names, jump_s + 1, 0.5)
    mesh.run(START_S + 21)
    permitted = (rate_per_s * 5 + rate_per_s) * 1.1 + 20
    refused = mesh.refused.get("c", [])
    served = sum(at_s >= jump_s for at_s in mesh.admitted["c"])
    return (
        f"| {rate_per_s:g} | {usual:g}, {jump:g} | {fault or '-'} "
        f"| {mesh.worst_window('c')} | {permitted:.0f} "
        f"| {sum(at_s < jump_s for at_s in refused)} "
        f"| {served / 10 / rate_per_s:.2f} "
        f"| {mesh.exchanges / 20 / 81:.1f} |"
    )


if __name__ == "__main__":
    for stated in (2, 20, 100, 400):
        for load in ((0.6, 0.6), (0.6, 4.7), (0.01, 20), (4.7, 4.7)):
            for what in ("", "dies", "restarts", "fleet"):
                print(trial(stated, load[0], load[1], what), flush=True)
