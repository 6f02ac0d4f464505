"""``chiveroad explain``: shows what would become of a request, and why.

A running daemon answers with the code that decides on requests.  The store
tells which files define the route and the service.
"""

from __future__ import annotations

import pathlib
import time
import typing

import msgspec

from chiveroad.cli import _daemon_page
from chiveroad.cli import _output
from chiveroad import config
from chiveroad import control
from chiveroad import customers
from chiveroad import errors
from chiveroad import store
from chiveroad import traffic

REFUSED_EXIT_CODE: typing.Final = 5
"""The exit status when the request would be refused; no error has it."""

COLUMNS: typing.Final = (
    "upstream",
    "distance",
    "load",
    "pace",
    "expected",
    "reported",
    "why",
)
_SCHEME: typing.Final = "Key"


class Explanation(msgspec.Struct):
    """The route and the service of a request, and what a daemon says.

    ``files`` maps the route and the service to the files that define them.
    ``age_ms`` is how long ago the daemon answered.
    """

    route: config.Route | None = None
    service: config.Service | None = None
    files: dict[str, str] = {}
    decision: traffic.RouteExplanation | None = None
    age_ms: int = 0


def explain(
    platform: store.Store | None, daemon: str, question: traffic.Question
) -> Explanation:
    """Explain a request.

    :param platform: where the files are looked up, or None.
    :param daemon: the control address of the daemon that is asked, or an
        empty string.
    :raises errors.NoRoute: when no route of the stored files matches.
    """
    explanation = Explanation()
    if platform is not None:
        explanation = _read_definitions(platform, question)
    if daemon:
        explanation.decision = ask_daemon(daemon, question)
        now_ms = int(time.time() * 1000)
        explanation.age_ms = max(0, now_ms - explanation.decision.at_ms)
    return explanation


def _read_definitions(
    platform: store.Store, question: traffic.Question
) -> Explanation:
    current = control.read_current(platform)
    base = control.read_base(platform, current)
    configuration = config.Config(base.items)
    path = question.path.partition("?")[0]
    route = configuration.match(question.method, path, question.host)
    if route is None:
        raise errors.NoRoute(f"no route for {question.method} {path}")
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
    return Explanation(route, service, files)


def ask_daemon(
    address: str, question: traffic.Question
) -> traffic.RouteExplanation:
    """Ask a daemon what its entry would do with a request.

    :raises errors.PeerUnavailable: when the daemon gives no valid answer.
    """
    return _daemon_page.fetch(
        address,
        traffic.EXPLAIN_PATH,
        traffic.RouteExplanation,
        "POST",
        question,
    )


def read_key(path: pathlib.Path | None, prompted: str = "") -> str:
    """Return the digest of a key from a file, or from a prompt.

    :param path: a file with the key alone, or None.
    :returns: an empty string without a key.
    :raises errors.UsageError: when the file can't be read.
    """
    key = prompted
    if path is not None:
        try:
            key = path.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.UsageError(f"{path}: {exc}") from exc
    if not key:
        return ""
    # The same rules apply to a key here as in a request.
    return customers.digest_credential(f"{_SCHEME} {key}", _SCHEME)


def report(explanation: Explanation) -> _output.Report:
    """Return the report of an explanation."""
    decision = explanation.decision
    notes = _definition_notes(explanation)
    if decision is None:
        name = explanation.route.name if explanation.route else ""
        return _output.Report(explanation, f"Route {name}", COLUMNS, (), notes)
    refused = decision.refusal is not None
    return _output.Report(
        value=explanation,
        title=f"Seen by {decision.instance}",
        columns=COLUMNS,
        rows=[_row(candidate) for candidate in decision.candidates],
        notes=[*_decision_notes(decision), *notes, _age_note(explanation)],
        exit_code=REFUSED_EXIT_CODE if refused else 0,
    )


def _row(candidate: traffic.CandidateView) -> list[str]:
    heard = "never"
    if candidate.heard_ms is not None:
        heard = f"{candidate.heard_ms} ms ago"
    why = candidate.why
    if candidate.cost is not None:
        why += f" (cost {candidate.cost:.4f})"
    return [
        candidate.instance,
        candidate.distance,
        f"{candidate.load} of {candidate.slots}",
        _or_unknown(candidate.pace),
        f"{candidate.expected_ms:.0f} ms",
        heard,
        why,
    ]


def _or_unknown(value: float | None) -> str:
    return "unknown" if value is None else f"{value:g}"


def _decision_notes(decision: traffic.RouteExplanation) -> list[str]:
    notes = []
    route, customer = decision.route, decision.customer
    if decision.refusal is not None:
        refusal = decision.refusal
        notes.append(
            f"Would be refused with {refusal.status}, E{refusal.code}: "
            f"{refusal.reason}; retry after {refusal.retry_after_ms} ms."
        )
    else:
        notes.append(f"Would be sent to {decision.pick}.")
    if decision.wait:
        notes.append(f"Would wait there: {decision.wait}.")
    if route is not None:
        repeat = "may be repeated" if route.idempotent else "runs at most once"
        notes += [
            f"Route {route.name}: {' '.join(route.methods)} {route.path} of "
            f"team {route.team} leads to {route.service}.",
            f"Kind {route.kind}: weight {route.weight}, {repeat}, objective "
            f"{route.objective_ms} ms, deadline {decision.deadline_ms} ms.",
        ]
        if route.split:
            shares = ", ".join(f"{k} {v}" for k, v in route.split.items())
            notes.append(f"Split by weight: {shares}; next: {route.service}.")
        notes.append(
            f"At most {decision.max_attempts} attempts; "
            f"{decision.retries_left:.1f} retries left; hedges left: "
            f"{_or_unknown(decision.hedges_left)}; hedged after ms: "
            f"{_or_unknown(decision.hedge_after_ms)}."
        )
    if customer is not None:
        notes.append(
            f"Customer {customer.name}: {customer.rate_per_s:g} requests a "
            f"second, burst {customer.burst:g}, quota left: "
            f"{_or_unknown(customer.quota_left)}."
        )
    if decision.key_confirmed is False:
        notes.append("Keys aren't confirmed: requests with one are refused.")
    found = decision.quarantine
    if found is not None:
        known = "" if found.known else ", which the body changes"
        notes.append(
            f"Content {found.content}{known}: {found.state}, "
            f"{found.ended} upstreams ended."
        )
    return notes


def _definition_notes(explanation: Explanation) -> list[str]:
    route, service = explanation.route, explanation.service
    if route is None or service is None:
        return []
    kind = service.kinds[route.kind]
    repeat = "may be repeated" if kind.idempotent else "runs at most once"
    return [
        f"{' '.join(route.methods)} {route.path} of team {route.team} "
        f"leads to {service.name} of team {service.team}.",
        f"Kind {route.kind}: weight {kind.weight}, "
        f"timeout {kind.timeout_ms} ms, {repeat}.",
        f"Limits for each upstream: {service.slots} slots, "
        f"{service.connections} connections, "
        f"{service.queue_length} waiting.",
        *(
            f"{part} is set by {name}."
            for part, name in explanation.files.items()
        ),
    ]


def _age_note(explanation: Explanation) -> str:
    decision = explanation.decision
    assert decision is not None, "report this: the age of no decision"
    confirmed = "never confirmed as the newest"
    if decision.confirmed_ms is not None:
        confirmed = f"confirmed {decision.confirmed_ms} ms before"
    return (
        f"Read {explanation.age_ms} ms ago, by both clocks; version "
        f"{decision.version}, {confirmed}."
    )
