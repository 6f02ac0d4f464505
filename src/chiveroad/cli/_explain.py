"""``chiveroad explain``: why a request goes where it goes."""

from __future__ import annotations

import typing

import msgspec
import urllib3

from chiveroad.cli import _output
from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import http_calls
from chiveroad import store
from chiveroad import traffic

TIMEOUT_S: typing.Final = 2.0
"""What an operator waits for a daemon, to connect and to answer, each."""


class Explanation(msgspec.Struct):
    """Which route takes a request, who set it, and who would be asked.

    ``files`` names the file that sets each part.
    """

    route: config.Route
    service: config.Service
    files: dict[str, str]
    targets: list[traffic.TargetView] = msgspec.field(name="upstreams")


def explain(
    platform: store.Store, daemon: str, method: str, path: str
) -> Explanation:
    """Explain a request.

    :param daemon: the control address of the daemon whose view of the
        targets is told, or an empty string.
    :raises errors.NoRoute: when no route matches.
    """
    current = control.read_current(platform)
    base = control.read_base(platform, current)
    held = config.Config(base.items)
    route = held.match(method, path)
    if route is None:
        raise errors.NoRoute(f"no route for {method} {path}")
    service = held.services[route.service]
    files = {}
    for source in base.sources:
        document = config.parse(source.name, source.text)
        if any(entry.name == route.name for entry in document.routes):
            files[f"route {route.name}"] = source.name
        if any(entry.name == service.name for entry in document.services):
            files[f"service {service.name}"] = source.name
    targets = ask_daemon(daemon, service.name) if daemon else []
    return Explanation(route, service, files, targets)


def ask_daemon(address: str, service: str) -> list[traffic.TargetView]:
    """Ask a daemon how it sees the targets of a service."""
    url = f"http://{address}{traffic.TARGETS_PATH}?{service}"
    try:
        calls = http_calls.Client(1, TIMEOUT_S)
        response = calls.request("GET", url, None, TIMEOUT_S)
    except urllib3.exceptions.HTTPError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc
    try:
        return msgspec.json.decode(
            response.data, type=list[traffic.TargetView]
        )
    except msgspec.DecodeError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc


def report(found: Explanation) -> _output.Report:
    """Return an explanation as a report."""
    route, service = found.route, found.service
    kind = service.kinds[route.kind]
    files = [f"{part} is set by {name}." for part, name in found.files.items()]
    repeat = "may be repeated" if kind.idempotent else "runs at most once"
    return _output.Report(
        value=found,
        title=f"Route {route.name}",
        columns=("upstream", "distance", "load", "would be picked"),
        rows=[
            [u.instance, u.distance, f"{u.load:.2f}", u.why]
            for u in found.targets
        ],
        notes=[
            f"{' '.join(route.methods)} {route.path} of team {route.team} "
            f"leads to {service.name} of team {service.team}.",
            f"Kind {route.kind}: weight {kind.weight}, "
            f"timeout {kind.timeout_ms} ms, {repeat}.",
            f"Limits for each upstream: {service.slots} slots, "
            f"{service.connections} connections, "
            f"{service.queue_length} waiting.",
            *files,
        ],
    )
