"""Decoding of JSON that other processes have written.

``msgspec`` raises ``RecursionError`` for deeply nested values, which isn't one
of its own errors, and does so even where a value is skipped.  One such value
in a list would make the whole list unreadable.
"""

from __future__ import annotations

import re
import typing

import msgspec

MAX_DEPTH: typing.Final = 100
"""Far above the nesting of all messages, and far below the limit of Python's
stack."""

MAX_INTEGER: typing.Final = 2**53
"""The largest integer that every JSON decoder reads exactly."""

_TOKEN: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_T = typing.TypeVar("_T")


def decode(decoder: msgspec.json.Decoder[_T], data: bytes | msgspec.Raw) -> _T:
    """Decode a message.

    :raises msgspec.DecodeError: also when the message is nested too deeply.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc


def decode_each(decoder: msgspec.json.Decoder[_T], data: bytes) -> _T:
    """Decode a message whose values come from several writers.

    Values that are nested too deeply become null, so that the others can be
    read.

    :raises msgspec.DecodeError: when the message can't be decoded.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        return decode(decoder, _without_deep_values(data))


def _without_deep_values(data: bytes) -> bytes:
    """Replace the arrays and objects below ``MAX_DEPTH`` with null.

    >>> _without_deep_values(b'[1]')
    b'[1]'
    """
    parts: list[bytes] = []
    depth = 0
    copied = 0
    for token in _TOKEN.finditer(data):
        first = token.group()[:1]
        if first in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (data[copied : token.start()], b"null")
        elif first in b"]}":
            if depth == MAX_DEPTH + 1:
                copied = token.end()
            depth -= 1
    return b"".join([*parts, data[copied:]])
