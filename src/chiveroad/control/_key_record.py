"""The store's record that requests need keys.

The version that removes the last customer need not state that there were any.
A daemon that starts with it must refuse their keys all the same, so the first
daemons that have a version with customers record in the store that keys are
needed.  The record is never removed, and holds no key.  A daemon that has only
versions without customers reads it, unless another daemon tells it.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from chiveroad.control import _node
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

NAME: typing.Final = "main"

_log = logs.Logger("control")


class KeysNeeded(msgspec.Struct, frozen=True):
    """The value of the record: a version with which keys were needed."""

    version: int


class KeyRecord:
    """One daemon's part in keeping the record, and in reading it.

    :param reads_store: tells whether this daemon reads versions from the
        store.  The others learn from such a daemon what they don't know.
    """

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        reads_store: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = platform
        self._node = node
        self._reads_store = reads_store
        self._recorded_era: int | None = None
        self._read_version = 0

    def wait(self, timeout_s: float) -> None:
        """Wait until a call may be due, or until the timeout has passed."""
        with self._node.changed:
            if not self._is_due():
                self._node.changed.wait(timeout_s)

    def tick(self) -> None:
        """Write or read the record if that is due.

        :raises errors.StoreError: when the store didn't answer; the call is
            due again.
        """
        if not self._is_due():
            return
        applied = self._node.applied
        version = applied.current.number
        era = self._store.eras.current
        if applied.keys_needed:
            self._write(version)
            self._recorded_era = era
            return
        applied.learn_keys_needed(self._exists())
        self._read_version = version

    def _is_due(self) -> bool:
        """Tell whether the record may lack, or hold, what is known here.

        A version without customers may follow one that this daemon has
        missed, so the record is read again with each.
        """
        applied = self._node.applied
        version = applied.current.number
        if not version:
            return False
        if applied.keys_needed is None:
            return True
        if not self._reads_store():
            return False
        if applied.keys_needed:
            return self._recorded_era != self._store.eras.current
        return self._read_version != version

    def _write(self, version: int) -> None:
        if self._exists():
            return
        try:
            self._store.put(
                store.Kind.KEYS, NAME, KeysNeeded(version), store.ABSENT
            )
        except errors.StoreConflict:
            return
        _log.info("Recorded that requests need keys, version {}.", version)

    def _exists(self) -> bool:
        try:
            self._store.get(store.Kind.KEYS, NAME)
        except errors.StoreNotFound:
            return False
        return True
