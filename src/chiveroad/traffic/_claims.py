"""At-most-once execution of requests that carry an idempotency key.

Before a guard runs a request that must not be repeated, it claims the key by
creating an object in the platform's store; only one guard can succeed.  The
claim outlives every daemon.  A small answer is written into the claim, so
that a caller that retries the request gets the same answer again.  While the
store is unavailable, requests with a key are refused and not run; the refusal
states that reason.
"""

from __future__ import annotations

import abc
import base64
import dataclasses
import hashlib
import queue
import threading
import time
import typing
import uuid

import msgspec

from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import serving
from chiveroad import store
from chiveroad.traffic import _call

KEEP_S: typing.Final = 3600
MAX_KEPT_ANSWER_BYTES: typing.Final = 8 * 1024
RETRY_AFTER_MS: typing.Final = 1_000

_MAX_PENDING: typing.Final = 1_000
_RETRY_S: typing.Final = 0.5
_log = logs.Logger("claims")


class KeptAnswer(msgspec.Struct, frozen=True):
    """An answer stored in a claim; ``body`` is base64."""

    status: int
    headers: list[serving.Header]
    body: str


class Claim(msgspec.Struct, frozen=True):
    """The value of a claim in the store; times are Unix milliseconds."""

    service: str
    fingerprint: str
    attempt: str
    guard: str
    started_at_ms: int
    deadline_at_ms: int
    answer: KeptAnswer | None = None
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this guard holds."""

    name: str
    version: store.Revision
    claim: Claim


_decoder = msgspec.json.Decoder(Claim)


def claim_name(service: str, key: str, customer: str = "") -> str:
    """Return the name of the claim object for a service's key.

    Customers choose their idempotency keys independently, and one must not
    get the answer that is kept for another.
    """
    text = f"{service}\0{key}" + (f"\0{customer}" if customer else "")
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def fingerprint(call: _call.Call) -> str:
    """Return a digest that tells requests with the same key apart."""
    digest = hashlib.sha256(f"{call.method} {call.uri}\0".encode())
    digest.update(call.body.buffered or str(call.body.length).encode())
    return digest.hexdigest()[:32]


def resolve_duplicate(
    existing: Claim, own: Claim, now_ms: int
) -> KeptAnswer | errors.Refusal:
    """Return the answer or refusal for a request whose key is claimed."""
    if existing.fingerprint != own.fingerprint:
        return errors.KeyReused("the key belongs to a different request")
    if existing.answer is not None:
        return existing.answer
    if not existing.answered and now_ms < existing.deadline_at_ms:
        left_ms = existing.deadline_at_ms - now_ms
        return errors.KeyInProgress("the key's request is running", left_ms)
    return errors.KeyOutcomeUnknown("the key's request was started once")


class Claims:
    """The claims that one guard makes in the store.

    Finished and released claims are written by a background thread.
    """

    def __init__(self, platform: store.Store, guard: str) -> None:
        self._store = platform
        self._guard = guard
        self._pending: queue.Queue[_StoreWrite] = queue.Queue(_MAX_PENDING)
        self._thread: threading.Thread | None = None
        self._lock = threading.Lock()

    def acquire(self, call: _call.Call) -> HeldClaim | KeptAnswer:
        """Claim the call's key, or return the answer kept for it.

        :raises errors.Refusal: when the key can't be claimed now, belongs
            to another request, or belongs to a request that is running or
            whose outcome is unknown.
        """
        now_ms = int(time.time() * 1000)
        own = Claim(
            call.service,
            fingerprint(call),
            uuid.uuid4().hex,
            self._guard,
            now_ms,
            now_ms + max(1, int(call.left_ms())),
        )
        name = claim_name(call.service, call.key, call.customer)
        try:
            return self._create(name, own)
        except errors.StoreConflict:
            return self._existing_answer(name, own, now_ms)
        except errors.StoreError as exc:
            raise _unavailable(exc) from exc

    def finish(self, held: HeldClaim, answer: KeptAnswer | None) -> None:
        """Queue a write to the claim that the request was answered."""
        finished_claim = msgspec.structs.replace(
            held.claim, answer=answer, answered=True
        )
        self._enqueue(_Finish(held, finished_claim))

    def release(self, held: HeldClaim) -> None:
        """Queue the deletion of a claim whose request was not run."""
        self._enqueue(_Release(held))

    def _create(self, name: str, own: Claim) -> HeldClaim:
        try:
            written = self._store.put(
                store.Kind.CLAIMS, name, own, store.ABSENT
            )
        except errors.StoreOutcomeUnknown:
            return self._read_back(name, own)
        return HeldClaim(name, written.version, own)

    def _read_back(self, name: str, own: Claim) -> HeldClaim:
        """Find out whether a write whose answer was lost took effect.

        :raises errors.StoreConflict: when another request has the claim.
        """
        unsettled = HeldClaim(name, store.ABSENT, own)
        try:
            stored = self._store.get(store.Kind.CLAIMS, name)
        except errors.StoreError:
            self._enqueue(_Release(unsettled))
            raise
        if decoding.decode(_decoder, stored.spec).attempt != own.attempt:
            raise errors.StoreConflict(name)
        return HeldClaim(name, stored.version, own)

    def _existing_answer(
        self, name: str, own: Claim, now_ms: int
    ) -> KeptAnswer:
        try:
            stored = self._store.get(store.Kind.CLAIMS, name)
        except errors.StoreNotFound as exc:
            message = "the key was just given back"
            raise errors.KeyInProgress(message, RETRY_AFTER_MS) from exc
        except errors.StoreError as exc:
            raise _unavailable(exc) from exc
        outcome = resolve_duplicate(
            decoding.decode(_decoder, stored.spec), own, now_ms
        )
        if isinstance(outcome, errors.Refusal):
            raise outcome
        return outcome

    def _enqueue(self, write: _StoreWrite) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="claims", daemon=True
                )
                self._thread.start()
        try:
            self._pending.put_nowait(write)
        except queue.Full:
            _log.warning(
                "A claim stays unfinished in the store: {} writes are already"
                " pending.",
                _MAX_PENDING,
            )

    def _run(self) -> None:
        while True:
            write = self._pending.get()
            while not self._try_write(write):
                time.sleep(_RETRY_S)

    def _try_write(self, write: _StoreWrite) -> bool:
        try:
            write.apply(self._store)
        except (errors.StoreConflict, errors.StoreNotFound):
            return True
        except msgspec.DecodeError as exc:
            _log.warning("An undecodable claim stays in the store: {}.", exc)
            return True
        except errors.StoreError as exc:
            _log.debug(
                "Writing a claim failed, retrying in {} s: {}.", _RETRY_S, exc
            )
            return False
        return True

    def flush(self, limit_s: float) -> bool:
        """Wait for the pending writes; False if the time limit is reached."""
        end_s = time.monotonic() + limit_s
        while self._pending.qsize() and time.monotonic() < end_s:
            time.sleep(0.02)
        return not self._pending.qsize()


class _StoreWrite(abc.ABC):
    @abc.abstractmethod
    def apply(self, platform: store.Store) -> None:
        """Write to the store, or raise ``errors.StoreError``."""


@dataclasses.dataclass(frozen=True)
class _Finish(_StoreWrite):
    held: HeldClaim
    finished_claim: Claim

    def apply(self, platform: store.Store) -> None:
        platform.put(
            store.Kind.CLAIMS,
            self.held.name,
            self.finished_claim,
            self.held.version,
        )


@dataclasses.dataclass(frozen=True)
class _Release(_StoreWrite):
    held: HeldClaim

    def apply(self, platform: store.Store) -> None:
        stored = platform.get(store.Kind.CLAIMS, self.held.name)
        claim = decoding.decode(_decoder, stored.spec)
        if claim.attempt == self.held.claim.attempt:
            platform.delete(store.Kind.CLAIMS, stored.name, stored.version)


def kept_answer(
    status: int, headers: list[serving.Header], body: bytes
) -> KeptAnswer | None:
    """Return the answer in its stored form, or None when it is too large."""
    if len(body) > MAX_KEPT_ANSWER_BYTES:
        return None
    text = base64.b64encode(body).decode()
    return KeptAnswer(status, headers, text)


def is_expired(claim: Claim, now_ms: int) -> bool:
    """Tell whether a claim is older than ``KEEP_S``."""
    return now_ms - claim.started_at_ms > KEEP_S * 1000


def collect_expired_claims(
    platform: store.Store, prefix: str, now_ms: int
) -> int:
    """Delete the expired claims whose names begin with a prefix.

    :returns: how many were deleted.
    """
    deleted = 0
    for stored in platform.list(store.Kind.CLAIMS, prefix).objects:
        try:
            if not is_expired(decoding.decode(_decoder, stored.spec), now_ms):
                continue
            platform.delete(store.Kind.CLAIMS, stored.name, stored.version)
        except (errors.StoreConflict, errors.StoreNotFound):
            continue
        except msgspec.DecodeError as exc:
            _log.warning(
                "Claim {} can't be decoded and stays in the store: {}.",
                stored.name,
                exc,
            )
            continue
        deleted += 1
    return deleted


def _unavailable(exc: errors.StoreError) -> errors.ClaimsUnavailable:
    return errors.ClaimsUnavailable(
        f"the key can't be recorded: {exc}", RETRY_AFTER_MS
    )
