"""The headers and heartbeats of the platform."""

from __future__ import annotations

import collections.abc
import http
import re
import typing
import urllib.parse

import msgspec

from chiveroad import customers
from chiveroad import decoding
from chiveroad import errors
from chiveroad.platform import _configuration
from chiveroad import serving
from chiveroad import wire

REQUEST_ID: typing.Final = "X-Request-Id"
DEADLINE_MS: typing.Final = "X-Deadline-Ms"
EXPECTED_ID: typing.Final = "X-Expected-Instance"
CALLER_SERVICE: typing.Final = "X-Caller-Service"
AUTHORIZATION: typing.Final = "Authorization"
KEY_SCHEME: typing.Final = "Token"
CUSTOMER: typing.Final = "X-Tenant"
SIGNATURE: typing.Final = "X-Server-Stamp"
NOT_EXECUTED: typing.Final = "X-Not-Executed"
LOAD: typing.Final = "X-Server-Load"
RATE_LIMIT: typing.Final = "Server-Limit"
"""Requests a second that the target takes from all daemons together."""

LEAVING: typing.Final = "Server-Leaving"

MIN_PACE: typing.Final = 1
MAX_PACE: typing.Final = 10_000
"""A target that is a hundred times slower than usual answers nothing within a
deadline, so a larger figure is a fault."""

MAX_HEARTBEAT_BYTES: typing.Final = 16 * 1024

_HEARTBEAT: typing.Final = "instances.heartbeat"
_LEAVE: typing.Final = "instances.deregister"
_REPLACED: typing.Final = frozenset(
    name.lower()
    for name in (REQUEST_ID, DEADLINE_MS, EXPECTED_ID, CALLER_SERVICE)
)
_CREDENTIALS: typing.Final = frozenset(
    name.lower() for name in (AUTHORIZATION, CUSTOMER)
)
_STATEMENTS: typing.Final = frozenset(
    name.lower() for name in (NOT_EXECUTED, LOAD, RATE_LIMIT, LEAVING)
)
_LOAD: typing.Final = re.compile(
    r"\s*[0-9]{1,9}(\s*,\s*[0-9]{1,9}){2,3}\s*", re.ASCII
)
"""Figures have at most nine digits, as ``int`` fails on over 4,300."""

_IDLE_TIMEOUT: typing.Final = re.compile(r"timeout=(\d+)")
_JSON_CONTENT_TYPE: typing.Final = ("Content-Type", "application/json")


_Seconds = typing.Annotated[
    float, msgspec.Meta(ge=-wire.MAX_COLD_S, le=wire.MAX_COLD_S)
]


class _Info(msgspec.Struct):
    """``version`` may be anything: no heartbeat is refused for it."""

    service: str
    slots: wire.Count
    version: typing.Any = ""


class _Status(msgspec.Struct):
    """``seq`` counts the heartbeats of one incarnation."""

    state: typing.Literal["ready", "draining"]
    seq: wire.Count
    cold_remaining_s: _Seconds = 0.0


class _Heartbeat(msgspec.Struct):
    """``born`` is the Unix millisecond of the target's start."""

    address: str
    info: _Info
    status: _Status
    born: wire.Count = 0


_decoder = msgspec.json.Decoder(_Heartbeat)


class Protocol(wire.Protocol):
    """The names and formats of the platform."""

    fractional_retry_after = True
    echoes_ids = True

    def __init__(self) -> None:
        self._reader = _configuration.Reader()

    def read_request(self, request: serving.Request) -> wire.RequestTerms:
        """Read the headers in which a caller describes its request."""
        return wire.RequestTerms(
            request_id=request.header(REQUEST_ID),
            timeout_ms=_parse_number(request.header(DEADLINE_MS)),
            key_digest=customers.digest_credential(
                request.header(AUTHORIZATION), KEY_SCHEME
            ),
        )

    def target_headers(
        self, terms: wire.TargetTerms
    ) -> collections.abc.Iterable[serving.Header]:
        """Return the headers that are added to a request to a target."""
        headers = [
            (REQUEST_ID, terms.request_id),
            (DEADLINE_MS, str(terms.left_ms)),
            (EXPECTED_ID, terms.target_id),
            (CALLER_SERVICE, terms.caller_service),
        ]
        if terms.customer:
            headers.append((CUSTOMER, terms.customer))
        return headers

    def is_replaced(self, name: str) -> bool:
        """Return whether ``target_headers`` replaces a caller's header."""
        return name in _REPLACED

    def is_credential(self, name: str) -> bool:
        """Return whether a header holds a key, or claims a customer's name."""
        return name in _CREDENTIALS

    def read_answer(
        self,
        status: int,
        header: collections.abc.Callable[[str, str], str],
    ) -> wire.AnswerTerms:
        """Read the headers that a target adds to an answer."""
        misdirected = status == http.HTTPStatus.MISDIRECTED_REQUEST
        success = 200 <= status < 300
        request_id = header(REQUEST_ID, "")
        signed = bool(header(SIGNATURE, "") and request_id)
        idle_timeout = _IDLE_TIMEOUT.search(header("Keep-Alive", ""))
        return wire.AnswerTerms(
            request_id=request_id,
            ran=not (misdirected or header(NOT_EXECUTED, "")),
            misdirected=misdirected,
            genuine=signed or not success,
            idle_timeout_s=(
                float(idle_timeout.group(1)) if idle_timeout else 0.0
            ),
            load=_parse_load(header(LOAD, "")),
            rate_limit_per_s=wire.parse_rate_limit(header(RATE_LIMIT, "")),
            leaving=header(LEAVING, "") == "1",
        )

    def is_statement(self, name: str) -> bool:
        """Return whether a header is a target's statement to its daemon."""
        return name in _STATEMENTS

    def read_heartbeat(
        self, request: serving.Request
    ) -> wire.Heartbeat | wire.Leave:
        """Read a heartbeat of a target."""
        query = urllib.parse.parse_qs(request.uri.partition("?")[2])
        call = query.get("call", [""])[0]
        target_id = query.get("of", [""])[0]
        if request.method != "POST" or call not in (_HEARTBEAT, _LEAVE):
            raise errors.NoRoute("no such call")
        if not re.match(wire.TARGET_ID, target_id):
            raise errors.BadRequest("a heartbeat without a valid id")
        body = request.read_body(MAX_HEARTBEAT_BYTES)
        if call == _LEAVE:
            return wire.Leave(target_id)
        try:
            heartbeat = decoding.decode(_decoder, body)
        except msgspec.DecodeError as exc:
            raise errors.BadRequest(f"unreadable heartbeat: {exc}") from exc
        return wire.Heartbeat(
            target_id=target_id,
            service=heartbeat.info.service,
            address=heartbeat.address,
            state=wire.TargetState(heartbeat.status.state),
            sequence=heartbeat.status.seq,
            started_at_ms=heartbeat.born,
            slots=heartbeat.info.slots,
            cold_ms=max(0, int(heartbeat.status.cold_remaining_s * 1000)),
            software_version=wire.parse_software_version(
                heartbeat.info.version
            ),
        )

    def heartbeat_answer(self) -> tuple[serving.Header, bytes]:
        """Return the content type and the body of a heartbeat's answer."""
        return _JSON_CONTENT_TYPE, b"{}"

    def read_version(self, spec: msgspec.Raw) -> wire.AcceptedVersion:
        """Read a configuration that the platform's operator has written."""
        return self._reader.read(spec)


def _parse_load(text: str) -> wire.Load | None:
    """Parse ``running,waiting,slots`` or ``running,waiting,slots,pace``.

    A statement with any figure out of range is ignored as a whole.

    >>> _parse_load("2,0,6,250")
    Load(running=2, waiting=0, slots=6, pace=250)
    """
    if not _LOAD.fullmatch(text):
        return None
    running, waiting, slots, *others = (int(part) for part in text.split(","))
    if not others:
        return wire.Load(running, waiting, slots)
    [pace] = others
    if not MIN_PACE <= pace <= MAX_PACE:
        return None
    return wire.Load(running, waiting, slots, pace)


def _parse_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
