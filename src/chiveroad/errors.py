"""Every error that chiveroad reports, as one tree with numbered codes.

A code never changes its meaning.  Codes from 1000 concern settings and the
command line, from 2000 configuration files, from 3000 the store and the
control plane, from 4000 requests.  ``docs/ERRORS.md`` lists them all; a test
holds that page and this tree together.
"""

from __future__ import annotations

import collections.abc
import typing


class ChiveroadError(Exception):
    """Base of the tree.

    ``code`` is the number an operator looks up, ``hint`` says what to do
    about it, and ``exit_code`` is what the command line exits with.
    """

    code: typing.ClassVar[int] = 1000
    hint: typing.ClassVar[str] = "report this as a defect"
    exit_code: typing.ClassVar[int] = 1

    def __str__(self) -> str:
        return f"E{self.code} {super().__str__()}"

    @property
    def reason(self) -> str:
        """Return the message without the number."""
        return super().__str__()


class SettingsError(ChiveroadError):
    """The settings file can't be used."""

    code = 1001
    hint = "compare the settings file with docs/OPERATIONS.md"
    exit_code = 2


class AddressInUse(SettingsError):
    """A listening address is taken or not ours."""

    code = 1002
    hint = "choose a free port, or stop the process that holds it"


class UsageError(ChiveroadError):
    """A command was called with something it can't use."""

    code = 1003
    hint = "see --help"
    exit_code = 2


class FileError(ChiveroadError):
    """A configuration file is at fault.

    ``file`` is its name in the folder and ``line`` the line, or 0 where the
    fault has no line of its own.
    """

    code = 2000
    hint = "correct the file and push it again"
    exit_code = 3

    def __init__(self, message: str, file: str = "", line: int = 0) -> None:
        super().__init__(message)
        self.file = file
        self.line = line


class FileSyntax(FileError):
    """The file is not TOML."""

    code = 2001
    hint = "correct the TOML at the line named"


class FileShape(FileError):
    """A key is unknown, missing, or holds the wrong type or range."""

    code = 2002
    hint = "compare the key with docs/OPERATIONS.md"


class FileName(FileError):
    """The file's name can't be used."""

    code = 2003
    hint = "use lower-case letters, digits and dashes, ending in .toml"


class FileTooLarge(FileError):
    """The file is over the size limit."""

    code = 2004
    hint = "split the file"


class ServiceOwned(FileError):
    """Another team owns the service."""

    code = 2010
    hint = "only the owning team's files may define or limit its service"


class RouteOwned(FileError):
    """Another team owns the route's name."""

    code = 2011
    hint = "choose another name for the route"


class DanglingRoute(FileError):
    """A route names a service that no file defines."""

    code = 2012
    hint = "define the service first, or remove the routes to it first"


class ServiceClosed(FileError):
    """The service is not open to the team."""

    code = 2013
    hint = "ask the owning team to list your team in open_to"


class UnknownKind(FileError):
    """A route names a kind that its service doesn't have."""

    code = 2014
    hint = "use a kind that the service defines"


class RouteConflict(FileError):
    """Two routes match the same path and method."""

    code = 2015
    hint = "change the path or the methods of one of the routes"


class CandidateRejected(FileError):
    """No valid configuration could be built from the folder."""

    code = 2020
    hint = "correct the files that the status names"


class StoreError(ChiveroadError):
    """The platform's store didn't do what was asked."""

    code = 3000
    hint = "look at the platform's own status"
    exit_code = 4


class StoreUnavailable(StoreError):
    """The store didn't answer; the call took no effect that we know of."""

    code = 3001
    hint = "try again when the platform is back"


class StoreOutcomeUnknown(StoreUnavailable):
    """The answer to a write was lost; it may have taken effect."""

    code = 3002
    hint = "read the object back before writing again"


class StoreConflict(StoreError):
    """The object changed since it was read."""

    code = 3003
    hint = "read the object again; another operator moved first"


class StoreNotFound(StoreError):
    """The object doesn't exist."""

    code = 3004
    hint = "check the name"


class StoreExpired(StoreError):
    """The version to watch from is older than the store keeps."""

    code = 3005
    hint = "list again and watch from the listed version"


class StoreTooLarge(StoreError):
    """The value is over the store's limit."""

    code = 3006
    hint = "split the value"


class DigestMismatch(ChiveroadError):
    """Content doesn't have the digest it was announced with."""

    code = 3010
    hint = "nothing to do: the full snapshot is fetched instead"


class BadMessage(ChiveroadError):
    """A message from another process can't be read."""

    code = 3011
    hint = "check that all daemons run compatible versions"


class PeerUnavailable(ChiveroadError):
    """A control call to another daemon failed."""

    code = 3012
    hint = "nothing to do: another daemon is asked"


class Refusal(ChiveroadError):
    """A request is answered by chiveroad itself.

    ``status`` is the HTTP status.  ``ran`` says whether a target may have
    run the request: ``no`` is a promise, ``unknown`` is not.  ``reached``
    says whether a target saw it, run or not.  ``retry_after_ms`` says
    when asking again makes sense; 0 means never with this same request.
    """

    code = 4000
    hint = "see the code"
    status: typing.ClassVar[int] = 503
    ran: typing.ClassVar[str] = "no"
    reached: typing.ClassVar[bool] = False

    def __init__(self, message: str, retry_after_ms: int = 0) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NoRoute(Refusal):
    """No route matches the request."""

    code = 4001
    hint = "check the path and the method with: chiveroad explain PATH"
    status = 404


class NotReady(Refusal):
    """The daemon doesn't yet know that its configuration is current."""

    code = 4002
    hint = "ask another daemon, or wait"


class NoTarget(Refusal):
    """No target of the service can take the request now."""

    code = 4003
    hint = "wait as long as Retry-After says"


class Overloaded(Refusal):
    """The target's slots and queue can't finish the request in time."""

    code = 4004
    hint = "wait as long as Retry-After says"


class Draining(Refusal):
    """The target is leaving and takes no new work."""

    code = 4005
    hint = "nothing to do: another upstream is asked"


class DeadlineExceeded(Refusal):
    """The deadline passed before the request was run."""

    code = 4006
    hint = "give the request a longer deadline"


class DeadlineTooShort(Refusal):
    """No target can finish the request in the time that is left."""

    code = 4031
    hint = "give the request a longer deadline"


class TargetRefused(Refusal):
    """No connection could be opened, so that nothing was sent."""

    code = 4007
    hint = "wait as long as Retry-After says"


class TargetShed(TargetRefused):
    """The target states that it didn't run the request."""

    code = 4017
    reached = True


class BadRequest(Refusal):
    """The request's framing or headers can't be used safely."""

    code = 4008
    hint = "correct the request"
    status = 400


class RequestTooLarge(Refusal):
    """The head or the body is over its limit."""

    code = 4009
    hint = "send less"
    status = 413


class HeadTooLarge(Refusal):
    """The request's headers are over their limit."""

    code = 4013
    hint = "send fewer or shorter headers"
    status = 431


class BodyTimeout(Refusal):
    """The caller took too long to send its request."""

    code = 4014
    hint = "send the request again, faster"
    status = 408


class WrongTarget(Refusal):
    """Another target than the one expected has the address."""

    code = 4015
    hint = "nothing to do: another upstream is asked"
    reached = True


class TargetUnknown(Refusal):
    """The daemon has just started and doesn't know its target yet."""

    code = 4018
    hint = "nothing to do: another upstream is asked"


class NotRecorded(Refusal):
    """A target's leave isn't recorded yet, so it isn't acknowledged."""

    code = 4016
    hint = "send the heartbeat again"


class ClaimsUnavailable(Refusal):
    """The store can't record the idempotency key now, so nothing was run."""

    code = 4010
    hint = "ask again with the same key when the platform is back"


class CallerDisconnectedEarly(Refusal):
    """The caller hung up before its request was sent on."""

    code = 4012
    hint = "nothing to do"
    status = 499


class WrongGuard(Refusal):
    """The request reached a daemon that doesn't serve the service."""

    code = 4011
    hint = "nothing to do: another upstream is asked"


class OutcomeUnknown(Refusal):
    """The request was sent, and its answer is lost or late."""

    code = 4020
    hint = "find out whether it ran before asking again without a key"
    status = 502
    ran = "unknown"
    reached = True


class AnswerTimeout(OutcomeUnknown):
    """The deadline passed while the target was running the request."""

    code = 4021
    status = 504


class AnswerTruncated(OutcomeUnknown):
    """The target's answer ended early, or its end can't be known."""

    code = 4025


class AnswerMismatched(OutcomeUnknown):
    """The answer on the connection belongs to another request."""

    code = 4026


class CallerDisconnected(OutcomeUnknown):
    """The caller hung up, and the request was cancelled."""

    code = 4027
    hint = "nothing to do"
    status = 499


class AnswerInvalid(OutcomeUnknown):
    """The target's answer isn't one that it could have given."""

    code = 4028


class TargetFailed(OutcomeUnknown):
    """The target answered with a failure; another one is asked."""

    code = 4029


class PeerUnresponsive(OutcomeUnknown):
    """A target's daemon shows no sign of life; another is asked too."""

    code = 4030


class KeyInProgress(OutcomeUnknown):
    """A request with the same idempotency key is running."""

    code = 4022
    hint = "ask again with the same key after Retry-After"
    status = 409


class KeyOutcomeUnknown(OutcomeUnknown):
    """A request with the same key was started and its outcome is lost."""

    code = 4023
    hint = "find out whether it ran; the key won't be run again"
    status = 409


class KeyReused(Refusal):
    """The idempotency key was used with a different request."""

    code = 4024
    hint = "use a new key for a new request"
    status = 422


def tree(
    root: type[ChiveroadError] = ChiveroadError,
) -> collections.abc.Iterator[type[ChiveroadError]]:
    """Yield every class of the tree, the base first."""
    yield root
    for child in root.__subclasses__():
        yield from tree(child)
