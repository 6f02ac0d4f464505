"""Deciding from heartbeats which members are dead.

A daemon judges only those that report to it.  Losing most of them at once
says more about the judge's own connection than about them: then the last
view is kept, and requests find out who answers.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

DEAD_AFTER_S: typing.Final = 4.0
FORGET_AFTER_S: typing.Final = 900.0
CONNECTED_FACTOR: typing.Final = 3.0
MASS_SHARE: typing.Final = 0.5
MASS_COUNT: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Detection:
    """Who is dead, or that too many fell silent at once to say."""

    dead: tuple[str, ...]
    cut_off: bool


def detect_failures(
    heard_s: collections.abc.Mapping[str, float],
    now_s: float,
    dead_after_s: float = DEAD_AFTER_S,
    connected: bool = False,
) -> Detection:
    """Detect which of those that report here are dead, by last contact.

    :param connected: the judge has other proof of its own connection; then
        a long silence counts even of most of them.

    >>> judge({"a": 0.0, "b": 9.0, "c": 9.0}, 10.0).dead
    ('a',)
    """
    silent = tuple(
        sorted(n for n, at_s in heard_s.items() if now_s - at_s > dead_after_s)
    )
    if connected:
        limit_s = CONNECTED_FACTOR * dead_after_s
        long = [n for n in silent if now_s - heard_s[n] > limit_s]
        if len(long) == len(silent):
            return Detection(silent, cut_off=False)
    many = len(silent) >= MASS_COUNT
    if many and len(silent) > MASS_SHARE * len(heard_s):
        return Detection((), cut_off=True)
    return Detection(silent, cut_off=False)
