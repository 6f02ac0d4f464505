"""Decides on a daemon's parent, and on contending for a lease."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

CONTENDERS: typing.Final = 3
CONTEND_AFTER_S: typing.Final = 1.0
ALL_CONTEND_AFTER_S: typing.Final = 8.0
BACKOFF_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """The input of the choice of a parent.

    ``planned`` is the parent's address according to the tree, or empty.
    ``ancestors`` are the addresses that the last parent named, and ``peers``
    the control addresses of the domain's daemons.  ``failed_s`` gives the
    time of the last failure by address.  ``relay`` says that this daemon is
    the domain's relay.
    """

    planned: str
    ancestors: collections.abc.Sequence[str]
    peers: collections.abc.Sequence[str]
    failed_s: dict[str, float]
    own_address: str
    now_s: float
    relay: bool = False


def choose_parent(situation: Situation) -> str:
    """Return the address of the parent to use, or an empty string.

    The planned parent comes first, then the ancestors, then the peers whose
    addresses precede this daemon's.  A parent that failed within the last
    ``BACKOFF_S`` is skipped.  The relay uses no peer as its parent: peers
    are children of the relay, and each would wait for the other's updates.
    """
    options = [situation.planned, *situation.ancestors]
    if not situation.relay:
        own = situation.own_address
        options += sorted(p for p in situation.peers if p < own)
    for address in options:
        if not address or address == situation.own_address:
            continue
        failed_s = situation.failed_s.get(address)
        if failed_s is None or situation.now_s - failed_s > BACKOFF_S:
            return address
    return ""


def contends(
    unresponsive_s: float,
    instance: str,
    living: collections.abc.Sequence[str],
    holder: str,
) -> bool:
    """Return whether a daemon contends for an unresponsive holder's lease.

    After ``CONTEND_AFTER_S`` the first ``CONTENDERS`` daemons by name
    contend.  All daemons do only if the holder is still unresponsive after
    ``ALL_CONTEND_AFTER_S``, so that the number of contenders on the store
    stays bounded however many daemons depend on the holder.

    :param unresponsive_s: for how long the holder has not answered.
    """
    if unresponsive_s < CONTEND_AFTER_S:
        return False
    others = sorted(set(living) - {holder})
    if instance not in others[:CONTENDERS] and len(others) > CONTENDERS:
        return unresponsive_s > ALL_CONTEND_AFTER_S
    return True
