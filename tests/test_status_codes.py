"""Invalid status codes: a target in trouble answers with status 000.

A valid status is 100 to 599 (RFC 9110, section 15), and one below 200 isn't a
last answer.  Anything else counts as no answer, on every path that reads one.
"""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import threading
import typing

import hypothesis
import hypothesis.strategies as st
import pytest
import urllib3.exceptions

from chiveroad.cli import _daemon_page
from chiveroad.control import _peer
from chiveroad import errors
from chiveroad import http_calls
from chiveroad import platform
from chiveroad import store
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _pool
from chiveroad.traffic import _reachability
from tests import test_exchange
from tests import test_headers
from tests import test_reach

REST: typing.Final = (
    b"X-Request-Id: q\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\n"
    b"new\r\n"
)
"""Header lines and a body.  The body ends a line, so that a reader which
expects another status line doesn't wait for more."""

VALID: typing.Final = b"HTTP/1.1 200 OK\r\n" + REST
INVALID: typing.Final = {
    "zeros": b"HTTP/1.1 000 OK",
    "one digit": b"HTTP/1.1 2 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "two digits, padded": b"HTTP/1.1 20  OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "four digits, leading zero": b"HTTP/1.1 0200 OK",
    "below 100": b"HTTP/1.1 099 OK",
    "600": b"HTTP/1.1 600 OK",
    "999": b"HTTP/1.1 999 OK",
    "letters": b"HTTP/1.1 2OO OK",
    "letter after": b"HTTP/1.1 200x OK",
    "no blank before the reason": b"HTTP/1.1 200OK",
    "hexadecimal": b"HTTP/1.1 0xc8 OK",
    "underscore": b"HTTP/1.1 2_00 OK",
    "fraction": b"HTTP/1.1 200.0 OK",
    "plus": b"HTTP/1.1 +200 OK",
    "minus": b"HTTP/1.1 -20 OK",
    "blank within": b"HTTP/1.1 2 00 OK",
    "blank before the line": b" HTTP/1.1 200 OK",
    "vertical tab": b"HTTP/1.1\x0b200 OK",
    "no-break space": b"HTTP/1.1\xa0200 OK",
    "next line": b"HTTP/1.1 200\x85OK",
    "superscript": b"HTTP/1.1 \xb200 OK",
    "Arabic digits": "HTTP/1.1 ٢٠٠ OK".encode(),
    "full-width digits": "HTTP/1.1 ２００ OK".encode(),
    "no status": b"HTTP/1.1",
    "blank status": b"HTTP/1.1 ",
    "reason alone": b"HTTP/1.1 OK",
    "no version": b"200 OK",
    "version 2": b"HTTP/2 200 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "version 0.9": b"HTTP/0.9 200 OK",
    "version 1.10": b"HTTP/1.10 200 OK",
    "version 1.x": b"HTTP/1.x 200 OK",
    "lower case": b"http/1.1 200 OK",
    "another protocol": b"ICY 200 OK",
    "two status lines": b"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK",
    "last answer 100": b"HTTP/1.1 100 Continue",
    "last answer 101": b"HTTP/1.1 101 Switching Protocols",
    "last answer 103": b"HTTP/1.1 103 Early Hints",
    "last answer 199": b"HTTP/1.1 199 Other",
}
ACCEPTED: typing.Final = {
    "no reason": b"HTTP/1.1 200 ",
    "no reason, no blank": b"HTTP/1.1 200",
    "version 1.0": b"HTTP/1.0 200 OK",
    "first": b"HTTP/1.1 200 OK",
    "last": b"HTTP/1.1 599 OK",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    "after 103": b"HTTP/1.1 103 E\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
}

invalid_forms = pytest.mark.parametrize(
    "line", INVALID.values(), ids=INVALID.keys()
)
accepted_forms = pytest.mark.parametrize(
    "line", ACCEPTED.values(), ids=ACCEPTED.keys()
)


class RawPeer:
    """A peer that answers requests with given bytes, the last ones repeated.

    It keeps its connections open.  ``connections`` counts them and
    ``requests`` what came on each.
    """

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.requests: list[int] = []
        self._open: list[socket.socket] = []
        self._lock = threading.Lock()

    def __enter__(self) -> RawPeer:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                self._open.append(accepted)
                threading.Thread(
                    target=self._serve, args=(accepted,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        number = len(self.requests)
        self.requests.append(0)
        received = b""
        with sock, contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                received += data
                if b"\r\n\r\n" not in received:
                    continue
                probe = _guard.PROBE_PATH.encode() in received
                received = b""
                if probe:
                    sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                with self._lock:
                    self.requests[number] += 1
                    answer = self._answers[0]
                    if len(self._answers) > 1:
                        self._answers.pop(0)
                sock.sendall(answer)


def answer_of(line: bytes) -> bytes:
    """Return an answer with a status line."""
    return line + b"\r\n" + REST


@pytest.mark.parametrize("kept", [False, True])
@invalid_forms
def test_exchange_counts_an_invalid_status_as_no_answer(
    line: bytes, kept: bool
) -> None:
    """Guards against an invalid status that is taken for an answer.

    Whether the request ran is unknown, and its connection isn't used again.
    """
    before = (VALID,) if kept else ()
    with RawPeer(*before, answer_of(line), VALID) as peer:
        pool = _pool.Pool(peer.address)
        for _ in before:
            test_exchange.ask(peer.address, test_exchange.call(), pool)
        with pytest.raises(errors.OutcomeUnknown) as caught:
            test_exchange.ask(peer.address, test_exchange.call(), pool)
        assert caught.value.ran == "unknown"
        body, _ = test_exchange.ask(peer.address, test_exchange.call(), pool)
        assert body == b"new\r\n"
        assert peer.requests == [1 + kept, 1]


@accepted_forms
def test_exchange_reads_a_valid_status(line: bytes) -> None:
    """Guards against refusing what RFC 9112 has a client accept."""
    with RawPeer(answer_of(line)) as peer:
        body, _ = test_exchange.ask(peer.address, test_exchange.call())
    assert body == b"new\r\n"


GUARD_REQUEST: typing.Final = (
    f"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    f"{_call.REQUEST}: q\r\n{_call.SERVICE}: glade\r\n"
    f"{_call.KIND}: k 1 1 900 0 2\r\n{_call.TIMEOUT_MS}: 3000\r\n\r\n"
).encode()


@invalid_forms
def test_guard_refuses_an_invalid_status_of_its_target(line: bytes) -> None:
    """Guards against passing an invalid status on to another daemon."""
    with test_headers._guard_of(answer_of(line)) as address:
        answer = test_headers._exchange(address, GUARD_REQUEST)
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert b"Chiveroad-Ran: unknown\r\n" in answer


@invalid_forms
def test_entry_repeats_only_what_may_be_repeated(line: bytes) -> None:
    """Guards against an invalid status from a guard.

    A request that may be repeated is served by another target, and one that
    may not gets a 502 and isn't sent again.
    """
    with (
        RawPeer(answer_of(line), VALID) as first,
        test_reach.running_entry(first.address) as address,
    ):
        assert test_reach.get(address, "/write")[0] == 502
        assert sum(first.requests) == 1
    with (
        RawPeer(answer_of(line)) as bad,
        RawPeer(VALID) as good,
        test_reach.running_entry(bad.address, good.address) as address,
    ):
        while not bad.requests:
            assert test_reach.get(address, "/read")[0] == 200


@pytest.mark.parametrize("kept", [False, True])
@invalid_forms
def test_calls_of_the_store_and_of_parents_get_no_answer(
    line: bytes, kept: bool
) -> None:
    """Guards against an invalid status of the store or of another daemon."""
    before = (VALID,) if kept else ()
    with RawPeer(*before, answer_of(line), VALID) as peer:
        client = http_calls.Client(1, 1.0)
        url = f"http://{peer.address}/x"
        for _ in before:
            client.request("GET", url, None, 1.0)
        with pytest.raises(urllib3.exceptions.HTTPError):
            client.request("GET", url, None, 1.0)
        assert client.request("GET", url, None, 1.0).status == 200
        assert peer.requests == [1 + kept, 1]


@accepted_forms
def test_calls_of_the_store_read_a_valid_status(line: bytes) -> None:
    """Guards against refusing what RFC 9112 has a client accept."""
    with RawPeer(answer_of(line)) as peer:
        client = http_calls.Client(1, 1.0)
        answer = client.request("GET", f"http://{peer.address}/x", None, 1.0)
    assert answer.data == b"new\r\n"


def check_tells_nothing(answer: bytes) -> None:
    """Check that calls of the store and of daemons learn nothing from it."""
    version = store.Revision(0, 1)
    with RawPeer(answer) as peer:
        object_store = platform.ObjectStore(peer.address, 1.0)
        with pytest.raises(errors.StoreOutcomeUnknown):
            object_store.put(store.Kind.MEMBERS, "a", {}, version)
        with pytest.raises(errors.StoreUnavailable):
            object_store.get(store.Kind.MEMBERS, "a")
        with pytest.raises(errors.PeerUnavailable):
            _peer.Peers(1, 1.0).post(peer.address, "/x", b"", 1.0)
        with pytest.raises(errors.PeerUnavailable):
            _daemon_page.fetch(peer.address, "/x", object)


def test_writes_with_an_invalid_status_have_an_unknown_outcome() -> None:
    """Guards against a write that counts as done, or as not done."""
    check_tells_nothing(answer_of(INVALID["600"]))


@contextlib.contextmanager
def probed(answer: bytes) -> collections.abc.Iterator[str]:
    """Run a guard that gives one answer to a probe; yield its address."""
    serve = test_exchange.answering(answer)
    with test_exchange.target(serve) as address:
        yield address


@invalid_forms
def test_probe_with_an_invalid_status_is_a_miss(line: bytes) -> None:
    """Guards against a daemon that counts as reachable by such an answer."""
    with probed(answer_of(line)) as address:
        results = _reachability.Prober(_guard.PROBE_PATH).probe([address])
    assert address not in results.answered


@accepted_forms
def test_probe_with_a_valid_status_is_answered(line: bytes) -> None:
    """Guards against a busy daemon that counts as unreachable."""
    with probed(answer_of(line)) as address:
        results = _reachability.Prober(_guard.PROBE_PATH).probe([address])
    assert results.answered == {address}


STATUS_LINES = st.lists(
    st.sampled_from(
        [
            *(line + b"\r\n" for line in INVALID.values()),
            *(line + b"\r\n" for line in ACCEPTED.values()),
            b"Content-Length: 2\r\n",
            b"\r\n",
            b"\n",
            b"ab",
        ]
    )
    | st.binary(max_size=6),
    max_size=6,
).map(b"".join)


@hypothesis.given(
    STATUS_LINES | st.from_regex(rb"HTTP/1\.[01] [0-9]{1,4}[ \r]")
)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_any_answer_has_a_valid_status_or_none(sent: bytes) -> None:
    """Guards against a status that a caller or the store must not see."""
    with test_exchange.target(test_exchange.answering(sent)) as address:
        try:
            status = _status_of_exchange(address)
        except errors.Refusal as refusal:
            assert refusal.ran == "unknown"
        else:
            assert 200 <= status <= 599
    with test_exchange.target(test_exchange.answering(sent)) as address:
        client = http_calls.Client(1, 1.0)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = client.request("GET", f"http://{address}/", None, 1.0)
            assert 200 <= answer.status <= 599


def _status_of_exchange(address: str) -> int:
    ours, theirs = socket.socketpair()
    request = test_exchange.call(left_s=1.0)
    with ours, theirs:
        answer = _exchange.send_request(
            _pool.Pool(address),
            request,
            request.headers,
            ours,
            platform.Protocol().read_answer,
        )
    return int(answer.status)
