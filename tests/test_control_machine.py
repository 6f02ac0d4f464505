"""Interleavings of leases, acceptance and application of versions.

The clock and the store are fakes.
"""

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
PROCESS = st.integers(0, 5)


class Process:
    """One incarnation of a daemon: its lease, base, folder and version."""

    def __init__(self, machine: "ControlMachine", instance: str) -> None:
        machine.starts += 1
        holder = f"{instance}:{machine.starts}"
        record = _lease.Record(holder, instance, instance, 0)
        self.instance = instance
        self.contender = _lease.LeaseContender(
            machine.store, "merger", record, clock=machine.clock
        )
        self.applied = _applied.Applied(threading.Condition())
        self.base: _accept.Base | None = None
        self.folder: store.Listing | None = None


class ControlMachine(sf.RuleBasedStateMachine):
    """Three instances, restarted while their old processes may go on."""

    def __init__(self) -> None:
        super().__init__()
        self.store = fakes.FaultyStore()
        self.clock = fakes.Clock()
        self.starts = 0
        self.processes = [Process(self, name) for name in ("n1", "n2", "n3")]
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
        """Time passes; a process that no rule touches counts as paused."""
        self.clock.now_s += seconds

    @sf.rule(lost=st.booleans())
    def lose_an_answer(self, lost: bool) -> None:
        """The next write's answer is lost, after or before its effect."""
        self.store.lose = int(lost)
        self.store.drop = int(not lost)

    @sf.rule(number=PROCESS)
    def restart(self, number: int) -> None:
        """An instance is restarted while its old process is paused."""
        old = self.processes[number % len(self.processes)]
        if len(self.processes) < 6:
            self.processes.append(Process(self, old.instance))

    @sf.initialize()
    def begin(self) -> None:
        """Two versions are accepted in advance."""
        self.publish(0, NAMES[0], TEXTS[0])
        self.publish(1, NAMES[0], TEXTS[1])

    @sf.rule(number=PROCESS)
    def lease(self, number: int) -> None:
        """A process renews, takes or observes the lease once."""
        self.processes[number % len(self.processes)].contender.step()

    @sf.rule(number=PROCESS)
    def read(self, number: int) -> None:
        """A process reads the accepted version and then the folder."""
        process = self.processes[number % len(self.processes)]
        self.read_base(number)
        process.folder = self.store.list(store.Kind.FILES)

    @sf.rule(number=PROCESS)
    def read_base(self, number: int) -> None:
        """A process reads the accepted version only."""
        process = self.processes[number % len(self.processes)]
        process.base = _accept.read_base(
            self.store, _accept.read_current(self.store)
        )

    @sf.rule(number=PROCESS)
    def merge(self, number: int) -> None:
        """A process merges the folder it has read, lease held or not."""
        process = self.processes[number % len(self.processes)]
        base, folder = process.base, process.folder
        if base is None or folder is None:
            return
        if not _accept.may_merge(base.current.accepted, folder.version):
            return
        sources = [
            config.Source(f.name, f.version.number, text_of(f))
            for f in folder.objects
        ]
        merged = config.merge(sources, base.sources)
        if merged.items == base.items:
            return
        try:
            _accept.accept(self.store, base, merged, folder.version)
        except errors.StoreError:
            process.base = None
        self.store.lose = self.store.drop = 0
        self.note()

    @sf.rule(
        number=PROCESS,
        name=st.sampled_from(NAMES),
        text=st.sampled_from(TEXTS),
    )
    def publish(self, number: int, name: str, text: str) -> None:
        """A file is written, read and merged without interleaving."""
        self.write(name, text)
        self.read(number)
        self.merge(number)

    @sf.rule(number=PROCESS, which=st.integers(0, 3))
    def apply(self, number: int, which: int) -> None:
        """A process is offered one of the last versions, in any order."""
        process = self.processes[number % len(self.processes)]
        if not self.accepted:
            return
        accepted = self.accepted[-1 - which % len(self.accepted)]
        items = self.items[accepted.version]
        process.applied.offer(accepted.version, accepted.digest, items)

    @sf.rule()
    def compact(self) -> None:
        """Obsolete records and content are deleted."""
        _accept.compact(self.store)

    def note(self) -> None:
        """Keep the accepted version and its items for the invariants."""
        current = _accept.read_current(self.store).accepted
        if current.version and current not in self.accepted:
            self.accepted.append(current)
            self.items[current.version] = _accept.read_items(
                self.store, current
            )

    @sf.invariant()
    def versions_only_go_on(self) -> None:
        """Versions have no gaps, and their folders never get older."""
        numbers = [entry.version for entry in self.accepted]
        assert numbers == list(range(1, len(numbers) + 1))
        folders = [entry.folder_version for entry in self.accepted]
        assert folders == sorted(folders)

    @sf.invariant()
    def one_holder(self) -> None:
        """No two processes hold the lease at once, by their own clocks."""
        assert sum(process.contender.held for process in self.processes) <= 1

    @sf.invariant()
    def never_older(self) -> None:
        """No process applies an older version or one that dangles."""
        for process in self.processes:
            current = process.applied.current
            assert current.number >= self.applied.get(id(process), 0)
            assert not current.config.dangling()
            self.applied[id(process)] = current.number

    @sf.invariant()
    def accepted_is_whole(self) -> None:
        """The accepted version can always be read completely."""
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
    """The paper's shortcut: a former holder takes its lease early."""
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
