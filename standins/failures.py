"""Three requests that fail, for the page on explaining them.

Each is provoked in a running deployment and found in the logs.  The logs and
the ids are left in ``build/demo``, where ``docs/OPERATIONS.md`` reads them.
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
"""The settings of the daemons whose logs are read."""

ENTRY: typing.Final = "glade-1"
"""Whose entry is asked."""

MANY: typing.Final = 200
"""So many requests at once that the service can't do them in time."""

SAMPLED_S: typing.Final = 1.1
"""After this long the log takes lines on requests that go well again."""

SHORT: typing.Final = {"Chiveroad-Timeout-Ms": "900"}

Provoke = collections.abc.Callable[[mesh.Mesh], None]


@dataclasses.dataclass(frozen=True)
class Failure:
    """A kind of failed request, and the line that names one of them."""

    name: str
    provoke: Provoke
    line: str


def _slow_down(on: mesh.Mesh, service: str, mode: target.Mode) -> None:
    for name, place in on.instances.items():
        if place.service == service:
            on.set_mode(name, mode)


def _overload(on: mesh.Mesh) -> None:
    """Ask for more at once than a slow service can do in time."""
    _slow_down(on, "glade", target.Mode(service_ms=600.0))
    entry = on.instances[ENTRY].entry

    def ask(_: int) -> None:
        caller.Caller(entry).call("GET", "/sessions", headers=SHORT)

    with concurrent.futures.ThreadPoolExecutor(MANY) as pool:
        list(pool.map(ask, range(MANY)))
    _slow_down(on, "glade", target.Mode())


def _lose_an_answer(on: mesh.Mesh) -> None:
    """Book where every target takes the request and hangs up."""
    _slow_down(on, "hollow", target.Mode(fault="close"))
    on.caller(ENTRY).call("POST", "/reservations", b"{}")
    _slow_down(on, "hollow", target.Mode())


def _ask_before_a_change(on: mesh.Mesh) -> None:
    """Ask for what is about to change, once the log has room for it."""
    time.sleep(SAMPLED_S)
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
    Failure("overload", _overload, r"Request (\S+) is given up: E4004 "),
    Failure("unknown", _lose_an_answer, r"Request (\S+) is given up: E4020 "),
    Failure("old-version", _ask_before_a_change, r"Request (\S+) is served "),
)


def leave(on: mesh.Mesh, folder: pathlib.Path = FOLDER) -> dict[str, str]:
    """Provoke all kinds, and return the request ids by the kinds' names.

    :param folder: where logs and ids are left.
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
    _keep(on, found, folder)
    return found


def _ids(on: mesh.Mesh, line: str) -> list[str]:
    """Return the requests that a line of any daemon's log names."""
    return [
        request
        for name in on.daemons()
        for request in re.findall(line, on.log_of(name))
    ]


def _keep(on: mesh.Mesh, found: dict[str, str], folder: pathlib.Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for name in on.daemons():
        (folder / f"{name}.log").write_text(on.log_of(name))
    for name, request in found.items():
        (folder / f"{name}.id").write_text(request)


def logs(folder: pathlib.Path = FOLDER) -> list[pathlib.Path]:
    """Return the logs that were left."""
    return sorted(folder.glob("*.log"))
