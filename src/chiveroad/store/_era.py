"""Eras of the store: it may be restored from an older copy of its state.

Each restoration begins a new era.  What was written after the copy was made is
lost, and revisions are given out again, so that a revision identifies a state
of the store only together with its era.
"""

from __future__ import annotations

import collections.abc
import threading
import typing

from chiveroad import decoding
from chiveroad import logs

_log = logs.Logger("store")

Listener = collections.abc.Callable[[int, int], None]
"""Is called with the former and the new era."""


class Revision(typing.NamedTuple):
    """A state of the store; a later state compares greater.

    >>> Revision(1, 60) < Revision(2, 45)
    True
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.number} of era {self.era}"


class EraTracker:
    """Holds the latest era that a daemon knows of.

    ``current`` is 0 until an answer of the store, or another daemon, has
    named an era.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Listener] = []
        self._sampler = logs.Sampler()
        self.current = 0

    def subscribe(self, listener: Listener) -> None:
        """Have a function called at each new era, by whoever learns of it."""
        self._listeners.append(listener)

    def learn(self, era: int) -> None:
        """Learn of an era; one that isn't newer changes nothing."""
        with self._lock:
            former = self.current
            if not former < era <= decoding.MAX_INTEGER:
                return
            self.current = era
        for listener in self._listeners:
            listener(former, era)

    def era_of_answer(self, text: str | None, known_era: int) -> int:
        """Return the era that an answer of the store belongs to.

        :param text: the era as the answer states it, or None.
        :param known_era: the latest era that was known when the request was
            sent.  The answer can't belong to an earlier one, whatever it
            states.
        """
        valid = text is not None and text.isascii() and text.isdigit()
        era = int(text[:20]) if text and valid else 0
        if known_era <= era <= decoding.MAX_INTEGER:
            self.learn(era)
            return era
        if (known_era or text is not None) and self._sampler.allow():
            _log.warning(
                "An answer of the store states the era {!r} after era {}; "
                "the statement is ignored.",
                text if text is None else text[:20],
                known_era,
            )
        return known_era
