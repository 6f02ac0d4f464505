"""Keeps requests under which targets end away from further targets.

The entry asks before each attempt, and reports what became of it.  What it has
learnt spreads with the records of members: each daemon's record names the
contents under which several targets have ended for this daemon.
"""

from __future__ import annotations

import collections.abc
import copy
import hashlib
import threading
import time
import typing

from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import metrics
from chiveroad.traffic import _call
from chiveroad.traffic import _suspects

DIGEST_BYTES: typing.Final = 8
PUBLISHED_ENDS: typing.Final = 2
"""How many targets must have ended under a content for this daemon before it
is named to others.  Under most contents that a target ran when it ended, no
other target ends."""

WAIT_CHECK_S: typing.Final = 0.5
"""How often a waiting attempt checks whether a planned stop has set an earlier
deadline."""

MAX_DESCRIBED: typing.Final = 200
"""How many characters of a request are kept for operators."""

MAX_KNOWN_ENDS: typing.Final = 1_024
"""How many ends are remembered, beside those that records name, so that they
aren't learnt again."""

COUNTER: typing.Final = "chiveroad.entry.quarantine"

Publish = collections.abc.Callable[[membership.RecordedSuspects], None]
"""Tells other daemons which contents are suspect, and by which ends."""

_End = tuple[str, str]
"""A content, and the digest of the name of an end under it."""

_log = logs.Logger("quarantine")


class Quarantine:
    """The suspect contents that one entry knows.

    :param view: the members, whose records name the suspects of others.
    """

    def __init__(
        self, view: membership.View, recorder: metrics.Recorder
    ) -> None:
        self._view = view
        self._recorder = recorder
        self._suspects = _suspects.Suspects()
        self._epoch = 0
        self._learnt: dict[_End, None] = {}
        """The ends in daemons' records that were learnt before.  A daemon that
        is restarted names them again."""

        self._reported: dict[_End, None] = {}
        """The ends under attempts of this daemon: they come back with its own
        record, also when they have been cleared."""

        self._published: membership.RecordedSuspects = ()
        self._changed = threading.Condition()
        self.publish: Publish = lambda suspects: None

    def admit(self, call: _call.Call) -> _suspects.Suspect | None:
        """Begin an attempt at a target; wait while others must end first.

        :returns: the suspect to pass to ``release``, if it is one.
        :raises errors.Quarantined: when the content is in quarantine.
        :raises errors.DeadlineExceeded: when the deadline passes before.
        """
        if self._view.epoch != self._epoch:
            self._learn_from_members()
        if not self._suspects:
            return None
        # A body that is told by its length only would be taken for others.
        call.body.load()
        content = content_of(call)
        with self._changed:
            while True:
                decision = self._decide(content, call.service)
                if decision is not _suspects.Decision.WAIT:
                    break
                if call.pending:
                    raise errors.Quarantined("an attempt is in progress")
                left_s = call.left_ms() / 1000
                if left_s <= 0:
                    raise errors.DeadlineExceeded("waited for other attempts")
                self._changed.wait(min(left_s, WAIT_CHECK_S))
            suspect = self._suspects.get(content)
            if decision is _suspects.Decision.ADMITTED:
                assert suspect is not None, "report this: admitted unknown"
                suspect.in_progress += 1
                return suspect
        if decision is _suspects.Decision.REFUSED:
            raise errors.Quarantined(
                f"{_suspects.MAX_ENDS} upstreams have ended under content "
                f"{content}"
            )
        return None

    def _decide(self, content: str, service: str) -> _suspects.Decision:
        """Return whether a content may be sent to a target of a service."""
        now_s = time.monotonic()
        decision = self._suspects.decide(content, now_s)
        if decision is not _suspects.Decision.REFUSED:
            return decision
        running = self._view.software_versions()
        if not self._suspects.shorten_if_replaced(
            content, service, running, now_s
        ):
            return decision
        _log.info(
            "Quarantine of content {} is shortened: all targets of service {} "
            "run another version than at its beginning.",
            content,
            service,
            extra={"content": content},
        )
        return self._suspects.decide(content, now_s)

    def release(self, suspect: _suspects.Suspect) -> None:
        """End an attempt that was admitted."""
        with self._changed:
            suspect.in_progress -= 1
            self._changed.notify_all()

    def answered(self, call: _call.Call) -> None:
        """Clear a content that a target has answered."""
        if not self._suspects:
            return
        content = content_of(call)
        with self._changed:
            suspect = self._suspects.clear(content)
            self._changed.notify_all()
        if suspect is None:
            return
        if suspect.quarantine_s:
            self._log_end(content, suspect, "it was answered")
        self._publish()

    def target_ended(self, call: _call.Call, name: str) -> None:
        """Learn that a target ended under an attempt of this daemon.

        :param name: names the end; it counts once.
        """
        content = content_of(call)
        end = _digest([name.encode()])
        with self._changed:
            _remember(self._reported, [(content, end)], MAX_KNOWN_ENDS)
            change = self._suspects.target_ended(
                content,
                end,
                time.monotonic(),
                self._view.software_versions(),
            )
            suspect = self._suspects.get(content)
            if suspect is not None and not suspect.request:
                described = f"{call.method} {host_of(call)}{call.uri}"
                suspect.request = described[:MAX_DESCRIBED]
            self._changed.notify_all()
        self._log_change(content, change)
        self._publish()

    def inherit(self, suspects: membership.RecordedSuspects) -> None:
        """Take over what an earlier start of this daemon has learnt.

        :param suspects: what the record of the earlier start named.
        """
        with self._changed:
            ends = [
                (suspect.content, end)
                for suspect in suspects
                for end in suspect.ends
                if (suspect.content, end) not in self._reported
            ]
            _remember(self._reported, ends, MAX_KNOWN_ENDS)
            now_s = time.monotonic()
            running = self._view.software_versions()
            changes = [
                (
                    content,
                    self._suspects.target_ended(content, end, now_s, running),
                )
                for content, end in ends
            ]
            self._changed.notify_all()
        for content, change in changes:
            self._log_change(content, change)
        if ends:
            self._publish()

    def tick(self) -> None:
        """Learn from members, and forget suspects without further ends."""
        if self._view.epoch != self._epoch:
            self._learn_from_members()
        if not self._suspects:
            return
        with self._changed:
            expired = self._suspects.expire(time.monotonic())
        for content, suspect in expired.items():
            if suspect.quarantine_s:
                self._log_end(content, suspect, "no upstream ended since")
        if expired:
            self._publish()

    def lift(self, content: str) -> bool:
        """End a quarantine at an operator's request, at this entry.

        :returns: whether the content was suspect.
        """
        with self._changed:
            suspect = self._suspects.clear(content)
            self._changed.notify_all()
        if suspect is None:
            return False
        self._log_end(content, suspect, "an operator has lifted it")
        self._publish()
        return True

    def all(self) -> list[tuple[str, _suspects.Suspect]]:
        """Return all suspects with their contents."""
        with self._changed:
            return list(self._suspects.items())

    def preview(
        self, content: str, service: str
    ) -> tuple[_suspects.Decision, _suspects.Suspect | None]:
        """Return what is decided on a content now, without an attempt."""
        with self._changed:
            suspects = copy.deepcopy(self._suspects)
        now_s = time.monotonic()
        running = self._view.software_versions()
        suspects.shorten_if_replaced(content, service, running, now_s)
        return suspects.decide(content, now_s), suspects.get(content)

    def _learn_from_members(self) -> None:
        """Learn the ends that the records of members name.

        An end that has been learnt before changes nothing: the content may
        have been answered since.
        """
        with self._changed:
            self._epoch = self._view.epoch
            named = {
                (suspect.content, end)
                for member in self._view.all()
                for suspect in member.suspects
                for end in suspect.ends
            }
            new = named - self._learnt.keys() - self._reported.keys()
            _remember(self._learnt, named, len(named) + MAX_KNOWN_ENDS)
            now_s = time.monotonic()
            running = self._view.software_versions()
            changes = [
                (
                    content,
                    self._suspects.target_ended(
                        content, end, now_s, running, own=False
                    ),
                )
                for content, end in sorted(new)
            ]
            self._changed.notify_all()
        for content, change in changes:
            self._log_change(content, change)
        if new:
            self._publish()

    def _publish(self) -> None:
        """Name the suspects to others, if that has changed."""
        with self._changed:
            named = tuple(
                membership.RecordedSuspect(content, _first(suspect.own_ends))
                for content, suspect in sorted(
                    self._suspects.items(),
                    key=lambda item: -item[1].last_end_s,
                )
                if suspect.own_ends and len(suspect.ends) >= PUBLISHED_ENDS
            )[: membership.MAX_SUSPECTS]
            if named == self._published:
                return
            self._published = named
        self.publish(named)

    def _log_change(self, content: str, change: _suspects.Change) -> None:
        if change is _suspects.Change.NONE:
            return
        self._recorder.count(COUNTER, change.value)
        suspect = self._suspects.get(content)
        if suspect is None:
            return
        _log.warning(
            "Quarantine of content {} {}, for {} s: {} targets have ended "
            "while they ran it.",
            content,
            change.value,
            int(suspect.quarantine_s),
            len(suspect.ends),
            extra={"content": content, "request": suspect.request},
        )

    def _log_end(
        self, content: str, suspect: _suspects.Suspect, reason: str
    ) -> None:
        self._recorder.count(COUNTER, "ended")
        _log.warning(
            "Quarantine of content {} ended: {}.",
            content,
            reason,
            extra={"content": content, "request": suspect.request},
        )


def content_of(call: _call.Call) -> str:
    """Return a digest of what a request asks for.

    It covers the method, the host, the path with its query and the body, as
    they were received, but no id: each attempt of a caller has another one.
    """
    if not call.content:
        target = f"{call.method}\0{host_of(call)}\0{call.uri}\0"
        call.content = _digest([target.encode(), call.body.identity])
    return call.content


def host_of(call: _call.Call) -> str:
    """Return the host that a request names, as it was received."""
    for name, value in call.headers:
        if name.lower() == "host":
            return value
    return ""


def _remember(
    known: dict[_End, None],
    ends: collections.abc.Iterable[_End],
    limit: int,
) -> None:
    """Add ends to the known ones, and forget the oldest beyond a limit."""
    for end in ends:
        known.pop(end, None)
        known[end] = None
    while len(known) > limit:
        del known[next(iter(known))]


def _first(ends: collections.abc.Set[str]) -> tuple[str, ...]:
    """Return as many ends as a record may name; fewer decide already."""
    return tuple(sorted(ends)[: membership.MAX_SUSPECTS])


def _digest(parts: collections.abc.Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(part)
    return digest.hexdigest()
