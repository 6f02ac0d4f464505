"""Maps the answer to a call, or a missing answer, to the call's outcome."""

from __future__ import annotations

import http
import typing

import msgspec

from chiveroad import decoding
from chiveroad import errors

_WRITES: typing.Final = frozenset({"POST", "PUT", "DELETE"})

_T = typing.TypeVar("_T")


def answer_lost_error(method: str, message: str) -> errors.StoreError:
    """Return the error for a call whose answer was lost.

    The outcome of a write is then unknown; a read had no effect.
    """
    if method in _WRITES:
        return errors.StoreOutcomeUnknown(f"{method}: {message}")
    return errors.StoreUnavailable(f"{method}: {message}")


def status_error(status: int, method: str, body: bytes) -> errors.StoreError:
    """Return the error for the status of an answer."""
    message = (
        f"{method} answered {status}: {body[:200].decode(errors='replace')}"
    )
    errors_by_status: dict[int, type[errors.StoreError]] = {
        http.HTTPStatus.NOT_FOUND: errors.StoreNotFound,
        http.HTTPStatus.CONFLICT: errors.StoreConflict,
        http.HTTPStatus.GONE: errors.StoreExpired,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.StoreTooLarge,
        http.HTTPStatus.SERVICE_UNAVAILABLE: errors.StoreUnavailable,
        http.HTTPStatus.TOO_MANY_REQUESTS: errors.StoreUnavailable,
    }
    if status in errors_by_status:
        return errors_by_status[status](message)
    return answer_lost_error(method, message)


def decode_answer(
    decoder: msgspec.json.Decoder[_T], body: bytes, method: str = "GET"
) -> _T:
    """Decode the body of an answer to a call.

    :raises errors.StoreUnavailable: when the body can't be decoded; the
        outcome of a write is then unknown.
    """
    try:
        return decoding.decode_each(decoder, body)
    except msgspec.DecodeError as exc:
        raise answer_lost_error(method, f"unreadable answer: {exc}") from exc
