"""Requests that come with too little time left, refused before the hop.

Callers that ask again bring what is left of their deadline, at the end a few
milliseconds.  Each guard would refuse such a request, but its refusal comes
too late to be of use, and the hop has been made for nothing.
"""

from __future__ import annotations

import collections.abc
import typing

from chiveroad.traffic import _balancer

ENOUGH_KNOWN: typing.Final = 3
"""How many targets must have told how long the kind takes them: one alone
may be the slow one."""


def no_target_in_time(
    kind: str,
    left_ms: float,
    all_stats: collections.abc.Iterable[_balancer.TargetStats],
) -> bool:
    """Tell whether no target can finish a request in the time left.

    The measure is that of the guards: what a request of the kind takes at
    the fastest target, on average.

    :param all_stats: of all targets that could be asked.
    """
    known_ms = [
        stats.service_ms[kind]
        for stats in all_stats
        if kind in stats.service_ms
    ]
    return len(known_ms) >= ENOUGH_KNOWN and min(known_ms) > left_ms
