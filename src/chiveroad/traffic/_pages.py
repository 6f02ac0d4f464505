"""HTTP pages about traffic that a daemon serves on its control address."""

from __future__ import annotations

import typing

import msgspec

from chiveroad import serving
from chiveroad.traffic import _balancer
from chiveroad.traffic import _entry
from chiveroad.traffic import _reachability

TARGETS_PATH: typing.Final = "/control/v1/upstreams"

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


def _view(candidate: _balancer.Candidate) -> TargetView:
    why = {
        _balancer.Distance.DOMAIN: "first choice",
        _balancer.Distance.REGION: "when its own domain is loaded",
        _balancer.Distance.REMOTE: "when its own region is full",
    }[candidate.distance]
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
