"""Quotas in a mesh of real processes."""

from __future__ import annotations

import collections
import collections.abc
import concurrent.futures
import contextlib
import functools
import time
import typing

import msgspec

from chiveroad.cli import _customers
from chiveroad import config
from chiveroad import customers
from chiveroad import store
from standins import mesh

KEY: typing.Final = "6f1c-glade-key"
DEPLOYMENT: typing.Final = mesh.Deployment(
    "quota", "r", {"r": ["d1", "d2"]}, {"glade": 3}
)
OPTIONS: typing.Final = '[control]\nsource = "accepted"\n'
LOAD_S: typing.Final = 6.0
WINDOW_S: typing.Final = 5.0


def put_version(
    running: mesh.Mesh, number: int, rate_per_s: float, burst: float
) -> None:
    """Have the store hold a configuration with one customer."""
    kind = config.Kind(3, True, 2_000)
    service = config.Service("glade", "t", 8, 40, 64, (), {"read": kind})
    route = config.Route("r", "t", "/", ("*",), "glade", "read")
    customer = config.Customer(
        "warren", (customers.digest_key(KEY),), 0, rate_per_s, burst
    )
    items = dict(
        [
            config.service_item(service),
            config.route_item(route),
            config.customer_item(customer),
        ]
    )
    store.overwrite(
        running.store,
        store.Kind.ACCEPTED,
        "main",
        {"number": number, "items": items},
    )
    running.wait_in_force(number)


@contextlib.contextmanager
def running_mesh(
    rate_per_s: float,
) -> collections.abc.Iterator[mesh.Mesh]:
    """Run three daemons whose members know each other."""
    with mesh.Mesh(DEPLOYMENT, OPTIONS) as running:
        running.start()
        put_version(running, 1, rate_per_s, rate_per_s)

        def all_known() -> bool:
            statuses = [running.status(name) for name in running.daemons()]
            return all(s is not None and s.members >= 3 for s in statuses)

        mesh.wait_for(all_known, "all members to be known")
        for name in running.daemons():
            mesh.wait_for(
                functools.partial(serves, running, name),
                f"{name} to serve",
            )
        yield running


def send(running: mesh.Mesh, name: str) -> int:
    """Send one request with the key, and return the status."""
    result = running.caller(name).call(
        "GET", "/a", headers={"Authorization": f"Bearer {KEY}"}
    )
    return result.status


def serves(running: mesh.Mesh, name: str) -> bool:
    """Tell whether an entry serves a request with the key."""
    return send(running, name) == 200


def load(
    running: mesh.Mesh, per_s: float, load_s: float, names: list[str]
) -> list[tuple[float, int]]:
    """Send requests to entries in turn; return times and statuses."""
    start_s = time.monotonic()

    def send_at(number: int) -> tuple[float, int]:
        at_s = start_s + number / per_s
        time.sleep(max(0.0, at_s - time.monotonic()))
        status = send(running, names[number % len(names)])
        return time.monotonic(), status

    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        return list(pool.map(send_at, range(int(per_s * load_s))))


def most_in_window(results: list[tuple[float, int]]) -> int:
    """Return the most requests that were served in any window."""
    times = sorted(at_s for at_s, status in results if status == 200)
    return max(
        sum(1 for other in times if 0 <= other - at_s <= WINDOW_S)
        for at_s in times
    )


def bound(rate_per_s: float) -> float:
    """Return the most that may be served in a window."""
    return (rate_per_s * WINDOW_S + rate_per_s) * 1.1 + 20


# Guards against limits that each entry applies by itself.
def test_limit_holds_for_the_sum_of_three_entries() -> None:
    with running_mesh(20) as running:
        results = load(running, 90, LOAD_S, running.daemons())
    statuses = collections.Counter(status for _, status in results)
    assert set(statuses) == {200, 429}
    assert most_in_window(results) <= bound(20)
    assert statuses[200] >= 20 * LOAD_S * 0.8


# Guards against a quota server's end that frees the limit, or blocks it, and
# against a command that shows neither use nor refusals, or shows a key.
def test_limit_holds_while_the_quota_server_is_killed() -> None:
    with running_mesh(20) as running:
        first = serving_daemon(running)
        others = [name for name in running.daemons() if name != first]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            sending = pool.submit(load, running, 90, 2 * LOAD_S, others)
            time.sleep(LOAD_S)
            running.kill(first)
            results = sending.result()
        read = _customers.read(
            running.instances[name].control for name in running.instances
        )
        logs_text = "".join(running.log_of(name) for name in others)
    after = [
        status
        for at_s, status in results
        if at_s > results[-1][0] - LOAD_S / 2
    ]
    assert most_in_window(results) <= bound(20)
    assert after.count(200) >= 20 * LOAD_S / 2 * 0.4
    shown = _customers.report(read)
    assert shown.exit_code == 1
    assert [row[0] for row in shown.rows][0] == "warren"
    assert "over its quota" in shown.rows[0][5]
    assert "customer warren was refused" in logs_text
    text = logs_text + msgspec.json.encode(read).decode()
    assert KEY not in text and customers.digest_key(KEY) not in text


def serving_daemon(running: mesh.Mesh) -> str:
    """Return the daemon that is the customer's quota server."""
    read = _customers.read(
        running.instances[name].control for name in running.daemons()
    )
    (name,) = (
        each.customers.instance
        for each in read
        if each.customers is not None and each.customers.served
    )
    return name


# Guards against a lowered limit that only binds after a restart.
def test_lowered_limit_binds_at_all_entries() -> None:
    with running_mesh(40) as running:
        load(running, 60, 1, running.daemons())
        put_version(running, 2, 5, 5)
        time.sleep(WINDOW_S)
        results = load(running, 60, LOAD_S, running.daemons())
    assert most_in_window(results) <= bound(5)
