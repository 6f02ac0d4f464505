"""The target beside a daemon, as its guard and its control plane see it."""

from __future__ import annotations

import enum
import threading
import typing

from chiveroad import clock
from chiveroad import logs
from chiveroad.presence import _state
from chiveroad import wire

DRAIN_ADMIT_S: typing.Final = 0.4
"""For how long new work is still taken once the target leaves: what other
daemons need to hear of it, and far below the two seconds that it serves on.
"""

_log = logs.Logger("presence")


class LeaveSource(enum.Enum):
    """Whose leave it was: of the target known, of another, or unclear."""

    KNOWN = "the upstream that is known"
    OTHER = "an upstream before the one that is known"
    UNKNOWN = "no upstream is known yet"


class LocalTarget:
    """Holder of what is known of the target beside the daemon.

    :param address: the target's ``HOST:PORT``.
    :param machine_clock: the clock that the target reads too.
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

    @property
    def status(self) -> _state.TargetStatus:
        """Return what is known now."""
        return self._status

    def takes_work(self, now_s: float) -> bool:
        """Tell whether new work may be sent to the target."""
        status = self._status
        if status.phase is _state.Phase.READY:
            return True
        if status.phase is _state.Phase.UNKNOWN:
            return False
        return now_s - status.left_s < DRAIN_ADMIT_S

    def receive(self, heartbeat: wire.Heartbeat) -> _state.Verdict:
        """Take in a heartbeat."""
        with self._lock:
            verdict, status = _state.decide(
                self._status, heartbeat, self._address, self._clock.steady_s()
            )
            new_life = verdict is _state.Verdict.NEW_LIFE
            if new_life and self._has_ended(
                heartbeat.target_id, heartbeat.started_at_ms
            ):
                verdict, status = _state.Verdict.STALE, self._status
            self._status = status
        if verdict in (_state.Verdict.NEW_LIFE, _state.Verdict.CHANGED):
            _log.info(
                "Target {} of {} is {}, heartbeat {}.",
                status.target_id,
                status.service,
                status.phase.value,
                status.sequence,
            )
        elif verdict is not _state.Verdict.FRESH:
            _log.warning(
                "Heartbeat {} of {} isn't used: {}.",
                heartbeat.sequence,
                heartbeat.target_id,
                verdict.value,
            )
        return verdict

    def leave(self, target_id: str) -> LeaveSource:
        """Note that a target ends."""
        with self._lock:
            status = self._status
            termination = _state.Termination(
                self._clock.unix_ms(), self._clock.steady_s()
            )
            self._terminations[target_id] = termination
            if status.target_id == target_id:
                self._status = _state.ended(status, termination)
        if status.target_id == target_id:
            _log.info("Target {} is gone.", target_id)
            return LeaveSource.KNOWN
        _log.warning("{} leaves but isn't known.", target_id)
        unknown = status.phase is _state.Phase.UNKNOWN
        return LeaveSource.UNKNOWN if unknown else LeaveSource.OTHER

    def restore(self, recorded: _state.TargetStatus) -> None:
        """Take in what an earlier life of this daemon has recorded.

        A heartbeat that came late may have been heard before the record was
        read: what the record says of leaving goes before it.
        """
        with self._lock:
            recorded = self._restore_termination(recorded)
            status = self._status
            gone = status.phase is _state.Phase.GONE
            if not gone and self._has_ended(
                status.target_id, status.started_at_ms
            ):
                # Heard late, and believed before the record was read.
                status = recorded
            self._status = _state.restore(status, recorded)
            status = self._status
        _log.info(
            "Target {} of {} is taken for {}.",
            status.target_id or self._address,
            status.service,
            status.phase.value,
        )

    def _restore_termination(
        self, recorded: _state.TargetStatus
    ) -> _state.TargetStatus:
        """Join what was recorded of an end with what was heard of one."""
        target_id = recorded.target_id
        if recorded.phase is _state.Phase.GONE:
            termination = _state.Termination(
                recorded.ended_by_ms, self._clock.steady_s()
            )
            self._terminations.setdefault(target_id, termination)
            return recorded
        if not self._has_ended(target_id, recorded.started_at_ms):
            return recorded
        return _state.ended(recorded, self._terminations[target_id])

    def _has_ended(self, target_id: str, started_at_ms: int) -> bool:
        termination = self._terminations.get(target_id)
        if termination is None:
            return False
        return termination.applies_to(started_at_ms, self._clock.steady_s())

    def invalidate(self, target_id: str) -> None:
        """Forget the target: another one answers at its address."""
        with self._lock:
            if self._status.target_id != target_id:
                return
            if self._status.phase is not _state.Phase.READY:
                return
            self._status = _state.TargetStatus()
        _log.warning("Another target has the address of {}.", target_id)
