"""A request on its way through the filters, and its headers."""

from __future__ import annotations

import collections.abc
import dataclasses
import time
import typing

from chiveroad import config
from chiveroad import serving

MAX_HELD_BODY_BYTES: typing.Final = 64 * 1024
MAX_DEPTH: typing.Final = 64

PREFIX: typing.Final = "Chiveroad-"
SERVICE: typing.Final = "Chiveroad-Service"
KIND: typing.Final = "Chiveroad-Kind"
TEAM: typing.Final = "Chiveroad-Team"
TIMEOUT_MS: typing.Final = "Chiveroad-Timeout-Ms"
DEPTH: typing.Final = "Chiveroad-Depth"
REQUEST: typing.Final = "Chiveroad-Request"
LOAD: typing.Final = "Chiveroad-Load"
RETRY_AFTER_MS: typing.Final = "Chiveroad-Retry-After-Ms"
IDEMPOTENCY_KEY: typing.Final = "Idempotency-Key"

_HOP_BY_HOP: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)


class Body:
    """A request's body: held when small, else streamed once.

    ``replayable`` tells whether it can be sent again.
    """

    def __init__(self, request: serving.Request) -> None:
        self._request = request
        self._started = False
        self.length = request.content_length
        small = self.length is not None and self.length <= MAX_HELD_BODY_BYTES
        self.held: bytes | None = None
        if small:
            limit = MAX_HELD_BODY_BYTES
            self.held = request.read_body(limit) if self.length else b""

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent, again or for the first time."""
        return self.held is not None or not self._started

    def stream(self) -> collections.abc.Iterator[bytes]:
        """Yield the body as it arrives; this works once."""
        self._started = True
        yield from self._request.body()


@dataclasses.dataclass(slots=True)
class Call:
    """One request, matched to its route.

    ``deadline_s`` is in monotonic seconds.  ``depth`` counts the calls above
    this one.  ``key`` is the caller's idempotency key or empty.
    """

    id: str
    service: str
    kind_name: str
    kind: config.Kind
    team: str
    deadline_s: float
    depth: int
    key: str
    method: str
    target: str
    headers: list[serving.Header]
    body: Body

    def left_ms(self) -> float:
        """Return how much time is left."""
        return (self.deadline_s - time.monotonic()) * 1000

    def onward_headers(self) -> collections.abc.Iterator[serving.Header]:
        """Yield the headers that go with the request to its upstream."""
        yield from self.headers
        yield REQUEST, self.id
        yield TIMEOUT_MS, str(max(1, int(self.left_ms())))
        yield DEPTH, str(self.depth + 1)

    def guard_headers(self) -> collections.abc.Iterator[serving.Header]:
        """Yield the headers that go with the request to a guard."""
        yield from self.headers
        yield REQUEST, self.id
        yield TIMEOUT_MS, str(max(1, int(self.left_ms())))
        yield DEPTH, str(self.depth)
        yield SERVICE, self.service
        yield KIND, self.kind_name
        yield TEAM, self.team


def end_to_end(
    headers: collections.abc.Iterable[serving.Header],
) -> list[serving.Header]:
    """Return the headers that are meant for the far end.

    Hop-by-hop headers go, those named by ``Connection`` too, and our own.
    """
    listed = list(headers)
    dropped = set(_HOP_BY_HOP)
    for name, value in listed:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [
        (name, value)
        for name, value in listed
        if name.lower() not in dropped and not name.startswith(PREFIX)
    ]


def number(text: str, default: int) -> int:
    """Return a header's number, or the default where it is none."""
    return int(text) if text.isascii() and text.isdigit() else default
