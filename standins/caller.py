"""A small caller: one request at a time, or a steady load."""

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

TIMEOUT_S: typing.Final = 15.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What one request came to.

    ``status`` is 0 where no whole answer came.  ``whole`` says that the
    answer was complete and belongs to this request.
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
        """Return chiveroad's own code, or 0 for the target's answer."""
        return int(self.headers.get("chiveroad-code", "0"))

    @property
    def ran(self) -> str:
        """Return what a refusal says of having run."""
        return self.headers.get("chiveroad-ran", "")

    @property
    def target(self) -> str:
        """Return the name of the target that answered."""
        try:
            return str(msgspec.json.decode(self.body).get("upstream", ""))
        except (msgspec.DecodeError, AttributeError):
            return ""


class Caller:
    """A caller with one kept connection to an address."""

    def __init__(self, address: str, timeout_s: float = TIMEOUT_S) -> None:
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
        """Make one request; a connection that was closed is opened anew."""
        request_id = request_id or uuid.uuid4().hex
        sent = {"X-Request-Id": request_id, **(headers or {})}
        if key:
            sent["Idempotency-Key"] = key
        started_s = time.perf_counter()
        try:
            connection = self._connect()
            connection.request(method, path, body or None, sent)
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
        found = {k.lower(): v for k, v in response.headers.items()}
        if response.will_close:
            self.close()
        whole = _is_own(request_id, found, answer)
        return Result(
            request_id,
            path,
            response.status,
            answer,
            found,
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


def _is_own(request_id: str, headers: dict[str, str], body: bytes) -> bool:
    if "chiveroad-code" in headers or "idempotency-replayed" in headers:
        return True
    try:
        return bool(msgspec.json.decode(body).get("request") == request_id)
    except (msgspec.DecodeError, AttributeError):
        return False


@dataclasses.dataclass(frozen=True)
class Work:
    """One kind of request in a load, with its share and its weight."""

    method: str
    path: str
    share: float
    weight: int = 1
    keyed: bool = False


class Load:
    """A steady load on several entries, from a thread for each worker.

    Requests are started on a schedule, whether earlier ones are done or
    not, as far as there are workers.  With ``asks_again`` a keyed request
    that got no answer of the target's own is sent again at another entry,
    with the same key, as soon as the refusal allows.
    """

    def __init__(
        self,
        entries: collections.abc.Sequence[str],
        work: collections.abc.Sequence[Work],
        rate_per_s: float,
        workers: int = 32,
        asks_again: bool = False,
    ) -> None:
        self._asks_again = asks_again
        self._entries = entries
        self._work = work
        self._interval_s = workers / rate_per_s
        self._workers = workers
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.results: list[tuple[Work, Result]] = []

    def start(self) -> None:
        """Begin."""
        for number in range(self._workers):
            thread = threading.Thread(
                target=self._run, args=(number,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> list[tuple[Work, Result]]:
        """End, and return what all requests came to."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.results

    def run(self, duration_s: float) -> list[tuple[Work, Result]]:
        """Run for a time."""
        self.start()
        time.sleep(duration_s)
        return self.stop()

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        caller = Caller(self._entries[number % len(self._entries)])
        due_s = time.monotonic() + rng.random() * self._interval_s
        shares = [work.share for work in self._work]
        while not self._stop.wait(max(0.0, due_s - time.monotonic())):
            due_s = max(due_s + self._interval_s, time.monotonic() - 1)
            [work] = rng.choices(self._work, shares)
            key = uuid.uuid4().hex if work.keyed else ""
            body = b"{}" if work.method == "POST" else b""
            result = caller.call(work.method, work.path, body, key)
            self._keep(work, result)
            if key and self._asks_again and result.status != 200:
                self._ask_again(work, key, number)
        caller.close()

    def _ask_again(self, work: Work, key: str, number: int) -> None:
        for step in range(1, 3):
            address = self._entries[(number + step) % len(self._entries)]
            caller = Caller(address)
            result = caller.call(work.method, work.path, b"{}", key)
            caller.close()
            self._keep(work, result)
            if result.status == 200:
                return

    def _keep(self, work: Work, result: Result) -> None:
        with self._lock:
            self.results.append((work, result))
