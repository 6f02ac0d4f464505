"""The steps of ``requests.feature``."""

from __future__ import annotations

import collections.abc
import socket
import threading
import time
import typing

import pytest
import pytest_bdd
import urllib3

from chiveroad import errors
from standins import caller
from standins import judge
from standins import mesh
from standins import target

pytest_bdd.scenarios("requests.feature")

WORK: typing.Final = (
    caller.RequestSpec("GET", "/sessions", 4),
    caller.RequestSpec("GET", "/schools/risk-packs", 1, 2),
    caller.RequestSpec("POST", "/reservations", 1, 8, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10),
)
RATE_PER_S: typing.Final = 60.0
VICTIMS: typing.Final = ("glade-2", "hollow-2", "bramble-2")

Fault = collections.abc.Callable[[mesh.Mesh], None]


@pytest.fixture
def running() -> collections.abc.Iterator[mesh.Mesh]:
    """Yield the deployment."""
    with mesh.running("woodland-circle") as started:
        yield started


@pytest.fixture
def seen() -> dict[str, caller.Result]:
    """Return what single requests came to, by a name."""
    return {}


@pytest_bdd.given("woodland-circle runs with its files in force")
def given_running(running: mesh.Mesh) -> None:
    """Start it."""


@pytest_bdd.given(
    "woodland-circle serves a steady load of every kind",
    target_fixture="load",
)
def given_load(
    running: mesh.Mesh,
) -> collections.abc.Iterator[caller.LoadGenerator]:
    """Start a load on all entries."""
    entries = [i.entry for i in running.instances.values()]
    load = caller.LoadGenerator(
        entries, WORK, RATE_PER_S, 26, retries_keyed=True
    )
    load.start()
    time.sleep(0.5)
    yield load
    load.stop()


def faulty(fault: str, **mode: float) -> Fault:
    """Return a fault that gives one target of each service a mode."""

    def put_in(on: mesh.Mesh) -> None:
        bad = target.Mode(fault=fault, **mode)  # type: ignore[arg-type]
        for name in VICTIMS:
            on.set_mode(name, bad)
        time.sleep(3)
        for name in VICTIMS:
            on.set_mode(name, target.Mode())

    return put_in


def kill_entry(on: mesh.Mesh) -> None:
    """Kill a daemon."""
    on.kill("hollow-2")
    time.sleep(3)


def kill_target(on: mesh.Mesh) -> None:
    """Kill a target and start it again."""
    on.kill("upstream hollow-2")
    time.sleep(2)
    on.start_target("hollow-2")
    on.wait_for_target("hollow-2")
    time.sleep(1)


def restart_cold(on: mesh.Mesh) -> None:
    """Kill a target and start it again, cold."""
    on.kill("upstream hollow-2")
    on.start_target("hollow-2")
    mesh.wait_for(lambda: _is_up(on, "hollow-2"), "the target")
    on.set_mode("hollow-2", target.Mode(cold_s=2.0))
    time.sleep(3)


def _is_up(on: mesh.Mesh, name: str) -> bool:
    try:
        on.executions(name)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def freeze(on: mesh.Mesh) -> None:
    """Pause a daemon for longer than the longest deadline."""
    on.freeze("bramble-2")
    time.sleep(6)
    on.resume("bramble-2")
    time.sleep(1)


def stop_one(on: mesh.Mesh) -> None:
    """Stop a daemon as planned."""
    assert on.terminate("hollow-2") == 0
    time.sleep(1)


def rolling(on: mesh.Mesh) -> None:
    """Stop and start each daemon in turn."""
    for name in on.daemons():
        assert on.terminate(name) == 0
        on.start_daemon(name)
        on.wait_in_force(1, [name])


def outage(on: mesh.Mesh) -> None:
    """Take the store down."""
    on.faults(outage=True)
    time.sleep(4)
    on.faults()
    time.sleep(1)


def lose_claims(on: mesh.Mesh) -> None:
    """Lose the answers to writes of claims."""
    on.faults(lose_answers=15, lose_kind="claims")
    time.sleep(3)


FAULTS: typing.Final[dict[str, Fault]] = {
    "nothing fails": lambda _: time.sleep(2),
    "an entry is killed": kill_entry,
    "a target is killed": kill_target,
    "a daemon is frozen past the deadlines": freeze,
    "a target accepts and closes": faulty("close"),
    "a target cuts its answers": faulty("cut"),
    "a target stalls in its answers": faulty("stall", late_ms=5_500.0),
    "a target's answers are crossed": faulty("crossed"),
    "a target's answers come late": faulty("late", late_ms=5_500.0),
    "a target says too much": faulty("extra"),
    "a target doesn't frame its answers": faulty("unframed"),
    "a target sheds": faulty("shed"),
    "a target is slow": faulty("", service_ms=600.0),
    "a target restarts cold": restart_cold,
    "a daemon stops as planned": stop_one,
    "all daemons are restarted in turn": rolling,
    "the store is out": outage,
    "answers to claims are lost": lose_claims,
}
KILLS_AN_ENTRY: typing.Final = ("an entry is killed",)
FREEZES_AN_ENTRY: typing.Final = ("a daemon is frozen past the deadlines",)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} under load"), target_fixture="verdict"
)
def when_fault(
    running: mesh.Mesh, load: caller.LoadGenerator, fault: str
) -> judge.Verdict:
    """Put the fault in, end the load, and judge."""
    FAULTS[fault](running)
    results = load.stop()
    verdict = judge.judge(results, running.run_counts())
    codes: dict[int, int] = {}
    for _, result in results:
        codes[result.code] = codes.get(result.code, 0) + 1
    print(fault, verdict.total, verdict.served, codes, len(verdict.lost))
    return verdict


@pytest_bdd.then("nothing was doubled, cut or untruly refused")
def then_clean(verdict: judge.Verdict) -> None:
    """The record has nothing to say against it."""
    assert verdict.total > 50
    assert not verdict.doubled
    assert not verdict.cut
    assert not verdict.untrue


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "callers lost at most the answers that {fault} takes with it"
    )
)
def then_lost(running: mesh.Mesh, verdict: judge.Verdict, fault: str) -> None:
    """Only a killed entry takes answers with it."""
    dead = []
    if fault in KILLS_AN_ENTRY:
        dead = [running.instances["hollow-2"].entry]
    if fault in FREEZES_AN_ENTRY:
        dead = [running.instances["bramble-2"].entry]
    lost = [result for result in verdict.lost if result.entry not in dead]
    if fault == "all daemons are restarted in turn":
        # Between its exit and its next start nobody listens there.
        lost = [r for r in lost if "ConnectionRefused" not in r.error]
    if fault == "a daemon stops as planned":
        lost = [r for r in lost if "ConnectionRefused" not in r.error]
    assert not lost


@pytest_bdd.then("the mesh serves again")
def then_serves(running: mesh.Mesh) -> None:
    """Each entry that runs serves every kind."""

    def served() -> bool:
        return all(
            running.caller(name).call(work.method, work.path).status == 200
            for name in running.daemons()
            for work in WORK
        )

    mesh.wait_for(served, "every entry to serve every kind")


class LongRequest(threading.Thread):
    """A request that takes a while, made in the background."""

    def __init__(
        self, on: caller.Caller, method: str, path: str, key: str = ""
    ) -> None:
        super().__init__(daemon=True)
        self._on = on
        self._how = (method, path, b"{}", key)
        self.result: caller.Result | None = None
        self.start()

    def run(self) -> None:
        """Make it."""
        self.result = self._on.call(*self._how)

    def wait(self) -> caller.Result:
        """Wait for its end."""
        self.join(20)
        assert self.result is not None
        return self.result


def slow_all(on: mesh.Mesh, service: str, service_ms: float) -> list[str]:
    """Make all targets of a service slow, and return their names."""
    names = [n for n, i in on.instances.items() if i.service == service]
    for name in names:
        on.set_mode(name, target.Mode(service_ms=service_ms))
    return names


def where_it_runs(on: mesh.Mesh, names: list[str]) -> str:
    """Wait for a running request, and return the target's name."""

    def found() -> str:
        for name in names:
            for entry in on.executions(name).values():
                if entry.runs > entry.finished + entry.cancelled:
                    return name
        return ""

    return mesh.wait_for(found, "a running request")


@pytest_bdd.when(
    "a daemon is asked to stop while a long request runs on it",
    target_fixture="stopped",
)
def when_stopped(
    running: mesh.Mesh,
    load: caller.LoadGenerator,
    seen: dict[str, caller.Result],
) -> tuple[str, float, int]:
    """Stop the daemon beside the target that runs a long request."""
    load.stop()
    names = slow_all(running, "glade", 1_500.0)
    long = LongRequest(running.caller("hollow-1"), "GET", "/kit-lists")
    name = where_it_runs(running, names)
    asked_ms = time.time() * 1000
    codes: list[int] = []
    stopper = threading.Thread(
        target=lambda: codes.append(running.terminate(name))
    )
    stopper.start()
    others = [
        LongRequest(running.caller(n), "GET", "/sessions")
        for n in running.daemons()
        if n != name
    ]
    seen["long"] = long.wait()
    for other in others:
        other.wait()
    stopper.join()
    return name, asked_ms, codes[0]


@pytest_bdd.then("the long request gets its whole answer")
def then_whole(seen: dict[str, caller.Result]) -> None:
    """It wasn't cut."""
    assert seen["long"].status == 200
    assert seen["long"].whole


@pytest_bdd.then("no new work reached its target from the first moment on")
def then_no_new_work(
    running: mesh.Mesh, stopped: tuple[str, float, int]
) -> None:
    """The guard refuses once the signal has arrived."""
    name, asked_ms, _ = stopped
    signal_ms = 100.0
    late = [
        entry
        for entry in running.executions(name).values()
        if entry.started_at_ms > asked_ms + signal_ms
    ]
    assert not late


@pytest_bdd.then("the daemon ended with exit code 0")
def then_exit(stopped: tuple[str, float, int]) -> None:
    """It ended as planned."""
    assert stopped[2] == 0


@pytest_bdd.when(
    "a caller hangs up during a long request", target_fixture="names"
)
def when_hung_up(running: mesh.Mesh) -> list[str]:
    """Hang up."""
    names = slow_all(running, "glade", 1_800.0)
    host, _, port = running.instances["hollow-1"].entry.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            b"GET /sessions HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone\r\n\r\n"
        )
        where_it_runs(running, names)
    return names


@pytest_bdd.then("the target sees the request cancelled")
def then_cancelled(running: mesh.Mesh, names: list[str]) -> None:
    """It is cancelled before it would have ended."""
    mesh.wait_for(
        lambda: any(
            entry.cancelled
            for name in names
            for entry in running.executions(name).values()
        ),
        "a cancelled request",
    )


@pytest_bdd.when(
    "a reservation is asked for at one entry and again at another"
)
def when_again(running: mesh.Mesh, seen: dict[str, caller.Result]) -> None:
    """Ask twice."""
    for name in ("glade-1", "bramble-4"):
        seen[name] = running.caller(name).call(
            "POST", "/reservations", b"{}", "key-1"
        )


@pytest_bdd.then("both get the same answer and it ran once")
def then_once(running: mesh.Mesh, seen: dict[str, caller.Result]) -> None:
    """It ran once."""
    first, second = seen["glade-1"], seen["bramble-4"]
    assert first.status == second.status == 200
    assert first.body == second.body
    assert second.headers["idempotency-replayed"] == "true"
    runs = running.run_counts()
    assert runs.get(first.id, 0) + runs.get(second.id, 0) == 1


@pytest_bdd.then("asking with the key for something else is refused")
def then_reused(running: mesh.Mesh) -> None:
    """The key belongs to another request."""
    result = running.caller("glade-2").call(
        "POST", "/reservations", b"other", "key-1"
    )
    assert (result.status, result.code) == (422, errors.KeyReused.code)


@pytest_bdd.then(
    "asking while the first still runs is answered at once "
    "with when to come back"
)
def then_in_progress(running: mesh.Mesh) -> None:
    """It isn't held."""
    names = slow_all(running, "hollow", 1_500.0)
    first = LongRequest(
        running.caller("glade-1"), "POST", "/reservations", "key-2"
    )
    where_it_runs(running, names)
    second = running.caller("glade-3").call(
        "POST", "/reservations", b"{}", "key-2"
    )
    assert second.code == errors.KeyInProgress.code
    assert int(second.headers["retry-after"]) >= 1
    assert first.is_alive()
    assert first.wait().status == 200


@pytest_bdd.when(
    "the daemon that runs a keyed reservation is killed meanwhile",
    target_fixture="first",
)
def when_guard_dies(running: mesh.Mesh) -> caller.Result:
    """Kill the guard."""
    names = slow_all(running, "hollow", 1_000.0)
    long = LongRequest(
        running.caller("glade-1"), "POST", "/reservations", "key-3"
    )
    running.kill(where_it_runs(running, names))
    return long.wait()


@pytest_bdd.then("asking again is answered unknown and runs nothing")
def then_unknown(running: mesh.Mesh, first: caller.Result) -> None:
    """It isn't run again, now or later."""
    assert first.ran == "unknown"
    codes = set()
    end_s = time.monotonic() + 5
    while time.monotonic() < end_s:
        again = running.caller("glade-3").call(
            "POST", "/reservations", b"{}", "key-3"
        )
        assert again.ran == "unknown"
        codes.add(again.code)
        assert not running.run_counts().get(again.id)
        time.sleep(0.5)
    assert errors.KeyOutcomeUnknown.code in codes


@pytest_bdd.when(
    "one team floods a service that another team uses",
    target_fixture="flooded",
)
def when_flooded(
    running: mesh.Mesh,
) -> tuple[list[judge.Outcome], list[judge.Outcome]]:
    """Flood with one team's routes, and ask a little with another's."""
    slow_all(running, "glade", 400.0)
    entries = [i.entry for i in running.instances.values()]
    flood = caller.LoadGenerator(
        entries,
        [caller.RequestSpec("GET", "/schools/sessions", 1)],
        1_000,
        300,
    )
    other = caller.LoadGenerator(
        entries, [caller.RequestSpec("GET", "/sessions", 1)], 40, 16
    )
    flood.start()
    other.start()
    time.sleep(4)
    return flood.stop(), other.stop()


@pytest_bdd.then("most of the other team's requests are served")
def then_room(
    flooded: tuple[list[judge.Outcome], list[judge.Outcome]],
) -> None:
    """The other team gets through."""
    results = [result for _, result in flooded[1]]
    served = sum(result.status == 200 for result in results)
    assert served > 0.8 * len(results)


@pytest_bdd.then("every refusal says that nothing ran and when to come back")
def then_true(
    running: mesh.Mesh,
    flooded: tuple[list[judge.Outcome], list[judge.Outcome]],
) -> None:
    """Refusals are true."""
    results = [*flooded[0], *flooded[1]]
    refused = [r for _, r in results if r.code == errors.Overloaded.code]
    assert refused
    assert all(r.ran == "no" and "retry-after" in r.headers for r in refused)
    assert judge.judge(results, running.run_counts()).clean


@pytest_bdd.when(
    "a request with a short deadline meets a slow target",
    target_fixture="names",
)
def when_short(
    running: mesh.Mesh, seen: dict[str, caller.Result]
) -> list[str]:
    """Ask with a deadline."""
    names = slow_all(running, "glade", 1_900.0)
    seen["short"] = running.caller("hollow-1").call(
        "GET", "/sessions", headers={"Chiveroad-Timeout-Ms": "300"}
    )
    return names


@pytest_bdd.then("it is answered at its deadline as unknown")
def then_at_deadline(seen: dict[str, caller.Result]) -> None:
    """It isn't held any longer than the slow target would take."""
    result = seen["short"]
    assert result.code == errors.AnswerTimeout.code
    assert result.ran == "unknown"
    assert 290 <= result.took_ms < 1_900
