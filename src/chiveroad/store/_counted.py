"""A store wrapper that counts calls for the metrics."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

from chiveroad import errors
from chiveroad.store import _base
from chiveroad.store import _era

CALLS_METRIC: typing.Final = "chiveroad.store.calls"

Count = collections.abc.Callable[[str, str], None]
"""Increments the counter with a metric name and a label."""


class CountedStore(_base.Store):
    """Delegates every call, and counts it by method, kind and outcome.

    :param counted: the store to which calls are delegated.
    """

    def __init__(self, counted: _base.Store, count: Count) -> None:
        self._store = counted
        self._count = count

    @property
    def eras(self) -> _era.EraTracker:
        """Return the tracker of the latest era that is known."""
        return self._store.eras

    def get(self, kind: _base.Kind, name: str) -> _base.StoredObject:
        """Return an object."""
        with self._counting("get", kind):
            return self._store.get(kind, name)

    def list(self, kind: _base.Kind, prefix: str = "") -> _base.Listing:
        """Return the objects whose names start with the prefix."""
        with self._counting("list", kind):
            return self._store.list(kind, prefix)

    def put(
        self, kind: _base.Kind, name: str, spec: object, version: _era.Revision
    ) -> _base.StoredObject:
        """Write an object if its version still equals ``version``."""
        with self._counting("put", kind):
            return self._store.put(kind, name, spec, version)

    def delete(
        self, kind: _base.Kind, name: str, version: _era.Revision
    ) -> None:
        """Delete an object if its version still equals ``version``."""
        with self._counting("delete", kind):
            self._store.delete(kind, name, version)

    def watch(
        self, kind: _base.Kind, version: _era.Revision, timeout_s: float
    ) -> collections.abc.Iterator[_base.Event]:
        """Yield the changes after a version until the timeout has passed."""
        with self._counting("watch", kind):
            yield from self._store.watch(kind, version, timeout_s)

    @contextlib.contextmanager
    def _counting(
        self, method: str, kind: _base.Kind
    ) -> collections.abc.Iterator[None]:
        outcome = "ok"
        try:
            yield
        except errors.StoreError as exc:
            outcome = str(exc.code)
            raise
        finally:
            self._count(CALLS_METRIC, f"{method} {kind.value} {outcome}")
