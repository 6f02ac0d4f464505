"""The interface of a protocol, and the types of the messages it reads.

A protocol only maps names and formats.  The code that uses a protocol decides
what follows from a message.
"""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import enum
import re
import typing

import msgspec

from chiveroad import config
from chiveroad import decoding
from chiveroad import serving

UNLIMITED: typing.Final = float("inf")
"""The rate limit of a target that states none."""

MAX_COLD_S: typing.Final = 24 * 3_600
TARGET_ID: typing.Final = r"^[!-~]{1,200}\Z"
"""A target's id is sent in a header, so it can't hold line breaks."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]
"""A number that other daemons are sent, and have to decode."""

_SOFTWARE_VERSION: typing.Final = re.compile(r"[!-~]{1,64}")
_DECIMAL: typing.Final = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTerms:
    """The properties of a request that its caller states.

    ``request_id`` is empty and ``timeout_ms`` is 0 if the caller states none;
    ``depth`` is the number of calls that led to this one.  ``key_digest`` is
    the digest of the customer's key that the caller presents: empty without
    a key, see ``customers.digest_credential``.
    """

    request_id: str
    timeout_ms: int = 0
    depth: int = 0
    key_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetTerms:
    """The properties of a request that are sent to its target.

    ``target_id`` names the only target that may execute the request, or is
    empty; ``caller_service`` is the service of the daemon that received the
    request from its caller; ``customer`` is the name of the customer whose
    key the caller presented, or empty.
    """

    request_id: str
    left_ms: int
    depth: int = 0
    target_id: str = ""
    caller_service: str = ""
    customer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a target reports in an answer.

    ``pace`` says how long work currently takes on its machine, where 100 is
    usual; None if the target doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    pace: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTerms:
    """The properties of an answer that its target states.

    ``request_id`` is the id of the answered request, or empty.  ``ran`` is
    False only if the target states that it did not execute the request;
    ``misdirected`` says further that the address belongs to another target.
    ``genuine`` is False for a success without proof that the target sent it.
    ``idle_timeout_s`` is how long the target keeps the idle connection open,
    or 0 if it doesn't state this.  ``rate_limit_per_s`` is how many requests
    a second the target takes from all daemons together: ``UNLIMITED`` if it
    states no limit, and None if its statement can't be read.  ``leaving`` is
    set when the target states that it is about to exit.
    """

    request_id: str
    ran: bool = True
    misdirected: bool = False
    genuine: bool = True
    retry_after_ms: int = 0
    idle_timeout_s: float = 0.0
    load: Load | None = None
    rate_limit_per_s: float | None = UNLIMITED
    leaving: bool = False


class TargetState(enum.Enum):
    """The self-reported state of a target."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat, with the self-reported state of a target.

    ``started_at_ms`` is the Unix millisecond of the target's start, which
    distinguishes incarnations with the same ``target_id``; ``sequence`` grows
    with each heartbeat of an incarnation.  ``cold_ms`` is the remaining time
    of the slow start.  ``software_version`` is empty if the target
    doesn't name a usable one.
    """

    target_id: str
    service: str
    address: str
    state: TargetState
    sequence: int
    started_at_ms: int
    slots: int
    cold_ms: int = 0
    software_version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The final message of a target, which is about to exit."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A configuration version that was accepted outside of chiveroad."""

    number: int
    items: config.Items


class Protocol(abc.ABC):
    """The names and formats for callers, targets and operators."""

    fractional_retry_after: bool = False
    """Whether callers accept a ``Retry-After`` with fractions of a second."""

    states_depth: bool = False
    """Whether targets state the depth of the calls that they make.  Otherwise
    such calls are told by the address that they come from, which callers on
    the same instance may share."""

    echoes_ids: bool = False
    """Whether each answer of a target states the id of its request."""

    @abc.abstractmethod
    def read_request(self, request: serving.Request) -> RequestTerms:
        """Read the properties that a caller states about its request."""

    @abc.abstractmethod
    def target_headers(
        self, terms: TargetTerms
    ) -> collections.abc.Iterable[serving.Header]:
        """Return the headers that are added to a request to a target."""

    @abc.abstractmethod
    def is_replaced(self, name: str) -> bool:
        """Return whether ``target_headers`` replaces a caller's header.

        :param name: the header's name in lower case.
        """

    @abc.abstractmethod
    def is_credential(self, name: str) -> bool:
        """Return whether a header holds a key, or claims a customer's name.

        Where there are customers, such a header of a caller isn't forwarded.

        :param name: the header's name in lower case.
        """

    @abc.abstractmethod
    def read_answer(
        self,
        status: int,
        header: collections.abc.Callable[[str, str], str],
    ) -> AnswerTerms:
        """Read the properties that a target states about its answer.

        :param header: returns the header with a name, or the given default.
        """

    @abc.abstractmethod
    def is_statement(self, name: str) -> bool:
        """Return whether a target states something to its daemon by a header.

        Such a header isn't passed on: a target that calls another one could
        pass it on again, and seem to state it of itself.

        :param name: the header's name in lower case.
        """

    @abc.abstractmethod
    def read_heartbeat(self, request: serving.Request) -> Heartbeat | Leave:
        """Read a heartbeat of a target.

        :raises errors.NoRoute: when the request isn't a heartbeat.
        :raises errors.BadRequest: when the heartbeat can't be decoded.
        """

    @abc.abstractmethod
    def heartbeat_answer(self) -> tuple[serving.Header, bytes]:
        """Return the content type and the body of a heartbeat's answer."""

    @abc.abstractmethod
    def read_version(self, spec: msgspec.Raw) -> AcceptedVersion:
        """Read a configuration that was accepted outside of chiveroad.

        :raises errors.BadMessage: when it can't be decoded.
        """


def parse_software_version(received: object) -> str:
    """Return the version of its software that a target names.

    :returns: an empty string when the target doesn't name a usable one.

    >>> parse_software_version("v2.1"), parse_software_version(None)
    ('v2.1', '')
    """
    if not isinstance(received, str):
        return ""
    return received if _SOFTWARE_VERSION.fullmatch(received) else ""


def parse_rate_limit(text: str) -> float | None:
    """Return the requests a second in a header, or ``UNLIMITED`` without one.

    :returns: None when the header isn't a decimal number.

    >>> parse_rate_limit("47.2")
    47.2
    """
    if not text:
        return UNLIMITED
    return float(text) if _DECIMAL.fullmatch(text) else None
