"""Quotas at one daemon: admits requests, reports use, and serves reports."""

from __future__ import annotations

import collections
import http
import threading
import time
import typing
import uuid

import msgspec

from chiveroad import config
from chiveroad import control
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad.quotas import _ledger
from chiveroad.quotas import _limits
from chiveroad.quotas import _local
from chiveroad.quotas import _messages
from chiveroad.quotas import _meter
from chiveroad import serving
from chiveroad import settings

USAGE_PATH: typing.Final = "/control/v1/usage"
REPORTERS: typing.Final = 2
"""Threads that report, so that one slow quota server doesn't delay the reports
to the others."""

EXCHANGE_TIMEOUT_S: typing.Final = 0.3
"""How long a quota server may take to answer; round trips take 25 ms."""

MAX_WAIT_S: typing.Final = 1.0
"""For how long a request waits for a token while the quota server doesn't
answer, at most."""

WAIT_SHARE: typing.Final = 0.5
"""The part of the time to its deadline that a request waits for a token."""

MAX_REPORT_BYTES: typing.Final = 4 * 1024 * 1024
"""The size limit of a report: 20 times one on 5,000 customers."""

_JSON: typing.Final = (("Content-Type", "application/json"),)
_report_decoder = msgspec.json.Decoder(_messages.Report)
_answer_decoder = msgspec.json.Decoder(_messages.Answer)
_log = logs.Logger("quotas")


class Transport(typing.Protocol):
    """Posts messages to control addresses, see ``control.Peers``."""

    def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Post a message, and return the answer's body."""


class Quotas:
    """The quotas of all customers at one daemon.

    Nothing is sent, and no thread runs, before a request of a customer with a
    rate arrives.
    """

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        view: membership.View,
        recorder: metrics.Recorder,
        peers: Transport,
    ) -> None:
        self._instance = options.instance
        self._applied = applied
        self._recorder = recorder
        self._peers = peers
        terms = _limits.Terms(
            options.customers.quota_window_s,
            options.customers.quota_overage,
            options.customers.quota_slack,
        )
        started_s = time.monotonic()
        self._local = _local.LocalQuotas(
            options.instance,
            time.time_ns() // 1_000_000,
            view,
            terms,
            started_s,
        )
        self._lock = threading.Lock()
        self._due = threading.Condition(self._lock)
        self._answered = threading.Condition(self._lock)
        self._started = False
        self._stopped = False
        self._ledger_lock = threading.Lock()
        self._ledger = _ledger.Ledger(
            uuid.uuid4().hex[:12], terms, view, started_s
        )
        self._sampler = logs.Sampler()
        self._refusals: collections.defaultdict[
            str, collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)

    def admit(self, name: str, due_s: float) -> bool:
        """Admit a request of a customer.

        :param name: the customer's name, empty without one.
        :param due_s: the request's deadline, in monotonic seconds.
        :returns: whether it was counted, so that ``give_back`` undoes it.
        :raises errors.OverQuota: when the customer has used its quota.
        """
        customer = self._applied.config.customers.get(name) if name else None
        if customer is None or not customer.rate_per_s:
            return False
        now_s = time.monotonic()
        with self._lock:
            self._start()
            meter = self._local.meter_of(customer, now_s)
            meter.arrive()
            verdict = self._local.decide(name, meter, now_s)
            if verdict is _meter.Verdict.ASK:
                verdict = self._ask(name, meter, due_s)
            retry_ms = 0
            if verdict.refuses:
                retry_ms = meter.refuse(time.monotonic())
                self._refusals[name][verdict.value] += 1
            self._schedule(name, meter)
        if not verdict.refuses:
            return True
        self._log_refusal(customer, verdict, retry_ms)
        raise errors.OverQuota(f"refused {verdict.value}", retry_ms)

    def give_back(self, customer: str) -> None:
        """Return the token of a request that never ran."""
        with self._lock:
            if self._local.give_back(customer, time.monotonic()):
                self._due.notify()

    def refusals(self) -> dict[str, dict[str, int]]:
        """Return this entry's refusals by customer and reason."""
        configured = self._applied.config.customers
        with self._lock:
            for name in self._refusals.keys() - configured.keys():
                del self._refusals[name]
            return {
                name: dict(reasons) for name, reasons in self._refusals.items()
            }

    def served(
        self,
    ) -> tuple[list[tuple[str, float, float, bool, int]], list[str]]:
        """Return what this quota server knows.

        :returns: name, use a second, tokens left, whether tokens are needed,
            and number of entries of each customer; and the names of the
            daemons that are cut off.
        """
        now_s = time.monotonic()
        with self._ledger_lock:
            found = [
                (
                    name,
                    account.used_per_s(now_s),
                    account.level(now_s),
                    account.close,
                    account.entries,
                )
                for name, account in sorted(self._ledger.accounts.items())
            ]
            return found, sorted(self._ledger.missing)

    def usage_page(self, request: serving.Request) -> None:
        """Answer an entry's report."""
        try:
            report = decoding.decode(
                _report_decoder, request.read_body(MAX_REPORT_BYTES)
            )
        except msgspec.DecodeError as exc:
            raise errors.BadRequest(f"unreadable message: {exc}") from exc
        answer = msgspec.json.encode(self._serve(report))
        request.answer(http.HTTPStatus.OK, _JSON, answer)

    def stop(self) -> None:
        """End the reporting threads."""
        with self._lock:
            self._stopped = True
            self._due.notify_all()
            self._answered.notify_all()

    def _start(self) -> None:
        """Start the reporting threads with the first request."""
        if self._started:
            return
        self._started = True
        for number in range(REPORTERS):
            threading.Thread(
                target=self._report_loop,
                name=f"quota reports {number + 1}",
                daemon=True,
            ).start()

    def _serve(self, report: _messages.Report) -> _messages.Answer:
        now_s = time.monotonic()
        with self._lock:
            # The other quota servers are told that this one has started.
            self._start()
        with self._ledger_lock:
            self._ledger.configure(self._applied.config.customers, now_s)
            return self._ledger.report(report, now_s)

    def _ask(
        self, name: str, meter: _meter.Meter, due_s: float
    ) -> _meter.Verdict:
        """Wait until the quota server has answered; the lock is held."""
        self._recorder.count("chiveroad.quota.waits")
        started_s = now_s = time.monotonic()
        until_s = now_s + min(MAX_WAIT_S, WAIT_SHARE * (due_s - now_s))
        meter.waiting += 1
        try:
            while now_s < until_s and not self._stopped:
                self._schedule(name, meter)
                self._answered.wait(until_s - now_s)
                now_s = time.monotonic()
                verdict = self._local.decide(name, meter, now_s)
                if verdict is not _meter.Verdict.ASK:
                    return verdict
        finally:
            meter.waiting -= 1
        if meter.answered_s >= started_s:
            return _meter.Verdict.REFUSE
        self._recorder.count("chiveroad.quota.alone")
        return meter.decide_alone(self._local.daemons, now_s)

    def _schedule(self, name: str, meter: _meter.Meter) -> None:
        """Schedule the report on a customer; the lock is held."""
        if self._local.schedule(name, meter, time.monotonic()):
            self._due.notify()

    def _report_loop(self) -> None:
        while True:
            batch = self._next_report()
            if batch is None:
                return
            try:
                answer = self._exchange(batch)
            except (errors.PeerUnavailable, msgspec.DecodeError) as exc:
                _log.info(
                    "Quota server {} doesn't answer, in back-off: {}.",
                    batch.link.member.instance,
                    exc,
                )
                self._finish(batch, None)
            except Exception:
                # Without this thread, no further report would be sent.
                _log.exception("A report of quotas failed.")
                self._finish(batch, None)
            else:
                self._finish(batch, answer)

    def _next_report(self) -> _local.Batch | None:
        """Wait until a report is due; None at a stop."""
        with self._lock:
            while not self._stopped:
                now_s = time.monotonic()
                batch = self._local.next_report(now_s)
                if batch is not None:
                    return batch
                due_s = self._local.due_s()
                wait_s = max(0.0, due_s - now_s)
                self._due.wait(None if wait_s == float("inf") else wait_s)
        return None

    def _exchange(self, batch: _local.Batch) -> _messages.Answer:
        if batch.link.member.instance == self._instance:
            return self._serve(batch.report)
        body = self._peers.post(
            batch.link.member.control,
            USAGE_PATH,
            msgspec.json.encode(batch.report),
            EXCHANGE_TIMEOUT_S,
        )
        return decoding.decode(_answer_decoder, body)

    def _finish(
        self, batch: _local.Batch, answer: _messages.Answer | None
    ) -> None:
        """Apply the outcome of an exchange; None if it failed."""
        outcome = "answered" if answer is not None else "failed"
        self._recorder.count("chiveroad.quota.reports", outcome)
        with self._lock:
            now_s = time.monotonic()
            if answer is not None:
                self._local.apply(batch, answer, now_s)
            else:
                self._local.fail(batch, now_s)
            self._due.notify()
            self._answered.notify_all()

    def _log_refusal(
        self,
        customer: config.Customer,
        verdict: _meter.Verdict,
        retry_ms: int,
    ) -> None:
        self._recorder.count("chiveroad.quota.refused", verdict.name.lower())
        if not self._sampler.allow():
            return
        _log.warning(
            "A request of customer {} was refused {}; its limit is {} a "
            "second.",
            customer.name,
            verdict.value,
            customer.rate_per_s,
            extra={
                "customer": customer.name,
                "reason": verdict.value,
                "retry_ms": retry_ms,
                "unlogged": self._sampler.suppressed,
            },
        )
