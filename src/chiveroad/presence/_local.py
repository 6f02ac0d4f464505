"""The upstream beside a daemon, as its guard and its control plane see it."""

from __future__ import annotations

import enum
import threading
import time
import typing

from chiveroad import logs
from chiveroad.presence import _state
from chiveroad import wire

DRAIN_ADMIT_S: typing.Final = 0.4
"""For how long new work is still taken once the upstream leaves: what other
daemons need to hear of it, and far below the two seconds that it serves on.
"""

LATE_S: typing.Final = 10.0
"""For how long a heartbeat of an upstream that has left may still arrive."""

_log = logs.Logger("presence")


class Left(enum.Enum):
    """Whose leave it was: of the upstream known, of another, or unclear."""

    KNOWN = "the upstream that is known"
    OTHER = "an upstream before the one that is known"
    UNKNOWN = "no upstream is known yet"


class LocalUpstream:
    """Holder of what is known of the upstream beside the daemon.

    :param address: the upstream's ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        self._known = _state.Known()
        self._left_s: dict[str, float] = {}

    @property
    def known(self) -> _state.Known:
        """Return what is known now."""
        return self._known

    def takes_work(self, now_s: float) -> bool:
        """Tell whether new work may be sent to the upstream."""
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
                self._known, heartbeat, self._address, time.monotonic()
            )
            new_life = verdict is _state.Verdict.NEW_LIFE
            if new_life and self._has_left(heartbeat.upstream_id):
                verdict, known = _state.Verdict.STALE, self._known
            self._known = known
        if verdict in (_state.Verdict.NEW_LIFE, _state.Verdict.CHANGED):
            _log.info(
                "Upstream {} of {} is {}, heartbeat {}.",
                known.upstream_id,
                known.service,
                known.phase.value,
                known.sequence,
            )
        elif verdict is not _state.Verdict.FRESH:
            _log.warning(
                "Heartbeat {} of {} isn't used: {}.",
                heartbeat.sequence,
                heartbeat.upstream_id,
                verdict.value,
            )
        return verdict

    def leave(self, upstream_id: str) -> Left:
        """Note that an upstream ends."""
        with self._lock:
            known = self._known
            if known.upstream_id == upstream_id:
                self._known = _state.left(
                    known, _state.Phase.GONE, time.monotonic()
                )
            else:
                self._left_s[upstream_id] = time.monotonic()
        if known.upstream_id == upstream_id:
            _log.info("Upstream {} is gone.", upstream_id)
            return Left.KNOWN
        _log.warning("{} leaves but isn't known.", upstream_id)
        unknown = known.phase is _state.Phase.UNKNOWN
        return Left.UNKNOWN if unknown else Left.OTHER

    def recall(self, recorded: _state.Known) -> None:
        """Take in what an earlier life of this daemon has recorded.

        A heartbeat that came late may have been heard before the record was
        read: what the record says of leaving goes before it.
        """
        with self._lock:
            if self._has_left(recorded.upstream_id):
                recorded = _state.left(
                    recorded, _state.Phase.GONE, time.monotonic()
                )
            self._known = _state.recall(self._known, recorded)
            known = self._known
        _log.info(
            "Upstream {} of {} is taken for {}.",
            known.upstream_id or self._address,
            known.service,
            known.phase.value,
        )

    def _has_left(self, upstream_id: str) -> bool:
        left_s = self._left_s.get(upstream_id)
        return left_s is not None and time.monotonic() - left_s < LATE_S

    def doubt(self, upstream_id: str) -> None:
        """Forget the upstream: another one answers at its address."""
        with self._lock:
            if self._known.upstream_id != upstream_id:
                return
            if self._known.phase is not _state.Phase.READY:
                return
            self._known = _state.Known()
        _log.warning("Another upstream has the address of {}.", upstream_id)
