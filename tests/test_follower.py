"""Following a version that was accepted outside of chiveroad."""

from __future__ import annotations

import collections.abc
import contextlib
import functools
import threading
import time

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import clock
from chiveroad import config
from chiveroad.config import _delta
from chiveroad import control
from chiveroad.control import _backoff
from chiveroad.control import _follow_tree
from chiveroad.control import _follower
from chiveroad.control import _freshness
from chiveroad.control import _messages
from chiveroad.control import _parent_exchanges
from chiveroad.control import _record
from chiveroad.control import _source
from chiveroad import errors
from chiveroad import membership
from chiveroad import presence
from chiveroad import serving
from chiveroad import store
from chiveroad import wire
from standins import link
from standins import memory_store
from standins import mesh
from tests import fakes

WAIT_S = 20.0
APPLY_WITHIN_S = 2.0
"""What the settings of these daemons have."""

FULL_LINK_ONE_WAY_S = 0.25


def daemon(name: str, distance_ms: int = 0) -> membership.Member:
    """Return a daemon at a distance from the store."""
    found = fakes.member(name, incarnation=0, sequence=1)
    return membership.Member(
        **{
            field: getattr(found, field)
            for field in found.__struct_fields__
            if field != "store_distance_ms"
        },
        store_distance_ms=distance_ms,
    )


FAILED = {"a": _freshness.Failure(100.0, 1)}


@pytest.mark.parametrize(
    ("mine", "others", "failures", "now_s", "chosen"),
    [
        ("b", ["a", "b", "c"], {}, 100.0, "a"),
        ("a", ["a", "b", "c"], {}, 100.0, None),
        ("c", ["c"], {}, 100.0, None),
        ("c", ["a", "b", "c"], FAILED, 101.0, "b"),
        ("c", ["a", "b", "c"], FAILED, 103.0, "a"),
        ("b", ["a", "b", "c"], FAILED, 101.0, None),
    ],
)
def test_whom_a_daemon_follows(
    mine: str,
    others: list[str],
    failures: dict[str, _freshness.Failure],
    now_s: float,
    chosen: str | None,
) -> None:
    members = [daemon(name) for name in others]
    tree = _follow_tree.FollowTree(members)
    found = _freshness.choose_parent(daemon(mine), tree, failures, now_s)
    assert (found.instance if found else None) == chosen


def test_a_daemon_never_follows_an_older_record_of_itself() -> None:
    tree = _follow_tree.FollowTree([daemon("c")])
    assert _freshness.choose_parent(daemon("c", 40), tree, {}, 0.0) is None


def test_the_neighbours_of_the_store_are_followed_first() -> None:
    members = [daemon("a", 40), daemon("b", 3)]
    tree = _follow_tree.FollowTree(members)
    assert (
        _freshness.choose_parent(daemon("c", 41), tree, {}, 0.0) == members[1]
    )
    assert _freshness.choose_parent(members[1], tree, {}, 0.0) is None


names = st.sampled_from("abcdef")


@hypothesis.given(
    st.dictionaries(names, st.integers(0, 40), min_size=1),
    st.dictionaries(names, st.dictionaries(names, st.integers(1, 4))),
)
def test_no_two_daemons_wait_for_each_other(
    distances: dict[str, int], failed: dict[str, dict[str, int]]
) -> None:
    """Whoever each of them believes to have failed."""
    members = [daemon(name, far) for name, far in distances.items()]
    tree = _follow_tree.FollowTree(members)
    for member in members:
        seen = {member.instance}
        current = member
        while True:
            failures = {
                name: _freshness.Failure(0.0, count)
                for name, count in failed.get(current.instance, {}).items()
            }
            above = _freshness.choose_parent(current, tree, failures, 1.0)
            if above is None:
                break
            assert above.instance not in seen
            seen.add(above.instance)
            current = above


def test_a_version_is_stale_when_it_goes_unconfirmed() -> None:
    bounds = _freshness.FreshnessBounds(2.0)
    assert bounds.is_stale(None, 0.0) and bounds.is_suspect(None, 0.0)
    assert not bounds.is_stale(10.0, 11.0) and bounds.is_suspect(10.0, 11.0)
    assert bounds.is_stale(10.0, 11.2)
    assert bounds.store_due_in_s(10.0, 10.1) == pytest.approx(1.0)
    assert (
        bounds.store_due_in_s(10.0, 12.0)
        == bounds.store_due_in_s(None, 0.0)
        == 0.0
    )


@pytest.mark.parametrize(
    ("changed_s", "now_s", "missed"),
    [(9.5, 10.5, False), (9.5, 11.0, True), (8.0, 11.0, False)],
)
def test_in_a_storm_the_newest_is_read_and_not_all_since(
    changed_s: float, now_s: float, missed: bool
) -> None:
    """A watch brings every version since, 180 KB each."""
    bounds = _freshness.FreshnessBounds(2.0)
    assert bounds.likely_superseded(changed_s, 10.0, now_s) is missed


def test_a_short_bound_leaves_half_of_it_for_the_store() -> None:
    assert _freshness.FreshnessBounds(1.0).stale_after_s == 0.5


@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_the_store_is_asked_while_its_answer_can_be_in_time(
    apply_within_s: float,
) -> None:
    bounds = _freshness.FreshnessBounds(apply_within_s)
    left_s = apply_within_s - bounds.stale_after_s
    assert left_s == pytest.approx(_freshness.STORE_RESERVE_S)
    assert not bounds.is_suspect(0.0, _follower.HOLD_MS / 1000)


def test_pauses_double_up_to_a_limit_and_begin_anew() -> None:
    backoff = _backoff.Backoff(0.1, 0.6)
    pauses = [backoff.next_s() for _ in range(8)]
    for pause_s, middle_s in zip(pauses, (0.1, 0.2, 0.4, 0.6, 0.6, 0.6)):
        assert 0.5 * middle_s <= pause_s <= 1.5 * middle_s
    backoff.reset()
    assert backoff.next_s() <= 0.15


class Recording:
    """A recorder, the store behind it, and what is to be recorded."""

    def __init__(self) -> None:
        self.platform = fakes.FaultyStore()
        self.wanted: _messages.MemberRecord | None = None
        self.recorder = _record.Recorder(
            self.platform, "glade-1", lambda: self.wanted, self.restore
        )

    def restore(self, stored: store.StoredObject | None) -> None:
        """Take in what the store was read to hold."""
        if stored is None:
            self.recorder.set_stored(None, store.ABSENT)
            return
        self.recorder.set_stored(_record.read(stored), stored.version)

    def stored(self) -> presence.Phase:
        """Return the phase that the store holds."""
        found = self.platform.get(store.Kind.MEMBERS, "glade-1")
        record = _record.read(found)
        assert record is not None
        return record.phase


@pytest.fixture
def recording() -> collections.abc.Iterator[Recording]:
    """Yield a recorder that runs."""
    found = Recording()
    found.recorder.start()
    yield found
    found.recorder.stopped = True
    found.recorder.record(0.0)


def record_of(phase: presence.Phase) -> _messages.MemberRecord:
    """Return a record."""
    return _messages.MemberRecord(
        fakes.member("glade-1", incarnation=0, sequence=0), phase
    )


@pytest.mark.parametrize(
    "fault", ["none", "lose", "drop", "foreign", "earlier"]
)
def test_a_record_is_written_in_the_end(
    recording: Recording, fault: str
) -> None:
    platform = recording.platform
    if fault in ("lose", "drop"):
        setattr(platform, fault, 2)
    if fault == "foreign":
        platform.put(store.Kind.MEMBERS, "glade-1", "what?", store.ABSENT)
    if fault == "earlier":
        old = record_of(presence.Phase.READY)
        platform.put(store.Kind.MEMBERS, "glade-1", old, store.ABSENT)
    recording.wanted = record_of(presence.Phase.DRAINING)
    assert recording.recorder.record(WAIT_S)
    assert recording.stored() is presence.Phase.DRAINING


def test_nothing_counts_as_recorded_while_the_store_is_down(
    recording: Recording,
) -> None:
    recording.platform.down = True
    recording.wanted = record_of(presence.Phase.DRAINING)
    assert not recording.recorder.record(0.3)
    recording.platform.down = False
    assert recording.recorder.record(WAIT_S)
    assert recording.stored() is presence.Phase.DRAINING


PAUSE_S = 30.0


# A leave that came in a pause after a failure was refused all the same.
def test_who_waits_for_a_record_ends_the_pause_after_a_failure(
    recording: Recording, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_backoff.Backoff, "next_s", lambda _: PAUSE_S)
    recording.platform.down = True
    recording.wanted = record_of(presence.Phase.READY)
    assert not recording.recorder.record(0.2)
    recording.platform.down = False
    recording.wanted = record_of(presence.Phase.DRAINING)
    assert recording.recorder.record(WAIT_S)
    assert recording.stored() is presence.Phase.DRAINING


def test_who_does_not_wait_ends_no_pause(
    recording: Recording, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_backoff.Backoff, "next_s", lambda _: PAUSE_S)
    recording.platform.down = True
    recording.wanted = record_of(presence.Phase.READY)
    assert not recording.recorder.record(0.2)
    recording.platform.down = False
    for _ in range(5):
        assert not recording.recorder.record(0.0)
        time.sleep(0.02)
    with pytest.raises(errors.StoreNotFound):
        recording.stored()


# Else each daemon that starts would read its record on its own account.
def test_a_record_is_read_only_for_one_who_waits(
    recording: Recording,
) -> None:
    assert recording.recorder.record(0.0)
    time.sleep(0.05)
    assert recording.platform.gets == 0
    recording.platform.down = True
    assert not recording.recorder.record(0.3)
    time.sleep(0.05)
    asked = recording.platform.gets
    assert asked
    time.sleep(0.5)
    assert recording.platform.gets == asked
    recording.platform.down = False
    assert recording.recorder.record(WAIT_S)
    assert recording.platform.gets == asked + 1


# Each try cost two calls, and the second of them could be refused as well.
def test_a_refused_write_is_made_again_without_reading_first(
    recording: Recording,
) -> None:
    recording.wanted = record_of(presence.Phase.READY)
    assert recording.recorder.record(WAIT_S)
    asked = recording.platform.gets
    recording.platform.refuse = 2
    recording.wanted = record_of(presence.Phase.DRAINING)
    assert recording.recorder.record(WAIT_S)
    assert recording.stored() is presence.Phase.DRAINING
    assert recording.platform.gets == asked + 1


def test_an_earlier_record_is_taken_in_before_anything_is_written(
    recording: Recording,
) -> None:
    """A late heartbeat may come before a fresh daemon has read its record.

    The record said that the target had left; it was written over.
    """
    gone = record_of(presence.Phase.GONE)
    recording.platform.put(store.Kind.MEMBERS, "glade-1", gone, store.ABSENT)
    taken_in = recording.restore

    def restore(stored: store.StoredObject | None) -> None:
        recording.wanted = gone
        taken_in(stored)

    recording.recorder._restore = restore
    recording.wanted = record_of(presence.Phase.READY)
    assert recording.recorder.record(WAIT_S)
    assert recording.stored() is presence.Phase.GONE


class Following:
    """A daemon's control plane over a shared store, its address served."""

    def __init__(
        self, name: str, ports: mesh.Ports, platform: store.Store
    ) -> None:
        self.ports = ports
        entry, guard, self.address = (ports.take() for _ in range(3))
        options = fakes.options(
            name, domain="a", entry=entry, guard=guard, control=self.address
        )
        first = membership.Member(
            name,
            "glade",
            "a",
            "r",
            0,
            0,
            membership.State.STARTING,
            entry,
            guard,
            self.address,
        )
        self.node = control.Node(first, recorded=True)
        self.target = presence.LocalTarget("127.0.0.1:9")
        self.plane = control.Follower(
            options,
            platform,
            self.node,
            wire.Native(),
            self.target,
        )
        handler = control.ControlHandler(self.node, self.plane)
        self.server = serving.Server(self.address, handler, 8)

    def start(self, sequence: int = 1) -> None:
        """Begin, with a target that is ready."""
        self.server.open()
        self.plane.start()
        self.target.receive(
            wire.Heartbeat(
                f"i-{self.node.member.instance}",
                "glade",
                "127.0.0.1:9",
                wire.TargetState.READY,
                sequence,
                1_000,
                12,
            )
        )
        self.plane.record(0.0)

    def has_version(self, number: int) -> bool:
        """Tell whether a version, or a newer one, is in force."""
        return self.node.applied.current.number >= number

    def stop(self) -> None:
        """End at once."""
        self.plane.stopped = True
        self.server.stop()


class Way(store.Store):
    """One daemon's way to a store that all share; it may be cut."""

    def __init__(self, shared: store.Store) -> None:
        self._shared = shared
        self.cut = False
        self.calls = 0
        self.watches = 0
        self.whole_reads = 0

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        self.whole_reads += kind is store.Kind.ACCEPTED
        return self._open().get(kind, name)

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return objects."""
        return self._open().list(kind, prefix)

    def put(
        self, kind: store.Kind, name: str, spec: object, version: int
    ) -> store.StoredObject:
        """Write an object."""
        return self._open().put(kind, name, spec, version)

    def delete(self, kind: store.Kind, name: str, version: int) -> None:
        """Delete an object."""
        self._open().delete(kind, name, version)

    def watch(
        self, kind: store.Kind, version: int, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield changes."""
        self.watches += kind is store.Kind.ACCEPTED
        yield from self._open().watch(kind, version, timeout_s)

    def _open(self) -> store.Store:
        self.calls += 1
        if self.cut:
            raise errors.StoreUnavailable("cut off")
        return self._shared


def accept(platform: store.Store, number: int) -> None:
    """Accept a version as the platform's operator does."""
    service = config.Service("glade", "t", 0, 10, 10, ("*",), {})
    items = dict([config.service_item(service)])
    value = {"number": number, "items": items}
    store.overwrite(platform, store.Kind.ACCEPTED, "main", value)


def wait_for(found: collections.abc.Callable[[], bool]) -> None:
    """Poll until something holds."""
    mesh.wait_for(lambda: found() or None, "it", WAIT_S)


@contextlib.contextmanager
def fleet(
    names: str,
) -> collections.abc.Iterator[
    tuple[store.Store, dict[str, Way], dict[str, Following]]
]:
    """Yield a store, ways to it and daemons, which are stopped at the end."""
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    ways = {name: Way(shared) for name in names}
    planes = {name: Following(name, ports, ways[name]) for name in names}
    try:
        yield shared, ways, planes
    finally:
        for plane in planes.values():
            plane.stop()


def test_all_follow_one_that_watches_and_ask_the_store_when_it_fails() -> None:
    with fleet("abc") as (shared, ways, planes):
        for name in "abc":
            planes[name].start()
        wait_for(
            lambda: all(len(p.node.view.all()) == 3 for p in planes.values())
        )
        wait_for(lambda: planes["a"].plane.roles() == ["watcher"])
        wait_for(lambda: planes["b"].plane.roles() == [])
        wait_for(lambda: planes["c"].plane.roles() == [])
        before = ways["c"].watches
        accept(shared, 4)
        wait_for(lambda: _numbers(planes) == {4})
        assert ways["c"].watches - before <= 1
        # The one that is followed is cut off from the store alone.
        ways["a"].cut = True
        accept(shared, 5)
        wait_for(lambda: planes["c"].node.applied.current.number == 5)
        wait_for(lambda: _numbers(planes) == {5})
        ways["a"].cut = False
        wait_for(lambda: planes["c"].plane.roles() == [])
        # It dies without a word.
        planes["a"].stop()
        accept(shared, 6)
        wait_for(lambda: planes["b"].node.applied.current.number == 6)
        wait_for(lambda: planes["c"].node.applied.current.number == 6)


def test_a_daemon_that_starts_beside_others_reads_from_its_parent() -> None:
    """A rolling restart must not read whole configurations from the store."""
    with fleet("ab") as (_, ways, planes):
        first, late = planes["a"], planes["b"]
        first.start()
        wait_for(lambda: first.node.applied.ready)
        wait_for(lambda: first.plane.record(0.1))
        late.start()
        wait_for(lambda: late.node.applied.current.number == 3)
        wait_for(lambda: late.plane.roles() == [])
        assert ways["b"].whole_reads == 0


def test_a_start_beside_others_costs_two_calls_of_the_store() -> None:
    """All members are listed once, and the own record is written."""
    with fleet("abcd") as (_, ways, planes):
        for name in "abc":
            planes[name].start()
            applied = planes[name].node.applied
            wait_for(functools.partial(getattr, applied, "ready"))
            wait_for(functools.partial(planes[name].plane.record, 0.1))
        planes["d"].start()
        wait_for(lambda: planes["d"].plane.record(0.1))
        wait_for(lambda: planes["d"].plane.roles() == [])
        time.sleep(1.0)
        assert ways["d"].calls == 2


def test_one_asks_the_store_for_all_below_a_parent_that_is_behind() -> None:
    """Their parent answers, but is cut off from the store."""
    names = "abcdef"
    with fleet(names) as (shared, ways, planes):
        for plane in planes.values():
            plane.start()
        wait_for(
            lambda: all(len(p.node.view.all()) == 6 for p in planes.values())
        )
        wait_for(lambda: all(not planes[n].plane.roles() for n in names[1:]))
        before = {name: way.watches for name, way in ways.items()}
        ways["a"].cut = True
        wait_for(lambda: planes["b"].plane.roles() == ["watcher"])
        accept(shared, 4)
        wait_for(lambda: _numbers(planes) == {4})
        time.sleep(2 * _freshness.FreshnessBounds(2.0).stale_after_s)
        asked = [n for n in names[2:] if ways[n].watches > before[n]]
        assert len(asked) <= 1


# A daemon behind a full link gave up each parent before its answer came.
def test_answers_over_a_full_link_bring_versions_in_time() -> None:
    """Each way takes 0.25 s, a new connection twice as long."""
    with fleet("abc") as (shared, ways, planes):
        links = [behind_a_full_link(planes[name]) for name in "ab"]
        try:
            for plane in planes.values():
                plane.start()
            last = planes["c"]
            wait_for(lambda: len(last.node.view.all()) == 3)
            wait_for(lambda: last.node.applied.current.number == 3)
            ways["c"].cut = True
            for number in range(4, 8):
                time.sleep(0.9)
                accept(shared, number)
                accepted_s = time.monotonic()
                wait_for(functools.partial(last.has_version, number))
                took_s = time.monotonic() - accepted_s
                assert took_s <= APPLY_WITHIN_S
        finally:
            for each in links:
                each.stop()


def behind_a_full_link(plane: Following) -> link.Link:
    """Put a slow link in front of a daemon's control address."""
    target = plane.ports.take()
    plane.server = serving.Server(target, plane.server.handler, 8)
    slow = link.Link(plane.address, target, FULL_LINK_ONE_WAY_S)
    slow.start()
    return slow


class Asked:
    """Parents that answer when they are let."""

    def __init__(self) -> None:
        self.let = {name: threading.Event() for name in "abc"}
        self.answered: list[str] = []

    def ask(
        self, _: _source.ParentSource, parent: membership.Member, __: int
    ) -> None:
        """Wait for a parent's answer."""
        self.let[parent.instance].wait(WAIT_S)
        self.answered.append(parent.instance)


# A parent whose answer was late was given up before another had answered.
def test_a_late_answer_counts_while_others_are_asked_beside_it() -> None:
    node = control.Node(fakes.member("d"), recorded=True)
    asked = Asked()
    exchanges = _parent_exchanges.ParentExchanges(
        asked.ask, lambda: _source.ParentSource(node), 0.05
    )
    try:
        for name in "abc":
            assert exchanges.begin(fakes.member(name), 0)
            exchanges.wait()
        assert exchanges.pending() == set("abc")
        asked.let["b"].set()
        wait_for(lambda: exchanges.pending() == set("ac"))
        asked.let["a"].set()
        wait_for(lambda: exchanges.pending() == {"c"})
        assert asked.answered == ["b", "a"]
    finally:
        for event in asked.let.values():
            event.set()
        exchanges.stop()


def test_no_more_parents_are_asked_at_once_than_there_are_workers() -> None:
    node = control.Node(fakes.member("z"), recorded=True)
    let = threading.Event()
    exchanges = _parent_exchanges.ParentExchanges(
        lambda *_: None if let.wait(WAIT_S) else None,
        lambda: _source.ParentSource(node),
        0.01,
    )
    names = [
        f"p-{number}" for number in range(_parent_exchanges.MAX_EXCHANGES + 1)
    ]
    begun = [exchanges.begin(fakes.member(name), 0) for name in names]
    let.set()
    wait_for(lambda: not exchanges.pending())
    assert begun == [True] * _parent_exchanges.MAX_EXCHANGES + [False]
    assert exchanges.begin(fakes.member(names[0]), 0)
    exchanges.stop()


def test_a_daemon_that_starts_cut_off_from_the_store_is_helped() -> None:
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    way = Way(shared)
    first, late = (Following(name, ports, Way(shared)) for name in "ab")
    late.stop()
    late = Following("b", ports, way)
    first.start()
    try:
        wait_for(lambda: first.node.applied.ready)
        record = _messages.MemberRecord(late.node.member, presence.Phase.READY)
        shared.put(store.Kind.MEMBERS, "b", record, store.ABSENT)
        way.cut = True
        late.start()
        wait_for(lambda: late.node.applied.current.number == 3)
        wait_for(lambda: late.plane.parent == first.address)
    finally:
        first.stop()
        late.stop()


# The record kept the addresses of the life before, where nobody listens.
def test_a_daemon_that_comes_back_elsewhere_records_where_it_is() -> None:
    shared = memory_store.MemoryStore()
    before = _messages.MemberRecord(
        fakes.member("a", incarnation=0, sequence=0), presence.Phase.READY
    )
    shared.put(store.Kind.MEMBERS, "a", before, store.ABSENT)
    ports = mesh.Ports()
    back = Following("a", ports, shared)
    back.start()
    try:

        def recorded() -> str:
            record = _record.read(shared.get(store.Kind.MEMBERS, "a"))
            assert record is not None
            return record.member.control

        wait_for(lambda: recorded() == back.address)
        wait_for(lambda: back.node.member.control == back.address)
    finally:
        back.stop()


def test_a_restarted_daemon_goes_by_its_record_until_it_hears() -> None:
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    one = Following("a", ports, Way(shared))
    one.start()
    wait_for(lambda: one.plane.record(0.1))
    assert one.target.leave("i-a")
    wait_for(lambda: one.plane.record(0.1))
    one.stop()
    again = Following("a", ports, Way(shared))
    again.server.open()
    again.plane.start()
    try:
        wait_for(lambda: again.target.status.phase is presence.Phase.GONE)
        assert not again.target.takes_work(time.monotonic())
    finally:
        again.stop()


def _numbers(planes: dict[str, Following]) -> set[int]:
    return {plane.node.applied.current.number for plane in planes.values()}


@pytest.mark.parametrize(
    ("ago_ms", "current"),
    [(-1.0, False), (0.0, True), (1_100.0, True), (1_101.0, False)],
)
def test_a_parent_that_is_behind_is_not_relied_on(
    ago_ms: float, current: bool
) -> None:
    answer = _messages.SyncAnswer("s", 1, 1, "d", "", ago_ms)
    assert _freshness.FreshnessBounds(2.0).is_current(answer) is current


@pytest.fixture
def parent() -> collections.abc.Iterator[Following]:
    """Yield a daemon that only answers."""
    ports = mesh.Ports()
    found = Following("a", ports, memory_store.MemoryStore())
    found.server.open()
    yield found
    found.stop()
    ports.close()


def child_of(parent: Following) -> tuple[control.Node, _source.ParentSource]:
    """Return a node below a daemon, and its way to it."""
    node = control.Node(daemon("b"), recorded=True)
    return node, _source.ParentSource(node, confirmations=True)


def test_a_change_costs_one_digest_and_what_changed(
    parent: Following, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A storm of changes to 1,560 routes: a daemon compiles each once."""
    service = config.Service(
        "glade", "t", 0, 10, 10, ("*",), {"k": config.Kind(1, True, 900)}
    )
    routes = [
        config.Route(f"r{n}", "t", f"/{n}", ("*",), "glade", "k", f"h{n % 40}")
        for n in range(1_560)
    ]
    items = dict(
        sorted([config.service_item(service), *map(config.route_item, routes)])
    )
    parent.node.applied.offer(1, config.digest(items), items)
    node, source = child_of(parent)
    source.sync(parent.address, 0, unconfirmed=False)
    first = node.applied.config
    moved = config.Route("r7", "t", "/moved", ("*",), "glade", "k", "h7")
    items = {**items, **dict([config.route_item(moved)])}
    parent.node.applied.offer(2, config.digest(items), items)
    digests = []
    whole = config.digest

    def counted(found: config.Items) -> str:
        digests.append(len(found))
        return whole(found)

    monkeypatch.setattr(config, "digest", counted)
    monkeypatch.setattr(_delta, "digest", counted)
    source.sync(parent.address, 0, unconfirmed=False)
    assert node.applied.current.number == 2
    assert digests == [1_561]
    second = node.applied.config
    kept = [n for n, r in second.routes.items() if r is first.routes[n]]
    assert len(kept) == 1_559
    assert second.match("GET", "/moved", "h7") == moved


def test_a_newer_confirmation_ends_a_hold(parent: Following) -> None:
    node, source = child_of(parent)
    now_s = clock.now_s()
    parent.node.applied.confirm(now_s - 10.0)
    source.sync(parent.address, 0, unconfirmed=False)
    confirm = parent.node.applied.confirm
    threading.Timer(0.2, confirm, [now_s - 1.0]).start()
    started_s = time.monotonic()
    source.sync(parent.address, 4_000, unconfirmed=False)
    assert 0.1 < time.monotonic() - started_s < 3.0
    confirmed_s = node.applied.confirmed_s
    assert confirmed_s is not None and confirmed_s > now_s - 5.0


def test_a_confirmation_that_is_hardly_newer_ends_no_hold(
    parent: Following,
) -> None:
    _, source = child_of(parent)
    now_s = clock.now_s()
    parent.node.applied.confirm(now_s)
    source.sync(parent.address, 0, unconfirmed=False)
    threading.Timer(0.1, parent.node.applied.confirm, [now_s + 0.1]).start()
    started_s = time.monotonic()
    source.sync(parent.address, 500, unconfirmed=False)
    assert time.monotonic() - started_s >= 0.5


def test_a_new_life_of_a_parent_is_told_of_the_domain(
    parent: Following,
) -> None:
    node, source = child_of(parent)
    node.merge([daemon("c")])
    source.sync(parent.address, 0, unconfirmed=False)
    assert parent.node.view.get("c") is not None
    parent.server.stop()
    again = control.Node(daemon("a"), recorded=True)
    handler = control.ControlHandler(again, parent.plane)
    server = serving.Server(parent.address, handler, 8)
    server.open()
    try:
        for _ in range(2):
            source.sync(parent.address, 0, unconfirmed=False)
        assert again.view.get("c") is not None
    finally:
        server.stop()


def test_a_change_of_parent_costs_the_records_that_are_news(
    parent: Following, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a deployment all of a region turn to a new leader at once."""
    records = [recorded(f"m{n}", revision=n + 1) for n in range(228)]
    parent.node.merge(records)
    parent.node.advance_as_of(228)
    node, source = child_of(parent)
    node.merge(records[:226])
    node.advance_as_of(226)
    source.sync(parent.address, 0, unconfirmed=False, region=True)
    assert source.answer is not None
    heard = {member.instance for member in source.answer.members}
    # The parent's own first word has no record yet.
    assert heard == {"a", "m226", "m227"}
    assert node.as_of == 228
    assert node.pending_updates() == []


def test_a_parent_that_knows_no_records_is_told_of_them_once(
    parent: Following,
) -> None:
    """It started while the store was down."""
    node, source = child_of(parent)
    node.merge([recorded(f"m{n}", revision=n + 1) for n in range(3)])
    node.advance_as_of(3)
    source.sync(parent.address, 0, unconfirmed=False)
    told = {member.instance for member in node.pending_updates()}
    assert told >= {"m0", "m1", "m2"}
    source.sync(parent.address, 0, unconfirmed=False)
    assert parent.node.view.get("m2") is not None
    assert node.pending_updates() == []
    source.sync(parent.address, 0, unconfirmed=False)
    assert node.pending_updates() == []


def recorded(name: str, revision: int) -> membership.Member:
    """Return a daemon as its record says."""
    return msgspec.structs.replace(daemon(name), sequence=revision)


def test_a_record_that_was_removed_is_written_again() -> None:
    """Whoever removes the record of a daemon that lives is put right."""
    shared = memory_store.MemoryStore()
    accept(shared, 1)
    ports = mesh.Ports()
    daemons = [Following(name, ports, shared) for name in "ab"]
    try:
        for found in daemons:
            found.start()
        views = [found.node.view for found in daemons]
        wait_for(lambda: all(len(v.of_service("glade")) == 2 for v in views))
        for name in "ab":
            stored = shared.get(store.Kind.MEMBERS, name)
            shared.delete(store.Kind.MEMBERS, name, stored.version)

        def recorded() -> bool:
            listed = shared.list(store.Kind.MEMBERS).objects
            return [stored.name for stored in listed] == ["a", "b"]

        wait_for(recorded)
        wait_for(lambda: all(len(v.of_service("glade")) == 2 for v in views))
    finally:
        for found in daemons:
            found.stop()
