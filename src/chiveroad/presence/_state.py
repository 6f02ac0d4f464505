"""Decides how a heartbeat changes the known status of a target.

Heartbeats may arrive late or twice, or come from a target that has crashed
or that has another address.  An incarnation of a target is identified by the
target's id and start time.  A later incarnation supersedes an earlier one,
and within an incarnation the greater sequence number wins.  An incarnation
that has announced its leave never takes work again.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from chiveroad import wire

MAX_HEARTBEAT_DELAY_S: typing.Final = 10.0
"""For how long a heartbeat of a target that has ended may still arrive."""

LEAVE_REPEAT_MS: typing.Final = 4_000
"""For how long a target repeats its leave while it isn't acknowledged."""


class Phase(enum.Enum):
    """The phases of a target's life cycle, as known to its daemon."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Verdict(enum.Enum):
    """The effect of a heartbeat on the target's status."""

    NEW_INCARNATION = "new incarnation"
    CHANGED = "change of state"
    FRESH = "no change of state"
    STALE = "superseded by a later heartbeat or by a leave"
    FOREIGN = "its address isn't the local target's"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """The status of the daemon's local target.

    ``received_s`` is when its last heartbeat was received, ``left_s`` when
    the target first announced its leave, and ``cold_until_s`` when its slow
    start ends, all in monotonic seconds.  Once a notice of the target's end
    was received, all incarnations of its id that started by ``ended_by_ms``,
    in Unix milliseconds, count as ended.
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
    def leaves(self) -> bool:
        """Return whether the target has announced its leave."""
        return self.phase in (Phase.DRAINING, Phase.GONE)

    @property
    def incarnation(self) -> tuple[int, str]:
        """Return the incarnation; a later incarnation compares greater.

        The id breaks the tie between two incarnations that started in the
        same millisecond, so that they don't alternate.
        """
        return (self.started_at_ms, self.target_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Termination:
    """A target's notice that it ends, which carries only the target's id.

    ``at_ms`` is the time of receipt in Unix milliseconds and ``received_s``
    the same time in monotonic seconds.
    """

    at_ms: int
    received_s: float

    def applies_to(self, started_at_ms: int, now_s: float) -> bool:
        """Return whether the notice ends an incarnation, by its start time.

        An incarnation that started before the notice was received counts as
        the one that ended: further heartbeats of it are delayed ones.  Target
        and daemon read the same clock, their machine's.  In case that clock
        has jumped, the notice applies only for the maximum delay of a
        heartbeat.
        """
        recent = now_s - self.received_s < MAX_HEARTBEAT_DELAY_S
        return recent and started_at_ms <= self.at_ms


def decide(
    status: TargetStatus, heartbeat: wire.Heartbeat, address: str, now_s: float
) -> tuple[Verdict, TargetStatus]:
    """Return the verdict on a heartbeat and the status that results.

    :param address: the address of the daemon's local target.
    """
    if heartbeat.address != address:
        return Verdict.FOREIGN, status
    incarnation = (heartbeat.started_at_ms, heartbeat.target_id)
    if incarnation > status.incarnation:
        return Verdict.NEW_INCARNATION, _initial_status(heartbeat, now_s)
    if incarnation < status.incarnation:
        return Verdict.STALE, status
    if heartbeat.sequence <= status.sequence:
        return Verdict.STALE, status
    updated = dataclasses.replace(
        status,
        sequence=heartbeat.sequence,
        received_s=now_s,
        slots=heartbeat.slots or status.slots,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
    )
    leaves = heartbeat.state is wire.TargetState.DRAINING
    if leaves and status.phase is Phase.READY:
        return Verdict.CHANGED, mark_leaving(updated, Phase.DRAINING, now_s)
    return Verdict.FRESH, updated


def restore(status: TargetStatus, recorded: TargetStatus) -> TargetStatus:
    """Merge the status with the one that an earlier daemon recorded.

    The record takes precedence over received heartbeats if it holds a later
    incarnation, or a leave of the same incarnation.
    """
    if status.phase is Phase.UNKNOWN:
        return recorded
    if recorded.incarnation > status.incarnation:
        return recorded
    if recorded.incarnation == status.incarnation and recorded.leaves:
        gone = mark_leaving(status, recorded.phase, recorded.left_s)
        return dataclasses.replace(gone, ended_by_ms=recorded.ended_by_ms)
    return status


def mark_leaving(
    status: TargetStatus, phase: Phase, now_s: float
) -> TargetStatus:
    """Return the status of a target that has announced its leave."""
    left_s = status.left_s or now_s
    return dataclasses.replace(status, phase=phase, left_s=left_s)


def mark_ended(status: TargetStatus, termination: Termination) -> TargetStatus:
    """Return the status of a target that has announced its end.

    A repeated notice changes nothing, so that it doesn't make a slow write
    of the first notice obsolete.
    """
    if status.phase is Phase.GONE and termination.at_ms <= status.ended_by_ms:
        return status
    gone = mark_leaving(status, Phase.GONE, termination.received_s)
    return dataclasses.replace(
        gone, ended_by_ms=termination.at_ms + LEAVE_REPEAT_MS
    )


def _initial_status(heartbeat: wire.Heartbeat, now_s: float) -> TargetStatus:
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
