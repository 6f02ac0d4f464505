"""Decides how a heartbeat changes the known status of a target.

Heartbeats may arrive late or twice, or come from a target that has crashed
or that has another address.  An incarnation of a target is identified by the
target's id and start time.  A later incarnation supersedes an earlier one,
and within an incarnation the greater sequence number wins.  An incarnation
that has announced its leave never takes work again.

Start times are read from a clock that may jump, so a lower one doesn't prove
that an incarnation is earlier.  Only one target at a time has the address, and
heartbeats are late by a limited time; see ``_succeeds``.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

from chiveroad import wire

MAX_HEARTBEAT_DELAY_S: typing.Final = 10.0
"""For how long a heartbeat of a target that has ended may still arrive."""

LEAVE_REPEAT_MS: typing.Final = 4_000
"""For how long a target repeats its leave while it isn't acknowledged."""


Incarnation = tuple[int, str]
"""The start time and the id of a target."""


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
    in Unix milliseconds, count as ended.  ``software_version`` is empty if
    the target doesn't name it.
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
    software_version: str = ""

    @property
    def leaves(self) -> bool:
        """Return whether the target has announced its leave."""
        return self.phase in (Phase.DRAINING, Phase.GONE)

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation.

        A later one compares greater unless the clock has jumped.  The id
        breaks the tie between two incarnations that started in the same
        millisecond, so that they don't alternate.
        """
        return (self.started_at_ms, self.target_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """What was known of an incarnation when another one superseded it."""

    sequence: int
    leaves: bool


Superseding = collections.abc.Mapping[Incarnation, Superseded]


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
    status: TargetStatus,
    heartbeat: wire.Heartbeat,
    address: str,
    now_s: float,
    superseded: Superseding,
) -> tuple[Verdict, TargetStatus]:
    """Return the verdict on a heartbeat and the status that results.

    :param address: the address of the daemon's local target.
    :param superseded: the incarnations that were superseded.
    """
    if heartbeat.address != address:
        return Verdict.FOREIGN, status
    if incarnation_of(heartbeat) != status.incarnation:
        if _succeeds(heartbeat, status, now_s, superseded):
            return Verdict.NEW_INCARNATION, _initial_status(heartbeat, now_s)
        return Verdict.STALE, status
    if heartbeat.sequence <= status.sequence:
        return Verdict.STALE, status
    updated = dataclasses.replace(
        status,
        sequence=heartbeat.sequence,
        received_s=now_s,
        slots=heartbeat.slots or status.slots,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
        software_version=(
            heartbeat.software_version or status.software_version
        ),
    )
    leaves = heartbeat.state is wire.TargetState.DRAINING
    if leaves and status.phase is Phase.READY:
        return Verdict.CHANGED, mark_leaving(updated, Phase.DRAINING, now_s)
    return Verdict.FRESH, updated


def incarnation_of(heartbeat: wire.Heartbeat) -> Incarnation:
    """Return the incarnation that has sent a heartbeat."""
    return (heartbeat.started_at_ms, heartbeat.target_id)


def _succeeds(
    heartbeat: wire.Heartbeat,
    status: TargetStatus,
    now_s: float,
    superseded: Superseding,
) -> bool:
    """Return whether a heartbeat's incarnation supersedes the known one.

    Once the known one has been unheard for the maximum delay of a heartbeat,
    a heartbeat that arrives was sent after its last one, and so comes from
    the target that has the address now.  Before that, one with a lower start
    time may be a delayed one of an earlier incarnation.  If it announces the
    leave of a target with the known id, it is believed all the same: the
    target couldn't tell that work for it is meant for another incarnation.
    """
    incarnation = incarnation_of(heartbeat)
    leaves = heartbeat.state is wire.TargetState.DRAINING
    same_id = heartbeat.target_id == status.target_id
    earlier = superseded.get(incarnation)
    if earlier is not None and (
        heartbeat.sequence <= earlier.sequence
        or (earlier.leaves and not leaves)
    ):
        return False
    if status.phase is Phase.UNKNOWN:
        return True
    if now_s - status.received_s > MAX_HEARTBEAT_DELAY_S:
        return True
    if earlier is not None:
        return False
    if incarnation > status.incarnation:
        return True
    return leaves and same_id and status.phase is Phase.READY


def restore(
    status: TargetStatus, recorded: TargetStatus, superseded: Superseding
) -> TargetStatus:
    """Merge the status with the one that an earlier daemon recorded.

    The record takes precedence over received heartbeats if it holds a later
    incarnation, or a leave of the same incarnation.

    :param superseded: the incarnations that the recorded one superseded,
        whatever their start times.
    """
    if status.phase is Phase.UNKNOWN or status.incarnation in superseded:
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
        software_version=heartbeat.software_version,
    )
