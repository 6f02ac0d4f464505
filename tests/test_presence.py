"""Tests of a target's status, its heartbeats and its leaves."""

from __future__ import annotations

import dataclasses
import time
import typing

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
from standins import memory_store
from tests import fakes

ADDRESS = "10.0.0.1:80"
HOST = "10.0.0.1"
READY = wire.TargetState.READY
DRAINING = wire.TargetState.DRAINING
HEARTBEAT = wire.Heartbeat("i-1", "glade", ADDRESS, READY, 5, 1_000, 12)
STATUS = presence.TargetStatus(
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
def test_heartbeat_verdicts(
    changes: dict[str, object],
    verdict: presence.Verdict,
    phase: presence.Phase,
) -> None:
    sent = dataclasses.replace(HEARTBEAT, **changes)  # type: ignore[arg-type]
    status = dataclasses.replace(STATUS, received_s=45.0)
    found, status = presence.decide(status, sent, ADDRESS, 50.0, {})
    assert (found, status.phase) == (verdict, phase)


heartbeat_strategy = st.builds(
    wire.Heartbeat,
    st.sampled_from(["i-1", "i-2"]),
    st.just("glade"),
    st.just(ADDRESS),
    st.sampled_from(wire.TargetState),
    st.integers(1, 6),
    st.sampled_from([1_000, 2_000, 3_000]),
    st.just(12),
)


class _SteppedClock(clock.Clock):
    """A clock that only tests advance, and whose time of day may jump."""

    def __init__(self) -> None:
        self.steady_ms = 100_000
        self.offset_ms = 1_000_000

    def unix_ms(self) -> int:
        return self.steady_ms + self.offset_ms

    def steady_s(self) -> float:
        return self.steady_ms / 1000


@hypothesis.given(
    st.lists(
        st.tuples(heartbeat_strategy, st.sampled_from([0, 3_000, 11_000])),
        max_size=30,
    )
)
def test_an_incarnation_that_leaves_never_takes_work_again(
    received: list[tuple[wire.Heartbeat, int]],
) -> None:
    """Heartbeats may arrive late, twice and in any order.

    An incarnation with a lower start time supersedes the known one only by
    the leave of the same id, or once the known one has long been unheard.
    """
    machine = _SteppedClock()
    target = presence.LocalTarget(ADDRESS, machine)
    left: set[tuple[str, int]] = set()
    for heartbeat, pause_ms in received:
        machine.steady_ms += pause_ms
        before = target.status
        target.receive(heartbeat)
        status = target.status
        incarnation = (status.target_id, status.started_at_ms)
        if status.phase is presence.Phase.DRAINING:
            left.add(incarnation)
        else:
            assert incarnation not in left
        if status.started_at_ms < before.started_at_ms:
            unheard_s = machine.steady_s() - before.received_s
            assert status.leaves or unheard_s > _state.MAX_HEARTBEAT_DELAY_S


LATER = dataclasses.replace(HEARTBEAT, sequence=1, started_at_ms=3_000)
LOWER = dataclasses.replace(HEARTBEAT, sequence=1, started_at_ms=1_500)


# Guards against a target that goes on getting requests after its leave was
# acknowledged, as an earlier start of it has a higher start time.
@pytest.mark.parametrize("beats", [0, 1, 5])
def test_leave_of_a_target_that_started_with_a_lower_start_time_applies(
    beats: int,
) -> None:
    machine = _SteppedClock()
    target = presence.LocalTarget(ADDRESS, machine)
    target.receive(LATER)
    for sequence in range(1, beats + 1):
        machine.steady_ms += 1_500
        target.receive(dataclasses.replace(LOWER, sequence=sequence))
        assert phase_of(target) is presence.Phase.READY
    leave = dataclasses.replace(LOWER, sequence=9, state=DRAINING)
    target.receive(leave)
    assert target.has_left(leave)
    machine.steady_ms += 500
    assert not target.accepts_work(machine.steady_s())
    # A delayed heartbeat of the earlier start doesn't undo it.
    target.receive(dataclasses.replace(LATER, sequence=7))
    assert target.has_left(leave)


def test_lower_start_time_counts_once_the_known_target_is_silent() -> None:
    machine = _SteppedClock()
    target = presence.LocalTarget(ADDRESS, machine)
    target.receive(LATER)
    for sequence in range(1, 8):
        machine.steady_ms += 1_500
        target.receive(dataclasses.replace(LOWER, sequence=sequence))
    assert target.status.started_at_ms == LOWER.started_at_ms
    assert target.receive(LATER) is presence.Verdict.STALE


class _Heard:
    """A daemon that hears the targets which have its address in turn."""

    def __init__(self) -> None:
        self.clock = _SteppedClock()
        self.store = memory_store.MemoryStore()
        self.restart()
        self.delayed: list[tuple[int, wire.Heartbeat]] = []
        self.present = LATER
        self.leave_acknowledged = False
        self.start(same_id=True)

    def restart(self) -> None:
        """Start the daemon, again after a kill; it reads its record."""
        self.target = presence.LocalTarget(ADDRESS, self.clock)
        node = control.Node(fakes.member("daemon", 0, 0), recorded=True)
        self._follower = control.Follower(
            fakes.options("daemon"),
            self.store,
            node,
            wire.Native(),
            self.target,
        )
        self._follower._members.read()

    def start(self, same_id: bool) -> None:
        """Replace the present target; its first heartbeat is on time."""
        sent = self.present
        self.leave_acknowledged = False
        self.present = dataclasses.replace(
            sent,
            target_id=sent.target_id if same_id else f"{sent.target_id}x",
            started_at_ms=self.clock.unix_ms(),
            sequence=0,
            state=READY,
        )
        self.beat(0)

    def beat(self, delay_ms: int) -> None:
        """Send a heartbeat that arrives after a delay."""
        self.present = dataclasses.replace(
            self.present, sequence=self.present.sequence + 1
        )
        self.delayed.append((self.clock.steady_ms + delay_ms, self.present))
        self.wait(0)

    def drain(self) -> None:
        """Announce the leave, which is acknowledged if it is in effect."""
        self.present = dataclasses.replace(self.present, state=DRAINING)
        self.beat(0)
        if self.target.has_left(self.present):
            self.leave_acknowledged |= self._follower._recorder._current()

    def step(self, step_ms: int) -> None:
        """Have the time of day jump."""
        self.clock.offset_ms += step_ms

    def wait(self, pause_ms: int) -> None:
        """Let time pass, and have the heartbeats arrive that are due."""
        self.clock.steady_ms += pause_ms
        for item in sorted(self.delayed, key=lambda item: item[0]):
            if item[0] <= self.clock.steady_ms:
                self.delayed.remove(item)
                self.target.receive(item[1])
                self._record()

    def _record(self) -> None:
        """Write the record if it has changed, as after each heartbeat."""
        recorder = self._follower._recorder
        while not recorder._current():
            recorder._write(self._follower._compose())

    def reaches_present(self) -> bool:
        """Return whether a new request would reach the present target."""
        later_s = self.clock.steady_s() + 2 * _local.DRAIN_ADMIT_S
        same = self.target.status.target_id == self.present.target_id
        return same and self.target.accepts_work(later_s)


heard_events = st.one_of(
    st.tuples(st.just("start"), st.booleans()),
    st.tuples(st.just("beat"), st.integers(0, 9_900)),
    st.tuples(st.just("drain")),
    st.tuples(st.just("restart")),
    st.tuples(st.just("step"), st.sampled_from([-5_000, -2_000, 2_000])),
    st.tuples(st.just("wait"), st.sampled_from([1, 700, 1_500, 4_000])),
)


# Guards against requests to a target after its acknowledged leave, whatever
# the time of day does, however its heartbeats are delayed, and whenever the
# daemon is restarted.
@hypothesis.settings(max_examples=500)
@hypothesis.given(st.lists(heard_events, max_size=40))
def test_acknowledged_leave_binds_while_the_time_of_day_jumps(
    events: list[tuple[typing.Any, ...]],
) -> None:
    heard = _Heard()
    for name, *arguments in events:
        getattr(heard, name)(*arguments)
        assert not (heard.leave_acknowledged and heard.reaches_present())


# Guards against requests to a target after its acknowledged leave, as a
# heartbeat of its earlier start arrives once the daemon was restarted.
@pytest.mark.parametrize("step_ms", [-2_000, -5_000])
def test_leave_binds_after_a_restart_and_a_heartbeat_of_an_earlier_start(
    step_ms: int,
) -> None:
    heard = _Heard()
    heard.beat(9_000)
    heard.step(step_ms)
    heard.start(same_id=True)
    heard.drain()
    assert heard.leave_acknowledged
    heard.restart()
    heard.wait(9_000)
    assert not heard.reaches_present()


def test_a_draining_target_takes_work_only_briefly() -> None:
    target = presence.LocalTarget(ADDRESS)
    assert not target.accepts_work(time.monotonic())
    target.receive(HEARTBEAT)
    assert target.accepts_work(time.monotonic())
    target.receive(dataclasses.replace(HEARTBEAT, sequence=6, state=DRAINING))
    now_s = time.monotonic()
    assert target.accepts_work(now_s)
    assert not target.accepts_work(now_s + _local.DRAIN_ADMIT_S + 0.01)
    target.receive(dataclasses.replace(HEARTBEAT, sequence=7))
    assert not target.accepts_work(now_s + 1.0)


def phase_of(target: presence.LocalTarget) -> presence.Phase:
    """Return the phase of a target."""
    return target.status.phase


def test_a_leave_of_another_target_keeps_the_current_one_ready() -> None:
    target = presence.LocalTarget(ADDRESS)
    target.receive(HEARTBEAT)
    assert target.leave("i-9") is presence.LeaveSource.UNKNOWN
    assert phase_of(target) is presence.Phase.READY
    assert target.leave("i-1") is presence.LeaveSource.CURRENT
    assert phase_of(target) is presence.Phase.GONE


def test_an_invalidated_target_is_ready_at_its_next_heartbeat() -> None:
    target = presence.LocalTarget(ADDRESS)
    target.receive(HEARTBEAT)
    target.invalidate("i-9")
    assert phase_of(target) is presence.Phase.READY
    target.invalidate("i-1")
    assert phase_of(target) is presence.Phase.UNKNOWN
    target.receive(dataclasses.replace(HEARTBEAT, sequence=6))
    assert phase_of(target) is presence.Phase.READY


RECORDED = dataclasses.replace(STATUS, sequence=0)


def test_a_leave_received_before_the_record_is_read_applies() -> None:
    """A leave that arrives while no target is known is kept.

    A leave was acknowledged 0.14 s before the record was read.  The record
    gave the target as ready, and work was still sent to it.
    """
    target = presence.LocalTarget(ADDRESS)
    assert target.leave("i-1") is presence.LeaveSource.UNKNOWN
    target.restore(RECORDED)
    assert phase_of(target) is presence.Phase.GONE
    target.receive(dataclasses.replace(HEARTBEAT, sequence=9))
    assert phase_of(target) is presence.Phase.GONE
    later = dataclasses.replace(
        HEARTBEAT, target_id="i-2", started_at_ms=2_000
    )
    target.receive(later)
    assert phase_of(target) is presence.Phase.READY


def test_a_delayed_heartbeat_after_a_leave_is_stale() -> None:
    target = presence.LocalTarget(ADDRESS)
    target.leave("i-1")
    assert target.receive(HEARTBEAT) is presence.Verdict.STALE
    assert phase_of(target) is presence.Phase.UNKNOWN


def test_a_leave_applies_to_a_later_incarnation_of_its_id() -> None:
    """A leave carries only the id of the target.

    The incarnation that ended may be later than the one that is known.
    """
    target = presence.LocalTarget(ADDRESS)
    target.receive(HEARTBEAT)
    target.leave(HEARTBEAT.target_id)
    later = HEARTBEAT.started_at_ms + 1
    target.receive(
        dataclasses.replace(HEARTBEAT, started_at_ms=later, sequence=1)
    )
    assert phase_of(target) is presence.Phase.GONE


@pytest.mark.parametrize(
    ("started_at_ms", "after_s", "applies"),
    [
        (4_999, 0.0, True),
        (5_000, 0.0, True),
        (5_001, 0.0, False),
        (5_000, _state.MAX_HEARTBEAT_DELAY_S - 0.1, True),
        (5_000, _state.MAX_HEARTBEAT_DELAY_S, False),
    ],
)
def test_which_incarnations_a_termination_applies_to(
    started_at_ms: int, after_s: float, applies: bool
) -> None:
    termination = _state.Termination(5_000, 100.0)
    assert termination.applies_to(started_at_ms, 100.0 + after_s) is applies


def test_a_recorded_end_overrides_an_earlier_delayed_heartbeat() -> None:
    """The heartbeat is received before the record is read.

    The record is of an earlier incarnation.
    """
    machine = _Clock()
    target = presence.LocalTarget(ADDRESS, machine)
    delayed = dataclasses.replace(HEARTBEAT, sequence=1, started_at_ms=2_000)
    target.receive(delayed)
    ended = _state.mark_ended(RECORDED, _state.Termination(2_000, 0.0))
    target.restore(ended)
    assert dataclasses.replace(target.status, received_s=0.0) == ended
    assert target.receive(delayed) is presence.Verdict.STALE


def test_a_repeated_termination_keeps_the_status() -> None:
    """Otherwise a slow write of the status would always be obsolete."""
    first = _state.mark_ended(STATUS, _state.Termination(5_000, 100.0))
    assert _state.mark_ended(first, _state.Termination(6_000, 101.0)) == first
    later = _state.Termination(5_001 + _state.LEAVE_REPEAT_MS, 106.0)
    assert _state.mark_ended(first, later).ended_by_ms > first.ended_by_ms


def test_a_target_restarted_after_its_leave_is_ready() -> None:
    """It may restart at once: it starts after the leave was received."""
    machine = _Clock()
    target = presence.LocalTarget(ADDRESS, machine)
    target.receive(HEARTBEAT)
    target.leave(HEARTBEAT.target_id)
    later = dataclasses.replace(HEARTBEAT, sequence=1, started_at_ms=2_001)
    target.receive(later)
    assert phase_of(target) is presence.Phase.READY


class _Clock(clock.Clock):
    def unix_ms(self) -> int:
        return 2_000


# Guards against an acknowledged leave that nothing records, and that a late
# heartbeat undoes after a restart of the daemon.
@pytest.mark.parametrize(
    ("heard", "recorded", "invalidated", "acknowledged"),
    [
        (True, True, False, True),
        (True, False, False, False),
        (True, True, True, False),
        (False, True, False, False),
    ],
)
def test_leave_of_another_target_needs_the_record_of_a_later_one(
    heard: bool, recorded: bool, invalidated: bool, acknowledged: bool
) -> None:
    target = presence.LocalTarget(ADDRESS)
    if heard:
        target.receive(dataclasses.replace(HEARTBEAT, target_id="i-0"))
    target.receive(HEARTBEAT)
    if invalidated:
        target.invalidate(HEARTBEAT.target_id)
    handler = presence.HeartbeatHandler(
        wire.Native(), target, HOST, lambda _: recorded, lambda: {"glade"}
    )
    request = _Request(state="gone", upstream="i-0")
    if acknowledged:
        handler.handle(_as_request(request))
        assert request.status == 200
    else:
        with pytest.raises(errors.NotRecorded):
            handler.handle(_as_request(request))


# Guards against an acknowledged `draining` that was ignored.
def test_leave_of_a_superseded_incarnation_is_not_acknowledged() -> None:
    target = presence.LocalTarget(ADDRESS)
    handler = presence.HeartbeatHandler(
        wire.Native(), target, HOST, lambda _: True, lambda: {"glade"}
    )
    for started_at_ms in (1_000, 2_000):
        handler.handle(_as_request(_Request(started_at_ms=started_at_ms)))
    late = _Request(started_at_ms=1_000, sequence=2, state="draining")
    with pytest.raises(errors.NotRecorded):
        handler.handle(_as_request(late))
    assert phase_of(target) is presence.Phase.READY


def test_a_leave_of_an_unknown_target_is_not_acknowledged() -> None:
    handler = presence.HeartbeatHandler(
        wire.Native(),
        presence.LocalTarget(ADDRESS),
        HOST,
        lambda _: True,
        lambda: {"glade"},
    )
    with pytest.raises(errors.NotRecorded):
        handler.handle(_as_request(_Request(state="gone")))


def test_a_daemon_that_has_just_started_acknowledges_a_leave() -> None:
    """The leave was refused until the records of all members were listed."""
    platform = fakes.FaultyStore()
    node = control.Node(fakes.member("daemon", 0, 0), recorded=True)
    named = msgspec.structs.replace(
        node.member, target_id="i-1", target_started_at_ms=1_000
    )
    ready = _messages.MemberRecord(named, presence.Phase.READY)
    platform.put(store.Kind.MEMBERS, "daemon", ready, store.ABSENT)
    target = presence.LocalTarget(ADDRESS)
    follower = control.Follower(
        fakes.options("daemon"), platform, node, wire.Native(), target
    )
    follower._recorder.start()
    handler = presence.HeartbeatHandler(
        wire.Native(), target, HOST, follower.record, lambda: {"glade"}
    )
    request = _Request(state="gone")
    handler.handle(_as_request(request))
    assert request.status == 200
    record = _record.read(platform.get(store.Kind.MEMBERS, "daemon"))
    assert record is not None and record.phase is presence.Phase.GONE


@pytest.mark.parametrize(
    ("received", "recorded", "phase"),
    [
        ("READY", "DRAINING", "DRAINING"),
        ("READY", "GONE", "GONE"),
        ("READY", "READY", "READY"),
        ("DRAINING", "READY", "DRAINING"),
        ("UNKNOWN", "READY", "READY"),
    ],
)
def test_a_recorded_leave_overrides_a_delayed_heartbeat(
    received: str, recorded: str, phase: str
) -> None:
    status = dataclasses.replace(STATUS, phase=presence.Phase[received])
    if received == "UNKNOWN":
        status = presence.TargetStatus()
    record = dataclasses.replace(RECORDED, phase=presence.Phase[recorded])
    assert _state.restore(status, record, {}).phase is presence.Phase[phase]
    earlier = dataclasses.replace(record, started_at_ms=1)
    if received != "UNKNOWN":
        assert _state.restore(status, earlier, {}) == status


class _Request:
    """The part of a request that the native protocol reads."""

    method = "POST"
    path = "/upstream/v1/heartbeat"
    peer_host = HOST

    def __init__(self, **changes: object) -> None:
        body = {
            "upstream": "i-1",
            "service": "glade",
            "address": ADDRESS,
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
        """Keep the status of the answer."""
        self.status = status


@pytest.mark.parametrize(
    ("changes", "recorded", "error"),
    [
        ({}, True, None),
        ({}, False, None),
        ({"state": "draining"}, True, None),
        ({"state": "draining"}, False, errors.NotRecorded),
        (
            {"state": "draining", "address": "10.0.0.1:81"},
            True,
            errors.NotRecorded,
        ),
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
        presence.LocalTarget(ADDRESS),
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


def test_a_heartbeat_from_another_host_is_refused() -> None:
    target = presence.LocalTarget(ADDRESS)
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
