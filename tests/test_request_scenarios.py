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

REQUEST_MIX: typing.Final = (
    caller.RequestSpec("GET", "/sessions", 4),
    caller.RequestSpec("GET", "/schools/risk-packs", 1, 2),
    caller.RequestSpec("POST", "/reservations", 1, 8, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10, keyed=True),
    caller.RequestSpec("POST", "/deposits", 1, 10),
)
REQUESTS_PER_S: typing.Final = 60.0
FAULTY_INSTANCES: typing.Final = ("glade-2", "hollow-2", "bramble-2")

FaultInjection = collections.abc.Callable[[mesh.Mesh], None]


@pytest.fixture
def running_mesh() -> collections.abc.Iterator[mesh.Mesh]:
    """Yield the running deployment."""
    with mesh.running("woodland-circle") as started:
        yield started


@pytest.fixture
def results_by_name() -> dict[str, caller.Result]:
    """Return the results of single requests, by a name."""
    return {}


@pytest_bdd.given("woodland-circle runs with its files in force")
def given_mesh(running_mesh: mesh.Mesh) -> None:
    """The fixture starts the deployment."""


@pytest_bdd.given(
    "woodland-circle serves a steady load of all request kinds",
    target_fixture="load",
)
def given_steady_load(
    running_mesh: mesh.Mesh,
) -> collections.abc.Iterator[caller.LoadGenerator]:
    """Send requests to all entries at a constant rate."""
    entries = [i.entry for i in running_mesh.instances.values()]
    load = caller.LoadGenerator(
        entries, REQUEST_MIX, REQUESTS_PER_S, 26, retries_keyed=True
    )
    load.start()
    time.sleep(0.5)
    yield load
    load.stop()


def target_fault(fault: str, **mode: float) -> FaultInjection:
    """Return a fault of one target of each service, for 3 s."""

    def inject(running_mesh: mesh.Mesh) -> None:
        fault_mode = target.Mode(fault=fault, **mode)  # type: ignore[arg-type]
        for name in FAULTY_INSTANCES:
            running_mesh.set_mode(name, fault_mode)
        time.sleep(3)
        for name in FAULTY_INSTANCES:
            running_mesh.set_mode(name, target.Mode())

    return inject


def kill_daemon(running_mesh: mesh.Mesh) -> None:
    """Kill a daemon; it isn't started again."""
    running_mesh.kill("hollow-2")
    time.sleep(3)


def restart_target(running_mesh: mesh.Mesh) -> None:
    """Kill a target and start it again."""
    running_mesh.kill("upstream hollow-2")
    time.sleep(2)
    running_mesh.start_target("hollow-2")
    running_mesh.wait_for_target("hollow-2")
    time.sleep(1)


def restart_cold_target(running_mesh: mesh.Mesh) -> None:
    """Kill a target, and start it again with slow requests at first."""
    running_mesh.kill("upstream hollow-2")
    running_mesh.start_target("hollow-2")
    mesh.wait_for(
        lambda: _is_serving(running_mesh, "hollow-2"), "the target to answer"
    )
    running_mesh.set_mode("hollow-2", target.Mode(cold_s=2.0))
    time.sleep(3)


def _is_serving(running_mesh: mesh.Mesh, name: str) -> bool:
    try:
        running_mesh.executions(name)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def freeze_daemon(running_mesh: mesh.Mesh) -> None:
    """Pause a daemon for longer than the longest deadline."""
    running_mesh.freeze("bramble-2")
    time.sleep(6)
    running_mesh.resume("bramble-2")
    time.sleep(1)


def stop_daemon(running_mesh: mesh.Mesh) -> None:
    """Stop a daemon as planned."""
    assert running_mesh.terminate("hollow-2") == 0
    time.sleep(1)


def restart_one_by_one(running_mesh: mesh.Mesh) -> None:
    """Stop and start all daemons, one after another."""
    for name in running_mesh.daemons():
        assert running_mesh.terminate(name) == 0
        running_mesh.start_daemon(name)
        running_mesh.wait_in_force(1, [name])


def store_outage(running_mesh: mesh.Mesh) -> None:
    """Let the store refuse all calls for 4 s."""
    running_mesh.faults(outage=True)
    time.sleep(4)
    running_mesh.faults()
    time.sleep(1)


def lose_answers_to_claims(running_mesh: mesh.Mesh) -> None:
    """Lose the answers to writes of claims."""
    running_mesh.faults(lose_answers=15, lose_kind="claims")
    time.sleep(3)


FAULTS: typing.Final[dict[str, FaultInjection]] = {
    "nothing fails": lambda _: time.sleep(2),
    "an entry is killed": kill_daemon,
    "a target is killed": restart_target,
    "a daemon is frozen past the deadlines": freeze_daemon,
    "a target closes connections without an answer": target_fault("close"),
    "a target truncates its answers": target_fault("cut"),
    "a target stalls in its answers": target_fault("stall", late_ms=5_500.0),
    "a target answers with another request's answer": target_fault("crossed"),
    "a target's answers come late": target_fault("late", late_ms=5_500.0),
    "a target sends bytes after its answer": target_fault("extra"),
    "a target sends answers without a length": target_fault("unframed"),
    "a target rejects requests": target_fault("shed"),
    "a target is slow": target_fault("", service_ms=600.0),
    "a target restarts cold": restart_cold_target,
    "a daemon stops as planned": stop_daemon,
    "all daemons are restarted one after another": restart_one_by_one,
    "the store is unavailable": store_outage,
    "answers to claims are lost": lose_answers_to_claims,
}
ENTRY_KILLING_FAULTS: typing.Final = ("an entry is killed",)
ENTRY_FREEZING_FAULTS: typing.Final = (
    "a daemon is frozen past the deadlines",
)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} under load"), target_fixture="verdict"
)
def when_fault_under_load(
    running_mesh: mesh.Mesh, load: caller.LoadGenerator, fault: str
) -> judge.Verdict:
    """Inject the fault, stop the load, and check the results."""
    FAULTS[fault](running_mesh)
    results = load.stop()
    verdict = judge.judge(results, running_mesh.run_counts())
    codes: dict[int, int] = {}
    for _, result in results:
        codes[result.code] = codes.get(result.code, 0) + 1
    print(fault, verdict.total, verdict.served, codes, len(verdict.lost))
    return verdict


@pytest_bdd.then(
    "no request ran twice or got a truncated, mismatched or untrue answer"
)
def then_guarantees_hold(verdict: judge.Verdict) -> None:
    """The answers agree with the executions that targets recorded."""
    assert verdict.total > 50
    assert not verdict.doubled
    assert not verdict.cut
    assert not verdict.untrue


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "callers lost no answers except those that are lost because {fault}"
    )
)
def then_lost_answers(
    running_mesh: mesh.Mesh, verdict: judge.Verdict, fault: str
) -> None:
    """Answers are lost only at an entry that was killed or paused."""
    excused_entries = []
    if fault in ENTRY_KILLING_FAULTS:
        excused_entries = [running_mesh.instances["hollow-2"].entry]
    if fault in ENTRY_FREEZING_FAULTS:
        excused_entries = [running_mesh.instances["bramble-2"].entry]
    lost = [
        result
        for result in verdict.lost
        if result.entry not in excused_entries
    ]
    if fault == "all daemons are restarted one after another":
        # No process listens between the exit and the next start.
        lost = [r for r in lost if "ConnectionRefused" not in r.error]
    if fault == "a daemon stops as planned":
        lost = [r for r in lost if "ConnectionRefused" not in r.error]
    assert not lost


@pytest_bdd.then("all entries serve again")
def then_entries_serve(running_mesh: mesh.Mesh) -> None:
    """Each running entry serves every kind of request."""

    def all_serve() -> bool:
        return all(
            running_mesh.caller(name).call(spec.method, spec.path).status
            == 200
            for name in running_mesh.daemons()
            for spec in REQUEST_MIX
        )

    mesh.wait_for(all_serve, "every entry to serve every kind of request")


class LongRequest(threading.Thread):
    """A request made in a thread of its own."""

    def __init__(
        self, client: caller.Caller, method: str, path: str, key: str = ""
    ) -> None:
        super().__init__(daemon=True)
        self._client = client
        self._arguments = (method, path, b"{}", key)
        self.result: caller.Result | None = None
        self.start()

    def run(self) -> None:
        """Make the request."""
        self.result = self._client.call(*self._arguments)

    def wait(self) -> caller.Result:
        """Wait for the result."""
        self.join(20)
        assert self.result is not None
        return self.result


def slow_service(
    running_mesh: mesh.Mesh, service: str, service_ms: float
) -> list[str]:
    """Set the service time of a service; return its instances."""
    names = [
        n for n, i in running_mesh.instances.items() if i.service == service
    ]
    for name in names:
        running_mesh.set_mode(name, target.Mode(service_ms=service_ms))
    return names


def wait_for_running_request(running_mesh: mesh.Mesh, names: list[str]) -> str:
    """Wait for a running request; return the instance of its target."""

    def target_with_running_request() -> str:
        for name in names:
            for execution in running_mesh.executions(name).values():
                if execution.runs > execution.finished + execution.cancelled:
                    return name
        return ""

    return mesh.wait_for(target_with_running_request, "a running request")


@pytest_bdd.when(
    "a daemon is asked to stop while a long request runs on it",
    target_fixture="stop_outcome",
)
def when_daemon_stops(
    running_mesh: mesh.Mesh,
    load: caller.LoadGenerator,
    results_by_name: dict[str, caller.Result],
) -> tuple[str, float, int]:
    """Stop the daemon whose local target runs a long request."""
    load.stop()
    names = slow_service(running_mesh, "glade", 1_500.0)
    long_request = LongRequest(
        running_mesh.caller("hollow-1"), "GET", "/kit-lists"
    )
    name = wait_for_running_request(running_mesh, names)
    signal_sent_ms = time.time() * 1000
    exit_codes: list[int] = []
    stopper = threading.Thread(
        target=lambda: exit_codes.append(running_mesh.terminate(name))
    )
    stopper.start()
    others = [
        LongRequest(running_mesh.caller(n), "GET", "/sessions")
        for n in running_mesh.daemons()
        if n != name
    ]
    results_by_name["long"] = long_request.wait()
    for other in others:
        other.wait()
    stopper.join()
    return name, signal_sent_ms, exit_codes[0]


@pytest_bdd.then("the long request gets its complete answer")
def then_complete_answer(results_by_name: dict[str, caller.Result]) -> None:
    """The planned stop didn't truncate the answer."""
    assert results_by_name["long"].status == 200
    assert results_by_name["long"].whole


@pytest_bdd.then("no new request reached its target after the signal")
def then_no_new_request(
    running_mesh: mesh.Mesh, stop_outcome: tuple[str, float, int]
) -> None:
    """The guard refuses requests after 100 ms for the signal to arrive."""
    name, signal_sent_ms, _ = stop_outcome
    signal_delivery_ms = 100.0
    late_executions = [
        execution
        for execution in running_mesh.executions(name).values()
        if execution.started_at_ms > signal_sent_ms + signal_delivery_ms
    ]
    assert not late_executions


@pytest_bdd.then("the daemon ended with exit code 0")
def then_exit_code_0(stop_outcome: tuple[str, float, int]) -> None:
    """The daemon stopped as planned."""
    assert stop_outcome[2] == 0


@pytest_bdd.when(
    "a caller disconnects during a long request", target_fixture="names"
)
def when_caller_disconnects(running_mesh: mesh.Mesh) -> list[str]:
    """Close the connection while the request runs."""
    names = slow_service(running_mesh, "glade", 1_800.0)
    host, _, port = running_mesh.instances["hollow-1"].entry.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            b"GET /sessions HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone\r\n\r\n"
        )
        wait_for_running_request(running_mesh, names)
    return names


@pytest_bdd.then("the target sees the request cancelled")
def then_cancelled(running_mesh: mesh.Mesh, names: list[str]) -> None:
    """The target recorded a cancelled request."""
    mesh.wait_for(
        lambda: any(
            execution.cancelled
            for name in names
            for execution in running_mesh.executions(name).values()
        ),
        "a cancelled request",
    )


@pytest_bdd.when(
    "a keyed reservation is sent to one entry and again to another"
)
def when_sent_twice(
    running_mesh: mesh.Mesh, results_by_name: dict[str, caller.Result]
) -> None:
    """Send a request with one key to two entries."""
    for name in ("glade-1", "bramble-4"):
        results_by_name[name] = running_mesh.caller(name).call(
            "POST", "/reservations", b"{}", "key-1"
        )


@pytest_bdd.then("both get the same answer and the reservation ran once")
def then_ran_once(
    running_mesh: mesh.Mesh, results_by_name: dict[str, caller.Result]
) -> None:
    """The second answer is a replay of the first."""
    first, second = results_by_name["glade-1"], results_by_name["bramble-4"]
    assert first.status == second.status == 200
    assert first.body == second.body
    assert second.headers["idempotency-replayed"] == "true"
    runs = running_mesh.run_counts()
    assert runs.get(first.id, 0) + runs.get(second.id, 0) == 1


@pytest_bdd.then("a different request with the same key is refused")
def then_key_reuse_refused(running_mesh: mesh.Mesh) -> None:
    """The key was used for a request with another body."""
    result = running_mesh.caller("glade-2").call(
        "POST", "/reservations", b"other", "key-1"
    )
    assert (result.status, result.code) == (422, errors.KeyReused.code)


@pytest_bdd.then(
    "a retry while the first request runs is refused at once "
    "with a retry time"
)
def then_in_progress(running_mesh: mesh.Mesh) -> None:
    """The retry doesn't wait for the first request."""
    names = slow_service(running_mesh, "hollow", 1_500.0)
    first = LongRequest(
        running_mesh.caller("glade-1"), "POST", "/reservations", "key-2"
    )
    wait_for_running_request(running_mesh, names)
    second = running_mesh.caller("glade-3").call(
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
def when_guard_is_killed(running_mesh: mesh.Mesh) -> caller.Result:
    """Kill the daemon whose guard runs the request."""
    names = slow_service(running_mesh, "hollow", 1_000.0)
    long_request = LongRequest(
        running_mesh.caller("glade-1"), "POST", "/reservations", "key-3"
    )
    running_mesh.kill(wait_for_running_request(running_mesh, names))
    return long_request.wait()


@pytest_bdd.then("a retry is answered with unknown and runs nothing")
def then_outcome_unknown(
    running_mesh: mesh.Mesh, first: caller.Result
) -> None:
    """No retry runs the request, for 5 s."""
    assert first.ran == "unknown"
    codes = set()
    end_s = time.monotonic() + 5
    while time.monotonic() < end_s:
        retry = running_mesh.caller("glade-3").call(
            "POST", "/reservations", b"{}", "key-3"
        )
        assert retry.ran == "unknown"
        codes.add(retry.code)
        assert not running_mesh.run_counts().get(retry.id)
        time.sleep(0.5)
    assert errors.KeyOutcomeUnknown.code in codes


@pytest_bdd.when(
    "one team floods a service that another team uses",
    target_fixture="flood_results",
)
def when_team_floods(
    running_mesh: mesh.Mesh,
) -> tuple[list[judge.Outcome], list[judge.Outcome]]:
    """Flood the routes of one team, and send some requests to another."""
    slow_service(running_mesh, "glade", 400.0)
    entries = [i.entry for i in running_mesh.instances.values()]
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
def then_other_team_is_served(
    flood_results: tuple[list[judge.Outcome], list[judge.Outcome]],
) -> None:
    """Over 80% of the requests of the other team are served."""
    results = [result for _, result in flood_results[1]]
    served = sum(result.status == 200 for result in results)
    assert served > 0.8 * len(results)


@pytest_bdd.then("every refusal says that nothing ran and when to retry")
def then_refusals_are_true(
    running_mesh: mesh.Mesh,
    flood_results: tuple[list[judge.Outcome], list[judge.Outcome]],
) -> None:
    """No refused request ran, and refusals have a retry time."""
    results = [*flood_results[0], *flood_results[1]]
    refused = [r for _, r in results if r.code == errors.Overloaded.code]
    assert refused
    assert all(r.ran == "no" and "retry-after" in r.headers for r in refused)
    assert judge.judge(results, running_mesh.run_counts()).clean


@pytest_bdd.when(
    "a request with a short deadline meets a slow target",
    target_fixture="names",
)
def when_deadline_is_short(
    running_mesh: mesh.Mesh, results_by_name: dict[str, caller.Result]
) -> list[str]:
    """Send a request with a deadline of 300 ms."""
    names = slow_service(running_mesh, "glade", 1_900.0)
    results_by_name["short"] = running_mesh.caller("hollow-1").call(
        "GET", "/sessions", headers={"Chiveroad-Timeout-Ms": "300"}
    )
    return names


@pytest_bdd.then("the request is answered with unknown at its deadline")
def then_answered_at_deadline(
    results_by_name: dict[str, caller.Result],
) -> None:
    """The answer doesn't wait for the target, which takes 1.9 s."""
    result = results_by_name["short"]
    assert result.code == errors.AnswerTimeout.code
    assert result.ran == "unknown"
    assert 290 <= result.took_ms < 1_900
