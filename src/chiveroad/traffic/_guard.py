"""The guard: every request to the daemon's local target passes through it.

Filters, in order: is the request for this service, does the target accept
work, is there a slot, is the idempotency key free, forward, answer.
"""

from __future__ import annotations

import base64
import collections.abc
import http
import threading
import time
import typing

from chiveroad import clock
from chiveroad import control
from chiveroad import errors
from chiveroad import inner_calls
from chiveroad import limits
from chiveroad import load
from chiveroad import logs
from chiveroad import metrics
from chiveroad import presence
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _admission
from chiveroad.traffic import _buffers
from chiveroad.traffic import _call
from chiveroad.traffic import _claims
from chiveroad.traffic import _exchange
from chiveroad.traffic import _objective
from chiveroad.traffic import _pool
from chiveroad.traffic import _rate_limit
from chiveroad.traffic import _target_ends
from chiveroad import wire

PROBE_PATH: typing.Final = "/guard/v1/probe"
"""Answered without admission control, so that an overloaded guard still
responds to probes."""

DRAIN_RETRY_AFTER_MS: typing.Final = 200
SHED_RETRY_AFTER_MS: typing.Final = 200
UNKNOWN_RETRY_AFTER_MS: typing.Final = 500
UPLOAD_SHARE: typing.Final = 0.5
"""The share of the slots for requests whose bodies may still be on their way;
the others can't be held by callers that stop sending."""

TIMEOUT_FACTOR: typing.Final = 2.0
QUEUE_CHECK_S: typing.Final = 0.05
"""How often a waiting request checks whether its caller has left, or a planned
stop has set an earlier deadline.  A check takes two system calls, and a queue
holds a few dozen requests."""

_FALLBACK_LIMITS: typing.Final = _admission.Limits(slots=8, queue_length=8)
_NO_LIMITS: typing.Final = _admission.Limits(slots=10_000, queue_length=0)
_BROKEN_OFF: typing.Final = (
    errors.OutcomeUnknown,
    errors.AnswerTruncated,
    errors.AnswerMalformed,
)
"""The refusals that a target may have caused by ending."""

_log = logs.Logger("guard")


class Guard(serving.Handler):
    """The guard of the daemon's local target.

    :param target: the target's status.
    """

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        claims: _claims.Claims,
        recorder: metrics.Recorder,
        protocol: wire.Protocol,
        target: presence.LocalTarget,
    ) -> None:
        self._recorder = recorder
        self._limited = options.traffic.limits
        self._applied = applied
        self._claims = claims
        self._protocol = protocol
        self._target = target
        self._target_ends = _target_ends.TargetEnds(
            target, options.target.address
        )
        self._pool = _pool.Pool(
            options.target.address, echoes_ids=protocol.echoes_ids
        )
        self._lock = threading.Lock()
        policies: dict[str, _admission.Policy] = {
            "weight": _admission.WeightFirst(),
            "objective": _objective.ObjectiveFirst(),
        }
        self._admission = _admission.Admission(
            _FALLBACK_LIMITS, policies[options.traffic.admission]
        )
        self._limit = _call.Limit()
        self._buffers = _buffers.BufferBudget()
        self._sampler = logs.Sampler()
        self._incarnation: tuple[int, str] = (0, "")
        self.outlook = inner_calls.Outlook()
        """How the inner calls of the target fare, as its entry records it."""

        self.uploads = limits.Gate()
        self.draining = False
        self.on_queue: collections.abc.Callable[[], None] = lambda: None
        """Called when the first request begins to wait for a slot."""

        self.on_leave: collections.abc.Callable[[], None] = lambda: None
        """Called when an answer of the target states that it leaves."""

    def handle(self, request: serving.Request) -> None:
        """Serve a request that another daemon's entry sent."""
        forwarded = bool(request.header(_call.REQUEST))
        if request.path == PROBE_PATH and not forwarded:
            request.answer(http.HTTPStatus.NO_CONTENT, (), b"")
            return
        extra = [(_call.REQUEST, request.header(_call.REQUEST))]
        try:
            self.serve(request, self._read_call(request), extra)
        except errors.Refusal as refusal:
            if request.begun:
                raise
            retry_ms = str(refusal.retry_after_ms)
            extra += [*self._state_headers(), (_call.RETRY_AFTER_MS, retry_ms)]
            if isinstance(refusal, errors.TargetEnded):
                extra.append((_call.ENDED, refusal.end))
            request.refuse(refusal, extra)

    def serve(
        self,
        request: serving.Request,
        call: _call.Call,
        extra: collections.abc.Sequence[serving.Header] = (),
    ) -> int:
        """Run a request on the target and answer it.

        :param extra: answer headers for the entry of another daemon; without
            them the load header is left out too.
        :returns: the answer's status.
        :raises errors.Refusal: when the request wasn't answered.
        """
        try:
            return self._serve_or_explain(request, call, extra)
        except errors.Refusal as refusal:
            outcome = str(refusal.code)
            self._recorder.count("chiveroad.guard.requests", outcome)
            if refusal.ran == "unknown":
                _log.warning(
                    "Request {} got no answer from its target: {}.",
                    call.id,
                    refusal,
                    extra=self._log_fields(call),
                )
            raise

    def _serve_or_explain(
        self,
        request: serving.Request,
        call: _call.Call,
        extra: collections.abc.Sequence[serving.Header],
    ) -> int:
        """Serve a request; say so if its target has ended meanwhile.

        :raises errors.TargetEnded: when no answer came, as it has ended.
        """
        try:
            return self._serve(request, call, extra)
        except errors.OutcomeUnknown as refusal:
            if isinstance(refusal, errors.AnswerMalformed):
                self._recorder.count("chiveroad.guard.malformed", refusal.part)
            broken_off = type(refusal) in _BROKEN_OFF
            if request.begun or not broken_off or call.recipient is None:
                raise
            end = self._target_ends.name_end(call.recipient)
            if not end:
                raise
            raise errors.TargetEnded(
                f"the upstream has ended: {refusal.reason}", end=end
            ) from refusal

    def _serve(
        self,
        request: serving.Request,
        call: _call.Call,
        extra: collections.abc.Sequence[serving.Header],
    ) -> int:
        self._check_target(call)
        self._check_outlook(call)
        if call.body.buffered is not None:
            return self._serve_admitted(request, call, extra)
        # Bodies that their callers don't send to the end held every slot.
        capacity = max(1, int(UPLOAD_SHARE * self._limits().slots))
        with self.uploads.admitted(capacity, call.left_ms() / 1000) as entered:
            if not entered:
                raise errors.Overloaded(
                    "too many bodies are being sent", SHED_RETRY_AFTER_MS
                )
            call.body.on_complete = entered.leave
            return self._serve_admitted(request, call, extra)

    def _serve_admitted(
        self,
        request: serving.Request,
        call: _call.Call,
        extra: collections.abc.Sequence[serving.Header],
    ) -> int:
        ticket = self._admit(call, request)
        try:
            # The target may have begun to drain while the request waited.
            self._check_target(call)
            call.body.load()
            if call.key and not call.kind.idempotent:
                self._run_once(request, call, extra)
                return http.HTTPStatus.OK
            answer = self._forward(request, call)
            check_failure(call, answer)
            self._pass_on(answer, request, extra, call.kind_name)
            return answer.status
        finally:
            with self._lock:
                self._admission.finish(ticket, time.monotonic())

    def _check_target(self, call: _call.Call) -> None:
        status = self._target.status
        if status.phase is presence.Phase.UNKNOWN:
            raise errors.TargetUnknown(
                "the upstream isn't known yet", UNKNOWN_RETRY_AFTER_MS
            )
        if call.service != status.service:
            raise errors.WrongGuard(f"this guards {status.service!r}")
        if self.draining or not self._target.accepts_work(time.monotonic()):
            raise errors.Draining("the upstream leaves", DRAIN_RETRY_AFTER_MS)

    def _check_outlook(self, call: _call.Call) -> None:
        """Refuse outer work whose inner calls would find no capacity.

        :raises errors.Overloaded: when most of the last ones failed.
        """
        if call.inner or self.outlook.admits(time.monotonic()):
            return
        raise errors.Overloaded(
            "calls of the upstream find no capacity elsewhere",
            inner_calls.RETRY_AFTER_MS,
        )

    def load(self, kind_name: str = "") -> serving.Header:
        """Return the header that reports the load and speed to an entry.

        Its value holds the number of running and waiting requests, the
        number of slots, and the milliseconds that a request of the kind
        takes at the usual pace; then the pace, unless it is the usual one.
        """
        admission = self._admission
        service_ms = admission.service_ms(kind_name) / admission.pace_factor
        slots = admission.limits.slots
        value = f"{admission.load} {slots} {int(service_ms)}"
        pace = round(load.USUAL_PACE * self.pace_factor)
        if pace != load.USUAL_PACE:
            value += f" {pace}"
        return (_call.LOAD, value)

    @property
    def pace_factor(self) -> float:
        """Return how much longer than usual work takes at the target."""
        return self._admission.pace.factor(time.monotonic())

    def _state_headers(self, kind_name: str = "") -> list[serving.Header]:
        """Return the headers that report the state of the target."""
        headers = [self.load(kind_name)]
        if self.rate_limit_per_s != wire.UNLIMITED:
            headers.append((_call.RATE_LIMIT, f"{self.rate_limit_per_s:.3f}"))
        status = self._target.status
        if status.phase in (presence.Phase.DRAINING, presence.Phase.GONE):
            headers.append((_call.LEAVING, _incarnation(status)))
        return headers

    @property
    def rate_limit_per_s(self) -> float:
        """Return the target's rate limit, ``wire.UNLIMITED`` without one."""
        return self._admission.rate_limit.per_s

    @property
    def running(self) -> int:
        """Return how many requests the target is running."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._admission.waiting)

    @property
    def slots(self) -> int:
        """Return how many requests the target may run at once."""
        return self._admission.limits.slots

    def tick(self) -> None:
        """Refuse waiting requests that can't meet their deadline."""
        with self._lock:
            self._admission.advance(time.monotonic())

    def set_deadline(self, end_s: float) -> None:
        """Bound the deadline of all requests, including those in progress.

        :param end_s: in monotonic seconds.
        """
        self._limit.at_s = end_s

    def retire(self) -> None:
        """Close connections to the target that are past their idle limit."""
        self._pool.retire()

    def _read_call(self, request: serving.Request) -> _call.Call:
        name, kind = _call.read_kind(request.header(_call.KIND))
        service = request.header(_call.SERVICE)
        timeout_ms = _call.number(request.header(_call.TIMEOUT_MS), 0)
        if not service or not timeout_ms:
            raise errors.BadRequest("a guard takes requests of entries")
        request.set_body_deadline(request.received_s + timeout_ms / 1000)
        return _call.Call(
            id=request.header(_call.REQUEST),
            service=service,
            kind_name=name,
            kind=kind,
            team=request.header(_call.TEAM),
            deadline_s=request.received_s + timeout_ms / 1000,
            depth=_call.number(request.header(_call.DEPTH), 0),
            key=request.header(_call.IDEMPOTENCY_KEY),
            method=request.method,
            uri=request.uri,
            headers=self._forwarded_headers(request),
            body=_call.Body(request),
            caller_service=request.header(_call.CALLER),
            customer=request.header(_call.CUSTOMER),
            objective_s=_objective_s(request),
            inner=bool(request.header(_call.INNER)),
            limit=self._limit,
            buffers=self._buffers,
            rate_limit_per_s=_known_rate_limit(request),
            patience_ms=_patience_ms(request),
        )

    def _forwarded_headers(
        self, request: serving.Request
    ) -> list[serving.Header]:
        """Return the headers that are forwarded to the target.

        An entry whose configuration has no customers yet passes keys and
        forged names of customers on.
        """
        headers = _call.end_to_end(request.headers())
        named = bool(request.header(_call.CUSTOMER))
        if not (named or self._applied.demands_keys):
            return headers
        return _call.without_credentials(headers, self._protocol)

    def _limits(self) -> _admission.Limits:
        if not self._limited:
            return _NO_LIMITS
        status = self._target.status
        service = self._applied.config.services.get(status.service)
        if service is None:
            return _FALLBACK_LIMITS
        declared = service.slots or status.slots or _FALLBACK_LIMITS.slots
        slots = min(declared, service.connections)
        return _admission.Limits(slots, service.queue_length)

    def _admit(
        self, call: _call.Call, request: serving.Request
    ) -> _admission.Ticket:
        now_s = time.monotonic()
        ticket = _ticket(call, now_s)
        with self._lock:
            self._admission.limits = self._limits()
            rate_limit = self._current_rate_limit()
            if call.rate_limit_per_s != wire.UNLIMITED:
                rate_limit.adopt(call.rate_limit_per_s, now_s)
            self._admission.offer(ticket, now_s)
            first = len(self._admission.waiting) == 1
        if not ticket.decided.is_set():
            if first:
                self.on_queue()
            self._wait(ticket, call, request)
            self._recorder.record_latency("queue", time.monotonic() - now_s)
        if ticket.refusal is not None:
            reason = ticket.refusal.reason
            if ticket.refusal.impatient:
                self._recorder.count("chiveroad.guard.impatient")
                raise errors.Overloaded(reason, ticket.refusal.retry_after_ms)
            _log.warning(
                "Request {} was rejected under load: {}; retry after {} ms.",
                call.id,
                reason,
                ticket.refusal.retry_after_ms,
                extra=self._log_fields(call),
            )
            error: type[errors.Refusal] = errors.Overloaded
            if ticket.refusal.rate_limited:
                error = errors.RateLimited
            raise error(reason, ticket.refusal.retry_after_ms)
        if self._sampler.allow():
            _log.info(
                "Request {} was admitted.",
                call.id,
                extra=self._log_fields(call),
            )
        return ticket

    def preview(self, call: _call.Call) -> _admission.Ticket:
        """Return what would be decided on a request, without its effects.

        :raises errors.Refusal: when the target takes no requests.
        """
        self._check_target(call)
        now_s = time.monotonic()
        ticket = _ticket(call, now_s)
        with self._lock:
            admission = self._admission.preview()
        admission.limits = self._limits()
        admission.offer(ticket, now_s)
        return ticket

    def _log_fields(self, call: _call.Call) -> dict[str, object]:
        """Return the fields of a log line about a request."""
        return {
            "request": call.id,
            "kind": call.kind_name,
            "upstream": self._target.status.target_id,
            "running": self.running,
            "waiting": self.waiting,
            "slots": self.slots,
            "pace": round(self.pace_factor, 2),
            "left_ms": int(call.left_ms()),
        }

    def _wait(
        self,
        ticket: _admission.Ticket,
        call: _call.Call,
        request: serving.Request,
    ) -> None:
        """Wait until a request is admitted or refused.

        :raises errors.CallerDisconnectedEarly: when the caller leaves first,
            such as an entry that withdraws a hedged request.
        """
        left_s = call.left_ms() / 1000
        caller_left = False
        while not (left_s <= 0 or caller_left):
            patience_s = max(0.0, ticket.leave_s - time.monotonic())
            if ticket.decided.wait(min(QUEUE_CHECK_S, left_s, patience_s)):
                break
            if time.monotonic() >= ticket.leave_s:
                with self._lock:
                    self._admission.advance(time.monotonic())
            left_s = call.left_ms() / 1000
            caller_left = serving.is_disconnected(request.socket)
        with self._lock:
            if not self._admission.withdraw(ticket):
                return
            retry_ms = int(
                self._admission.wait_ms(len(self._admission.waiting))
            )
        if caller_left:
            raise errors.CallerDisconnectedEarly("the caller left the queue")
        raise errors.DeadlineExceeded("waited for a slot too long", retry_ms)

    def _forward(
        self, request: serving.Request, call: _call.Call
    ) -> _exchange.Answer:
        self._recorder.count("chiveroad.guard.requests", "run")
        started_s = time.monotonic()
        pace_factor = self.pace_factor
        call.recipient = self._target_ends.recipient()
        status = call.recipient.status
        target_id = status.target_id
        try:
            answer = _exchange.send_request(
                self._pool,
                call,
                call.target_headers(self._protocol, target_id),
                request.socket,
                self._protocol.read_answer,
            )
        except errors.AnswerTimeout:
            # The request takes longer than the elapsed time, by an unknown
            # amount.
            self._record_duration(
                call, time.monotonic() - started_s, TIMEOUT_FACTOR
            )
            raise
        self._learn(call.id, answer.terms, status, started_s)
        self._check_answer(answer, target_id)
        answer.remove_headers(self._protocol.is_statement)
        if answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            # The duration of a failure says nothing about that of a success.
            # The pace may have changed while the target ran the request.
            pace_factor = (pace_factor + self.pace_factor) / 2
            took_s = time.monotonic() - started_s
            self._record_duration(call, took_s, 1 / pace_factor)
        return answer

    def _learn(
        self,
        request_id: str,
        terms: wire.AnswerTerms,
        status: presence.TargetStatus,
        sent_s: float,
    ) -> None:
        """Learn what the target states about itself.

        :param status: the target that the request was sent to.
        """
        if terms.misdirected or not terms.genuine:
            return
        if self._pool.echoes_ids and terms.request_id != request_id:
            return
        if terms.leaving and self._target.mark_leaving(status.incarnation):
            self.on_leave()
        with self._lock:
            rate_limit = self._current_rate_limit()
            if status.incarnation != self._incarnation:
                return
            before_per_s = rate_limit.per_s
            if terms.load is not None and terms.load.pace is not None:
                self._admission.pace.learn(terms.load.pace, time.monotonic())
            # A refusal may come from a part of the target that states none.
            if terms.ran or terms.rate_limit_per_s != wire.UNLIMITED:
                rate_limit.learn(
                    terms.rate_limit_per_s, sent_s, time.monotonic()
                )
        if terms.rate_limit_per_s is None and self._sampler.allow():
            _log.warning(
                "Target {} states a rate limit that is no decimal number, so "
                "the limit of {} requests a second stays.",
                status.target_id,
                before_per_s,
            )
        if rate_limit.per_s == before_per_s:
            return
        if not rate_limit.active:
            _log.info("Target {} states no limit any more.", status.target_id)
            return
        _log.info(
            "Target {} takes {} requests a second, as its answers state.",
            status.target_id,
            rate_limit.per_s,
        )

    def _current_rate_limit(self) -> _rate_limit.RateLimit:
        """Return the rate limit of the target's current incarnation."""
        status = self._target.status
        known = status.phase is not presence.Phase.UNKNOWN
        if known and status.incarnation != self._incarnation:
            self._incarnation = status.incarnation
            self._admission.rate_limit = _rate_limit.RateLimit()
            self._admission.pace = load.Pace()
        return self._admission.rate_limit

    def _check_answer(self, answer: _exchange.Answer, target_id: str) -> None:
        terms = answer.terms
        if terms.ran and terms.genuine:
            return
        if not terms.genuine:
            answer.close()
            raise errors.AnswerInvalid("a success without its proof")
        answer.discard()
        if terms.misdirected:
            self._target.invalidate(target_id)
            raise errors.WrongTarget("another upstream has the address")
        raise errors.TargetShed(
            "the upstream shed the request",
            terms.retry_after_ms or SHED_RETRY_AFTER_MS,
        )

    def _record_duration(
        self, call: _call.Call, took_s: float, factor: float = 1.0
    ) -> None:
        """Update the estimate of how long a kind of request takes.

        :param factor: scales a duration that a timeout has cut short, or that
            was measured at another pace than the usual one.
        """
        self._recorder.record_latency("upstream", took_s)
        with self._lock:
            self._admission.record_service_time(
                call.kind_name, took_s * factor * 1000
            )

    def _pass_on(
        self,
        answer: _exchange.Answer,
        request: serving.Request,
        extra: collections.abc.Sequence[serving.Header],
        kind_name: str,
    ) -> None:
        headers = [*extra, *self._state_headers(kind_name)] if extra else []
        _exchange.forward_answer(answer, request, headers)

    def _run_once(
        self,
        request: serving.Request,
        call: _call.Call,
        extra: collections.abc.Sequence[serving.Header],
    ) -> None:
        """Run a request at most once for its idempotency key."""
        claim = self._claims.acquire(call)
        if isinstance(claim, _claims.KeptAnswer):
            _log.info(
                "Request {} repeats an idempotency key; the stored answer is "
                "replayed.",
                call.id,
            )
            self._replay(claim, request, extra)
            return
        try:
            answer = self._forward(request, call)
        except errors.Refusal as refusal:
            if refusal.ran == "no":
                self._claims.release(claim)
            raise
        self._answer_and_store(answer, claim, request, extra)

    def _answer_and_store(
        self,
        answer: _exchange.Answer,
        claim: _claims.HeldClaim,
        request: serving.Request,
        extra: collections.abc.Sequence[serving.Header],
    ) -> None:
        length = answer.length
        if length is None or length > _claims.MAX_KEPT_ANSWER_BYTES:
            self._pass_on(answer, request, extra, "")
            self._claims.finish(claim, None)
            return
        headers = _call.end_to_end(answer.headers)
        body = answer.read()
        self._claims.finish(
            claim, _claims.kept_answer(answer.status, headers, body)
        )
        request.answer(answer.status, [*headers, *extra], body)

    def _replay(
        self,
        stored: _claims.KeptAnswer,
        request: serving.Request,
        extra: collections.abc.Sequence[serving.Header],
    ) -> None:
        body = base64.b64decode(stored.body)
        headers = [*stored.headers, ("Idempotency-Replayed", "true"), *extra]
        request.answer(stored.status, headers, body)


def check_failure(call: _call.Call, answer: _exchange.Answer) -> None:
    """Withhold a target's failure if another target is to be tried.

    :raises errors.TargetFailed: when the failure is withheld.
    """
    if not _is_replaced(call, answer.status):
        return
    headers = _call.end_to_end(answer.headers)
    call.failure_answer = (answer.status, headers, answer.read())
    raise errors.TargetFailed(f"the upstream answered {answer.status}")


def _is_replaced(call: _call.Call, status: int) -> bool:
    """Tell whether an answer is dropped for another target's."""
    failed = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    if failed and any(each.served or not each.ended for each in call.pending):
        # Another target already has the request, so no retry is spent.
        return True
    return call.failover is not None and call.failover.replaces(status)


def _ticket(call: _call.Call, now_s: float) -> _admission.Ticket:
    return _admission.Ticket(
        team=call.team,
        kind=call.kind_name,
        weight=call.kind.weight,
        deadline_s=call.due_s,
        arrived_s=now_s,
        objective_s=call.objective_s,
        inner=call.inner,
        leave_s=now_s + call.patience_ms / 1000,
    )


def _incarnation(status: presence.TargetStatus) -> str:
    """Return the name of a target's incarnation in headers."""
    return f"{status.target_id}@{status.started_at_ms}"


def _objective_s(request: serving.Request) -> float:
    """Return when the answer to an entry's request counts as late.

    :returns: monotonic seconds.
    """
    text = request.header(_call.OBJECTIVE_MS)
    if not text.removeprefix("-").isdigit():
        return clock.NEVER_S
    return request.received_s + int(text) / 1000


def _patience_ms(request: serving.Request) -> float:
    """Return how long a request may wait for a slot."""
    text = request.header(_call.PATIENCE_MS)
    return float(_call.number(text, 0)) if text else clock.NEVER_S


def _known_rate_limit(request: serving.Request) -> float:
    """Return the target's rate limit as far as the entry knows it."""
    limit_per_s = wire.parse_rate_limit(request.header(_call.RATE_LIMIT))
    return wire.UNLIMITED if limit_per_s is None else limit_per_s
