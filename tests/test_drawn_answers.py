"""Answers that are drawn at random, read by the grammar and by a client."""

from __future__ import annotations

import collections.abc
import re
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from standins import broken_answers
from tests import broken_fleet


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[broken_fleet.Fleet]:
    """Yield daemons whose targets give the answers that are drawn."""
    folder = tmp_path_factory.mktemp("drawn")
    with broken_fleet.running(folder, {}) as running:
        yield running


_BASES: typing.Final = [
    answer.replace(b"%(id)b", b"q")
    for answer in broken_answers.accepted().values()
]
_PIECES: typing.Final = (
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b" ",
    b"\t",
    b":",
    b",",
    b"0",
    b"5",
    b"\x0b",
    b"\xa0",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"X-Not-Executed: 1\r\n",
)


@st.composite
def _mutated(draw: st.DrawFn) -> bytes:
    """Draw an answer that departs from a whole one in a few places."""
    answer = draw(st.sampled_from(_BASES))
    for _ in range(draw(st.integers(1, 3))):
        at = draw(st.integers(0, len(answer)))
        size = draw(st.integers(0, 3))
        change = draw(st.sampled_from(("insert", "replace", "double", "line")))
        if change == "insert":
            piece = draw(st.sampled_from(_PIECES))
            answer = answer[:at] + piece + answer[at:]
        elif change == "replace":
            piece = draw(st.binary(max_size=size))
            answer = answer[:at] + piece + answer[at + size :]
        elif change == "double":
            answer = answer[: at + size] + answer[at:]
        else:
            lines = answer.split(b"\r\n")
            line = draw(st.sampled_from(lines))
            lines.insert(draw(st.integers(0, len(lines))), line)
            answer = b"\r\n".join(lines)
    return answer


_HEAD: typing.Final = re.compile(
    rb"HTTP/1[.](?P<minor>[0-9]) (?P<status>[1-5][0-9][0-9])"
    rb"(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
    rb"(?P<fields>(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:"
    rb"[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*)\r\n"
)
_CHUNKS: typing.Final = re.compile(
    rb"(?P<size>[0-9A-Fa-f]+)[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
)
_TRAILERS: typing.Final = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n"
)


def _read_strictly(data: bytes) -> tuple[int, dict[str, str], bytes] | None:
    """Return the status, the fields and the body of an answer, or None.

    This is the oracle: the grammar once more, on all bytes at once.
    """
    found = _HEAD.match(data)
    if found is None or found["status"] == b"101":
        return None
    fields: dict[str, list[str]] = {}
    for line in found["fields"].decode("latin-1").split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        fields.setdefault(name.lower(), []).append(value.strip(" \t"))
    lengths = fields.get("content-length", [])
    encodings = fields.get("transfer-encoding", [])
    if len(lengths) + len(encodings) > 1:
        return None
    if encodings and (
        encodings[0].lower() != "chunked" or found["minor"] == b"0"
    ):
        return None
    if lengths and not re.fullmatch("[0-9]{1,18}", lengths[0]):
        return None
    status, rest = int(found["status"]), data[found.end() :]
    if status < 200 or status == 204:
        if encodings or lengths and int(lengths[0]):
            return None
    if status < 200:
        return _read_strictly(rest)
    joined = {name: ", ".join(values) for name, values in fields.items()}
    if status in (204, 304):
        return status, joined, b""
    body = _read_chunks(rest) if encodings else rest
    if lengths:
        body = rest[: int(lengths[0])]
        if len(body) < int(lengths[0]):
            return None
    return None if body is None else (status, joined, body)


def _read_chunks(data: bytes) -> bytes | None:
    body = b""
    while found := _CHUNKS.match(data):
        size, data = int(found["size"], 16), data[found.end() :]
        if not size:
            return body if _TRAILERS.match(data) else None
        if data[size : size + 2] != b"\r\n":
            return None
        body, data = body + data[:size], data[size + 2 :]
    return None


# Guards against an answer that we read in another way than the grammar does.
@hypothesis.given(_mutated())
@hypothesis.settings(
    max_examples=400,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_client_gets_what_the_grammar_gives_or_no_answer(
    fleet: broken_fleet.Fleet, answer: bytes
) -> None:
    number = f"drawn-{next(broken_fleet.IDS)}"
    request_id = f"q{next(broken_fleet.IDS)}"
    fleet.named[number] = answer.replace(b": q\r\n", b": %(id)b\r\n")
    expected = _read_strictly(
        fleet.named[number].replace(b"%(id)b", request_id.encode())
    )
    client = fleet.client("a")
    reply = client.ask(f"/once/{number}/close", request_id)
    client.close()
    del fleet.named[number]
    if reply.headers.get("chiveroad-ran") == "unknown":
        return
    assert expected is not None, reply
    status, fields, body = expected
    if "chiveroad-code" in reply.headers:
        assert reply.headers["chiveroad-ran"] == "no"
        assert status == 421 or fields.get("x-not-executed"), reply
        return
    assert (reply.status, reply.body) == (status, body)
    for name, value in fields.items():
        if name not in _NOT_PASSED_ON:
            assert reply.headers.get(name) == value, name
    added = {"date", "server", "content-length", "connection", "keep-alive"}
    assert set(reply.headers) <= set(fields) | added | {"transfer-encoding"}


_NOT_PASSED_ON: typing.Final = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "x-not-executed",
    "date",
    "server",
    "te",
    "trailer",
    "upgrade",
}
