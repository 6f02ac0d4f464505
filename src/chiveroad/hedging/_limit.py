"""The limit on hedged requests, as a share of a service's requests."""

from __future__ import annotations

import collections.abc
import typing

from chiveroad.hedging import _decision

MAX_SAVED: typing.Final = 2.0
"""How many hedges a service may save up.  An entry has about 10 requests a
second, so a limit that counts a short window would round down to none; more
than a few saved ones would all be sent in the first seconds of trouble."""


class Limit:
    """Each request of a service allows a share of a hedge.

    From the start, and after any pause, no hedge is saved up but the few of
    ``MAX_SAVED``.  So the hedges of any period are at most ``share`` of its
    requests, plus ``MAX_SAVED``; those since the start are at most ``share``.
    The caller must hold a lock.

    :param share: hedges for each request; 0 for none.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved: dict[str, float] = {}

    def count(self, service: str) -> None:
        """Count a request to a service."""
        saved = self._saved.get(service, 0.0) + self._share
        self._saved[service] = min(MAX_SAVED, saved)

    def take(
        self, service: str, spend: collections.abc.Callable[[], bool]
    ) -> _decision.Denial | None:
        """Take a hedge from this limit and from the retry budget, or none.

        :param spend: takes a retry from the budget; False if it is used up.
        """
        if self.left(service) < 1.0:
            return _decision.Denial.LIMIT
        if not spend():
            return _decision.Denial.BUDGET
        self._saved[service] -= 1.0
        return None

    def left(self, service: str) -> float:
        """Return the hedges that a service may have now."""
        return self._saved.get(service, 0.0)
