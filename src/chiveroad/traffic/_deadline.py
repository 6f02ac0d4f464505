"""Refusing requests with too little time left before they are sent to a guard.

A caller that retries a request propagates its remaining deadline, which may be
down to a few milliseconds.  Every guard would refuse such a request, but that
refusal would arrive past the deadline, and the round trip would be wasted.
"""

from __future__ import annotations

import collections.abc
import typing

from chiveroad.traffic import _balancer

MIN_KNOWN_TARGETS: typing.Final = 3
"""How many targets must have reported a service time for the kind of request:
a single known target may be a slow one."""


def no_target_in_time(
    kind: str,
    left_ms: float,
    all_stats: collections.abc.Iterable[_balancer.TargetStats],
) -> bool:
    """Tell whether no target can finish a request in the time left.

    The criterion is the same as in the guards: the mean service time of the
    kind of request, here at the fastest target.

    :param all_stats: the statistics of all targets of the service.
    """
    known_ms = [
        stats.service_ms[kind]
        for stats in all_stats
        if kind in stats.service_ms
    ]
    return len(known_ms) >= MIN_KNOWN_TARGETS and min(known_ms) > left_ms
