"""Writing a daemon's own record to the store."""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

import msgspec

from chiveroad.control import _backoff
from chiveroad.control import _messages
from chiveroad.control import _threads
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import presence
from chiveroad import store

RETRY_S: typing.Final = 0.1
MAX_RETRY_S: typing.Final = 0.6
"""Low, as a target waits four seconds in all for the answer to its leave."""

_log = logs.Logger("record")
_decoder = msgspec.json.Decoder(_messages.MemberRecord)

Compose = collections.abc.Callable[[], "_messages.MemberRecord | None"]
Restore = collections.abc.Callable[[store.StoredObject | None], None]


class Recorder:
    """Writes the daemon's record to the store whenever it has changed.

    Each write is conditional on the revision of the write before, so that a
    write whose answer was lost can't undo a later one.

    :param name: the object's name.
    :param compose: returns the record to write, or None while there is none.
    :param restore: processes the stored object after a read: it calls
        ``set_stored``, and may change the record to write.
    """

    def __init__(
        self,
        platform: store.Store,
        name: str,
        compose: Compose,
        restore: Restore,
    ) -> None:
        self._store = platform
        self._name = name
        self._compose = compose
        self._restore = restore
        self._revision = store.ABSENT
        self._known = store.ABSENT
        self._loaded = False
        self._stored_record: _messages.MemberRecord | None = None
        self._changed = threading.Condition()
        self._retry_now = False
        self._waiters = 0
        self.stopped = False

    def start(self) -> None:
        """Start the background thread that writes."""
        _threads.start("recording", self._run)

    def set_stored(
        self, record: _messages.MemberRecord | None, revision: store.Revision
    ) -> None:
        """Set the record that the store holds, left by an earlier incarnation.

        It has no effect once the stored record is known.
        """
        with self._changed:
            if self._loaded:
                return
            self._loaded = True
            self._stored_record = _without_sequence(record) if record else None
            self._revision = revision
            if record is not None:
                self._known = max(self._known, record.member.recorded_at)
            self._changed.notify_all()

    def knows(self, recorded_at: store.Revision) -> bool:
        """Return whether a record isn't newer than what this process knows.

        The store may have brought it back by going back to an older copy.
        """
        return recorded_at <= self._known

    def rewrite_deleted(self, revision: store.Revision) -> None:
        """Have the object read and written again after it was deleted.

        :param revision: the store's revision at which it was deleted.
        """
        with self._changed:
            if not self._loaded or revision <= self._revision:
                return
            self._loaded = False
            self._stored_record = None
            self._changed.notify_all()
        _log.warning(
            "Record {} was deleted at revision {}; writing it again.",
            self._name,
            revision,
        )

    def record(self, wait_s: float) -> bool:
        """Have the present state written.

        A caller that waits ends the back-off after a failure, and has the
        stored record read even while there is nothing to write.

        :param wait_s: how long to wait for the write.
        :returns: whether the present state is recorded.
        """
        end_s = time.monotonic() + wait_s
        is_waiting = wait_s > 0
        with self._changed:
            self._waiters += is_waiting
            self._retry_now |= is_waiting and not self._current()
            self._changed.notify_all()
            try:
                while not self._current():
                    left_s = end_s - time.monotonic()
                    if left_s <= 0:
                        return False
                    self._changed.wait(left_s)
                return True
            finally:
                self._waiters -= is_waiting

    def remove(self) -> None:
        """Try to delete the object."""
        try:
            self._store.delete(store.Kind.MEMBERS, self._name, self._revision)
        except errors.StoreError as exc:
            _log.info("Record {} could not be deleted: {}.", self._name, exc)

    def _current(self) -> bool:
        wanted = self._compose()
        if wanted is None:
            return self._loaded or not self._waiters
        return wanted == self._stored_record

    def _run(self) -> None:
        backoff = _backoff.Backoff(RETRY_S, MAX_RETRY_S)
        while not self.stopped:
            with self._changed:
                while self._current():
                    self._changed.wait()
                    if self.stopped:
                        return
                wanted = self._compose()
                self._retry_now = False
            if self._write(wanted):
                backoff.reset()
            else:
                self._back_off(backoff)

    def _back_off(self, backoff: _backoff.Backoff) -> None:
        """Back off after a failure, until a caller waits for the record."""
        with self._changed:
            if self._changed.wait_for(
                lambda: self._retry_now or self.stopped, backoff.next_s()
            ):
                backoff.reset()

    def _write(self, wanted: _messages.MemberRecord | None) -> bool:
        """Read or write the stored record; False when the store failed."""
        try:
            if not self._loaded or self._is_from_earlier_era():
                # The stored record may say that the target has left.  Then
                # it takes precedence over the record to write.
                self._loaded = False
                self._read()
                return True
            if wanted is None:
                return True
            written = self._store.put(
                store.Kind.MEMBERS, self._name, wanted, self._revision
            )
        except errors.StoreError as exc:
            _log.info(
                "Writing record {} failed, retrying: {}.", self._name, exc
            )
            if not _had_no_effect(exc):
                # Another write may have come first, or this one may have
                # taken effect: the next step reads the object.
                self._loaded = False
            return False
        with self._changed:
            self._revision = written.version
            self._stored_record = wanted
            written_at = store.Revision(
                wanted.member.era, written.version.number
            )
            self._known = max(self._known, written_at)
            self._changed.notify_all()
        _log.info(
            "Record {} written with state {}, revision {}.",
            self._name,
            wanted.member.state.value,
            written.version,
        )
        return True

    def _is_from_earlier_era(self) -> bool:
        known = self._revision != store.ABSENT
        return known and self._revision.era < self._store.eras.current

    def _read(self) -> None:
        try:
            stored = self._store.get(store.Kind.MEMBERS, self._name)
        except errors.StoreNotFound:
            self._restore(None)
            return
        self._restore(stored)


def _had_no_effect(error: errors.StoreError) -> bool:
    """Tell whether a failed call has left the object unchanged."""
    if isinstance(error, errors.StoreOutcomeUnknown):
        return False
    return isinstance(error, errors.StoreUnavailable)


def _without_sequence(
    record: _messages.MemberRecord,
) -> _messages.MemberRecord:
    member = msgspec.structs.replace(record.member, sequence=0)
    return msgspec.structs.replace(record, member=member)


def read(stored: store.StoredObject) -> _messages.MemberRecord | None:
    """Return the decoded record, or None where it can't be read.

    The member's sequence number is the revision of its record, so that the
    states of a member are ordered as their writes in the store.  Its era is
    the one in which it was written, as the writer has stated it: the object
    may come from a copy of an earlier era.
    """
    try:
        record = decoding.decode(_decoder, stored.spec)
    except msgspec.DecodeError as exc:
        _log.warning("Record {} ignored, not readable: {}.", stored.name, exc)
        return None
    defect = _defect(record, stored.name)
    if defect:
        _log.warning("Record {} ignored: {}.", stored.name, defect)
        return None
    era = min(record.member.era or stored.version.era, stored.version.era)
    member = msgspec.structs.replace(
        record.member, sequence=stored.version.number, era=era
    )
    return msgspec.structs.replace(record, member=member)


def encode_superseded(
    superseded: presence.Superseding,
) -> tuple[_messages.SupersededTarget, ...]:
    """Return superseded incarnations as a record holds them."""
    return tuple(
        _messages.SupersededTarget(
            target_id, started_at_ms, known.sequence, known.leaves
        )
        for (started_at_ms, target_id), known in sorted(superseded.items())
    )


def decode_superseded(record: _messages.MemberRecord) -> presence.Superseding:
    """Return the superseded incarnations that a record holds."""
    return {
        (each.started_at_ms, each.target_id): presence.Superseded(
            each.sequence, each.leaves
        )
        for each in record.superseded
    }


def _defect(record: _messages.MemberRecord, name: str) -> str:
    """Return why a record can't be used, or an empty string."""
    if record.member.instance != name:
        return f"it names the instance {record.member.instance!r}"
    if not 0 <= record.ended_by_ms <= decoding.MAX_INTEGER:
        return "ended_by_ms is out of range"
    if not all(each.in_range() for each in record.superseded):
        return "a superseded incarnation is out of range"
    return record.member.defect()
