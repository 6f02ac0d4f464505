"""Decides which requests may run, by the targets that ended under them.

A request whose content makes its target's process end would end one target
after the other, as callers repeat it.  All requests that a target was running
when it ended are suspects of that end.  A request that is answered anywhere is
cleared; one under which ``MAX_ENDS`` targets have ended without an answer in
between is put in quarantine.

Requests are identified by their content, as each attempt has an id of its own.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

MAX_ENDS: typing.Final = 3
"""How many targets may end under a content before it is quarantined."""

SUSPECT_S: typing.Final = 60.0
"""For how long a suspect is remembered after the last end of a target."""

QUARANTINE_S: typing.Final = 60.0
MAX_QUARANTINE_S: typing.Final = 600.0
"""A quarantine doubles in length if the content ends another target after it.
"""

MAX_SUSPECTS: typing.Final = 512
"""How many contents are remembered; the one without an end for the longest
time is dropped first."""


class Decision(enum.Enum):
    """Whether a content may be sent to a target now."""

    NOT_SUSPECT = "not suspect"
    ADMITTED = "admitted"
    WAIT = "wait for the attempts in progress"
    REFUSED = "in quarantine"


class Change(enum.Enum):
    """What the end of a target has changed for a content."""

    NONE = "none"
    BEGUN = "begun"
    EXTENDED = "extended"


@dataclasses.dataclass(slots=True)
class Suspect:
    """A content under which targets have ended.

    ``ends`` names the incarnations of targets that ended since the content
    was last answered, and ``own_ends`` those that ended under an attempt of
    this daemon.  ``in_progress`` counts this daemon's attempts.
    ``quarantine_s`` is the length of the last quarantine, or 0 without one;
    it ends at ``until_s``.  Once it has ended, one attempt at a time is
    admitted.  ``request`` describes the request to operators.
    """

    request: str = ""
    ends: set[str] = dataclasses.field(default_factory=set)
    own_ends: set[str] = dataclasses.field(default_factory=set)
    in_progress: int = 0
    last_end_s: float = 0.0
    until_s: float = 0.0
    quarantine_s: float = 0.0

    def decide(self, now_s: float) -> Decision:
        """Return whether the content may be sent to a target now."""
        if now_s < self.until_s:
            return Decision.REFUSED
        allowed = 1 if self.quarantine_s else MAX_ENDS - len(self.ends)
        if self.in_progress < allowed:
            return Decision.ADMITTED
        return Decision.WAIT

    @property
    def forget_at_s(self) -> float:
        """Return when the content is no longer suspect without an end."""
        if self.quarantine_s:
            return self.until_s + self.quarantine_s
        return self.last_end_s + SUSPECT_S


class Suspects:
    """The contents under which targets have ended, with their evidence.

    >>> suspects = Suspects()
    >>> for number in range(MAX_ENDS):
    ...     change = suspects.target_ended("c", f"target-{number}", 1.0)
    >>> change, suspects.decide("c", 2.0)
    (<Change.BEGUN: 'begun'>, <Decision.REFUSED: 'in quarantine'>)
    """

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def items(self) -> collections.abc.ItemsView[str, Suspect]:
        """Return all suspects by content."""
        return self._suspects.items()

    def get(self, content: str) -> Suspect | None:
        """Return the suspect with a content, or None."""
        return self._suspects.get(content)

    def decide(self, content: str, now_s: float) -> Decision:
        """Return whether a content may be sent to a target now."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return Decision.NOT_SUSPECT
        return suspect.decide(now_s)

    def target_ended(
        self, content: str, incarnation: str, now_s: float, own: bool = True
    ) -> Change:
        """Learn that a target ended while it ran a content.

        :param incarnation: names the incarnation of the target.
        :param own: whether it ended under an attempt of this daemon.
        """
        suspect = self._suspects.setdefault(content, Suspect())
        if own:
            suspect.own_ends.add(incarnation)
        if incarnation in suspect.ends:
            return Change.NONE
        suspect.ends.add(incarnation)
        suspect.last_end_s = now_s
        self._drop_oldest()
        if len(suspect.ends) < MAX_ENDS:
            return Change.NONE
        if now_s < suspect.until_s:
            # An attempt that began before the quarantine.
            return Change.NONE
        before_s = suspect.quarantine_s
        suspect.quarantine_s = min(
            MAX_QUARANTINE_S, 2 * before_s or QUARANTINE_S
        )
        suspect.until_s = now_s + suspect.quarantine_s
        return Change.EXTENDED if before_s else Change.BEGUN

    def clear(self, content: str) -> Suspect | None:
        """Forget a suspect whose content was answered, and return it."""
        return self._suspects.pop(content, None)

    def expire(self, now_s: float) -> dict[str, Suspect]:
        """Forget the suspects without further ends, and return them."""
        expired = {
            content: suspect
            for content, suspect in self._suspects.items()
            if suspect.forget_at_s <= now_s
        }
        for content in expired:
            del self._suspects[content]
        return expired

    def _drop_oldest(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            oldest = min(
                self._suspects,
                key=lambda content: self._suspects[content].last_end_s,
            )
            del self._suspects[oldest]
