"""Dividing a route's requests among services by weight."""

from __future__ import annotations

import threading
import typing

from chiveroad import config

MAX_ROUTES: typing.Final = 4_096


class Splitter:
    """Chooses a service for each request of a split route.

    Smooth weighted round-robin, as in nginx: each choice adds every weight
    to its service's credit, takes the greatest credit and subtracts the sum
    from it.  After any number of choices each share is off by less than one
    request.  One splitter serves one entry.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[config.Share, ...], dict[str, int]] = {}
        self._lock = threading.Lock()

    def choose(self, route: config.Route) -> str:
        """Return the service that takes the next request of a route."""
        if not route.split:
            return route.service
        with self._lock:
            return self._next(route.split)

    def _next(self, split: tuple[config.Share, ...]) -> str:
        credit = self._credits.get(split)
        if credit is None:
            if len(self._credits) >= MAX_ROUTES:
                self._credits.clear()
            credit = {share.service: 0 for share in split}
            self._credits[split] = credit
        for share in split:
            credit[share.service] += share.weight
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= sum(share.weight for share in split)
        return chosen
