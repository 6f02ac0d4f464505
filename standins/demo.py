"""``make demo``: runs both deployments, and checks what they do.

Each gets its first files, requests, a changed route and an invalid file.
"""

from __future__ import annotations

import dataclasses
import subprocess
import sys
import time
import typing

from standins import caller
from standins import failures
from standins import mesh

INVALID_FILE: typing.Final = 'team = "rival"\n[service.{service}]\nslots = 0\n'


@dataclasses.dataclass(frozen=True)
class Tour:
    """The steps of the demo in one deployment."""

    deployment: str
    path: str
    service_of_path: str
    post_path: str
    moved_path: str
    moved_file_template: str
    service: str
    leaves_failures: bool = False


TOURS: typing.Final = (
    Tour(
        deployment="woodland-circle",
        path="/sessions/17",
        service_of_path="glade",
        post_path="/reservations",
        moved_path="/open-days",
        moved_file_template=(
            'team = "schools"\n[route.open-days]\npath = "/open-days"\n'
            'service = "{service}"\nkind = "{kind}"\n'
        ),
        service="glade",
        leaves_failures=True,
    ),
    Tour(
        deployment="aspen-coulee",
        path="/currency/c-1204",
        service_of_path="duty-desk",
        post_path="/launches",
        moved_path="/open-days",
        moved_file_template=(
            'team = "clubs"\n[route.open-days]\npath = "/open-days"\n'
            'service = "{service}"\nkind = "{kind}"\n'
        ),
        service="duty-desk",
    ),
)

ROUTE_TARGETS: typing.Final = {
    "woodland-circle": (("glade", "browse"), ("hollow", "look-up")),
    "aspen-coulee": (("duty-desk", "roster"), ("flight-book", "export")),
}


class Expectations:
    """Checks and prints expectations, and counts those that fail."""

    def __init__(self) -> None:
        self.failed = 0

    def expect(self, holds: bool, what: str) -> None:
        """Print whether an expectation holds."""
        print(f"  {'ok    ' if holds else 'FAILED'} {what}", flush=True)
        self.failed += not holds


def main() -> None:
    """Run the demo; exit with 1 if an expectation failed."""
    expectations = Expectations()
    started_s = time.monotonic()
    for tour in TOURS:
        print(f"{tour.deployment}:", flush=True)
        deployment = mesh.read_deployment(tour.deployment)
        with mesh.Mesh(deployment, failures.JSON_LOGS) as running_mesh:
            running_mesh.start()
            _run_tour(running_mesh, tour, expectations)
    took_s = time.monotonic() - started_s
    print(f"{expectations.failed} expectations failed, {took_s:.1f} s.")
    sys.exit(1 if expectations.failed else 0)


def _run_tour(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    _push_example(running_mesh, tour, expectations)
    running_mesh.wait_serving()
    _request_at_all_entries(running_mesh, tour, expectations)
    _send_post_twice(running_mesh, tour, expectations)
    _change_service_of_a_route(running_mesh, tour, expectations)
    _push_an_invalid_file(running_mesh, tour, expectations)
    if tour.leaves_failures:
        _leave_failures(running_mesh, expectations)


def _leave_failures(
    running_mesh: mesh.Mesh, expectations: Expectations
) -> None:
    """Leave logs of failed requests for ``chiveroad trace``."""
    for name, request in failures.leave(running_mesh).items():
        command = [sys.executable, "-m", "chiveroad", "trace", request]
        traced = subprocess.run(
            [*command, *map(str, failures.logs())],
            capture_output=True,
            text=True,
            check=False,
        )
        expectations.expect(
            traced.returncode == 0 and "No line" not in traced.stdout,
            f"{name}: chiveroad trace $(cat build/demo/{name}.id) "
            "build/demo/*.log",
        )


def _push_example(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    folder = mesh.EXAMPLES / tour.deployment / "folder"
    command = [sys.executable, "-m", "chiveroad", "push", str(folder)]
    pushed = subprocess.run(
        [*command, "--yes", "--store", running_mesh.store_address],
        capture_output=True,
        text=True,
        check=False,
    )
    print(pushed.stdout.rstrip())
    expectations.expect(
        pushed.returncode == 0, "the folder was pushed and accepted"
    )
    version = running_mesh.accepted()
    running_mesh.wait_in_force(version)
    expectations.expect(
        version > 0, f"version {version} is in force on all daemons"
    )


def _request_at_all_entries(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    results = [
        running_mesh.caller(name).call("GET", tour.path)
        for name in running_mesh.daemons()
        for _ in range(5)
    ]
    served = [r for r in results if r.status == 200 and r.whole]
    services = {r.target.rpartition("-")[0] for r in served}
    expectations.expect(
        len(served) == len(results) and services == {tour.service_of_path},
        f"{len(served)} of {len(results)} requests served, any entry, by "
        f"{tour.service_of_path}",
    )


def _send_post_twice(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    first, second = list(running_mesh.daemons())[:2]
    results = [
        running_mesh.caller(name).call(
            "POST", tour.post_path, b"{}", key="demo-1"
        )
        for name in (first, second)
    ]
    run_counts = running_mesh.run_counts()
    run_count = sum(run_counts.get(result.id, 0) for result in results)
    expectations.expect(
        run_count == 1 and all(r.status == 200 for r in results),
        f"POST {tour.post_path} sent twice with one key at two entries ran "
        f"{run_count} time(s), answered {[r.status for r in results]}",
    )


def _change_service_of_a_route(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    for service, kind in ROUTE_TARGETS[tour.deployment]:
        text = tour.moved_file_template.format(service=service, kind=kind)
        previous = running_mesh.accepted()
        written_ms = time.time() * 1000
        running_mesh.push_file("50-open-days.toml", text)
        acknowledged_ms = time.time() * 1000
        version = _next_version(running_mesh, previous)
        statuses = running_mesh.wait_in_force(version)
        last_applied_ms = max(status.applied_at_ms for status in statuses)
        result = running_mesh.caller(running_mesh.daemons()[-1]).call(
            "GET", tour.moved_path
        )
        serving_service = result.target.rpartition("-")[0]
        expectations.expect(
            serving_service == service,
            f"route {tour.moved_path} leads to {serving_service}: in force on "
            f"{len(statuses)} daemons "
            f"{last_applied_ms - acknowledged_ms:.0f} ms after the store had "
            f"it ({last_applied_ms - written_ms:.0f} ms after "
            "it was sent)",
        )


def _next_version(running_mesh: mesh.Mesh, previous: int) -> int:
    return mesh.wait_for(
        lambda: (
            running_mesh.accepted()
            if running_mesh.accepted() > previous
            else 0
        ),
        "the next version",
    )


def _push_an_invalid_file(
    running_mesh: mesh.Mesh, tour: Tour, expectations: Expectations
) -> None:
    accepted_before = running_mesh.accepted()
    text = INVALID_FILE.format(service=tour.service)
    revision = running_mesh.push_file("60-rival.toml", text)
    status = running_mesh.judged(revision)
    verdict = next(f for f in status.files if f.file == "60-rival.toml")
    result: caller.Result = running_mesh.caller(
        running_mesh.daemons()[0]
    ).call("GET", tour.path)
    expectations.expect(
        verdict.code > 0
        and running_mesh.accepted() == accepted_before
        and result.status == 200,
        f"a bad file was refused, nothing changed: {verdict.file} line "
        f"{verdict.line}, E{verdict.code} {verdict.message}",
    )


if __name__ == "__main__":
    main()
