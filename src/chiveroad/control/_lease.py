"""Leases on the platform's store.

A lease only saves duplicate work; safety never depends on it.  A contender
takes a lease only after it has observed the same write of the lease for the
whole duration on its own monotonic clock, so that clocks of different
machines are never compared.  A lease is never taken early, not even by its
former holder after a restart: with that shortcut, two daemons consider
themselves the holder in the model checked by A. Helwer ("Using TLA+ at Work:
Designing a snapshot coordination system", 2023).
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

    ``holder`` identifies one incarnation of a daemon and is empty for a
    released lease.  ``address`` is the holder's control address.
    """

    holder: str
    instance: str
    address: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """A lease as read from the store.

    ``version`` is the store's version of the object, and ``since_s`` the time
    of the first read that returned this version.
    """

    record: Record
    version: store.Revision
    since_s: float


class Step(enum.Enum):
    """The next action of a contender."""

    TAKE = "take"
    WAIT = "wait"
    KEEP = "keep"


def decide(
    observed: Observed | None,
    holder: str,
    now_s: float,
    duration_s: float = DURATION_S,
) -> Step:
    """Decide on the next action from the observed lease.

    ``holder`` identifies this incarnation; an earlier incarnation of the same
    instance has another name and counts as any other holder.
    """
    if observed is None or not observed.record.holder:
        return Step.TAKE
    if observed.record.holder == holder:
        return Step.KEEP
    if now_s - observed.since_s >= duration_s:
        return Step.TAKE
    return Step.WAIT


def observe(
    previous: Observed | None, read: store.StoredObject | None, now_s: float
) -> Observed | None:
    """Return the lease after a read; an unchanged version keeps its age."""
    if read is None:
        return None
    if previous is not None and previous.version == read.version:
        return previous
    record = msgspec.json.decode(read.spec, type=Record)
    return Observed(record, read.version, now_s)


class LeaseContender:
    """Contends for one lease, renews it, and gives its holder.

    ``wanted`` enables contending.  The lease is taken ``takeover_delay_s``
    after it became available.  ``held`` is true while this daemon is certain
    to hold the lease.  ``acting`` also stays true while the store is
    unreachable and no other daemon is known to have taken over.  ``watched``
    enables observing without contending, so that the lease has already been
    observed when ``wanted`` is set.
    """

    def __init__(
        self,
        platform: store.Store,
        name: str,
        own_record: Record,
        observe_s: float = OBSERVE_S,
        takeover_delay_s: float = 0.0,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._takeover_delay_s = takeover_delay_s
        self._available_since_s: float | None = None
        self._store = platform
        self._name = name
        self._own_record = own_record
        self._observe_s = observe_s
        self._observed: Observed | None = None
        self._valid_until_s = 0.0
        self._step_lock = threading.Lock()
        self.acting = False
        self.wanted = False
        self.watched = False
        self.stopped = False

    @property
    def held(self) -> bool:
        """Return whether this daemon holds the lease, by its own clock."""
        return self.acting and self._clock() < self._valid_until_s

    @property
    def record(self) -> Record | None:
        """Return the lease as last read."""
        return self._observed.record if self._observed else None

    def start(self) -> None:
        """Start the background thread that contends while ``wanted``."""
        _threads.start(f"lease {self._name}", self._run)

    def refresh(self) -> Record | None:
        """Read the lease once.

        :raises errors.StoreError: when the read fails.
        """
        with self._step_lock:
            self._read()
            return self.record

    def step(self) -> None:
        """Renew, take or observe the lease once."""
        with self._step_lock:
            try:
                self._step()
            except errors.StoreConflict:
                self._mark_lost()
            except errors.StoreOutcomeUnknown:
                self._read_back()
            except errors.StoreError as exc:
                _log.debug(
                    "Lease {} neither taken nor renewed, retrying: {}.",
                    self._name,
                    exc,
                )

    def release(self) -> None:
        """Release the lease, so that another daemon can take it at once."""
        self.stopped = True
        with self._step_lock:
            if not self.acting or self._observed is None:
                return
            self.acting = False
            empty = msgspec.structs.replace(self._observed.record, holder="")
            try:
                self._put(empty, self._observed.version)
            except errors.StoreError as exc:
                _log.info(
                    "Lease {} can't be released and will expire: {}.",
                    self._name,
                    exc,
                )

    def _run(self) -> None:
        while not self.stopped:
            if not self.wanted and not self.acting:
                self._idle()
                continue
            self.step()
            pause_s = RENEW_S if self.acting else self._observe_s
            time.sleep(pause_s * random.uniform(0.8, 1.2))

    def _idle(self) -> None:
        """Pause until the lease is wanted; observe it if ``watched``."""
        if not self.watched:
            time.sleep(IDLE_S)
            return
        try:
            self.refresh()
        except errors.StoreError as exc:
            _log.debug("Lease {} can't be observed: {}.", self._name, exc)
        time.sleep(RENEW_S)

    def _step(self) -> None:
        if self.acting and self._observed is not None:
            self._renew(self._observed.record, self._observed.version)
            return
        self._read()
        now_s = self._clock()
        step = decide(self._observed, self._own_record.holder, now_s)
        if step is Step.WAIT:
            self._available_since_s = None
            return
        if not self._delay_has_passed(step, now_s):
            return
        version = self._observed.version if self._observed else store.ABSENT
        term = self._observed.record.term if self._observed else 0
        self._renew(
            msgspec.structs.replace(self._own_record, term=term + 1), version
        )

    def _delay_has_passed(self, step: Step, now_s: float) -> bool:
        """Return whether the takeover delay in favour of others is over."""
        if step is Step.KEEP:
            return True
        if self._available_since_s is None:
            self._available_since_s = now_s
        return now_s - self._available_since_s >= self._takeover_delay_s

    def _read(self) -> None:
        try:
            read = self._store.get(store.Kind.LEASES, self._name)
        except errors.StoreNotFound:
            read = None
        self._observed = observe(self._observed, read, self._clock())

    def _renew(self, record: Record, version: store.Revision) -> None:
        # The validity counts from before the call, since the write may take
        # effect at any time during the call.
        sent_s = self._clock()
        self._put(record, version)
        self._valid_until_s = sent_s + DURATION_S
        if not self.acting:
            self.acting = True
            _log.info("Lease {} taken, term {}.", self._name, record.term)

    def _put(self, record: Record, version: store.Revision) -> None:
        written = self._store.put(
            store.Kind.LEASES, self._name, record, version
        )
        self._observed = Observed(record, written.version, self._clock())

    def _read_back(self) -> None:
        """Read the lease back after the answer to a write was lost.

        The write may or may not have taken effect, and nothing is assumed
        before the read.
        """
        try:
            self._read()
        except errors.StoreError:
            return
        record = self.record
        if record is None or record.holder != self._own_record.holder:
            self._mark_lost()

    def _mark_lost(self) -> None:
        if self.acting:
            _log.info(
                "Lease {} lost, no longer acting as its holder.", self._name
            )
        self.acting = False
        self._observed = None
