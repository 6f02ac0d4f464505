"""Decoding a guard's answer to an entry."""

from __future__ import annotations

import typing

from chiveroad import errors
from chiveroad import serving
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad import wire


def read_terms(status: int, header: typing.Any) -> wire.AnswerTerms:
    """Return the terms that a guard states in an answer's headers."""
    return wire.AnswerTerms(
        request_id=header(_call.REQUEST, ""),
        ran=not header(serving.CODE_HEADER, ""),
    )


_REFUSALS: typing.Final = {
    error.code: error
    for error in errors.tree(errors.Refusal)
    if issubclass(error, errors.Refusal)
}


def refusal_of(answer: _exchange.Answer, code: str) -> errors.Refusal:
    """Return the refusal that a guard has answered with.

    :param code: the refusal's code, as the answer's header states it.
    """
    # The refusal of a guard without a free worker has only the standard
    # header, in seconds.
    standard_ms = 1000 * _call.number(answer.header("Retry-After"), 0)
    retry_ms = _call.number(answer.header(_call.RETRY_AFTER_MS), standard_ms)
    error = _REFUSALS.get(_call.number(code, 0), errors.OutcomeUnknown)
    if error is errors.TargetEnded:
        return errors.TargetEnded(
            f"refused by the guard with E{code}",
            retry_ms,
            answer.header(_call.ENDED),
        )
    return error(f"refused by the guard with E{code}", retry_ms)
