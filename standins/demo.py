"""``make demo``: both deployments, from the first file to a refused one."""

from __future__ import annotations

import dataclasses
import subprocess
import sys
import time
import typing

from standins import caller
from standins import failures
from standins import mesh

BAD_FILE: typing.Final = 'team = "rival"\n[service.{service}]\nslots = 0\n'


@dataclasses.dataclass(frozen=True)
class Tour:
    """What the demo shows of one deployment."""

    deployment: str
    path: str
    owner: str
    posted: str
    moved: str
    moved_file: str
    service: str
    explains: bool = False


TOURS: typing.Final = (
    Tour(
        deployment="woodland-circle",
        path="/sessions/17",
        owner="glade",
        posted="/reservations",
        moved="/open-days",
        moved_file=(
            'team = "schools"\n[route.open-days]\npath = "/open-days"\n'
            'service = "{service}"\nkind = "{kind}"\n'
        ),
        service="glade",
        explains=True,
    ),
    Tour(
        deployment="aspen-coulee",
        path="/currency/c-1204",
        owner="duty-desk",
        posted="/launches",
        moved="/open-days",
        moved_file=(
            'team = "clubs"\n[route.open-days]\npath = "/open-days"\n'
            'service = "{service}"\nkind = "{kind}"\n'
        ),
        service="duty-desk",
    ),
)

MOVES: typing.Final = {
    "woodland-circle": (("glade", "browse"), ("hollow", "look-up")),
    "aspen-coulee": (("duty-desk", "roster"), ("flight-book", "export")),
}


class Expectations:
    """Collects what was expected and whether it was seen."""

    def __init__(self) -> None:
        self.failed = 0

    def expect(self, holds: bool, what: str) -> None:
        """Print whether an expectation holds."""
        print(f"  {'ok    ' if holds else 'FAILED'} {what}", flush=True)
        self.failed += not holds


def main() -> None:
    """Run the demo; the exit code tells whether all was as expected."""
    seen = Expectations()
    started_s = time.monotonic()
    for tour in TOURS:
        print(f"{tour.deployment}:", flush=True)
        deployment = mesh.read_deployment(tour.deployment)
        with mesh.Mesh(deployment, failures.JSON_LOGS) as running:
            running.start()
            _show(running, tour, seen)
    took_s = time.monotonic() - started_s
    print(f"{seen.failed} expectations failed, {took_s:.1f} s.")
    sys.exit(1 if seen.failed else 0)


def _show(running: mesh.Mesh, tour: Tour, seen: Expectations) -> None:
    _push_example(running, tour, seen)
    running.wait_serving()
    _serve_everywhere(running, tour, seen)
    _post_twice(running, tour, seen)
    _move_a_route(running, tour, seen)
    _refuse_a_bad_file(running, tour, seen)
    if tour.explains:
        _leave_failures(running, seen)


def _leave_failures(running: mesh.Mesh, seen: Expectations) -> None:
    """Leave logs of failed requests, to be explained by hand."""
    for name, request in failures.leave(running).items():
        command = [sys.executable, "-m", "chiveroad", "trace", request]
        traced = subprocess.run(
            [*command, *map(str, failures.logs())],
            capture_output=True,
            text=True,
            check=False,
        )
        seen.expect(
            traced.returncode == 0 and "No line" not in traced.stdout,
            f"{name}: chiveroad trace $(cat build/demo/{name}.id) "
            "build/demo/*.log",
        )


def _push_example(running: mesh.Mesh, tour: Tour, seen: Expectations) -> None:
    folder = mesh.EXAMPLES / tour.deployment / "folder"
    command = [sys.executable, "-m", "chiveroad", "push", str(folder)]
    pushed = subprocess.run(
        [*command, "--yes", "--store", running.store_address],
        capture_output=True,
        text=True,
        check=False,
    )
    print(pushed.stdout.rstrip())
    seen.expect(pushed.returncode == 0, "the folder was pushed and accepted")
    version = running.accepted()
    running.wait_in_force(version)
    seen.expect(version > 0, f"version {version} is in force on all daemons")


def _serve_everywhere(
    running: mesh.Mesh, tour: Tour, seen: Expectations
) -> None:
    results = [
        running.caller(name).call("GET", tour.path)
        for name in running.daemons()
        for _ in range(5)
    ]
    good = [r for r in results if r.status == 200 and r.whole]
    owners = {r.target.rpartition("-")[0] for r in good}
    seen.expect(
        len(good) == len(results) and owners == {tour.owner},
        f"{len(good)} of {len(results)} requests served, any entry, by "
        f"{tour.owner}",
    )


def _post_twice(running: mesh.Mesh, tour: Tour, seen: Expectations) -> None:
    first, second = list(running.daemons())[:2]
    results = [
        running.caller(name).call("POST", tour.posted, b"{}", key="demo-1")
        for name in (first, second)
    ]
    runs = running.run_counts()
    ran = sum(runs.get(result.id, 0) for result in results)
    seen.expect(
        ran == 1 and all(r.status == 200 for r in results),
        f"POST {tour.posted} sent twice with one key at two entries ran "
        f"{ran} time(s), answered {[r.status for r in results]}",
    )


def _move_a_route(running: mesh.Mesh, tour: Tour, seen: Expectations) -> None:
    for service, kind in MOVES[tour.deployment]:
        text = tour.moved_file.format(service=service, kind=kind)
        known = running.accepted()
        written_ms = time.time() * 1000
        running.push_file("50-open-days.toml", text)
        acknowledged_ms = time.time() * 1000
        version = _next_version(running, known)
        statuses = running.wait_in_force(version)
        last_ms = max(status.applied_at_ms for status in statuses)
        result = running.caller(running.daemons()[-1]).call("GET", tour.moved)
        served = result.target.rpartition("-")[0]
        seen.expect(
            served == service,
            f"route {tour.moved} leads to {served}: in force on "
            f"{len(statuses)} daemons {last_ms - acknowledged_ms:.0f} ms "
            f"after the store had it ({last_ms - written_ms:.0f} ms after "
            "it was sent)",
        )


def _next_version(running: mesh.Mesh, known: int) -> int:
    return mesh.wait_for(
        lambda: running.accepted() if running.accepted() > known else 0,
        "the next version",
    )


def _refuse_a_bad_file(
    running: mesh.Mesh, tour: Tour, seen: Expectations
) -> None:
    before = running.accepted()
    text = BAD_FILE.format(service=tour.service)
    revision = running.push_file("60-rival.toml", text)
    status = running.judged(revision)
    verdict = next(f for f in status.files if f.file == "60-rival.toml")
    result: caller.Result = running.caller(running.daemons()[0]).call(
        "GET", tour.path
    )
    seen.expect(
        verdict.code > 0
        and running.accepted() == before
        and result.status == 200,
        f"a bad file was refused, nothing changed: {verdict.file} line "
        f"{verdict.line}, E{verdict.code} {verdict.message}",
    )


if __name__ == "__main__":
    main()
