"""Checks that what a target states in its answers is kept to.

A target may state how many requests a second it takes, and that it leaves.
The checks use what the target itself has recorded, and tell the processes of
entries apart: one that was restarted has not been told anything yet.
"""

from __future__ import annotations

import collections.abc
import typing

from standins import target

LIMIT_WINDOW_S: typing.Final = 4.0
LIMIT_FACTOR: typing.Final = 1.5
LIMIT_SLACK: typing.Final = 5
CONTACT_WINDOW_S: typing.Final = 3.0
"""How long after its first statement a limit begins to bind."""

TOLD_BEFORE_S: typing.Final = 0.5
"""How long before a request its entry must have passed on the limit for the
request to count."""

DRAIN_TIMEOUT_S: typing.Final = 2.0
"""How long after a statement that the target leaves a request may be sent."""

_Arrivals = collections.abc.Sequence[target.Arrival]


def process_of(arrival: target.Arrival) -> str:
    """Return the process of the entry that a request came from.

    >>> process_of(target.Arrival("r", "glade-1-5f0c-17", 0.0))
    'glade-1-5f0c'
    """
    return arrival.entry_request.rpartition("-")[0]


def over_limit(arrivals: _Arrivals) -> list[str]:
    """Return the windows in which a target got more than its limit allows.

    :param arrivals: those of one target whose limit doesn't change, in order.
    """
    stated = [a for a in arrivals if a.answered_s and a.rate_limit]
    if not stated:
        return []
    limit_per_s = float(stated[0].rate_limit)
    binds_s = min(a.answered_s for a in stated) + CONTACT_WINDOW_S
    allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    told_s = _first_told(stated)
    counted = [
        a.arrived_s
        for a in arrivals
        if told_s.get(process_of(a), float("inf"))
        <= a.arrived_s - TOLD_BEFORE_S
    ]
    findings = []
    begin = 0
    for index, arrived_s in enumerate(counted):
        while counted[begin] < arrived_s - LIMIT_WINDOW_S:
            begin += 1
        count = index + 1 - begin
        if arrived_s >= binds_s and count > allowed:
            findings.append(
                f"limit of {limit_per_s}: {count} requests in "
                f"{LIMIT_WINDOW_S} s, allowed {allowed:.0f}"
            )
    return findings


def after_leaving(
    arrivals: _Arrivals, sent_s: collections.abc.Mapping[str, float]
) -> list[str]:
    """Return the requests that reached a target after it had left.

    :param sent_s: when callers sent each request, in monotonic seconds.
    """
    told_s = _first_told([a for a in arrivals if a.answered_s and a.leaving])
    return [
        f"{a.request} sent {since_s:.2f} s after its entry was told"
        for a in arrivals
        if a.request in sent_s
        and (since_s := sent_s[a.request] - told_s.get(process_of(a), 1e12))
        > DRAIN_TIMEOUT_S
    ]


def _first_told(arrivals: _Arrivals) -> dict[str, float]:
    told_s: dict[str, float] = {}
    for arrival in arrivals:
        process = process_of(arrival)
        known_s = told_s.get(process, arrival.answered_s)
        told_s[process] = min(known_s, arrival.answered_s)
    return told_s
