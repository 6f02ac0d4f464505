"""The control plane for versions that are accepted outside of chiveroad."""

from __future__ import annotations

import collections.abc
import contextlib
import functools
import random
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
from chiveroad.control import _node
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
"""The ``apply_within_s`` in the settings of these daemons."""

FULL_LINK_DELAY_S = 0.25


def daemon(name: str, distance_ms: int = 0) -> membership.Member:
    """Return a daemon at a distance from the store."""
    template = fakes.member(name, incarnation=0, sequence=1)
    return membership.Member(
        **{
            field: getattr(template, field)
            for field in template.__struct_fields__
            if field != "store_distance_ms"
        },
        store_distance_ms=distance_ms,
    )


FAILURE_OF_A = {"a": _freshness.Failure(100.0, 1)}


@pytest.mark.parametrize(
    ("own", "others", "failures", "now_s", "chosen"),
    [
        ("b", ["a", "b", "c"], {}, 100.0, "a"),
        ("a", ["a", "b", "c"], {}, 100.0, None),
        ("c", ["c"], {}, 100.0, None),
        ("c", ["a", "b", "c"], FAILURE_OF_A, 101.0, "b"),
        ("c", ["a", "b", "c"], FAILURE_OF_A, 103.0, "a"),
        ("b", ["a", "b", "c"], FAILURE_OF_A, 101.0, None),
    ],
)
def test_the_nearest_parent_that_is_not_in_back_off_is_chosen(
    own: str,
    others: list[str],
    failures: dict[str, _freshness.Failure],
    now_s: float,
    chosen: str | None,
) -> None:
    members = [daemon(name) for name in others]
    tree = _follow_tree.FollowTree(members)
    parent = _freshness.choose_parent(daemon(own), tree, failures, now_s)
    assert (parent.instance if parent else None) == chosen


def test_a_daemon_never_follows_an_older_record_of_itself() -> None:
    tree = _follow_tree.FollowTree([daemon("c")])
    assert _freshness.choose_parent(daemon("c", 40), tree, {}, 0.0) is None


def test_daemons_near_the_store_are_followed_first() -> None:
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
def test_following_never_forms_a_cycle(
    distances: dict[str, int], failed: dict[str, dict[str, int]]
) -> None:
    """Each daemon may have put any parents into back-off."""
    members = [
        daemon(name, distance_ms) for name, distance_ms in distances.items()
    ]
    tree = _follow_tree.FollowTree(members)
    for member in members:
        seen = {member.instance}
        current = member
        while True:
            failures = {
                name: _freshness.Failure(0.0, count)
                for name, count in failed.get(current.instance, {}).items()
            }
            parent = _freshness.choose_parent(current, tree, failures, 1.0)
            if parent is None:
                break
            assert parent.instance not in seen
            seen.add(parent.instance)
            current = parent


def test_an_unconfirmed_version_becomes_suspect_and_then_stale() -> None:
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
    ("applied_at_s", "now_s", "missed"),
    [(9.5, 10.5, False), (9.5, 11.0, True), (8.0, 11.0, False)],
)
def test_frequent_changes_are_read_instead_of_watched(
    applied_at_s: float, now_s: float, missed: bool
) -> None:
    """A watch would return every version since, 180 KB each."""
    bounds = _freshness.FreshnessBounds(2.0)
    assert bounds.likely_superseded(applied_at_s, 10.0, now_s) is missed


def test_a_short_bound_leaves_half_of_it_for_the_store() -> None:
    assert _freshness.FreshnessBounds(1.0).stale_after_s == 0.5


@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_the_store_is_read_while_its_answer_can_be_in_time(
    apply_within_s: float,
) -> None:
    bounds = _freshness.FreshnessBounds(apply_within_s)
    left_s = apply_within_s - bounds.stale_after_s
    assert left_s == pytest.approx(_freshness.STORE_RESERVE_S)
    assert not bounds.is_suspect(0.0, _follower.HOLD_MS / 1000)


def test_the_backoff_doubles_up_to_a_limit_and_can_be_reset() -> None:
    backoff = _backoff.Backoff(0.1, 0.6)
    pauses = [backoff.next_s() for _ in range(8)]
    for pause_s, middle_s in zip(pauses, (0.1, 0.2, 0.4, 0.6, 0.6, 0.6)):
        assert 0.5 * middle_s <= pause_s <= 1.5 * middle_s
    backoff.reset()
    assert backoff.next_s() <= 0.15


class RecorderHarness:
    """A recorder, its store, and the record to write."""

    def __init__(self) -> None:
        self.platform = fakes.FaultyStore()
        self.wanted: _messages.MemberRecord | None = None
        self.recorder = _record.Recorder(
            self.platform, "glade-1", lambda: self.wanted, self.restore
        )

    def restore(self, stored: store.StoredObject | None) -> None:
        """Give the recorder the record that was read from the store."""
        if stored is None:
            self.recorder.set_stored(None, store.ABSENT)
            return
        self.recorder.set_stored(_record.read(stored), stored.version)

    def stored(self) -> presence.Phase:
        """Return the phase that the store holds."""
        stored_object = self.platform.get(store.Kind.MEMBERS, "glade-1")
        record = _record.read(stored_object)
        assert record is not None
        return record.phase


@pytest.fixture
def harness() -> collections.abc.Iterator[RecorderHarness]:
    """Yield a running recorder."""
    running = RecorderHarness()
    running.recorder.start()
    yield running
    running.recorder.stopped = True
    running.recorder.record(0.0)


def record_in_phase(phase: presence.Phase) -> _messages.MemberRecord:
    """Return a record of the target in a phase."""
    return _messages.MemberRecord(
        fakes.member("glade-1", incarnation=0, sequence=0), phase
    )


@pytest.mark.parametrize(
    "fault", ["none", "lose", "drop", "foreign", "earlier"]
)
def test_a_record_is_written_despite_store_faults(
    harness: RecorderHarness, fault: str
) -> None:
    platform = harness.platform
    if fault in ("lose", "drop"):
        setattr(platform, fault, 2)
    if fault == "foreign":
        platform.put(store.Kind.MEMBERS, "glade-1", "what?", store.ABSENT)
    if fault == "earlier":
        old = record_in_phase(presence.Phase.READY)
        platform.put(store.Kind.MEMBERS, "glade-1", old, store.ABSENT)
    harness.wanted = record_in_phase(presence.Phase.DRAINING)
    assert harness.recorder.record(WAIT_S)
    assert harness.stored() is presence.Phase.DRAINING


def test_nothing_counts_as_recorded_while_the_store_is_down(
    harness: RecorderHarness,
) -> None:
    harness.platform.down = True
    harness.wanted = record_in_phase(presence.Phase.DRAINING)
    assert not harness.recorder.record(0.3)
    harness.platform.down = False
    assert harness.recorder.record(WAIT_S)
    assert harness.stored() is presence.Phase.DRAINING


PAUSE_S = 30.0


def test_a_waiting_caller_ends_the_backoff_after_a_failure(
    harness: RecorderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leave that came during the back-off was refused without a retry."""
    monkeypatch.setattr(_backoff.Backoff, "next_s", lambda _: PAUSE_S)
    harness.platform.down = True
    harness.wanted = record_in_phase(presence.Phase.READY)
    assert not harness.recorder.record(0.2)
    harness.platform.down = False
    harness.wanted = record_in_phase(presence.Phase.DRAINING)
    assert harness.recorder.record(WAIT_S)
    assert harness.stored() is presence.Phase.DRAINING


def test_a_caller_that_does_not_wait_keeps_the_backoff(
    harness: RecorderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_backoff.Backoff, "next_s", lambda _: PAUSE_S)
    harness.platform.down = True
    harness.wanted = record_in_phase(presence.Phase.READY)
    assert not harness.recorder.record(0.2)
    harness.platform.down = False
    for _ in range(5):
        assert not harness.recorder.record(0.0)
        time.sleep(0.02)
    with pytest.raises(errors.StoreNotFound):
        harness.stored()


def test_a_record_is_read_only_for_a_waiting_caller(
    harness: RecorderHarness,
) -> None:
    """Else each starting daemon would read its record separately."""
    assert harness.recorder.record(0.0)
    time.sleep(0.05)
    assert harness.platform.gets == 0
    harness.platform.down = True
    assert not harness.recorder.record(0.3)
    time.sleep(0.05)
    reads = harness.platform.gets
    assert reads
    time.sleep(0.5)
    assert harness.platform.gets == reads
    harness.platform.down = False
    assert harness.recorder.record(WAIT_S)
    assert harness.platform.gets == reads + 1


def test_a_refused_write_is_retried_without_a_read(
    harness: RecorderHarness,
) -> None:
    """With a read, a retry costs two calls, and each may be refused."""
    harness.wanted = record_in_phase(presence.Phase.READY)
    assert harness.recorder.record(WAIT_S)
    reads = harness.platform.gets
    harness.platform.refuse = 2
    harness.wanted = record_in_phase(presence.Phase.DRAINING)
    assert harness.recorder.record(WAIT_S)
    assert harness.stored() is presence.Phase.DRAINING
    assert harness.platform.gets == reads + 1


def test_an_earlier_record_is_restored_before_the_first_write(
    harness: RecorderHarness,
) -> None:
    """A late heartbeat may come before a new daemon has read its record.

    The daemon then overwrote a record that said that the target had left.
    """
    gone = record_in_phase(presence.Phase.GONE)
    harness.platform.put(store.Kind.MEMBERS, "glade-1", gone, store.ABSENT)
    harness_restore = harness.restore

    def restore(stored: store.StoredObject | None) -> None:
        harness.wanted = gone
        harness_restore(stored)

    harness.recorder._restore = restore
    harness.wanted = record_in_phase(presence.Phase.READY)
    assert harness.recorder.record(WAIT_S)
    assert harness.stored() is presence.Phase.GONE


class FollowerDaemon:
    """A daemon's control plane and server, on a store that may be shared."""

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
        """Start the daemon, with a target that is ready."""
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
                software_version="v2",
            )
        )
        self.plane.record(0.0)

    def has_version(self, number: int) -> bool:
        """Tell whether a version, or a newer one, is in force."""
        return self.node.applied.current.number >= number

    def stop(self) -> None:
        """Stop without announcing it."""
        self.plane.stopped = True
        self.plane._recorder.stopped = True
        self.server.stop()


class StoreLink(store.Store):
    """One daemon's network path to the shared store; it may be cut."""

    def __init__(self, shared: store.Store) -> None:
        self._shared = shared
        self.cut = False
        self.calls = 0
        self.watches = 0
        self.version_reads = 0
        self._eras = store.EraTracker()

    @property
    def eras(self) -> store.EraTracker:
        """Return the eras that the answers have stated."""
        return self._eras

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        """Return an object."""
        self.version_reads += kind is store.Kind.ACCEPTED
        return self._connected().get(kind, name)

    def list(self, kind: store.Kind, prefix: str = "") -> store.Listing:
        """Return objects."""
        return self._connected().list(kind, prefix)

    def put(
        self,
        kind: store.Kind,
        name: str,
        spec: object,
        version: store.Revision,
    ) -> store.StoredObject:
        """Write an object."""
        return self._connected().put(kind, name, spec, version)

    def delete(
        self, kind: store.Kind, name: str, version: store.Revision
    ) -> None:
        """Delete an object."""
        self._connected().delete(kind, name, version)

    def watch(
        self, kind: store.Kind, version: store.Revision, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        """Yield changes."""
        self.watches += kind is store.Kind.ACCEPTED
        yield from self._connected().watch(kind, version, timeout_s)

    def _connected(self) -> store.Store:
        self.calls += 1
        if self.cut:
            raise errors.StoreUnavailable("cut off")
        self._eras.learn(self._shared.eras.current)
        return self._shared


def accept(platform: store.Store, number: int) -> None:
    """Accept a version as the platform's operator does."""
    service = config.Service("glade", "t", 0, 10, 10, ("*",), {})
    items = dict([config.service_item(service)])
    value = {"number": number, "items": items}
    store.overwrite(platform, store.Kind.ACCEPTED, "main", value)


def wait_for(condition: collections.abc.Callable[[], bool]) -> None:
    """Poll until the condition holds."""
    mesh.wait_for(lambda: condition() or None, "it", WAIT_S)


@contextlib.contextmanager
def fleet(
    names: str,
) -> collections.abc.Iterator[
    tuple[store.Store, dict[str, StoreLink], dict[str, FollowerDaemon]]
]:
    """Yield a store, the paths to it, and daemons that are stopped at the end.

    Both dictionaries have the daemons' names as keys.
    """
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    store_links = {name: StoreLink(shared) for name in names}
    followers = {
        name: FollowerDaemon(name, ports, store_links[name]) for name in names
    }
    try:
        yield shared, store_links, followers
    finally:
        for follower in followers.values():
            follower.stop()


def test_all_follow_one_watcher_and_fail_over_from_it() -> None:
    with fleet("abc") as (shared, store_links, followers):
        for name in "abc":
            followers[name].start()
        wait_for(
            lambda: all(
                len(p.node.view.all()) == 3 for p in followers.values()
            )
        )
        wait_for(lambda: followers["a"].plane.roles() == ["watcher"])
        wait_for(lambda: followers["b"].plane.roles() == [])
        wait_for(lambda: followers["c"].plane.roles() == [])
        before = store_links["c"].watches
        accept(shared, 4)
        wait_for(lambda: _numbers(followers) == {4})
        assert store_links["c"].watches - before <= 1
        # The watcher is cut off from the store only.
        store_links["a"].cut = True
        accept(shared, 5)
        wait_for(lambda: followers["c"].node.applied.current.number == 5)
        wait_for(lambda: _numbers(followers) == {5})
        store_links["a"].cut = False
        wait_for(lambda: followers["c"].plane.roles() == [])
        # The watcher stops without announcing it.
        followers["a"].stop()
        accept(shared, 6)
        wait_for(lambda: followers["b"].node.applied.current.number == 6)
        wait_for(lambda: followers["c"].node.applied.current.number == 6)


def test_a_starting_daemon_gets_its_version_from_its_parent() -> None:
    """A rolling restart must not read whole configurations from the store."""
    with fleet("ab") as (_, store_links, followers):
        first, late = followers["a"], followers["b"]
        first.start()
        wait_for(lambda: first.node.applied.ready)
        wait_for(lambda: first.plane.record(0.1))
        late.start()
        wait_for(lambda: late.node.applied.current.number == 3)
        wait_for(lambda: late.plane.roles() == [])
        assert store_links["b"].version_reads == 0


def test_a_start_in_a_running_fleet_costs_two_store_calls() -> None:
    """One call lists the members, and one writes the daemon's record."""
    with fleet("abcd") as (_, store_links, followers):
        for name in "abc":
            followers[name].start()
            applied = followers[name].node.applied
            wait_for(functools.partial(getattr, applied, "ready"))
            wait_for(functools.partial(followers[name].plane.record, 0.1))
        followers["d"].start()
        wait_for(lambda: followers["d"].plane.record(0.1))
        wait_for(lambda: followers["d"].plane.roles() == [])
        time.sleep(1.0)
        assert store_links["d"].calls == 2


def test_one_daemon_watches_the_store_while_its_parent_is_behind() -> None:
    """The parent answers its children, but is cut off from the store.

    At most one of the children after ``b`` may watch the store as well.
    """
    names = "abcdef"
    with fleet(names) as (shared, store_links, followers):
        for follower in followers.values():
            follower.start()
        wait_for(
            lambda: all(
                len(p.node.view.all()) == 6 for p in followers.values()
            )
        )
        wait_for(
            lambda: all(not followers[n].plane.roles() for n in names[1:])
        )
        before = {
            name: store_link.watches
            for name, store_link in store_links.items()
        }
        store_links["a"].cut = True
        wait_for(lambda: followers["b"].plane.roles() == ["watcher"])
        accept(shared, 4)
        wait_for(lambda: _numbers(followers) == {4})
        time.sleep(2 * _freshness.FreshnessBounds(2.0).stale_after_s)
        watching = [n for n in names[2:] if store_links[n].watches > before[n]]
        assert len(watching) <= 1


def test_versions_arrive_in_time_over_a_full_link() -> None:
    """A daemon gave up each parent before its answer arrived.

    The link delays each direction by 0.25 s, and a new connection by twice
    as much.
    """
    with fleet("abc") as (shared, store_links, followers):
        links = [behind_a_full_link(followers[name]) for name in "ab"]
        try:
            for follower in followers.values():
                follower.start()
            last = followers["c"]
            wait_for(lambda: len(last.node.view.all()) == 3)
            wait_for(lambda: last.node.applied.current.number == 3)
            store_links["c"].cut = True
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


# Guards against a daemon that counts an older version as the newest accepted
# one, as a parent behind the others has confirmed it.
@pytest.mark.parametrize("seed", [1, 2])
def test_no_version_is_confirmed_after_a_newer_one_was_accepted(
    seed: int,
) -> None:
    rng = random.Random(seed)
    violations: list[str] = []
    stopped = threading.Event()
    with fleet("abcde") as (shared, store_links, followers):
        links = [behind_a_full_link(followers[name]) for name in "bd"]
        for follower in followers.values():
            follower.start()
        wait_for(lambda: all(p.node.applied.ready for p in followers.values()))
        accepted = [(3, clock.now_s())]

        def check() -> None:
            while not stopped.wait(0.005):
                number, accepted_s = accepted[-1]
                for name, follower in followers.items():
                    # The version that is read later is no older.
                    confirmed_s = follower.node.applied.confirmed_s
                    held = follower.node.applied.current.number
                    assert confirmed_s is not None
                    if held < number and confirmed_s > accepted_s:
                        late_s = confirmed_s - accepted_s
                        violations.append(f"{name}: {held}, {late_s:.3f} s")

        checker = threading.Thread(target=check)
        checker.start()
        try:
            for number in range(4, 16):
                for store_link in store_links.values():
                    store_link.cut = rng.random() < 0.4
                time.sleep(rng.uniform(0.0, 0.6))
                accept(shared, number)
                accepted.append((number, clock.now_s()))
            for store_link in store_links.values():
                store_link.cut = False
            wait_for(
                lambda: all(p.has_version(15) for p in followers.values())
            )
        finally:
            stopped.set()
            checker.join()
            for each in links:
                each.stop()
    assert not violations


def behind_a_full_link(follower: FollowerDaemon) -> link.Link:
    """Put a link with a delay in front of a daemon's control address."""
    target = follower.ports.take()
    follower.server = serving.Server(target, follower.server.handler, 8)
    slow = link.Link(follower.address, target, FULL_LINK_DELAY_S)
    slow.start()
    return slow


class DelayedParents:
    """Parents whose answers are delayed until they are released."""

    def __init__(self) -> None:
        self.released = {name: threading.Event() for name in "abc"}
        self.answered: list[str] = []

    def sync(
        self, _: _source.ParentSource, parent: membership.Member, __: int
    ) -> None:
        """Wait for a parent's answer."""
        self.released[parent.instance].wait(WAIT_S)
        self.answered.append(parent.instance)


def test_a_late_answer_is_used_beside_hedged_requests() -> None:
    """A late parent was given up before another one had answered."""
    node = control.Node(fakes.member("d"), recorded=True)
    parents = DelayedParents()
    exchanges = _parent_exchanges.ParentExchanges(
        parents.sync, lambda: _source.ParentSource(node), 0.05
    )
    try:
        for name in "abc":
            assert exchanges.begin(fakes.member(name), 0)
            exchanges.wait()
        assert exchanges.pending() == set("abc")
        parents.released["b"].set()
        wait_for(lambda: exchanges.pending() == set("ac"))
        parents.released["a"].set()
        wait_for(lambda: exchanges.pending() == {"c"})
        assert parents.answered == ["b", "a"]
    finally:
        for event in parents.released.values():
            event.set()
        exchanges.stop()


def test_the_number_of_open_exchanges_is_limited() -> None:
    node = control.Node(fakes.member("z"), recorded=True)
    released = threading.Event()
    exchanges = _parent_exchanges.ParentExchanges(
        lambda *_: None if released.wait(WAIT_S) else None,
        lambda: _source.ParentSource(node),
        0.01,
    )
    names = [
        f"p-{number}" for number in range(_parent_exchanges.MAX_EXCHANGES + 1)
    ]
    begun = [exchanges.begin(fakes.member(name), 0) for name in names]
    released.set()
    wait_for(lambda: not exchanges.pending())
    assert begun == [True] * _parent_exchanges.MAX_EXCHANGES + [False]
    assert exchanges.begin(fakes.member(names[0]), 0)
    exchanges.stop()


def test_a_daemon_that_starts_cut_off_from_the_store_is_bootstrapped() -> None:
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    store_link = StoreLink(shared)
    first, late = (
        FollowerDaemon(name, ports, StoreLink(shared)) for name in "ab"
    )
    late.stop()
    late = FollowerDaemon("b", ports, store_link)
    first.start()
    try:
        wait_for(lambda: first.node.applied.ready)
        record = _messages.MemberRecord(late.node.member, presence.Phase.READY)
        shared.put(store.Kind.MEMBERS, "b", record, store.ABSENT)
        store_link.cut = True
        late.start()
        wait_for(lambda: late.node.applied.current.number == 3)
        wait_for(lambda: late.plane.parent == first.address)
    finally:
        first.stop()
        late.stop()


def test_a_daemon_restarted_at_another_address_records_it() -> None:
    """The record kept the address of the earlier incarnation."""
    shared = memory_store.MemoryStore()
    before = _messages.MemberRecord(
        fakes.member("a", incarnation=0, sequence=0), presence.Phase.READY
    )
    shared.put(store.Kind.MEMBERS, "a", before, store.ABSENT)
    ports = mesh.Ports()
    restarted = FollowerDaemon("a", ports, shared)
    restarted.start()
    try:

        def recorded() -> str:
            record = _record.read(shared.get(store.Kind.MEMBERS, "a"))
            assert record is not None
            return record.member.control

        wait_for(lambda: recorded() == restarted.address)
        wait_for(lambda: restarted.node.member.control == restarted.address)
    finally:
        restarted.stop()


def test_a_restarted_daemon_uses_its_record_until_a_heartbeat() -> None:
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    earlier = FollowerDaemon("a", ports, StoreLink(shared))
    earlier.start()
    wait_for(lambda: earlier.plane.record(0.1))
    assert earlier.target.leave("i-a")
    wait_for(lambda: earlier.plane.record(0.1))
    earlier.stop()
    restarted = FollowerDaemon("a", ports, StoreLink(shared))
    restarted.server.open()
    restarted.plane.start()
    try:
        wait_for(lambda: restarted.target.status.phase is presence.Phase.GONE)
        assert not restarted.target.accepts_work(time.monotonic())
    finally:
        restarted.stop()


# Guards against a quarantine that a new version of the service doesn't end.
def test_software_version_is_recorded_and_restored() -> None:
    shared = memory_store.MemoryStore()
    accept(shared, 3)
    ports = mesh.Ports()
    earlier = FollowerDaemon("a", ports, StoreLink(shared))
    earlier.start()
    wait_for(lambda: earlier.plane.record(0.1))
    view = earlier.node.view
    try:
        wait_for(lambda: view.software_versions() == {"glade": {"v2"}})
    finally:
        earlier.stop()
    restarted = FollowerDaemon("a", ports, StoreLink(shared))
    restarted.server.open()
    restarted.plane.start()
    try:
        wait_for(lambda: restarted.target.status.software_version == "v2")
    finally:
        restarted.stop()


# Guards against a daemon that forgets its quarantines when it is restarted,
# also if no other daemon runs that could tell it.
def test_restarted_daemon_takes_over_the_suspects_of_its_record() -> None:
    shared = memory_store.MemoryStore()
    suspects = (membership.RecordedSuspect("0" * 16, ("1" * 16,)),)
    member = msgspec.structs.replace(
        fakes.member("a", incarnation=0, sequence=0), suspects=suspects
    )
    before = _messages.MemberRecord(member, presence.Phase.READY)
    shared.put(store.Kind.MEMBERS, "a", before, store.ABSENT)
    restarted = FollowerDaemon("a", mesh.Ports(), shared)

    def inherit(inherited: membership.RecordedSuspects) -> None:
        restarted.node.set_suspects(inherited)
        restarted.plane.record(0.0)

    restarted.node.inherit = inherit
    restarted.start()

    def recorded() -> membership.Member:
        record = _record.read(shared.get(store.Kind.MEMBERS, "a"))
        assert record is not None
        return record.member

    try:
        wait_for(lambda: recorded().control == restarted.address)
        assert recorded().suspects == suspects
    finally:
        restarted.stop()


def test_daemons_keep_what_the_record_of_a_restarted_one_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = control.Node(fakes.member("parent"))
    suspects = (membership.RecordedSuspect("0" * 16, ("1" * 16,)),)
    before = msgspec.structs.replace(fakes.member("a"), suspects=suspects)
    node.merge([before])
    assert not node.former_suspects("a")
    node.merge([fakes.member("a", incarnation=2)])
    assert node.former_suspects("a") == suspects
    # It is restarted again before it has been told.
    node.merge([fakes.member("a", incarnation=3)])
    assert node.former_suspects("a") == suspects
    assert node.former_suspects_at("a:3") == suspects
    assert not node.former_suspects_at("b:3")
    later_s = time.monotonic() + _node.FORMER_SUSPECTS_S + 1
    monkeypatch.setattr(time, "monotonic", lambda: later_s)
    assert not node.former_suspects("a")


def _numbers(followers: dict[str, FollowerDaemon]) -> set[int]:
    return {
        follower.node.applied.current.number for follower in followers.values()
    }


@pytest.mark.parametrize(
    ("ago_ms", "current"),
    [(-1.0, False), (0.0, True), (1_100.0, True), (1_101.0, False)],
)
def test_a_parent_with_an_old_confirmation_is_not_current(
    ago_ms: float, current: bool
) -> None:
    answer = _messages.SyncAnswer("s", 1, 1, "d", "", ago_ms)
    assert _freshness.FreshnessBounds(2.0).is_current(answer) is current


@pytest.fixture
def parent() -> collections.abc.Iterator[FollowerDaemon]:
    """Yield a daemon that only serves its control address."""
    ports = mesh.Ports()
    follower = FollowerDaemon("a", ports, memory_store.MemoryStore())
    follower.server.open()
    yield follower
    follower.stop()
    ports.close()


def child_of(
    parent: FollowerDaemon,
) -> tuple[control.Node, _source.ParentSource]:
    """Return a child of a daemon, and its client for the daemon."""
    node = control.Node(daemon("b"), recorded=True)
    return node, _source.ParentSource(node, confirmations=True)


def test_a_change_costs_one_digest_and_only_changed_routes(
    parent: FollowerDaemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Under frequent changes a daemon compiles each of 1,560 routes once."""
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


def test_a_newer_confirmation_ends_a_long_poll(parent: FollowerDaemon) -> None:
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


def test_a_slightly_newer_confirmation_ends_no_long_poll(
    parent: FollowerDaemon,
) -> None:
    _, source = child_of(parent)
    now_s = clock.now_s()
    parent.node.applied.confirm(now_s)
    source.sync(parent.address, 0, unconfirmed=False)
    threading.Timer(0.1, parent.node.applied.confirm, [now_s + 0.1]).start()
    started_s = time.monotonic()
    source.sync(parent.address, 500, unconfirmed=False)
    assert time.monotonic() - started_s >= 0.5


def test_a_restarted_parent_is_sent_the_members_of_the_domain(
    parent: FollowerDaemon,
) -> None:
    node, source = child_of(parent)
    node.merge([daemon("c")])
    source.sync(parent.address, 0, unconfirmed=False)
    assert parent.node.view.get("c") is not None
    parent.server.stop()
    restarted = control.Node(daemon("a"), recorded=True)
    handler = control.ControlHandler(restarted, parent.plane)
    server = serving.Server(parent.address, handler, 8)
    server.open()
    try:
        for _ in range(2):
            source.sync(parent.address, 0, unconfirmed=False)
        assert restarted.view.get("c") is not None
    finally:
        server.stop()


def test_a_change_of_parent_transfers_only_new_records(
    parent: FollowerDaemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a deployment all daemons of a region fail over to a new leader."""
    records = [recorded(f"m{n}", revision=n + 1) for n in range(228)]
    parent.node.merge(records)
    parent.node.advance_as_of(store.Revision(1, 228))
    node, source = child_of(parent)
    node.merge(records[:226])
    node.advance_as_of(store.Revision(1, 226))
    source.sync(parent.address, 0, unconfirmed=False, region=True)
    assert source.answer is not None
    received = {member.instance for member in source.answer.members}
    # The parent's own member has no record yet, so it is sent as well.
    assert received == {"a", "m226", "m227"}
    assert node.as_of == store.Revision(1, 228)
    assert node.pending_updates() == []


def test_a_parent_without_records_is_sent_them_once(
    parent: FollowerDaemon,
) -> None:
    """The parent started while the store was down."""
    node, source = child_of(parent)
    node.merge([recorded(f"m{n}", revision=n + 1) for n in range(3)])
    node.advance_as_of(store.Revision(1, 3))
    source.sync(parent.address, 0, unconfirmed=False)
    queued = {member.instance for member in node.pending_updates()}
    assert queued >= {"m0", "m1", "m2"}
    source.sync(parent.address, 0, unconfirmed=False)
    assert parent.node.view.get("m2") is not None
    assert node.pending_updates() == []
    source.sync(parent.address, 0, unconfirmed=False)
    assert node.pending_updates() == []


def recorded(name: str, revision: int) -> membership.Member:
    """Return a daemon's member as read from its record."""
    return msgspec.structs.replace(daemon(name), sequence=revision, era=1)


def test_a_deleted_record_is_written_again() -> None:
    """A running daemon restores its record when another one deletes it."""
    shared = memory_store.MemoryStore()
    accept(shared, 1)
    ports = mesh.Ports()
    daemons = [FollowerDaemon(name, ports, shared) for name in "ab"]
    try:
        for follower in daemons:
            follower.start()
        views = [follower.node.view for follower in daemons]
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
        for follower in daemons:
            follower.stop()
