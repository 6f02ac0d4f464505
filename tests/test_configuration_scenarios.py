"""Steps of ``configuration.feature``."""

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
    """Start the deployment, by way of the fixture."""


@pytest_bdd.given(
    "the version in force of every daemon is monitored",
    target_fixture="version_monitor",
)
def given_monitor(
    running: mesh.Mesh,
) -> collections.abc.Iterator[monitor.Monitor]:
    """Poll the versions of all daemons during the scenario."""
    version_monitor = monitor.Monitor(running)
    version_monitor.start()
    yield version_monitor


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} while files change"),
    target_fixture="last_path",
)
def when_fault(running: mesh.Mesh, fault: str) -> str:
    """Inject the fault, and change a file again and again meanwhile."""
    changes = monitor.Changes(running)
    changes.start()
    try:
        faults.FAULTS[fault](running)
    finally:
        path = changes.stop()
    return path


@pytest_bdd.then("the last change is in force on every daemon")
def then_in_force(running: mesh.Mesh, last_path: str) -> None:
    """Every entry routes requests by the last change."""

    def known() -> bool:
        results = [
            running.caller(name).call("GET", last_path)
            for name in running.daemons()
        ]
        return all(result.status == 200 for result in results)

    mesh.wait_for(known, f"{last_path} everywhere")


@pytest_bdd.then("no daemon went back to an older version")
def then_no_older_version(version_monitor: monitor.Monitor) -> None:
    """No daemon ran an older version after a newer one."""
    version_monitor.stop()
    assert version_monitor.versions
    assert not version_monitor.went_back()


@pytest_bdd.then("every version had the same content on every daemon")
def then_one_content(
    running: mesh.Mesh, version_monitor: monitor.Monitor
) -> None:
    """Every version had the same digest on all daemons."""
    assert all(len(found) == 1 for found in version_monitor.digests.values())
    accepted = control.read_current(running.store).accepted
    seen = version_monitor.digests.get(accepted.version, {accepted.digest})
    assert seen == {accepted.digest}


@pytest_bdd.then("no accepted version has a dangling route")
def then_no_dangling_route(running: mesh.Mesh) -> None:
    """Every route of the accepted version has its service and kind."""
    current = control.read_current(running.store)
    base = control.read_base(running.store, current)
    assert not config.Config(base.items).dangling()


@pytest_bdd.when(
    "team glade makes its file invalid while team schools changes its own",
    target_fixture="revision",
)
def when_both_files_change(running: mesh.Mesh) -> int:
    """Write both files, the invalid one first."""
    folder = mesh.EXAMPLES / "woodland-circle" / "folder"
    broken = (folder / "10-glade.toml").read_text()
    running.push_file("10-glade.toml", broken.replace("= 12", "= -12"))
    schools = (folder / "40-schools.toml").read_text()
    return running.push_file(
        "40-schools.toml", schools.replace("/schools/sessions", "/pupils")
    )


@pytest_bdd.then(
    "the schools' change and glade's last valid file are in force"
)
def then_valid_in_force(running: mesh.Mesh, revision: int) -> None:
    """The valid change is applied, the invalid one isn't."""
    status = running.judged(revision)
    running.wait_in_force(status.version)
    for path in ("/pupils", "/sessions"):
        result = running.caller("bramble-4").call("GET", path)
        assert result.status == 200, path


@pytest_bdd.then("the status names glade's file, the line and the code")
def then_status_names_fault(running: mesh.Mesh, revision: int) -> None:
    """The status reports the invalid file only."""
    [refused] = [f for f in running.judged(revision).files if f.code]
    assert refused.file == "10-glade.toml"
    assert (refused.code, refused.line) == (errors.FileShape.code, 5)
    assert refused.accepted_revision > 0


@pytest_bdd.when("the store goes down and a daemon is killed and restarted")
def when_restart_in_outage(running: mesh.Mesh) -> None:
    """Restart a daemon that isn't a leader during an outage of the store."""
    running.faults(outage=True)
    running.kill("glade-1")
    running.start_daemon("glade-1")


@pytest_bdd.then(
    "that daemon refuses requests as not ready and other daemons serve"
)
def then_not_ready(running: mesh.Mesh) -> None:
    """The refusal has the code of ``NotReady`` and says when to retry."""
    restarted = running.caller("glade-1")
    result = mesh.wait_for(
        lambda: _answered(restarted.call("GET", "/sessions")),
        "the entry to answer",
    )
    assert result.code == errors.NotReady.code
    assert "retry-after" in result.headers
    result = running.caller("glade-2").call("GET", "/sessions")
    assert result.status == 200


def _answered(result: caller.Result) -> caller.Result | None:
    return result if result.status else None


@pytest_bdd.then("that daemon is ready once the store is up again")
def then_ready(running: mesh.Mesh) -> None:
    """End the outage, and wait for the daemon to become ready."""
    running.faults(outage=False)
    running.wait_in_force(1, ["glade-1"])


@pytest_bdd.when("the store goes down")
def when_store_down(running: mesh.Mesh) -> None:
    """Take the store down."""
    running.faults(outage=True)


@pytest_bdd.then("every entry still serves requests")
def then_serves(running: mesh.Mesh) -> None:
    """Every entry serves every kind that needs no claim."""
    for name in running.daemons():
        for method, path in (("GET", "/sessions"), ("POST", "/deposits")):
            result = running.caller(name).call(method, path)
            assert result.status == 200, (name, path, result)


@pytest_bdd.then("requests are served after a target's daemon is killed")
def then_survives(running: mesh.Mesh) -> None:
    """Requests detect the dead daemon, and are served by other targets."""
    running.kill("glade-3")
    for name in running.daemons():
        results = [
            running.caller(name).call("GET", "/sessions") for _ in range(5)
        ]
        assert all(result.status == 200 for result in results)
