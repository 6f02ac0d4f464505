"""Interleavings of lease, accept and apply on a fake clock and store."""

from __future__ import annotations

import threading

import hypothesis
import hypothesis.stateful as sf
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import config
from chiveroad.control import _accept
from chiveroad.control import _applied
from chiveroad.control import _lease
from chiveroad import errors
from chiveroad import store
from standins import memory_store
from tests import fakes

KIND = "[service.{0}.kind.k]\nidempotent = true\n"
TEXTS = [
    f'team = "{team}"\n[service.{name}]\nslots = {slots}\n' + KIND.format(name)
    for team, name, slots in [("a", "x", 1), ("a", "x", 2), ("b", "y", 3)]
] + ["broken"]
NAMES = ["1.toml", "2.toml"]
LIFE = st.integers(0, 5)


class Life:
    """One start of one instance: its lease, its reading, its version."""

    def __init__(self, world: "ControlMachine", instance: str) -> None:
        world.starts += 1
        holder = f"{instance}:{world.starts}"
        record = _lease.Record(holder, instance, instance, 0)
        self.instance = instance
        self.contender = _lease.LeaseContender(
            world.store, "merger", record, clock=world.clock
        )
        self.applied = _applied.Applied(threading.Condition())
        self.base: _accept.Base | None = None
        self.folder: store.Listing | None = None


class ControlMachine(sf.RuleBasedStateMachine):
    """Three instances, any of them restarted while its old life lingers."""

    def __init__(self) -> None:
        super().__init__()
        self.store = fakes.FaultyStore()
        self.clock = fakes.Clock()
        self.starts = 0
        self.lives = [Life(self, name) for name in ("n1", "n2", "n3")]
        self.accepted: list[_accept.Accepted] = []
        self.items: dict[int, dict[str, str]] = {}
        self.applied: dict[int, int] = {}

    @sf.rule(name=st.sampled_from(NAMES), text=st.sampled_from(TEXTS))
    def write(self, name: str, text: str) -> None:
        """An operator writes a file."""
        try:
            known = self.store.get(store.Kind.FILES, name).version
        except errors.StoreNotFound:
            known = store.ABSENT
        memory_store.MemoryStore.put(
            self.store, store.Kind.FILES, name, {"text": text}, known
        )

    @sf.rule(seconds=st.sampled_from([0.5, 1.0, 4.0, 9.0]))
    def wait(self, seconds: float) -> None:
        """Time passes; lives that no rule touches are as good as paused."""
        self.clock.now_s += seconds

    @sf.rule(lost=st.booleans())
    def lose_an_answer(self, lost: bool) -> None:
        """The next write's answer is lost, after or before its effect."""
        self.store.lose = int(lost)
        self.store.drop = int(not lost)

    @sf.rule(number=LIFE)
    def restart(self, number: int) -> None:
        """An instance starts anew while its old process lingers, paused."""
        old = self.lives[number % len(self.lives)]
        if len(self.lives) < 6:
            self.lives.append(Life(self, old.instance))

    @sf.initialize()
    def begin(self) -> None:
        """Two versions have been accepted before."""
        self.publish(0, NAMES[0], TEXTS[0])
        self.publish(1, NAMES[0], TEXTS[1])

    @sf.rule(number=LIFE)
    def lease(self, number: int) -> None:
        """A life takes a step at its lease."""
        self.lives[number % len(self.lives)].contender.step()

    @sf.rule(number=LIFE)
    def read(self, number: int) -> None:
        """A life reads the accepted version and then the folder."""
        life = self.lives[number % len(self.lives)]
        self.read_base(number)
        life.folder = self.store.list(store.Kind.FILES)

    @sf.rule(number=LIFE)
    def read_base(self, number: int) -> None:
        """A life reads the accepted version only."""
        life = self.lives[number % len(self.lives)]
        life.base = _accept.read_base(
            self.store, _accept.read_current(self.store)
        )

    @sf.rule(number=LIFE)
    def merge(self, number: int) -> None:
        """A life merges what it has read, with the lease or without it."""
        life = self.lives[number % len(self.lives)]
        base, folder = life.base, life.folder
        if base is None or folder is None:
            return
        if not _accept.may_merge(base.current.accepted, folder.version):
            return
        sources = [
            config.Source(f.name, f.version, text_of(f))
            for f in folder.objects
        ]
        merged = config.merge(sources, base.sources)
        if merged.items == base.items:
            return
        try:
            _accept.accept(self.store, base, merged, folder.version)
        except errors.StoreError:
            life.base = None
        self.store.lose = self.store.drop = 0
        self.note()

    @sf.rule(
        number=LIFE, name=st.sampled_from(NAMES), text=st.sampled_from(TEXTS)
    )
    def publish(self, number: int, name: str, text: str) -> None:
        """A file is written, read and merged without a break."""
        self.write(name, text)
        self.read(number)
        self.merge(number)

    @sf.rule(number=LIFE, which=st.integers(0, 3))
    def apply(self, number: int, which: int) -> None:
        """A life is offered one of the last versions, in any order."""
        life = self.lives[number % len(self.lives)]
        if not self.accepted:
            return
        accepted = self.accepted[-1 - which % len(self.accepted)]
        items = self.items[accepted.version]
        life.applied.offer(accepted.version, accepted.digest, items)

    @sf.rule()
    def compact(self) -> None:
        """Old content is deleted."""
        _accept.compact(self.store)

    def note(self) -> None:
        """Note what has been accepted."""
        current = _accept.read_current(self.store).accepted
        if current.version and current not in self.accepted:
            self.accepted.append(current)
            self.items[current.version] = _accept.read_items(
                self.store, current
            )

    @sf.invariant()
    def versions_only_go_on(self) -> None:
        """Versions have no gap, and no version is made of an older folder."""
        numbers = [entry.version for entry in self.accepted]
        assert numbers == list(range(1, len(numbers) + 1))
        folders = [entry.folder_version for entry in self.accepted]
        assert folders == sorted(folders)

    @sf.invariant()
    def one_holder(self) -> None:
        """No two lives surely hold the lease at once."""
        assert sum(life.contender.held for life in self.lives) <= 1

    @sf.invariant()
    def never_older(self) -> None:
        """No process goes back, and what is in force is closed."""
        for life in self.lives:
            current = life.applied.current
            assert current.number >= self.applied.get(id(life), 0)
            assert not current.config.dangling()
            self.applied[id(life)] = current.number

    @sf.invariant()
    def accepted_is_whole(self) -> None:
        """The accepted version can always be read whole."""
        current = _accept.read_current(self.store)
        base = _accept.read_base(self.store, current)
        assert config.digest(base.items) == current.accepted.digest


def text_of(stored: store.StoredObject) -> str:
    """Return the text of a stored file."""
    return str(msgspec.json.decode(stored.spec)["text"])


SETTINGS = hypothesis.settings(
    max_examples=300, stateful_step_count=40, report_multiple_bugs=False
)


def test_no_interleaving_breaks_lease_accept_or_apply() -> None:
    sf.run_state_machine_as_test(ControlMachine, settings=SETTINGS)


def early_preemption(
    seen: _lease.Observed | None,
    holder: str,
    now_s: float,
    duration_s: float = _lease.DURATION_S,
) -> _lease.Step:
    """The shortcut of the paper: a former holder takes its lease at once."""
    if seen is not None:
        instance = holder.partition(":")[0]
        if seen.record.instance == instance and seen.record.holder != holder:
            return _lease.Step.TAKE
    return DECIDE(seen, holder, now_s, duration_s)


DECIDE = _lease.decide


@pytest.mark.parametrize(
    ("module", "name", "mutant"),
    [
        (_lease, "decide", early_preemption),
        (_accept, "may_merge", lambda *_: True),
        (_accept, "_write_content", lambda *_: None),
        (_applied, "compare_versions", lambda *_: _applied.VersionOrder.NEWER),
    ],
)
def test_the_machine_finds_the_fault_that_is_put_in(
    monkeypatch: pytest.MonkeyPatch,
    module: object,
    name: str,
    mutant: object,
) -> None:
    monkeypatch.setattr(module, name, mutant)
    longer = hypothesis.settings(SETTINGS, max_examples=1_000)
    with pytest.raises((AssertionError, errors.ChiveroadError)):
        sf.run_state_machine_as_test(ControlMachine, settings=longer)
