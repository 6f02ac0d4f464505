"""Three kinds of problem requests, for the page on tracing requests.

Each kind is provoked in a running deployment and found in the daemons' logs.
The logs and the request ids are written to ``build/demo``, the folder that
the examples in ``docs/OPERATIONS.md`` use.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import re
import shutil
import time
import typing

from standins import caller
from standins import mesh
from standins import target

FOLDER: typing.Final = mesh.ROOT / "build" / "demo"
JSON_LOGS: typing.Final = '[log]\nformat = "json"\n'
"""Settings that make the daemons log as JSON lines."""

ENTRY: typing.Final = "glade-1"
"""The instance whose entry receives the requests."""

OVERLOAD_REQUESTS: typing.Final = 200
"""Concurrent requests, more than the service can finish in time."""

SAMPLING_PAUSE_S: typing.Final = 1.1
"""After this pause the sampler logs successful requests again."""

SHORT_TIMEOUT: typing.Final = {"Chiveroad-Timeout-Ms": "900"}

Provoke = collections.abc.Callable[[mesh.Mesh], None]


@dataclasses.dataclass(frozen=True)
class Failure:
    """A kind of problem request.

    ``line`` is a regular expression for the log line of such a request; its
    group matches the request id.
    """

    name: str
    provoke: Provoke
    line: str


def _set_service_mode(on: mesh.Mesh, service: str, mode: target.Mode) -> None:
    for name, instance in on.instances.items():
        if instance.service == service:
            on.set_mode(name, mode)


def _overload(on: mesh.Mesh) -> None:
    """Send more concurrent requests than a slow service can finish."""
    _set_service_mode(on, "glade", target.Mode(service_ms=600.0))
    entry = on.instances[ENTRY].entry

    def send(_: int) -> None:
        caller.Caller(entry).call("GET", "/sessions", headers=SHORT_TIMEOUT)

    with concurrent.futures.ThreadPoolExecutor(OVERLOAD_REQUESTS) as pool:
        list(pool.map(send, range(OVERLOAD_REQUESTS)))
    _set_service_mode(on, "glade", target.Mode())


def _lose_an_answer(on: mesh.Mesh) -> None:
    """Send a POST to a service whose targets close the connection.

    They receive the request and close the connection without an answer, so
    its outcome is unknown.
    """
    _set_service_mode(on, "hollow", target.Mode(fault="close"))
    on.caller(ENTRY).call("POST", "/reservations", b"{}")
    _set_service_mode(on, "hollow", target.Mode())


def _send_before_a_change(on: mesh.Mesh) -> None:
    """Send a request, then push a file that adds a route.

    The pause before the request makes sure that it is logged.
    """
    time.sleep(SAMPLING_PAUSE_S)
    on.caller(ENTRY).call("GET", "/kit-lists")
    known = on.accepted()
    on.push_file(
        "55-kit.toml",
        'team = "schools"\n[route.kit]\npath = "/kit"\n'
        'service = "glade"\nkind = "browse"\n',
    )
    mesh.wait_for(lambda: on.accepted() > known, "the next version")
    on.wait_in_force(on.accepted())


FAILURES: typing.Final = (
    Failure("overload", _overload, r"Request (\S+) failed: E4004 "),
    Failure("unknown", _lose_an_answer, r"Request (\S+) failed: E4020 "),
    Failure(
        "old-version", _send_before_a_change, r"Request (\S+) was served "
    ),
)


def leave(on: mesh.Mesh, folder: pathlib.Path = FOLDER) -> dict[str, str]:
    """Provoke all kinds; return one request id for each kind's name.

    :param folder: where the logs and ids are written.
    """
    found = {}
    for failure in FAILURES:
        before = _ids(on, failure.line)
        failure.provoke(on)
        found[failure.name] = mesh.wait_for(
            lambda failure=failure, before=before: next(  # type: ignore[misc]
                (i for i in _ids(on, failure.line) if i not in before), ""
            ),
            f"a request for {failure.name}",
        )
    _write(on, found, folder)
    return found


def _ids(on: mesh.Mesh, line: str) -> list[str]:
    """Return the request ids of the matching lines in all daemons' logs."""
    return [
        request
        for name in on.daemons()
        for request in re.findall(line, on.log_of(name))
    ]


def _write(on: mesh.Mesh, found: dict[str, str], folder: pathlib.Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for name in on.daemons():
        (folder / f"{name}.log").write_text(on.log_of(name))
    for name, request in found.items():
        (folder / f"{name}.id").write_text(request)


def logs(folder: pathlib.Path = FOLDER) -> list[pathlib.Path]:
    """Return the paths of the logs that ``leave`` wrote."""
    return sorted(folder.glob("*.log"))
