"""Deciding what a heartbeat changes in what is known of a target.

Heartbeats may come late, twice, from a target that has died, or from
somebody else.  One life of a target is its id and the time of its start;
a later life overtakes an earlier one, and within a life the greater sequence
number counts.  A life that has said it leaves never takes work again.
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
class Known:
    """What is known of the target beside the daemon.

    ``heard_s`` is when it was last heard and ``left_s`` when it first said
    that it leaves, both in monotonic seconds; ``cold_until_s`` is when it
    will have warmed up.  Once it was heard to end, its id's lives that began
    by ``ended_by_ms``, in Unix milliseconds, are taken for ended too.
    """

    target_id: str = ""
    service: str = ""
    phase: Phase = Phase.UNKNOWN
    sequence: int = 0
    started_at_ms: int = 0
    slots: int = 0
    heard_s: float = 0.0
    left_s: float = 0.0
    cold_until_s: float = 0.0
    ended_by_ms: int = 0

    @property
    def life(self) -> tuple[int, str]:
        """Return what names a life; of two lives the later is greater.

        Of two that started in the same millisecond the ids decide, so that
        they never take turns.
        """
        return (self.started_at_ms, self.target_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """A target's notice that it ends; it names nothing but its id.

    ``at_ms`` is the Unix millisecond and ``heard_s`` the monotonic second at
    which it was heard.
    """

    at_ms: int
    heard_s: float

    def binds(self, started_at_ms: int, now_s: float) -> bool:
        """Tell whether it was the end of the life that began then.

        A life that began before the notice was heard is taken for the one
        that ended: its heartbeats are late ones.  Target and daemon read
        one clock, their machine's.  Should that clock have jumped, the notice
        binds for only as long as a heartbeat may be late.
        """
        late = now_s - self.heard_s < LATE_S
        return late and started_at_ms <= self.at_ms


def decide(
    known: Known, heartbeat: wire.Heartbeat, address: str, now_s: float
) -> tuple[Verdict, Known]:
    """Return what a heartbeat means, and what is known after it.

    :param address: the address of the target beside the daemon.
    """
    if heartbeat.address != address:
        return Verdict.FOREIGN, known
    life = (heartbeat.started_at_ms, heartbeat.target_id)
    if life > known.life:
        return Verdict.NEW_LIFE, _first(heartbeat, now_s)
    if life < known.life:
        return Verdict.STALE, known
    if heartbeat.sequence <= known.sequence:
        return Verdict.STALE, known
    heard = dataclasses.replace(
        known,
        sequence=heartbeat.sequence,
        heard_s=now_s,
        slots=heartbeat.slots or known.slots,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
    )
    leaves = heartbeat.state is wire.TargetState.DRAINING
    if leaves and known.phase is Phase.READY:
        return Verdict.CHANGED, left(heard, Phase.DRAINING, now_s)
    return Verdict.FRESH, heard


def recall(known: Known, recorded: Known) -> Known:
    """Return what is known once the record of an earlier life is read.

    A record of the same life that says it leaves goes before whatever was
    heard, and a record of a later life too.
    """
    if known.phase is Phase.UNKNOWN:
        return recorded
    if recorded.life > known.life:
        return recorded
    leaves = recorded.phase in (Phase.DRAINING, Phase.GONE)
    if recorded.life == known.life and leaves:
        gone = left(known, recorded.phase, recorded.left_s)
        return dataclasses.replace(gone, ended_by_ms=recorded.ended_by_ms)
    return known


def left(known: Known, phase: Phase, now_s: float) -> Known:
    """Return what is known once the target has said that it leaves."""
    left_s = known.left_s or now_s
    return dataclasses.replace(known, phase=phase, left_s=left_s)


def ended(known: Known, ending: Ending) -> Known:
    """Return what is known once the target has said that it ends.

    What it says again meanwhile changes nothing, so that a slow write of
    the first notice isn't outdated by the next.
    """
    if known.phase is Phase.GONE and ending.at_ms <= known.ended_by_ms:
        return known
    gone = left(known, Phase.GONE, ending.heard_s)
    return dataclasses.replace(gone, ended_by_ms=ending.at_ms + REPEATED_MS)


def _first(heartbeat: wire.Heartbeat, now_s: float) -> Known:
    leaves = heartbeat.state is wire.TargetState.DRAINING
    return Known(
        target_id=heartbeat.target_id,
        service=heartbeat.service,
        phase=Phase.DRAINING if leaves else Phase.READY,
        sequence=heartbeat.sequence,
        started_at_ms=heartbeat.started_at_ms,
        slots=heartbeat.slots,
        heard_s=now_s,
        left_s=now_s if leaves else 0.0,
        cold_until_s=now_s + heartbeat.cold_ms / 1000,
    )
