"""``chiveroad explain``: shows the route and the targets of a request."""

from __future__ import annotations

import msgspec

from chiveroad.cli import _daemon_page
from chiveroad.cli import _output
from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import store
from chiveroad import traffic


class Explanation(msgspec.Struct):
    """The route, the service and the targets of a request.

    ``files`` maps the route and the service to the files that define them.
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
        targets is included, or an empty string.
    :raises errors.NoRoute: when no route matches.
    """
    current = control.read_current(platform)
    base = control.read_base(platform, current)
    configuration = config.Config(base.items)
    route = configuration.match(method, path)
    if route is None:
        raise errors.NoRoute(f"no route for {method} {path}")
    service = configuration.services[route.service]
    files = {}
    for source in base.sources:
        document = config.parse(source.name, source.text)
        if any(
            definition.name == route.name for definition in document.routes
        ):
            files[f"route {route.name}"] = source.name
        if any(
            definition.name == service.name for definition in document.services
        ):
            files[f"service {service.name}"] = source.name
    targets = ask_daemon(daemon, service.name) if daemon else []
    return Explanation(route, service, files, targets)


def ask_daemon(address: str, service: str) -> list[traffic.TargetView]:
    """Fetch a daemon's view of the targets of a service.

    :raises errors.PeerUnavailable: when the daemon gives no valid answer.
    """
    page = f"{traffic.TARGETS_PATH}?{service}"
    return _daemon_page.fetch(address, page, list[traffic.TargetView])


def report(explanation: Explanation) -> _output.Report:
    """Return the report of an explanation."""
    route, service = explanation.route, explanation.service
    kind = service.kinds[route.kind]
    files = [
        f"{part} is set by {name}." for part, name in explanation.files.items()
    ]
    repeat = "may be repeated" if kind.idempotent else "runs at most once"
    return _output.Report(
        value=explanation,
        title=f"Route {route.name}",
        columns=("upstream", "distance", "load", "would be picked"),
        rows=[
            [
                target.instance,
                target.distance,
                f"{target.load:.2f}",
                target.why,
            ]
            for target in explanation.targets
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
