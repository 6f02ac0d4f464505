"""Broken answers of a target in trouble, and a target that gives them.

The path of a request says how it is answered: ``/read/whole/keep`` gets a
whole answer on a connection that stays open, ``/read/17/close`` the answer
named 17 on a connection that is then closed, and ``/once/17/early`` the same
before the request's body has been read.
"""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import dataclasses
import re
import socket
import threading
import typing

WHOLE: typing.Final = "whole"
BROKEN: typing.Final = "broken"
BODY: typing.Final = b"hello world"
MARK: typing.Final = "X-Mark"
"""A header of each answer; nothing else that clients get has it."""

_LENGTH: typing.Final = b"Content-Length: 11"
_CHUNKED: typing.Final = b"Transfer-Encoding: chunked"
_IN_CHUNKS: typing.Final = b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
_TOKEN_EXCEPTIONS: typing.Final = b'"(),/;<=>?@[\\]{}'

_HEADERS: typing.Final = (
    b"X-Request-Id: %(id)b\r\nX-Server-Stamp: s\r\nX-Mark: 1\r\n"
)
STATEMENTS: typing.Final = (
    b"Server-Limit: 0.01\r\nServer-Leaving: 1\r\nX-Server-Load: 9,9,9\r\n"
)
"""What would keep further requests from a target that is believed."""

STARTS: typing.Final = {
    "success": b"HTTP/1.1 200 OK\r\n" + _HEADERS,
    "failure": b"HTTP/1.1 500 Internal Server Error\r\n" + _HEADERS,
    "refusal": (
        b"HTTP/1.1 503 Service Unavailable\r\n"
        + _HEADERS
        + b"X-Not-Executed: 1\r\nRetry-After: 9\r\n"
    ),
}
"""The head up to the line that is broken, of answers that succeed, fail, and
state that the request wasn't run."""

SPOILT_LENGTHS: typing.Final = {
    "two lengths, shorter first": b"Content-Length: 5\r\n" + _LENGTH,
    "two lengths, longer first": _LENGTH + b"\r\nContent-Length: 5",
    "the same length twice": _LENGTH + b"\r\n" + _LENGTH,
    "list of two lengths": b"Content-Length: 5, 11",
    "list of equal lengths": b"Content-Length: 11, 11",
    "empty": b"Content-Length:",
    "blank": b"Content-Length:  ",
    "letter after": b"Content-Length: 11x",
    "letter before": b"Content-Length: x11",
    "word": b"Content-Length: eleven",
    "minus": b"Content-Length: -11",
    "plus": b"Content-Length: +11",
    "blank within": b"Content-Length: 1 1",
    "hexadecimal": b"Content-Length: 0xb",
    "fraction": b"Content-Length: 11.0",
    "exponent": b"Content-Length: 11e0",
    "underscore": b"Content-Length: 1_1",
    "quoted": b'Content-Length: "11"',
    "comma after": b"Content-Length: 11,",
    "semicolon after": b"Content-Length: 11;",
    "superscript": b"Content-Length: 1\xb9",
    "Arabic digits": "Content-Length: ١١".encode(),
    "vertical tab before": b"Content-Length: \x0b11",
    "form feed after": b"Content-Length: 11\x0c",
    "null after": b"Content-Length: 11\0",
    "carriage return after": b"Content-Length: 11\r",
    "no-break space before": b"Content-Length:\xa011",
    "4,400 digits": b"Content-Length: " + b"0" * 4_398 + b"11",
    "over 63 bits": b"Content-Length: 9223372036854775808",
    "length, then chunks": _LENGTH + b"\r\n" + _CHUNKED,
    "chunks, then length": _CHUNKED + b"\r\n" + _LENGTH,
    "length that is none, beside chunks": b"Content-Length: x\r\n" + _CHUNKED,
    "chunked twice": _CHUNKED + b"\r\n" + _CHUNKED,
    "chunked in a list twice": b"Transfer-Encoding: chunked, chunked",
    "compressed chunks": b"Transfer-Encoding: gzip, chunked",
    "chunked, then compressed": _CHUNKED + b"\r\nTransfer-Encoding: gzip",
    "another encoding": b"Transfer-Encoding: gzip",
    "identity": b"Transfer-Encoding: identity",
    "identity beside a length": b"Transfer-Encoding: identity\r\n" + _LENGTH,
    "empty encoding": b"Transfer-Encoding:",
    "empty encoding beside a length": b"Transfer-Encoding:\r\n" + _LENGTH,
    "a letter is missing": b"Transfer-Encoding: chunke",
    "a letter too many": b"Transfer-Encoding: chunkedd",
    "parameter": b"Transfer-Encoding: chunked;x=1",
    "comma before": b"Transfer-Encoding: ,chunked",
    "vertical tab before chunked": b"Transfer-Encoding: \x0bchunked",
    "quoted encoding": b'Transfer-Encoding: "chunked"',
}
NO_FIELDS: typing.Final = {
    "word": b"nonsense",
    "blank": b" ",
    "no colon": b"Content-Length 11",
    "equals sign": b"Content-Length=11",
    "colon alone": b":",
    "no name": b": 11",
    "folded": b" folded",
    "folded with a tab": b"\tfolded",
    "folded field": b" X-Other: 1",
    "second status line": b"HTTP/1.1 200 OK",
    "markup": b"<html>",
    "bytes": bytes(range(0x80, 0xA0)),
    "null": b"\0",
    "carriage return": b"\r",
    "carriage return within": b"X-Other: a\rContent-Length: 5",
    "carriage return at the end": b"X-Other: a\r",
    "line feed within": b"X-Other: a\nContent-Length: 5",
    "null within": b"X-Other: a\0b",
    "escape within": b"X-Other: a\x1bb",
    "delete within": b"X-Other: a\x7fb",
    "vertical tab at the end": b"X-Other: a\x0b",
}
"""Lines that are no field, for any reason but the name's characters."""

BROKEN_NAMES: typing.Final = {
    "blank before the colon": b"Content-Length : 11",
    "tab before the colon": b"Content-Length\t: 11",
    "blank before": b" Content-Length: 11",
    "blank within": b"Content Length: 11",
    "two words": b"X Other: 1",
    **{
        f"control byte {byte:#04x} {place}": name % bytes([byte])
        for byte in (*range(0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F)
        for place, name in (
            ("within", b"X-%bOther: 1"),
            ("in the length", b"Content%bLength: 11"),
        )
    },
    "carriage return within": b"X-\rOther: 1",
    **{
        f"{chr(byte)} within": b"X%bOther: 1" % bytes([byte])
        for byte in _TOKEN_EXCEPTIONS
    },
    "Latin letter": b"X-\xe9: 1",
    "no-break space": b"X-Other\xa0: 1",
}
MALFORMED_LINES: typing.Final = tuple(
    line
    for lines in (SPOILT_LENGTHS, NO_FIELDS, BROKEN_NAMES)
    for line in lines.values()
)
"""Each of these makes a head malformed that states no length."""

STATUS_LINES: typing.Final = {
    "zeros": b"HTTP/1.1 000 OK",
    "zeros without a reason": b"HTTP/1.1 000",
    "one digit": b"HTTP/1.1 0 OK",
    "below 100": b"HTTP/1.1 099 OK",
    "600": b"HTTP/1.1 600 OK",
    "999": b"HTTP/1.1 999 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "letters": b"HTTP/1.1 2OO OK",
    "minus": b"HTTP/1.1 -20 OK",
    "no status": b"HTTP/1.1 OK",
    "null in the reason": b"HTTP/1.1 200 O\0K",
    "escape in the reason": b"HTTP/1.1 200 O\x1bK",
}
SPOILT_CHUNKS: typing.Final = {
    "size of zero too early": b"0\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
    "trailer that is no field": b"b\r\nhello world\r\n0\r\nnonsense\r\n\r\n",
    "blank in a trailer": b"b\r\nhello world\r\n0\r\nX Other: 1\r\n\r\n",
    "null in a trailer": b"b\r\nhello world\r\n0\r\nX-Other: \0\r\n\r\n",
    "folded trailer": b"b\r\nhello world\r\n0\r\nX-A: 1\r\n b\r\n\r\n",
    "size that is no number": b"b\r\nhello world\r\nzero\r\n\r\n",
    "negative size": b"-b\r\nhello world\r\n0\r\n\r\n",
    "chunk that is too long": b"5\r\nhello world\r\n0\r\n\r\n",
}
CUT_CHUNKS: typing.Final = {
    "cut in a trailer": b"b\r\nhello world\r\n0\r\nX-Oth",
    "cut after the last chunk": b"b\r\nhello world\r\n0\r\n",
}
WITHOUT_BODY: typing.Final = {
    "204 with a length": (b"204 No Content", _LENGTH),
    "204 in chunks": (b"204 No Content", _CHUNKED),
    "204 with a length that is none": (
        b"204 No Content",
        b"Content-Length: x",
    ),
    "304 with a length that is none": (
        b"304 Not Modified",
        b"Content-Length: x",
    ),
    "304 with two lengths": (
        b"304 Not Modified",
        _LENGTH + b"\r\nContent-Length: 5",
    ),
    "304 with another encoding": (
        b"304 Not Modified",
        b"Transfer-Encoding: gzip",
    ),
}
BEFORE_IT: typing.Final = {
    "interim line that is no field": (
        b"HTTP/1.1 103 Early Hints\r\nnonsense\r\n\r\n"
    ),
    "interim name with a blank": (
        b"HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n"
    ),
    "interim value with a null": (
        b"HTTP/1.1 100 Continue\r\nLink: \0\r\n\r\n"
    ),
    "interim status 000": b"HTTP/1.1 000 Early Hints\r\n\r\n",
    "interim with a length": (
        b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
    ),
}
ACCEPTED: typing.Final = {
    "no blank": b"Content-Length:11",
    "other case": b"cONTENT-lENGTH: 11",
    "blanks around": b"Content-Length: \t11\t ",
    "leading zero": b"Content-Length: 011",
    "chunks in other case": b"tRANSFER-eNCODING: Chunked",
    "empty value": b"X-Other:\r\n" + _LENGTH,
    "tab within a value": b"X-Other: a\tb\r\n" + _LENGTH,
    "Latin letter in a value": b"X-Other: \xe9\r\n" + _LENGTH,
    "all characters of a name": b"!#$%&'*+.^_`|~09azAZ-: 1\r\n" + _LENGTH,
    "no length": b"X-Other: 1",
}
"""What follows ``STARTS`` in answers that are whole; the last one ends with
its connection."""


def answers(start: bytes) -> dict[str, dict[str, bytes]]:
    """Return broken answers by what is broken in them and by name.

    :param start: one of ``STARTS``.
    """
    status_line, _, _ = start.partition(b"\r\n")
    chunked = start + _CHUNKED + b"\r\n\r\n"
    start += STATEMENTS
    whole = start + _LENGTH + b"\r\n\r\n" + BODY
    return {
        "length": {n: _answer(start, c) for n, c in SPOILT_LENGTHS.items()},
        "line": {
            f"{name}{place}": _answer(start, line)
            for name, broken in NO_FIELDS.items()
            for place, line in (
                ("", broken + b"\r\n" + _LENGTH),
                (", last", _LENGTH + b"\r\n" + broken),
            )
        },
        "name": {
            name: _answer(start, broken + b"\r\n" + _LENGTH)
            for name, broken in BROKEN_NAMES.items()
        },
        "status": {
            name: whole.replace(status_line, line, 1)
            for name, line in STATUS_LINES.items()
        },
        "chunks": {
            name: chunked + sent for name, sent in SPOILT_CHUNKS.items()
        },
        "cut": {name: chunked + sent for name, sent in CUT_CHUNKS.items()},
        "no body": {
            name: start.replace(status_line, b"HTTP/1.1 " + status)
            + lines
            + b"\r\n\r\n"
            for name, (status, lines) in WITHOUT_BODY.items()
        },
        "interim": {name: sent + whole for name, sent in BEFORE_IT.items()},
    }


def accepted() -> dict[str, bytes]:
    """Return answers that are whole by name."""
    start = STARTS["success"]
    found = {name: _answer(start, lines) for name, lines in ACCEPTED.items()}
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    chunked = start + _CHUNKED + b"\r\n\r\n"
    found["after hints"] = hints + _answer(start, _LENGTH)
    found["trailers"] = chunked + (
        b"05;x=y\r\nhello\r\n006\r\n world\r\n0\r\nX-Other: a\r\nX-B:\r\n\r\n"
    )
    return found


def _answer(start: bytes, lines: bytes) -> bytes:
    body = _IN_CHUNKS if b"hunke" in lines else BODY
    return start + lines + b"\r\n\r\n" + body


class Connection:
    """One connection of a target, and the ids of its requests in order."""

    def __init__(self) -> None:
        self.ids: list[str] = []


@dataclasses.dataclass
class Arrivals:
    """The requests that have reached some targets.

    ``by_id`` holds the connection of each run of a request.  With
    ``broken_once`` only the first run of a request gets a broken answer.
    """

    broken_once: bool = False
    by_id: dict[str, list[Connection]] = dataclasses.field(
        default_factory=dict
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def add(self, request_id: str, connection: Connection) -> bool:
        """Record a run; return whether it is the request's first one."""
        with self.lock:
            connection.ids.append(request_id)
            runs = self.by_id.setdefault(request_id, [])
            runs.append(connection)
            return len(runs) == 1


_HEAD: typing.Final = re.compile(
    rb"(?P<method>[A-Z]+) (?P<path>\S+) HTTP/1\.1\r\n(?P<lines>.*?)\r\n\r\n",
    re.DOTALL,
)
_ID: typing.Final = re.compile(rb"(?i)^X-Request-Id: *(\S+)", re.MULTILINE)
_SIZE: typing.Final = re.compile(rb"(?i)^Content-Length: *(\d+)", re.MULTILINE)


class Target:
    """A target that gives the answers that the paths of requests name.

    :param named: the answers by name; ``WHOLE`` and ``BROKEN`` are added.
        Further ones may be added to them later.
    """

    def __init__(
        self,
        named: dict[str, bytes],
        arrivals: Arrivals,
    ) -> None:
        whole = _answer(STARTS["success"], _LENGTH)
        broken = whole.replace(b"200 OK", b"000 OK")
        self._named = collections.ChainMap(
            {WHOLE: whole, BROKEN: broken}, named
        )
        self._arrivals = arrivals
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted_socket, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(accepted_socket,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        connection = Connection()
        received = b""
        with sock, contextlib.suppress(OSError):
            while True:
                head = _HEAD.match(received)
                end_bytes = _end_bytes(head)
                if head is None or len(received) < end_bytes:
                    data = sock.recv(65_536)
                    if not data:
                        return
                    received += data
                    continue
                answer, ending = self._answer_to(head, connection)
                sock.sendall(answer)
                if ending == "close":
                    return
                while ending == "early" and sock.recv(65_536):
                    """The rest of the body is discarded."""
                received = received[end_bytes:]

    def _answer_to(
        self, head: re.Match[bytes], connection: Connection
    ) -> tuple[bytes, str]:
        """Return an answer, and what to do after it."""
        _, _, name, ending = head["path"].decode("latin-1").split("/")
        found = _ID.search(head["lines"])
        request_id = found[1] if found else b""
        is_first = self._arrivals.add(request_id.decode(), connection)
        if self._arrivals.broken_once and not is_first:
            name = WHOLE
        answer = self._named[name].replace(b"%(id)b", request_id)
        return answer, ending


def _end_bytes(head: re.Match[bytes] | None) -> int:
    """Return how many bytes of a request to read before its answer."""
    if head is None:
        return 0
    size = _SIZE.search(head["lines"])
    if size is None or head["path"].endswith(b"/early"):
        return head.end()
    return head.end() + int(size[1])
