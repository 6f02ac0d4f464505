"""Sending a request to a peer and passing its answer on.

The same exchange serves an entry that asks a guard and a guard that asks its
target.  What went wrong is told apart by one question: may the peer have
run the request?
"""

from __future__ import annotations

import collections.abc
import contextlib
import http
import http.client
import itertools
import select
import socket
import time
import typing

import urllib3.exceptions

from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _answer
from chiveroad.traffic import _call
from chiveroad.traffic import _pool
from chiveroad import wire

SMALL_ANSWER_BYTES: typing.Final = 64 * 1024
STALL_S: typing.Final = 10.0
MIN_STALL_S: typing.Final = 0.05
EARLIER_STALL_S: typing.Final = 0.2
"""How long a peer that was asked before may pause within an answer's head,
while another's is awaited: a head is a packet or two."""

HELD_STALL_S: typing.Final = 1.0
"""How long a peer may pause within what frames a body, while others are
awaited; between the parts of a body it may for as long as there is time."""

MAX_READ_BYTES: typing.Final = 1024 * 1024
"""A body that is held or skipped isn't larger, with what frames it."""

MAX_CROSSED: typing.Final = 3
"""How many answers to other requests are passed over on one connection."""

_CHUNK_BYTES: typing.Final = 64 * 1024
_FIRST_REDIRECT: typing.Final = http.HTTPStatus.MULTIPLE_CHOICES
_BODILESS: typing.Final = (204, 304)
_FAILURES: typing.Final = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)

FIRST_WAKE_MS: typing.Final = 300
"""A peer isn't given up sooner: it may be silent for
``_reachability.QUIET_S`` before the first of two probes, which are
``_reachability.PROBE_PAUSE_S`` apart."""

WAKE_MS: typing.Final = 100
"""How often a request that may be repeated looks, after that, whether its peer
lives."""

STOP_WAKE_MS: typing.Final = 500
"""How often a request that waits looks whether a planned stop has set a limit;
stops give several times as long."""

ReadTerms = collections.abc.Callable[
    [int, collections.abc.Callable[[str, str], str]], wire.AnswerTerms
]
Hedge = collections.abc.Callable[[], bool]
"""Asks another peer while a request waits; tells whether the caller has that
one's answer.  The first peer may be at work, so its exchange stays open."""


class Answer:
    """A peer's answer, its head read and its body still to come.

    ``held`` is what has been read of the body already.  While nothing of it
    has been passed on, the body is due by the request's deadline.

    An answer without a length ends with its connection; it is whole unless
    the connection is reset.
    """

    def __init__(
        self,
        pool: _pool.Pool,
        connection: _pool.Connection,
        response: _answer.Response,
        method: str,
        read_terms: ReadTerms,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._response = response
        self._found = typing.cast(_answer.Headers, response.headers)
        self._stated = None if response.chunked else response.length
        self.held = bytearray()
        self.status = response.status
        self.headers = self._found.items()
        self.bodiless = method == "HEAD" or response.status in _BODILESS
        self.terms = read_terms(response.status, self.header)

    def header(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self._found.get(name) or default

    @property
    def length(self) -> int | None:
        """Return the body's length in bytes, or None where it isn't told."""
        return self._stated

    def read(self, limit_bytes: int = MAX_READ_BYTES) -> bytes:
        """Read the whole body and give the connection back.

        :raises errors.AnswerTruncated: when it ends early, or is over the
            limit.
        """
        begin = _hold(self.chunks(), limit_bytes)
        if not begin.whole:
            self.close()
            raise errors.AnswerTruncated(
                f"the answer is over {limit_bytes} bytes"
            )
        return begin.body

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body, and give the connection back after its end.

        :raises errors.AnswerTruncated: when it ends early.
        :raises errors.CallerDisconnected: when the caller has hung up before
            its end.
        """
        try:
            if self.held:
                held, self.held = bytes(self.held), bytearray()
                yield held
            while chunk := self._read_some():
                yield chunk
        except _FAILURES as exc:
            self.close()
            raise errors.AnswerTruncated(f"the answer was cut: {exc}") from exc
        except (errors.AnswerTruncated, errors.CallerDisconnected):
            self.close()
            raise
        self._release()

    def hold(self) -> bool:
        """Read what has arrived of the body; tell whether that is enough.

        It is if the body is whole, or over ``SMALL_ANSWER_BYTES``.

        :raises errors.AnswerTruncated: when it ends early.
        """
        if self.bodiless or self._response.length == 0:
            return True
        while len(self.held) <= SMALL_ANSWER_BYTES:
            chunk = self._read_some()
            self.held += chunk
            if not chunk or self._response.length == 0:
                return True
            if not self._connection.has_data():
                return False
        return True

    def _read_some(self) -> bytes:
        """Return some of the body, or nothing at its end."""
        chunk = self._response.read1(_CHUNK_BYTES)
        if chunk:
            self._pool.last_body_s = time.monotonic()
        elif not self._response.chunked and self._response.length:
            raise errors.AnswerTruncated("the answer is shorter than said")
        return chunk

    def lift_deadline(self) -> None:
        """Let the body take longer: the caller has a part of it."""
        self._connection.end_by(None)

    def discard(self) -> None:
        """Drop the body, and keep the connection where that is cheap."""
        length = self.length
        if length is None or length > SMALL_ANSWER_BYTES:
            self.close()
            return
        self._connection.end_by(time.monotonic() + MIN_STALL_S)
        with contextlib.suppress(
            errors.AnswerTruncated, errors.CallerDisconnected
        ):
            self.read()

    def close(self) -> None:
        """Close the connection: it can't be used again."""
        self._response.close()
        self._connection.close()

    def _release(self) -> None:
        framed = self._response.chunked or self._response.length is not None
        if self._response.will_close or not (framed or self.bodiless):
            self.close()
            return
        self._response.close()
        if self.terms.idle_timeout_s:
            self._connection.idle_limit_s = min(
                _pool.RETIRE_IDLE_S, self.terms.idle_timeout_s / 2
            )
        self._pool.release(self._connection)


class HedgeAnswered(Exception):
    """The caller has the answer of a peer that was asked later."""


class Superseded(Exception):
    """A peer that was asked before has answered."""


class _Exchange(_call.Pending):
    """A request sent over one connection, until its answer has begun.

    ``answer`` is that answer, and ``failure`` why there is none.  Beside
    others an answer has begun once it can't be cut any more, or is too large
    to be held: it ends their exchanges.
    """

    def __init__(
        self,
        pool: _pool.Pool,
        connection: _pool.Connection,
        call: _call.Call,
        read_terms: ReadTerms,
    ) -> None:
        self._pool = pool
        self._call = call
        self._read_terms = read_terms
        self._crossed = 0
        self._found: Answer | None = None
        self.connection = connection
        self.answer: Answer | None = None
        self.failure: errors.Refusal | None = None

    def fileno(self) -> int:
        """Return the descriptor of the connection to the peer."""
        sock = self.connection.sock
        assert sock is not None, "report this: unopened connection"
        return sock.fileno()

    @property
    def ended(self) -> bool:
        """Tell whether an answer has begun, or none can come."""
        return self.answer is not None or self.failure is not None

    @property
    def served(self) -> bool:
        """Tell whether there is an answer that a caller is to have."""
        answer = self.answer
        return (
            answer is not None
            and answer.terms.ran
            and answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        )

    def advance(self, stall_s: float, alone: bool = False) -> None:
        """Read what has arrived of an answer.

        One to an earlier request is passed over.

        :param alone: whether no other peer is asked.
        """
        self.connection.pause_at_most(stall_s)
        try:
            if self._found is None:
                self._read_head()
            if self._found is None:
                return
            self.connection.pause_at_most(max(stall_s, HELD_STALL_S))
            if alone or self._found.hold():
                self.answer = self._found
        except errors.Refusal as refusal:
            self.failure = refusal
        except _FAILURES as exc:
            if self._found is None:
                self._pool.connection_lost(self.connection)
            self.failure = errors.OutcomeUnknown(f"no answer: {exc!r}")
            self.failure.__cause__ = exc

    def _read_head(self) -> None:
        call = self._call
        response = self.connection.read_head(call.method)
        answer = Answer(
            self._pool,
            self.connection,
            response,
            call.method,
            self._read_terms,
        )
        echoed = answer.terms.request_id
        self._pool.echoes = self._pool.echoes or echoed == call.id
        if echoed == call.id or _is_unnamed(answer, self._pool):
            self._found = answer
            return
        self._crossed += 1
        endless = answer.length is None and not response.chunked
        if endless or self._crossed > MAX_CROSSED:
            raise errors.AnswerMismatched(f"the answer is to {echoed}")
        response.skip(MAX_READ_BYTES)

    def send(self, headers: collections.abc.Iterable[serving.Header]) -> None:
        """Send the request."""
        try:
            _send(self.connection, self._call, headers)
        except _FAILURES as exc:
            self._pool.connection_lost(self.connection)
            raise errors.OutcomeUnknown(f"no answer: {exc!r}") from exc


def send_request(
    pool: _pool.Pool,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
    caller: socket.socket,
    read_terms: ReadTerms,
    hedge: Hedge | None = None,
) -> Answer:
    """Send a request and wait for the head of the answer.

    The peer may be one of several that are asked; the first answer that a
    caller is to have ends the exchanges with the others.

    :param hedge: asked now and then while the request waits.
    :raises errors.TargetRefused: when no connection could be opened, so
        that nothing was sent.
    :raises errors.OutcomeUnknown: when it was sent and no answer came; the
        subclass says why.
    :raises HedgeAnswered: when the caller has been answered.
    :raises Superseded: when a peer that was asked before has answered.
    """
    if call.left_ms() <= 0:
        raise errors.DeadlineExceeded("the deadline passed before sending")
    if serving.is_disconnected(caller):
        raise errors.CallerDisconnectedEarly(
            "the caller hung up before sending"
        )
    try:
        connection = pool.acquire()
    except _FAILURES as exc:
        raise errors.TargetRefused(f"no connection: {exc}", 200) from exc
    exchange = _Exchange(pool, connection, call, read_terms)
    call.pending.append(exchange)
    try:
        connection.end_by(call.due_s + MIN_STALL_S)
        connection.read_for(caller)
        # Opening a connection, or the wait for a slot, has taken time.
        _look_at_earlier(exchange, call)
        exchange.send(headers)
        while not exchange.ended:
            _await_answer(exchange, caller, call, hedge)
        if exchange.failure is not None:
            raise exchange.failure
        assert exchange.answer is not None, "report this: no answer"
        connection.pause_at_most(_stall_s(call))
        return exchange.answer
    except BaseException:
        connection.close()
        raise
    finally:
        call.pending.remove(exchange)


def _is_unnamed(answer: Answer, pool: _pool.Pool) -> bool:
    """Tell whether an answer needn't name its request.

    A refusal may come from where nobody has read the request's id.
    """
    succeeded = http.HTTPStatus.OK <= answer.status < _FIRST_REDIRECT
    named = bool(answer.terms.request_id)
    return not named and not (succeeded and pool.echoes)


def forward_answer(
    answer: Answer,
    request: serving.Request,
    extra: collections.abc.Iterable[serving.Header] = (),
    hold_bytes: int = SMALL_ANSWER_BYTES,
) -> int:
    """Pass an answer on to the caller, whole or visibly cut.

    :param hold_bytes: up to this size nothing is passed on before all has
        arrived, so that a cut answer can still be replaced.
    :returns: the body's bytes.
    :raises errors.AnswerTruncated: when the answer ended early; where
        nothing had been passed on yet, the caller still gets a refusal.
    """
    headers = [*_call.end_to_end(answer.headers), *extra]
    if answer.bodiless:
        answer.read()
        stated = answer.header("Content-Length")
        if stated:
            headers.append(("Content-Length", stated))
        request.start(answer.status, headers)
        request.finish()
        return 0
    length = answer.length
    chunks = answer.chunks()
    if length is not None and length > hold_bytes:
        # Nothing is passed on before there is some of the body.
        rest = itertools.chain((next(chunks, b""),), chunks)
        return _stream(answer, rest, request, headers, length)
    begin = _hold(chunks, hold_bytes)
    if begin.whole:
        request.answer(answer.status, headers, begin.body)
        return len(begin.body)
    rest = itertools.chain((begin.body,), chunks)
    return _stream(answer, rest, request, headers, length)


class _Begin(typing.NamedTuple):
    body: bytes
    whole: bool


def _hold(chunks: collections.abc.Iterator[bytes], hold_bytes: int) -> _Begin:
    """Take chunks until the end, or until they are over a size.

    Each chunk but the first counts as longer by what frames it: tiny ones
    take time.
    """
    # Kept apart, they would also take many times their size.
    held = bytearray()
    for number, chunk in enumerate(chunks):
        held += chunk
        if len(held) + number * serving.CHUNK_LINE_BYTES > hold_bytes:
            return _Begin(bytes(held), whole=False)
    return _Begin(bytes(held), whole=True)


def _stream(
    answer: Answer,
    chunks: collections.abc.Iterable[bytes],
    request: serving.Request,
    headers: list[serving.Header],
    length: int | None,
) -> int:
    if length is not None:
        headers.append(("Content-Length", str(length)))
    request.start(answer.status, headers)
    try:
        for chunk in chunks:
            request.send(chunk)
            answer.lift_deadline()
    except BaseException:
        answer.close()
        request.abort()
        raise
    request.finish()
    return request.bytes_sent


def _send(
    connection: _pool.Connection,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
) -> None:
    """Send a request, unless the peer answers before it has all of it."""
    body = call.body
    framing: tuple[serving.Header, ...] = ()
    if body.buffered is None:
        framing = (("Transfer-Encoding", "chunked"),)
        if body.length is not None:
            framing = (("Content-Length", str(body.length)),)
    elif body.buffered or call.method in ("POST", "PUT", "PATCH"):
        framing = (("Content-Length", str(len(body.buffered))),)
    head = _head(call, (*headers, *framing))
    if body.buffered is not None:
        _transmit(connection, head + body.buffered, call)
        return
    if _transmit(connection, head, call):
        _send_stream(connection, call)


def _head(
    call: _call.Call, headers: collections.abc.Iterable[serving.Header]
) -> bytes:
    # Names and values have been read by our own server, and so are sound.
    lines = [f"{call.method} {call.uri} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _send_stream(connection: _pool.Connection, call: _call.Call) -> None:
    chunked = call.body.length is None
    try:
        for chunk in call.body.stream():
            if call.left_ms() <= 0:
                raise errors.AnswerTimeout("the body goes on too long")
            if chunked:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            if not _transmit(connection, chunk, call):
                return
    except serving.BodyTruncated as exc:
        raise errors.OutcomeUnknown(f"the caller's body ended: {exc}") from exc
    if chunked:
        _transmit(connection, b"0\r\n\r\n", call)


def _transmit(
    connection: _pool.Connection, data: bytes, call: _call.Call
) -> bool:
    """Send bytes, large ones in pieces where the link is shared.

    :returns: False when the peer answers before it has them all.
    """
    uplink = connection.uplink
    pieces = (data,) if uplink is None else uplink.pieces(data)
    return all(_transmit_piece(connection, each, call) for each in pieces)


def _transmit_piece(
    connection: _pool.Connection,
    data: bytes | memoryview[typing.Any],
    call: _call.Call,
) -> bool:
    """Send bytes; False when the peer answers before it has them all.

    The connection then isn't used again: the peer would take the next
    request's bytes for the rest of this one.
    """
    sock = connection.sock
    assert sock is not None, "report this: unopened connection"
    view = memoryview(data)
    while True:
        try:
            view = view[serving.send_now(sock, view) :]
        except OSError:
            connection.reusable = False
            if connection.readable():
                return False
            raise
        if not view:
            return True
        poll = select.poll()
        poll.register(sock, select.POLLIN | select.POLLOUT)
        ready = poll.poll(max(0, call.left_ms()))
        if not ready:
            raise errors.AnswerTimeout("the peer doesn't take the request")
        if ready[0][1] & select.POLLIN:
            connection.reusable = False
            return False


def _earlier(
    exchange: _Exchange, call: _call.Call
) -> dict[int, _call.Pending]:
    """Return what else is pending, by the descriptors of its connections."""
    return {
        pending.fileno(): pending
        for pending in call.pending
        if pending is not exchange and not pending.ended
    }


def _look_at_earlier(exchange: _Exchange, call: _call.Call) -> None:
    """Read what peers that were asked before have sent by now.

    :raises Superseded: when there is an answer among it.
    """
    earlier = _earlier(exchange, call)
    if not earlier:
        return
    poll = select.poll()
    for number in earlier:
        poll.register(number, select.POLLIN)
    for number, _ in poll.poll(0):
        earlier[number].advance(EARLIER_STALL_S)
        if earlier[number].served:
            raise Superseded


def _stall_s(call: _call.Call) -> float:
    """Return how long a peer may pause within an answer."""
    return max(MIN_STALL_S, min(STALL_S, call.left_ms() / 1000))


def _await_answer(
    exchange: _Exchange,
    caller: socket.socket,
    call: _call.Call,
    hedge: Hedge | None = None,
) -> None:
    """Wait until the peer answers, the caller hangs up, or time is over.

    Peers that were asked before may answer meanwhile.
    """
    earlier = _earlier(exchange, call)
    poll = select.poll()
    poll.register(caller, select.POLLIN | select.POLLRDHUP)
    for number in (exchange.fileno(), *earlier):
        poll.register(number, select.POLLIN)
    wake_ms = FIRST_WAKE_MS
    while not exchange.ended:
        left_ms = call.left_ms()
        wait_ms = min(left_ms, wake_ms if hedge else STOP_WAKE_MS)
        wake_ms = WAKE_MS
        buffered = exchange.connection.has_data()
        ready = dict(poll.poll(0 if buffered else max(0, wait_ms)))
        if buffered or exchange.fileno() in ready:
            exchange.advance(
                EARLIER_STALL_S if earlier else _stall_s(call), not earlier
            )
            continue
        for number in earlier.keys() & ready.keys():
            earlier[number].advance(EARLIER_STALL_S)
        if not ready and call.left_ms() <= 0:
            raise errors.AnswerTimeout("no answer before the deadline")
        if not ready and hedge and hedge():
            raise HedgeAnswered
        for number in [n for n, each in earlier.items() if each.ended]:
            poll.unregister(number)
            if earlier.pop(number).served and not exchange.served:
                raise Superseded
        if caller.fileno() in ready:
            if serving.is_disconnected(caller):
                raise errors.CallerDisconnected("the caller hung up")
            # The caller has sent more already; only its hang-up matters.
            poll.modify(caller, select.POLLRDHUP)
