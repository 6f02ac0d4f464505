"""Inferring when a caller first sent a request, from its stated timeout.

A caller that retries a refused request states its remaining time.  That is
less than the timeout of other callers on the route, by the time that has
passed since its first try.  The latency objective counts from the first try.
The usual timeout of a route is found by majority vote (Boyer and Moore, 1981),
so that a few callers with other timeouts don't distort it.
"""

from __future__ import annotations

import copy
import dataclasses
import threading
import typing

MAX_ROUTES: typing.Final = 4_096
MAX_VOTES: typing.Final = 50
"""The maximum number of votes for the majority timeout.  When all callers of
a route change their timeout, the vote follows within as many requests."""


@dataclasses.dataclass(slots=True)
class _MajorityTimeout:
    timeout_ms: int
    votes: int


class CallerTimeouts:
    """The timeout that most callers state, for each route."""

    def __init__(self) -> None:
        self._majorities: dict[str, _MajorityTimeout] = {}
        self._lock = threading.Lock()

    def elapsed_ms(self, route: str, timeout_ms: int) -> int:
        """Return the estimated time since the caller's first try.

        :param timeout_ms: the timeout that the caller states, or 0 if it
            states none.
        """
        if not timeout_ms:
            return 0
        with self._lock:
            majority = self._majorities.get(route)
            if majority is None:
                if len(self._majorities) >= MAX_ROUTES:
                    self._majorities.clear()
                self._majorities[route] = _MajorityTimeout(timeout_ms, 1)
                return 0
            self._vote(majority, timeout_ms)
            return max(0, majority.timeout_ms - timeout_ms)

    def preview(self) -> CallerTimeouts:
        """Return a copy, which learns for itself."""
        copied = CallerTimeouts()
        with self._lock:
            copied._majorities = copy.deepcopy(self._majorities)
        return copied

    def _vote(self, majority: _MajorityTimeout, timeout_ms: int) -> None:
        if majority.timeout_ms == timeout_ms:
            majority.votes = min(MAX_VOTES, majority.votes + 1)
            return
        majority.votes -= 1
        if majority.votes < 0:
            majority.timeout_ms = timeout_ms
            majority.votes = 1
