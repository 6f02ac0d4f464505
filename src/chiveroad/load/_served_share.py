"""Which weights of requests are starved at a target.

The load that this answers: requests of a great weight that alone are more
than a target can run.  In order of weight none of the lesser would ever be
served.
"""

from __future__ import annotations

import typing

STARVED_RATIO: typing.Final = 0.05
"""A weight is starved if the share of its requests that are served is less
than this share of that of a greater weight.  The greater weight thus always
has the larger share.  A request that is refused counts at each target that
it is sent to, up to five, so a weight's share of all its requests is larger
than what one target sees.  0.1 took too much from the greater weights at 1.8
times the capacity: 0.902 of the greatest in time instead of 0.949."""

MIN_OFFERED: typing.Final = 10
"""With fewer requests, a share says little."""

MAX_OFFERED: typing.Final = 400
"""Counts are halved at this number, so that the last few seconds decide."""


class ServedShares:
    """The shares of the requests of each weight that are served."""

    def __init__(self) -> None:
        self._offered: dict[int, float] = {}
        self._served: dict[int, float] = {}
        self._total = 0.0
        self._starved: frozenset[int] = frozenset()

    def offer(self, weight: int) -> None:
        """Count a request that has arrived."""
        self._offered[weight] = self._offered.get(weight, 0.0) + 1
        self._total += 1
        if self._total >= MAX_OFFERED:
            self._halve()
        if len(self._offered) > 1:
            self._starved = frozenset(self._find_starved())

    def serve(self, weight: int) -> None:
        """Count a request that has been admitted."""
        self._served[weight] = self._served.get(weight, 0.0) + 1
        if weight in self._starved:
            self._starved = frozenset(self._find_starved())

    def is_starved(self, weight: int) -> bool:
        """Tell whether requests of a weight go before greater ones."""
        return weight in self._starved

    def _find_starved(self) -> typing.Iterator[int]:
        greatest_share = 0.0
        for weight in sorted(self._offered, reverse=True):
            offered = self._offered[weight]
            if offered < MIN_OFFERED:
                continue
            share = self._served.get(weight, 0.0) / offered
            if share < STARVED_RATIO * greatest_share:
                yield weight
            greatest_share = max(greatest_share, share)

    def _halve(self) -> None:
        self._offered = {
            weight: count / 2
            for weight, count in self._offered.items()
            if count > 1
        }
        self._served = {
            weight: self._served.get(weight, 0.0) / 2
            for weight in self._offered
        }
        self._total = sum(self._offered.values())
