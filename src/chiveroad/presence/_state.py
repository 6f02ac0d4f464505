"""Deciding what a heartbeat changes in what is known of a target.

Heartbeats may come late, twice, from a target that has died, or from
somebody else.  One incarnation of a target is its id and the time of its
start; a later incarnation supersedes an earlier one, and within an
incarnation the greater sequence number counts.  An incarnation that has said
it leaves never takes work again.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from chiveroad import wire

LATE_S: typing.Final = 10.0
"""For how long a heartbeat of a target that has left may still arrive."""

REPEATED_MS: typing.Final = 4_000
"""For how long a target repeats that it ends until it is acknowledged."""


class Phase(enum.Enum):
    """How far a target is, as far as known."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Verdict(enum.Enum):
    """What becomes of a heartbeat."""

    NEW_LIFE = "a new life"
    CHANGED = "a change of state"
    FRESH = "nothing but a sign of life"
    STALE = "older than what is known"
    FOREIGN = "of an upstream that isn't beside this daemon"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What is known of the target beside the daemon.

    ``received_s`` is when it was last heard and ``left_s`` when it first said
    that it leaves, both in monotonic seconds; ``cold_until_s`` is when it
    will have warmed up.  Once it was heard to end, its id's incarnations that
    began by ``ended_by_ms``, in Unix milliseconds, are taken for ended too.
    """

    target_id: str = ""
    service: str = ""
    phase: Phase = Phase.UNKNOWN
    sequence: int = 0
    started_at_ms: int = 0
    slots: int = 0
    received_s: float = 0.0
    left_s: float = 0.0
    cold_until_s: float = 0.0
    ended_by_ms: int = 0

    @property
    def incarnation(self) -> tuple[int, str]:
        """Return what names an incarnation; of two the later is greater.

        Of two that started in the same millisecond the ids decide, so that
        they never take turns.
        """
        return (self.started_at_ms, self.target_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Termination:
    """A target's notice that it ends; it names nothing but its id.

    ``at_ms`` is the Unix millisecond and ``received_s`` the monotonic second
    at which it was received.
    """

    at_ms: int
    received_s: float

    def applies_to(self, started_at_ms: int, now_s: float) -> bool:
        """Tell whether it was the end of the incarnation that began then.

        An incarnation that began before the notice was heard is taken for
        the one that ended: its heartbeats are late ones.  Target and daemon
        read one clock, their machine's.  Should that clock have jumped, the
        notice applies for only as long as a heartbeat may be late.
        """
        late = now_s - self.received_s < LATE_S
        return late and started_at_ms <= self.at_ms


def decide(
    status: TargetStatus, heartbeat: wire.Heartbeat, address: str, now_s: float
) -> tuple[Verdict, TargetStatus]:
    """Return what a heartbeat means, and what is known after it.

    :param address: the address of the target beside the daemon.
    """
    if heartbeat.address != address:
        return Verdict.FOREIGN, status
    incarnation = (heartbeat.started_at_ms, heartbeat.target_id)
    if incarnation > status.incarnation:
        return Verdict.NEW_LIFE, _first(heartbeat, now_s)
    if incarnation < status.incarnation:
        return Verdict.STALE, status
    if heartbeat.sequence <= status.sequence:
        return Verdict.STALE, status
    heard = dataclasses.replace(
        status,
        sequence=heartbeat.sequence,
        received_s=now_s,
        slots=heartbeat.slots or status.slots,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
    )
    leaves = heartbeat.state is wire.TargetState.DRAINING
    if leaves and status.phase is Phase.READY:
        return Verdict.CHANGED, left(heard, Phase.DRAINING, now_s)
    return Verdict.FRESH, heard


def restore(status: TargetStatus, recorded: TargetStatus) -> TargetStatus:
    """Return what is known once the record of an earlier incarnation is read.

    A record of the same incarnation that says it leaves goes before whatever
    was heard, and a record of a later incarnation too.
    """
    if status.phase is Phase.UNKNOWN:
        return recorded
    if recorded.incarnation > status.incarnation:
        return recorded
    leaves = recorded.phase in (Phase.DRAINING, Phase.GONE)
    if recorded.incarnation == status.incarnation and leaves:
        gone = left(status, recorded.phase, recorded.left_s)
        return dataclasses.replace(gone, ended_by_ms=recorded.ended_by_ms)
    return status


def left(status: TargetStatus, phase: Phase, now_s: float) -> TargetStatus:
    """Return what is known once the target has said that it leaves."""
    left_s = status.left_s or now_s
    return dataclasses.replace(status, phase=phase, left_s=left_s)


def ended(status: TargetStatus, termination: Termination) -> TargetStatus:
    """Return what is known once the target has said that it ends.

    What it says again meanwhile changes nothing, so that a slow write of
    the first notice isn't outdated by the next.
    """
    if status.phase is Phase.GONE and termination.at_ms <= status.ended_by_ms:
        return status
    gone = left(status, Phase.GONE, termination.received_s)
    return dataclasses.replace(
        gone, ended_by_ms=termination.at_ms + REPEATED_MS
    )


def _first(heartbeat: wire.Heartbeat, now_s: float) -> TargetStatus:
    leaves = heartbeat.state is wire.TargetState.DRAINING
    return TargetStatus(
        target_id=heartbeat.target_id,
        service=heartbeat.service,
        phase=Phase.DRAINING if leaves else Phase.READY,
        sequence=heartbeat.sequence,
        started_at_ms=heartbeat.started_at_ms,
        slots=heartbeat.slots,
        received_s=now_s,
        left_s=now_s if leaves else 0.0,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
    )
