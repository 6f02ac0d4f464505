"""The merger: watches the folder, merges it, and accepts versions.

It is active in the daemon that holds the merger lease.  The lease only saves
duplicate work; the conditional update in ``_accept`` keeps versions in order.
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
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

FILES_STATUS: typing.Final = "files"
WATCH_S: typing.Final = 30.0
BATCH_DELAY_S: typing.Final = 0.005
RETRY_S: typing.Final = 0.5
COMPACT_EVERY: typing.Final = 16
MAX_VERDICTS: typing.Final = 2_000
MAX_MESSAGE_LENGTH: typing.Final = 300

_POLL_S: typing.Final = 0.2
_MayContinue = collections.abc.Callable[[], bool]
_log = logs.Logger("merger")


class FolderStatus(msgspec.Struct, frozen=True):
    """The status of the folder, published for operators.

    ``folder_version`` is the store's version of the folder that was merged.
    ``omitted`` counts the verdicts dropped to limit the size; verdicts on
    accepted files are dropped first.
    """

    version: int
    folder_version: int
    files: list[config.Verdict]
    omitted: int = 0


class FolderFile(msgspec.Struct, frozen=True):
    """The value of the store object of one file."""

    text: str


_file_decoder = msgspec.json.Decoder(FolderFile)


def source_of(stored: store.StoredObject) -> config.Source:
    """Return a stored file as an input of the merge.

    An object that isn't a file is returned as a file that can't be parsed, so
    that it gets a verdict like any other file and blocks no merge.
    """
    try:
        text = decoding.decode(_file_decoder, stored.spec).text
    except msgspec.DecodeError as exc:
        text = f"not a file: {exc}"
    return config.Source(stored.name, stored.version.number, text)


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
    """Runs merge sessions while the merger lease is held."""

    def __init__(
        self, platform: store.Store, contender: _lease.LeaseContender
    ) -> None:
        self._store = platform
        self._contender = contender
        self.stopped = False

    def start(self) -> None:
        """Start the background thread."""
        _threads.start("merger", self._run)

    def _run(self) -> None:
        while not self.stopped:
            if not self._contender.held:
                time.sleep(_POLL_S)
                continue
            try:
                Session(self._store).run(self._may_continue)
            except errors.StoreConflict:
                _log.info(
                    "Another merger accepted a version first; "
                    "reading the accepted version again."
                )
            except errors.ChiveroadError as exc:
                _log.warning(
                    "Merging failed, retry in {} s: {}.", RETRY_S, exc
                )
                time.sleep(RETRY_S)

    def _may_continue(self) -> bool:
        return self._contender.held and not self.stopped


class Session:
    """A series of merges on top of one read of the accepted version.

    It ends with an exception whenever the accepted version or the folder may
    have changed unnoticed.
    """

    def __init__(self, platform: store.Store) -> None:
        self._store = platform
        self._base = _accept.read_base(
            platform, _accept.read_current(platform)
        )
        listing = platform.list(store.Kind.FILES)
        self._folder_version = listing.version
        self._sources = {
            stored.name: source_of(stored) for stored in listing.objects
        }
        self._status: FolderStatus | None = None
        self._uncompacted = 0

    def run(self, may_continue: _MayContinue) -> None:
        """Merge now and after each change, while ``may_continue()``."""
        events: queue.Queue[store.Event | errors.StoreError] = queue.Queue()
        watcher = _Watcher(self._store, self._folder_version, events)
        watcher.start()
        try:
            self.merge()
            while may_continue():
                if self._apply_changes(events):
                    self.merge()
        finally:
            watcher.stopped = True

    def merge(self) -> None:
        """Merge the folder as last read, and accept the result if it differs.

        :raises errors.StoreConflict: when the folder is older than the one
            that the accepted version was merged from.
        """
        base = self._base
        if not _accept.may_merge(base.current.accepted, self._folder_version):
            raise errors.StoreConflict(
                f"the folder was read at version {self._folder_version}, "
                "older than the one of the accepted version"
            )
        merged = config.merge(list(self._sources.values()), base.sources)
        items = config.keep_key_demand(base.items, merged.items)
        merged = dataclasses.replace(merged, items=items)
        if merged.items != base.items:
            self._accept(merged)
        else:
            # A change of no item, such as one of a comment, needs no version.
            # Its file must not count as changed when another file is invalid.
            self._base = dataclasses.replace(base, sources=merged.sources)
        self._publish_status(
            self._base.current.accepted.version, merged.verdicts
        )

    def _accept(self, merged: config.Merged) -> None:
        current = _accept.accept(
            self._store, self._base, merged, self._folder_version
        )
        _log.info("Version {} accepted.", current.accepted.version)
        self._base = _accept.Base(current, merged.items, merged.sources)
        _accept.record(self._store, current.accepted)
        self._uncompacted += 1
        if self._uncompacted >= COMPACT_EVERY:
            self._uncompacted = 0
            _accept.compact(self._store)

    def _apply_changes(
        self, events: queue.Queue[store.Event | errors.StoreError]
    ) -> bool:
        """Apply pending changes, a burst of them as one batch.

        :returns: whether there were any.
        """
        try:
            self._apply_event(events.get(timeout=_POLL_S))
        except queue.Empty:
            return False
        while True:
            try:
                self._apply_event(events.get(timeout=BATCH_DELAY_S))
            except queue.Empty:
                return True

    def _apply_event(self, event: store.Event | errors.StoreError) -> None:
        if isinstance(event, errors.StoreError):
            raise event
        self._folder_version = max(self._folder_version, event.version)
        if event.object is None:
            return
        if event.type is store.EventType.DELETED:
            self._sources.pop(event.object.name, None)
            return
        self._sources[event.object.name] = source_of(event.object)

    def _publish_status(
        self, version: int, verdicts: collections.abc.Sequence[config.Verdict]
    ) -> None:
        status = status_of(version, self._folder_version.number, verdicts)
        if self._status is not None and self._status == status:
            return
        for file in status.files:
            if file.code:
                _log.info(
                    "File {} refused with E{} at line {}: {}.",
                    file.file,
                    file.code,
                    file.line,
                    file.message,
                )
        store.overwrite(self._store, store.Kind.STATUSES, FILES_STATUS, status)
        self._status = status


class _Watcher(threading.Thread):
    """Puts the folder's changes into a queue, and ends at a store error."""

    def __init__(
        self,
        platform: store.Store,
        version: store.Revision,
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
