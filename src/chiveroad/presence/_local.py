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


class Left(enum.Enum):
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
        self._known = _state.Known()
        self._endings: dict[str, _state.Ending] = {}

    @property
    def known(self) -> _state.Known:
        """Return what is known now."""
        return self._known

    def takes_work(self, now_s: float) -> bool:
        """Tell whether new work may be sent to the target."""
        known = self._known
        if known.phase is _state.Phase.READY:
            return True
        if known.phase is _state.Phase.UNKNOWN:
            return False
        return now_s - known.left_s < DRAIN_ADMIT_S

    def hear(self, heartbeat: wire.Heartbeat) -> _state.Verdict:
        """Take in a heartbeat."""
        with self._lock:
            verdict, known = _state.decide(
                self._known, heartbeat, self._address, self._clock.steady_s()
            )
            new_life = verdict is _state.Verdict.NEW_LIFE
            if new_life and self._has_ended(
                heartbeat.target_id, heartbeat.started_at_ms
            ):
                verdict, known = _state.Verdict.STALE, self._known
            self._known = known
        if verdict in (_state.Verdict.NEW_LIFE, _state.Verdict.CHANGED):
            _log.info(
                "Target {} of {} is {}, heartbeat {}.",
                known.target_id,
                known.service,
                known.phase.value,
                known.sequence,
            )
        elif verdict is not _state.Verdict.FRESH:
            _log.warning(
                "Heartbeat {} of {} isn't used: {}.",
                heartbeat.sequence,
                heartbeat.target_id,
                verdict.value,
            )
        return verdict

    def leave(self, target_id: str) -> Left:
        """Note that a target ends."""
        with self._lock:
            known = self._known
            ending = _state.Ending(
                self._clock.unix_ms(), self._clock.steady_s()
            )
            self._endings[target_id] = ending
            if known.target_id == target_id:
                self._known = _state.ended(known, ending)
        if known.target_id == target_id:
            _log.info("Target {} is gone.", target_id)
            return Left.KNOWN
        _log.warning("{} leaves but isn't known.", target_id)
        unknown = known.phase is _state.Phase.UNKNOWN
        return Left.UNKNOWN if unknown else Left.OTHER

    def recall(self, recorded: _state.Known) -> None:
        """Take in what an earlier life of this daemon has recorded.

        A heartbeat that came late may have been heard before the record was
        read: what the record says of leaving goes before it.
        """
        with self._lock:
            recorded = self._recall_ending(recorded)
            known = self._known
            gone = known.phase is _state.Phase.GONE
            if not gone and self._has_ended(
                known.target_id, known.started_at_ms
            ):
                # Heard late, and believed before the record was read.
                known = recorded
            self._known = _state.recall(known, recorded)
            known = self._known
        _log.info(
            "Target {} of {} is taken for {}.",
            known.target_id or self._address,
            known.service,
            known.phase.value,
        )

    def _recall_ending(self, recorded: _state.Known) -> _state.Known:
        """Join what was recorded of an end with what was heard of one."""
        target_id = recorded.target_id
        if recorded.phase is _state.Phase.GONE:
            ending = _state.Ending(
                recorded.ended_by_ms, self._clock.steady_s()
            )
            self._endings.setdefault(target_id, ending)
            return recorded
        if not self._has_ended(target_id, recorded.started_at_ms):
            return recorded
        return _state.ended(recorded, self._endings[target_id])

    def _has_ended(self, target_id: str, started_at_ms: int) -> bool:
        ending = self._endings.get(target_id)
        if ending is None:
            return False
        return ending.binds(started_at_ms, self._clock.steady_s())

    def doubt(self, target_id: str) -> None:
        """Forget the target: another one answers at its address."""
        with self._lock:
            if self._known.target_id != target_id:
                return
            if self._known.phase is not _state.Phase.READY:
                return
            self._known = _state.Known()
        _log.warning("Another target has the address of {}.", target_id)
