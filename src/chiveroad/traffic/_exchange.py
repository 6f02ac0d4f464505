"""HTTP client exchanges: send a request to a peer and forward its answer.

An entry uses an exchange to send a request to a guard, and a guard to send it
to its target.  Failures are classified by whether the peer may have run the
request.
"""

from __future__ import annotations

import abc
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

from chiveroad import answers
from chiveroad import clock
from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _body
from chiveroad.traffic import _buffers
from chiveroad.traffic import _call
from chiveroad.traffic import _pool
from chiveroad import wire

SMALL_ANSWER_BYTES: typing.Final = _buffers.SMALL_ANSWER_BYTES
STALL_S: typing.Final = 10.0
MIN_STALL_S: typing.Final = 0.05
EARLIER_STALL_S: typing.Final = 0.2
"""How long a peer with an earlier exchange may pause within an answer's head
while a hedged request is pending: a head fits in one or two packets."""

BUFFERED_STALL_S: typing.Final = 1.0
"""How long a peer may pause within the framing of a body while exchanges with
other peers are pending.  Between two parts of a body it may pause until the
deadline."""

MAX_READ_BYTES: typing.Final = 1024 * 1024
"""Limit on a body that is buffered or skipped, including its framing."""

MAX_MISMATCHED: typing.Final = 3
"""How many answers to earlier requests one exchange skips on its
connection."""

_CHUNK_BYTES: typing.Final = 64 * 1024
_FIRST_REDIRECT: typing.Final = http.HTTPStatus.MULTIPLE_CHOICES
_BODILESS: typing.Final = (204, 304)
_FAILURES: typing.Final = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)

FIRST_HEDGE_CHECK_MS: typing.Final = 300
"""When a pending request first checks whether to hedge.  A daemon isn't
declared unreachable sooner: a request waits ``_reachability.PROBE_AFTER_S``
before the first of two probes, which are ``_reachability.PROBE_PAUSE_S``
apart."""

HEDGE_CHECK_MS: typing.Final = 100
"""How often an idempotent request checks, after that, whether its peer is
unreachable."""

STOP_CHECK_MS: typing.Final = 500
"""How often a pending request checks whether a planned stop has set an
earlier deadline.  A planned stop allows several times as long."""

ReadTerms = collections.abc.Callable[
    [int, collections.abc.Callable[[str, str], str]], wire.AnswerTerms
]
Hedge = collections.abc.Callable[[], bool]
"""Sends a hedged request to another peer while a request is pending, and
returns whether the caller has been answered from that peer.  The first peer
may be running the request, so its exchange stays open."""


class LateHedge(abc.ABC):
    """A hedged request to another peer because an answer is late.

    ``due_s`` is when ``send`` is called, in monotonic seconds.
    """

    due_s: float

    @abc.abstractmethod
    def send(self) -> bool:
        """Send it, or set another ``due_s``; see ``Hedge``."""

    def due_in_ms(self) -> float:
        """Return the time until it is due, never negative."""
        return max(0.0, (self.due_s - time.monotonic()) * 1000)


class Answer:
    """A peer's answer whose head has been read and whose body is pending.

    ``buffered`` is the part of the body that has been read.  The body must
    arrive by the request's deadline until a part of it has been forwarded.

    An answer without a length ends with its connection.  It is complete
    unless the connection is reset.
    """

    def __init__(
        self,
        pool: _pool.Pool,
        connection: _pool.Connection,
        response: answers.Response,
        method: str,
        read_terms: ReadTerms,
        buffers: _buffers.BufferBudget,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._response = response
        self._buffers = buffers
        self._headers = typing.cast(answers.Headers, response.headers)
        self._declared_length = None if response.chunked else response.length
        self.buffered = bytearray()
        self.status = response.status
        self.headers = self._headers.items()
        self.bodiless = method == "HEAD" or response.status in _BODILESS
        self.terms = read_terms(response.status, self.header)

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header, or the default."""
        return self._headers.get(name) or default

    def remove_headers(
        self, removed: collections.abc.Callable[[str], bool]
    ) -> None:
        """Don't pass some headers on.

        :param removed: takes a header's name in lower case.
        """
        self.headers = [
            header for header in self.headers if not removed(header[0].lower())
        ]

    @property
    def length(self) -> int | None:
        """Return the declared length of the body in bytes, or None."""
        return self._declared_length

    def read(self, limit_bytes: int = MAX_READ_BYTES) -> bytes:
        """Read the whole body and return the connection to the pool.

        :raises errors.AnswerTruncated: when the body ends early, or is over
            the limit, or over what may be buffered at present.
        """
        with self.reserve() as reservation:
            prefix = _buffer(self.chunks(), limit_bytes, reservation)
            if prefix.complete:
                return bytes(prefix.body)
        self.close()
        raise errors.AnswerTruncated(
            f"the answer is over {len(prefix.body)} bytes"
        )

    def reserve(self) -> _buffers.Reservation:
        """Return a reservation for a buffer of the body."""
        return _buffers.Reservation(self._buffers)

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body, then return the connection to the pool.

        :raises errors.AnswerTruncated: when the body ends early.
        :raises errors.CallerDisconnected: when the caller disconnects before
            the end of the body.
        """
        try:
            if self.buffered:
                buffered, self.buffered = bytes(self.buffered), bytearray()
                yield buffered
            while chunk := self._read_some():
                yield chunk
        except answers.Malformed as exc:
            self.close()
            raise _malformed(exc) from exc
        except _FAILURES as exc:
            self.close()
            raise errors.AnswerTruncated(f"the answer was cut: {exc}") from exc
        except (errors.AnswerTruncated, errors.CallerDisconnected):
            self.close()
            raise
        self._release()

    def buffer_available(self) -> bool:
        """Buffer the part of the body that has arrived.

        :returns: whether the body is complete or over ``SMALL_ANSWER_BYTES``,
            so that no more of it has to be buffered.
        :raises errors.AnswerTruncated: when the body ends early.
        """
        if self.bodiless or self._response.length == 0:
            return True
        while len(self.buffered) <= SMALL_ANSWER_BYTES:
            chunk = self._read_some()
            self.buffered += chunk
            if not chunk or self._response.length == 0:
                return True
            if not self._connection.has_data():
                return False
        return True

    def _read_some(self) -> bytes:
        """Return the next part of the body, or no bytes at its end."""
        chunk = self._response.read1(_CHUNK_BYTES)
        if chunk:
            self._pool.last_body_s = time.monotonic()
        elif not self._response.chunked and self._response.length:
            raise errors.AnswerTruncated("the answer is shorter than said")
        return chunk

    def lift_deadline(self) -> None:
        """Lift the read deadline, as the caller has received a part."""
        self._connection.set_deadline(None)

    def discard(self) -> None:
        """Discard the body; keep the connection if the body is small.

        :raises errors.AnswerMalformed: when the body's framing is malformed.
        """
        length = self.length
        framed = self._response.chunked or length is not None
        if not framed or (length or 0) > SMALL_ANSWER_BYTES:
            self.close()
            return
        self._connection.set_deadline(time.monotonic() + MIN_STALL_S)
        try:
            self.read(SMALL_ANSWER_BYTES)
        except errors.AnswerMalformed:
            raise
        except (errors.AnswerTruncated, errors.CallerDisconnected):
            """The head says that the request wasn't run."""

    def close(self) -> None:
        """Close the connection instead of returning it to the pool."""
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
    """The caller has been answered from a hedged request."""


class Superseded(Exception):
    """A peer with an earlier exchange of the same request has answered."""


class _Exchange(_call.Pending):
    """A request sent over one connection, until its answer has begun.

    ``answer`` is the answer that has begun, and ``failure`` the reason why
    there is none.  While a request has several exchanges, an answer counts
    as begun once it is complete or too large to be buffered: it ends the
    other exchanges, and must not turn out truncated afterwards.
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
        self._mismatched = 0
        self._incoming: Answer | None = None
        self._head_only = False
        self._body_sent = True
        self._chunked = call.body.length is None
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
    def awaited(self) -> bool:
        """Tell whether to wait: for an answer, or to be asked for the body."""
        return not self.ended and (self._head_only or self._body_sent)

    @property
    def served(self) -> bool:
        """Tell whether there is an answer to forward to the caller."""
        answer = self.answer
        return (
            answer is not None
            and answer.terms.ran
            and answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        )

    def advance(self, stall_s: float, only_pending: bool = False) -> None:
        """Read the part of an answer that has arrived.

        An answer to an earlier request is skipped.

        :param only_pending: whether the request has no other exchange.
        """
        self.connection.set_read_timeout(stall_s)
        try:
            if self._incoming is None:
                self._read_head()
            if self._incoming is None:
                return
            self.connection.set_read_timeout(max(stall_s, BUFFERED_STALL_S))
            if only_pending or self._incoming.buffer_available():
                self.answer = self._incoming
        except errors.Refusal as refusal:
            self.failure = refusal
        except _FAILURES as exc:
            # A peer that drops idle connections sends nothing.
            is_lost = not isinstance(exc, answers.Malformed)
            if self._incoming is None and is_lost:
                self._pool.connection_lost(self.connection)
            self.failure = self._no_answer(exc)
            self.failure.__cause__ = exc

    def _no_answer(self, exc: Exception) -> errors.Refusal:
        """Return the refusal of a request that got no answer."""
        if isinstance(exc, answers.Malformed):
            return _malformed(exc)
        if self._head_only:
            # A guard sends nothing on before it has asked for the body.
            return errors.TargetRefused(f"the body wasn't sent: {exc!r}", 200)
        return errors.OutcomeUnknown(f"no answer: {exc!r}")

    def _read_head(self) -> None:
        call = self._call
        response = self.connection.read_head(call.method, self._head_only)
        if response.status == http.HTTPStatus.CONTINUE:
            self._head_only = False
            return
        answer = Answer(
            self._pool,
            self.connection,
            response,
            call.method,
            self._read_terms,
            call.buffers,
        )
        echoed = answer.terms.request_id
        self._pool.echoes_ids = self._pool.echoes_ids or echoed == call.id
        if echoed == call.id or self._may_omit_id(answer):
            self._incoming = answer
            # The peer doesn't get a body that it hasn't asked for.
            unsent = self._head_only
            self.connection.reusable = self.connection.reusable and not unsent
            return
        self._mismatched += 1
        unframed = answer.length is None and not response.chunked
        if unframed or self._mismatched > MAX_MISMATCHED:
            raise errors.AnswerMismatched(f"the answer is to {echoed}")
        response.skip(MAX_READ_BYTES)

    def _may_omit_id(self, answer: Answer) -> bool:
        """Tell whether an answer without a request id is accepted.

        A refusal may be sent before the peer has read the request's id.  On
        a reused connection it may be a repeated one of an earlier request.
        """
        if answer.terms.request_id:
            return False
        if not self._pool.echoes_ids:
            return True
        if http.HTTPStatus.OK <= answer.status < _FIRST_REDIRECT:
            return False
        repeated = self.connection.reused or self._mismatched > 0
        return self._pool.is_daemon or not repeated

    def send(self, headers: collections.abc.Iterable[serving.Header]) -> None:
        """Send the request, without its body if a daemon is to ask for it.

        A daemon asks for a larger body once it has admitted the request.
        """
        body = self._call.body
        self._head_only = self._pool.is_daemon and body.buffered is None
        self._body_sent = not self._head_only
        try:
            _send(self.connection, self._call, headers, self._head_only)
        except _FAILURES as exc:
            self._pool.connection_lost(self.connection)
            raise self._no_answer(exc) from exc

    def send_body(self) -> None:
        """Send the body that the peer has asked for."""
        self._body_sent = True
        try:
            _send_stream(
                self.connection,
                self._call,
                self._chunked,
                self._pool.is_daemon,
            )
        except _FAILURES as exc:
            raise errors.OutcomeUnknown(f"no answer: {exc!r}") from exc


def send_request(
    pool: _pool.Pool,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
    caller: socket.socket,
    read_terms: ReadTerms,
    hedge: Hedge | None = None,
    late: LateHedge | None = None,
) -> Answer:
    """Send a request and wait for the head of the answer.

    A request may have exchanges with several peers at once.  The first answer
    that can be forwarded to the caller ends the other exchanges.

    :param hedge: called periodically while the request is pending.
    :param late: called when it is due while the request is pending.
    :raises errors.TargetRefused: when no connection could be opened, so
        that nothing was sent.
    :raises errors.OutcomeUnknown: when the request was sent and no answer
        came; the subclass says why.
    :raises HedgeAnswered: when the caller has been answered from a hedged
        request.
    :raises Superseded: when a peer with an earlier exchange has answered.
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
        connection.set_deadline(call.due_s + MIN_STALL_S)
        connection.watch_caller(caller)
        # An earlier peer may have answered while the connection was opened
        # or the request waited for a slot.
        _poll_earlier(exchange, call)
        exchange.send(headers)
        while not exchange.ended:
            _await_answer(exchange, caller, call, hedge, late)
            if not (exchange.ended or exchange.awaited):
                exchange.send_body()
        if exchange.failure is not None:
            raise exchange.failure
        assert exchange.answer is not None, "report this: no answer"
        connection.set_read_timeout(_stall_s(call))
        return exchange.answer
    except BaseException:
        connection.close()
        raise
    finally:
        call.pending.remove(exchange)


def forward_answer(
    answer: Answer,
    request: serving.Request,
    extra: collections.abc.Iterable[serving.Header] = (),
    buffer_bytes: int = SMALL_ANSWER_BYTES,
) -> int:
    """Forward an answer to the caller, complete or visibly truncated.

    :param buffer_bytes: an answer up to this size is forwarded only once it
        is complete, so that a truncated one can still be replaced.
    :returns: the size of the body in bytes.
    :raises errors.AnswerTruncated: when the answer ended early; if nothing
        had been forwarded yet, the caller still gets a refusal.
    """
    headers = [*_call.end_to_end(answer.headers), *extra]
    if answer.bodiless:
        answer.read()
        content_length = answer.header("Content-Length")
        if content_length:
            headers.append(("Content-Length", content_length))
        request.start(answer.status, headers)
        request.finish()
        return 0
    length = answer.length
    chunks = answer.chunks()
    if length is not None and length > buffer_bytes:
        # The head is forwarded only once a part of the body has arrived.
        rest = itertools.chain((next(chunks, b""),), chunks)
        return _stream(answer, rest, request, headers, length)
    with answer.reserve() as reservation:
        prefix = _buffer(chunks, buffer_bytes, reservation)
        if prefix.complete:
            request.answer(answer.status, headers, bytes(prefix.body))
            return len(prefix.body)
        continued = _continued(prefix.body, chunks, reservation)
        return _stream(answer, continued, request, headers, length)


class _Prefix(typing.NamedTuple):
    body: bytearray
    complete: bool


def _continued(
    buffer: bytearray,
    chunks: collections.abc.Iterator[bytes],
    reservation: _buffers.Reservation,
) -> collections.abc.Iterator[bytes]:
    """Yield a buffered prefix in pieces, drop it, and yield the rest."""
    for start in range(0, len(buffer), _CHUNK_BYTES):
        yield bytes(buffer[start : start + _CHUNK_BYTES])
    buffer.clear()
    reservation.release()
    yield from chunks


def _buffer(
    chunks: collections.abc.Iterator[bytes],
    buffer_bytes: int,
    reservation: _buffers.Reservation,
) -> _Prefix:
    """Buffer chunks until the end, or until they exceed a size.

    The framing of each chunk but the first counts toward the size, as tiny
    chunks take time to read.
    """
    # A list of tiny chunks would take many times their size in memory.
    buffer = bytearray()
    for number, chunk in enumerate(chunks):
        buffer += chunk
        size = len(buffer) + number * serving.CHUNK_LINE_BYTES
        if size > buffer_bytes or not reservation.grow(len(buffer)):
            return _Prefix(buffer, complete=False)
    return _Prefix(buffer, complete=True)


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
    head_only: bool = False,
) -> None:
    """Send a request; stop if the peer answers before it is complete."""
    body = call.body
    framing: tuple[serving.Header, ...] = ()
    chunked = False
    if body.buffered is None:
        chunked = body.length is None
        framing = (("Transfer-Encoding", "chunked"),)
        if not chunked:
            framing = (("Content-Length", str(body.length)),)
        if head_only:
            framing += (("Expect", "100-continue"),)
    elif body.buffered or call.method in ("POST", "PUT", "PATCH"):
        framing = (("Content-Length", str(len(body.buffered))),)
    head = _head(call, (*headers, *framing))
    if body.buffered is not None:
        _transmit(connection, head + body.buffered, call)
        return
    if _transmit(connection, head, call) and not head_only:
        _send_stream(connection, call, chunked)


def _head(
    call: _call.Call, headers: collections.abc.Iterable[serving.Header]
) -> bytes:
    # The daemon's own server has validated the names and values.
    lines = [f"{call.method} {call.uri} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _send_stream(
    connection: _pool.Connection,
    call: _call.Call,
    chunked: bool,
    to_daemon: bool = False,
) -> None:
    """Send a body as it arrives; stop if the peer answers before its end.

    The connection then isn't reused, and what the peer takes for the rest of
    the body never comes.

    :param chunked: whether the head states no length of the body.
    """
    body = call.body
    try:
        with contextlib.closing(body.stream(connection)) as chunks:
            for chunk in chunks:
                if call.left_ms() <= 0:
                    raise errors.AnswerTimeout("the body goes on too long")
                if connection.answer_begun():
                    connection.reusable = False
                    return
                if chunked:
                    chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
                if not _transmit(connection, chunk, call):
                    return
    except serving.BodyInterrupted:
        connection.reusable = False
        return
    except serving.BodyTruncated as exc:
        if to_daemon and body.loadable:
            # Its guard sends nothing of such a body on before its end.
            raise _body.refusal_of(exc) from exc
        raise errors.OutcomeUnknown(f"the caller's body ended: {exc}") from exc
    if chunked:
        _transmit(connection, b"0\r\n\r\n", call)


def _transmit(
    connection: _pool.Connection, data: bytes, call: _call.Call
) -> bool:
    """Send bytes, in paced pieces if the uplink is shared.

    :returns: False when the peer answers before all bytes were sent.
    """
    uplink = connection.uplink
    pieces = (data,) if uplink is None else uplink.pieces(data)
    return all(_transmit_piece(connection, piece, call) for piece in pieces)


def _transmit_piece(
    connection: _pool.Connection,
    data: bytes | memoryview[typing.Any],
    call: _call.Call,
) -> bool:
    """Send bytes; False when the peer answers before all were sent.

    The connection then isn't reused: the peer would read the next request's
    bytes as the rest of this one.
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


def _malformed(exc: answers.Malformed) -> errors.AnswerMalformed:
    return errors.AnswerMalformed(
        f"the answer is malformed: {exc}", part=exc.part
    )


def _earlier(
    exchange: _Exchange, call: _call.Call
) -> dict[int, _call.Pending]:
    """Return the request's other open exchanges by socket descriptor."""
    return {
        pending.fileno(): pending
        for pending in call.pending
        if pending is not exchange and not pending.ended
    }


def _poll_earlier(exchange: _Exchange, call: _call.Call) -> None:
    """Read what peers with earlier exchanges have sent so far.

    :raises Superseded: when one of them has answered.
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
    late: LateHedge | None = None,
) -> None:
    """Wait until the peer answers, the caller disconnects, or time is up.

    Peers with earlier exchanges may answer in the meantime.

    :raises HedgeAnswered: when the caller has been answered from a hedged
        request.
    :raises Superseded: when a peer with an earlier exchange has answered.
    """
    earlier = _earlier(exchange, call)
    poll = select.poll()
    poll.register(caller, select.POLLIN | select.POLLRDHUP)
    for number in (exchange.fileno(), *earlier):
        poll.register(number, select.POLLIN)
    check_ms: float = FIRST_HEDGE_CHECK_MS
    while exchange.awaited:
        left_ms = call.left_ms()
        wait_ms = min(left_ms, check_ms if hedge else STOP_CHECK_MS)
        late_ms = clock.NEVER_S if late is None else late.due_in_ms()
        is_late = late_ms < wait_ms
        check_ms = check_ms - late_ms if is_late else HEDGE_CHECK_MS
        wait_ms = min(wait_ms, late_ms)
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
        if late is not None and is_late:
            if not ready and not late.due_in_ms() and late.send():
                raise HedgeAnswered
        elif not ready and hedge and hedge():
            raise HedgeAnswered
        for number in [n for n, each in earlier.items() if each.ended]:
            poll.unregister(number)
            if earlier.pop(number).served and not exchange.served:
                raise Superseded
        if caller.fileno() in ready:
            if serving.is_disconnected(caller):
                raise errors.CallerDisconnected("the caller hung up")
            # The caller has pipelined data; watch for a disconnect only.
            poll.modify(caller, select.POLLRDHUP)
