"""HTTP pages about traffic that a daemon serves on its control address."""

from __future__ import annotations

import time
import typing

import msgspec

from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _balancer
from chiveroad.traffic import _entry
from chiveroad.traffic import _explanation
from chiveroad.traffic import _explanation_views
from chiveroad.traffic import _reachability

TARGETS_PATH: typing.Final = "/control/v1/upstreams"
QUARANTINE_PATH: typing.Final = "/control/v1/quarantine"
EXPLAIN_PATH: typing.Final = "/control/v1/explain"
MAX_QUESTION_BYTES: typing.Final = 64 * 1024
"""The limit on a question: a path may be as long as a head."""

_JSON: typing.Final = (("Content-Type", "application/json"),)


class TargetView(msgspec.Struct):
    """A target as one entry sees it."""

    instance: str
    distance: str
    load: float
    why: str


def targets_page(entry: _entry.Entry, request: serving.Request) -> None:
    """Answer with the entry's view of the targets of a service, as JSON.

    The query of the request is the name of the service.
    """
    service = request.uri.partition("?")[2]
    views = [_view(candidate) for candidate in entry.candidates(service)]
    views.sort(key=lambda view: (view.distance, view.load, view.instance))
    request.answer(200, _JSON, msgspec.json.encode(views))


def explain_page(entry: _entry.Entry, request: serving.Request) -> None:
    """Answer what the entry would do with the request in the body, as JSON.

    A key is in the body as its digest, so that no log of paths holds it.
    """
    body = request.read_body(MAX_QUESTION_BYTES)
    try:
        question = msgspec.json.decode(body, type=_explanation_views.Question)
    except msgspec.DecodeError as exc:
        raise errors.BadRequest(f"no question: {exc}") from exc
    explanation = _explanation.explain(entry, question)
    request.answer(200, _JSON, msgspec.json.encode(explanation))


class SuspectView(msgspec.Struct):
    """A request's content under which upstreams have ended.

    ``request`` is empty where it was seen at other daemons alone.  ``left_s``
    is the time until it is forgotten, unless another target ends.
    """

    content: str
    request: str
    ended: int
    state: str
    left_s: float


def quarantine_page(entry: _entry.Entry, request: serving.Request) -> None:
    """Answer with the contents under which upstreams have ended, as JSON."""
    now_s = time.monotonic()
    views = [
        SuspectView(
            content,
            suspect.request,
            len(suspect.ends),
            "quarantine" if now_s < suspect.until_s else "suspect",
            max(suspect.until_s, suspect.forget_at_s) - now_s,
        )
        for content, suspect in sorted(entry.quarantine.all())
    ]
    request.answer(200, _JSON, msgspec.json.encode(views))


def lift_page(entry: _entry.Entry, request: serving.Request) -> None:
    """Lift the quarantine of the content that the query names.

    :raises errors.NoRoute: when the content isn't suspect.
    """
    content = request.uri.partition("?")[2]
    if not entry.quarantine.lift(content):
        raise errors.NoRoute("no such content is suspect")
    quarantine_page(entry, request)


def _view(candidate: _balancer.Candidate) -> TargetView:
    why = {
        _balancer.Distance.DOMAIN: "first choice",
        _balancer.Distance.REGION: "when its own domain is loaded",
        _balancer.Distance.REMOTE: "when its own region is full",
    }[candidate.distance]
    if candidate.busy:
        why = "if no other one is nearer: it has just been full"
    if candidate.blocked:
        why = "not now: it has just refused"
    if candidate.ejected:
        why = "not now: ejected after failures"
    if candidate.reachability is not _reachability.State.REACHABLE:
        why = "not now: its daemon can't be reached"
    return TargetView(
        candidate.instance,
        candidate.distance.name.lower(),
        candidate.load,
        why,
    )
