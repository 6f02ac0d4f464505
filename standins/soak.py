"""Soak test: random faults in a mesh of real processes, under load.

``python -m standins.soak --seeds 1-50`` makes a run for each seed.  The seed
determines the kinds and the times of the faults, which follow each other and
overlap.  Meanwhile callers send requests to all entries, and the
configuration is changed repeatedly.  After each run the guarantees of the
mesh are checked.  ``docs/SOAK.md`` explains the findings.
"""

from __future__ import annotations

import argparse
import collections.abc
import concurrent.futures
import dataclasses
import random
import shutil
import subprocess
import sys
import time
import typing

import urllib3

from chiveroad import errors
from standins import caller
from standins import ending
from standins import judge
from standins import mesh
from standins import monitor
from standins import statements
from standins import target

DEPLOYMENT: typing.Final = mesh.Deployment(
    "woodland-circle",
    "east-mids",
    {"east-mids": ["sherwood", "charnwood"], "west-mids": ["wyre"]},
    {"glade": 2, "hollow": 2, "bramble": 2},
)
REQUEST_MIX: typing.Final = (
    caller.RequestSpec("GET", "/sessions", 4),
    caller.RequestSpec("GET", "/schools/risk-packs", 1, 2),
    caller.RequestSpec("POST", "/reservations", 1, 8, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10, keyed=True),
    caller.RequestSpec("POST", "/deposits", 2, 10),
)
REQUESTS_PER_S: typing.Final = 60.0
WORKERS: typing.Final = 24
FAULT_PHASE_S: typing.Final = 12.0
"""Faults start within this time; some last up to 4 s longer."""

RECOVERY_TIMEOUT_S: typing.Final = 30.0
"""How long the mesh may take until all entries serve again.  A daemon takes
2 s to start, and all daemons may have to wait for a target."""

DRAIN_TIMEOUT_S: typing.Final = 35.0
"""The limit of a planned stop is 30 s; the exit of the process follows."""

_PARENT_CYCLE: typing.Final = (
    "a leader restarted at its address while another daemon became relay: "
    "each followed the other forever"
)
_ANSWER_WITHOUT_ID: typing.Final = (
    "the second answer of a target, without an id, arrives after the next "
    "request on the connection was sent, and is taken for its answer"
)
_SIGNAL_DEADLOCK: typing.Final = (
    "a signal arrived while the main thread held the lock that the signal "
    "handler acquires"
)
REGRESSIONS: typing.Final = {
    9: _PARENT_CYCLE,
    18: _PARENT_CYCLE,
    22: f"{_PARENT_CYCLE}; {_SIGNAL_DEADLOCK}",
    37: _ANSWER_WITHOUT_ID,
    57: _ANSWER_WITHOUT_ID,
}
"""All seeds that had a finding, with the cause of it."""

FINDINGS: typing.Final = mesh.ROOT / "build" / "soak"
MAX_ENDS: typing.Final = 3
"""How many targets a repeated request may end while nothing else fails."""

PROBE_PATHS: typing.Final = (
    "/sessions",
    "/schools/risk-packs",
    "/reservations",
)


@dataclasses.dataclass(frozen=True, order=True)
class PlannedFault:
    """A fault to inject, at a time after the start of the run.

    ``affected`` is the instance whose daemon or target is affected, or
    ``store``.
    """

    start_s: float
    kind: str
    affected: str
    duration_s: float

    def __str__(self) -> str:
        return (
            f"{self.start_s:5.1f} s  {self.kind} {self.affected} "
            f"for {self.duration_s:.1f} s"
        )


DAEMON_KINDS: typing.Final = ("kill", "stop", "stop-kill", "freeze")
TARGET_KINDS: typing.Final = (
    "upstream-kill",
    "upstream-freeze",
    "link-cut",
    "link-reset",
    "link-silent",
    "link-one-way",
    *(
        f"answers-{fault}"
        for fault in "close cut stall crossed late extra unframed shed "
        "error slow".split()
    ),
)
STORE_KINDS: typing.Final = (
    "store-down",
    "store-slow",
    "store-loses-answers",
    "store-forgets",
    "store-link-cut",
)


STATEMENT_KINDS: typing.Final = {"states-limit": 8.0, "states-leave": 3.0}
"""What a target states in its answers, and for how long, in seconds: a limit
binds only some seconds after its first statement."""

STATED_LIMIT: typing.Final = "6.5"
MALFORMED_S: typing.Final = (4.0, 2.0)
"""For how long targets give malformed answers, one target after the other."""


def draw_statements(
    seed: int,
    names: collections.abc.Sequence[str],
    faults: collections.abc.Sequence[PlannedFault],
) -> list[PlannedFault]:
    """Return what targets state during a run, and when."""
    kinds = list(STATEMENT_KINDS.items())
    return _draw_apart(f"statements {seed}", kinds, names, faults)


def draw_malformed(
    seed: int,
    names: collections.abc.Sequence[str],
    faults: collections.abc.Sequence[PlannedFault],
) -> list[PlannedFault]:
    """Return which targets give malformed answers during a run, and when."""
    kinds = [("answers-malformed", duration_s) for duration_s in MALFORMED_S]
    return _draw_apart(f"malformed {seed}", kinds, names, faults)


def _draw_apart(
    seed: str,
    kinds: collections.abc.Iterable[tuple[str, float]],
    names: collections.abc.Sequence[str],
    faults: collections.abc.Sequence[PlannedFault],
) -> list[PlannedFault]:
    """Return further faults of targets that have no other fault meanwhile.

    They have a seed of their own, so that the faults of a run stay the same.

    :param kinds: the kinds, each with its duration in seconds.
    """
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    for kind, duration_s in kinds:
        for name in rng.sample(list(names), len(names)):
            start_s = rng.uniform(0.0, FAULT_PHASE_S - 3.0)
            drawn = PlannedFault(start_s, kind, name, duration_s)
            if not any(
                _overlap(drawn, other) for other in (*faults, *planned)
            ):
                planned.append(drawn)
                break
    return planned


def _overlap(first: PlannedFault, second: PlannedFault) -> bool:
    """Tell whether faults affect the same target at the same time."""
    if first.affected != second.affected or second.kind in DAEMON_KINDS:
        return False
    # A restarted process needs 1 s until its next fault.
    return (
        first.start_s < second.start_s + second.duration_s + 1.0
        and second.start_s < first.start_s + first.duration_s + 1.0
    )


def draw_faults(
    seed: int, names: collections.abc.Sequence[str]
) -> list[PlannedFault]:
    """Return the faults of a seed, in the order of their start.

    A daemon, a target and the store have one fault at a time, so that each
    fault can be reverted.  Faults of different processes overlap, and faults
    of half of the daemons may start together.
    """
    rng = random.Random(seed)
    faults: list[PlannedFault] = []
    available_s: dict[str, float] = {}
    start_s = 0.0
    while True:
        start_s += rng.expovariate(1 / 0.9)
        if start_s > FAULT_PHASE_S:
            return sorted(faults)
        kinds, count = rng.choice(
            (
                (DAEMON_KINDS, 1),
                (DAEMON_KINDS, 1),
                (("kill", "stop", "freeze"), len(names) // 2),
                (TARGET_KINDS, 1),
                (TARGET_KINDS, 2),
                (STORE_KINDS, 1),
            )
        )
        kind, duration_s = rng.choice(kinds), rng.uniform(0.2, 4.0)
        for name in rng.sample(list(names), count):
            affected = "store" if kinds is STORE_KINDS else name
            component = "upstream" if kinds is TARGET_KINDS else "daemon"
            if available_s.get(f"{component} {affected}", 0.0) > start_s:
                continue
            # A restarted process needs 1 s until its next fault.
            available_s[f"{component} {affected}"] = start_s + duration_s + 1.0
            faults.append(PlannedFault(start_s, kind, affected, duration_s))


class FaultInjector:
    """Injects the faults of a run, and reverts each after its duration."""

    def __init__(
        self, running_mesh: mesh.Mesh, faults: list[PlannedFault]
    ) -> None:
        self._mesh = running_mesh
        self._faults = faults
        self._stopping: dict[str, subprocess.Popen[bytes]] = {}
        self._starting: dict[str, concurrent.futures.Future[None]] = {}
        self._starters = concurrent.futures.ThreadPoolExecutor()
        self.kill_times_s: dict[str, list[float]] = {}
        self.arrivals: dict[PlannedFault, list[target.Arrival]] = {}
        """The arrivals at a target until it no longer states something."""

        self.hung_daemons: list[str] = []

    def inject_all(self) -> None:
        """Inject and revert all faults, each at its time."""
        events = sorted(
            [(planned.start_s, 0, planned) for planned in self._faults]
            + [
                (planned.start_s + planned.duration_s, 1, planned)
                for planned in self._faults
            ]
        )
        run_start_s = time.monotonic()
        for event_s, is_end, fault in events:
            time.sleep(max(0.0, run_start_s + event_s - time.monotonic()))
            if is_end:
                self._revert(fault)
            else:
                self._inject(fault)

    def finish(self) -> None:
        """Wait for planned stops, and start the daemons that don't run."""
        for starting in self._starting.values():
            starting.result()
        self._starters.shutdown()
        for name in list(self._stopping):
            self._start(name)

    def _inject(self, fault: PlannedFault) -> None:
        running_mesh, name, kind = self._mesh, fault.affected, fault.kind
        if kind in DAEMON_KINDS and name in self._starting:
            self._starting.pop(name).result()
        if kind == "kill":
            self._kill(name)
        elif kind in ("stop", "stop-kill"):
            self._stopping[name] = running_mesh.ask_to_stop(name)
        elif kind == "freeze":
            running_mesh.freeze(name)
        elif kind == "upstream-kill":
            running_mesh.kill(f"upstream {name}")
        elif kind == "upstream-freeze":
            running_mesh.freeze(f"upstream {name}")
        elif kind.startswith("answers-"):
            running_mesh.wait_for_target(name)
            running_mesh.set_mode(
                name, _target_mode(kind.removeprefix("answers-"))
            )
        elif kind in STATEMENT_KINDS:
            running_mesh.wait_for_target(name)
            running_mesh.set_mode(name, _stating_mode(kind))
        elif kind.startswith("link-"):
            self._impair_link(name, kind.removeprefix("link-"))
        else:
            self._impair_store(kind)

    def _revert(self, fault: PlannedFault) -> None:
        running_mesh, name, kind = self._mesh, fault.affected, fault.kind
        if kind == "stop-kill" and self._stopping[name].poll() is None:
            self._record_kill(name)
            self._stopping[name].kill()
        if kind in ("kill", "stop", "stop-kill"):
            # A planned stop may take long, and must not delay the end of other
            # faults.
            self._starting[name] = self._starters.submit(self._start, name)
        elif kind == "freeze":
            running_mesh.resume(name)
        elif kind == "upstream-kill":
            running_mesh.start_target(name)
        elif kind == "upstream-freeze":
            running_mesh.resume(f"upstream {name}")
        elif kind in STATEMENT_KINDS:
            self.arrivals[fault] = running_mesh.arrivals(name)
            if kind == "states-leave":
                running_mesh.kill(f"upstream {name}")
                running_mesh.start_target(name)
            else:
                running_mesh.set_mode(name, target.Mode())
        elif kind.startswith("answers-"):
            running_mesh.set_mode(name, target.Mode())
        elif kind.startswith("link-"):
            running_mesh.target_links[name].heal()
            # A connection that lost data stays unresponsive until one of its
            # ends closes it.
        else:
            running_mesh.faults()
            for link in running_mesh.store_links.values():
                link.heal()

    def _impair_link(self, name: str, fault: str) -> None:
        link = self._mesh.target_links[name]
        if fault == "cut":
            link.cut()
        elif fault == "reset":
            link.reset()
        else:
            link.drop_data("back", *(["toward"] if fault == "silent" else []))

    def _impair_store(self, kind: str) -> None:
        running_mesh = self._mesh
        if kind == "store-down":
            running_mesh.faults(outage=True)
        elif kind == "store-slow":
            running_mesh.faults(delay_ms=400)
        elif kind == "store-loses-answers":
            running_mesh.faults(lose_answers=10)
        elif kind == "store-forgets":
            # Another writer leaves an entry while the history is dropped.
            running_mesh.write_malformed_entry()
            running_mesh.compact_history()
        else:
            for link in running_mesh.store_links.values():
                link.cut()

    def _kill(self, name: str) -> None:
        self._record_kill(name)
        self._mesh.kill(name)

    def _record_kill(self, name: str) -> None:
        self.kill_times_s.setdefault(name, []).append(time.monotonic())

    def _start(self, name: str) -> None:
        stopping = self._stopping.pop(name, None)
        if stopping is not None:
            try:
                stopping.wait(DRAIN_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.hung_daemons.append(name)
                stopping.kill()
                stopping.wait()
        if name not in self._mesh.processes:
            self._mesh.start_daemon(name)


def _stating_mode(kind: str) -> target.Mode:
    if kind == "states-leave":
        return target.Mode(leaving=True)
    return target.Mode(rate_limit=STATED_LIMIT)


def _target_mode(fault: str) -> target.Mode:
    if fault == "slow":
        return target.Mode(service_ms=700.0)
    return target.Mode(fault=fault, late_ms=900.0)


def lost_answers(
    results: collections.abc.Iterable[judge.Outcome],
    run_counts: collections.abc.Mapping[str, int],
    kill_times_s: collections.abc.Mapping[str, list[float]],
) -> list[caller.Result]:
    """Return requests that ran and lost their answer without a kill.

    The answer may be lost if the entry was killed during the request, within
    0.5 s.

    :param kill_times_s: when each entry was killed, by its address, in
        monotonic seconds.
    """
    return [
        result
        for _, result in results
        if not result.status
        and run_counts.get(result.id, 0)
        and not any(
            result.ended_s - result.took_ms / 1000 - 0.5
            <= kill_time_s
            <= result.ended_s + 0.5
            for kill_time_s in kill_times_s.get(result.entry, ())
        )
    ]


def run_seed(seed: int, ends_targets: bool = False) -> list[str]:
    """Make the run of a seed, and return its findings, one line each.

    :param ends_targets: whether requests that end their targets are repeated
        during the faults; targets then have no other faults.
    """
    options = "[traffic]\nleave_after_ms = 500\n"
    # A link would accept connections for a target that has ended.
    with mesh.Mesh(
        DEPLOYMENT,
        options,
        far_link=True,
        target_links=not ends_targets,
        ends_on=ending.ENDS_ON if ends_targets else "",
    ) as running_mesh:
        running_mesh.start()
        running_mesh.push_example()
        running_mesh.wait_in_force(1)
        running_mesh.wait_serving()
        names = list(running_mesh.instances)
        faults = draw_faults(seed, names)
        if ends_targets:
            entry = random.Random(f"ending {seed}").choice(names)
            faults = [each for each in faults if each.kind not in TARGET_KINDS]
            findings = _run_with_ending_requests(running_mesh, faults, entry)
        else:
            faults += draw_statements(seed, names, faults)
            faults += draw_malformed(seed, names, faults)
            findings = _run_with_load(running_mesh, faults)
        if findings:
            folder = FINDINGS / str(seed)
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(running_mesh.path, folder)
            plan = "\n".join([*map(str, faults), "", *findings, ""])
            (folder / "findings.txt").write_text(plan)
        return findings


def _run_with_ending_requests(
    running_mesh: mesh.Mesh, faults: list[PlannedFault], entry: str
) -> list[str]:
    repeated = ending.EndingCaller(running_mesh, entry)
    findings = _run_with_load(running_mesh, faults, repeated)
    services = {
        name: instance.service
        for name, instance in running_mesh.instances.items()
    }
    allowed = most_ends(faults, entry, services)
    print(f"  {repeated.ended} targets ended, {allowed} may")
    if repeated.ended > allowed:
        findings.append(f"{repeated.ended} targets ended, {allowed} may")
    return findings


def most_ends(
    faults: collections.abc.Iterable[PlannedFault],
    entry: str,
    services: collections.abc.Mapping[str, str],
) -> int:
    """Return how many targets a repeated request may end in a run.

    An entry that is killed, and a daemon that is stopped or killed beside the
    target that ends, may not have told others what they knew; each attempt
    ends two targets at most.

    :param services: the service of each instance.
    """
    losing = sum(
        fault.affected == entry
        or services.get(fault.affected) == ending.SERVICE
        for fault in faults
        if fault.kind in DAEMON_KINDS
    )
    return MAX_ENDS + 2 * losing


def _run_with_load(
    running_mesh: mesh.Mesh,
    faults: list[PlannedFault],
    repeated: ending.EndingCaller | None = None,
) -> list[str]:
    entries = [i.entry for i in running_mesh.instances.values()]
    load = caller.LoadGenerator(
        entries, REQUEST_MIX, REQUESTS_PER_S, WORKERS, retries_keyed=True
    )
    version_monitor, changes = monitor.Monitor(running_mesh), monitor.Changes(
        running_mesh
    )
    for task in (load, version_monitor, changes):
        task.start()
    injector = FaultInjector(running_mesh, faults)
    if repeated is not None:
        repeated.start()
    try:
        injector.inject_all()
        if repeated is not None:
            repeated.stop()
        injector.finish()
        findings = _wait_for_recovery(running_mesh, changes)
    finally:
        version_monitor.stop()
        results = load.stop()
    return [
        *findings,
        *_violations(running_mesh, injector, results, version_monitor),
    ]


def _wait_for_recovery(
    running_mesh: mesh.Mesh, changes: monitor.Changes
) -> list[str]:
    """Wait until the last change is in force and all entries serve.

    Return a finding if that takes too long.
    """
    changed_path = changes.stop()
    last_failure = ""

    def all_serve() -> bool:
        nonlocal last_failure
        for name in running_mesh.daemons():
            for path in (changed_path, *PROBE_PATHS):
                result = running_mesh.caller(name).call("GET", path)
                if result.status != 200:
                    last_failure = f"{name}: {path} gets {result.status}"
                    return False
        return True

    try:
        mesh.wait_for(all_serve, "all entries to serve", RECOVERY_TIMEOUT_S)
    except TimeoutError:
        return [
            f"not served again within {RECOVERY_TIMEOUT_S:.0f} s: "
            f"{last_failure}"
        ]
    return []


def _violations(
    running_mesh: mesh.Mesh,
    injector: FaultInjector,
    results: list[judge.Outcome],
    version_monitor: monitor.Monitor,
) -> list[str]:
    run_counts = running_mesh.run_counts()
    verdict = judge.judge(results, run_counts)
    kill_times_s = {
        running_mesh.instances[name].entry: times
        for name, times in injector.kill_times_s.items()
    }
    print(
        f"  {verdict.total} requests, {verdict.served} served, "
        f"{verdict.refused} refused, {len(verdict.lost)} without an answer"
    )
    sent_s = {
        result.id: result.ended_s - result.took_ms / 1000
        for _, result in results
    }
    findings_by_label = {
        "ran twice": verdict.doubled,
        "said not to have run, and had": verdict.untrue,
        "cut, or not its own answer": verdict.cut,
        "ran and lost without a kill": [
            f"{result.id} at {result.entry}: {result.error}"
            for result in lost_answers(results, run_counts, kill_times_s)
        ],
        "went back to an older version": [
            f"{name}: {versions}"
            for name, versions in version_monitor.went_back().items()
        ],
        "two contents of one version": [
            str(number)
            for number, digests in version_monitor.digests.items()
            if len(digests) > 1
        ],
        "refused for targets that others have ended": [
            f"{result.id} at {result.entry}"
            for _, result in results
            if result.code == errors.Quarantined.code
        ],
        "didn't end after SIGTERM": injector.hung_daemons,
        "got more than its stated limit": [
            f"{fault.affected}: {finding}"
            for fault, arrivals in injector.arrivals.items()
            for finding in statements.over_limit(arrivals)[:1]
        ],
        "got requests after its stated leave": [
            f"{fault.affected}: {finding}"
            for fault, arrivals in injector.arrivals.items()
            for finding in statements.after_leaving(arrivals, sent_s)
        ],
    }
    return [
        f"{label}: {finding}"
        for label, details in findings_by_label.items()
        for finding in details
    ]


def parse_seeds(text: str) -> list[int]:
    """Read seeds such as ``1-3,9``.

    >>> parse_seeds("1-3,9")
    [1, 2, 3, 9]
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def _run_seed_or_report(
    seed: int, ends_targets: bool
) -> tuple[int, list[str]]:
    try:
        return seed, run_seed(seed, ends_targets)
    except (TimeoutError, OSError, urllib3.exceptions.HTTPError) as exc:
        return seed, [f"the run itself failed: {exc!r}"]


def main() -> None:
    """Make the runs of all seeds; exit with 1 if there are findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="such as 1-50,77")
    parser.add_argument("--fresh", type=int, default=0, help="new seeds")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument(
        "--ends-targets",
        action="store_true",
        help="repeat a request that ends its targets",
    )
    options = parser.parse_args()
    seeds = parse_seeds(options.seeds) if options.seeds else []
    seeds += [random.randrange(1_000, 10**9) for _ in range(options.fresh)]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        ends_targets = [options.ends_targets] * len(seeds)
        report(pool.map(_run_seed_or_report, seeds, ends_targets))


def report(
    runs: collections.abc.Iterable[tuple[int, list[str]]],
) -> typing.NoReturn:
    """Print the findings of each seed; exit with 1 if there are any."""
    played = failed = 0
    for seed, findings in runs:
        played += 1
        failed += bool(findings)
        print(f"seed {seed}: {'; '.join(findings) or 'clean'}", flush=True)
    print(f"{played} seeds played, {failed} with findings.")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
