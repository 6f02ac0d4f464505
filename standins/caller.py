"""Callers: a client with one connection, and a load generator."""

from __future__ import annotations

import collections.abc
import dataclasses
import http.client
import random
import threading
import time
import typing
import uuid

import msgspec

ANSWER_TIMEOUT_S: typing.Final = 15.0


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of a request.

    ``status`` is 0 if there was no complete answer.  ``whole`` is true for an
    answer that is complete and belongs to this request.
    """

    id: str
    path: str
    status: int
    body: bytes
    headers: dict[str, str]
    took_ms: float
    whole: bool
    error: str = ""
    key: str = ""
    entry: str = ""
    ended_s: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def code(self) -> int:
        """Return the code of a refusal, or 0 for the answer of a target."""
        return int(self.headers.get("chiveroad-code", "0"))

    @property
    def ran(self) -> str:
        """Return whether the request ran, as a refusal states it."""
        return self.headers.get("chiveroad-ran", "")

    @property
    def target(self) -> str:
        """Return the name of the target that answered."""
        try:
            return str(msgspec.json.decode(self.body).get("upstream", ""))
        except (msgspec.DecodeError, AttributeError):
            return ""


class Caller:
    """A client with one persistent connection to an address."""

    def __init__(
        self, address: str, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._connection: http.client.HTTPConnection | None = None

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "",
        headers: dict[str, str] | None = None,
        request_id: str = "",
    ) -> Result:
        """Make a request; a closed connection is opened again first."""
        request_id = request_id or uuid.uuid4().hex
        request_headers = {"X-Request-Id": request_id, **(headers or {})}
        if key:
            request_headers["Idempotency-Key"] = key
        started_s = time.perf_counter()
        try:
            connection = self._connect()
            connection.request(method, path, body or None, request_headers)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            took_ms = (time.perf_counter() - started_s) * 1000
            return Result(
                request_id,
                path,
                0,
                b"",
                {},
                took_ms,
                False,
                repr(exc),
                key,
                self._address,
            )
        took_ms = (time.perf_counter() - started_s) * 1000
        answer_headers = {k.lower(): v for k, v in response.headers.items()}
        if response.will_close:
            self.close()
        whole = _belongs_to(request_id, answer_headers, answer)
        return Result(
            request_id,
            path,
            response.status,
            answer,
            answer_headers,
            took_ms,
            whole,
            "",
            key,
            self._address,
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None:
            host, _, port = self._address.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=self._timeout_s
            )
            self._connection.connect()
        return self._connection


def _belongs_to(request_id: str, headers: dict[str, str], body: bytes) -> bool:
    if "chiveroad-code" in headers or "idempotency-replayed" in headers:
        return True
    try:
        return bool(msgspec.json.decode(body).get("request") == request_id)
    except (msgspec.DecodeError, AttributeError):
        return False


@dataclasses.dataclass(frozen=True)
class RequestSpec:
    """A kind of request of a load, with its share and its weight.

    Each request that is ``keyed`` has an idempotency key of its own.
    """

    method: str
    path: str
    share: float
    weight: int = 1
    keyed: bool = False


class LoadGenerator:
    """Sends requests to several entries at a constant rate.

    Requests start on a schedule, even while earlier requests still run, as
    far as there are workers; each worker is a thread.  With ``retries_keyed``
    a keyed request that got another status than 200 is sent again at up to
    two other entries with the same key.
    """

    def __init__(
        self,
        entries: collections.abc.Sequence[str],
        specs: collections.abc.Sequence[RequestSpec],
        rate_per_s: float,
        workers: int = 32,
        retries_keyed: bool = False,
    ) -> None:
        self._retries_keyed = retries_keyed
        self._entries = entries
        self._specs = specs
        self._interval_s = workers / rate_per_s
        self._workers = workers
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.results: list[tuple[RequestSpec, Result]] = []

    def start(self) -> None:
        """Start the workers."""
        for worker in range(self._workers):
            thread = threading.Thread(
                target=self._run, args=(worker,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> list[tuple[RequestSpec, Result]]:
        """Stop the workers, and return the outcomes of all requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.results

    def run(self, duration_s: float) -> list[tuple[RequestSpec, Result]]:
        """Generate load for some time, and return the outcomes."""
        self.start()
        time.sleep(duration_s)
        return self.stop()

    def _run(self, worker: int) -> None:
        rng = random.Random(worker)
        caller = Caller(self._entries[worker % len(self._entries)])
        due_s = time.monotonic() + rng.random() * self._interval_s
        shares = [spec.share for spec in self._specs]
        while not self._stop.wait(max(0.0, due_s - time.monotonic())):
            due_s = max(due_s + self._interval_s, time.monotonic() - 1)
            [spec] = rng.choices(self._specs, shares)
            key = uuid.uuid4().hex if spec.keyed else ""
            body = b"{}" if spec.method == "POST" else b""
            result = caller.call(spec.method, spec.path, body, key)
            self._record(spec, result)
            if key and self._retries_keyed and result.status != 200:
                self._retry(spec, key, worker)
        caller.close()

    def _retry(self, spec: RequestSpec, key: str, worker: int) -> None:
        for offset in range(1, 3):
            address = self._entries[(worker + offset) % len(self._entries)]
            caller = Caller(address)
            result = caller.call(spec.method, spec.path, b"{}", key)
            caller.close()
            self._record(spec, result)
            if result.status == 200:
                return

    def _record(self, spec: RequestSpec, result: Result) -> None:
        with self._lock:
            self.results.append((spec, result))
