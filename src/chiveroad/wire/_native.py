"""Chiveroad's own protocol: ``Chiveroad-`` headers and JSON bodies."""

from __future__ import annotations

import collections.abc
import http
import typing

import msgspec

from chiveroad import customers
from chiveroad import decoding
from chiveroad import errors
from chiveroad import serving
from chiveroad.wire import _protocol

REQUEST_HEADER: typing.Final = "Chiveroad-Request"
TIMEOUT_MS_HEADER: typing.Final = "Chiveroad-Timeout-Ms"
DEPTH_HEADER: typing.Final = "Chiveroad-Depth"
TARGET_HEADER: typing.Final = "Chiveroad-Upstream"
CALLER_HEADER: typing.Final = "Chiveroad-Caller"
CUSTOMER_HEADER: typing.Final = "Chiveroad-Customer"
AUTHORIZATION_HEADER: typing.Final = "Authorization"
KEY_SCHEME: typing.Final = "Bearer"
RATE_LIMIT_HEADER: typing.Final = "Chiveroad-Rate-Limit"
LEAVING_HEADER: typing.Final = "Chiveroad-Leaving"
HEARTBEAT_PATH: typing.Final = "/upstream/v1/heartbeat"
MAX_HEARTBEAT_BYTES: typing.Final = 16 * 1024

_JSON_CONTENT_TYPE: typing.Final = ("Content-Type", "application/json")


_TargetId = typing.Annotated[str, msgspec.Meta(pattern=_protocol.TARGET_ID)]
_ColdMs = typing.Annotated[
    int, msgspec.Meta(ge=0, le=1_000 * _protocol.MAX_COLD_S)
]


class _HeartbeatBody(msgspec.Struct, frozen=True):
    """The body of a heartbeat; ``state`` may also be ``gone``.

    ``software_version`` may be anything: no heartbeat is refused for it.
    """

    target: _TargetId = msgspec.field(name="upstream")
    service: str
    address: str
    state: typing.Literal["ready", "draining", "gone"]
    sequence: _protocol.Count
    started_at_ms: _protocol.Count
    slots: _protocol.Count = 0
    cold_ms: _ColdMs = 0
    software_version: typing.Any = ""


class _VersionBody(msgspec.Struct, frozen=True):
    """A configuration version in the store: its number and its items."""

    number: int
    items: dict[str, str]


_heartbeat_decoder = msgspec.json.Decoder(_HeartbeatBody)
_version_decoder = msgspec.json.Decoder(_VersionBody)


class Native(_protocol.Protocol):
    """The names and formats that ``docs/UPSTREAM.md`` describes."""

    states_depth = True

    def read_request(self, request: serving.Request) -> _protocol.RequestTerms:
        """Read the headers in which a caller describes its request."""
        return _protocol.RequestTerms(
            request_id="",
            timeout_ms=parse_number(request.header(TIMEOUT_MS_HEADER)),
            depth=parse_number(request.header(DEPTH_HEADER)),
            key_digest=customers.digest_credential(
                request.header(AUTHORIZATION_HEADER), KEY_SCHEME
            ),
        )

    def target_headers(
        self, terms: _protocol.TargetTerms
    ) -> collections.abc.Iterable[serving.Header]:
        """Return the headers that are added to a request to a target."""
        headers = [
            (REQUEST_HEADER, terms.request_id),
            (TIMEOUT_MS_HEADER, str(terms.left_ms)),
            (DEPTH_HEADER, str(terms.depth)),
        ]
        if terms.target_id:
            headers.append((TARGET_HEADER, terms.target_id))
        if terms.caller_service:
            headers.append((CALLER_HEADER, terms.caller_service))
        if terms.customer:
            headers.append((CUSTOMER_HEADER, terms.customer))
        return headers

    def is_replaced(self, name: str) -> bool:
        """Return whether to drop a caller's header: all of chiveroad's are."""
        return name.startswith("chiveroad-")

    def is_credential(self, name: str) -> bool:
        """Return whether a header holds a customer's key."""
        return name == AUTHORIZATION_HEADER.lower()

    def read_answer(
        self,
        status: int,
        header: collections.abc.Callable[[str, str], str],
    ) -> _protocol.AnswerTerms:
        """Read the headers that a target adds to an answer."""
        return _protocol.AnswerTerms(
            request_id=header(REQUEST_HEADER, ""),
            ran=header(serving.RAN_HEADER, "") != "no",
            misdirected=status == http.HTTPStatus.MISDIRECTED_REQUEST,
            retry_after_ms=1000 * parse_number(header("Retry-After", "")),
            rate_limit_per_s=_protocol.parse_rate_limit(
                header(RATE_LIMIT_HEADER, "")
            ),
            leaving=header(LEAVING_HEADER, "") == "1",
        )

    def is_statement(self, name: str) -> bool:
        """Return whether a header is a target's statement to its daemon."""
        return name.startswith("chiveroad-")

    def read_heartbeat(
        self, request: serving.Request
    ) -> _protocol.Heartbeat | _protocol.Leave:
        """Read a heartbeat of a target."""
        if request.method != "POST" or request.path != HEARTBEAT_PATH:
            raise errors.NoRoute(f"no page {request.path}")
        try:
            body = decoding.decode(
                _heartbeat_decoder, request.read_body(MAX_HEARTBEAT_BYTES)
            )
        except msgspec.DecodeError as exc:
            raise errors.BadRequest(f"unreadable heartbeat: {exc}") from exc
        if body.state == "gone":
            return _protocol.Leave(body.target)
        return _protocol.Heartbeat(
            body.target,
            body.service,
            body.address,
            _protocol.TargetState(body.state),
            body.sequence,
            body.started_at_ms,
            body.slots,
            body.cold_ms,
            _protocol.parse_software_version(body.software_version),
        )

    def heartbeat_answer(self) -> tuple[serving.Header, bytes]:
        """Return the content type and the body of a heartbeat's answer."""
        return _JSON_CONTENT_TYPE, b"{}"

    def read_version(self, spec: msgspec.Raw) -> _protocol.AcceptedVersion:
        """Read a configuration version that was accepted elsewhere."""
        try:
            body = decoding.decode(_version_decoder, spec)
        except msgspec.DecodeError as exc:
            raise errors.BadMessage(f"unreadable version: {exc}") from exc
        return _protocol.AcceptedVersion(body.number, body.items)


def parse_number(text: str) -> int:
    """Return the number in a header, or 0 if there is none."""
    return int(text) if text.isascii() and text.isdigit() else 0
