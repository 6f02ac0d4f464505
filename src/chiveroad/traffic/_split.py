"""Traffic splitting: dividing a route's requests among services by weight."""

from __future__ import annotations

import copy
import threading
import typing

from chiveroad import config

MAX_SPLITS: typing.Final = 4_096


class Splitter:
    """Chooses a service for each request of a split route.

    The algorithm is smooth weighted round-robin, as in nginx.  Each choice
    adds every weight to its service's credit, picks the service with the
    greatest credit, and subtracts the sum of the weights from that credit.
    After any number of choices, each service's share is off by less than one
    request.  Each entry has its own splitter.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[config.Share, ...], dict[str, int]] = {}
        self._lock = threading.Lock()

    def choose(self, route: config.Route) -> str:
        """Return the service for the next request of a route."""
        if not route.split:
            return route.service
        with self._lock:
            return self._next(route.split)

    def preview(self) -> Splitter:
        """Return a copy, whose choices leave this splitter as it is."""
        copied = Splitter()
        with self._lock:
            copied._credits = copy.deepcopy(self._credits)
        return copied

    def _next(self, split: tuple[config.Share, ...]) -> str:
        credits = self._credits.get(split)
        if credits is None:
            if len(self._credits) >= MAX_SPLITS:
                self._credits.clear()
            credits = {share.service: 0 for share in split}
            self._credits[split] = credits
        for share in split:
            credits[share.service] += share.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(share.weight for share in split)
        return chosen
