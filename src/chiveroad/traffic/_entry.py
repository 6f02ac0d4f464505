"""The entry: accepts callers' requests and forwards each to one target.

Filters, in order: route, deadline, pick, forward, answer.  After an attempt
without an answer, ``_retry`` decides whether the request is retried.
"""

from __future__ import annotations

import copy
import functools
import itertools
import time
import typing
import urllib.parse
import uuid

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad import customers
from chiveroad import errors
from chiveroad import inner_calls
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad import quotas
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _attempts
from chiveroad.traffic import _balancer
from chiveroad.traffic import _buffers
from chiveroad.traffic import _call
from chiveroad.traffic import _caller_timeouts
from chiveroad.traffic import _deadline
from chiveroad.traffic import _exchange
from chiveroad.traffic import _failover
from chiveroad.traffic import _guard
from chiveroad.traffic import _guard_answer
from chiveroad.traffic import _hedges
from chiveroad.traffic import _moving
from chiveroad.traffic import _preview
from chiveroad.traffic import _quarantine
from chiveroad.traffic import _reachability
from chiveroad.traffic import _retry
from chiveroad.traffic import _retry_budget
from chiveroad.traffic import _split
from chiveroad.traffic import _targets
from chiveroad import wire

NOT_READY_RETRY_MS: typing.Final = 300
STOPPING_RETRY_MS: typing.Final = 500
"""The next process listens only once this one has ended and it has started."""

BUFFERED_ANSWER_BYTES: typing.Final = 1024 * 1024
"""An answer up to this size is forwarded only once it is complete, so that
the request can be retried at another target if the answer is truncated."""

_NOT_RETRIED: typing.Final = (
    errors.NoTarget,
    errors.CallerDisconnected,
    errors.CallerDisconnectedEarly,
    errors.DeadlineTooShort,
    errors.Quarantined,
)
_CALLER_LEFT: typing.Final = (
    errors.CallerDisconnected,
    errors.CallerDisconnectedEarly,
)
_log = logs.Logger("entry")


class Entry(serving.Handler):
    """The entry of one daemon.

    :param guard: the guard in this process, called without a network hop.
    :param uplink: the uplink shared by large requests to other instances.
    :param quota: the customers' quotas; without it they aren't enforced.
    """

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        view: membership.View,
        guard: _guard.Guard,
        recorder: metrics.Recorder,
        protocol: wire.Protocol,
        uplink: serving.Uplink | None = None,
        quota: quotas.Quotas | None = None,
    ) -> None:
        self._recorder = recorder
        self._quotas = quota
        self._options = options
        self._applied = applied
        self._guard = guard
        self._protocol = protocol
        self._targets = _targets.Targets(options, applied, view, uplink)
        self._budget = _retry_budget.RetryBudget(
            _terms(options.retries), lambda: len(view.all())
        )
        self._hedges = _hedges.Hedges(
            options, self._targets, self._budget, recorder
        )
        self.outlook = inner_calls.Outlook()
        """How the inner calls of the local target fare, for its guard."""

        self.quarantine = _quarantine.Quarantine(view, recorder)
        self._splitter = _split.Splitter()
        self._caller_timeouts = _caller_timeouts.CallerTimeouts()
        self._own_host = options.target.address.rpartition(":")[0]
        self._sampler = logs.Sampler()
        self._limit = _call.Limit()
        self._buffers = _buffers.BufferBudget()
        self._refuses_outlasting = False
        self._ids = itertools.count(1)
        self._id_prefix = f"{options.instance}-{uuid.uuid4().hex[:8]}"

    def handle(self, request: serving.Request) -> None:
        """Forward a request to a target and its answer to the caller."""
        outcome = "cut"
        try:
            self._process(request)
            outcome = "served"
        except errors.Refusal as refusal:
            outcome = str(refusal.code)
            raise
        finally:
            self._recorder.count("chiveroad.entry.requests", outcome)
            took_s = time.monotonic() - request.received_s
            self._recorder.record_latency("entry", took_s)
            sent = request.bytes_sent
            self._recorder.count("chiveroad.entry.bytes", "out", sent)
            if request.begun and not request.finished:
                _log.warning(
                    "The answer to {} was truncated after {} bytes; the "
                    "connection to the caller is closed.",
                    request.uri,
                    sent,
                )

    def reload(self, options: settings.Settings) -> None:
        """Apply changed settings."""
        self._options = options
        self._budget.change(_terms(options.retries))

    def set_deadline(self, end_s: float) -> None:
        """Bound the deadline of all requests, including those in progress.

        :param end_s: in monotonic seconds.
        """
        self._limit.at_s = end_s

    def refuse_outlasting(self) -> None:
        """Refuse further requests that may run until after the deadline.

        A request that arrives late in a planned stop could otherwise be
        broken off while its target runs it.
        """
        self._refuses_outlasting = True

    def candidates(self, service: str) -> list[_balancer.Candidate]:
        """Return the targets of a service as this entry sees them."""
        return self._targets.candidates(service)

    @property
    def missing(self) -> int:
        """Return how many daemons are suspect or unreachable."""
        return self._targets.missing

    def retries_left(self) -> dict[str, float]:
        """Return the remaining retry budget of each service."""
        services = list(self._applied.config.services)
        return {name: self._budget.left(name) for name in services}

    def hedges_left(self) -> dict[str, float]:
        """Return how many hedges each service may have now."""
        return self._hedges.left(self._applied.config.services)

    def preview(self, protocol: wire.Protocol) -> _preview.Preview:
        """Return the decisions on one request, without their effects.

        :param protocol: reads the request's terms.
        """
        copied = copy.copy(self)
        copied._protocol = protocol
        copied._splitter = self._splitter.preview()
        copied._caller_timeouts = self._caller_timeouts.preview()
        copied._targets = self._targets.preview()
        budget = self._budget.preview()
        return _preview.Preview(
            self._options,
            self._applied,
            copied._read_call,
            copied._check_time_left,
            copied._targets,
            self.quarantine,
            budget.left,
            self._hedges,
            self._guard,
        )

    def tick(self) -> None:
        """Close idle connections and drop the state of departed targets."""
        self._targets.tick()
        self.quarantine.tick()

    def probe(self) -> bool:
        """Probe the daemons that are unresponsive.

        :returns: whether a request is waiting for a daemon, or a daemon is
            suspect or unreachable.
        """
        return self._targets.probe()

    def wait_for_work(self, limit_s: float) -> None:
        """Wait until a request waits for a daemon, or for the limit.

        A request that began to wait since the last probe ends the wait.
        """
        self._targets.request_waiting.wait(limit_s)

    def _process(self, request: serving.Request) -> None:
        call, route = self._read_call(request)
        counted = self._admit(request, call)
        self._budget.count(call.service)
        self._hedges.count(call.service)
        size = call.body.length or 0
        self._recorder.count("chiveroad.entry.bytes", "in", size)
        attempts = _attempts.Attempts(request, call, route)
        served = self._try_targets(attempts)
        caller_left = isinstance(attempts.worst, _CALLER_LEFT)
        if self._is_call_of_target(call) and not caller_left:
            self.outlook.record(not served, time.monotonic())
        if served:
            self._log_served(attempts)
            return
        worst = attempts.worst
        assert worst is not None, "report this: failed without a refusal"
        if counted and self._quotas and not attempts.may_have_run:
            self._quotas.give_back(call.customer)
        _log.warning(
            "Request {} failed: {}; targets of {} that were tried: {}.",
            call.id,
            worst,
            call.service,
            len(attempts.tried),
            extra=self._log_fields(attempts),
        )
        _answer_failure(request, call, worst)

    def _admit(self, request: serving.Request, call: _call.Call) -> bool:
        """Count a request against its customer's quota.

        Calls that the local target makes for a customer aren't counted.

        :returns: whether it was counted.
        :raises errors.OverQuota: when the customer has used its quota.
        """
        if self._quotas is None or not call.customer:
            return False
        if call.depth and self._is_inner(request):
            return False
        return self._quotas.admit(call.customer, call.due_s)

    def _try_targets(self, attempts: _attempts.Attempts) -> bool:
        """Try targets one after the other; False if all attempts fail."""
        while True:
            try:
                self._try_once(attempts)
                return True
            except _exchange.HedgeAnswered:
                return True
            except errors.Refusal as refusal:
                attempts.record_refusal(refusal)
                if not self._should_retry(attempts, refusal):
                    if not self._retry_inner_call(attempts, refusal):
                        return False
                    continue
                if attempts.moved and not self._sampler.allow():
                    continue
                _log.info(
                    "Request {} is retried at another target: {}.",
                    attempts.call.id,
                    refusal,
                    extra=self._log_fields(attempts),
                )

    def _retry_inner_call(
        self, attempts: _attempts.Attempts, refusal: errors.Refusal
    ) -> bool:
        """Wait until an inner call may be tried at all targets again.

        :returns: False if it isn't to be tried again.
        """
        if not self._is_call_of_target(attempts.call):
            return False
        pause_s = attempts.next_round_in_s(refusal)
        if pause_s is None:
            return False
        self._recorder.count("chiveroad.entry.inner_retries")
        time.sleep(pause_s)
        return True

    def _log_served(self, attempts: _attempts.Attempts) -> None:
        if not self._sampler.allow():
            return
        _log.info(
            "Request {} was served by {}.",
            attempts.call.id,
            attempts.served_by,
            extra=self._log_fields(attempts),
        )

    def _log_fields(self, attempts: _attempts.Attempts) -> dict[str, object]:
        """Return the fields of a log line about a request."""
        return {
            "request": attempts.call.id,
            "route": attempts.route.name,
            "service": attempts.call.service,
            "version": self._applied.current.number,
            "tried": attempts.tried,
            "moved": len(attempts.busy),
            "left_ms": int(attempts.call.left_ms()),
            "unlogged": self._sampler.suppressed,
        }

    def _read_call(
        self, request: serving.Request
    ) -> tuple[_call.Call, config.Route]:
        if not self._applied.ready:
            raise errors.NotReady(
                "the configuration isn't known to be current",
                NOT_READY_RETRY_MS,
            )
        current = self._applied.config
        host = _host(request)
        route = current.match(request.method, _path(request), host)
        if route is None:
            raise errors.NoRoute(f"no route for {request.method}")
        kind = current.kind_of(route)
        limit = current.limits.max_body_bytes
        if limit and (request.content_length or 0) > limit:
            raise errors.RequestTooLarge(f"the body is over {limit} bytes")
        terms = self._protocol.read_request(request)
        timeout_ms = min(terms.timeout_ms or kind.timeout_ms, kind.timeout_ms)
        deadline_s = request.received_s + timeout_ms / 1000
        if self._refuses_outlasting and deadline_s > self._limit.at_s:
            raise errors.Stopping(
                "the daemon stops before the deadline", STOPPING_RETRY_MS
            )
        request.set_body_deadline(deadline_s)
        if terms.depth > _call.MAX_DEPTH:
            raise errors.BadRequest(f"over {_call.MAX_DEPTH} calls deep")
        from_target = self._is_inner(request)
        inner = terms.depth > 0 or from_target
        customer = self._identify(route, terms.key_digest, from_target)
        team = route.team
        if customer is not None:
            team = customer.name
            kind = customers.prioritize(kind, customer)
        first_sent_s = request.received_s
        if not inner:
            elapsed_ms = self._caller_timeouts.elapsed_ms(
                route.name, terms.timeout_ms
            )
            first_sent_s -= elapsed_ms / 1000
        objective_s = clock.NEVER_S
        if kind.objective_ms:
            objective_s = first_sent_s + kind.objective_ms / 1000
        call = _call.Call(
            id=terms.request_id or f"{self._id_prefix}-{next(self._ids)}",
            service=self._splitter.choose(route),
            kind_name=route.kind,
            kind=kind,
            team=team,
            deadline_s=deadline_s,
            depth=terms.depth,
            key=request.header(_call.IDEMPOTENCY_KEY),
            method=request.method,
            uri=request.uri,
            headers=self._forwarded_headers(request),
            body=_call.Body(request, limit),
            caller_service=self._options.service,
            customer=customer.name if customer else "",
            objective_s=objective_s,
            inner=inner,
            limit=self._limit,
            buffers=self._buffers,
        )
        return call, route

    def _identify(
        self, route: config.Route, key_digest: str, from_target: bool
    ) -> config.Customer | None:
        """Return the customer that sent a request, None without customers.

        :raises errors.KeyRefused: when the key isn't a customer's.
        :raises errors.KeyUnconfirmed: when the key may have been revoked.
        """
        # Read before the configuration: a confirmation of a newer version
        # must not make the keys of an older one valid.
        confirmed_s = self._applied.confirmed_s
        if not self._applied.demands_keys:
            return None
        current = self._applied.config
        if not key_digest and (from_target or route.anonymous):
            return None
        customers.check_confirmed(
            self._options.customers, confirmed_s, clock.now_s()
        )
        return customers.identify(current, key_digest)

    def _forwarded_headers(
        self, request: serving.Request
    ) -> list[serving.Header]:
        """Return the caller's headers that are forwarded to the target."""
        headers = _call.end_to_end(request.headers())
        if not self._applied.demands_keys:
            return headers
        return _call.without_credentials(headers, self._protocol)

    def _is_call_of_target(self, call: _call.Call) -> bool:
        """Tell whether a running request of the local target waits for it."""
        return call.inner and (
            call.depth > 0 or not self._protocol.states_depth
        )

    def _is_inner(self, request: serving.Request) -> bool:
        """Tell whether the daemon's local target sent the request."""
        return request.peer_host == self._own_host

    def _try_once(self, attempts: _attempts.Attempts) -> None:
        """Try one target, unless the request's content is in quarantine."""
        call = attempts.call
        if call.left_ms() <= 0:
            raise errors.DeadlineExceeded("the deadline passed")
        suspect = self.quarantine.admit(call)
        try:
            self._try_target(attempts)
        except errors.TargetEnded as refusal:
            self.quarantine.target_ended(
                call, f"{attempts.tried[-1]}/{refusal.end}"
            )
            raise
        except errors.TargetFailed:
            self.quarantine.answered(call)
            raise
        finally:
            if suspect is not None:
                self.quarantine.release(suspect)
        self.quarantine.answered(call)

    def _try_target(self, attempts: _attempts.Attempts) -> None:
        call, tried = attempts.call, attempts.tried
        self._check_time_left(call)
        hedge_target, attempts.hedge_target = attempts.hedge_target, ""
        moves = self._options.traffic.move_waiting
        chosen, member = _moving.pick(
            self._targets, call, tried, attempts.busy, moves, hedge_target
        )
        tried.append(chosen.instance)
        if len(tried) > 1 + len(attempts.busy):
            self._recorder.count("chiveroad.entry.retries")
        distance = chosen.distance.name.lower()
        self._recorder.count("chiveroad.entry.picks", distance)
        stats = self._targets.stats(member)
        call.failover = self._failover(attempts)
        call.rate_limit_per_s = stats.rate_limit_per_s
        self._targets.count(stats, 1)
        try:
            self._serve(attempts, member, stats)
        except errors.Refusal as refusal:
            self._count_malformed(member, refusal)
            if _moving.was_moved(call, refusal):
                self._recorder.count("chiveroad.entry.moved")
                attempts.busy.add(chosen.instance)
            else:
                _targets.learn_refusal(stats, refusal)
                attempts.busy.discard(chosen.instance)
            raise
        except _exchange.Superseded:
            attempts.completed += 1
            raise
        finally:
            self._targets.count(stats, -1)
        attempts.served_by = chosen.instance
        sent = attempts.request.bytes_sent
        self._targets.learn_size(call.kind_name, sent)

    def _count_malformed(
        self, member: membership.Member, refusal: errors.Refusal
    ) -> None:
        """Count a malformed answer of another daemon, but not its target's."""
        if member.instance == self._options.instance:
            return
        if isinstance(refusal, errors.AnswerMalformed) and refusal.part:
            self._recorder.count("chiveroad.entry.malformed", refusal.part)

    def _check_time_left(self, call: _call.Call) -> None:
        left_ms = call.left_ms()
        if left_ms >= call.kind.objective_ms:
            return
        all_stats = self._targets.all_stats(call.service)
        if _deadline.no_target_in_time(call.kind_name, left_ms, all_stats):
            raise errors.DeadlineTooShort(f"{left_ms:.0f} ms are left")

    def _failover(
        self, attempts: _attempts.Attempts
    ) -> _failover.Failover | None:
        """Return the failover of an idempotent request, or None.

        There is none if the body can't be replayed, the request is part of
        a deeper call, or no attempt is left.
        """
        call = attempts.call
        if not call.kind.idempotent or not call.body.replayable:
            return None
        if call.depth or attempts.sent + 1 >= call.kind.max_attempts:
            return None
        return _failover.Failover(
            functools.partial(self._budget.spend, call.service)
        )

    def _serve(
        self,
        attempts: _attempts.Attempts,
        member: membership.Member,
        stats: _balancer.TargetStats,
    ) -> None:
        request, call = attempts.request, attempts.call
        if member.instance == self._options.instance:
            try:
                status = self._guard.serve(request, call)
                stats.record_answer(status, time.monotonic())
            finally:
                _, load = self._guard.load(call.kind_name)
                self._targets.learn_load(member, stats, load, call.kind_name)
                stats.rate_limit_per_s = self._guard.rate_limit_per_s
            return
        sender = self._late_sender(attempts)
        with (
            self._hedges.watch(call, member, sender) as watch,
            self._targets.awaiting_answer(member.guard),
        ):
            answer = _exchange.send_request(
                self._targets.pool(member.guard),
                call,
                call.guard_headers(self._hop_margin_ms(member)),
                request.socket,
                _guard_answer.read_terms,
                self._hedge(attempts, member, stats),
                watch,
            )
        if watch is not None:
            watch.answered(answer)
        self._targets.learn_state(member, stats, answer, call.kind_name)
        code = answer.header(serving.CODE_HEADER)
        if code:
            answer.read()
            raise _guard_answer.refusal_of(answer, code)
        stats.record_answer(answer.status, time.monotonic())
        _guard.check_failure(call, answer)
        _exchange.forward_answer(
            answer, request, buffer_bytes=BUFFERED_ANSWER_BYTES
        )

    def _hop_margin_ms(self, member: membership.Member) -> int:
        """Return how much earlier a request's deadline is at a guard."""
        if self._targets.distance(member) is _balancer.Distance.REMOTE:
            return _call.REMOTE_HOP_MARGIN_MS
        return _call.HOP_MARGIN_MS

    def _hedge(
        self,
        attempts: _attempts.Attempts,
        member: membership.Member,
        stats: _balancer.TargetStats,
    ) -> _exchange.Hedge | None:
        """Return a function that sends a hedged request, or None.

        A hedged request is sent while the first target's daemon is
        unreachable, if another target may run the request too and the retry
        budget allows it.  The daemon may be cut off, or only too busy to
        answer probes while its target runs the request, so only an answer
        or the deadline ends the first exchange.
        """
        if attempts.call.failover is None:
            return None
        reachability = self._targets.reachability(member.guard)
        spent_at = -1

        def try_another() -> bool:
            nonlocal spent_at
            if reachability.state is not _reachability.State.UNREACHABLE:
                return False
            unresponsive = errors.PeerUnresponsive(
                f"{member.instance} is silent"
            )
            if not self._retry_allowed(attempts, unresponsive):
                return False
            if spent_at < attempts.completed:
                # Each further target that receives the request takes one
                # retry from the budget.
                if not self._budget.spend(attempts.call.service):
                    return False
                spent_at = attempts.completed
                stats.record_failure(time.monotonic())
                _log.info(
                    "Request {} is hedged at another target: {}.",
                    attempts.call.id,
                    unresponsive,
                    extra=self._log_fields(attempts),
                )
            return self._try_targets(attempts)

        return lambda: attempts.hedge(try_another)

    def _late_sender(
        self, attempts: _attempts.Attempts
    ) -> _hedges.Sender | None:
        """Return what sends a hedge if the answer is late, or None.

        Only the outermost entry hedges, as only it retries after an unknown
        outcome; and a hedge isn't hedged itself.
        """
        call = attempts.call
        if call.failover is None or call.inner or attempts.in_progress:
            return None
        if not self._hedges.enabled or call.body.buffered is None:
            return None
        late = errors.AnswerTimeout("late")
        return _hedges.Sender(
            lambda: self._retry_allowed(attempts, late),
            functools.partial(self._send_late_hedge, attempts),
            attempts.request.socket,
            attempts.tried,
        )

    def _send_late_hedge(
        self, attempts: _attempts.Attempts, instance: str
    ) -> bool:
        """Send a hedge to one target; it isn't retried at others."""

        def try_once() -> bool:
            attempts.hedge_target = instance
            try:
                self._try_once(attempts)
            except _exchange.HedgeAnswered:
                return True
            except errors.Refusal as refusal:
                attempts.record_refusal(refusal)
                return False
            finally:
                attempts.hedge_target = ""
            return True

        return attempts.hedge(try_once)

    def _retry_allowed(
        self, attempts: _attempts.Attempts, refusal: errors.Refusal
    ) -> bool:
        """Tell whether a request may go to another target."""
        call = attempts.call
        failure = _retry.Failure(
            ran=refusal.ran,
            tries=len(attempts.tried),
            sent=attempts.sent,
            idempotent=call.kind.idempotent,
            outermost=call.depth == 0,
            replayable=call.body.replayable,
            answer_begun=attempts.request.begun,
            left_ms=call.left_ms(),
            max_attempts=call.kind.max_attempts,
        )
        return _retry.decide(failure, True) is _retry.Decision.RETRY

    def _should_retry(
        self, attempts: _attempts.Attempts, refusal: errors.Refusal
    ) -> bool:
        if isinstance(refusal, _NOT_RETRIED):
            return False
        if not self._retry_allowed(attempts, refusal):
            return False
        # A request that no target has received is retried without taking
        # from the budget.
        call = attempts.call
        if not refusal.reached or (call.failover and call.failover.spent):
            return True
        return self._budget.spend(call.service)


def _answer_failure(
    request: serving.Request, call: _call.Call, worst: errors.Refusal
) -> None:
    """Answer the caller with the target's failure that was kept, if any.

    :raises errors.Refusal: when the outcome isn't a failure that a target
        answered with, or an answer has begun.
    """
    failed = isinstance(worst, errors.TargetFailed)
    if not failed or call.failure_answer is None or request.begun:
        raise worst
    request.answer(*call.failure_answer)


def _terms(retries: settings.Retries) -> _retry_budget.Terms:
    return _retry_budget.Terms(retries.ratio, retries.window_s, retries.slack)


def _host(request: serving.Request) -> str:
    """Return a request's Host header without its port."""
    host = request.header("Host").lower()
    name, _, port = host.rpartition(":")
    return name if name and port.isdigit() else host


def _path(request: serving.Request) -> str:
    """Return the path to match, decoded and free of dot segments.

    :raises errors.BadRequest: when the path has dot or empty segments.
    """
    path = request.path
    if "%" in path:
        path = str(urllib.parse.unquote(path, "latin-1"))
    parts = path.split("/")
    if "." in parts or ".." in parts or "\\" in path or "//" in path:
        raise errors.BadRequest("the path has dot or empty segments")
    return path
