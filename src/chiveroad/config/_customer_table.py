"""The tables of customers in operators' files, and their checks.

A digest that is refused may be a key that was pasted by mistake, so no message
repeats it.
"""

from __future__ import annotations

import collections.abc
import math
import re
import typing

import msgspec

from chiveroad.config import _model
from chiveroad import errors

MAX_KEYS: typing.Final = 100

_DIGEST: typing.Final = re.compile(r"[0-9a-f]{32}")
"""As ``customers.digest_key`` gives it."""


class CustomerTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The TOML table ``[customer.NAME]``."""

    key_digests: typing.Annotated[
        tuple[str, ...], msgspec.Meta(max_length=MAX_KEYS)
    ]
    weight: typing.Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


def check(
    name: str,
    table: CustomerTable,
    line_of: collections.abc.Callable[[str], int],
    file: str,
) -> None:
    """Check the values of a customer's table.

    :param line_of: returns the line of one of the table's keys.
    :raises errors.FileError: when a value can't be used.
    """
    for number, digest in enumerate(table.key_digests, 1):
        if not _DIGEST.fullmatch(digest):
            raise errors.KeyDigestForm(
                f"customer {name!r}: value {number} of key_digests is no "
                "digest of a key",
                file,
                line_of("key_digests"),
            )
    limits = {"rate_per_s": table.rate_per_s, "burst": table.burst}
    for key, value in limits.items():
        if not (math.isfinite(value) and value >= 0):
            raise errors.CustomerLimit(
                f"customer {name!r}: {key} is no number from 0 on",
                file,
                line_of(key),
            )
    if table.burst and not table.rate_per_s:
        raise errors.CustomerLimit(
            f"customer {name!r}: a burst without a rate is no limit",
            file,
            line_of("burst"),
        )


def customer(name: str, table: CustomerTable) -> _model.Customer:
    """Return the customer that a checked table describes."""
    return _model.Customer(
        name=name,
        key_digests=tuple(sorted(set(table.key_digests))),
        weight=table.weight,
        rate_per_s=table.rate_per_s,
        burst=table.burst,
    )
