"""The steps of ``configuration.feature``."""

from __future__ import annotations

import collections.abc

import pytest
import pytest_bdd

from chiveroad import config
from chiveroad import control
from chiveroad import errors
from standins import caller
from standins import mesh
from standins import monitor
from tests.steps import faults

pytest_bdd.scenarios("configuration.feature")


@pytest.fixture
def running() -> collections.abc.Iterator[mesh.Mesh]:
    """Yield the deployment, with a slow link to its far region."""
    with mesh.running("woodland-circle", far_link=True) as started:
        yield started


@pytest_bdd.given("woodland-circle runs with its files in force")
def given_running(running: mesh.Mesh) -> None:
    """Start it."""


@pytest_bdd.given(
    "every version in force is watched", target_fixture="watched"
)
def given_watched(
    running: mesh.Mesh,
) -> collections.abc.Iterator[monitor.Monitor]:
    """Watch it."""
    watched = monitor.Monitor(running)
    watched.start()
    yield watched


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} while files change"),
    target_fixture="last_path",
)
def when_fault(running: mesh.Mesh, fault: str) -> str:
    """Put the fault in."""
    changes = monitor.Changes(running)
    changes.start()
    try:
        faults.FAULTS[fault](running)
    finally:
        path = changes.stop()
    return path


@pytest_bdd.then("the last change is in force on every daemon")
def then_in_force(running: mesh.Mesh, last_path: str) -> None:
    """Every entry knows the last route."""

    def known() -> bool:
        results = [
            running.caller(name).call("GET", last_path)
            for name in running.daemons()
        ]
        return all(result.status == 200 for result in results)

    mesh.wait_for(known, f"{last_path} everywhere")


@pytest_bdd.then("no daemon went back to an older version")
def then_never_back(watched: monitor.Monitor) -> None:
    """No daemon went back."""
    watched.stop()
    assert watched.versions
    assert not watched.went_back()


@pytest_bdd.then("every version had one content everywhere")
def then_one_content(running: mesh.Mesh, watched: monitor.Monitor) -> None:
    """No version was seen in two forms."""
    assert all(len(found) == 1 for found in watched.digests.values())
    accepted = control.read_current(running.store).accepted
    seen = watched.digests.get(accepted.version, {accepted.digest})
    assert seen == {accepted.digest}


@pytest_bdd.then("no accepted version has a dangling route")
def then_closed(running: mesh.Mesh) -> None:
    """The accepted version is closed."""
    current = control.read_current(running.store)
    base = control.read_base(running.store, current)
    assert not config.Config(base.items).dangling()


@pytest_bdd.when(
    "team glade breaks its file and team schools changes its own at once",
    target_fixture="revision",
)
def when_both(running: mesh.Mesh) -> int:
    """Change both files."""
    folder = mesh.EXAMPLES / "woodland-circle" / "folder"
    broken = (folder / "10-glade.toml").read_text()
    running.push_file("10-glade.toml", broken.replace("= 12", "= -12"))
    schools = (folder / "40-schools.toml").read_text()
    return running.push_file(
        "40-schools.toml", schools.replace("/schools/sessions", "/pupils")
    )


@pytest_bdd.then(
    "the schools' change is in force and glade's last good file too"
)
def then_good_only(running: mesh.Mesh, revision: int) -> None:
    """The good change counts, the bad one doesn't."""
    status = running.judged(revision)
    running.wait_in_force(status.version)
    for path in ("/pupils", "/sessions"):
        result = running.caller("bramble-4").call("GET", path)
        assert result.status == 200, path


@pytest_bdd.then("the status names glade's file, the line and the code")
def then_blamed(running: mesh.Mesh, revision: int) -> None:
    """The status says what is wrong."""
    [refused] = [f for f in running.judged(revision).files if f.code]
    assert refused.file == "10-glade.toml"
    assert (refused.code, refused.line) == (errors.FileShape.code, 5)
    assert refused.accepted_revision > 0


@pytest_bdd.when("the store goes out and a daemon is killed and restarted")
def when_restart_in_outage(running: mesh.Mesh) -> None:
    """Restart a daemon that isn't a leader, without the store."""
    running.faults(outage=True)
    running.kill("glade-1")
    running.start_daemon("glade-1")


@pytest_bdd.then(
    "that daemon refuses callers as not ready and the others serve"
)
def then_not_ready(running: mesh.Mesh) -> None:
    """It says that it isn't ready."""
    fresh = running.caller("glade-1")
    result = mesh.wait_for(
        lambda: _answered(fresh.call("GET", "/sessions")),
        "the entry to answer",
    )
    assert result.code == errors.NotReady.code
    assert "retry-after" in result.headers
    result = running.caller("glade-2").call("GET", "/sessions")
    assert result.status == 200


def _answered(result: caller.Result) -> caller.Result | None:
    return result if result.status else None


@pytest_bdd.then("it is ready once the store is back")
def then_ready(running: mesh.Mesh) -> None:
    """It becomes ready."""
    running.faults(outage=False)
    running.wait_in_force(1, ["glade-1"])


@pytest_bdd.when("the store goes out")
def when_out(running: mesh.Mesh) -> None:
    """Take the store down."""
    running.faults(outage=True)


@pytest_bdd.then("every entry still serves requests")
def then_serves(running: mesh.Mesh) -> None:
    """Every entry serves every kind that needs no claim."""
    for name in running.daemons():
        for method, path in (("GET", "/sessions"), ("POST", "/deposits")):
            result = running.caller(name).call(method, path)
            assert result.status == 200, (name, path, result)


@pytest_bdd.then("a kill of a target's daemon is survived without the store")
def then_survives(running: mesh.Mesh) -> None:
    """A dead daemon is found out by requests."""
    running.kill("glade-3")
    for name in running.daemons():
        results = [
            running.caller(name).call("GET", "/sessions") for _ in range(5)
        ]
        assert all(result.status == 200 for result in results)
