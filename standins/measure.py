"""``make measure``: the figures, one JSON object on a line.

With ``--record FILE`` the lines are written to a file as well, after a line
that names the commit.  ``--only PART`` takes one part.
"""

from __future__ import annotations

import argparse
import collections.abc
import os
import statistics
import subprocess
import sys
import threading
import time
import typing

from chiveroad import config
from standins import caller
from standins import judge
from standins import mesh
from standins import pure
from standins import records
from standins import target

SIZES: typing.Final = (13, 26, 52, 104)
DIRECT_SIZES: typing.Final = (13, 52)
CHANGES: typing.Final = 20
CALM_S: typing.Final = 8.0
RATES_PER_S: typing.Final = (60, 250)
LATENCY_S: typing.Final = 6.0
LOAD_S: typing.Final = 6.0
SERVICE_MS: typing.Final = 400.0
DIRECT: typing.Final = '[control]\ndistribution = "direct"\n'
QUIET: typing.Final = '[log]\nlevel = "warning"\n'

_TICKS_PER_S: typing.Final = os.sysconf("SC_CLK_TCK")


def scaled(deployment: mesh.Deployment, count: int) -> mesh.Deployment:
    """Return a deployment with another number of daemons."""
    share = count // sum(deployment.services.values())
    services = {n: c * share for n, c in deployment.services.items()}
    return mesh.Deployment(
        deployment.name, deployment.store_region, deployment.regions, services
    )


def change(on: mesh.Mesh, number: int) -> tuple[float, float]:
    """Change one route; return the convergence time and the delta's bytes."""
    service = next(iter(on.deployment.services))
    kind = "browse" if service == "glade" else "roster"
    text = (
        f'team = "open"\n[route.open-days]\npath = "/open-{number}"\n'
        f'service = "{service}"\nkind = "{kind}"\n'
    )
    before = on.accepted()
    on.push_file("50-open.toml", text)
    acknowledged_ms = time.time() * 1000
    mesh.wait_for(lambda: on.accepted() > before, "a version")
    statuses = on.wait_in_force(before + 1)
    last_ms = max(status.applied_at_ms for status in statuses)
    return last_ms - acknowledged_ms, _delta_bytes(number, service, kind)


def _delta_bytes(number: int, service: str, kind: str) -> float:
    def items(path: int) -> dict[str, str]:
        return {
            "route/open-days": (
                f'{{"kind":"{kind}","methods":["GET"],"name":"open-days",'
                f'"path":"/open-{path}","service":"{service}",'
                '"team":"open"}'
            )
        }

    delta = config.diff(items(number - 1), items(number))
    return float(len(config.pack_delta(delta)))


def control_plane(name: str, count: int, direct: bool) -> None:
    """Measure convergence, bytes and store calls at one size."""
    deployment = scaled(mesh.read_deployment(name), count)
    options = QUIET + (DIRECT if direct else "")
    note = "direct" if direct else "tree"

    def emit(
        figure: str, value: float, unit: str, goal: float | None = None
    ) -> None:
        records.emit(figure, name, count, value, unit, goal, note)

    with mesh.Mesh(deployment, options, far_link=True) as on:
        on.start()
        started_s = time.monotonic()
        on.push_example()
        on.wait_in_force(1)
        emit("cold_start_ms", (time.monotonic() - started_s) * 1000, "ms")
        on.wait_serving()
        time.sleep(3)
        _calm(on, emit)
        _changes(on, emit)
        if not direct:
            _recovery(on, emit)


Emit = collections.abc.Callable[..., None]


def _calm(on: mesh.Mesh, emit: Emit) -> None:
    calls, bytes_, cpu_s = _calls(on), _control_bytes(on), _cpu_s(on)
    far = _far_bytes(on)
    time.sleep(CALM_S)
    count = len(on.daemons())
    emit("store_calls_per_s", (_calls(on) - calls) / CALM_S, "1/s")
    per_daemon = (_control_bytes(on) - bytes_) / CALM_S / count
    emit("control_bytes_per_daemon_per_s", per_daemon, "B/s", 9_000)
    emit("cross_region_bytes_calm", (_far_bytes(on) - far) / CALM_S, "B/s")
    used = {
        name: 100 * (after - cpu_s[name]) / CALM_S
        for name, after in _cpu_s(on).items()
    }
    emit("control_cpu_percent", statistics.median(used.values()), "%", 1.5)
    emit("control_cpu_percent_busiest", max(used.values()), "%", 1.5)
    rss = [_rss_mb(on, name) for name in on.daemons()]
    emit("rss_mb", statistics.median(rss), "MB", 32)
    emit("rss_mb_largest", max(rss), "MB", 32)


def _changes(on: mesh.Mesh, emit: Emit) -> None:
    times = []
    deltas = []
    change(on, 0)
    time.sleep(1)
    far, bytes_, started_s = _far_bytes(on), _control_bytes(on), _now_s()
    calm = _calm_far_rate(on)
    calls = _calls(on)
    for number in range(1, CHANGES + 1):
        took_ms, delta = change(on, number)
        times.append(took_ms)
        deltas.append(delta)
        time.sleep(0.2)
    passed_s = _now_s() - started_s
    emit("convergence_p50_ms", records.quantile(times, 0.5), "ms")
    emit("convergence_p99_ms", records.quantile(times, 0.99), "ms", 1_000)
    regions = max(1, len(on.store_links))
    spent = (_far_bytes(on) - far - calm * passed_s) / CHANGES / regions
    goal = 1.5 * statistics.mean(deltas)
    emit("control_bytes_per_change_cross_region", spent, "B", goal)
    emit("delta_bytes", statistics.mean(deltas), "B")
    count = len(on.daemons())
    churn = (_control_bytes(on) - bytes_) / passed_s / count
    emit("control_bytes_per_daemon_per_s_churn", churn, "B/s", 9_000)
    emit("store_calls_per_change", (_calls(on) - calls) / CHANGES, "calls")


def _recovery(on: mesh.Mesh, emit: Emit) -> None:
    merger = on.wait_for_role("merger")
    statuses = [on.status(name) for name in on.daemons()]
    relays = [s.instance for s in statuses if s and "relay" in s.roles]
    on.kill(next(name for name in relays if name != merger))
    emit("recovery_ms_relay", change(on, 1_000)[0], "ms")
    on.kill(on.wait_for_role("merger"))
    emit("recovery_ms_merger", change(on, 1_001)[0], "ms", 13_000)
    on.faults(outage=True)
    time.sleep(10)
    calls = _calls(on)
    on.faults()
    emit("recovery_ms_outage", change(on, 1_002)[0], "ms")
    emit("store_calls_after_outage", float(_calls(on) - calls), "calls")


def _calls(on: mesh.Mesh) -> int:
    return sum(on.store_calls().values())


def _control_bytes(on: mesh.Mesh) -> int:
    statuses = [on.status(name) for name in on.daemons()]
    return sum(s.control_bytes for s in statuses if s)


def _far_bytes(on: mesh.Mesh) -> int:
    return sum(k.bytes_toward + k.bytes_back for k in on.store_links.values())


def _calm_far_rate(on: mesh.Mesh) -> float:
    before = _far_bytes(on)
    time.sleep(4)
    return (_far_bytes(on) - before) / 4


def _now_s() -> float:
    return time.monotonic()


def _cpu_s(on: mesh.Mesh) -> dict[str, float]:
    used = {}
    for name in on.daemons():
        pid = on.processes[name].pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        used[name] = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return used


def _rss_mb(on: mesh.Mesh, name: str) -> float:
    pid = on.processes[name].pid
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def latency() -> None:
    """Measure what the mesh adds to a call, paired with a straight one."""
    pair = mesh.Deployment("pair", "r", {"r": ["a", "b"]}, {"glade": 2})
    text = (mesh.EXAMPLES / "woodland-circle/folder/10-glade.toml").read_text()
    with mesh.Mesh(pair) as on:
        on.start()
        on.push_file("10-glade.toml", text)
        on.wait_in_force(1)
        on.wait_serving()
        on.set_mode("glade-2", target.Mode(service_ms=0))
        on.kill("upstream glade-1")
        far = on.instances["glade-2"]
        _drive(on.instances["glade-1"].entry, 50, 50)
        for rate in RATES_PER_S:
            count = int(rate * LATENCY_S)
            straight = _drive(far.target, rate, count)
            one = _drive(far.entry, rate, count)
            two = _drive(on.instances["glade-1"].entry, rate, count)
            for hops, times in (("one hop", one), ("two hops", two)):
                for share, text in ((0.5, "p50"), (0.99, "p99")):
                    added = records.quantile(times, share)
                    added -= records.quantile(straight, share)
                    records.emit(
                        f"added_latency_{text}_ms",
                        "pair",
                        2,
                        added,
                        "ms",
                        0.94 if text == "p99" else None,
                        f"{rate} calls/s, {hops}, decision log on",
                    )


def _drive(address: str, rate: float, count: int) -> list[float]:
    client = caller.Caller(address)
    times = []
    due_s = time.perf_counter()
    for _ in range(count):
        due_s += 1 / rate
        time.sleep(max(0.0, due_s - time.perf_counter()))
        result = client.call("GET", "/sessions")
        if result.status == 200:
            times.append(result.took_ms)
    client.close()
    return times


WORK: typing.Final = (
    caller.RequestSpec("GET", "/reservations", 0.7, 2),
    caller.RequestSpec("POST", "/reservations", 0.3, 8),
)
LATE_MS: typing.Final = {"/reservations": 2_000.0}
WAYS: typing.Final = {
    "chiveroad": "",
    "round robin, no limits": (
        '[traffic]\nbalancing = "round-robin"\nlimits = false\n'
        "threads = 200\n"
    ),
    "least reported": '[traffic]\nbalancing = "least-reported"\n',
}


def service() -> None:
    """Measure the weighted service under load, against the baselines."""
    name = "woodland-circle"
    for way, options in WAYS.items():
        with mesh.running(name, QUIET + options) as on:
            targets = [
                n for n, i in on.instances.items() if i.service == "hollow"
            ]
            capacity = len(targets) * target.SLOTS / SERVICE_MS * 1000
            for load, fault in (
                (0.7, ""),
                (1.0, ""),
                (2.0, ""),
                (0.7, "one slow"),
                (0.7, "one cold"),
            ):
                _serve(on, way, targets, capacity * load, load, fault)


def _serve(
    on: mesh.Mesh,
    way: str,
    targets: list[str],
    rate: float,
    load: float,
    fault: str,
) -> None:
    for name in targets:
        on.set_mode(name, target.Mode(service_ms=SERVICE_MS))
    if fault == "one slow":
        slow = target.Mode(service_ms=SERVICE_MS * 5)
        on.set_mode(targets[0], slow)
    if fault == "one cold":
        on.kill(f"upstream {targets[0]}")
        on.start_target(targets[0])
        mesh.wait_for(lambda: _answers(on, targets[0]), "the target")
        cold = target.Mode(service_ms=SERVICE_MS, cold_s=3)
        on.set_mode(targets[0], cold)
    entries = [i.entry for i in on.instances.values()]
    workers = min(400, int(rate * 3))
    results = caller.LoadGenerator(entries, WORK, rate, workers).run(LOAD_S)
    verdict = judge.judge(results, on.run_counts())
    note = f"{way}, {load}x of capacity" + (f", {fault}" if fault else "")
    for figure, value, goal in (
        ("service_weighted", judge.weighted_service(results, LATE_MS), None),
        ("late_share", judge.late_share(results, LATE_MS), None),
        ("doubled", float(len(verdict.doubled)), 0),
        ("cut", float(len(verdict.cut)), 0),
        ("untrue_refusals", float(len(verdict.untrue)), 0),
    ):
        records.emit(figure, "woodland-circle", 13, value, "1", goal, note)
    time.sleep(2)


def _answers(on: mesh.Mesh, name: str) -> bool:
    try:
        on.executions(name)
    except mesh.CALL_ERRORS:
        return False
    return True


def drain() -> None:
    """Measure how long a leaving target still gets new work."""
    with mesh.running("woodland-circle", QUIET) as on:
        entries = [i.entry for i in on.instances.values()]
        load = caller.LoadGenerator(
            entries, [caller.RequestSpec("GET", "/sessions", 1)], 100
        )
        load.start()
        time.sleep(1)
        asked_ms = time.time() * 1000
        stopper = threading.Thread(target=on.terminate, args=("glade-2",))
        stopper.start()
        stopper.join()
        load.stop()
        last_ms = max(
            entry.started_at_ms for entry in on.executions("glade-2").values()
        )
        records.emit(
            "drain_new_work_ms",
            "woodland-circle",
            13,
            max(0.0, last_ms - asked_ms),
            "ms",
            3_000,
        )


def parts() -> (
    collections.abc.Iterator[tuple[str, collections.abc.Callable[[], None]]]
):
    """Yield the parts by name."""
    yield "latency", latency
    yield "pure", pure.measure
    yield "drain", drain
    yield "service", service
    yield "control", _control


def _control() -> None:
    for count in SIZES:
        control_plane("woodland-circle", count, direct=False)
    control_plane("aspen-coulee", SIZES[0], direct=False)
    for count in DIRECT_SIZES:
        control_plane("woodland-circle", count, direct=True)


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", help="also write the lines to a file")
    parser.add_argument("--only", help="one part")
    arguments = parser.parse_args()
    if arguments.record:
        records.record_to(arguments.record, _commit())
    for name, measure in parts():
        if arguments.only in (None, name):
            print(f"measuring {name}", file=sys.stderr, flush=True)
            measure()


def _commit() -> str:
    found = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip() or "unknown"


if __name__ == "__main__":
    main()
