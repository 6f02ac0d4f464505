"""A soak: real processes, faults drawn at random, promises checked.

``python -m standins.soak --seeds 1-50`` plays a run for each seed.  A seed
decides which faults come when; they come in series and overlap.  Meanwhile
callers keep a load on all entries and an operator changes the configuration.
``docs/SOAK.md`` says how to read what it finds.
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

from standins import caller
from standins import judge
from standins import mesh
from standins import monitor
from standins import target

SMALL: typing.Final = mesh.Deployment(
    "woodland-circle",
    "east-mids",
    {"east-mids": ["sherwood", "charnwood"], "west-mids": ["wyre"]},
    {"glade": 2, "hollow": 2, "bramble": 2},
)
WORK: typing.Final = (
    caller.RequestSpec("GET", "/sessions", 4),
    caller.RequestSpec("GET", "/schools/risk-packs", 1, 2),
    caller.RequestSpec("POST", "/reservations", 1, 8, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10, keyed=True),
    caller.RequestSpec("POST", "/deposits", 2, 10),
)
RATE_PER_S: typing.Final = 60.0
WORKERS: typing.Final = 24
FAULTS_S: typing.Final = 12.0
"""How long faults begin; some last for a few seconds more."""

SETTLE_S: typing.Final = 30.0
"""How long the mesh may take to serve everywhere again.  It takes a daemon
two seconds to start, and a target may be waited for by all."""

DRAIN_S: typing.Final = 35.0
"""A planned stop ends within its limit of 30 s, and some for the end."""

_RESTARTED_LEADER: typing.Final = (
    "a leader restarted at its address while another became relay: each "
    "followed the other for ever"
)
_UNMARKED_ANSWER: typing.Final = (
    "an upstream's second answer, without an id, comes once the next request "
    "is on the connection, and is taken for its answer"
)
_SIGNAL_AT_A_LOCK: typing.Final = (
    "a signal came while the main thread held the lock its handler takes"
)
REGRESSIONS: typing.Final = {
    9: _RESTARTED_LEADER,
    18: _RESTARTED_LEADER,
    22: f"{_RESTARTED_LEADER}; {_SIGNAL_AT_A_LOCK}",
    37: _UNMARKED_ANSWER,
    57: _UNMARKED_ANSWER,
}
"""Every seed that ever found something, with its cause."""

FINDINGS: typing.Final = mesh.ROOT / "build" / "soak"
PATHS: typing.Final = ("/sessions", "/schools/risk-packs", "/reservations")


@dataclasses.dataclass(frozen=True, order=True)
class Step:
    """A fault: when it begins, what it is, whom it meets, how long."""

    at_s: float
    kind: str
    affected: str
    for_s: float

    def __str__(self) -> str:
        return (
            f"{self.at_s:5.1f} s  {self.kind} {self.affected} "
            f"for {self.for_s:.1f} s"
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


def draw(seed: int, names: collections.abc.Sequence[str]) -> list[Step]:
    """Return the faults of a seed, in the order in which they begin.

    A target has one fault at a time, so that each can be undone; those of
    different targets overlap, and a herd begins at once.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    free_s: dict[str, float] = {}
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / 0.9)
        if at_s > FAULTS_S:
            return sorted(steps)
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
        kind, for_s = rng.choice(kinds), rng.uniform(0.2, 4.0)
        for name in rng.sample(list(names), count):
            affected = "store" if kinds is STORE_KINDS else name
            layer = "upstream" if kinds is TARGET_KINDS else "daemon"
            if free_s.get(f"{layer} {affected}", 0.0) > at_s:
                continue
            # Whoever is started again needs some time to be hit again.
            free_s[f"{layer} {affected}"] = at_s + for_s + 1.0
            steps.append(Step(at_s, kind, affected, for_s))


class Run:
    """One run: puts its faults in and takes them back."""

    def __init__(self, on: mesh.Mesh, steps: list[Step]) -> None:
        self._mesh = on
        self._steps = steps
        self._stopping: dict[str, subprocess.Popen[bytes]] = {}
        self._starting: dict[str, concurrent.futures.Future[None]] = {}
        self._starters = concurrent.futures.ThreadPoolExecutor()
        self.killed_s: dict[str, list[float]] = {}
        self.hung: list[str] = []

    def play(self) -> None:
        """Put all faults in, each at its time, and take each back."""
        events = sorted(
            [(s.at_s, 0, s) for s in self._steps]
            + [(s.at_s + s.for_s, 1, s) for s in self._steps]
        )
        begun_s = time.monotonic()
        for at_s, ends, step in events:
            time.sleep(max(0.0, begun_s + at_s - time.monotonic()))
            if ends:
                self._end(step)
            else:
                self._begin(step)

    def finish(self) -> None:
        """Wait for planned stops, and start what isn't running."""
        for starting in self._starting.values():
            starting.result()
        self._starters.shutdown()
        for name in list(self._stopping):
            self._start(name)

    def _begin(self, step: Step) -> None:
        on, name, kind = self._mesh, step.affected, step.kind
        if kind in DAEMON_KINDS and name in self._starting:
            self._starting.pop(name).result()
        if kind == "kill":
            self._kill(name)
        elif kind in ("stop", "stop-kill"):
            self._stopping[name] = on.ask_to_stop(name)
        elif kind == "freeze":
            on.freeze(name)
        elif kind == "upstream-kill":
            on.kill(f"upstream {name}")
        elif kind == "upstream-freeze":
            on.freeze(f"upstream {name}")
        elif kind.startswith("answers-"):
            on.wait_for_target(name)
            on.set_mode(name, _mode(kind.removeprefix("answers-")))
        elif kind.startswith("link-"):
            self._harm_link(name, kind.removeprefix("link-"))
        else:
            self._harm_store(kind)

    def _end(self, step: Step) -> None:
        on, name, kind = self._mesh, step.affected, step.kind
        if kind == "stop-kill" and self._stopping[name].poll() is None:
            self._killed(name)
            self._stopping[name].kill()
        if kind in ("kill", "stop", "stop-kill"):
            # A stop takes its time, and the other faults are to end in time.
            self._starting[name] = self._starters.submit(self._start, name)
        elif kind == "freeze":
            on.resume(name)
        elif kind == "upstream-kill":
            on.start_target(name)
        elif kind == "upstream-freeze":
            on.resume(f"upstream {name}")
        elif kind.startswith("answers-"):
            on.set_mode(name, target.Mode())
        elif kind.startswith("link-"):
            on.target_links[name].heal()
            # What went silent stays so until somebody gives it up.
        else:
            on.faults()
            for link in on.store_links.values():
                link.heal()

    def _harm_link(self, name: str, how: str) -> None:
        link = self._mesh.target_links[name]
        if how == "cut":
            link.cut()
        elif how == "reset":
            link.reset()
        else:
            link.drop_data("back", *(["toward"] if how == "silent" else []))

    def _harm_store(self, kind: str) -> None:
        on = self._mesh
        if kind == "store-down":
            on.faults(outage=True)
        elif kind == "store-slow":
            on.faults(delay_ms=400)
        elif kind == "store-loses-answers":
            on.faults(lose_answers=10)
        elif kind == "store-forgets":
            on.compact_history()
        else:
            for link in on.store_links.values():
                link.cut()

    def _kill(self, name: str) -> None:
        self._killed(name)
        self._mesh.kill(name)

    def _killed(self, name: str) -> None:
        self.killed_s.setdefault(name, []).append(time.monotonic())

    def _start(self, name: str) -> None:
        stopping = self._stopping.pop(name, None)
        if stopping is not None:
            try:
                stopping.wait(DRAIN_S)
            except subprocess.TimeoutExpired:
                self.hung.append(name)
                stopping.kill()
                stopping.wait()
        if name not in self._mesh.processes:
            self._mesh.start_daemon(name)


def _mode(fault: str) -> target.Mode:
    if fault == "slow":
        return target.Mode(service_ms=700.0)
    return target.Mode(fault=fault, late_ms=900.0)


def lost(
    results: collections.abc.Iterable[judge.Outcome],
    runs: collections.abc.Mapping[str, int],
    killed_s: collections.abc.Mapping[str, list[float]],
) -> list[caller.Result]:
    """Return requests that ran and whose answer nobody had a right to lose.

    :param killed_s: when each entry was killed, by its address, in monotonic
        seconds.
    """
    return [
        result
        for _, result in results
        if not result.status
        and runs.get(result.id, 0)
        and not any(
            result.ended_s - result.took_ms / 1000 - 0.5
            <= at_s
            <= result.ended_s + 0.5
            for at_s in killed_s.get(result.entry, ())
        )
    ]


def play(seed: int) -> list[str]:
    """Play a seed's run, and return what it finds, one line each."""
    options = "[traffic]\nleave_after_ms = 500\n"
    with mesh.Mesh(
        SMALL, options, far_link=True, target_links=True
    ) as running:
        running.start()
        running.push_example()
        running.wait_in_force(1)
        running.wait_serving()
        steps = draw(seed, list(running.instances))
        found = _play(running, steps)
        if found:
            folder = FINDINGS / str(seed)
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(running.path, folder)
            plan = "\n".join([*map(str, steps), "", *found, ""])
            (folder / "findings.txt").write_text(plan)
        return found


def _play(running: mesh.Mesh, steps: list[Step]) -> list[str]:
    entries = [i.entry for i in running.instances.values()]
    load = caller.LoadGenerator(
        entries, WORK, RATE_PER_S, WORKERS, retries_keyed=True
    )
    watched, changes = monitor.Monitor(running), monitor.Changes(running)
    for part in (load, watched, changes):
        part.start()
    run = Run(running, steps)
    try:
        run.play()
        run.finish()
        found = _served_again(running, changes)
    finally:
        watched.stop()
        results = load.stop()
    return [*found, *_broken(running, run, results, watched)]


def _served_again(running: mesh.Mesh, changes: monitor.Changes) -> list[str]:
    """Wait until the last change is in force and all entries serve."""
    path = changes.stop()
    waiting = ""

    def serves() -> bool:
        nonlocal waiting
        for name in running.daemons():
            for asked in (path, *PATHS):
                result = running.caller(name).call("GET", asked)
                if result.status != 200:
                    waiting = f"{name}: {asked} gets {result.status}"
                    return False
        return True

    try:
        mesh.wait_for(serves, "service everywhere", SETTLE_S)
    except TimeoutError:
        return [f"not served again within {SETTLE_S:.0f} s: {waiting}"]
    return []


def _broken(
    running: mesh.Mesh,
    run: Run,
    results: list[judge.Outcome],
    watched: monitor.Monitor,
) -> list[str]:
    runs = running.run_counts()
    verdict = judge.judge(results, runs)
    killed_s = {
        running.instances[name].entry: times
        for name, times in run.killed_s.items()
    }
    print(
        f"  {verdict.total} requests, {verdict.served} served, "
        f"{verdict.refused} refused, {len(verdict.lost)} without an answer"
    )
    found = {
        "ran twice": verdict.doubled,
        "said not to have run, and had": verdict.untrue,
        "cut, or not its own answer": verdict.cut,
        "ran and lost without a kill": [
            f"{r.id} at {r.entry}: {r.error}"
            for r in lost(results, runs, killed_s)
        ],
        "went back to an older version": [
            f"{name}: {seen}" for name, seen in watched.went_back().items()
        ],
        "two contents of one version": [
            str(number)
            for number, digests in watched.digests.items()
            if len(digests) > 1
        ],
        "didn't end after SIGTERM": run.hung,
    }
    return [
        f"{what}: {each}" for what, listed in found.items() for each in listed
    ]


def numbers(text: str) -> list[int]:
    """Read seeds such as ``1-3,9``.

    >>> numbers("1-3,9")
    [1, 2, 3, 9]
    """
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def _played(seed: int) -> tuple[int, list[str]]:
    try:
        return seed, play(seed)
    except (TimeoutError, OSError, urllib3.exceptions.HTTPError) as exc:
        return seed, [f"the run itself failed: {exc!r}"]


def main() -> None:
    """Play seeds; the exit code tells whether anything was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="such as 1-50,77")
    parser.add_argument("--fresh", type=int, default=0, help="new seeds")
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    seeds = numbers(options.seeds) if options.seeds else []
    seeds += [random.randrange(1_000, 10**9) for _ in range(options.fresh)]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for seed, found in pool.map(_played, seeds):
            failed += bool(found)
            print(f"seed {seed}: {'; '.join(found) or 'clean'}", flush=True)
    print(f"{len(seeds)} seeds played, {failed} with findings.")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
