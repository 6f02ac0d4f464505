"""Peers that send data without end, in a burst or slowly."""

from __future__ import annotations

import collections.abc
import concurrent.futures
import contextlib
import gzip
import http.client
import itertools
import select
import socket
import threading
import time
import tracemalloc
import typing

import pytest

from chiveroad.cli import _daemon_page
from chiveroad.cli import _explain
from chiveroad import config
from chiveroad import control
from chiveroad.control import _peer
from chiveroad import errors
from chiveroad import http_calls
from chiveroad import membership
from chiveroad import metrics
from chiveroad import platform
from chiveroad import presence
from chiveroad import serving
from chiveroad.serving import _framing
from chiveroad.serving import _request
from chiveroad import store
from chiveroad import traffic
from chiveroad.traffic import _buffers
from chiveroad.traffic import _call
from chiveroad.traffic import _claims
from chiveroad.traffic import _entry
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _pool
from chiveroad import wire
from standins import mesh
from standins import target
from tests import fakes
from tests import test_exchange

_PORTS = mesh.Ports()
LEFT_S = 0.6
TOLERANCE_S = 0.35
"""Tolerance for the delays of a loaded machine."""

SEND_TIMEOUT_S = 5.0
"""A peer stops sending after this time if its connection isn't closed."""

CHUNKED = test_exchange.OWN + b"Transfer-Encoding: chunked\r\n\r\n"
LATE_CHUNKED = CHUNKED.replace(b": q", b": earlier")


class Endless:
    """A peer that sends bytes without end until its connection is closed.

    :param pause_s: the pause between two sends; 0 for a burst.
    """

    def __init__(self, prefix: bytes, unit: bytes, pause_s: float) -> None:
        self._prefix = prefix
        self._unit = unit
        self._pause_s = pause_s
        self.sent_bytes = 0
        self.closed = threading.Event()

    def __call__(self, sock: socket.socket) -> None:
        """Serve one connection."""
        end_s = time.monotonic() + SEND_TIMEOUT_S
        sock.settimeout(SEND_TIMEOUT_S)
        sock.recv(65_536)
        try:
            sock.sendall(self._prefix)
            while time.monotonic() < end_s:
                sock.sendall(self._unit)
                self.sent_bytes += len(self._unit)
                time.sleep(self._pause_s)
        except ConnectionError:
            self.closed.set()


class Caller:
    """A received request that records its answer instead of sending it."""

    def __init__(self) -> None:
        self.begun = False
        self.streamed = False
        self.finished = False
        self.bytes_sent = 0

    def answer(
        self, _status: int, _headers: list[serving.Header], body: bytes
    ) -> None:
        """Record a complete answer."""
        self.begun = self.finished = True
        self.bytes_sent = len(body)

    def start(self, _status: int, _headers: list[serving.Header]) -> None:
        """Record the start of an answer."""
        self.begun = self.streamed = True

    def send(self, chunk: bytes) -> None:
        """Record a part of an answer."""
        self.bytes_sent += len(chunk)

    def finish(self) -> None:
        """Record the end of an answer."""
        self.finished = True

    def abort(self) -> None:
        """Accept that an answer is truncated."""


@contextlib.contextmanager
def connected(
    peer: Endless, left_s: float = LEFT_S
) -> collections.abc.Iterator[
    tuple[collections.abc.Callable[[], _exchange.Answer], socket.socket]
]:
    """Yield a function that sends a request, and the caller's socket.

    Checks that no connection to the peer is kept.
    """
    with test_exchange.target(peer) as address:
        pool = _pool.Pool(address)
        ours, theirs = socket.socketpair()
        request = test_exchange.call(left_s=left_s)
        with ours, theirs:
            yield lambda: _exchange.send_request(
                pool,
                request,
                request.headers,
                ours,
                platform.Protocol().read_answer,
            ), theirs
        assert not pool._idle


BURST = 0.0
TRICKLE_S = 0.02
LINE = b"X-Filler: " + b"x" * 1_000 + b"\r\n"

ENDLESS_HEADS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "header lines": (test_exchange.OWN, b"X-Filler: x\r\n"),
    "a header line": (test_exchange.OWN + b"X-Filler: ", b"x"),
    "bytes that are no head": (b"", b"\x00"),
    "an earlier answer, chunked": (LATE_CHUNKED, b"3\r\nabc\r\n"),
    "an earlier answer, long": (
        test_exchange.LATE.replace(b": 3", b": 999999999"),
        b"x" * 100,
    ),
    "earlier answers": (b"", test_exchange.LATE),
    "an earlier answer's trailers": (LATE_CHUNKED + b"0\r\n", b"T: r\r\n"),
}

ENDLESS_BODIES = {
    "a length": (
        test_exchange.OWN + b"Content-Length: 60000\r\n\r\n",
        b"x",
    ),
    "no length": (test_exchange.OWN + b"\r\n", b"x"),
    "chunks": (CHUNKED, b"3\r\nabc\r\n"),
    "a chunk size": (CHUNKED, b"0"),
    "a chunk extension": (CHUNKED + b"3;x=", b"x"),
    "trailers": (CHUNKED + b"3\r\nabc\r\n0\r\n", b"T: r\r\n"),
    "a trailer": (CHUNKED + b"3\r\nabc\r\n0\r\nT: ", b"r"),
    "a negative chunk size": (CHUNKED + b"-5\r\n", b"x"),
}


def _check_refused_in_time(peer: Endless) -> None:
    """Send a request to a peer without a valid head.

    Checks that the outcome is unknown and the connection closed in time.
    """
    with connected(peer) as (send, _):
        started_s = time.monotonic()
        with pytest.raises(errors.OutcomeUnknown) as caught:
            send()
        assert time.monotonic() - started_s < LEFT_S + TOLERANCE_S
        assert caught.value.ran == "unknown"
        assert peer.closed.wait(1)


@pytest.mark.parametrize("kind", list(ENDLESS_HEADS))
def test_endless_head_is_read_up_to_a_limit(kind: str) -> None:
    """Interim heads in a burst blocked a thread forever."""
    prefix, unit = ENDLESS_HEADS[kind]
    _check_refused_in_time(Endless(prefix, unit * 1_000, BURST))


@pytest.mark.parametrize("kind", list(ENDLESS_HEADS))
def test_trickling_head_times_out_at_the_deadline(kind: str) -> None:
    """Each read had a timeout, but not all reads together."""
    _check_refused_in_time(Endless(*ENDLESS_HEADS[kind], TRICKLE_S))


@pytest.mark.parametrize("kind", list(ENDLESS_BODIES))
def test_trickling_body_is_truncated_at_the_deadline(kind: str) -> None:
    """Buffering an endless answer left its caller without an answer."""
    peer = Endless(*ENDLESS_BODIES[kind], TRICKLE_S)
    caller = Caller()
    with connected(peer) as (send, _):
        started_s = time.monotonic()
        with pytest.raises(errors.AnswerTruncated):
            _exchange.forward_answer(send(), caller)  # type: ignore[arg-type]
        took_s = time.monotonic() - started_s
        assert took_s < LEFT_S + TOLERANCE_S
        assert not caller.begun
        assert peer.closed.wait(1)


@pytest.mark.parametrize("kind", list(ENDLESS_BODIES))
def test_endless_body_is_read_up_to_a_limit(kind: str) -> None:
    """An endless body of a failure was read into memory without limit."""
    prefix, unit = ENDLESS_BODIES[kind]
    prefix = prefix.replace(b": 60000", b": 99999999")
    peer = Endless(prefix, unit * 1_000, BURST)
    with connected(peer) as (send, _):
        started_s = time.monotonic()
        with pytest.raises(errors.AnswerTruncated):
            send().read()
        assert time.monotonic() - started_s < LEFT_S + TOLERANCE_S
        assert peer.closed.wait(1)
    assert peer.sent_bytes < 16 * _exchange.MAX_READ_BYTES


@contextlib.contextmanager
def begun(
    sent: bytes, budget_bytes: int
) -> collections.abc.Iterator[tuple[_exchange.Answer, _buffers.BufferBudget]]:
    """Yield the answer that a target has begun, and what it may take."""
    budget = _buffers.BufferBudget(budget_bytes)
    request = test_exchange.call()
    request.buffers = budget
    ours, theirs = socket.socketpair()
    with (
        test_exchange.target(test_exchange.answering(sent)) as address,
        ours,
        theirs,
    ):
        yield _exchange.send_request(
            _pool.Pool(address),
            request,
            request.headers,
            ours,
            platform.Protocol().read_answer,
        ), budget


LONG_BODY: typing.Final = b"x" * 8 * _exchange.SMALL_ANSWER_BYTES
LONG_ANSWER: typing.Final = test_exchange.OWN + b"\r\n" + LONG_BODY


# Guards against answers without end that fill a buffer for each request.
@pytest.mark.parametrize("divisor", [1, 2])
def test_answer_over_the_budget_of_all_buffers_is_forwarded_as_it_comes(
    divisor: int,
) -> None:
    budget_bytes = len(LONG_BODY) // divisor
    caller = Caller()
    with begun(LONG_ANSWER, budget_bytes) as (answer, budget):
        _exchange.forward_answer(
            answer,
            caller,  # type: ignore[arg-type]
            buffer_bytes=_exchange.MAX_READ_BYTES,
        )
    assert caller.finished and caller.bytes_sent == len(LONG_BODY)
    assert caller.streamed is (divisor > 1)
    assert budget.left_bytes == budget_bytes


def test_failure_over_the_budget_of_all_buffers_is_truncated() -> None:
    with begun(LONG_ANSWER, 0) as (answer, budget):
        with pytest.raises(errors.AnswerTruncated):
            answer.read()
        assert budget.left_bytes == 0


ENDLESS_DEPLOYMENT: typing.Final = mesh.Deployment(
    "four", "r", {"r": ["a"]}, {"glade": 4}
)
ENDLESS_FILE: typing.Final = """
team = "schools"
[service.glade]
slots = 60
queue_length = 64
open_to = ["*"]
[service.glade.kind.read]
weight = 2
idempotent = true
timeout_ms = 2000
[route.read]
path = "/read"
service = "glade"
kind = "read"
"""
MEMORY_MB: typing.Final = 200
"""The memory of the smallest instance."""

ENDLESS_CALLERS: typing.Final = 150
ENDLESS_S: typing.Final = 8.0
READ_S: typing.Final = 2.0


# Guards against a daemon that ends, with the requests of all its callers, as
# targets send bodies without end.
def test_endless_answers_leave_a_daemon_within_its_memory() -> None:
    options = f"[traffic]\nthreads = {2 * ENDLESS_CALLERS}\n"
    with mesh.Mesh(ENDLESS_DEPLOYMENT, options) as running_mesh:
        running_mesh.start()
        running_mesh.push_file("10-glade.toml", ENDLESS_FILE)
        running_mesh.wait_in_force(1)
        running_mesh.wait_serving()
        for name in running_mesh.instances:
            running_mesh.set_mode(name, target.Mode(fault="endless"))
        entry = running_mesh.instances["glade-1"].entry
        end_s = time.monotonic() + ENDLESS_S
        callers = [
            threading.Thread(target=_read_slowly, args=(entry, end_s))
            for _ in range(ENDLESS_CALLERS)
        ]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        for name in running_mesh.daemons():
            peak_mb = running_mesh.peak_memory_mb(name)
            assert peak_mb <= MEMORY_MB, name


def _read_slowly(entry: str, end_s: float) -> None:
    """Read answers a little at a time, each for a while."""
    host, _, port = entry.rpartition(":")
    while time.monotonic() < end_s:
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        with (
            contextlib.closing(connection),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request("GET", "/read")
            answer = connection.getresponse()
            close_s = time.monotonic() + READ_S
            while time.monotonic() < close_s and answer.read1(65_536):
                time.sleep(0.02)


def test_endless_trailers_abort_a_download() -> None:
    """Trailers aren't forwarded, so a disconnect couldn't end the read."""
    prefix = CHUNKED + b"30000\r\n" + b"x" * 0x30000 + b"\r\n0\r\n"
    peer = Endless(prefix, b"T: r\r\n" * 1_000, BURST)
    caller = Caller()
    with connected(peer) as (send, _):
        with pytest.raises(errors.AnswerTruncated):
            _exchange.forward_answer(send(), caller)  # type: ignore[arg-type]
        assert caller.begun and not caller.finished
        assert peer.closed.wait(1)


@pytest.mark.parametrize("size", [b"-5", b"+5", b"0x5", b"", b"4", b"6"])
def test_malformed_chunk_size_is_rejected(size: bytes) -> None:
    """A negative size read the connection to its end; a sign was ignored."""
    sent = CHUNKED + size + b"\r\nabcde\r\n0\r\n\r\n"
    serve = test_exchange.answering(sent)
    with test_exchange.target(serve) as address:
        with pytest.raises(errors.AnswerTruncated):
            test_exchange.ask(address, test_exchange.call())


def test_small_chunks_may_have_more_framing_than_data() -> None:
    """The limit on framing applies only to superfluous framing."""
    body = b"x" * 10_000
    sent = CHUNKED + b"1\r\nx\r\n" * len(body) + b"0\r\n\r\n"
    serve = test_exchange.answering(sent)
    with test_exchange.target(serve) as address:
        assert test_exchange.ask(address, test_exchange.call())[0] == body


def test_download_in_progress_continues_past_the_deadline() -> None:
    """The deadline applies only until a part of the answer is forwarded."""
    size = 3 * _exchange.SMALL_ANSWER_BYTES
    prefix = test_exchange.OWN + b"Content-Length: %d\r\n" % size
    # So that the connection isn't kept, which connected() checks.
    prefix += b"Connection: close\r\n\r\n"
    peer = Endless(prefix, b"x" * (size // 60), TRICKLE_S)
    caller = Caller()
    with connected(peer) as (send, _):
        started_s = time.monotonic()
        _exchange.forward_answer(send(), caller)  # type: ignore[arg-type]
        assert time.monotonic() - started_s > LEFT_S
    assert caller.finished and caller.bytes_sent == size


def test_large_answer_without_a_body_is_refused() -> None:
    """Its caller's connection was closed, and no other target was tried."""
    prefix = test_exchange.OWN + b"Content-Length: 9999999\r\n\r\n"
    peer = Endless(prefix, b"", TRICKLE_S)
    caller = Caller()
    with connected(peer) as (send, _):
        with pytest.raises(errors.AnswerTruncated):
            _exchange.forward_answer(send(), caller)  # type: ignore[arg-type]
        assert not caller.begun


@pytest.mark.parametrize("size", [1_000, 10_000_000])
def test_disconnected_caller_ends_a_trickling_answer(
    size: int,
) -> None:
    """The disconnect was detected only by the send after the peer's pause."""
    prefix = test_exchange.OWN + b"Content-Length: %d\r\n\r\nbegin" % size
    peer = Endless(prefix, b"", 10.0)
    caller = Caller()
    with connected(peer, left_s=3.0) as (send, far_end):
        threading.Timer(0.3, far_end.close).start()
        started_s = time.monotonic()
        with pytest.raises(errors.CallerDisconnected):
            _exchange.forward_answer(send(), caller)  # type: ignore[arg-type]
        assert time.monotonic() - started_s < 0.3 + TOLERANCE_S


def test_disconnected_caller_ends_a_trickling_head() -> None:
    """The caller's connection wasn't watched once a head had begun."""
    peer = Endless(test_exchange.OWN, LINE, 0.5)
    with connected(peer, left_s=3.0) as (send, far_end):
        threading.Timer(0.3, far_end.close).start()
        started_s = time.monotonic()
        with pytest.raises(errors.CallerDisconnected):
            send()
        assert time.monotonic() - started_s < 0.3 + TOLERANCE_S


def test_discarding_a_trickling_body_is_brief() -> None:
    """A trickling refusal blocked the request until its deadline."""
    prefix = test_exchange.OWN + b"Content-Length: 60000\r\n\r\n"
    peer = Endless(prefix, b"x", TRICKLE_S)
    with connected(peer) as (send, _):
        answer = send()
        started_s = time.monotonic()
        answer.discard()
        assert time.monotonic() - started_s < TOLERANCE_S
        assert peer.closed.wait(1)


BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"
ENDLESS_CALLS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header lines": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x"),
    "a length": (BODY, b"x"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "a chunk size": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0",
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"T: r\r\n",
    ),
    "zipped zeros": (
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n",
        gzip.compress(bytes(100_000_000), 9),
    ),
}


@pytest.mark.parametrize("pause_s", [TRICKLE_S, BURST])
@pytest.mark.parametrize("kind", list(ENDLESS_CALLS))
@pytest.mark.parametrize("peer_kind", ["store", "daemon", "explained"])
def test_client_call_with_an_endless_answer_fails_in_time(
    monkeypatch: pytest.MonkeyPatch,
    kind: str,
    pause_s: float,
    peer_kind: str,
) -> None:
    """Each read had a timeout, but not all together, nor did the size."""
    monkeypatch.setattr(http_calls, "ANSWER_TIMEOUT_S", LEFT_S)
    monkeypatch.setattr(http_calls, "MAX_ANSWER_BYTES", 1_000_000)
    prefix, unit = ENDLESS_CALLS[kind]
    peer = Endless(prefix, unit * (1 if pause_s else 1_000), pause_s)
    with test_exchange.target(peer) as address:
        started_s = time.monotonic()
        if peer_kind == "store":
            object_store = platform.ObjectStore(address, 0.3)
            with pytest.raises(errors.StoreUnavailable):
                object_store.get(store.Kind.MEMBERS, "a")
        elif peer_kind == "explained":
            monkeypatch.setattr(_daemon_page, "TIMEOUT_S", 0.3)
            with pytest.raises(errors.PeerUnavailable):
                _explain.ask_daemon(address, traffic.Question("/"))
        else:
            peers = _peer.Peers(1, 0.3)
            with pytest.raises(errors.PeerUnavailable):
                peers.post(address, "/", b"", 0.3)
        assert time.monotonic() - started_s < LEFT_S + 2 * TOLERANCE_S
        assert peer.closed.wait(1)


SMALLEST_INSTANCE_MB: typing.Final = 200
"""The memory of the smallest instances, of which a daemon may take half for
the answers of the store."""


# Guards against a daemon that runs out of memory while the store's answers
# have no end.
@pytest.mark.parametrize("kind", ["a length", "no length", "chunks"])
def test_endless_answers_of_the_store_take_little_memory(kind: str) -> None:
    chunk = b"100000\r\n" + b" " * 2**20 + b"\r\n"
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    prefix, unit = (
        (chunked, chunk) if kind == "chunks" else ENDLESS_CALLS[kind]
    )
    members = store.Kind.MEMBERS
    calls: tuple[
        collections.abc.Callable[[platform.ObjectStore], object], ...
    ] = (
        lambda client: client.get(members, "a"),
        lambda client: client.list(members),
        lambda client: list(client.watch(members, store.Revision(0, 1), 1.0)),
    )

    def fail(call: typing.Any) -> None:
        peer = Endless(prefix, unit if len(unit) > 1 else unit * 2**20, BURST)
        with test_exchange.target(peer) as address:
            with pytest.raises(errors.StoreUnavailable):
                call(platform.ObjectStore(address, 1.0))
            assert peer.closed.wait(1)

    tracemalloc.start()
    try:
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            list(pool.map(fail, calls))
        peak_mb = tracemalloc.get_traced_memory()[1] / 2**20
    finally:
        tracemalloc.stop()
    assert peak_mb < SMALLEST_INSTANCE_MB / 2


# Guards against a MemoryError, which ends the thread until it is restarted, as
# memory is allocated for the whole length that an answer states.
@pytest.mark.parametrize("digits", [10, 15, 18])
def test_answer_that_states_an_impossible_length_is_refused(
    digits: int,
) -> None:
    length = b"9" * digits
    prefix = b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % length
    peer = Endless(prefix, b"x", TRICKLE_S)
    with test_exchange.target(peer) as address:
        with pytest.raises(errors.StoreUnavailable):
            platform.ObjectStore(address, 0.3).get(store.Kind.MEMBERS, "a")
        assert peer.closed.wait(1)


def test_slow_answer_is_read_while_data_arrives() -> None:
    """A nearly full link delays an answer beyond the first timeout."""
    prefix = BODY.replace(b"999999999", b"50")
    peer = Endless(prefix, b"x", TRICKLE_S)
    with test_exchange.target(peer) as address:
        peers = _peer.Peers(1, 0.3)
        assert peers.post(address, "/", b"", 0.3) == b"x" * 50


class _Flood:
    """An endless request stream that counts the bytes read from it."""

    def __init__(self, prefix: bytes, unit: bytes) -> None:
        self._prefix = prefix
        self._unit = unit
        self.taken_bytes = 0

    def read(self, size: int) -> bytes:
        """Return the given number of bytes."""
        data = self._prefix[:size]
        self._prefix = self._prefix[len(data) :]
        while len(data) < size:
            data += self._unit * (1 + size // len(self._unit))
        self.taken_bytes += size
        return data[:size]

    def readline(self, size: int = 1 << 24) -> bytes:
        """Return a line, or the given number of bytes if it is longer."""
        line = b""
        while not line.endswith(b"\n") and len(line) < size:
            line += self.read(1)
        return line


@pytest.mark.parametrize(
    ("prefix", "unit", "served"),
    [
        (b"fffffff\r\n", b"x", True),
        (b"", b"0", False),
        (b"3;x=", b"x", False),
        (b"-1\r\n", b"x", False),
        (b"", b"1;" + b"x" * 1_000 + b"\r\nx\r\n", False),
    ],
)
def test_chunked_request_body_is_read_incrementally(
    prefix: bytes, unit: bytes, served: bool
) -> None:
    """A chunk was buffered whole, whatever size it declared."""
    flood = _Flood(prefix, unit)
    body = _framing.ChunkedBody(flood)
    if served:
        assert body.read(1_000) == unit * 1_000
    else:
        with pytest.raises(ValueError):
            body.read(1_000)
    assert flood.taken_bytes <= 2 * serving.MAX_FRAMING_BYTES


class _BodyReadingHandler(serving.Handler):
    """Reads the body of a request, or refuses it without reading."""

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path == "/refused":
            raise errors.NoRoute("there is none")
        request.answer(200, (), request.read_body(1_000_000))


@pytest.fixture(name="reading")
def reading_server() -> collections.abc.Iterator[str]:
    """Yield the address of a server that reads bodies."""
    address = _PORTS.take()
    server = serving.Server(address, _BodyReadingHandler(), 4)
    server.open()
    yield address
    server.stop()


LENGTH = b"Content-Length: 900000\r\n\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"


def _trickle(address: str, path: bytes, prefix: bytes, unit: bytes) -> bytes:
    """Send a request that never ends, and return the start of its answer.

    Checks that the answer comes in time.
    """
    host, _, port = address.rpartition(":")
    head = b"POST %b HTTP/1.1\r\nHost: h\r\n" % path
    started_s = time.monotonic()
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(head + prefix)
        while time.monotonic() - started_s < SEND_TIMEOUT_S:
            sock.sendall(unit)
            if select.select([sock], [], [], TRICKLE_S)[0]:
                break
        received = sock.recv(65_536)
    assert time.monotonic() - started_s < LEFT_S + TOLERANCE_S
    return received.removeprefix(b"HTTP/1.1 ")


@pytest.mark.parametrize(
    ("path", "prefix", "unit", "status"),
    [
        (b"/", LENGTH, b"x", b"408"),
        (b"/", IN_CHUNKS, b"1\r\nx\r\n", b"408"),
        (b"/", IN_CHUNKS, b"0", b"408"),
        (b"/refused", LENGTH, b"x", b"404"),
        (b"/refused", IN_CHUNKS, b"1\r\nx\r\n", b"404"),
    ],
)
def test_trickling_request_body_does_not_block_a_worker(
    monkeypatch: pytest.MonkeyPatch,
    reading: str,
    path: bytes,
    prefix: bytes,
    unit: bytes,
    status: bytes,
) -> None:
    """Heartbeats, control messages and refused requests had no timeout."""
    monkeypatch.setattr(_request, "BODY_S", LEFT_S, raising=False)
    assert _trickle(reading, path, prefix, unit).startswith(status)


class _EndlessRequest:
    """A received request whose body never ends."""

    content_length = None
    awaits_continue = False

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the body."""
        end_s = time.monotonic() + SEND_TIMEOUT_S
        while time.monotonic() < end_s:
            yield b"x" * 10_000
            time.sleep(TRICKLE_S)


def test_endless_request_body_is_forwarded_until_the_deadline() -> None:
    """A target that reads all of it blocked the worker thread forever."""

    def serve(sock: socket.socket) -> None:
        while sock.recv(65_536):
            """The target reads everything and never answers."""

    request = test_exchange.call(left_s=LEFT_S)
    source = typing.cast(serving.Request, _EndlessRequest())
    request.body = _call.Body(source)
    with test_exchange.target(serve) as address:
        started_s = time.monotonic()
        with pytest.raises(errors.AnswerTimeout):
            test_exchange.ask(address, request)
        assert time.monotonic() - started_s < LEFT_S + TOLERANCE_S


def _standalone_entry() -> serving.Handler:
    """Return an entry with one route."""
    kind = config.Kind(1, True, int(LEFT_S * 1000))
    service = config.Service("glade", "t", 0, 10, 10, ("*",), {"k": kind})
    route = config.Route("r", "t", "/", ("*",), "glade", "k")
    items = dict([config.route_item(route), config.service_item(service)])
    changed = threading.Condition()
    applied = control.Applied(changed, confirmed_only=False)
    applied.offer(1, config.digest(items), items)
    return _entry.Entry(
        fakes.options(),
        applied,
        membership.View(changed),
        typing.cast(_guard.Guard, None),
        metrics.Recorder(),
        wire.Native(),
    )


def _standalone_guard() -> serving.Handler:
    """Return a guard whose target is unknown."""
    return _guard.Guard(
        fakes.options(),
        control.Applied(threading.Condition(), confirmed_only=False),
        typing.cast(_claims.Claims, None),
        metrics.Recorder(),
        wire.Native(),
        presence.LocalTarget("127.0.0.1:4"),
    )


@pytest.mark.parametrize("prefix", [LENGTH, IN_CHUNKS + b"fffff\r\n"])
@pytest.mark.parametrize("make", [_standalone_entry, _standalone_guard])
def test_trickling_request_is_refused_at_its_deadline(
    make: collections.abc.Callable[[], serving.Handler], prefix: bytes
) -> None:
    """Each read stayed within its timeout, so a worker was blocked forever.

    Larger bodies are read once a target has admitted their requests, see
    ``test_uploads``.
    """
    prefix = prefix.replace(b"900000", b"16000")
    terms = (
        f"{_call.SERVICE}: glade\r\n{_call.KIND}: k 1 1 900 0 1\r\n"
        f"{_call.TIMEOUT_MS}: {int(LEFT_S * 1000)}\r\n"
    )
    address = _PORTS.take()
    server = serving.Server(address, make(), 4)
    server.open()
    try:
        sent = terms.encode() + prefix
        assert _trickle(address, b"/", sent, b"x").startswith(b"408")
    finally:
        server.stop()


PAGE = b'{"items":[{"metadata":{"name":"a","revision":1}}],"has_more":true,'


@pytest.mark.parametrize("named", [b"a", b"%d"])
def test_list_with_endless_pages_fails(
    monkeypatch: pytest.MonkeyPatch, named: bytes
) -> None:
    """The client requested pages forever while each said there are more."""
    monkeypatch.setattr(platform._objects, "MAX_LIST_BYTES", 10_000)
    numbers = itertools.count()
    calls: list[bytes] = []

    def serve(sock: socket.socket) -> None:
        while len(calls) < 1_000 and sock.recv(65_536):
            name = named % next(numbers) if b"%" in named else named
            body = PAGE.replace(b'"a"', b'"%b"' % name) + b'"as_of":1}'
            calls.append(name)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            sock.sendall(head % len(body) + body)

    with test_exchange.target(serve) as address:
        object_store = platform.ObjectStore(address, 0.3)
        with pytest.raises(errors.StoreUnavailable):
            object_store.list(store.Kind.MEMBERS)
        object_store._client._http_client._pools.clear()
    assert len(calls) < 300


def test_endless_watch_event_fails() -> None:
    """The event was buffered whole, and parsed again with each part."""
    prefix = b"HTTP/1.1 200 OK\r\n\r\n"
    peer = Endless(prefix, b"x" * 1_000_000, BURST)
    with test_exchange.target(peer) as address:
        watch = store.HttpStore(address).watch(
            store.Kind.MEMBERS, store.Revision(0, 1), 1.0
        )
        with pytest.raises(errors.StoreUnavailable):
            next(watch)
        assert peer.closed.wait(1)
    assert peer.sent_bytes < 16_000_000
