"""The store is restored from an older copy, which begins a new era."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import os
import random
import threading
import time
import typing

import pytest

from chiveroad.control import _messages
from chiveroad.control import _record
from chiveroad import errors
from chiveroad import membership
from chiveroad import platform as adapter
from chiveroad import presence
from chiveroad import store
from chiveroad import wire
from standins import memory_store
from standins import mesh
from standins import object_api
from standins import platform_store
from tests import fakes
from tests import test_exchange
from tests import test_follower

FILES: typing.Final = store.Kind.FILES
APPLY_TIMEOUT_S: typing.Final = 2.0
"""How soon a version is to be in force, as ``apply_within_s`` states."""

RESTORE_TIMEOUT_S: typing.Final = 2.0
OUTAGE_S: typing.Final = 0.4


@pytest.fixture(params=["memory", "http", "objects"])
def restorable(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[tuple[store.Store, memory_store.MemoryStore]]:
    """Yield a client of a store, and the store itself."""
    if request.param == "memory":
        memory = memory_store.MemoryStore()
        yield memory, memory
        return
    objects = request.param == "objects"
    standin = platform_store if objects else object_api
    server = standin.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"
    client: store.Store = store.HttpStore(address)
    if objects:
        client = adapter.ObjectStore(address, 3.0)
    yield client, server.api.store
    server.shutdown()
    server.server_close()


Restorable = tuple[store.Store, memory_store.MemoryStore]


# Guards against a change that is missed because its revision was given out
# before, in an earlier era.
def test_watch_from_an_earlier_era_expires(restorable: Restorable) -> None:
    client, backend = restorable
    client.put(FILES, "a", 1, store.ABSENT)
    copy = backend.take_copy()
    lost = client.put(FILES, "b", 1, store.ABSENT)
    backend.restore(copy)
    again = backend.put(FILES, "c", 1, store.ABSENT)
    assert again.version.number == lost.version.number
    assert again.version > lost.version
    with pytest.raises(errors.StoreExpired):
        list(client.watch(FILES, lost.version, 0.1))
    listing = client.list(FILES)
    assert [found.name for found in listing.objects] == ["a", "c"]
    assert listing.version == again.version
    assert not [
        e for e in client.watch(FILES, listing.version, 0.1) if e.object
    ]


# Guards against a conditional write that replaces a write of another era.
@pytest.mark.parametrize("known", [False, True])
def test_write_on_a_version_of_an_earlier_era_fails(
    restorable: Restorable, known: bool
) -> None:
    client, backend = restorable
    copy = backend.take_copy()
    lost = client.put(FILES, "a", "lost", store.ABSENT)
    backend.restore(copy)
    again = backend.put(FILES, "a", "again", store.ABSENT)
    assert again.version.number == lost.version.number
    if known:
        client.list(FILES)
    with pytest.raises((errors.StoreConflict, errors.StoreOutcomeUnknown)):
        client.put(FILES, "a", "late", lost.version)
    if known:
        with pytest.raises(errors.StoreConflict):
            client.delete(FILES, "a", lost.version)
        assert bytes(client.get(FILES, "a").spec) == b'"again"'


ANSWER: typing.Final = (
    b"HTTP/1.1 200 OK\r\n%bContent-Length: 38\r\n\r\n"
    b'{"metadata":{"name":"a","revision":3}}'
)


# Guards against an era that is believed though no store has begun it.
@pytest.mark.parametrize(
    "statement",
    [
        b"",
        b"Store-Era: \r\n",
        b"Store-Era: two\r\n",
        b"Store-Era: -1\r\n",
        b"Store-Era: 1.5\r\n",
        b"Store-Era: 6\r\n",
        b"Store-Era: %b\r\n" % (b"9" * 400),
    ],
)
def test_missing_unreadable_or_falling_era_changes_nothing(
    statement: bytes,
) -> None:
    with test_exchange.target(
        test_exchange.answering(ANSWER % statement)
    ) as address:
        client = adapter.ObjectStore(address, 3.0)
        client.eras.learn(7)
        found = client.get(FILES, "a")
    assert client.eras.current == 7
    assert found.version == store.Revision(7, 3)


def test_answer_of_an_era_that_has_ended_is_as_good_as_lost() -> None:
    client: adapter.ObjectStore

    def serve(sock: typing.Any) -> None:
        sock.recv(65_536)
        client.eras.learn(8)
        sock.sendall(ANSWER % b"Store-Era: 7\r\n")

    calls: tuple[
        tuple[collections.abc.Callable[[], object], type[errors.StoreError]],
        ...,
    ] = (
        (lambda: client.get(FILES, "a"), errors.StoreUnavailable),
        (
            lambda: client.put(FILES, "a", 1, store.Revision(7, 2)),
            errors.StoreOutcomeUnknown,
        ),
    )
    for call, error in calls:
        with test_exchange.target(serve) as address:
            client = adapter.ObjectStore(address, 3.0)
            client.eras.learn(7)
            with pytest.raises(error):
                call()


@dataclasses.dataclass
class Fleet:
    """Daemons that follow one store over the platform's protocol."""

    api: object_api.ObjectApi
    address: str
    ports: mesh.Ports
    daemons: dict[str, test_follower.FollowerDaemon]

    def start(self, name: str) -> test_follower.FollowerDaemon:
        """Start a daemon, without a heartbeat of its target."""
        client = adapter.ObjectStore(self.address, 1.5)
        started = test_follower.FollowerDaemon(name, self.ports, client)
        started.server.open()
        started.plane.start()
        self.daemons[name] = started
        return started

    def beat(self, name: str, state: wire.TargetState, sequence: int) -> bool:
        """Have a target send a heartbeat; return whether it is recorded."""
        self.daemons[name].target.receive(
            wire.Heartbeat(
                f"i-{name}",
                "glade",
                "127.0.0.1:9",
                state,
                sequence,
                1_000,
                12,
            )
        )
        return self.daemons[name].plane.record(1.0)

    def numbers(self) -> set[int]:
        """Return the versions that are in force."""
        return {d.node.applied.current.number for d in self.daemons.values()}

    def restore(self, copy: memory_store.Copy) -> None:
        """Have the store go away, and come back from a copy."""
        self.api.faults.outage = True
        time.sleep(OUTAGE_S)
        self.api.store.restore(copy)
        self.api.faults.outage = False

    def states(self, name: str) -> set[membership.State]:
        """Return the states in which the daemons see a member."""
        members = [d.node.view.get(name) for d in self.daemons.values()]
        return {member.state for member in members if member is not None}

    def record(self, name: str) -> _messages.MemberRecord | None:
        """Return a daemon's record in the store."""
        try:
            stored = self.api.store.get(store.Kind.MEMBERS, name)
        except errors.StoreNotFound:
            return None
        return _record.read(stored)


READY: typing.Final = wire.TargetState.READY


@contextlib.contextmanager
def fleet(names: str) -> collections.abc.Iterator[Fleet]:
    """Yield daemons that know each other, with version 3 in force."""
    server = platform_store.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"
    test_follower.accept(server.api.store, 3)
    running = Fleet(server.api, address, mesh.Ports(), {})
    try:
        for name in names:
            running.start(name)
        for name in names:
            test_follower.wait_for(lambda: running.beat(name, READY, 1))
        test_follower.wait_for(
            lambda: all(
                len(d.node.view.of_service("glade")) == len(names)
                for d in running.daemons.values()
            )
        )
        test_follower.wait_for(lambda: running.numbers() == {3})
        yield running
    finally:
        for each in running.daemons.values():
            each.stop()
        server.shutdown()
        server.server_close()


# Guards against an accepted version that isn't noticed, as its revision was
# given out before and a watch from there stays empty.
@pytest.mark.parametrize("other_writes", [1, 3])
def test_version_accepted_after_a_restoration_is_in_force_in_time(
    other_writes: int,
) -> None:
    with fleet("abc") as running:
        shared = running.api.store
        copy = shared.take_copy()
        for number in range(other_writes):
            shared.put(store.Kind.CLAIMS, f"{number}", 1, store.ABSENT)
        test_follower.accept(shared, 4)
        test_follower.wait_for(lambda: running.numbers() == {4})
        running.api.faults.outage = True
        time.sleep(OUTAGE_S)
        shared.restore(copy)
        # All lost revisions are given out again before a daemon asks, the
        # last one to a version that no daemon knows.
        last = 4 + other_writes
        for number in range(4, last + 1):
            test_follower.accept(shared, number)
        running.api.faults.outage = False
        accepted_s = time.monotonic()
        test_follower.wait_for(lambda: running.numbers() == {last})
        assert time.monotonic() - accepted_s <= APPLY_TIMEOUT_S


def test_version_that_the_copy_lacks_stays_in_force() -> None:
    with fleet("ab") as running:
        copy = running.api.store.take_copy()
        test_follower.accept(running.api.store, 4)
        test_follower.wait_for(lambda: running.numbers() == {4})
        running.restore(copy)
        started = running.start("c")
        started.plane.record(0.0)
        test_follower.wait_for(lambda: running.numbers() == {4})
        end_s = time.monotonic() + APPLY_TIMEOUT_S
        while time.monotonic() < end_s:
            assert running.numbers() == {4}
            time.sleep(0.05)


# Guards against the loss of members whose records the copy lacks.
def test_records_that_the_copy_lacks_are_written_again() -> None:
    with fleet("a") as running:
        copy = running.api.store.take_copy()
        for name in "bc":
            running.start(name)
            test_follower.wait_for(lambda: running.beat(name, READY, 1))
        test_follower.wait_for(lambda: running.states("c") == {_READY})
        running.restore(copy)
        restored_s = time.monotonic()
        test_follower.wait_for(
            lambda: all(running.record(name) for name in "abc")
        )
        assert time.monotonic() - restored_s <= RESTORE_TIMEOUT_S
        end_s = restored_s + 2 * RESTORE_TIMEOUT_S
        while time.monotonic() < end_s:
            for name in "abc":
                assert running.states(name) == {_READY}
            time.sleep(0.05)


_READY: typing.Final = membership.State.READY


def test_member_that_does_not_come_back_is_gone() -> None:
    with fleet("a") as running:
        copy = running.api.store.take_copy()
        running.start("b")
        test_follower.wait_for(lambda: running.beat("b", READY, 1))
        test_follower.wait_for(lambda: running.states("b") == {_READY})
        running.daemons.pop("b").stop()
        running.restore(copy)
        test_follower.wait_for(
            lambda: running.states("b") == {membership.State.GONE}
        )


# Guards against an acknowledged leave that is undone once its daemon has
# restarted, as the store has lost the record.
@pytest.mark.parametrize("leave", ["draining", "gone"])
def test_acknowledged_leave_outlasts_a_restoration_and_a_restart(
    leave: str,
) -> None:
    with fleet("abc") as running:
        copy = running.api.store.take_copy()
        first = running.daemons["a"]
        if leave == "gone":
            first.target.leave("i-a")
            test_follower.wait_for(lambda: first.plane.record(1.0))
        else:
            draining = wire.TargetState.DRAINING
            test_follower.wait_for(lambda: running.beat("a", draining, 2))
        running.restore(copy)

        def recorded() -> bool:
            record = running.record("a")
            return record is not None and record.phase.value == leave

        test_follower.wait_for(recorded)
        for number in (4, 5):
            test_follower.accept(running.api.store, number)
        first.stop()
        restarted = running.start("a")
        test_follower.wait_for(
            lambda: restarted.target.status.phase.value == leave
        )
        assert not restarted.target.accepts_work(time.monotonic())
        ready = {membership.State.READY}
        test_follower.wait_for(lambda: not running.states("a") & ready)


# Guards against requests to a target whose leave was acknowledged by a
# process that ended before it could write the record again.
def test_brought_back_record_makes_no_target_ready_without_a_heartbeat() -> (
    None
):
    with fleet("abc") as running:
        copy = running.api.store.take_copy()
        first = running.daemons["a"]
        first.target.leave("i-a")
        test_follower.wait_for(lambda: first.plane.record(1.0))
        first.stop()
        running.restore(copy)
        restarted = running.start("a")
        test_follower.wait_for(lambda: restarted.node.applied.ready)
        end_s = time.monotonic() + RESTORE_TIMEOUT_S
        while time.monotonic() < end_s:
            assert not restarted.target.accepts_work(time.monotonic())
            time.sleep(0.05)
        record = running.record("a")
        assert record is not None and record.member.era == 1
        # The next incarnation of the target at the address is used.
        restarted.target.receive(
            wire.Heartbeat(
                "i-next", "glade", "127.0.0.1:9", READY, 1, 2_000, 12
            )
        )
        assert restarted.target.accepts_work(time.monotonic())
        test_follower.wait_for(lambda: restarted.plane.record(1.0))


# Guards against a daemon that asks the store without a pause while the store
# doesn't know the revision that the daemon has seen.
@pytest.mark.parametrize("states_era", [True, False])
def test_lost_revision_costs_few_calls(
    states_era: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not states_era:
        monkeypatch.setattr(platform_store.Handler, "era_header", "X-Other")
    calls = 0
    handle = platform_store.Handler._handle

    def counted(self: typing.Any, operation: typing.Any) -> None:
        nonlocal calls
        calls += 1
        handle(self, operation)

    monkeypatch.setattr(platform_store.Handler, "_handle", counted)
    with fleet("a") as running:
        copy = running.api.store.take_copy()
        for number in range(4, 14):
            test_follower.accept(running.api.store, number)
        test_follower.wait_for(lambda: running.numbers() == {13})
        running.restore(copy)
        time.sleep(0.5)
        before = calls
        time.sleep(2.0)
        assert calls - before <= 20
        assert running.numbers() == {13}


def test_record_is_ordered_by_the_era_in_which_it_was_written() -> None:
    """The store states its own era also for objects of its copy."""
    for stamp, read_in, era in ((1, 2, 1), (2, 2, 2), (9, 2, 2), (0, 2, 2)):
        record = _messages.MemberRecord(
            fakes.member("a", 0, 0, era=stamp), presence.Phase.READY
        )
        spec = store.encode_spec(store.Kind.MEMBERS, "a", record)
        stored = store.StoredObject("a", store.Revision(read_in, 40), spec)
        found = _record.read(stored)
        assert found is not None
        assert found.member.recorded_at == store.Revision(era, 40)


SEEDS: typing.Final = os.environ.get("RESTORATION_SEEDS", "1-3")
"""A range of seeds; docs/SOAK.md tells how more are run by hand."""

STEPS: typing.Final = 12
BEAT_S: typing.Final = 0.3
CALM_TIMEOUT_S: typing.Final = 10.0


def _seeds() -> range:
    first, _, last = SEEDS.partition("-")
    return range(int(first), int(last or first) + 1)


class Restorations:
    """Restorations of the store, with restarts, leaves, versions and outages.

    Targets send heartbeats until their end.  ``acknowledged`` holds the names
    of those whose leave was recorded, and ``broken`` what was broken.
    """

    def __init__(self, running: Fleet, seed: int) -> None:
        self._running = running
        self._random = random.Random(seed)
        self._states = {name: "ready" for name in running.daemons}
        self._sequence = 1
        self._number = 3
        self._copy = running.api.store.take_copy()
        self._ended = threading.Event()
        self.acknowledged: set[str] = set()
        self.broken: list[str] = []

    def play(self) -> None:
        """Make all steps, then wait for what must hold in calm."""
        threads = [
            threading.Thread(target=task, daemon=True)
            for task in (self._beat, self._watch)
        ]
        for thread in threads:
            thread.start()
        try:
            for _ in range(STEPS):
                step = self._random.choice(
                    (
                        self._take_copy,
                        self._restore,
                        self._restore,
                        self._lose_leave,
                        self._give_out_again,
                        self._accept,
                        self._leave,
                        self._restart,
                        self._cut,
                    )
                )
                step()
                time.sleep(self._random.uniform(0.0, 0.8))
            self._accept()
            self._wait_for_version()
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def _take_copy(self) -> None:
        self._copy = self._running.api.store.take_copy()

    def _lose_leave(self) -> None:
        """Lose a leave, and restart its daemon at once or later."""
        self._take_copy()
        name = self._leave()
        self._restore()
        time.sleep(self._random.choice([0.0, 0.0, 1.0]))
        if name is not None:
            self._restart(name)

    def _give_out_again(self) -> None:
        """Lose some revisions, and give out exactly as many again."""
        shared = self._running.api.store
        self._take_copy()
        before = shared.take_copy().number
        shared.put(
            store.Kind.CLAIMS, f"{before}-{self._sequence}", 1, store.ABSENT
        )
        self._accept()
        time.sleep(self._random.uniform(0.3, 1.0))
        self._running.api.faults.outage = True
        time.sleep(self._random.uniform(0.3, 0.6))
        lost = shared.restore(self._copy)
        test_follower.accept(shared, self._number)
        for _ in range(1, lost):
            self._accept()
        self._running.api.faults.outage = False
        self._wait_for_version()

    def _restore(self) -> None:
        faults = self._running.api.faults
        faults.outage = True
        time.sleep(self._random.uniform(0.05, 0.6))
        self._running.api.store.restore(self._copy)
        written_first = self._random.random() < 0.5
        if written_first:
            # The operator writes again what was lost.
            test_follower.accept(self._running.api.store, self._number)
        faults.outage = False
        if not written_first:
            time.sleep(self._random.uniform(0.0, 0.5))
            test_follower.accept(self._running.api.store, self._number)

    def _accept(self) -> None:
        self._number += 1
        test_follower.accept(self._running.api.store, self._number)

    def _leave(self) -> str | None:
        """Have a target leave; return its name, or None if none may."""
        ready = [n for n, s in self._states.items() if s == "ready"]
        if len(ready) < 2:
            return None
        name = self._random.choice(ready)
        self._states[name] = self._random.choice(["draining", "gone"])
        daemon = self._running.daemons[name]
        if self._states[name] == "gone":
            if (
                daemon.target.leave(f"i-{name}")
                is not presence.LeaveSource.CURRENT
            ):
                return None
        else:
            self._send_beat(name)
        if daemon.target.status.leaves and daemon.plane.record(1.0):
            self.acknowledged.add(name)
        return name

    def _restart(self, name: str = "") -> None:
        name = name or self._random.choice(sorted(self._running.daemons))
        self._running.daemons[name].stop()
        self._running.start(name)

    def _cut(self) -> None:
        self._running.api.faults.outage = True
        time.sleep(self._random.uniform(0.1, 0.8))
        self._running.api.faults.outage = False

    def _send_beat(self, name: str) -> None:
        self._sequence += 1
        state = wire.TargetState(self._states[name])
        daemon = self._running.daemons[name]
        daemon.target.receive(
            wire.Heartbeat(
                f"i-{name}",
                "glade",
                "127.0.0.1:9",
                state,
                self._sequence,
                1_000,
                12,
            )
        )
        daemon.plane.record(0.0)

    def _beat(self) -> None:
        while not self._ended.wait(BEAT_S):
            for name, state in list(self._states.items()):
                if state != "gone":
                    self._send_beat(name)

    def _watch(self) -> None:
        """Note work that is admitted after an acknowledged leave.

        A version that goes back within one process is noted as well.
        """
        numbers: dict[test_follower.FollowerDaemon, int] = {}
        while not self._ended.wait(0.02):
            later_s = time.monotonic() + 1.0
            for name in list(self.acknowledged):
                if self._running.daemons[name].target.accepts_work(later_s):
                    self.broken.append(f"{name} takes work after its leave")
            for name, daemon in list(self._running.daemons.items()):
                number = daemon.node.applied.current.number
                if number < numbers.get(daemon, 0):
                    self.broken.append(f"{name} goes back to {number}")
                numbers[daemon] = number

    def _wait_for_version(self) -> None:
        end_s = time.monotonic() + CALM_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._running.numbers() == {self._number}:
                return
            time.sleep(0.05)
        self.broken.append(
            f"version {self._number} isn't in force: {self._running.numbers()}"
        )


# Guards against combinations of restorations with restarts and leaves.
@pytest.mark.parametrize("seed", _seeds())
def test_random_restorations_break_no_promise(seed: int) -> None:
    with fleet("abcd") as running:
        restorations = Restorations(running, seed)
        restorations.play()
        assert not restorations.broken
