"""Tests of the HTTP server: framing, limits, refusals, idle connections."""

from __future__ import annotations

import collections.abc
import contextlib
import http.client
import select
import socket
import threading
import time
import typing

import msgspec
import pytest

from chiveroad import errors
from chiveroad import serving
from chiveroad.serving import _closer
from chiveroad.serving import _http
from chiveroad.serving import _stream
from chiveroad.traffic import _pool
from standins import mesh

_PORTS = mesh.Ports()
_REAL_POLL = select.poll

HOST: typing.Final = b"Host: x\r\n"


class Echo(serving.Handler):
    """Answers with the received headers and body; some paths fail."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.release = threading.Event()

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path == "/refuse":
            raise errors.Overloaded("full", 1_200)
        if request.path == "/fail":
            raise RuntimeError("a defect")
        if request.path == "/slow":
            self.entered.set()
            self.release.wait(10)
        if request.path == "/cut":
            request.start(200, [("Content-Length", "100")])
            request.send(b"half")
            request.abort()
            return
        body = request.read_body(1_000)
        received = {name: value for name, value in request.headers()}
        received["body"] = body.decode("latin-1")
        request.answer(200, [], msgspec.json.encode(received))


@pytest.fixture
def echo() -> collections.abc.Iterator[tuple[str, Echo, serving.Server]]:
    """Yield the address of a running server, its handler and the server."""
    handler = Echo()
    address = _PORTS.take()
    server = serving.Server(address, handler, threads=8)
    server.open()
    yield address, handler, server
    handler.release.set()
    server.stop()


def exchange(address: str, sent: bytes) -> bytes:
    """Send raw bytes, and return all bytes until the connection closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(sent)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while data := sock.recv(65_536):
            received += data
        return received


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 1\r\nContent-Length: 2\r\n", 400),
        (b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Transfer-Encoding: chunked, chunked\r\n", 400),
        (b"Transfer-Encoding: gzip\r\n", 501),
        (b"Transfer-Encoding : chunked\r\n", 400),
        (b"Transfer-Encoding:\x0bchunked\r\n", 400),
        (b"Content-Length: +1\r\n", 400),
        (b"Content-Length: 0x1\r\n", 400),
        (b"Content-Length: 1_0\r\n", 400),
        (b"Content-Length: -1\r\n", 400),
        (b"X-A: 1\r\n folded: 2\r\n", 400),
        (b"X A: 1\r\n", 400),
        (b": 1\r\n", 400),
        (b"no colon\r\n", 400),
        (b"Host: y\r\n", 400),
        (b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n", 400),
        (b"X-A: 1\n", 400),
        (b"X-A: 1\rTransfer-Encoding: chunked\r\n", 400),
        (b"X-A: 1\x00\r\n", 400),
        (b"X-Long: " + b"a" * 40_000 + b"\r\n", 431),
    ],
)
def test_ambiguous_framing_is_refused_with_a_code(
    echo: tuple[str, Echo, serving.Server], head: bytes, status: int
) -> None:
    sent = b"POST / HTTP/1.1\r\n" + HOST + head + b"\r\nGET /smuggled"
    received = exchange(echo[0], sent)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert received.count(b"HTTP/1.1") == 1
    code = b"4013" if status == 431 else b"4008"
    assert b"Chiveroad-Code: " + code in received
    assert b"Chiveroad-Ran: no" in received


@pytest.mark.parametrize(
    ("line", "status"),
    [
        (b"GET /" + b"a" * 40_000 + b" HTTP/1.1", 414),
        (b"get / HTTP/1.1", 400),
        (b"GET http://x/ HTTP/1.1", 400),
        (b"GET / HTTP/2.0", 505),
        (b"nonsense", 400),
        # A method that is no token was served, and would be forwarded.
        (b"\0GET / HTTP/1.1", 400),
        (b"G\x7fT / HTTP/1.1", 400),
        (b"G@T / HTTP/1.1", 400),
    ],
)
def test_malformed_request_line_is_refused_with_a_code(
    echo: tuple[str, Echo, serving.Server], line: bytes, status: int
) -> None:
    received = exchange(echo[0], line + b"\r\n" + HOST + b"\r\n")
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert b"Chiveroad-Code: 400" in received


def test_repeated_headers_are_joined_and_trailers_are_not_parsed_as_requests(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    received = exchange(
        echo[0],
        b"POST / HTTP/1.1\r\n" + HOST + b"X-A: 1\r\nX-A: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhi\r\n0\r\nX-Trailer: GET /smuggled\r\n\r\n"
        b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
    )
    assert received.count(b"HTTP/1.1 200") == 1
    assert b'"X-A":"1, 2"' in received
    assert b'"body":"hi"' in received
    assert b"Connection: close" in received


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 10\r\n\r\nfive!",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nfi",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_truncated_body_is_refused(
    echo: tuple[str, Echo, serving.Server], body: bytes
) -> None:
    received = exchange(echo[0], b"POST / HTTP/1.1\r\n" + HOST + body)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"Chiveroad-Ran: no" in received


def test_pipelined_requests_are_answered_in_order(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    one = b"GET /%d HTTP/1.1\r\nHost: x\r\nX-N: %d\r\n\r\n"
    sent = b"".join(one % (n, n) for n in range(3))
    received = exchange(echo[0], sent)
    positions = [received.index(b'"X-N":"%d"' % n) for n in range(3)]
    assert positions == sorted(positions)


def test_refusal_states_when_to_retry(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    received = exchange(echo[0], b"GET /refuse HTTP/1.1\r\nHost: x\r\n\r\n")
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"503 Service Unavailable" in head
    assert b"Retry-After: 2" in head
    answer = msgspec.json.decode(body)
    assert (answer["code"], answer["ran"]) == (4004, "no")
    assert answer["retry_after_ms"] == 1_200


def test_failed_handler_is_answered_with_unknown_outcome(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    received = exchange(echo[0], b"GET /fail HTTP/1.1\r\nHost: x\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"Chiveroad-Ran: unknown" in received


def test_refusal_reaches_caller_whose_body_was_not_read(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    client = http.client.HTTPConnection(echo[0], timeout=5)
    client.request("POST", "/refuse", b"x" * 500_000)
    response = client.getresponse()
    assert response.status == 503
    assert response.read()


def test_aborted_answer_is_truncated_for_the_caller(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    client = http.client.HTTPConnection(echo[0], timeout=5)
    client.request("GET", "/cut")
    with pytest.raises(http.client.IncompleteRead):
        client.getresponse().read()


def test_drain_waits_for_running_requests_and_closes_connections(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    address, handler, server = echo
    client = http.client.HTTPConnection(address, timeout=5)
    client.request("GET", "/slow")
    assert handler.entered.wait(5)
    running: list[int] = []
    drain = threading.Thread(target=lambda: running.append(server.drain(10)))
    drain.start()
    time.sleep(0.1)
    assert drain.is_alive()
    handler.release.set()
    response = client.getresponse()
    assert response.read()
    assert response.getheader("Connection") == "close"
    drain.join()
    assert running == [0]


def slow_callers(address: str, count: int) -> list[http.client.HTTPConnection]:
    """Open connections one after the other, each waiting for an answer."""
    clients = []
    for _ in range(count):
        client = http.client.HTTPConnection(address, timeout=5)
        client.request("GET", "/slow")
        clients.append(client)
        time.sleep(0.01)
    return clients


def test_requests_beyond_workers_and_queue_are_refused_immediately(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    address, handler, server = echo
    clients = slow_callers(address, 2 * server.requests.min + 4)
    refused = [c.getresponse() for c in clients[2 * server.requests.min :]]
    handler.release.set()
    served = [c.getresponse() for c in clients[: 2 * server.requests.min]]
    assert {response.status for response in served} == {200}
    assert {response.status for response in refused} == {503}
    for response in refused:
        assert response.getheader("Chiveroad-Ran") == "no"
        assert response.getheader("Retry-After") == "1"


@contextlib.contextmanager
def full(
    echo: tuple[str, Echo, serving.Server],
) -> collections.abc.Iterator[None]:
    """Keep all workers busy, and the queue of connections full."""
    address, handler, server = echo
    clients = slow_callers(address, 2 * server.requests.min)
    yield
    handler.release.set()
    assert {client.getresponse().status for client in clients} == {200}


def test_full_server_refuses_request_that_arrives_after_accept(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    """A full server accepts a connection before the request has arrived.

    The request that arrives later must be answered with a refusal; the
    connection must not be closed without an answer.
    """
    with full(echo):
        client = http.client.HTTPConnection(echo[0], timeout=5)
        client.connect()
        time.sleep(0.2)
        client.request("GET", "/late")
        assert client.getresponse().status == 503


def test_connection_accepted_while_full_is_served_once_workers_are_free(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    with full(echo):
        client = http.client.HTTPConnection(echo[0], timeout=5)
        client.connect()
        time.sleep(0.2)
    client.request("GET", "/late")
    assert client.getresponse().status == 200


def test_drain_waits_for_first_request_of_new_connection(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    """A planned stop closes idle connections, but not a new connection.

    The first request of the new connection may arrive a little later.
    """
    with full(echo):
        client = http.client.HTTPConnection(echo[0], timeout=5)
        client.connect()
        drain = threading.Thread(target=echo[2].drain, args=(3, 0.0))
        drain.start()
        time.sleep(0.8)
        client.request("GET", "/late")
        assert client.getresponse().status == 503
    drain.join()


def answer_while_sending(address: str, head: bytes, chunk: bytes) -> bytes:
    """Send a head and then many chunks, and return the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(head)
        time.sleep(0.2)
        for _ in range(40):
            sock.sendall(chunk)
            time.sleep(0.005)
        return sock.recv(65_536)


def test_refused_caller_that_is_still_sending_receives_the_refusal(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    """A connection reset would discard the refusal.

    The caller then couldn't know that its request was not executed.
    """
    head = b"POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n"
    with full(echo):
        answer = answer_while_sending(echo[0], head, b"a" * 10_000)
    assert answer.startswith(b"HTTP/1.1 503 ")


class ClosingConnection:
    """A connection on which the last answer has been sent."""

    def __init__(self) -> None:
        self.socket, self.peer = socket.socketpair()
        self.closed = threading.Event()

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
        self.closed.set()


def test_closing_a_connection_twice_keeps_no_other_connection_open() -> None:
    closer = _closer.Closer()
    closed_twice = ClosingConnection()
    closer.close(closed_twice)
    time.sleep(2 * _closer.POLL_INTERVAL_S)
    closed_twice.socket.close()
    # The second connection gets the descriptor of the first.
    other = ClosingConnection()
    closer.close(other)
    other.peer.close()
    assert other.closed.wait(5)
    assert closed_twice.closed.wait(5)
    closed_twice.peer.close()


@pytest.mark.parametrize(
    ("path", "head", "chunk", "status"),
    [
        (b"/", b"Content-Length: 30000000", b"a" * 100_000, 413),
        (b"/", b"X A: 1", b"a" * 100_000, 400),
        (
            b"/refuse",
            b"Transfer-Encoding: chunked",
            b"%x\r\n" % 100_000 + b"a" * 100_000 + b"\r\n",
            503,
        ),
        (
            b"/refuse",
            b"Connection: close\r\nContent-Length: 4000000",
            b"a" * 100_000,
            503,
        ),
    ],
)
def test_refusal_is_received_while_the_body_is_being_sent(
    echo: tuple[str, Echo, serving.Server],
    path: bytes,
    head: bytes,
    chunk: bytes,
    status: int,
) -> None:
    """The refusal arrives, no matter why the server stopped reading.

    The cause may be the body, its framing, or the head.
    """
    sent = b"POST " + path + b" HTTP/1.1\r\n" + HOST + head + b"\r\n\r\n"
    answer = answer_while_sending(echo[0], sent, chunk)
    assert answer.startswith(b"HTTP/1.1 %d " % status)


@pytest.mark.parametrize(
    ("sent", "closed", "disconnected"),
    [(b"", False, False), (b"more", False, False), (b"", True, True)],
)
def test_only_a_closed_connection_is_disconnected(
    sent: bytes, closed: bool, disconnected: bool
) -> None:
    ours, theirs = socket.socketpair()
    ours.settimeout(5)
    theirs.sendall(sent)
    if closed:
        theirs.close()
    started_s = time.monotonic()
    assert serving.is_disconnected(ours) is disconnected
    assert time.monotonic() - started_s < 4
    theirs.close()
    ours.close()


@pytest.mark.parametrize("request_sent", [False, True])
def test_expiry_keeps_idle_connection_with_arrived_request(
    request_sent: bool,
) -> None:
    """A request that arrives while its idle connection expires is not reset.

    Closing the connection over the unread request would reset it.
    """
    address = _PORTS.take()
    server = serving.Server(address, Echo(), threads=1)
    server.prepare()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as client:
        idle = server._connections._from_server_socket(server.socket)
        server._connections.put(idle)
        if request_sent:
            client.sendall(b"GET / HTTP/1.1\r\n")
            assert _stream.readable(idle.socket, 5_000)
        time.sleep(0.01)
        server.timeout = 0
        server._connections._expire(time.time() - server.timeout)
        assert (idle.socket.fileno() >= 0) is request_sent
        assert server._connections._num_connections == int(request_sent)
    server.stop()


@pytest.mark.parametrize(
    ("step_s", "idle_s", "expected_open"),
    [(60.0, 0.0, True), (-60.0, 0.0, True), (-60.0, 60.0, False)],
)
def test_wall_clock_steps_do_not_change_idle_times(
    monkeypatch: pytest.MonkeyPatch,
    step_s: float,
    idle_s: float,
    expected_open: bool,
) -> None:
    """A step of the wall clock doesn't change which connections expire.

    With idle times on the wall clock, a step expired all idle connections or
    none.
    """
    address = _PORTS.take()
    server = serving.Server(address, Echo(), threads=1)
    server.prepare()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5):
        idle = server._connections._from_server_socket(server.socket)
        server._connections.put(idle)
        with monkeypatch.context() as clocks:
            real_time, real_monotonic = time.time, time.monotonic
            clocks.setattr(time, "time", lambda: real_time() + step_s)
            clocks.setattr(
                time, "monotonic", lambda: real_monotonic() + idle_s
            )
            server._connections._expire(time.time() - server.timeout)
        assert server._connections._num_connections == int(expected_open)
    server.stop()


# Guards against idle connections that are closed sooner than the accepted
# configuration lets callers reuse them.
@pytest.mark.parametrize(
    ("stated_s", "idle_s", "expected_open"),
    [
        (0.0, 9.0, True),
        (0.0, 11.0, False),
        (60.0, 48.0, True),
        (60.0, 61.0, False),
        (5.0, 9.0, True),
    ],
)
def test_idle_connection_is_kept_as_long_as_the_configuration_states(
    monkeypatch: pytest.MonkeyPatch,
    stated_s: float,
    idle_s: float,
    expected_open: bool,
) -> None:
    address = _PORTS.take()
    server = serving.Server(address, Echo(), threads=1)
    server.prepare()
    server.keep_idle(stated_s)
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5):
        idle = server._connections._from_server_socket(server.socket)
        server._connections.put(idle)
        with monkeypatch.context() as clocks:
            real_monotonic = time.monotonic
            clocks.setattr(
                time, "monotonic", lambda: real_monotonic() + idle_s
            )
            server._connections._expire(time.time() - server.timeout)
        assert server._connections._num_connections == int(expected_open)
    server.stop()


class _LatePoll:
    """A poll that times out, but bytes arrive before the thread runs again."""

    peer: socket.socket

    def __init__(self) -> None:
        self._poll = _REAL_POLL()

    def register(self, sock: socket.socket, events: int) -> None:
        """Register a socket."""
        self._poll.register(sock, events)

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        """Return ready sockets without a wait; report a timeout otherwise."""
        if not timeout_ms:
            return self._poll.poll(0)
        self.peer.sendall(b"here")
        return []


@pytest.mark.parametrize("has_deadline", [False, True])
def test_bytes_that_arrive_before_a_late_thread_runs_are_read(
    monkeypatch: pytest.MonkeyPatch, has_deadline: bool
) -> None:
    """Bytes that arrive before a timed-out thread is scheduled are read.

    Without a last check, requests and answers that had arrived were truncated
    with "the peer is too slow".
    """
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(5)
        _LatePoll.peer = theirs
        monkeypatch.setattr(select, "poll", _LatePoll)
        reader = _stream.Reader(ours)
        if has_deadline:
            reader.set_deadline(time.monotonic() + 5)
        assert reader.read(4) == b"here"


def test_pool_retires_idle_connections_before_the_server_closes_them() -> None:
    assert _pool.RETIRE_IDLE_S * 2 <= serving.IDLE_TIMEOUT_S


@pytest.mark.parametrize(
    ("losses", "now_s", "limit_s"),
    [
        ([], 0.0, _pool.RETIRE_IDLE_S),
        ([(0.0, 2.0)], 0.0, 0.5),
        ([(0.0, 2.0), (1.0, 0.5)], 1.0, _pool.MIN_IDLE_S),
        ([(0.0, 0.2)], 0.0, _pool.RETIRE_IDLE_S),
        ([(0.0, 0.4), (0.0, 3.0)], 0.0, _pool.MIN_IDLE_S),
        ([(0.0, 2.0)], _pool.DOUBLE_LIMIT_AFTER_S, 1.0),
        ([(0.0, 2.0)], 3_600.0, _pool.RETIRE_IDLE_S),
    ],
)
def test_idle_limit_adapts_to_lost_connections(
    losses: list[tuple[float, float]], now_s: float, limit_s: float
) -> None:
    limit = _pool.IdleLimit()
    for at_s, idle_s in losses:
        limit.connection_lost(idle_s, at_s)
    assert limit.limit_s(now_s) == limit_s


def test_pool_drops_idle_connections_that_expired_or_have_unexpected_data(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    pool = _pool.Pool(echo[0])
    old = pool.acquire()
    pool.release(old)
    assert pool.acquire() is old
    pool.release(old)
    old.idle_since_s -= _pool.RETIRE_IDLE_S + 1
    started_s = time.monotonic()
    assert pool.acquire() is not old
    assert time.monotonic() - started_s < 0.5 * _pool.CONNECT_TIMEOUT_S
    assert pool.trusted
    talking = pool.acquire()
    assert talking.sock is not None
    talking.sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    pool.release(talking)
    time.sleep(0.2)
    assert pool.acquire() is not talking


def test_head_that_arrives_byte_by_byte_times_out(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    echo[2].limit_heads(1_000, 0.5)
    host, _, port = echo[0].rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        started_s = time.monotonic()
        with pytest.raises(OSError):
            for byte in b"GET / HTTP/1.1\r\nHost: " + b"x" * 100:
                sock.sendall(bytes([byte]))
                time.sleep(0.05)
                if time.monotonic() - started_s > 1:
                    # Read the answer until the connection closes.
                    while sock.recv(1_000):
                        pass
                    raise ConnectionResetError
        assert time.monotonic() - started_s < 3


def test_head_over_the_configured_limit_is_refused(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    echo[2].limit_heads(1_000, 0.5)
    sent = b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 2_000 + b"\r\n\r\n"
    assert exchange(echo[0], sent).startswith(b"HTTP/1.1 431 ")


def test_head_timeout_does_not_apply_to_the_body(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    echo[2].limit_heads(1_000, 0.3)
    host, _, port = echo[0].rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\n" + HOST)
        sock.sendall(b"Content-Length: 2\r\n\r\na")
        time.sleep(0.6)
        sock.sendall(b"b")
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_folded_first_header_line_is_refused(
    echo: tuple[str, Echo, serving.Server],
) -> None:
    received = exchange(echo[0], b"GET / HTTP/1.1\r\n folded\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"Chiveroad-Code: 4008" in received


@pytest.mark.parametrize(
    ("pauses_ms", "busy"),
    [
        ([], False),
        ([500.0], False),
        ([5.0], True),
        ([5.0, 500.0], False),
        ([500.0, 5.0], True),
    ],
)
def test_worker_waits_only_for_connections_with_short_pauses(
    pauses_ms: list[float], busy: bool
) -> None:
    """Waiting on slow callers would wake the workers for nothing."""
    pauses = _http.PauseTracker()
    now_s = 1.0
    pauses.request_arrived(now_s)
    pauses.request_answered(now_s)
    for pause_ms in pauses_ms:
        now_s += pause_ms / 1000
        pauses.request_arrived(now_s)
        pauses.request_answered(now_s)
    assert pauses.busy is busy
