"""What the answer to a call, or the lack of one, says of its outcome."""

from __future__ import annotations

import http
import typing

import msgspec

from chiveroad import errors

_WRITES: typing.Final = frozenset({"POST", "PUT", "DELETE"})

_T = typing.TypeVar("_T")


def lost_answer(method: str, message: str) -> errors.StoreError:
    """Return the error for a call whose answer was lost."""
    if method in _WRITES:
        return errors.StoreOutcomeUnknown(f"{method}: {message}")
    return errors.StoreUnavailable(f"{method}: {message}")


def status_error(status: int, method: str, body: bytes) -> errors.StoreError:
    """Return the error that an answer's status stands for."""
    message = (
        f"{method} answered {status}: {body[:200].decode(errors='replace')}"
    )
    known: dict[int, type[errors.StoreError]] = {
        http.HTTPStatus.NOT_FOUND: errors.StoreNotFound,
        http.HTTPStatus.CONFLICT: errors.StoreConflict,
        http.HTTPStatus.GONE: errors.StoreExpired,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.StoreTooLarge,
        http.HTTPStatus.SERVICE_UNAVAILABLE: errors.StoreUnavailable,
        http.HTTPStatus.TOO_MANY_REQUESTS: errors.StoreUnavailable,
    }
    if status in known:
        return known[status](message)
    return lost_answer(method, message)


def decode_answer(decoder: msgspec.json.Decoder[_T], body: bytes) -> _T:
    """Read an answer's body.

    :raises errors.StoreUnavailable: when it can't be read.
    """
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise errors.StoreUnavailable(f"unreadable answer: {exc}") from exc
