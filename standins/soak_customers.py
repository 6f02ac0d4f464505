"""Customers while daemons end and start: quotas, and the last key.

Each seed starts five daemons, of which some are killed, stopped or paused in
series that overlap, beside a customer that sends 7.5 times its usual and one
that stays below its limit.  Then the last key is taken away, in one of four
ways, while daemons go on to be restarted.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import functools
import heapq
import itertools
import random
import shutil
import threading
import time
import typing

import urllib3

from chiveroad import config
from chiveroad import customers
from chiveroad import store
from standins import caller
from standins import mesh
from standins import soak

DEPLOYMENT: typing.Final = mesh.Deployment(
    "customers", "r", {"r": ["d1", "d2"]}, {"glade": 5}
)
REVOKE_S: typing.Final = 5.0
OPTIONS: typing.Final = (
    '[control]\nsource = "accepted"\n[log]\nformat = "json"\n'
    f"[customers]\nfail_closed = true\nrevoke_within_s = {REVOKE_S}\n"
)
HOT: typing.Final = "warren"
CALM: typing.Final = "burrow"
CALM_RATE_PER_S: typing.Final = 30.0
USUAL: typing.Final = 1 / 1.6
"""The usual load of a customer, as a share of its rate."""

HOT_X: typing.Final = 7.5
LIMITS: typing.Final = ((2.0, 2.0), (20.0, 20.0), (20.0, 80.0), (40.0, 80.0))
REMOVALS: typing.Final = ("left out", "empty", "no keys", "later")
KINDS: typing.Final = ("kill", "stop", "pause")
QUIET_S: typing.Final = 2.0
LOAD_S: typing.Final = 11.0
CHECK_S: typing.Final = 2.0
WINDOW_S: typing.Final = 5.0
WORKERS: typing.Final = 24
BUILD: typing.Final = mesh.ROOT / "build" / "soak-customers"


@dataclasses.dataclass(frozen=True, order=True)
class Fault:
    """A fault of some daemons, ``start_s`` after the load has begun."""

    start_s: float
    kind: str
    daemons: tuple[str, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """What one seed plays."""

    rate_per_s: float
    burst: float
    removal: str
    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True)
class Sent:
    """One request of a customer, and the status of its answer."""

    id: str
    customer: str
    sent_s: float
    status: int


def draw_plan(seed: int, names: list[str]) -> Plan:
    """Draw a plan; equal seeds give equal plans."""
    rng = random.Random(seed)
    faults = []
    busy_until_s = dict.fromkeys(names, 0.0)
    at_s = QUIET_S
    end_s = LOAD_S + REVOKE_S - 1.0
    while (at_s := at_s + rng.uniform(0.1, 1.6)) < end_s:
        free = [name for name in names if busy_until_s[name] < at_s]
        count = rng.choice([1, 1, 1, 2, len(free)])
        if not free:
            continue
        chosen = tuple(sorted(rng.sample(free, min(count, len(free)))))
        duration_s = rng.uniform(0.1, 1.2)
        kind = rng.choice(KINDS)
        faults.append(Fault(at_s, kind, chosen, duration_s))
        for name in chosen:
            busy_until_s[name] = at_s + duration_s + 1.0
    rate_per_s, burst = rng.choice(LIMITS)
    return Plan(rate_per_s, burst, rng.choice(REMOVALS), tuple(faults))


def permitted(rate_per_s: float, burst: float) -> float:
    """Return the most that a customer may be served in a window."""
    return (rate_per_s * WINDOW_S + burst) * 1.1 + 20


def most_in_window(runs: list[tuple[float, float]]) -> int:
    """Return the most requests that were sent and run in one window.

    :param runs: the times at which each was sent and arrived at its target.
    """
    runs = sorted(runs)
    most = 0
    arrivals: list[float] = []
    for sent_s, arrived_s in reversed(runs):
        heapq.heappush(arrivals, -arrived_s)
        while arrivals and -arrivals[0] > sent_s + WINDOW_S:
            heapq.heappop(arrivals)
        most = max(most, len(arrivals))
    return most


class _Run:
    """The processes and clients of one seed."""

    def __init__(self, running: mesh.Mesh, plan: Plan) -> None:
        self._mesh = running
        self._plan = plan
        self._number = 0
        self._lock = threading.Lock()
        self._daemon_locks = {
            name: threading.Lock() for name in running.instances
        }
        self.sent: list[Sent] = []

    def accept(self, listed: list[config.Customer], empty: bool) -> None:
        """Have the store hold the next version."""
        self._number += 1
        kind = config.Kind(3, True, 2_000)
        service = config.Service("glade", "t", 8, 200, 64, (), {"read": kind})
        route = config.Route("r", "t", "/", ("*",), "glade", "read")
        items = [config.service_item(service), config.route_item(route)]
        items += [config.customer_item(each) for each in listed]
        if empty:
            items.append(config.no_customers_item())
        store.overwrite(
            self._mesh.store,
            store.Kind.ACCEPTED,
            "main",
            {"number": self._number, "items": dict(items)},
        )

    def load(self, name: str, per_s: float, for_s: float) -> None:
        """Send a customer's requests in even steps to all entries in turn."""
        begin_s = time.monotonic()
        entries = list(self._mesh.instances.values())
        headers = {"Authorization": f"Bearer {key_of(name)}"}
        numbers = itertools.count()

        def work() -> None:
            callers = [caller.Caller(each.entry, 3.0) for each in entries]
            while (number := next(numbers)) < per_s * for_s:
                due_s = begin_s + number / per_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                sent_s = time.monotonic()
                result = callers[number % len(entries)].call(
                    "GET", "/a", headers=headers
                )
                with self._lock:
                    self.sent.append(
                        Sent(result.id, name, sent_s, result.status)
                    )
            for each in callers:
                each.close()

        threads = [threading.Thread(target=work) for _ in range(WORKERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def wait_answering(self, statuses: set[int]) -> None:
        """Wait until all entries answer one of these to the hot customer."""
        headers = {"Authorization": f"Bearer {key_of(HOT)}"}

        def answers(entry: str) -> bool:
            client = caller.Caller(entry, 3.0)
            result = client.call("GET", "/a", headers=headers)
            client.close()
            return result.status in statuses

        for each in self._mesh.instances.values():
            mesh.wait_for(
                functools.partial(answers, each.entry),
                f"{each.name} to answer",
            )

    def play_faults(self, begin_s: float) -> None:
        """Play all faults of the plan, each in a thread of its own."""
        threads = []
        for fault in self._plan.faults:
            time.sleep(max(0.0, begin_s + fault.start_s - time.monotonic()))
            for name in fault.daemons:
                work = threading.Thread(target=self._play, args=(fault, name))
                work.start()
                threads.append(work)
        for work in threads:
            work.join()

    def _play(self, fault: Fault, name: str) -> None:
        # A planned stop may last longer than planned.
        with self._daemon_locks[name]:
            self._play_alone(fault, name)

    def _play_alone(self, fault: Fault, name: str) -> None:
        if fault.kind == "pause":
            self._mesh.freeze(name)
            time.sleep(fault.duration_s)
            self._mesh.resume(name)
            return
        if fault.kind == "kill":
            self._mesh.kill(name)
        else:
            self._mesh.terminate(name)
        time.sleep(fault.duration_s)
        self._mesh.start_daemon(name)

    def remove_keys(self) -> float:
        """Take the last key away; return when the store had acknowledged."""
        if self._plan.removal == "no keys":
            self.accept([config.Customer(HOT, ())], empty=False)
        else:
            self.accept([], empty=self._plan.removal == "empty")
        removed_s = time.monotonic()
        if self._plan.removal == "later":
            time.sleep(0.7)
            self.accept([], empty=False)
        return removed_s

    def runs(self) -> dict[str, float]:
        """Return when each request arrived at the target that ran it."""
        return {
            arrival.request: arrival.arrived_s
            for name in self._mesh.instances
            for arrival in self._mesh.arrivals(name)
        }


def key_of(name: str) -> str:
    """Return a customer's key."""
    return f"key-of-{name}"


def run_seed(seed: int) -> list[str]:
    """Play one seed, and return what broke a promise."""
    with mesh.Mesh(DEPLOYMENT, OPTIONS) as running:
        plan = draw_plan(seed, sorted(running.instances))
        run = _Run(running, plan)
        listed = [
            config.Customer(
                name, (customers.digest_key(key_of(name)),), 0, rate, burst
            )
            for name, rate, burst in (
                (HOT, plan.rate_per_s, plan.burst),
                (CALM, CALM_RATE_PER_S, CALM_RATE_PER_S),
            )
        ]
        running.start()
        run.accept(listed, empty=False)
        running.wait_in_force(1)
        run.wait_answering({200})
        time.sleep(2.0)
        begin_s = time.monotonic()
        usual_per_s = USUAL * plan.rate_per_s
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            faults = pool.submit(run.play_faults, begin_s)
            calm = pool.submit(run.load, CALM, USUAL * CALM_RATE_PER_S, LOAD_S)
            run.load(HOT, usual_per_s, QUIET_S)
            run.load(HOT, HOT_X * usual_per_s, LOAD_S - QUIET_S)
            calm.result()
            removed_s = run.remove_keys()
            faults.result()
        run.wait_answering({401})
        time.sleep(max(0.0, removed_s + REVOKE_S - time.monotonic()))
        run.load(HOT, 20.0, CHECK_S)
        findings = judge(plan, run.sent, run.runs(), removed_s)
        if findings:
            keep_logs(running, seed, plan, findings)
        return findings


def keep_logs(
    running: mesh.Mesh, seed: int, plan: Plan, findings: list[str]
) -> None:
    """Keep the plan, the findings and the logs of all processes."""
    folder = BUILD / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    lines = [str(plan), *map(str, plan.faults), *findings]
    (folder / "findings.txt").write_text("\n".join(lines) + "\n")
    for log in running.path.glob("*.log"):
        shutil.copy(log, folder)


def judge(
    plan: Plan,
    sent: list[Sent],
    runs: dict[str, float],
    removed_s: float,
) -> list[str]:
    """Return what broke a promise.

    :param runs: when each request arrived at its target, by its id.
    """
    findings = []
    for name, rate_per_s, burst in (
        (HOT, plan.rate_per_s, plan.burst),
        (CALM, CALM_RATE_PER_S, CALM_RATE_PER_S),
    ):
        served = [
            (each.sent_s, runs[each.id])
            for each in sent
            if each.customer == name and each.id in runs
        ]
        most, limit = most_in_window(served), permitted(rate_per_s, burst)
        if most > limit:
            findings.append(
                f"{name} was served {most} of {limit:.0f} in a window"
            )
    calm = collections.Counter(
        each.status for each in sent if each.customer == CALM
    )
    if calm[429]:
        findings.append(f"{calm[429]} requests below the limit got 429")
    if not calm[200]:
        findings.append("no request below the limit was served")
    late = [
        each
        for each in sent
        if each.id in runs and each.sent_s > removed_s + REVOKE_S
    ]
    if late:
        findings.append(f"{len(late)} requests with a removed key ran")
    return findings


def _run_or_report(seed: int) -> tuple[int, list[str]]:
    try:
        return seed, run_seed(seed)
    except (TimeoutError, OSError, urllib3.exceptions.HTTPError) as exc:
        return seed, [f"the run itself failed: {exc!r}"]


def main() -> None:
    """Make the runs of all seeds; exit with 1 if there are findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-4", help="such as 1-50,77")
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        seeds = soak.parse_seeds(options.seeds)
        soak.report(pool.map(_run_or_report, seeds))


if __name__ == "__main__":
    main()
