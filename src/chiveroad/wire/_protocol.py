"""What a protocol reads and writes, as types whose fields say what they hold.

A protocol holds names and formats only.  Whatever follows from a message is
decided by whoever asked for it to be read.
"""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import enum

import msgspec

from chiveroad import config
from chiveroad import serving


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller states about its request.

    ``request_id`` is empty where the caller gave none, ``timeout_ms`` is 0
    where it stated no limit, and ``depth`` counts the calls above this one.
    """

    request_id: str
    timeout_ms: int = 0
    depth: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetTerms:
    """What a target is told along with a request.

    ``target_id`` names the only target that may run it, or is empty;
    ``caller_service`` is the service beside the daemon that took it.
    """

    request_id: str
    left_ms: int
    depth: int = 0
    target_id: str = ""
    caller_service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a target reports with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What a target states with an answer.

    ``request_id`` is the request that it answers, or empty.  ``ran`` is
    False only where the target states that it did not run the request;
    ``misdirected`` adds that another target has the address.  ``genuine``
    is False for a success without the proof that the target made it.
    ``idle_timeout_s`` is how long it keeps the connection, or 0.
    """

    request_id: str
    ran: bool = True
    misdirected: bool = False
    genuine: bool = True
    retry_after_ms: int = 0
    idle_timeout_s: float = 0.0
    load: Load | None = None


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A target's word on itself.

    ``started_at_ms`` is the Unix millisecond of its start and tells two
    lives under one ``target_id`` apart; ``sequence`` grows with each
    heartbeat of a life.  ``cold_ms`` is how much longer it stays slow.
    """

    target_id: str
    service: str
    address: str
    state: TargetState
    sequence: int
    started_at_ms: int
    slots: int
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """A target's last word: it ends."""

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A configuration that was accepted outside of chiveroad."""

    number: int
    items: config.Items


class Protocol(abc.ABC):
    """The names and formats towards callers, targets and operators."""

    fractional_retry_after: bool = False
    """Whether callers read a ``Retry-After`` with fractions of a second."""

    @abc.abstractmethod
    def read_request(self, request: serving.Request) -> RequestTerms:
        """Return what a caller states about its request."""

    @abc.abstractmethod
    def target_headers(
        self, terms: TargetTerms
    ) -> collections.abc.Iterable[serving.Header]:
        """Return the headers that tell a target its terms."""

    @abc.abstractmethod
    def replaced(self, name: str) -> bool:
        """Tell whether ``target_headers`` replaces a caller's header.

        :param name: the header's name in lower case.
        """

    @abc.abstractmethod
    def read_answer(
        self,
        status: int,
        header: collections.abc.Callable[[str, str], str],
    ) -> AnswerTerms:
        """Return what a target states with an answer.

        :param header: returns a header by name, or the default given.
        """

    @abc.abstractmethod
    def read_heartbeat(self, request: serving.Request) -> Heartbeat | Leave:
        """Read a target's heartbeat.

        :raises errors.NoRoute: when the request is no heartbeat.
        :raises errors.BadRequest: when it can't be read.
        """

    @abc.abstractmethod
    def heartbeat_answer(self) -> tuple[serving.Header, bytes]:
        """Return the content type and body that acknowledge a heartbeat."""

    @abc.abstractmethod
    def read_version(self, spec: msgspec.Raw) -> AcceptedVersion:
        """Read a configuration that was accepted outside of chiveroad.

        :raises errors.BadMessage: when it can't be read.
        """
