"""Sending a request to a peer and passing its answer on.

The same exchange serves an entry that asks a guard and a guard that asks its
upstream.  What went wrong is told apart by one question: may the peer have
run the request?
"""

from __future__ import annotations

import collections.abc
import http.client
import select
import socket
import typing

import urllib3.exceptions

from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _call
from chiveroad.traffic import _pool

SMALL_ANSWER_BYTES: typing.Final = 64 * 1024
STALL_S: typing.Final = 10.0
MIN_STALL_S: typing.Final = 0.05

_CHUNK_BYTES: typing.Final = 64 * 1024
_BODILESS: typing.Final = (204, 304)
_FAILURES: typing.Final = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class Answer:
    """A peer's answer, its head read and its body still to come."""

    def __init__(
        self,
        pool: _pool.Pool,
        connection: _pool.Connection,
        response: http.client.HTTPResponse,
        method: str,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._response = response
        self.status = response.status
        self.headers: list[serving.Header] = list(response.headers.items())
        self.bodiless = method == "HEAD" or response.status in _BODILESS
        if not self.bodiless and not self._framed():
            self.close()
            raise errors.AnswerCut("the answer's end can't be known")

    def header(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self._response.headers.get(name, default)

    @property
    def length(self) -> int | None:
        """Return the body's length in bytes, or None where it is chunked."""
        return None if self._response.chunked else self._response.length

    def read(self) -> bytes:
        """Read the whole body and give the connection back.

        :raises errors.AnswerCut: when it ends early.
        """
        try:
            body = self._response.read()
        except _FAILURES as exc:
            self.close()
            raise errors.AnswerCut(f"the answer was cut: {exc}") from exc
        self._release()
        return body

    def chunks(self) -> collections.abc.Iterable[bytes]:
        """Yield the body, and give the connection back after its end.

        :raises errors.AnswerCut: when it ends early.
        """
        try:
            while chunk := self._response.read1(_CHUNK_BYTES):
                yield chunk
        except _FAILURES as exc:
            self.close()
            raise errors.AnswerCut(f"the answer was cut: {exc}") from exc
        if not self._response.chunked and self._response.length:
            self.close()
            raise errors.AnswerCut("the answer is shorter than said")
        self._release()

    def close(self) -> None:
        """Close the connection: it can't be used again."""
        self._response.close()
        self._connection.close()

    def _framed(self) -> bool:
        # A response that ends with its connection can't be told from a cut.
        return self._response.chunked or self._response.length is not None

    def _release(self) -> None:
        if self._response.will_close:
            self.close()
            return
        self._response.close()
        self._pool.give_back(self._connection)


def ask(
    pool: _pool.Pool,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
    caller: socket.socket,
) -> Answer:
    """Send a request and wait for the head of the answer.

    :raises errors.UpstreamRefused: when no connection could be opened, so
        that nothing was sent.
    :raises errors.OutcomeUnknown: when it was sent and no answer came; the
        subclass says why.
    """
    if call.left_ms() <= 0:
        raise errors.DeadlineExceeded("the deadline passed before sending")
    if _hung_up(caller):
        raise errors.CallerGoneEarly("the caller hung up before sending")
    try:
        connection = pool.take()
    except _FAILURES as exc:
        raise errors.UpstreamRefused(f"no connection: {exc}", 200) from exc
    try:
        _send_or_hear(connection, call, headers)
        _await_answer(connection, caller, call)
        response = http.client.HTTPConnection.getresponse(connection)
    except errors.Refusal:
        connection.close()
        raise
    except _FAILURES as exc:
        connection.close()
        raise errors.OutcomeUnknown(f"no answer: {exc!r}") from exc
    answer = Answer(pool, connection, response, call.method)
    echoed = answer.header(_call.REQUEST)
    if echoed and echoed != call.id:
        answer.close()
        raise errors.AnswerCrossed(f"the answer is to {echoed}")
    return answer


def pass_on(
    answer: Answer,
    request: serving.Request,
    extra: collections.abc.Iterable[serving.Header] = (),
) -> int:
    """Pass an answer on to the caller, whole or visibly cut.

    :returns: the body's bytes.
    :raises errors.AnswerCut: when the answer ended early; where
        nothing had been passed on yet, the caller still gets a refusal.
    """
    headers = [*_call.end_to_end(answer.headers), *extra]
    length = answer.length
    if answer.bodiless:
        answer.read()
        stated = answer.header("Content-Length")
        if stated:
            headers.append(("Content-Length", stated))
        request.start(answer.status, headers)
        request.finish()
        return 0
    if length is not None and length <= SMALL_ANSWER_BYTES:
        body = answer.read()
        request.answer(answer.status, headers, body)
        return len(body)
    return _stream(answer, request, headers, length)


def _stream(
    answer: Answer,
    request: serving.Request,
    headers: list[serving.Header],
    length: int | None,
) -> int:
    if length is not None:
        headers.append(("Content-Length", str(length)))
    request.start(answer.status, headers)
    try:
        for chunk in answer.chunks():
            request.send(chunk)
    except BaseException:
        answer.close()
        request.abort()
        raise
    request.finish()
    return request.bytes_sent


def _send_or_hear(
    connection: _pool.Connection,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
) -> None:
    """Send a request, unless the peer answers before it has all of it."""
    try:
        _send(connection, call, headers)
    except OSError:
        if connection.sock is None or not _readable(connection.sock):
            raise


def _readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def _send(
    connection: _pool.Connection,
    call: _call.Call,
    headers: collections.abc.Iterable[serving.Header],
) -> None:
    assert connection.sock is not None, "report this: unopened connection"
    connection.sock.settimeout(max(0.001, call.left_ms() / 1000))
    connection.hold()
    connection.putrequest(
        call.method, call.target, skip_host=True, skip_accept_encoding=True
    )
    for name, value in headers:
        connection.putheader(name, value)
    body = call.body
    if body.held is not None:
        if body.held or call.method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(body.held)))
        connection.endheaders()
        connection.send(body.held)
        connection.release()
        return
    _send_stream(connection, body)


def _send_stream(connection: _pool.Connection, body: _call.Body) -> None:
    chunked = body.length is None
    if chunked:
        connection.putheader("Transfer-Encoding", "chunked")
    else:
        connection.putheader("Content-Length", str(body.length))
    connection.endheaders()
    connection.release()
    try:
        for chunk in body.stream():
            if chunked:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            connection.send(chunk)
    except serving.BodyCut as exc:
        raise errors.OutcomeUnknown(f"the caller's body ended: {exc}") from exc
    if chunked:
        connection.send(b"0\r\n\r\n")


def _await_answer(
    connection: _pool.Connection, caller: socket.socket, call: _call.Call
) -> None:
    """Wait until the peer answers, the caller hangs up, or time is over."""
    assert connection.sock is not None, "report this: unopened connection"
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    poll.register(caller, select.POLLIN | select.POLLRDHUP)
    while True:
        left_ms = call.left_ms()
        ready = dict(poll.poll(max(0, left_ms)))
        if connection.sock.fileno() in ready:
            stall_s = max(MIN_STALL_S, min(STALL_S, left_ms / 1000))
            connection.sock.settimeout(stall_s)
            return
        if not ready and call.left_ms() <= 0:
            raise errors.AnswerTimeout("no answer before the deadline")
        if caller.fileno() in ready:
            if _hung_up(caller):
                raise errors.CallerGone("the caller hung up")
            # The caller has sent more already; only its hang-up matters.
            poll.modify(caller, select.POLLRDHUP)


def _hung_up(caller: socket.socket) -> bool:
    # With a timeout set, the socket would wait for data whatever the flags.
    if not _readable(caller):
        return False
    try:
        return caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
