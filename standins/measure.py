"""``make measure``: prints measured figures, one JSON object on each line.

With ``--record FILE`` the lines are also written to a file, after a line with
the commit.  ``--only PART`` measures one part.
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

DAEMON_COUNTS: typing.Final = (13, 26, 52, 104)
DIRECT_DAEMON_COUNTS: typing.Final = (13, 52)
CHANGES: typing.Final = 20
CALM_S: typing.Final = 8.0
RATES_PER_S: typing.Final = (60, 250)
LATENCY_S: typing.Final = 6.0
LOAD_S: typing.Final = 6.0
SERVICE_MS: typing.Final = 400.0
DIRECT: typing.Final = '[control]\ndistribution = "direct"\n'
WARNINGS_ONLY: typing.Final = '[log]\nlevel = "warning"\n'

_TICKS_PER_S: typing.Final = os.sysconf("SC_CLK_TCK")


def scaled(deployment: mesh.Deployment, count: int) -> mesh.Deployment:
    """Return a deployment scaled to a number of daemons."""
    factor = count // sum(deployment.services.values())
    services = {n: c * factor for n, c in deployment.services.items()}
    return mesh.Deployment(
        deployment.name, deployment.store_region, deployment.regions, services
    )


def measure_change(
    running_mesh: mesh.Mesh, number: int
) -> tuple[float, float]:
    """Change a route; return the convergence time in ms and the delta size."""
    service = next(iter(running_mesh.deployment.services))
    kind = "browse" if service == "glade" else "roster"
    text = (
        f'team = "open"\n[route.open-days]\npath = "/open-{number}"\n'
        f'service = "{service}"\nkind = "{kind}"\n'
    )
    version_before = running_mesh.accepted()
    running_mesh.push_file("50-open.toml", text)
    acknowledged_ms = time.time() * 1000
    mesh.wait_for(
        lambda: running_mesh.accepted() > version_before, "the next version"
    )
    statuses = running_mesh.wait_in_force(version_before + 1)
    last_applied_ms = max(status.applied_at_ms for status in statuses)
    return last_applied_ms - acknowledged_ms, _delta_bytes(
        number, service, kind
    )


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
    """Measure the control plane at one number of daemons.

    :param direct: whether each daemon reads from the store, without a tree.
    """
    deployment = scaled(mesh.read_deployment(name), count)
    options = WARNINGS_ONLY + (DIRECT if direct else "")
    note = "direct" if direct else "tree"

    def emit(
        figure: str, value: float, unit: str, goal: float | None = None
    ) -> None:
        records.emit(figure, name, count, value, unit, goal, note)

    with mesh.Mesh(deployment, options, far_link=True) as running_mesh:
        running_mesh.start()
        started_s = time.monotonic()
        running_mesh.push_example()
        running_mesh.wait_in_force(1)
        emit("cold_start_ms", (time.monotonic() - started_s) * 1000, "ms")
        running_mesh.wait_serving()
        time.sleep(3)
        _calm(running_mesh, emit)
        _changes(running_mesh, emit)
        if not direct:
            _recovery(running_mesh, emit)


Emit = collections.abc.Callable[..., None]


def _calm(running_mesh: mesh.Mesh, emit: Emit) -> None:
    store_calls, control_bytes, cpu_s = (
        _store_calls(running_mesh),
        _control_bytes(running_mesh),
        _cpu_s(running_mesh),
    )
    cross_region = _cross_region_bytes(running_mesh)
    time.sleep(CALM_S)
    count = len(running_mesh.daemons())
    emit(
        "store_calls_per_s",
        (_store_calls(running_mesh) - store_calls) / CALM_S,
        "1/s",
    )
    per_daemon = (
        (_control_bytes(running_mesh) - control_bytes) / CALM_S / count
    )
    emit("control_bytes_per_daemon_per_s", per_daemon, "B/s", 9_000)
    emit(
        "cross_region_bytes_calm",
        (_cross_region_bytes(running_mesh) - cross_region) / CALM_S,
        "B/s",
    )
    used = {
        name: 100 * (after - cpu_s[name]) / CALM_S
        for name, after in _cpu_s(running_mesh).items()
    }
    emit("control_cpu_percent", statistics.median(used.values()), "%", 1.5)
    emit("control_cpu_percent_busiest", max(used.values()), "%", 1.5)
    rss = [_rss_mb(running_mesh, name) for name in running_mesh.daemons()]
    emit("rss_mb", statistics.median(rss), "MB", 32)
    emit("rss_mb_largest", max(rss), "MB", 32)


def _changes(running_mesh: mesh.Mesh, emit: Emit) -> None:
    times = []
    deltas = []
    measure_change(running_mesh, 0)
    time.sleep(1)
    cross_region, control_bytes, started_s = (
        _cross_region_bytes(running_mesh),
        _control_bytes(running_mesh),
        _now_s(),
    )
    calm_rate = _calm_cross_region_rate(running_mesh)
    store_calls = _store_calls(running_mesh)
    for number in range(1, CHANGES + 1):
        took_ms, delta = measure_change(running_mesh, number)
        times.append(took_ms)
        deltas.append(delta)
        time.sleep(0.2)
    elapsed_s = _now_s() - started_s
    emit("convergence_p50_ms", records.quantile(times, 0.5), "ms")
    emit("convergence_p99_ms", records.quantile(times, 0.99), "ms", 1_000)
    regions = max(1, len(running_mesh.store_links))
    bytes_per_change = (
        (
            _cross_region_bytes(running_mesh)
            - cross_region
            - calm_rate * elapsed_s
        )
        / CHANGES
        / regions
    )
    goal = 1.5 * statistics.mean(deltas)
    emit("control_bytes_per_change_cross_region", bytes_per_change, "B", goal)
    emit("delta_bytes", statistics.mean(deltas), "B")
    count = len(running_mesh.daemons())
    churn = (_control_bytes(running_mesh) - control_bytes) / elapsed_s / count
    emit("control_bytes_per_daemon_per_s_churn", churn, "B/s", 9_000)
    emit(
        "store_calls_per_change",
        (_store_calls(running_mesh) - store_calls) / CHANGES,
        "calls",
    )


def _recovery(running_mesh: mesh.Mesh, emit: Emit) -> None:
    merger = running_mesh.wait_for_role("merger")
    statuses = [running_mesh.status(name) for name in running_mesh.daemons()]
    relays = [s.instance for s in statuses if s and "relay" in s.roles]
    running_mesh.kill(next(name for name in relays if name != merger))
    emit("recovery_ms_relay", measure_change(running_mesh, 1_000)[0], "ms")
    running_mesh.kill(running_mesh.wait_for_role("merger"))
    emit(
        "recovery_ms_merger",
        measure_change(running_mesh, 1_001)[0],
        "ms",
        13_000,
    )
    running_mesh.faults(outage=True)
    time.sleep(10)
    store_calls = _store_calls(running_mesh)
    running_mesh.faults()
    emit("recovery_ms_outage", measure_change(running_mesh, 1_002)[0], "ms")
    emit(
        "store_calls_after_outage",
        float(_store_calls(running_mesh) - store_calls),
        "calls",
    )


def _store_calls(running_mesh: mesh.Mesh) -> int:
    return sum(running_mesh.store_calls().values())


def _control_bytes(running_mesh: mesh.Mesh) -> int:
    statuses = [running_mesh.status(name) for name in running_mesh.daemons()]
    return sum(s.control_bytes for s in statuses if s)


def _cross_region_bytes(running_mesh: mesh.Mesh) -> int:
    return sum(
        link.bytes_toward + link.bytes_back
        for link in running_mesh.store_links.values()
    )


def _calm_cross_region_rate(running_mesh: mesh.Mesh) -> float:
    before = _cross_region_bytes(running_mesh)
    time.sleep(4)
    return (_cross_region_bytes(running_mesh) - before) / 4


def _now_s() -> float:
    return time.monotonic()


def _cpu_s(running_mesh: mesh.Mesh) -> dict[str, float]:
    used = {}
    for name in running_mesh.daemons():
        pid = running_mesh.processes[name].pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        used[name] = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return used


def _rss_mb(running_mesh: mesh.Mesh, name: str) -> float:
    pid = running_mesh.processes[name].pid
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def latency() -> None:
    """Measure the latency that the mesh adds, against direct calls."""
    pair = mesh.Deployment("pair", "r", {"r": ["a", "b"]}, {"glade": 2})
    text = (mesh.EXAMPLES / "woodland-circle/folder/10-glade.toml").read_text()
    with mesh.Mesh(pair) as running_mesh:
        running_mesh.start()
        running_mesh.push_file("10-glade.toml", text)
        running_mesh.wait_in_force(1)
        running_mesh.wait_serving()
        running_mesh.set_mode("glade-2", target.Mode(service_ms=0))
        running_mesh.kill("upstream glade-1")
        remote = running_mesh.instances["glade-2"]
        _latencies_ms(running_mesh.instances["glade-1"].entry, 50, 50)
        for rate in RATES_PER_S:
            count = int(rate * LATENCY_S)
            direct_ms = _latencies_ms(remote.target, rate, count)
            one_hop_ms = _latencies_ms(remote.entry, rate, count)
            two_hops_ms = _latencies_ms(
                running_mesh.instances["glade-1"].entry, rate, count
            )
            for hops, times in (
                ("one hop", one_hop_ms),
                ("two hops", two_hops_ms),
            ):
                for share, text in ((0.5, "p50"), (0.99, "p99")):
                    added = records.quantile(times, share)
                    added -= records.quantile(direct_ms, share)
                    records.emit(
                        f"added_latency_{text}_ms",
                        "pair",
                        2,
                        added,
                        "ms",
                        0.94 if text == "p99" else None,
                        f"{rate} calls/s, {hops}, decision log on",
                    )


def _latencies_ms(address: str, rate: float, count: int) -> list[float]:
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


REQUEST_MIX: typing.Final = (
    caller.RequestSpec("GET", "/reservations", 0.7, 2),
    caller.RequestSpec("POST", "/reservations", 0.3, 8),
)
LATE_MS: typing.Final = {"/reservations": 2_000.0}
CONFIGURATIONS: typing.Final = {
    "chiveroad": "",
    "round robin, no limits": (
        '[traffic]\nbalancing = "round-robin"\nlimits = false\n'
        "threads = 200\n"
    ),
    "least reported": '[traffic]\nbalancing = "least-reported"\n',
}


def service() -> None:
    """Measure the weighted service under load, against baselines."""
    name = "woodland-circle"
    for configuration, options in CONFIGURATIONS.items():
        with mesh.running(name, WARNINGS_ONLY + options) as running_mesh:
            targets = [
                n
                for n, i in running_mesh.instances.items()
                if i.service == "hollow"
            ]
            capacity = len(targets) * target.SLOTS / SERVICE_MS * 1000
            for load, fault in (
                (0.7, ""),
                (1.0, ""),
                (2.0, ""),
                (0.7, "one slow"),
                (0.7, "one cold"),
            ):
                _measure_service(
                    running_mesh,
                    configuration,
                    targets,
                    capacity * load,
                    load,
                    fault,
                )


def _measure_service(
    running_mesh: mesh.Mesh,
    configuration: str,
    targets: list[str],
    rate: float,
    load: float,
    fault: str,
) -> None:
    for name in targets:
        running_mesh.set_mode(name, target.Mode(service_ms=SERVICE_MS))
    if fault == "one slow":
        slow = target.Mode(service_ms=SERVICE_MS * 5)
        running_mesh.set_mode(targets[0], slow)
    if fault == "one cold":
        running_mesh.kill(f"upstream {targets[0]}")
        running_mesh.start_target(targets[0])
        mesh.wait_for(
            lambda: _is_serving(running_mesh, targets[0]),
            "the target to answer",
        )
        cold = target.Mode(service_ms=SERVICE_MS, cold_s=3)
        running_mesh.set_mode(targets[0], cold)
    entries = [i.entry for i in running_mesh.instances.values()]
    workers = min(400, int(rate * 3))
    results = caller.LoadGenerator(entries, REQUEST_MIX, rate, workers).run(
        LOAD_S
    )
    verdict = judge.judge(results, running_mesh.run_counts())
    note = f"{configuration}, {load}x of capacity" + (
        f", {fault}" if fault else ""
    )
    for figure, value, goal in (
        ("service_weighted", judge.weighted_service(results, LATE_MS), None),
        ("late_share", judge.late_share(results, LATE_MS), None),
        ("doubled", float(len(verdict.doubled)), 0),
        ("cut", float(len(verdict.cut)), 0),
        ("untrue_refusals", float(len(verdict.untrue)), 0),
    ):
        records.emit(figure, "woodland-circle", 13, value, "1", goal, note)
    time.sleep(2)


def _is_serving(running_mesh: mesh.Mesh, name: str) -> bool:
    try:
        running_mesh.executions(name)
    except mesh.CALL_ERRORS:
        return False
    return True


def drain() -> None:
    """Measure how long a draining target still gets new requests."""
    with mesh.running("woodland-circle", WARNINGS_ONLY) as running_mesh:
        entries = [i.entry for i in running_mesh.instances.values()]
        load = caller.LoadGenerator(
            entries, [caller.RequestSpec("GET", "/sessions", 1)], 100
        )
        load.start()
        time.sleep(1)
        signal_sent_ms = time.time() * 1000
        stopper = threading.Thread(
            target=running_mesh.terminate, args=("glade-2",)
        )
        stopper.start()
        stopper.join()
        load.stop()
        last_start_ms = max(
            execution.started_at_ms
            for execution in running_mesh.executions("glade-2").values()
        )
        records.emit(
            "drain_new_work_ms",
            "woodland-circle",
            13,
            max(0.0, last_start_ms - signal_sent_ms),
            "ms",
            3_000,
        )


def parts() -> (
    collections.abc.Iterator[tuple[str, collections.abc.Callable[[], None]]]
):
    """Yield the names and functions of the parts."""
    yield "latency", latency
    yield "pure", pure.measure
    yield "drain", drain
    yield "service", service
    yield "control", _control


def _control() -> None:
    for count in DAEMON_COUNTS:
        control_plane("woodland-circle", count, direct=False)
    control_plane("aspen-coulee", DAEMON_COUNTS[0], direct=False)
    for count in DIRECT_DAEMON_COUNTS:
        control_plane("woodland-circle", count, direct=True)


def main() -> None:
    """Measure all parts, or one."""
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
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or "unknown"


if __name__ == "__main__":
    main()
