"""Fuzz tests: input from outside is either read or refused with a code.

``test_platform.py`` covers heartbeats, configurations and answers' heads.
"""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import threading

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad.control import _messages
from chiveroad.control import _record
from chiveroad import errors
from chiveroad import platform
from chiveroad import serving
from chiveroad import settings
from chiveroad import store
from chiveroad.traffic import _exchange
from chiveroad.traffic import _pool
from standins import mesh
from tests import test_exchange

_PORTS = mesh.Ports()
TOKENS = (
    b"GET / HTTP/1.1\r\n",
    b"POST /a HTTP/1.1\r\n",
    b"GET /\x00 HTTP/1.1\r\n",
    b"Host: x\r\n",
    b"Host : x\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 03\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: \tchunked\r\n",
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
    b"X: " + b"y" * 300 + b"\r\n",
    b" folded\r\n",
    b"\r\n",
    b"\n",
    b"\r",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nT: r\r\n\r\n",
    b"ffffffffffffffffff\r\n",
    b"-1\r\n",
    b"3;x=y\r\nabc\r\n",
    b"abc",
)
STREAMS = st.lists(
    st.sampled_from(TOKENS) | st.binary(max_size=12), max_size=10
).map(b"".join)


class Echo(serving.Handler):
    """Answers 200 and records the requests."""

    def __init__(self) -> None:
        self.taken: list[tuple[str, str, bytes]] = []

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        body = request.read_body(1_000)
        self.taken.append((request.method, request.uri, body))
        request.answer(200, [], b"ok")


@pytest.fixture(scope="module")
def echo() -> collections.abc.Iterator[tuple[str, int, Echo]]:
    """Yield the host and port of a running server, and its handler."""
    handler = Echo()
    address = _PORTS.take()
    server = serving.Server(address, handler, 8)
    server.open()
    server.limit_heads(8_000, 0.2)
    host, _, port = address.rpartition(":")
    yield host, int(port), handler
    server.stop()


def exchange(host: str, port: int, sent: bytes) -> bytes:
    """Send bytes, shut down the sending side, and return the answers."""
    received = b""
    with socket.create_connection((host, port), 5) as sock:
        with contextlib.suppress(ConnectionError):
            sock.sendall(sent)
            sock.shutdown(socket.SHUT_WR)
            while data := sock.recv(65_536):
                received += data
    return received


@hypothesis.settings(
    max_examples=300,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(STREAMS)
def test_any_bytes_from_a_caller_are_served_or_refused(
    echo: tuple[str, int, Echo], sent: bytes
) -> None:
    host, port, handler = echo
    handler.taken.clear()
    received = exchange(host, port, sent)
    heads = received.split(b"HTTP/1.1 ")
    assert heads[0] == b""
    statuses = [int(head[:3]) for head in heads[1:]]
    assert all(s == 200 or 400 <= s < 500 or s in (501, 505) for s in statuses)
    served = statuses.count(200)
    assert served == len(handler.taken) <= sent.count(b"HTTP/1.1")
    for method, uri, body in handler.taken:
        assert method in ("GET", "POST") and uri.startswith("/")
        assert len(body) <= 1_000
    # A refusal ends the connection: nothing after it is read as a request.
    assert all(status == 200 for status in statuses[:-1])
    assert received.count(b"Chiveroad-Code: ") == len(statuses) - served


chunks = st.lists(st.binary(min_size=1, max_size=40), max_size=6)


@hypothesis.settings(
    max_examples=150,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(chunks, st.integers(0, 400), st.booleans())
def test_truncated_chunked_body_is_not_served(
    echo: tuple[str, int, Echo], parts: list[bytes], cut: int, upper: bool
) -> None:
    host, port, handler = echo
    handler.taken.clear()
    form = b"%X\r\n%b\r\n" if upper else b"%x\r\n%b\r\n"
    body = b"".join(form % (len(part), part) for part in parts)
    body += b"0\r\n\r\n"
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    received = exchange(host, port, head + body[:cut])
    if cut >= len(body):
        assert handler.taken == [("POST", "/", b"".join(parts))]
        assert received.startswith(b"HTTP/1.1 200 ")
    elif handler.taken:
        # Only the final line break may be missing.
        assert handler.taken[0][2] == b"".join(parts)


ANSWERS = st.lists(
    st.sampled_from(
        (
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 503 No\r\n",
            b"HTTP/1.1 099 What\r\n",
            b"HTTP/1.0 204 \r\n",
            b"X-Request-Id: q\r\n",
            b"X-Request-Id: other\r\n",
            b"X-Server-Stamp: s\r\n",
            b"X-Not-Executed: 1\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: -3\r\n",
            b"Content-Length: many\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Keep-Alive: timeout=x\r\n",
            b"Retry-After: soon\r\n",
            b"\r\n",
            b"3\r\nabc\r\n0\r\n\r\n",
            b"zz\r\n",
            b"abc",
        )
    )
    | st.binary(max_size=12),
    max_size=9,
).map(b"".join)


@hypothesis.settings(max_examples=200)
@hypothesis.given(ANSWERS)
def test_arbitrary_answer_is_read_or_outcome_unknown(
    sent: bytes,
) -> None:
    with test_exchange.target(test_exchange.answering(sent)) as address:
        ours, theirs = socket.socketpair()
        request = test_exchange.call(left_s=0.5)
        with ours, theirs:
            try:
                answer = _exchange.send_request(
                    _pool.Pool(address),
                    request,
                    request.headers,
                    ours,
                    platform.Protocol().read_answer,
                )
                answer.read()
            except errors.Refusal as refusal:
                assert refusal.ran == "unknown"


@contextlib.contextmanager
def answering_store(
    sent: bytes,
) -> collections.abc.Iterator[platform.ObjectStore]:
    """Run a store that answers each call with the same bytes.

    Yields a client of the store.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run() -> None:
            with contextlib.suppress(OSError):
                while True:
                    accepted, _ = listener.accept()
                    with accepted:
                        accepted.recv(65_536)
                        accepted.sendall(sent)

        threading.Thread(target=run, daemon=True).start()
        port = listener.getsockname()[1]
        yield platform.ObjectStore(f"127.0.0.1:{port}", 0.5)


BODIES = st.sampled_from(
    (
        b"{}",
        b"[]",
        b"null",
        b'{"items":[]}',
        b'{"items":[{"metadata":{"name":"a"}}],"has_more":true,"as_of":3}',
        b'{"items":["..."],"has_more":false,"as_of":1}',
        b'{"metadata":{"name":"a","revision":"x"},"spec":1}',
        b'{"events":[{}],"as_of":2}',
        b'{"events":[],"as_of":-1}',
        b"\xff\xfe",
    )
) | st.binary(max_size=60)


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    st.sampled_from((200, 200, 200, 404, 409, 410, 429, 500, 503)), BODIES
)
def test_arbitrary_store_answer_is_read_or_store_error(
    status: int, body: bytes
) -> None:
    head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n"
    with answering_store(head.encode() + b"\r\n" + body) as object_store:
        kind = store.Kind.MEMBERS
        version = store.Revision(0, 1)
        calls: tuple[collections.abc.Callable[[], object], ...] = (
            lambda: object_store.get(kind, "a"),
            lambda: list(object_store.watch(kind, version, 0.1)),
            lambda: object_store.put(kind, "a", {}, version),
            lambda: object_store.delete(kind, "a", version),
        )
        for call in calls:
            with contextlib.suppress(errors.StoreError, errors.BadMessage):
                call()


@hypothesis.given(st.binary(max_size=80))
def test_arbitrary_member_record_is_read_or_skipped(spec: bytes) -> None:
    stored = store.StoredObject("a", store.Revision(1, 1), msgspec.Raw(spec))
    record = _record.read(stored)
    assert record is None or isinstance(record, _messages.MemberRecord)


toml_values = st.recursive(
    st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)


@hypothesis.given(
    st.text(max_size=100)
    | st.dictionaries(
        st.sampled_from(("instance", "service", "listen", "log", "x")),
        toml_values,
    ).map(lambda table: "\n".join(f"{k} = {v!r}" for k, v in table.items()))
)
def test_arbitrary_settings_are_refused_with_a_reason(text: str) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(text)
    assert caught.value.reason
