"""Taking a target's heartbeats and acknowledging them."""

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
"""A target waits a second for its acknowledgement."""

_log = logs.Logger("presence")

Record = collections.abc.Callable[[float], bool]
"""Has what is known recorded, and waits up to some seconds for it."""


class HeartbeatHandler(serving.Handler):
    """Answers the heartbeats of the target beside the daemon.

    An acknowledgement of a leave binds all lives of this daemon, so it is
    given only once the leave is recorded outside of this process.

    :param host: the target's host; nobody else may speak for it.
    :param record: returns whether what is known has been recorded.
    :param services: returns the names of the services that exist.
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
        """Answer one heartbeat."""
        if request.peer_host != self._host:
            _log.warning("A heartbeat comes from {}.", request.peer_host)
            raise errors.BadRequest("only the upstream's host may call this")
        try:
            heard = self._protocol.read_heartbeat(request)
        except errors.BadRequest as refusal:
            _log.warning("A heartbeat can't be read: {}.", refusal)
            raise
        if isinstance(heard, wire.Leave):
            self._leave(heard)
        else:
            self._receive(heard)
        content_type, body = self._protocol.heartbeat_answer()
        request.answer(http.HTTPStatus.OK, [content_type], body)

    def _receive(self, heartbeat: wire.Heartbeat) -> None:
        if heartbeat.service not in self._services():
            _log.warning(
                "A heartbeat of {} names the unknown service {}.",
                heartbeat.target_id,
                heartbeat.service,
            )
            raise errors.BadRequest("the service isn't known")
        if self._target.receive(heartbeat) is _state.Verdict.FOREIGN:
            return
        if self._target.status.phase is _state.Phase.READY:
            self._record(0.0)
        else:
            self._record_leave()

    def _leave(self, leave: wire.Leave) -> None:
        whose = self._target.leave(leave.target_id)
        if whose is _local.LeaveSource.UNKNOWN and self._record(
            RECORD_TIMEOUT_S
        ):
            # The record may name it; it is read by now.
            whose = self._target.leave(leave.target_id)
        if whose is _local.LeaveSource.UNKNOWN:
            raise errors.NotRecorded("no record names it", RECORD_RETRY_MS)
        if whose is _local.LeaveSource.KNOWN:
            self._record_leave()

    def _record_leave(self) -> None:
        if not self._record(RECORD_TIMEOUT_S):
            raise errors.NotRecorded("not recorded yet", RECORD_RETRY_MS)
