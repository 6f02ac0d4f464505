"""Receives and acknowledges the heartbeats of the daemon's local target."""

from __future__ import annotations

import collections.abc
import http
import typing

from chiveroad import errors
from chiveroad import logs
from chiveroad.presence import _local
from chiveroad.presence import _state
from chiveroad import serving
from chiveroad import wire

RECORD_RETRY_MS: typing.Final = 200
RECORD_TIMEOUT_S: typing.Final = 0.8
"""Below the second that a target waits for its acknowledgement."""

_log = logs.Logger("presence")

Record = collections.abc.Callable[[float], bool]
"""Waits up to some seconds until the target's status is recorded in the
store, and returns whether it is."""


class HeartbeatHandler(serving.Handler):
    """Answers the heartbeats of the daemon's local target.

    An acknowledged leave must survive restarts of this daemon, so a leave is
    acknowledged only once it is recorded outside of this process.

    :param host: the target's host; heartbeats from other hosts are refused.
    :param record: returns whether the target's status is recorded.
    :param services: returns the names of the configured services.
    """

    def __init__(
        self,
        protocol: wire.Protocol,
        target: _local.LocalTarget,
        host: str,
        record: Record,
        services: collections.abc.Callable[[], collections.abc.Container[str]],
    ) -> None:
        self._protocol = protocol
        self._target = target
        self._host = host
        self._record = record
        self._services = services

    def handle(self, request: serving.Request) -> None:
        """Process and answer one heartbeat."""
        if request.peer_host != self._host:
            _log.warning(
                "Heartbeat from {} refused: only {} may send heartbeats.",
                request.peer_host,
                self._host,
            )
            raise errors.BadRequest("only the upstream's host may call this")
        try:
            message = self._protocol.read_heartbeat(request)
        except errors.BadRequest as refusal:
            _log.warning("Heartbeat refused, can't be decoded: {}.", refusal)
            raise
        if isinstance(message, wire.Leave):
            self._leave(message)
        else:
            self._receive(message)
        content_type, body = self._protocol.heartbeat_answer()
        request.answer(http.HTTPStatus.OK, [content_type], body)

    def _receive(self, heartbeat: wire.Heartbeat) -> None:
        if heartbeat.service not in self._services():
            _log.warning(
                "Heartbeat of target {} refused: unknown service {}.",
                heartbeat.target_id,
                heartbeat.service,
            )
            raise errors.BadRequest("the service isn't known")
        verdict = self._target.receive(heartbeat)
        if heartbeat.state is wire.TargetState.DRAINING:
            if not self._target.has_left(heartbeat):
                raise errors.NotRecorded(
                    f"the leave was ignored: {verdict.value}", RECORD_RETRY_MS
                )
            self._record_leave()
        elif verdict is not _state.Verdict.FOREIGN:
            self._record(0.0)

    def _leave(self, leave: wire.Leave) -> None:
        source = self._target.leave(leave.target_id)
        if source is _local.LeaveSource.UNKNOWN and self._record(
            RECORD_TIMEOUT_S
        ):
            # Recording has read the target's record from the store, which
            # may name this target.
            source = self._target.leave(leave.target_id)
        if source is _local.LeaveSource.UNKNOWN:
            # A late heartbeat could bring it back after a restart.
            raise errors.NotRecorded("no record names it", RECORD_RETRY_MS)
        # The record then names this target as gone, or a later one.
        self._record_leave()

    def _record_leave(self) -> None:
        if not self._record(RECORD_TIMEOUT_S):
            raise errors.NotRecorded("not recorded yet", RECORD_RETRY_MS)
