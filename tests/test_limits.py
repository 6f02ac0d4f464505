"""The decisions on what clients may hold, without processes or sockets."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import queue
import socket
import threading
import time
import typing
from unittest import mock

import hypothesis
from hypothesis import strategies as st
import pytest

from chiveroad import errors
from chiveroad import limits
from chiveroad import serving
from chiveroad.serving import _arrival
from chiveroad.serving import _client_waits
from chiveroad.serving import _closer
from chiveroad import settings
from standins import mesh

_PORTS = mesh.Ports()
GET: typing.Final = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


# Guards against requests that hold a thread although their end is known, and
# against waiting for bytes that only come after an answer.
@pytest.mark.parametrize(
    ("head", "rest", "expected"),
    [
        (b"", b"", 0),
        (GET[:-1], b"", 0),
        (GET, b"", len(GET)),
        (GET, GET, len(GET)),
        (b"content-LENGTH: 3", b"", 3),
        (b"Content-Length:3", b"abc", 3),
        (b"Content-Length: 65536", b"", 65_536),
        (b"Content-Length: 65537", b"", limits.LATER),
        (b"Content-Length: %d" % 10**17, b"", limits.LATER),
        (b"Transfer-Encoding: chunked", b"", limits.LATER),
        (b"Expect: 100-continue\r\nContent-Length: 3", b"", limits.LATER),
        # The parser refuses these; nothing more is awaited.
        (b"Content-Length: -3", b"", 0),
        (b"Content-Length: 3 4", b"", 0),
        (b"X: Content-Length: 9", b"", 0),
    ],
)
def test_size_of_a_request_is_known_from_its_head(
    head: bytes, rest: bytes, expected: int
) -> None:
    if head and not head.startswith(b"GET"):
        head = b"POST / HTTP/1.1\r\n" + head + b"\r\n\r\n"
        expected += len(head) if expected != limits.LATER else 0
    assert limits.bytes_expected(head + rest) == expected


@hypothesis.given(st.binary(max_size=200), st.integers(0, 80))
def test_size_of_a_request_is_never_less_than_its_head(
    data: bytes, split: int
) -> None:
    """A size below the head's would process a head that isn't complete."""
    data = data[:split] + b"\r\n\r\n" + data[split:]
    expected = limits.bytes_expected(data)
    assert expected == limits.LATER or expected >= data.index(b"\r\n\r\n") + 4


class _Model:
    """The queue and a model of the workers that take from it."""

    def __init__(self, size: int, max_waiting: int) -> None:
        self.queue = limits.ClassQueue(size, max_waiting)
        self.size = size
        self.max_waiting = max_waiting
        self.queued: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()

    def put(self, kind: str) -> None:
        """Queue a request of a class."""
        try:
            if kind == "arrived":
                self.queue.put(kind, True, 0.0)
            else:
                self.queue.put_waiting(kind)
        except queue.Full:
            assert self.queued.total() >= self.size
            return
        self.queued[kind] += 1

    def take(self) -> None:
        """Let a worker take a request if one is due."""
        may_wait = self.running["waiting"] < self.max_waiting
        if not self.queued["arrived"] and not (
            self.queued["waiting"] and may_wait
        ):
            assert not self.queue.qsize()
            return
        kind = self.queue.get()
        assert kind == "arrived" or not self.queued["arrived"]
        self.queued[kind] -= 1
        self.running[kind] += 1
        assert self.running["waiting"] <= self.max_waiting

    def end(self) -> None:
        """End a request that may wait."""
        if self.running["waiting"]:
            self.running["waiting"] -= 1
            self.queue.end_waiting()


@hypothesis.given(
    st.integers(1, 4),
    st.integers(1, 3),
    st.lists(st.sampled_from(("arrived", "waiting", "take", "end"))),
)
def test_requests_that_may_wait_never_hold_all_threads(
    size: int, max_waiting: int, steps: list[str]
) -> None:
    """Bodies that stopped short of their end held every thread."""
    model = _Model(size, max_waiting)
    for step in steps:
        if step == "take":
            model.take()
        elif step == "end":
            model.end()
        else:
            model.put(step)
        assert model.queue.queued() == model.queued.total()


def test_free_threads_are_no_shortage() -> None:
    """Clients on slow links lost their requests while threads were idle."""
    waiting = limits.ClassQueue(8, 1)
    waiting.put_waiting("a")
    assert waiting.shortage(idle_threads=1) == 0
    assert waiting.shortage(idle_threads=0) == 1
    waiting.get()
    waiting.put_waiting("b")
    assert waiting.shortage(idle_threads=1) == 1


@hypothesis.given(
    st.lists(st.floats(0.0, 10.0), max_size=12), st.integers(0, 12)
)
def test_no_wait_below_the_minimum_is_ended(
    since_s: list[float], count: int
) -> None:
    """A client within the minimum time lost its request to older ones."""
    waits: limits.Waits[int] = limits.Waits()
    for key, since in enumerate(since_s):
        waits.begin(key, since)
    taken = waits.take_longest(count, 4.0, 10.0)
    assert len(taken) == min(count, sum(10.0 - s >= 4.0 for s in since_s))
    left = [s for key, s in enumerate(since_s) if key not in taken]
    for key in taken:
        assert all(since_s[key] <= s for s in left)


@hypothesis.given(st.lists(st.integers(0, 50), max_size=20))
def test_budget_is_never_exceeded_and_always_returned(
    sizes: list[int],
) -> None:
    """Reservations that leak would end in refusing every message."""
    budget = limits.ByteBudget(100)
    with limits.Reservation(budget) as first:
        with limits.Reservation(budget) as second:
            for index, size in enumerate(sizes):
                before = budget.left_bytes
                grown = (first, second)[index % 2].grow(size)
                assert grown is (size <= before)
                assert budget.left_bytes >= 0
    assert budget.left_bytes == 100


def test_gate_admits_in_the_order_of_arrival() -> None:
    """A body that comes later mustn't take the slot that another awaits."""
    gate = limits.Gate()
    order: list[int] = []

    def enter(number: int) -> None:
        with gate.admitted(1, 5.0) as is_inside:
            assert is_inside
            order.append(number)

    with gate.admitted(1, 0.0):
        threads = []
        for number in range(4):
            threads.append(threading.Thread(target=enter, args=(number,)))
            threads[-1].start()
            mesh.wait_for(lambda: gate.waiting > len(threads) - 1, "a turn")
        with gate.admitted(1, 0.01) as is_inside:
            assert not is_inside
    for thread in threads:
        thread.join()
    assert order == [0, 1, 2, 3]
    assert not gate.waiting


def test_body_that_keeps_coming_is_not_waited_for() -> None:
    """Uploads over slow links were ended like bodies that had stopped."""
    ours, theirs = socket.socketpair()
    all_waits: limits.Waits[typing.Any] = limits.Waits()
    conn = mock.Mock(socket=ours)
    waits = _client_waits.ClientWaits(conn, all_waits)
    for count, ended in ((100_000, False), (1, True)):
        waits.begin_request()
        waits.begin(is_sending=False)
        time.sleep(0.05)
        waits.end()
        waits.received(count)
        waits.begin(is_sending=False)
        now_s = time.monotonic()
        assert bool(all_waits.take_longest(1, 0.04, now_s)) is ended
    ours.close()
    theirs.close()


@pytest.mark.parametrize("descriptors", [40, 160, 4_100, 8_192])
def test_connections_of_all_addresses_leave_descriptors(
    descriptors: int,
) -> None:
    """Accepting failed for all once clients had used up the descriptors."""
    capacity = settings.Capacity(file_descriptors=descriptors)
    total = sum(
        limits.derive(settings.Limits(), capacity, place).connections
        for place in limits.Place
    )
    assert total <= max(descriptors * 2 / 3 + 1, 5 * 8)


def test_limit_is_logged_once_for_each_peer_in_a_period() -> None:
    """A crowd would fill the log, and hide what else happens."""
    account = limits.Account.silent()
    new = [
        account.is_new(limits.Reason.WAITING, peer, at_s)
        for peer, at_s in (("a", 1.0), ("a", 2.0), ("b", 3.0), ("a", 12.0))
    ]
    assert new == [True, False, True, True]
    peers = sum(
        account.is_new(limits.Reason.FIELDS, f"p{n}", 13.0)
        for n in range(5_000)
    )
    assert peers <= 257


class _Answers(serving.Handler):
    def handle(self, request: serving.Request) -> None:
        body = request.read_body(200_000)
        request.answer(200, [], b"%d" % len(body))


@contextlib.contextmanager
def _serving(
    bounds: limits.Bounds,
) -> collections.abc.Iterator[collections.abc.Callable[[], socket.socket]]:
    """Run a server with two threads; yields a function that connects."""
    address = _PORTS.take()
    server = serving.Server(address, _Answers(), 2, bounds=bounds)
    server.open()
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as clients:
        yield lambda: clients.enter_context(
            socket.create_connection((host, int(port)), 5)
        )
    server.stop()


def _exchange(sent: bytes, bounds: limits.Bounds, pause_s: float = 0) -> bytes:
    with _serving(bounds) as connect:
        client = connect()
        for begin in range(0, len(sent), 7 if pause_s else len(sent)):
            client.sendall(sent[begin : begin + 7] if pause_s else sent)
            time.sleep(pause_s)
        client.shutdown(socket.SHUT_WR)
        received = b""
        while data := client.recv(65_536):
            received += data
    return received


# A refusal must say that the request didn't run, and a count is kept.
@pytest.mark.parametrize(
    ("sent", "status", "reason"),
    [
        (
            b"GET / HTTP/1.1\r\nHost: x\r\n"
            + b"".join(b"a%d:\r\n" % n for n in range(40))
            + b"\r\n",
            431,
            "fields",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600\r\n\r\n"
            + bytes(600),
            413,
            "",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\na\r\n" * 5_000
            + b"0\r\n\r\n",
            400,
            "",
        ),
    ],
)
def test_request_over_a_limit_is_refused_as_not_run(
    sent: bytes, status: int, reason: str
) -> None:
    counts: collections.Counter[str] = collections.Counter()
    account = limits.Account(lambda _, label: counts.update([label]))
    budget = limits.ByteBudget(1_000 if status == 413 else 10**6)
    bounds = limits.Bounds(limits.Limits(fields=32), account, budget)
    received = _exchange(sent, bounds)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert b"Chiveroad-Ran: no" in received
    assert counts == ({reason: 1} if reason else {})


def test_body_beyond_the_shared_budget_is_refused_for_now() -> None:
    """Each body was within its limit, all together were not."""
    budget = limits.ByteBudget(1_000)
    assert budget.reserve(900)
    sent = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"
    received = _exchange(sent + bytes(100), limits.Bounds(budget=budget))
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in received
    assert b"Chiveroad-Ran: no" in received
    assert errors.Overloaded.code == 4004


def test_request_that_arrives_in_pieces_is_served() -> None:
    """The low-water mark of an earlier piece mustn't outlast the request."""
    post = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789"
    received = _exchange(post + GET + post, limits.Bounds(), 0.01)
    assert received.count(b"HTTP/1.1 200 ") == 3


def test_longest_wait_for_a_body_ends_for_the_next_as_not_run() -> None:
    """A body without an end kept its thread until the request's deadline."""
    counts: collections.Counter[str] = collections.Counter()
    account = limits.Account(lambda _, label: counts.update([label]))
    terms = limits.Limits(min_wait_s=0.2)
    stalled = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n"
    with _serving(limits.Bounds(terms, account)) as connect:
        first, second = connect(), connect()
        first.sendall(stalled)
        time.sleep(0.1)
        second.sendall(stalled + bytes(99_998))
        received = first.recv(65_536)
        assert received.startswith(b"HTTP/1.1 408 ")
        assert b"Chiveroad-Ran: no" in received
        second.sendall(b"x")
        assert second.recv(65_536).startswith(b"HTTP/1.1 200 ")
    assert counts == {"waiting": 1}


class _Closing:
    def __init__(self) -> None:
        self.socket, self._peer = socket.socketpair()

    def close(self) -> None:
        """Close both ends."""
        self.socket.close()
        self._peer.close()


def test_closer_survives_connections_that_are_closed_to_make_room() -> None:
    """Its thread ended, and all later connections lingered for ever."""
    closer = _closer.Closer()
    for _ in range(300):
        for _ in range(8):
            closer.close(_Closing())
        closer.close_oldest(6)
    last = _Closing()
    closer.close(last)
    mesh.wait_for(lambda: last.socket.fileno() < 0, "the last to be closed")


def test_head_that_comes_too_slowly_is_refused_as_not_run() -> None:
    """It was answered with 500, which left open whether it had run."""
    address = _PORTS.take()
    server = serving.Server(address, _Answers(), 2)
    server.limit_heads(1_000, 0.2)
    server.open()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as client:
        client.sendall(GET[:-2])
        received = client.recv(65_536)
    server.stop()
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"Chiveroad-Ran: no" in received


def test_new_connection_takes_the_place_of_one_without_a_request() -> None:
    """Callers found no descriptor left, or lost their idle connections."""
    with _serving(limits.Bounds(limits.Limits(connections=3))) as connect:
        used, unused = connect(), connect()
        used.sendall(GET)
        assert used.recv(65_536).startswith(b"HTTP/1.1 200 ")
        for _ in range(2):
            other = connect()
            other.sendall(GET)
            assert other.recv(65_536).startswith(b"HTTP/1.1 200 ")
        assert not unused.recv(1)
        used.sendall(GET)
        assert used.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_untaken_bytes_are_those_that_the_peer_has_no_capacity_for() -> None:
    """Answers that a peer reads, but hasn't acknowledged, don't count."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname(), 5)
        ours, _ = listener.accept()
        ours.setblocking(False)
        ours.send(bytes(1_000))
        assert not _arrival.untaken_bytes(ours)
        with pytest.raises(BlockingIOError):
            while ours.send(bytes(65_536)):
                pass
        assert _arrival.untaken_bytes(ours)
        client.close()
        ours.close()
