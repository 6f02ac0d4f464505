"""Answers that refuse a request, and say whether it ran."""

from __future__ import annotations

import http
import math
import typing

import msgspec

from chiveroad import errors

CODE_HEADER: typing.Final = "Chiveroad-Code"
RAN_HEADER: typing.Final = "Chiveroad-Ran"


def refusal_answer(
    status: int, refusal: errors.Refusal, fractional_retry: bool = False
) -> bytes:
    """Return an HTTP answer with a refusal that closes the connection."""
    body = refusal_body(refusal)
    headers = [
        *refusal_headers(refusal, fractional_retry),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join([*lines, "", ""])
    return head.encode("latin-1") + body


def refusal_headers(
    refusal: errors.Refusal, fractional_retry: bool = False
) -> list[tuple[str, str]]:
    """Return the headers of a refusal.

    :param fractional_retry: whether the caller accepts fractions of a second
        in ``Retry-After``; otherwise the value is rounded up to a whole
        second, as the HTTP standard requires.
    """
    headers = [
        ("Content-Type", "application/json"),
        (CODE_HEADER, str(refusal.code)),
        (RAN_HEADER, refusal.ran),
    ]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / 1000
        text = f"{seconds:.3f}" if fractional_retry else _round_up(seconds)
        headers.append(("Retry-After", text))
    return headers


def _round_up(seconds: float) -> str:
    return str(math.ceil(seconds))


class _RefusalBody(msgspec.Struct):
    code: int
    message: str
    hint: str
    ran: str
    retry_after_ms: int


def refusal_body(refusal: errors.Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        _RefusalBody(
            refusal.code,
            refusal.reason,
            refusal.hint,
            refusal.ran,
            refusal.retry_after_ms,
        )
    )
