"""What heartbeats change in what is known of a target."""

from __future__ import annotations

import dataclasses
import time

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import clock
from chiveroad import control
from chiveroad.control import _messages
from chiveroad.control import _record
from chiveroad import errors
from chiveroad import presence
from chiveroad.presence import _local
from chiveroad.presence import _state
from chiveroad import serving
from chiveroad import store
from chiveroad import wire
from tests import fakes

HERE = "10.0.0.1:80"
HOST = "10.0.0.1"
READY = wire.TargetState.READY
DRAINING = wire.TargetState.DRAINING
BEAT = wire.Heartbeat("i-1", "glade", HERE, READY, 5, 1_000, 12)
KNOWN = presence.TargetStatus(
    "i-1", "glade", presence.Phase.READY, 5, 1_000, 12
)


@pytest.mark.parametrize(
    ("changes", "verdict", "phase"),
    [
        ({}, presence.Verdict.STALE, presence.Phase.READY),
        ({"sequence": 4}, presence.Verdict.STALE, presence.Phase.READY),
        ({"sequence": 6}, presence.Verdict.FRESH, presence.Phase.READY),
        (
            {"sequence": 6, "state": DRAINING},
            presence.Verdict.CHANGED,
            presence.Phase.DRAINING,
        ),
        (
            {"sequence": 4, "state": DRAINING},
            presence.Verdict.STALE,
            presence.Phase.READY,
        ),
        (
            {"target_id": "i-0", "started_at_ms": 900, "sequence": 99},
            presence.Verdict.STALE,
            presence.Phase.READY,
        ),
        (
            {"started_at_ms": 2_000, "sequence": 1},
            presence.Verdict.NEW_INCARNATION,
            presence.Phase.READY,
        ),
        (
            {"target_id": "i-2", "started_at_ms": 2_000, "state": DRAINING},
            presence.Verdict.NEW_INCARNATION,
            presence.Phase.DRAINING,
        ),
        (
            {"address": "10.0.0.2:80", "sequence": 6},
            presence.Verdict.FOREIGN,
            presence.Phase.READY,
        ),
    ],
)
def test_what_a_heartbeat_means(
    changes: dict[str, object],
    verdict: presence.Verdict,
    phase: presence.Phase,
) -> None:
    heartbeat = dataclasses.replace(BEAT, **changes)  # type: ignore[arg-type]
    found, status = presence.decide(KNOWN, heartbeat, HERE, 50.0)
    assert (found, status.phase) == (verdict, phase)


heartbeats = st.builds(
    wire.Heartbeat,
    st.sampled_from(["i-1", "i-2"]),
    st.just("glade"),
    st.just(HERE),
    st.sampled_from(wire.TargetState),
    st.integers(1, 6),
    st.sampled_from([1_000, 2_000, 3_000]),
    st.just(12),
)


@hypothesis.given(st.lists(heartbeats, max_size=30))
def test_a_life_that_leaves_never_takes_work_again(
    heard: list[wire.Heartbeat],
) -> None:
    """Whatever arrives late or twice, in whatever order."""
    status = presence.TargetStatus()
    left: set[tuple[str, int]] = set()
    latest_ms = 0
    for heartbeat in heard:
        _, status = presence.decide(status, heartbeat, HERE, 1.0)
        incarnation = (status.target_id, status.started_at_ms)
        if status.phase is presence.Phase.DRAINING:
            left.add(incarnation)
        else:
            assert incarnation not in left
        assert status.started_at_ms >= latest_ms
        latest_ms = status.started_at_ms


def test_a_target_that_leaves_takes_work_for_a_moment_only() -> None:
    target = presence.LocalTarget(HERE)
    assert not target.takes_work(time.monotonic())
    target.receive(BEAT)
    assert target.takes_work(time.monotonic())
    target.receive(dataclasses.replace(BEAT, sequence=6, state=DRAINING))
    now_s = time.monotonic()
    assert target.takes_work(now_s)
    assert not target.takes_work(now_s + _local.DRAIN_ADMIT_S + 0.01)
    target.receive(dataclasses.replace(BEAT, sequence=7))
    assert not target.takes_work(now_s + 1.0)


def phase_of(target: presence.LocalTarget) -> presence.Phase:
    """Return how far a target is."""
    return target.status.phase


def test_a_leave_of_another_target_changes_nothing() -> None:
    target = presence.LocalTarget(HERE)
    target.receive(BEAT)
    assert target.leave("i-9") is presence.LeaveSource.OTHER
    assert phase_of(target) is presence.Phase.READY
    assert target.leave("i-1") is presence.LeaveSource.CURRENT
    assert phase_of(target) is presence.Phase.GONE


def test_a_doubted_target_comes_back_with_its_next_heartbeat() -> None:
    target = presence.LocalTarget(HERE)
    target.receive(BEAT)
    target.invalidate("i-9")
    assert phase_of(target) is presence.Phase.READY
    target.invalidate("i-1")
    assert phase_of(target) is presence.Phase.UNKNOWN
    target.receive(dataclasses.replace(BEAT, sequence=6))
    assert phase_of(target) is presence.Phase.READY


RECORDED = dataclasses.replace(KNOWN, sequence=0)


def test_a_leave_before_the_record_is_read_counts_once_it_is() -> None:
    """Hold a leave that comes while nothing is known yet.

    Seen on coulee-launch, hunt-b19e-7: a leave was acknowledged 0.14 s
    before the record named the target as ready, and work was sent on.
    """
    target = presence.LocalTarget(HERE)
    assert target.leave("i-1") is presence.LeaveSource.UNKNOWN
    target.restore(RECORDED)
    assert phase_of(target) is presence.Phase.GONE
    target.receive(dataclasses.replace(BEAT, sequence=9))
    assert phase_of(target) is presence.Phase.GONE
    later = dataclasses.replace(BEAT, target_id="i-2", started_at_ms=2_000)
    target.receive(later)
    assert phase_of(target) is presence.Phase.READY


def test_a_late_heartbeat_after_an_unclear_leave_is_stale() -> None:
    target = presence.LocalTarget(HERE)
    target.leave("i-1")
    assert target.receive(BEAT) is presence.Verdict.STALE
    assert phase_of(target) is presence.Phase.UNKNOWN


def test_a_leave_binds_a_later_life_of_its_id_that_was_not_heard_yet() -> None:
    """The leave names an id; the life that left is later than the known."""
    target = presence.LocalTarget(HERE)
    target.receive(BEAT)
    target.leave(BEAT.target_id)
    later = BEAT.started_at_ms + 1
    target.receive(dataclasses.replace(BEAT, started_at_ms=later, sequence=1))
    assert phase_of(target) is presence.Phase.GONE


@pytest.mark.parametrize(
    ("started_at_ms", "after_s", "binds"),
    [
        (4_999, 0.0, True),
        (5_000, 0.0, True),
        (5_001, 0.0, False),
        (5_000, _state.MAX_HEARTBEAT_DELAY_S - 0.1, True),
        (5_000, _state.MAX_HEARTBEAT_DELAY_S, False),
    ],
)
def test_which_lives_the_notice_of_an_end_binds(
    started_at_ms: int, after_s: float, binds: bool
) -> None:
    termination = _state.Termination(5_000, 100.0)
    assert termination.applies_to(started_at_ms, 100.0 + after_s) is binds


def test_a_fresh_daemon_takes_back_a_late_heartbeat_of_who_has_ended() -> None:
    """It was heard before the record was; the record names a life before."""
    machine = _Clock()
    target = presence.LocalTarget(HERE, machine)
    late = dataclasses.replace(BEAT, sequence=1, started_at_ms=2_000)
    target.receive(late)
    ended = _state.mark_ended(RECORDED, _state.Termination(2_000, 0.0))
    target.restore(ended)
    assert target.status == ended
    assert target.receive(late) is presence.Verdict.STALE


def test_a_repeated_notice_leaves_the_record_as_it_is() -> None:
    """Else a slow write is outdated whenever it is done."""
    first = _state.mark_ended(KNOWN, _state.Termination(5_000, 100.0))
    assert _state.mark_ended(first, _state.Termination(6_000, 101.0)) == first
    later = _state.Termination(5_001 + _state.LEAVE_REPEAT_MS, 106.0)
    assert _state.mark_ended(first, later).ended_by_ms > first.ended_by_ms


def test_a_target_that_starts_again_after_its_leave_is_believed() -> None:
    """Also at once: it began after the leave was heard."""
    machine = _Clock()
    target = presence.LocalTarget(HERE, machine)
    target.receive(BEAT)
    target.leave(BEAT.target_id)
    later = dataclasses.replace(BEAT, sequence=1, started_at_ms=2_001)
    target.receive(later)
    assert phase_of(target) is presence.Phase.READY


class _Clock(clock.Clock):
    def unix_ms(self) -> int:
        return 2_000


def test_an_unclear_leave_is_not_acknowledged() -> None:
    handler = presence.HeartbeatHandler(
        wire.Native(),
        presence.LocalTarget(HERE),
        HOST,
        lambda _: True,
        lambda: {"glade"},
    )
    with pytest.raises(errors.NotRecorded):
        handler.handle(_as_request(_Request(state="gone")))


# Its target was refused until all members' records had been listed.
def test_a_daemon_that_has_just_started_acknowledges_a_leave() -> None:
    shared = fakes.FaultyStore()
    node = control.Node(fakes.member("daemon", 0, 0), recorded=True)
    named = msgspec.structs.replace(
        node.member, target_id="i-1", target_started_at_ms=1_000
    )
    ready = _messages.MemberRecord(named, presence.Phase.READY)
    shared.put(store.Kind.MEMBERS, "daemon", ready, store.ABSENT)
    target = presence.LocalTarget(HERE)
    follower = control.Follower(
        fakes.options("daemon"), shared, node, wire.Native(), target
    )
    follower._recorder.start()
    handler = presence.HeartbeatHandler(
        wire.Native(), target, HOST, follower.record, lambda: {"glade"}
    )
    request = _Request(state="gone")
    handler.handle(_as_request(request))
    assert request.status == 200
    record = _record.read(shared.get(store.Kind.MEMBERS, "daemon"))
    assert record is not None and record.phase is presence.Phase.GONE


@pytest.mark.parametrize(
    ("heard", "recorded", "phase"),
    [
        ("READY", "DRAINING", "DRAINING"),
        ("READY", "GONE", "GONE"),
        ("READY", "READY", "READY"),
        ("DRAINING", "READY", "DRAINING"),
        ("UNKNOWN", "READY", "READY"),
    ],
)
def test_what_a_record_says_of_leaving_goes_before_a_late_heartbeat(
    heard: str, recorded: str, phase: str
) -> None:
    status = dataclasses.replace(KNOWN, phase=presence.Phase[heard])
    if heard == "UNKNOWN":
        status = presence.TargetStatus()
    record = dataclasses.replace(RECORDED, phase=presence.Phase[recorded])
    assert _state.restore(status, record).phase is presence.Phase[phase]
    earlier = dataclasses.replace(record, started_at_ms=1)
    if heard != "UNKNOWN":
        assert _state.restore(status, earlier) == status


class _Request:
    """Just what the native protocol reads of a request."""

    method = "POST"
    path = "/upstream/v1/heartbeat"
    peer_host = HOST

    def __init__(self, **changes: object) -> None:
        body = {
            "upstream": "i-1",
            "service": "glade",
            "address": HERE,
            "state": "ready",
            "sequence": 1,
            "started_at_ms": 1_000,
        }
        self._body = msgspec.json.encode({**body, **changes})
        self.status = 0

    def read_body(self, limit: int) -> bytes:
        """Return the body."""
        return self._body

    def answer(self, status: int, headers: object, body: bytes) -> None:
        """Note the answer."""
        self.status = status


@pytest.mark.parametrize(
    ("changes", "recorded", "error"),
    [
        ({}, True, None),
        ({}, False, None),
        ({"state": "draining"}, True, None),
        ({"state": "draining"}, False, errors.NotRecorded),
        ({"state": "asleep"}, True, errors.BadRequest),
        ({"sequence": "one"}, True, errors.BadRequest),
        ({"service": "nobody"}, True, errors.BadRequest),
        (
            {"state": "gone", "upstream": "i-9"},
            True,
            errors.NotRecorded,
        ),
    ],
)
def test_a_leave_is_acknowledged_only_once_it_is_recorded(
    changes: dict[str, object],
    recorded: bool,
    error: type[errors.Refusal] | None,
) -> None:
    handler = presence.HeartbeatHandler(
        wire.Native(),
        presence.LocalTarget(HERE),
        HOST,
        lambda _: recorded,
        lambda: {"glade"},
    )
    request = _Request(**changes)
    if error is None:
        handler.handle(_as_request(request))
        assert request.status == 200
        return
    with pytest.raises(error):
        handler.handle(_as_request(request))


def test_a_heartbeat_from_another_host_changes_nothing() -> None:
    target = presence.LocalTarget(HERE)
    handler = presence.HeartbeatHandler(
        wire.Native(), target, HOST, lambda _: True, lambda: {"glade"}
    )
    forged = _Request()
    forged.peer_host = "10.9.9.9"
    with pytest.raises(errors.BadRequest):
        handler.handle(_as_request(forged))
    assert phase_of(target) is presence.Phase.UNKNOWN


def _as_request(request: _Request) -> serving.Request:
    return request  # type: ignore[return-value]
