"""The entry: takes callers' requests and carries each to one upstream.

Filters, in order: route, deadline, pick, forward, answer.  A try that gave
no answer goes to the retry decision.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
import typing
import urllib.parse
import uuid

from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _pool
from chiveroad.traffic import _retry

NOT_READY_RETRY_MS: typing.Final = 1_000
NO_UPSTREAM_RETRY_MS: typing.Final = 1_000
BLOCK_LIMIT_MS: typing.Final = 1_000

_FINAL: typing.Final = (
    errors.NoUpstream,
    errors.CallerGone,
    errors.CallerGoneEarly,
)
_log = logs.Logger("entry")


_Distances = tuple[
    tuple[membership.Member, ...],
    dict[_balancer.Distance, list[membership.Member]],
]


class Entry(serving.Handler):
    """The entry of one daemon.

    :param guard: the guard in this process, called without a network hop.
    """

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        view: membership.View,
        guard: _guard.Guard,
        recorder: metrics.Recorder,
    ) -> None:
        self._recorder = recorder
        self._options = options
        self._applied = applied
        self._view = view
        self._guard = guard
        self._budget = _retry.Budget()
        self._tracks: dict[str, _balancer.Track] = {}
        self._pools: dict[str, _pool.Pool] = {}
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._distances: dict[str, _Distances] = {}
        self._picker = _balancer.picker(options.traffic.balancing)
        self._ids = itertools.count(1)
        self._id_prefix = f"{options.instance}-{uuid.uuid4().hex[:8]}"

    def handle(self, request: serving.Request) -> None:
        """Carry a request to an upstream and its answer back."""
        outcome = "cut"
        try:
            self._carry(request)
            outcome = "served"
        except errors.Refusal as refusal:
            outcome = str(refusal.code)
            raise
        finally:
            self._recorder.count("chiveroad.entry.requests", outcome)
            took_s = time.monotonic() - request.received_s
            self._recorder.took("entry", took_s)

    def _carry(self, request: serving.Request) -> None:
        call, route = self._read_call(request)
        tried: list[str] = []
        worst: errors.Refusal | None = None
        while True:
            try:
                self._try_once(request, call, route, tried)
                self._budget.earn()
                return
            except errors.Refusal as refusal:
                worst = _worse(worst, refusal)
                if not self._try_again(request, call, tried, refusal):
                    _log.info("Request {} is given up: {}.", call.id, worst)
                    raise worst from refusal

    def candidates(self, service: str) -> list[_balancer.Candidate]:
        """Return the upstreams of a service as this entry sees them."""
        now_s = time.monotonic()
        return [
            _balancer.candidate(
                member.instance, distance, self._track(member, now_s), now_s
            )
            for distance, members in self._by_distance(service).items()
            for member in _balancer.to_weigh(members, self._rng)
        ]

    def _by_distance(
        self, service: str
    ) -> dict[_balancer.Distance, list[membership.Member]]:
        members = self._view.of_service(service)
        known = self._distances.get(service)
        if known is not None and known[0] is members:
            return known[1]
        found: dict[_balancer.Distance, list[membership.Member]] = {}
        for member in members:
            found.setdefault(self._distance(member), []).append(member)
        self._distances[service] = (members, found)
        return found

    def tick(self) -> None:
        """Retire idle connections, and forget upstreams that are gone."""
        members = self._view.all()
        guards = {member.guard for member in members}
        for address, pool in list(self._pools.items()):
            pool.retire()
            if address not in guards:
                self._pools.pop(address).close()
        known = {_track_name(member) for member in members}
        for name in set(self._tracks) - known:
            del self._tracks[name]

    def _read_call(
        self, request: serving.Request
    ) -> tuple[_call.Call, config.Route]:
        if not self._applied.ready:
            raise errors.NotReady(
                "the configuration isn't known to be current",
                NOT_READY_RETRY_MS,
            )
        current = self._applied.config
        route = current.match(request.method, _path(request))
        if route is None:
            raise errors.NoRoute(f"no route for {request.method}")
        kind = current.kind_of(route)
        asked_ms = _call.number(request.header(_call.TIMEOUT_MS), 0)
        timeout_ms = min(asked_ms or kind.timeout_ms, kind.timeout_ms)
        depth = _call.number(request.header(_call.DEPTH), 0)
        if depth > _call.MAX_DEPTH:
            raise errors.BadRequest(f"over {_call.MAX_DEPTH} calls deep")
        call = _call.Call(
            id=f"{self._id_prefix}-{next(self._ids)}",
            service=route.service,
            kind_name=route.kind,
            kind=kind,
            team=route.team,
            deadline_s=request.received_s + timeout_ms / 1000,
            depth=depth,
            key=request.header(_call.IDEMPOTENCY_KEY),
            method=request.method,
            target=request.target,
            headers=_call.end_to_end(request.headers()),
            body=_call.Body(request),
        )
        return call, route

    def _try_once(
        self,
        request: serving.Request,
        call: _call.Call,
        route: config.Route,
        tried: list[str],
    ) -> None:
        if call.left_ms() <= 0:
            raise errors.DeadlineExceeded("the deadline passed")
        chosen = self._pick(call.service, tried)
        member = self._view.get(chosen.instance)
        assert member is not None, "report this: picked an unknown member"
        tried.append(chosen.instance)
        if len(tried) > 1:
            self._recorder.count("chiveroad.entry.retries")
        distance = chosen.distance.name.lower()
        self._recorder.count("chiveroad.entry.picks", distance)
        _log.info(
            "Request {} by route {} goes to {}, try {}, load {:.2f}, {}.",
            call.id,
            route.name,
            chosen.instance,
            len(tried),
            chosen.load,
            chosen.distance.name,
        )
        track = self._track(member, time.monotonic())
        self._count(track, 1)
        try:
            self._serve(request, call, member, track)
            track.succeeded()
        except errors.Refusal as refusal:
            self._learn_refusal(track, refusal)
            raise
        finally:
            self._count(track, -1)

    def _pick(self, service: str, tried: list[str]) -> _balancer.Candidate:
        found = self.candidates(service)
        left = [entry for entry in found if entry.instance not in tried]
        chosen = self._picker.pick(left)
        if chosen is None:
            raise errors.NoUpstream(
                f"no upstream of {service!r} can be asked",
                NO_UPSTREAM_RETRY_MS,
            )
        return chosen

    def _serve(
        self,
        request: serving.Request,
        call: _call.Call,
        member: membership.Member,
        track: _balancer.Track,
    ) -> None:
        if member.instance == self._options.instance:
            self._guard.serve(request, call)
            return
        answer = _exchange.ask(
            self._pool(member.guard),
            call,
            call.guard_headers(),
            request.socket,
        )
        _learn_load(track, answer)
        code = answer.header(serving.CODE_HEADER)
        if code:
            answer.read()
            raise _told(answer, code)
        _exchange.pass_on(answer, request)

    def _try_again(
        self,
        request: serving.Request,
        call: _call.Call,
        tried: list[str],
        refusal: errors.Refusal,
    ) -> bool:
        if isinstance(refusal, _FINAL):
            return False
        failure = _retry.Failure(
            ran=refusal.ran,
            tries=len(tried),
            idempotent=call.kind.idempotent,
            outermost=call.depth == 0,
            replayable=call.body.replayable,
            answer_begun=request.begun,
            left_ms=call.left_ms(),
        )
        if _retry.decide(failure, True) is _retry.Decision.GIVE_UP:
            return False
        return self._budget.spend()

    def _learn_refusal(
        self, track: _balancer.Track, refusal: errors.Refusal
    ) -> None:
        now_s = time.monotonic()
        if isinstance(refusal, (errors.CallerGone, errors.CallerGoneEarly)):
            return
        if isinstance(
            refusal, (errors.UpstreamRefused, errors.OutcomeUnknown)
        ):
            track.failed(now_s)
        limit_ms = min(refusal.retry_after_ms, BLOCK_LIMIT_MS)
        track.blocked(now_s, limit_ms / 1000)

    def _distance(self, member: membership.Member) -> _balancer.Distance:
        if member.failure_domain == self._options.failure_domain:
            return _balancer.Distance.DOMAIN
        if member.region == self._options.region:
            return _balancer.Distance.REGION
        return _balancer.Distance.REMOTE

    def _track(
        self, member: membership.Member, now_s: float
    ) -> _balancer.Track:
        name = _track_name(member)
        track = self._tracks.get(name)
        if track is None:
            track = _balancer.Track(since_s=now_s)
            service = self._applied.config.services.get(member.service)
            if service is not None:
                track.slots = service.slots
            self._tracks[name] = track
        return track

    def _count(self, track: _balancer.Track, step: int) -> None:
        with self._lock:
            track.in_flight += step

    def _pool(self, address: str) -> _pool.Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools.setdefault(address, _pool.Pool(address))
        return pool


def _track_name(member: membership.Member) -> str:
    """Return the name of what is learnt of one start of an upstream."""
    return f"{member.instance}@{member.incarnation}"


def _path(request: serving.Request) -> str:
    """Return the path to match, decoded and without any way upwards."""
    path = request.path
    if "%" in path:
        path = str(urllib.parse.unquote(path, "latin-1"))
    parts = path.split("/")
    if "." in parts or ".." in parts or "\\" in path or "//" in path:
        raise errors.BadRequest("the path has dot or empty segments")
    return path


def _learn_load(track: _balancer.Track, answer: _exchange.Answer) -> None:
    running, _, slots = answer.header(_call.LOAD).partition(" ")
    if running.isdigit() and slots.isdigit():
        track.learn(int(running), int(slots), time.monotonic())


_REFUSALS: typing.Final = {
    error.code: error
    for error in errors.tree(errors.Refusal)
    if issubclass(error, errors.Refusal)
}


def _told(answer: _exchange.Answer, code: str) -> errors.Refusal:
    """Return the refusal that a guard told."""
    retry_ms = _call.number(answer.header(_call.RETRY_AFTER_MS), 0)
    error = _REFUSALS.get(_call.number(code, 0), errors.OutcomeUnknown)
    return error(f"refused by the guard with E{code}", retry_ms)


def _worse(
    before: errors.Refusal | None, now: errors.Refusal
) -> errors.Refusal:
    """Return what the caller is told after several tries.

    Once a try may have run, the whole may have run.
    """
    if before is None or now.ran == "unknown":
        return now
    if before.ran == "unknown":
        return before
    if isinstance(now, errors.NoUpstream):
        return before
    return now
