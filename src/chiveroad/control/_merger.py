"""The merger: watches the folder, merges it, and accepts versions.

It runs in the one daemon that holds the merger lease.  The lease only spares
work; the conditional update in ``_accept`` keeps versions in order.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import queue
import threading
import time
import typing

import msgspec

from chiveroad import config
from chiveroad.control import _accept
from chiveroad.control import _lease
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

FILES_STATUS: typing.Final = "files"
WATCH_S: typing.Final = 30.0
GATHER_S: typing.Final = 0.005
RETRY_S: typing.Final = 0.5
COMPACT_EVERY: typing.Final = 16
MAX_VERDICTS: typing.Final = 2_000
MAX_MESSAGE_LENGTH: typing.Final = 300

_CHECK_S: typing.Final = 0.2
_Going = collections.abc.Callable[[], bool]
_log = logs.Logger("merger")


class FolderStatus(msgspec.Struct, frozen=True):
    """What operators are told of the folder.

    ``folder_version`` is the store's version of the folder that was judged;
    ``omitted`` counts verdicts left out for size, accepted files first.
    """

    version: int
    folder_version: int
    files: list[config.Verdict]
    omitted: int = 0


class FolderFile(msgspec.Struct, frozen=True):
    """The value of one file's object."""

    text: str


def source_of(stored: store.StoredObject) -> config.Source:
    """Return a stored file as the merge takes it.

    An object that isn't a file is returned as one that can't be parsed, so
    that it gets its verdict like any other and holds nobody up.
    """
    try:
        text = msgspec.json.decode(stored.spec, type=FolderFile).text
    except msgspec.DecodeError as exc:
        text = f"not a file: {exc}"
    return config.Source(stored.name, stored.version, text)


def status_of(
    version: int,
    folder_version: int,
    verdicts: collections.abc.Sequence[config.Verdict],
) -> FolderStatus:
    """Return the status of a folder, refused files first."""
    ordered = sorted(verdicts, key=lambda verdict: verdict.code == 0)
    files = [
        dataclasses.replace(
            verdict, message=verdict.message[:MAX_MESSAGE_LENGTH]
        )
        for verdict in ordered[:MAX_VERDICTS]
    ]
    omitted = len(ordered) - len(files)
    return FolderStatus(version, folder_version, files, omitted)


class Merger:
    """Merges while its lease is held."""

    def __init__(
        self, platform: store.Store, contender: _lease.LeaseContender
    ) -> None:
        self._store = platform
        self._contender = contender
        self.stopped = False

    def start(self) -> None:
        """Begin, in the background."""
        _threads.start("merger", self._run)

    def _run(self) -> None:
        while not self.stopped:
            if not self._contender.held:
                time.sleep(_CHECK_S)
                continue
            try:
                Session(self._store).run(self._going)
            except errors.StoreConflict:
                _log.info("Another merger was first; starting anew.")
            except errors.ChiveroadError as exc:
                _log.warning("Merging waits: {}.", exc)
                time.sleep(RETRY_S)

    def _going(self) -> bool:
        return self._contender.held and not self.stopped


class Session:
    """One run of merges over one reading of the accepted version.

    It ends with an exception whenever what was read may be out of date.
    """

    def __init__(self, platform: store.Store) -> None:
        self._store = platform
        self._base = _accept.read_base(
            platform, _accept.read_current(platform)
        )
        listing = platform.list(store.Kind.FILES)
        self._folder_version = listing.version
        self._folder = {
            stored.name: source_of(stored) for stored in listing.objects
        }
        self._status: FolderStatus | None = None
        self._count = 0

    def run(self, going: _Going) -> None:
        """Merge now, and again at each change, for as long as it may."""
        events: queue.Queue[store.Event | errors.StoreError] = queue.Queue()
        watcher = _Watcher(self._store, self._folder_version, events)
        watcher.start()
        try:
            self.merge()
            while going():
                if self._gather(events):
                    self.merge()
        finally:
            watcher.stopped = True

    def merge(self) -> None:
        """Merge the folder as it is known, and accept what came out."""
        base = self._base
        if not _accept.may_merge(base.current.accepted, self._folder_version):
            raise errors.StoreConflict("the folder was read too early")
        merged = config.merge(list(self._folder.values()), base.sources)
        if merged.items != base.items:
            self._accept(merged)
        else:
            # What changes no item, such as a comment, needs no version; it
            # must not count as a change when another file is at fault.
            self._base = dataclasses.replace(base, sources=merged.sources)
        self._tell(self._base.current.accepted.version, merged.verdicts)

    def _accept(self, merged: config.Merged) -> None:
        current = _accept.accept(
            self._store, self._base, merged, self._folder_version
        )
        _log.info("Version {} accepted.", current.accepted.version)
        self._base = _accept.Base(current, merged.items, merged.sources)
        _accept.record(self._store, current.accepted)
        self._count += 1
        if self._count >= COMPACT_EVERY:
            self._count = 0
            _accept.compact(self._store)

    def _gather(
        self, events: queue.Queue[store.Event | errors.StoreError]
    ) -> bool:
        """Take in what has changed; changes in quick succession together."""
        try:
            self._take(events.get(timeout=_CHECK_S))
        except queue.Empty:
            return False
        while True:
            try:
                self._take(events.get(timeout=GATHER_S))
            except queue.Empty:
                return True

    def _take(self, event: store.Event | errors.StoreError) -> None:
        if isinstance(event, errors.StoreError):
            raise event
        self._folder_version = max(self._folder_version, event.version)
        if event.object is None:
            return
        if event.type is store.EventType.DELETED:
            self._folder.pop(event.object.name, None)
            return
        self._folder[event.object.name] = source_of(event.object)

    def _tell(
        self, version: int, verdicts: collections.abc.Sequence[config.Verdict]
    ) -> None:
        status = status_of(version, self._folder_version, verdicts)
        if self._status is not None and self._status == status:
            return
        for file in status.files:
            if file.code:
                _log.info(
                    "File {} refused, E{}, line {}: {}.",
                    file.file,
                    file.code,
                    file.line,
                    file.message,
                )
        store.overwrite(self._store, store.Kind.STATUSES, FILES_STATUS, status)
        self._status = status


class _Watcher(threading.Thread):
    """Feeds the folder's changes into a queue, and ends on an error."""

    def __init__(
        self,
        platform: store.Store,
        version: int,
        events: queue.Queue[store.Event | errors.StoreError],
    ) -> None:
        super().__init__(name="folder watch", daemon=True)
        self._store = platform
        self._version = version
        self._events = events
        self.stopped = False

    def run(self) -> None:
        """Watch until stopped or until the store fails."""
        try:
            while not self.stopped:
                self._watch()
        except errors.StoreError as exc:
            self._events.put(exc)

    def _watch(self) -> None:
        watch = self._store.watch(store.Kind.FILES, self._version, WATCH_S)
        for event in watch:
            if self.stopped:
                return
            self._version = max(self._version, event.version)
            self._events.put(event)
