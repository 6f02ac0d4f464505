"""The local target's status, shared by the guard and the control plane."""

from __future__ import annotations

import dataclasses
import enum
import threading
import types
import typing

from chiveroad import clock
from chiveroad import logs
from chiveroad.presence import _state
from chiveroad import wire

DRAIN_ADMIT_S: typing.Final = 0.4
"""For how long new work is still admitted once the target drains: other
daemons need this long to learn of the drain.  It is far below the two
seconds for which a draining target goes on serving.
"""

MAX_SUPERSEDED: typing.Final = 32
"""How many superseded incarnations are remembered: far more than can start
within the maximum delay of a heartbeat."""

_log = logs.Logger("presence")


class LeaveSource(enum.Enum):
    """Which target sent a leave, relative to the current target."""

    CURRENT = "the current target"
    EARLIER = "a target that the current one has superseded"
    UNKNOWN = "no target that has been heard"


class LocalTarget:
    """Holds the status of the daemon's local target.

    :param address: the target's ``HOST:PORT``.
    :param machine_clock: the machine's clock, which the target reads too.
    """

    def __init__(
        self,
        address: str,
        machine_clock: clock.Clock | None = None,
    ) -> None:
        self._address = address
        self._clock = machine_clock or clock.Clock()
        self._lock = threading.Lock()
        self._status = _state.TargetStatus()
        self._terminations: dict[str, _state.Termination] = {}
        self._superseded: dict[_state.Incarnation, _state.Superseded] = {}

    @property
    def status(self) -> _state.TargetStatus:
        """Return the target's present status."""
        return self._status

    def accepts_work(self, now_s: float) -> bool:
        """Return whether new work may be sent to the target."""
        status = self._status
        if status.phase is _state.Phase.READY:
            return True
        if status.phase is _state.Phase.UNKNOWN:
            return False
        return now_s - status.left_s < DRAIN_ADMIT_S

    def receive(self, heartbeat: wire.Heartbeat) -> _state.Verdict:
        """Apply a heartbeat to the status."""
        with self._lock:
            verdict, status = _state.decide(
                self._status,
                heartbeat,
                self._address,
                self._clock.steady_s(),
                self._superseded,
            )
            new_incarnation = verdict is _state.Verdict.NEW_INCARNATION
            if new_incarnation and self._has_ended(
                heartbeat.target_id, heartbeat.started_at_ms
            ):
                verdict, status = _state.Verdict.STALE, self._status
            self._replace_status(status)
        if verdict in (_state.Verdict.NEW_INCARNATION, _state.Verdict.CHANGED):
            _log.info(
                "Target {} of service {} is {} as of heartbeat {}.",
                status.target_id,
                status.service,
                status.phase.value,
                status.sequence,
            )
        elif verdict is not _state.Verdict.FRESH:
            _log.warning(
                "Heartbeat {} of target {} ignored: {}.",
                heartbeat.sequence,
                heartbeat.target_id,
                verdict.value,
            )
        return verdict

    def leave(self, target_id: str) -> LeaveSource:
        """Apply a target's notice that it ends."""
        with self._lock:
            status = self._status
            termination = _state.Termination(
                self._clock.unix_ms(), self._clock.steady_s()
            )
            self._terminations[target_id] = termination
            if status.target_id == target_id:
                self._status = _state.mark_ended(status, termination)
            earlier = status.phase is not _state.Phase.UNKNOWN and any(
                known == target_id for _, known in self._superseded
            )
        if status.target_id == target_id:
            _log.info("Target {} sent its leave and is gone.", target_id)
            return LeaveSource.CURRENT
        source = LeaveSource.EARLIER if earlier else LeaveSource.UNKNOWN
        _log.warning(
            "Target {} sent a leave but isn't the current target: it is {}.",
            target_id,
            source.value,
        )
        return source

    def has_left(self, heartbeat: wire.Heartbeat) -> bool:
        """Return whether the leave that a heartbeat announces is in effect."""
        status = self._status
        same = _state.incarnation_of(heartbeat) == status.incarnation
        return same and status.leaves

    def mark_leaving(self, incarnation: tuple[int, str]) -> bool:
        """Apply an answer in which the target states that it leaves.

        :param incarnation: the incarnation that the answer came from.
        :returns: whether this wasn't known yet.
        """
        with self._lock:
            status = self._status
            ready = status.phase is _state.Phase.READY
            if not ready or status.incarnation != incarnation:
                return False
            self._status = _state.mark_leaving(
                status, _state.Phase.DRAINING, self._clock.steady_s()
            )
        _log.info(
            "Target {} of service {} states in an answer that it leaves.",
            status.target_id or self._address,
            status.service,
        )
        return True

    def set_status(self, status: _state.TargetStatus) -> None:
        """Set the status of a target that sends no heartbeats."""
        with self._lock:
            self._status = status

    def superseded_with_later_start(self) -> _state.Superseding:
        """Return what start times don't tell about the order of incarnations.

        These are the incarnations that the present one has superseded though
        their start times are greater, since the clock has jumped.  An earlier
        daemon's record has to hold them: their heartbeats may be delayed.
        """
        with self._lock:
            present = self._status.incarnation
            return {
                incarnation: known
                for incarnation, known in self._superseded.items()
                if incarnation > present
            }

    def restore(
        self,
        recorded: _state.TargetStatus,
        superseded: _state.Superseding = types.MappingProxyType({}),
    ) -> None:
        """Merge the status recorded by an earlier incarnation of this daemon.

        A delayed heartbeat may have been received before the record was
        read: a leave in the record takes precedence over it.

        :param superseded: the result of ``superseded_with_later_start``, as
            it was recorded.
        """
        with self._lock:
            for incarnation, known in superseded.items():
                self._superseded.setdefault(incarnation, known)
            recorded = self._restore_termination(recorded)
            status = self._status
            gone = status.phase is _state.Phase.GONE
            if not gone and self._has_ended(
                status.target_id, status.started_at_ms
            ):
                # The status stems from a delayed heartbeat that was accepted
                # before the record was read.
                status = recorded
            restored = _state.restore(status, recorded, superseded)
            if not restored.received_s:
                # A heartbeat that is delayed may precede the record.
                restored = dataclasses.replace(
                    restored, received_s=self._clock.steady_s()
                )
            self._replace_status(restored)
            status = self._status
        _log.info(
            "Record read: target {} of service {} is {}.",
            status.target_id or self._address,
            status.service,
            status.phase.value,
        )

    def _replace_status(self, status: _state.TargetStatus) -> None:
        """Set the status, and remember an incarnation that it supersedes."""
        former = self._status
        self._status = status
        self._superseded.pop(status.incarnation, None)
        if former.incarnation == status.incarnation or not former.target_id:
            return
        self._superseded[former.incarnation] = _state.Superseded(
            former.sequence, former.leaves
        )
        while len(self._superseded) > MAX_SUPERSEDED:
            del self._superseded[next(iter(self._superseded))]

    def _restore_termination(
        self, recorded: _state.TargetStatus
    ) -> _state.TargetStatus:
        """Reconcile a recorded end with a received notice of an end."""
        target_id = recorded.target_id
        if recorded.phase is _state.Phase.GONE:
            termination = _state.Termination(
                recorded.ended_by_ms, self._clock.steady_s()
            )
            self._terminations.setdefault(target_id, termination)
            return recorded
        if not self._has_ended(target_id, recorded.started_at_ms):
            return recorded
        return _state.mark_ended(recorded, self._terminations[target_id])

    def _has_ended(self, target_id: str, started_at_ms: int) -> bool:
        termination = self._terminations.get(target_id)
        if termination is None:
            return False
        return termination.applies_to(started_at_ms, self._clock.steady_s())

    def invalidate(self, target_id: str) -> None:
        """Discard the status: another target answers at the address."""
        with self._lock:
            if self._status.target_id != target_id:
                return
            if self._status.phase is not _state.Phase.READY:
                return
            self._replace_status(_state.TargetStatus())
        _log.warning(
            "Another target answers at the address of {}; "
            "its status is unknown until the next heartbeat.",
            target_id,
        )
