"""Bodies of uploads: decided from the head, sent once, never half."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad import serving
from chiveroad.traffic import _body
from tests import keyed
from tests import test_exchange

TOKEN: typing.Final = f"Authorization: Token {keyed.KEY}"
SIZES: typing.Final = (100, 20_000, 60_000, 360_000)
LARGE: typing.Final = SIZES[1:]


def _head(length: int | None, *more: str, path: str = "/once") -> bytes:
    framing = "Transfer-Encoding: chunked"
    if length is not None:
        framing = f"Content-Length: {length}"
    return keyed.head_of(path, [TOKEN, framing, *more], "POST")


def _in_chunks(body: bytes) -> bytes:
    parts = [body[at : at + 7_000] for at in range(0, len(body), 7_000)]
    framed = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"".join([*framed, b"0\r\n\r\n"])


@contextlib.contextmanager
def _connected(address: str) -> collections.abc.Iterator[socket.socket]:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        yield sock


def _rest(sock: socket.socket) -> bytes:
    return b"".join(iter(lambda: sock.recv(65_536), b""))


def _body_of(length: int) -> bytes:
    return bytes(at * 31 % 251 for at in range(length))


# Guards against a body that arrives in part, twice or in other framing at the
# target, when it is read late and when a first target has refused it.
@pytest.mark.parametrize("length", SIZES)
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("path", ["own", "peer", "retry"])
def test_body_arrives_whole_and_once(
    path: str, chunked: bool, length: int
) -> None:
    body = _body_of(length)
    sent = _head(None if chunked else length)
    sent += _in_chunks(body) if chunked else body
    with keyed.daemons("abc") as [own, peer, other]:
        members = {"own": [own], "peer": [peer]}.get(path, [peer, other])
        other.guard.draining = True
        own.view.merge(each.member for each in members)
        for _ in range(4):
            answer = keyed.ask(own.entry_address, sent)
            assert keyed.status_of(answer) == 200
        served = own if path == "own" else peer
        assert served.target.bodies == [body] * 4
        assert not other.target.heads


# Guards against a refusal that waits for the body, which the caller sends only
# slowly, or not before it has been asked for it.
@pytest.mark.parametrize("length", [*LARGE, None])
@pytest.mark.parametrize("expects", [(), ("Expect: 100-continue",)])
@pytest.mark.parametrize("cause", ["key", "no target", "own", "peer", "guard"])
def test_refusal_does_not_wait_for_the_body(
    cause: str, expects: tuple[str, ...], length: int | None
) -> None:
    sent = _head(length, *expects)
    if length is None and not expects:
        sent += b"5000\r\n" + b"x" * 0x5000 + b"\r\n"
    with keyed.daemons("ab") as [own, peer]:
        own.guard.draining = peer.guard.draining = True
        address, status = own.entry_address, 503
        if cause == "key":
            sent = sent.replace(keyed.KEY.encode(), b"unknown")
            status = 401
        elif cause in ("own", "peer"):
            own.view.merge([own.member if cause == "own" else peer.member])
        elif cause == "guard":
            address = peer.member.guard
            terms = (
                b"\r\nChiveroad-Service: glade\r\nChiveroad-Request: q\r\n"
                b"Chiveroad-Kind: k 1 0 4000 0 1\r\n"
                b"Chiveroad-Timeout-Ms: 4000\r\n"
            )
            sent = sent.replace(b"\r\n", terms, 1)
        answer = keyed.ask(address, sent)
        assert keyed.status_of(answer) == status
        assert "Chiveroad-Ran: no" in answer
        assert not own.target.heads and not peer.target.heads


# Guards against a caller that is asked for its body too early, or never.
@pytest.mark.parametrize("path", ["own", "peer"])
def test_caller_is_asked_for_the_body_once_it_is_admitted(path: str) -> None:
    body = _body_of(60_000)
    with keyed.daemons("ab") as [own, peer]:
        served = own if path == "own" else peer
        own.view.merge([served.member])
        with _connected(own.entry_address) as sock:
            sock.sendall(_head(len(body), "Expect: 100-continue"))
            assert sock.recv(65_536).startswith(b"HTTP/1.1 100 Continue\r\n")
            assert not served.target.heads
            sock.sendall(body)
            assert _rest(sock).startswith(b"HTTP/1.1 200")
        assert served.target.bodies == [body]


# Guards against an answer that waits for a caller that still sends, and other
# bytes on a connection where its target expects the rest of a body.
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("path", ["own", "peer"])
def test_early_answer_reaches_the_caller_and_ends_the_connection(
    path: str, chunked: bool
) -> None:
    body = _body_of(360_000)
    sent = _head(None if chunked else len(body))
    sent += _in_chunks(body) if chunked else body
    with keyed.daemons("ab") as [own, peer]:
        served = own if path == "own" else peer
        own.view.merge([served.member])
        served.target.answers_early = True
        served.target.answer = "413 Content Too Large"
        with _connected(own.entry_address) as sock:
            sock.sendall(sent[:200_000])
            assert _rest(sock).startswith(b"HTTP/1.1 413")
        assert served.target.ended.wait(5)
        served.target.answers_early = False
        small = keyed.ask(own.entry_address, _head(3) + b"new")
        assert keyed.status_of(small) == 413
        assert served.target.bodies == [b"new"]
        rest = served.target.rest
        if not chunked:
            assert body.startswith(rest)
        assert len(rest) < len(sent) and b"HTTP/1.1" not in rest


# Guards against a request whose body stops half-way and that a target runs,
# or that is said not to have run although a target may have.
@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize("length", LARGE)
@pytest.mark.parametrize("path", ["own", "peer"])
def test_body_that_stops_half_way_runs_nothing(
    path: str, length: int, gone: bool
) -> None:
    with keyed.daemons("ab") as [own, peer]:
        served = own if path == "own" else peer
        own.view.merge([served.member])
        with _connected(own.entry_address) as sock:
            half = _body_of(length)[: length // 2]
            sock.sendall(_head(length, "X-Deadline-Ms: 600") + half)
            if gone:
                sock.shutdown(socket.SHUT_WR)
            answer = _rest(sock)
        if length <= _body.MAX_BUFFERED_BODY_BYTES:
            assert not served.target.heads
            if not gone:
                assert answer.startswith(b"HTTP/1.1 408")
                assert b"Chiveroad-Ran: no" in answer
        else:
            assert served.target.ended.wait(5)
            assert not gone or answer[9:12] in (b"", b"502", b"499")
            assert gone or answer[9:12] in (b"502", b"504")
        whole = [b for b in served.target.bodies if len(b) == length]
        assert not whole


class _Parts:
    """A request whose body arrives in given parts."""

    awaits_continue = False

    def __init__(self, parts: list[int], chunked: bool) -> None:
        self._parts = parts
        self.interrupt: object = None
        self.content_length = None if chunked else sum(parts)

    def body(self) -> collections.abc.Iterator[bytes]:
        """Yield the parts."""
        for number, size in enumerate(self._parts):
            yield bytes([number % 251]) * size


# Guards against a body that is sent again with a gap, or that takes memory
# without a bound.
@hypothesis.given(
    st.lists(st.integers(1, 16_384), max_size=30),
    st.booleans(),
    st.lists(st.integers(0, 12), max_size=4),
    st.booleans(),
)
def test_body_is_sent_whole_again_or_not_at_all(
    parts: list[int], chunked: bool, stops: list[int], loads: bool
) -> None:
    source = typing.cast(serving.Request, _Parts(parts, chunked))
    expected = b"".join(_Parts(parts, chunked).body())
    body = _body.Body(source)
    limit = _body.MAX_BUFFERED_BODY_BYTES + 16_384
    for stop in [*stops, len(parts) + 1]:
        if loads:
            body.load()
        if not body.replayable:
            with pytest.raises(serving.BodyTruncated):
                next(body.stream())
            break
        found = b""
        with contextlib.closing(body.stream()) as chunks:
            for number, chunk in enumerate(chunks):
                found += chunk
                assert sum(map(len, body._kept)) <= limit
                if number == stop:
                    break
        assert expected.startswith(found)
        if stop > len(parts):
            assert found == expected
    assert len(body.buffered or b"") <= limit


# Guards against the rest of a body that failed, sent as if it were whole.
def test_body_that_failed_is_not_sent_again() -> None:
    class _Cut(_Parts):
        def body(self) -> collections.abc.Iterator[bytes]:
            yield b"x" * 16_000
            raise serving.BodyTruncated("cut")

    source = typing.cast(serving.Request, _Cut([32_000], False))
    body = _body.Body(source)
    for _ in range(2):
        with pytest.raises(serving.BodyTruncated):
            list(body.stream())
    assert not body.replayable


# Guards against a body that waits forever as its target sends interim heads.
def test_interim_heads_do_not_end_a_body() -> None:
    received = []

    def serve(sock: socket.socket) -> None:
        data = sock.recv(1_000)
        sock.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        while len(data) < 200_000 and (more := sock.recv(65_536)):
            data += more
        received.append(data)
        sock.sendall(test_exchange.WHOLE)

    with test_exchange.target(serve) as address:
        answer, _ = test_exchange.ask(
            address, test_exchange.call(_body_of(200_000))
        )
    assert answer == b"new"
    assert received[0].endswith(_body_of(200_000))
