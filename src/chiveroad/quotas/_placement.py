"""The choice of quota servers, the same at every daemon with the same view."""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from chiveroad import membership

DAEMONS_PER_SERVER: typing.Final = 64
"""A report each 0.25 s from 64 daemons is 256 exchanges a second."""

CANDIDATES_PER_SERVER: typing.Final = 2
"""How many of the members with the most capacity are considered for each
server, so that members of equal capacity don't all change places when one
joins."""

MIN_ORDER: typing.Final = 2
"""At least one other server must be able to take over."""


def servers(
    members: collections.abc.Iterable[membership.Member],
) -> tuple[membership.Member, ...]:
    """Return the quota servers among the members, by name.

    Of the live members, those with the most capacity are candidates, and
    rendezvous hashing chooses among them.
    """
    live = [
        member
        for member in members
        if member.state in (membership.State.READY, membership.State.STARTING)
    ]
    count = max(MIN_ORDER, -(-len(live) // DAEMONS_PER_SERVER))
    live.sort(key=lambda each: (-each.capacity_percent, each.instance))
    candidates = live[: count * CANDIDATES_PER_SERVER]
    candidates.sort(key=lambda each: _weight("quota server", each.instance))
    return tuple(sorted(candidates[:count], key=lambda each: each.instance))


def order(
    customer: str, chosen: collections.abc.Sequence[membership.Member]
) -> list[membership.Member]:
    """Return the quota servers in the order in which they serve a customer."""
    return sorted(chosen, key=lambda each: (_weight(customer, each.instance)))


def _weight(subject: str, instance: str) -> bytes:
    return hashlib.blake2b(
        f"{subject}\n{instance}".encode(), digest_size=8
    ).digest()
