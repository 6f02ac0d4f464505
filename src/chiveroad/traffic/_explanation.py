"""Explains what an entry would do with a request, by the code that decides.

Decisions that change the entry's state are made on copies, so that nothing is
sent, counted or changed.
"""

from __future__ import annotations

import collections.abc
import time
import typing

from chiveroad import clock
from chiveroad import config
from chiveroad import customers
from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _entry
from chiveroad.traffic import _explanation_views
from chiveroad.traffic import _preview
from chiveroad.traffic import _quarantine
from chiveroad.traffic import _reachability
from chiveroad.traffic import _suspects
from chiveroad.traffic import _targets
from chiveroad import wire

REQUEST_ID: typing.Final = "explained"

_CHUNK: typing.Final = b"\0" * 4_096


class _HypotheticalRequest(serving.Request):
    """A request that nobody has sent, with a body of zeros."""

    def __init__(self, question: _explanation_views.Question) -> None:
        self.method = question.method
        self.uri = question.path
        self.path = question.path.partition("?")[0]
        self.received_s = time.monotonic()
        self.bytes_sent = 0
        self.begun = self.finished = False
        self._question = question

    @property
    def peer_host(self) -> str:
        """Return no address: the caller isn't the local target."""
        return ""

    @property
    def awaits_continue(self) -> bool:
        """Return False: the body needn't be asked for."""
        return False

    @property
    def content_length(self) -> int | None:
        """Return the size of the body."""
        return self._question.body_bytes

    def header(self, name: str, default: str = "") -> str:
        """Return the host, the only header."""
        return self._question.host if name == "Host" else default

    def headers(self) -> collections.abc.Iterator[serving.Header]:
        """Yield the host."""
        if self._question.host:
            yield "Host", self._question.host

    def set_body_deadline(self, end_s: float) -> None:
        """Do nothing: the body is there."""

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the body, which is only read if it is small."""
        for start in range(0, self._question.body_bytes, len(_CHUNK)):
            yield _CHUNK[: self._question.body_bytes - start]


class _StatedTerms(wire.Native):
    """Reads the terms of a question instead of those in headers."""

    def __init__(self, question: _explanation_views.Question) -> None:
        super().__init__()
        self._question = question

    def read_request(self, request: serving.Request) -> wire.RequestTerms:
        """Return the terms of the question."""
        return wire.RequestTerms(
            REQUEST_ID,
            self._question.timeout_ms,
            key_digest=self._question.key_digest,
        )


def explain(
    entry: _entry.Entry, question: _explanation_views.Question
) -> _explanation_views.RouteExplanation:
    """Return what an entry would do with a request now."""
    preview = entry.preview(_StatedTerms(question))
    applied = preview.applied
    found = _explanation_views.RouteExplanation(
        preview.options.instance,
        int(time.time() * 1000),
        applied.current.number,
        applied.unconfirmed_ms(),
    )
    if applied.config.customers:
        found.key_confirmed = _is_confirmed(preview)
    try:
        _follow(preview, question, found)
    except errors.Refusal as refusal:
        found.refusal = _explanation_views.RefusalView(
            refusal.code,
            refusal.reason,
            refusal.status,
            refusal.retry_after_ms,
        )
    return found


def _is_confirmed(preview: _preview.Preview) -> bool:
    """Tell whether a request with a key would be served now."""
    try:
        customers.check_confirmed(
            preview.options.customers,
            preview.applied.confirmed_s,
            clock.now_s(),
        )
    except errors.KeyUnconfirmed:
        return False
    return True


def _follow(
    preview: _preview.Preview,
    question: _explanation_views.Question,
    found: _explanation_views.RouteExplanation,
) -> None:
    """Take the steps of an entry with a request, in its order.

    :raises errors.Refusal: with which the entry would refuse it.
    """
    current = preview.applied.config
    request = _HypotheticalRequest(question)
    call, route = preview.read_call(request)
    found.route = _route(route, call)
    found.deadline_ms = int((call.deadline_s - request.received_s) * 1000)
    for customer in current.customers.values():
        if customer.name == call.customer:
            found.customer = _explanation_views.CustomerView(
                customer.name,
                call.kind.weight,
                customer.rate_per_s,
                customer.burst,
            )
    found.max_attempts = call.kind.max_attempts
    found.retries_left = preview.retries_left(call.service)
    found.hedges_left = preview.hedges.left([call.service]).get(call.service)
    found.quarantine = _check_quarantine(preview, question, call, found)
    profile = preview.targets.profile(call)
    compared = preview.targets.compare(call.service, profile, ())
    found.candidates = _candidates(preview, call, profile, compared)
    preview.check_time_left(call)
    chosen, _ = preview.targets.choose(call.service, compared)
    found.pick = chosen.instance
    for each in found.candidates:
        if each.instance == chosen.instance:
            each.why = "picked"
            found.wait = _wait(preview, call, each)
    found.hedge_after_ms = preview.hedges.delay_ms(
        call.service, call.kind_name, chosen.distance
    )


def _route(
    route: config.Route, call: _call.Call
) -> _explanation_views.RouteView:
    return _explanation_views.RouteView(
        route.name,
        route.path,
        list(route.methods),
        route.team,
        call.service,
        {share.service: share.weight for share in route.split},
        route.kind,
        call.kind.weight,
        call.kind.idempotent,
        call.kind.timeout_ms,
        call.kind.objective_ms,
        route.anonymous,
    )


def _check_quarantine(
    preview: _preview.Preview,
    question: _explanation_views.Question,
    call: _call.Call,
    found: _explanation_views.RouteExplanation,
) -> _explanation_views.QuarantineView:
    """Return what is known of the content.

    :raises errors.Quarantined: when it is in quarantine.
    """
    content = _quarantine.content_of(call)
    # The content of a small body isn't known, only its size.
    known = not question.body_bytes or call.body.buffered is None
    decision, suspect = preview.quarantine.preview(content, call.service)
    ended = 0 if suspect is None else len(suspect.ends)
    found.quarantine = _explanation_views.QuarantineView(
        content, known, decision.value, ended
    )
    if known and decision is _suspects.Decision.REFUSED:
        raise errors.Quarantined(
            f"{ended} upstreams have ended under content {content}"
        )
    return found.quarantine


def _candidates(
    preview: _preview.Preview,
    call: _call.Call,
    profile: _balancer.RequestProfile,
    compared: list[_balancer.Candidate],
) -> list[_explanation_views.CandidateView]:
    """Return all targets of the service, the nearest first."""
    now_s = time.monotonic()
    by_name = {candidate.instance: candidate for candidate in compared}
    eligible = {each.instance for each in _balancer.eligible(compared)}
    views = []
    for seen in preview.targets.survey(call.service):
        stats, name = seen.stats, seen.member.instance
        candidate = by_name.get(name) or _balancer.candidate(
            name, seen.distance, stats, now_s, profile, seen.state
        )
        heard_ms = None
        if stats.reported_s:
            heard_ms = int((now_s - stats.reported_s) * 1000)
        views.append(
            _explanation_views.CandidateView(
                name,
                seen.distance.name.lower(),
                stats.reported,
                stats.slots,
                stats.in_flight,
                heard_ms,
                round(candidate.completion_ms, 1),
                preview.targets.cost(candidate),
                _why(seen, candidate, name in by_name, name in eligible),
            )
        )
    order = [distance.name.lower() for distance in _balancer.Distance]
    views.sort(key=lambda view: (order.index(view.distance), view.instance))
    return views


def _why(
    seen: _targets.Seen,
    candidate: _balancer.Candidate,
    compared: bool,
    eligible: bool,
) -> str:
    """Return why a target isn't picked, if it isn't."""
    if seen.leaving:
        return "it leaves"
    if seen.state is not _reachability.State.REACHABLE and not compared:
        return f"its daemon is {seen.state.name.lower()}"
    if not compared:
        return "not in the sample that is compared"
    if eligible:
        return "another costs less"
    if candidate.ejected:
        return "ejected after failures"
    return "it has just refused a request"


def _wait(
    preview: _preview.Preview,
    call: _call.Call,
    chosen: _explanation_views.CandidateView,
) -> str:
    """Return whether a request would wait at the chosen target.

    :raises errors.Refusal: when the guard of this daemon would refuse it.
    """
    if chosen.instance != preview.options.instance:
        if chosen.heard_ms is None:
            return "not known: its guard hasn't reported yet"
        if max(chosen.load, chosen.in_flight) < chosen.slots:
            return "no: a slot was free at the last report"
        return "probably: all slots were taken at the last report"
    ticket = preview.guard.preview(call)
    if ticket.refusal is not None:
        error: type[errors.Refusal] = errors.Overloaded
        if ticket.refusal.rate_limited:
            error = errors.RateLimited
        raise error(ticket.refusal.reason, ticket.refusal.retry_after_ms)
    return "no: a slot is free" if ticket.admitted else "yes: for a slot"
