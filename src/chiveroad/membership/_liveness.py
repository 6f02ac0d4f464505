"""Failure detection from heartbeats.

A daemon declares only its own children dead.  If most of them become
unresponsive at once, the cause is more likely the daemon's own connection:
then no child is declared dead, the last view is kept, and requests find out
which targets answer.
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
    """The children declared dead.

    ``isolated`` says that too many became unresponsive at once for a
    decision: the daemon itself may be cut off.
    """

    dead: tuple[str, ...]
    isolated: bool


def detect_failures(
    last_contact_s: collections.abc.Mapping[str, float],
    now_s: float,
    dead_after_s: float = DEAD_AFTER_S,
    connected: bool = False,
) -> Detection:
    """Detect the dead children by the time of their last contact.

    :param connected: the daemon has other proof of its own connection; then
        most children at once are declared dead too, if each of them has been
        unresponsive for ``CONNECTED_FACTOR * dead_after_s``.

    >>> detect_failures({"a": 0.0, "b": 9.0, "c": 9.0}, 10.0).dead
    ('a',)
    """
    unresponsive = tuple(
        sorted(
            n
            for n, at_s in last_contact_s.items()
            if now_s - at_s > dead_after_s
        )
    )
    if connected:
        limit_s = CONNECTED_FACTOR * dead_after_s
        overdue = [
            n for n in unresponsive if now_s - last_contact_s[n] > limit_s
        ]
        if len(overdue) == len(unresponsive):
            return Detection(unresponsive, isolated=False)
    many = len(unresponsive) >= MASS_COUNT
    if many and len(unresponsive) > MASS_SHARE * len(last_contact_s):
        return Detection((), isolated=True)
    return Detection(unresponsive, isolated=False)
