"""The upstream beside a daemon, as its guard and its control plane see it."""

from __future__ import annotations

import collections.abc
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

_log = logs.Logger("presence")

Listener = collections.abc.Callable[["_state.Known"], bool]


class LocalUpstream:
    """Holder of what is known of the upstream beside the daemon.

    :param address: the upstream's ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        self._known = _state.Known()

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

    def leave(self, upstream_id: str) -> bool:
        """Note that an upstream ends; False when it isn't the one known."""
        with self._lock:
            if self._known.upstream_id != upstream_id:
                _log.warning("{} leaves but isn't known.", upstream_id)
                return False
            self._known = _state.left(
                self._known, _state.Phase.GONE, time.monotonic()
            )
        _log.info("Upstream {} is gone.", upstream_id)
        return True

    def assume(self, known: _state.Known) -> None:
        """Go by what isn't a heartbeat, until there is one."""
        with self._lock:
            if self._known.phase is not _state.Phase.UNKNOWN:
                return
            self._known = known
        _log.info(
            "Upstream {} of {} is taken for {}.",
            known.upstream_id or self._address,
            known.service,
            known.phase.value,
        )

    def doubt(self, upstream_id: str) -> None:
        """Forget the upstream: another one answers at its address."""
        with self._lock:
            if self._known.upstream_id != upstream_id:
                return
            if self._known.phase is not _state.Phase.READY:
                return
            self._known = _state.Known()
        _log.warning("Another upstream has the address of {}.", upstream_id)
