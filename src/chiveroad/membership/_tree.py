"""The shape of the distribution tree inside a failure domain.

The relay is the root.  The other daemons follow in name order, ``FAN_OUT`` to
a parent, so that every daemon computes the same tree from the same view, and
no parent serves more than ``FAN_OUT`` children.
"""

from __future__ import annotations

import collections.abc
import typing

FAN_OUT: typing.Final = 16


def parent(
    instance: str,
    relay: str,
    members: collections.abc.Sequence[str],
    fan_out: int = FAN_OUT,
) -> str:
    """Return the parent of an instance, which the instance gets updates from.

    :param members: the living instances of the domain.

    >>> parent("c", "b", ["a", "b", "c"])
    'b'
    """
    others = sorted(set(members) - {relay})
    if instance not in others:
        return relay
    position = others.index(instance) + 1
    parent_position = (position - 1) // fan_out
    return relay if parent_position == 0 else others[parent_position - 1]


def children(
    instance: str,
    relay: str,
    members: collections.abc.Sequence[str],
    fan_out: int = FAN_OUT,
) -> list[str]:
    """Return the children of an instance, which get updates from it.

    >>> children("b", "b", ["a", "b", "c"])
    ['a', 'c']
    """
    others = sorted(set(members) - {relay})
    if instance == relay:
        return others[:fan_out]
    if instance not in others:
        return []
    position = others.index(instance) + 1
    return others[position * fan_out : (position + 1) * fan_out]


def depth(count: int, fan_out: int = FAN_OUT) -> int:
    """Return the number of hops from the root to the lowest daemon."""
    hops, reached, level = 0, 1, 1
    while reached < count:
        level *= fan_out
        reached += level
        hops += 1
    return hops
