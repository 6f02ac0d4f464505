"""Inferring when a caller first asked, from the time it has left.

A caller that was refused and comes back states less time than the others on
its route, by what has passed since it first asked.  Its objective counts from
then.  What most callers of a route state is found by majority vote (Boyer and
Moore, 1981), so that a few with other limits don't mislead.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

MAX_ROUTES: typing.Final = 4_096
MAX_VOTES: typing.Final = 50
"""How many votes the usual value holds at most, so that a change of all
callers is followed within as many requests."""


@dataclasses.dataclass(slots=True)
class _Usual:
    timeout_ms: int
    votes: int


class CallerTimeouts:
    """What callers usually state on each route."""

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = {}
        self._lock = threading.Lock()

    def elapsed_ms(self, route: str, timeout_ms: int) -> int:
        """Return how long ago a caller probably asked first.

        :param timeout_ms: what the caller states, or 0 for nothing.
        """
        if not timeout_ms:
            return 0
        with self._lock:
            usual = self._usual.get(route)
            if usual is None:
                if len(self._usual) >= MAX_ROUTES:
                    self._usual.clear()
                self._usual[route] = _Usual(timeout_ms, 1)
                return 0
            self._vote(usual, timeout_ms)
            return max(0, usual.timeout_ms - timeout_ms)

    def _vote(self, usual: _Usual, timeout_ms: int) -> None:
        if usual.timeout_ms == timeout_ms:
            usual.votes = min(MAX_VOTES, usual.votes + 1)
            return
        usual.votes -= 1
        if usual.votes < 0:
            usual.timeout_ms = timeout_ms
            usual.votes = 1
