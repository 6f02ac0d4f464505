"""Leases on the platform's store.

A lease spares work; it is never what safety rests on.  A contender takes a
lease only after it has seen the same write of it for the whole duration on
its own monotonic clock, so no clocks are compared.  A lease is never taken
early, not by its former holder after a restart either: that shortcut let two
holders believe in themselves in the model checked by A. Helwer ("Using TLA+
at Work: Designing a snapshot coordination system", 2023).
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import random
import threading
import time
import typing

import msgspec

from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

DURATION_S: typing.Final = 4.0
RENEW_S: typing.Final = 1.0
OBSERVE_S: typing.Final = 0.5
IDLE_S: typing.Final = 0.1

_log = logs.Logger("lease")


class Record(msgspec.Struct, frozen=True):
    """The value of a lease.

    ``holder`` names one start of one instance and is empty for a lease that
    was released.  ``address`` is the holder's control address.
    """

    holder: str
    instance: str
    address: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """A lease as it was read: its record, its version, and since when."""

    record: Record
    version: int
    since_s: float


class Step(enum.Enum):
    """What a contender does next."""

    TAKE = "take"
    WAIT = "wait"
    KEEP = "keep"


def decide(
    seen: Observed | None,
    holder: str,
    now_s: float,
    duration_s: float = DURATION_S,
) -> Step:
    """Decide on a lease from what was seen of it.

    ``holder`` is the name of this start; the same instance's earlier start
    has another name and counts as anybody else.
    """
    if seen is None or not seen.record.holder:
        return Step.TAKE
    if seen.record.holder == holder:
        return Step.KEEP
    if now_s - seen.since_s >= duration_s:
        return Step.TAKE
    return Step.WAIT


def observe(
    before: Observed | None, read: store.StoredObject | None, now_s: float
) -> Observed | None:
    """Return what is seen after a read; an unchanged version keeps its age."""
    if read is None:
        return None
    if before is not None and before.version == read.version:
        return before
    record = msgspec.json.decode(read.spec, type=Record)
    return Observed(record, read.version, now_s)


class LeaseContender:
    """Contends for one lease, renews it, and says who holds it.

    ``wanted`` makes it contend, ``takeover_delay_s`` later than others.
    ``held`` is true while the lease is surely ours; ``acting`` stays true
    while the store can't be asked and nobody else is known to have taken
    over.
    ``watched`` makes it observe without contending, so that it need not
    begin to observe when it comes to want the lease.
    """

    def __init__(
        self,
        platform: store.Store,
        name: str,
        me: Record,
        observe_s: float = OBSERVE_S,
        takeover_delay_s: float = 0.0,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._takeover_delay_s = takeover_delay_s
        self._takeable_s: float | None = None
        self._store = platform
        self._name = name
        self._me = me
        self._observe_s = observe_s
        self._seen: Observed | None = None
        self._valid_until_s = 0.0
        self._step_lock = threading.Lock()
        self.acting = False
        self.wanted = False
        self.watched = False
        self.stopped = False

    @property
    def held(self) -> bool:
        """Tell whether the lease is ours, by our own clock."""
        return self.acting and self._clock() < self._valid_until_s

    @property
    def record(self) -> Record | None:
        """Return the lease as last seen."""
        return self._seen.record if self._seen else None

    def start(self) -> None:
        """Begin to contend in the background, whenever it is wanted."""
        _threads.start(f"lease {self._name}", self._run)

    def refresh(self) -> Record | None:
        """Read the lease once.

        :raises errors.StoreError: when the store can't be asked.
        """
        with self._step_lock:
            self._read()
            return self.record

    def step(self) -> None:
        """Renew, take or watch the lease once."""
        with self._step_lock:
            try:
                self._step()
            except errors.StoreConflict:
                self._lost()
            except errors.StoreOutcomeUnknown:
                self._settle()
            except errors.StoreError as exc:
                _log.debug("Lease {} waits: {}.", self._name, exc)

    def release(self) -> None:
        """Release the lease, so that another may take it at once."""
        self.stopped = True
        with self._step_lock:
            if not self.acting or self._seen is None:
                return
            self.acting = False
            empty = msgspec.structs.replace(self._seen.record, holder="")
            try:
                self._put(empty, self._seen.version)
            except errors.StoreError as exc:
                _log.info("Lease {} is left to lapse: {}.", self._name, exc)

    def _run(self) -> None:
        while not self.stopped:
            if not self.wanted and not self.acting:
                self._rest()
                continue
            self.step()
            pause_s = RENEW_S if self.acting else self._observe_s
            time.sleep(pause_s * random.uniform(0.8, 1.2))

    def _rest(self) -> None:
        """Wait until the lease is wanted, with an eye on it if told so."""
        if not self.watched:
            time.sleep(IDLE_S)
            return
        try:
            self.refresh()
        except errors.StoreError as exc:
            _log.debug("Lease {} isn't seen: {}.", self._name, exc)
        time.sleep(RENEW_S)

    def _step(self) -> None:
        if self.acting and self._seen is not None:
            self._renew(self._seen.record, self._seen.version)
            return
        self._read()
        now_s = self._clock()
        step = decide(self._seen, self._me.holder, now_s)
        if step is Step.WAIT:
            self._takeable_s = None
            return
        if not self._patient(step, now_s):
            return
        version = self._seen.version if self._seen else store.ABSENT
        term = self._seen.record.term if self._seen else 0
        self._renew(msgspec.structs.replace(self._me, term=term + 1), version)

    def _patient(self, step: Step, now_s: float) -> bool:
        """Tell whether others have had their time to take the lease first."""
        if step is Step.KEEP:
            return True
        if self._takeable_s is None:
            self._takeable_s = now_s
        return now_s - self._takeable_s >= self._takeover_delay_s

    def _read(self) -> None:
        try:
            read = self._store.get(store.Kind.LEASES, self._name)
        except errors.StoreNotFound:
            read = None
        self._seen = observe(self._seen, read, self._clock())

    def _renew(self, record: Record, version: int) -> None:
        # The validity counts from before the call: the write may take
        # effect at any time while it lasts.
        asked_s = self._clock()
        self._put(record, version)
        self._valid_until_s = asked_s + DURATION_S
        if not self.acting:
            self.acting = True
            _log.info("Lease {} taken, term {}.", self._name, record.term)

    def _put(self, record: Record, version: int) -> None:
        written = self._store.put(
            store.Kind.LEASES, self._name, record, version
        )
        self._seen = Observed(record, written.version, self._clock())

    def _settle(self) -> None:
        """Read back after a lost answer; only then is anything assumed."""
        try:
            self._read()
        except errors.StoreError:
            return
        record = self.record
        if record is None or record.holder != self._me.holder:
            self._lost()

    def _lost(self) -> None:
        if self.acting:
            _log.info("Lease {} lost.", self._name)
        self.acting = False
        self._seen = None
