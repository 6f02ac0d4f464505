"""At most once for requests that carry an idempotency key.

Before a request that may not be repeated is run, its key is claimed by
creating one object in the platform's store, which no two guards can both do.
The claim outlives every daemon.  When the answer is known and small it is
written into the claim, so that a caller that asks again gets it once more.
While the store can't be asked nothing with a key is run: the refusal says so.
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

from chiveroad import errors
from chiveroad import logs
from chiveroad import serving
from chiveroad import store
from chiveroad.traffic import _call

KEEP_S: typing.Final = 3600
MAX_KEPT_ANSWER_BYTES: typing.Final = 8 * 1024
RETRY_AFTER_MS: typing.Final = 1_000

_BACKLOG: typing.Final = 1_000
_RETRY_S: typing.Final = 0.5
_log = logs.Logger("claims")


class KeptAnswer(msgspec.Struct, frozen=True):
    """An answer as a claim keeps it; ``body`` is base64."""

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
    version: int
    claim: Claim


_decoder = msgspec.json.Decoder(Claim)


def name_of(service: str, key: str) -> str:
    """Return the name of the claim for a service's key."""
    return hashlib.sha256(f"{service}\0{key}".encode()).hexdigest()[:40]


def fingerprint(call: _call.Call) -> str:
    """Return what tells two requests with the same key apart."""
    state = hashlib.sha256(f"{call.method} {call.uri}\0".encode())
    state.update(call.body.held or str(call.body.length).encode())
    return state.hexdigest()[:32]


def judge(
    found: Claim, mine: Claim, now_ms: int
) -> KeptAnswer | errors.Refusal:
    """Decide what a caller gets whose key is claimed already."""
    if found.fingerprint != mine.fingerprint:
        return errors.KeyReused("the key belongs to a different request")
    if found.answer is not None:
        return found.answer
    if not found.answered and now_ms < found.deadline_at_ms:
        left_ms = found.deadline_at_ms - now_ms
        return errors.KeyInProgress("the key's request is running", left_ms)
    return errors.KeyOutcomeUnknown("the key's request was started once")


class Claims:
    """Claims of one guard on the store."""

    def __init__(self, platform: store.Store, guard: str) -> None:
        self._store = platform
        self._guard = guard
        self._later: queue.Queue[_Work] = queue.Queue(_BACKLOG)
        self._thread: threading.Thread | None = None
        self._lock = threading.Lock()

    def acquire(self, call: _call.Call) -> HeldClaim | KeptAnswer:
        """Claim the call's key, or return the answer it got before.

        :raises errors.Refusal: when the key can't be claimed now, belongs
            to another request, or was started with an outcome that isn't
            known.
        """
        now_ms = int(time.time() * 1000)
        mine = Claim(
            call.service,
            fingerprint(call),
            uuid.uuid4().hex,
            self._guard,
            now_ms,
            now_ms + max(1, int(call.left_ms())),
        )
        name = name_of(call.service, call.key)
        try:
            return self._create(name, mine)
        except errors.StoreConflict:
            return self._taken(name, mine, now_ms)
        except errors.StoreError as exc:
            raise _unavailable(exc) from exc

    def finish(self, held: HeldClaim, answer: KeptAnswer | None) -> None:
        """Write down that the request was answered, soon."""
        done = msgspec.structs.replace(
            held.claim, answer=answer, answered=True
        )
        self._soon(_Write(held, done))

    def release(self, held: HeldClaim) -> None:
        """Give the key back, soon: the request was not run."""
        self._soon(_Release(held))

    def _create(self, name: str, mine: Claim) -> HeldClaim:
        try:
            written = self._store.put(
                store.Kind.CLAIMS, name, mine, store.ABSENT
            )
        except errors.StoreOutcomeUnknown:
            return self._read_back(name, mine)
        return HeldClaim(name, written.version, mine)

    def _read_back(self, name: str, mine: Claim) -> HeldClaim:
        """Settle a write whose answer was lost."""
        unsettled = HeldClaim(name, store.ABSENT, mine)
        try:
            stored = self._store.get(store.Kind.CLAIMS, name)
        except errors.StoreError:
            self._soon(_Release(unsettled))
            raise
        if _decoder.decode(stored.spec).attempt != mine.attempt:
            raise errors.StoreConflict(name)
        return HeldClaim(name, stored.version, mine)

    def _taken(self, name: str, mine: Claim, now_ms: int) -> KeptAnswer:
        try:
            stored = self._store.get(store.Kind.CLAIMS, name)
        except errors.StoreNotFound as exc:
            message = "the key was just given back"
            raise errors.KeyInProgress(message, RETRY_AFTER_MS) from exc
        except errors.StoreError as exc:
            raise _unavailable(exc) from exc
        verdict = judge(_decoder.decode(stored.spec), mine, now_ms)
        if isinstance(verdict, errors.Refusal):
            raise verdict
        return verdict

    def _soon(self, work: _Work) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="claims", daemon=True
                )
                self._thread.start()
        try:
            self._later.put_nowait(work)
        except queue.Full:
            _log.warning("A claim stays open: too many wait to be written.")

    def _run(self) -> None:
        while True:
            work = self._later.get()
            while not self._done(work):
                time.sleep(_RETRY_S)

    def _done(self, work: _Work) -> bool:
        try:
            work.do(self._store)
        except (errors.StoreConflict, errors.StoreNotFound):
            return True
        except msgspec.DecodeError as exc:
            _log.warning("A claim that can't be read stays: {}.", exc)
            return True
        except errors.StoreError as exc:
            _log.debug("A claim is written later: {}.", exc)
            return False
        return True

    def flush(self, limit_s: float) -> bool:
        """Wait until all is written; False at the limit."""
        end_s = time.monotonic() + limit_s
        while self._later.qsize() and time.monotonic() < end_s:
            time.sleep(0.02)
        return not self._later.qsize()


class _Work(abc.ABC):
    @abc.abstractmethod
    def do(self, platform: store.Store) -> None:
        """Write to the store."""


@dataclasses.dataclass(frozen=True)
class _Write(_Work):
    held: HeldClaim
    done: Claim

    def do(self, platform: store.Store) -> None:
        platform.put(
            store.Kind.CLAIMS, self.held.name, self.done, self.held.version
        )


@dataclasses.dataclass(frozen=True)
class _Release(_Work):
    held: HeldClaim

    def do(self, platform: store.Store) -> None:
        found = platform.get(store.Kind.CLAIMS, self.held.name)
        claim = _decoder.decode(found.spec)
        if claim.attempt == self.held.claim.attempt:
            platform.delete(store.Kind.CLAIMS, found.name, found.version)


def kept_answer(
    status: int, headers: list[serving.Header], body: bytes
) -> KeptAnswer | None:
    """Return an answer to keep, or None when it is too large."""
    if len(body) > MAX_KEPT_ANSWER_BYTES:
        return None
    text = base64.b64encode(body).decode()
    return KeptAnswer(status, headers, text)


def expired(claim: Claim, now_ms: int) -> bool:
    """Tell whether a claim is past the time it is kept."""
    return now_ms - claim.started_at_ms > KEEP_S * 1000


def collect(platform: store.Store, prefix: str, now_ms: int) -> int:
    """Delete the expired claims whose names begin with a prefix.

    :returns: how many were deleted.
    """
    count = 0
    for stored in platform.list(store.Kind.CLAIMS, prefix).objects:
        try:
            if not expired(_decoder.decode(stored.spec), now_ms):
                continue
            platform.delete(store.Kind.CLAIMS, stored.name, stored.version)
        except (errors.StoreConflict, errors.StoreNotFound):
            continue
        except msgspec.DecodeError as exc:
            _log.warning("A claim that can't be read stays: {}.", exc)
            continue
        count += 1
    return count


def _unavailable(exc: errors.StoreError) -> errors.ClaimsUnavailable:
    return errors.ClaimsUnavailable(
        f"the key can't be recorded: {exc}", RETRY_AFTER_MS
    )
