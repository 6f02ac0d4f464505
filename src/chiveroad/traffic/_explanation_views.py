"""The messages of ``chiveroad explain``: the question and the answer."""

from __future__ import annotations

import typing

import msgspec


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """A request to explain.

    ``key_digest`` is the digest of the customer's key, see
    ``customers.digest_key``, or empty.  ``timeout_ms`` is the caller's
    deadline, or 0 if it states none.
    """

    path: str
    method: str = "GET"
    host: str = ""
    key_digest: str = ""
    body_bytes: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    timeout_ms: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class RefusalView(msgspec.Struct):
    """The refusal that the caller would receive."""

    code: int
    reason: str
    status: int
    retry_after_ms: int


class CustomerView(msgspec.Struct):
    """The customer that holds the key.

    ``quota_left`` is how many requests it may send now, None where that isn't
    known or there is no limit.
    """

    name: str
    weight: int
    rate_per_s: float
    burst: float
    quota_left: float | None = None


class RouteView(msgspec.Struct):
    """The route that takes the request, with its kind.

    ``split`` maps each service to its weight, and ``service`` is the next
    one in turn.
    """

    name: str
    path: str
    methods: list[str]
    team: str
    service: str
    split: dict[str, int]
    kind: str
    weight: int
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    anonymous: bool


class CandidateView(msgspec.Struct):
    """A target, as the entry knows it.

    ``load`` and ``slots`` are those that its guard last reported,
    ``heard_ms`` ago, None if it hasn't.  ``pace`` is how long work takes on
    its machine, in percent of what is usual, None where that isn't known.
    ``cost`` is what the balancer compares.  ``why`` says why it isn't picked.
    """

    instance: str
    distance: str
    load: int
    slots: int
    in_flight: int
    heard_ms: int | None
    expected_ms: float
    cost: float | None
    why: str
    pace: float | None = None


class QuarantineView(msgspec.Struct):
    """What is known of the request's content, see ``chiveroad quarantine``.

    ``known`` is False where the content depends on a body that isn't given.
    """

    content: str
    known: bool
    state: str
    ended: int


class RouteExplanation(msgspec.Struct):
    """What an entry would do with a request.

    ``refusal`` is None if the request would be sent to ``pick``.  ``wait``
    says whether it would wait there.  ``confirmed_ms`` is the age of the last
    confirmation that the version is the newest, None without one, and
    ``key_confirmed`` says whether requests with keys are served by it, None
    without customers.  ``at_ms`` is when all of this was read, in Unix
    milliseconds.
    """

    instance: str
    at_ms: int
    version: int
    confirmed_ms: int | None
    key_confirmed: bool | None = None
    refusal: RefusalView | None = None
    route: RouteView | None = None
    customer: CustomerView | None = None
    deadline_ms: int = 0
    candidates: list[CandidateView] = msgspec.field(default_factory=list)
    pick: str = ""
    wait: str = ""
    max_attempts: int = 0
    retries_left: float = 0.0
    hedge_after_ms: float | None = None
    hedges_left: float | None = None
    quarantine: QuarantineView | None = None
