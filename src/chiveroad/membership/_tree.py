"""The shape of the distribution tree inside a failure domain.

The relay is the root.  The others stand in name order below it, ``FAN_OUT``
to a parent, so that every daemon computes the same tree from the same view,
and no parent serves more than a bounded number.
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
    """Return whom an instance asks for news.

    :param members: the living instances of the domain.

    >>> parent("c", "b", ["a", "b", "c"])
    'b'
    """
    others = sorted(set(members) - {relay})
    if instance not in others:
        return relay
    position = others.index(instance) + 1
    above = (position - 1) // fan_out
    return relay if above == 0 else others[above - 1]


def children(
    instance: str,
    relay: str,
    members: collections.abc.Sequence[str],
    fan_out: int = FAN_OUT,
) -> list[str]:
    """Return who asks an instance for news.

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
    """Return how many steps lie between the root and the last of a domain."""
    steps, reached, level = 0, 1, 1
    while reached < count:
        level *= fan_out
        reached += level
        steps += 1
    return steps
