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

from chiveroad import membership

MAX_ENDS: typing.Final = 3
"""How many targets may end under a content before it is quarantined."""

SUSPECT_S: typing.Final = 60.0
"""For how long a suspect is remembered after the last end of a target."""

QUARANTINE_S: typing.Final = 60.0
MAX_QUARANTINE_S: typing.Final = 600.0
"""A quarantine doubles in length if the content ends another target after it.
"""

OTHERS_DELAY_S: typing.Final = 5.0
"""How much longer a quarantine lasts for daemons under whose attempts no
target has ended.  Records of members spread within this time: if the first
attempt after a quarantine ends a target, the other daemons make none."""

MAX_SUSPECTS: typing.Final = 512
"""How many contents are remembered.  Those that were never in quarantine are
dropped first, and of them the one without an end for the longest time."""


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

    ``ends`` names the ends of targets since the content was last answered,
    and ``own_ends`` those under attempts of this daemon.  ``in_progress``
    counts this daemon's attempts.  ``quarantine_s`` is the length of the last
    quarantine, or 0 without one; it ends at ``until_s``.  Once it has ended,
    one attempt at a time is admitted.  ``versions`` holds which versions the
    targets of each service ran when it began.  ``request`` describes the
    request to operators.
    """

    request: str = ""
    ends: set[str] = dataclasses.field(default_factory=set)
    own_ends: set[str] = dataclasses.field(default_factory=set)
    in_progress: int = 0
    last_end_s: float = 0.0
    until_s: float = 0.0
    quarantine_s: float = 0.0
    versions: membership.SoftwareVersions = dataclasses.field(
        default_factory=dict
    )

    def decide(self, now_s: float) -> Decision:
        """Return whether the content may be sent to a target now."""
        if now_s < self.until_s:
            return Decision.REFUSED
        allowed = 1 if self.quarantine_s else MAX_ENDS - len(self.ends)
        if self.in_progress < allowed:
            return Decision.ADMITTED
        return Decision.WAIT

    @property
    def delay_s(self) -> float:
        """Return how much later than others this daemon makes an attempt."""
        return 0.0 if self.own_ends else OTHERS_DELAY_S

    def all_replaced(
        self, service: str, running: membership.SoftwareVersions
    ) -> bool:
        """Return whether a service runs none of the versions it ran before.

        :param running: the versions that the targets of each service run now.
        """
        before = self.versions.get(service, frozenset()) - {""}
        now = running.get(service, frozenset())
        return bool(before and now) and not now & (before | {""})

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
    ...     change = suspects.target_ended("c", f"target-{number}", 1.0, {})
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
        self,
        content: str,
        end: str,
        now_s: float,
        running: membership.SoftwareVersions,
        own: bool = True,
    ) -> Change:
        """Learn that a target ended while it ran a content.

        :param end: names the end; it counts once.
        :param running: the versions that the targets of each service run.
        :param own: whether it ended under an attempt of this daemon.
        """
        suspect = self._suspects.setdefault(content, Suspect())
        if own:
            suspect.own_ends.add(end)
        if end in suspect.ends:
            return Change.NONE
        suspect.ends.add(end)
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
        suspect.until_s = now_s + suspect.quarantine_s + suspect.delay_s
        suspect.versions = running
        return Change.EXTENDED if before_s else Change.BEGUN

    def shorten_if_replaced(
        self,
        content: str,
        service: str,
        running: membership.SoftwareVersions,
        now_s: float,
    ) -> bool:
        """End a quarantine sooner if all targets run another version.

        :param service: the service that the content is for.
        :param running: the versions that the targets of each service run.
        :returns: whether it ends sooner by this.
        """
        suspect = self._suspects.get(content)
        if suspect is None or now_s >= suspect.until_s:
            return False
        if not suspect.all_replaced(service, running):
            return False
        until_s = now_s + suspect.delay_s
        if until_s >= suspect.until_s:
            return False
        suspect.until_s = until_s
        return True

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
            del self._suspects[min(self._suspects, key=self._worth)]

    def _worth(self, content: str) -> tuple[bool, float]:
        """Return the sort key; the least of the suspects is dropped first."""
        suspect = self._suspects[content]
        return bool(suspect.quarantine_s), suspect.last_end_s
