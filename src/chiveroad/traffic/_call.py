"""A request as the entry and the guard process it, and its headers."""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import time
import typing

from chiveroad import clock
from chiveroad import config
from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _body
from chiveroad.traffic import _buffers
from chiveroad.traffic import _failover
from chiveroad.traffic import _target_ends
from chiveroad import wire

MAX_DEPTH: typing.Final = 64

HOP_MARGIN_MS: typing.Final = 10
"""How much earlier a request's deadline is at the guard than at the entry, so
that the guard's answer, which says whether the request ran, arrives in time.
"""

REMOTE_HOP_MARGIN_MS: typing.Final = 35
"""The same for a guard in another region: a refusal that it sends at its
deadline takes 12 ms, and was late otherwise, so that the caller was told that
the request may have run."""

PREFIX: typing.Final = "Chiveroad-"
"""The prefix, in any case, of the headers that daemons send each other."""

SERVICE: typing.Final = "Chiveroad-Service"
KIND: typing.Final = "Chiveroad-Kind"
TEAM: typing.Final = "Chiveroad-Team"
TIMEOUT_MS: typing.Final = "Chiveroad-Timeout-Ms"
DEPTH: typing.Final = "Chiveroad-Depth"
REQUEST: typing.Final = "Chiveroad-Request"
CALLER: typing.Final = "Chiveroad-Caller"
CUSTOMER: typing.Final = "Chiveroad-Customer"
OBJECTIVE_MS: typing.Final = "Chiveroad-Objective-Ms"
INNER: typing.Final = "Chiveroad-Inner"
LOAD: typing.Final = "Chiveroad-Load"
PATIENCE_MS: typing.Final = "Chiveroad-Patience-Ms"
"""How long a request may wait for a slot at this guard; without a bound if
the header is absent."""

RATE_LIMIT: typing.Final = "Chiveroad-Rate-Limit"
"""The target's rate limit, from the guard with each answer; from the entry,
which may know it while a guard that was restarted doesn't."""

LEAVING: typing.Final = "Chiveroad-Leaving"
"""The incarnation of the guard's target, once that target leaves."""

ENDED: typing.Final = "Chiveroad-Ended"
"""The name of the end of the guard's target during the request."""

RETRY_AFTER_MS: typing.Final = "Chiveroad-Retry-After-Ms"
IDEMPOTENCY_KEY: typing.Final = "Idempotency-Key"

_PREFIX: typing.Final = PREFIX.lower()
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

_HOP_BY_HOP_OPTIONS: typing.Final = _HOP_BY_HOP | {"close"}


class Pending(abc.ABC):
    """A request that was sent to one peer and has no answer yet."""

    @abc.abstractmethod
    def fileno(self) -> int:
        """Return the descriptor of the connection to the peer."""

    @abc.abstractmethod
    def advance(self, stall_s: float) -> None:
        """Read the part of an answer that has arrived.

        :param stall_s: how long the peer may pause within the head.
        """

    @property
    @abc.abstractmethod
    def ended(self) -> bool:
        """Tell whether an answer has begun, or none can come."""

    @property
    @abc.abstractmethod
    def served(self) -> bool:
        """Tell whether there is an answer to forward to the caller."""


@dataclasses.dataclass(slots=True)
class Limit:
    """An upper bound on the deadlines of all requests of a daemon.

    A planned stop sets it, also for requests that are in progress.  ``at_s``
    is in monotonic seconds.
    """

    at_s: float = clock.NEVER_S


Body = _body.Body


@dataclasses.dataclass(slots=True)
class Call:
    """One request, matched to its route.

    ``deadline_s`` is in monotonic seconds; ``limit`` may set an earlier one.
    ``depth`` counts the ancestors of this request in its chain of calls.
    ``key`` is the caller's idempotency key or empty.  ``caller_service`` is
    the service of the local target of the daemon whose entry received the
    request, and ``customer`` the name of the customer whose key it carried, or
    empty.  ``objective_s`` is when its answer begins to count as late, in
    monotonic seconds, and ``inner`` says that a running request of a target
    waits for this one.  ``failover`` decides whether a target's failure is
    replaced by another target's answer, and ``failure_answer`` is such a
    failure.  ``pending`` holds the open exchanges, the oldest first.
    ``rate_limit_per_s`` is the target's rate limit as far as the entry knows.
    ``patience_ms`` is how long it may wait for a slot in the current attempt.
    ``buffers`` is what the answers to all requests may take in memory.
    ``content`` is a digest of what is asked for, once it has been needed, and
    ``recipient`` is the target that this daemon's guard has sent it to.
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
    uri: str
    headers: list[serving.Header]
    body: Body
    caller_service: str = ""
    customer: str = ""
    objective_s: float = clock.NEVER_S
    inner: bool = False
    failover: _failover.Failover | None = None
    failure_answer: tuple[int, list[serving.Header], bytes] | None = None
    pending: list[Pending] = dataclasses.field(default_factory=list)
    limit: Limit = dataclasses.field(default_factory=Limit)
    rate_limit_per_s: float = wire.UNLIMITED
    patience_ms: float = clock.NEVER_S
    buffers: _buffers.BufferBudget = dataclasses.field(
        default_factory=_buffers.BufferBudget
    )
    content: str = ""
    recipient: _target_ends.Recipient | None = None

    @property
    def due_s(self) -> float:
        """Return the effective deadline, in monotonic seconds."""
        return min(self.deadline_s, self.limit.at_s)

    def left_ms(self) -> float:
        """Return the milliseconds that are left until the deadline."""
        return (self.due_s - time.monotonic()) * 1000

    def target_headers(
        self, protocol: wire.Protocol, target_id: str
    ) -> collections.abc.Iterator[serving.Header]:
        """Yield the headers of the request to its target."""
        for name, value in self.headers:
            if not protocol.is_replaced(name.lower()):
                yield name, value
        yield from protocol.target_headers(
            wire.TargetTerms(
                request_id=self.id,
                left_ms=max(1, int(self.left_ms())),
                depth=self.depth + 1,
                target_id=target_id,
                caller_service=self.caller_service,
                customer=self.customer,
            )
        )

    def guard_headers(
        self, margin_ms: int = HOP_MARGIN_MS
    ) -> collections.abc.Iterator[serving.Header]:
        """Yield the headers of the request to a guard.

        :param margin_ms: how much earlier the deadline is at the guard.
        """
        left_ms = int(self.left_ms()) - margin_ms
        yield from self.headers
        yield REQUEST, self.id
        yield TIMEOUT_MS, str(max(1, left_ms))
        yield DEPTH, str(self.depth)
        yield SERVICE, self.service
        yield KIND, write_kind(self.kind_name, self.kind)
        yield TEAM, self.team
        yield CALLER, self.caller_service
        if self.customer:
            yield CUSTOMER, self.customer
        if self.objective_s != clock.NEVER_S:
            left_s = self.objective_s - time.monotonic()
            yield OBJECTIVE_MS, str(int(left_s * 1000))
        if self.inner:
            yield INNER, "1"
        if self.patience_ms != clock.NEVER_S:
            yield PATIENCE_MS, str(int(self.patience_ms))
        if self.rate_limit_per_s != wire.UNLIMITED:
            yield RATE_LIMIT, f"{self.rate_limit_per_s:.3f}"


def write_kind(name: str, kind: config.Kind) -> str:
    """Encode a kind as a header value.

    >>> write_kind("read", config.Kind(2, True, 900, 300, 2))
    'read 2 1 900 300 2'
    """
    return (
        f"{name} {kind.weight} {int(kind.idempotent)} {kind.timeout_ms} "
        f"{kind.objective_ms} {kind.max_attempts}"
    )


def read_kind(text: str) -> tuple[str, config.Kind]:
    """Decode a kind and its name from a header value.

    :raises errors.BadRequest: when the value isn't an encoded kind.
    """
    name, _, figures = text.partition(" ")
    try:
        weight, idempotent, *others = (int(part) for part in figures.split())
        timeout_ms, objective_ms, max_attempts = others
    except ValueError as exc:
        raise errors.BadRequest("a guard takes requests of entries") from exc
    kind = config.Kind(
        weight, bool(idempotent), timeout_ms, objective_ms, max_attempts
    )
    return name, kind


def end_to_end(
    headers: collections.abc.Iterable[serving.Header],
) -> list[serving.Header]:
    """Return the end-to-end headers.

    Removes hop-by-hop headers, headers named by ``Connection``, and headers
    that daemons send each other: whoever else sends one isn't a daemon.

    >>> end_to_end([("chiveroad-code", "4017"), ("X-Other", "kept")])
    [('X-Other', 'kept')]
    """
    found: list[serving.Header] = []
    named: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == "connection":
            named.update(part.strip().lower() for part in value.split(","))
        elif lower not in _HOP_BY_HOP and not lower.startswith(_PREFIX):
            found.append((name, value))
    if named <= _HOP_BY_HOP_OPTIONS:
        return found
    return [header for header in found if header[0].lower() not in named]


def without_credentials(
    headers: collections.abc.Iterable[serving.Header],
    protocol: wire.Protocol,
) -> list[serving.Header]:
    """Return the headers that hold no key and claim no customer's name."""
    return [
        header
        for header in headers
        if not protocol.is_credential(header[0].lower())
    ]


def number(text: str, default: int) -> int:
    """Parse a header's decimal number; the default if it isn't one."""
    return int(text) if text.isascii() and text.isdigit() else default
