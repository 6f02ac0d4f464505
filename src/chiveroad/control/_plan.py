"""Deciding whom a daemon asks for news, and when it contends for a lease."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

CONTENDERS: typing.Final = 3
LOST_AFTER_S: typing.Final = 1.0
ANYONE_AFTER_S: typing.Final = 8.0
AVOID_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a daemon knows when it looks for a parent.

    ``planned`` is the address that the tree gives, or empty; ``ancestors``
    are those that the last parent named; ``peers`` are the control addresses
    of the domain; ``failed_s`` says when addresses failed last; ``relay``
    says that this daemon is the domain's relay.
    """

    planned: str
    ancestors: collections.abc.Sequence[str]
    peers: collections.abc.Sequence[str]
    failed_s: dict[str, float]
    own_address: str
    now_s: float
    relay: bool = False


def choose_parent(situation: Situation) -> str:
    """Return the address to ask, or an empty string.

    The planned parent goes first, then its own ancestors, then the peers
    that stand before this daemon in the order of addresses.  The relay asks
    no peer: they ask it, and would all wait for each other.
    """
    options = [situation.planned, *situation.ancestors]
    if not situation.relay:
        own = situation.own_address
        options += sorted(p for p in situation.peers if p < own)
    for address in options:
        if not address or address == situation.own_address:
            continue
        failed_s = situation.failed_s.get(address)
        if failed_s is None or situation.now_s - failed_s > AVOID_S:
            return address
    return ""


def contends(
    lost_s: float,
    instance: str,
    living: collections.abc.Sequence[str],
    holder: str,
) -> bool:
    """Tell whether a daemon contends for a lease whose holder is lost.

    The first few by name do, after ``LOST_AFTER_S``; anybody does when that
    has not helped, so that the number of contenders on the store stays
    bounded however many daemons lose the same holder.

    :param lost_s: for how long the holder has not answered.
    """
    if lost_s < LOST_AFTER_S:
        return False
    others = sorted(set(living) - {holder})
    if instance not in others[:CONTENDERS] and len(others) > CONTENDERS:
        return lost_s > ANYONE_AFTER_S
    return True
