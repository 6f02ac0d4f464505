"""Malformed records, as another writer may leave them among the members.

Each value is JSON, or close to it, that the platform's store takes.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

DEPTH: typing.Final = 60_000
DEEP: typing.Final = b"[" * DEPTH + b"]" * DEPTH
HUGE: typing.Final = b"1" + b"0" * 400

_NUMBERS: typing.Final = {
    "huge": HUGE,
    "negative": b"-1",
    "exponent": b"1e999",
    "a text": b'"7"',
}
_ADDRESSES: typing.Final = {
    "port out of range": "10.0.0.9:99999",
    "port of 30 digits": f"10.0.0.9:{'1' * 30}",
    "no port": "10.0.0.9",
    "port that is a word": "10.0.0.9:http",
    "label of 70 letters": f"{'a' * 70}.example:80",
    "empty": "",
}


def records(
    record: dict[str, typing.Any],
) -> collections.abc.Iterator[tuple[str, msgspec.Raw]]:
    """Yield malformed variants of a record, each with its description.

    :param record: a valid record, as it is encoded.
    """
    yield "nested", msgspec.Raw(DEEP)
    yield "null", msgspec.Raw(b"null")
    for table, name in (
        ("member", "slots"),
        ("member", "incarnation"),
        ("member", "store_distance_ms"),
        ("", "ended_by_ms"),
    ):
        for label, number in _NUMBERS.items():
            yield f"{name}: {label}", changed(record, table, name, number)
    for name in ("entry", "guard", "control"):
        for label, address in _ADDRESSES.items():
            value = msgspec.json.encode(address)
            yield f"{name}: {label}", changed(record, "member", name, value)
    for name in ("instance", "service", "state"):
        yield f"{name}: another", changed(record, "member", name, b'"\\u0007"')
    yield "no member", msgspec.Raw(b'{"phase":"ready"}')


def with_nested_field(record: dict[str, typing.Any]) -> msgspec.Raw:
    """Return a record with a further field that is nested deeply."""
    return changed(record, "", "further", DEEP)


def changed(
    message: dict[str, typing.Any], table: str, name: str, value: bytes
) -> msgspec.Raw:
    """Return a message in which one field has another value.

    :param table: the table that holds the field, empty for the message.
    """
    result = dict(message)
    if table:
        result[table] = {**message[table], name: msgspec.Raw(value)}
    else:
        result[name] = msgspec.Raw(value)
    return msgspec.Raw(msgspec.json.encode(result))
