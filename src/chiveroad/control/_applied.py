"""The configuration in force in this process.

It changes by an atomic swap of one reference, and only to a greater version
with a matching digest.  A process that has just started holds the version that
it receives, but isn't ready until a read of the store, made after its start,
has confirmed that no newer version had been accepted: an earlier incarnation
of this instance may have run a version that its peers haven't received.  Where
a return to an older version is ruled out within one incarnation only, any
version makes the process ready.

Whether requests need keys outlasts the versions that list customers.  Where
versions don't state it, the process isn't ready before it knows, see
``_key_record``.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import threading
import time
import typing

import msgspec

from chiveroad import clock
from chiveroad import config
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

RETAINED_VERSIONS: typing.Final = 8

_Items = config.Items
_log = logs.Logger("config")


class VersionOrder(enum.Enum):
    """How an offered version compares to the version in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONTRADICTS = "contradicts"


def compare_versions(
    current: tuple[int, str], offered: tuple[int, str]
) -> VersionOrder:
    """Compare an offered pair of version and digest to the current pair.

    >>> compare_versions((3, "a"), (2, "b"))
    <VersionOrder.OLDER: 'older'>
    """
    if offered[0] > current[0]:
        return VersionOrder.NEWER
    if offered[0] < current[0]:
        return VersionOrder.OLDER
    return (
        VersionOrder.SAME
        if offered[1] == current[1]
        else VersionOrder.CONTRADICTS
    )


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of the configuration in this process.

    ``applied_at_ms`` is Unix time, and ``revision`` is the store's revision of
    the object that the version came from, or ``store.ABSENT`` where it isn't
    known.
    """

    number: int
    digest: str
    config: config.Config
    applied_at_ms: float
    revision: store.Revision = store.ABSENT


def _empty_version() -> Version:
    return Version(0, config.digest({}), config.Config({}), 0.0)


class Applied:
    """Holds the version in force.

    :param changed: notified whenever the version or the confirmation changes.
    :param confirmed_only: whether a version must be confirmed before use.
    :param keys_recorded: whether the store records that requests need keys,
        so that a version without customers doesn't show whether they do.
    """

    def __init__(
        self,
        changed: threading.Condition,
        confirmed_only: bool = True,
        keys_recorded: bool = False,
    ) -> None:
        self._changed = changed
        self._confirmed_only = confirmed_only
        self._started_s = clock.now_s()
        self._confirmed_s: float | None = None
        self._earlier: collections.OrderedDict[str, _Items] = (
            collections.OrderedDict()
        )
        self.keys_recorded = keys_recorded
        self._keys_needed: bool | None = None if keys_recorded else False
        self.current = _empty_version()
        self.applied_at_s = 0.0
        """When the present version was put in force, by ``clock``."""

    @property
    def config(self) -> config.Config:
        """Return the configuration in force."""
        return self.current.config

    @property
    def ready(self) -> bool:
        """Tell whether the version may be used."""
        if self._keys_needed is None:
            return False
        if not self._confirmed_only:
            return self.current.number > 0
        return (
            self._confirmed_s is not None
            and self._confirmed_s >= self._started_s
        )

    @property
    def confirmed_s(self) -> float | None:
        """Return the time, by ``clock``, as of which the version is confirmed.

        No newer version had been accepted at that time.
        """
        return self._confirmed_s

    @property
    def demands_keys(self) -> bool:
        """Tell whether requests need keys, or may need them.

        They do once a version with customers has been in force, here or at
        any daemon that has recorded it.
        """
        return self._keys_needed is not False

    @property
    def keys_needed(self) -> bool | None:
        """Return whether requests need keys, or None while it isn't known."""
        return self._keys_needed

    @property
    def unstated_keys_needed(self) -> bool | None:
        """Return what other daemons are told beside the version.

        It is None where the version states it, and where it isn't known.
        """
        if not self.keys_recorded or self.current.config.demands_keys:
            return None
        return self._keys_needed

    def learn_keys_needed(self, needed: bool) -> None:
        """Learn whether requests need keys; once they do, they always do."""
        with self._changed:
            if self._keys_needed or self._keys_needed is needed:
                return
            self._keys_needed = needed
            self._changed.notify_all()
        _log.info(
            "Requests {} with version {}.",
            "need keys" if needed else "need no keys",
            self.current.number,
        )

    def offer(
        self,
        number: int,
        digest: str,
        items: _Items,
        revision: store.Revision = store.ABSENT,
        checked: bool = False,
    ) -> VersionOrder:
        """Put a version in force if it is newer.

        :param checked: whether the digest of the items was already verified.
        :returns: how the version compares to the one in force.
        :raises errors.DigestMismatch: when the items don't have the digest.
        :raises errors.BadMessage: when an item can't be read, for example one
            of a later release; the version in force stays.
        """
        order = compare_versions(
            (self.current.number, self.current.digest), (number, digest)
        )
        if order is not VersionOrder.NEWER:
            self._log_rejected(order, number)
            return order
        if not checked and config.digest(items) != digest:
            raise errors.DigestMismatch(
                f"the items of version {number} don't have the digest {digest}"
            )
        try:
            compiled = config.Config(items, previous=self.current.config)
        except msgspec.DecodeError as exc:
            raise errors.BadMessage(f"version {number}: {exc}") from exc
        assert not compiled.dangling(), "report this: a dangling route"
        with self._changed:
            current = self.current
            order = compare_versions(
                (current.number, current.digest), (number, digest)
            )
            if order is not VersionOrder.NEWER:
                return order
            unconfirmed_ms = self.unconfirmed_ms()
            self._retain_items(current)
            self.current = Version(
                number, digest, compiled, time.time() * 1000, revision
            )
            self.applied_at_s = clock.now_s()
            if compiled.demands_keys:
                self._keys_needed = True
            self._changed.notify_all()
        _log.info(
            "Version {} is in force: {} services, {} routes, {} customers.",
            number,
            len(compiled.services),
            len(compiled.routes),
            len(compiled.customers),
            extra={
                "unconfirmed_ms": unconfirmed_ms,
                "keys_needed": self._keys_needed,
            },
        )
        return VersionOrder.NEWER

    def confirm(self, at_s: float) -> None:
        """Record that no newer version had been accepted at a time."""
        with self._changed:
            if self._confirmed_s is not None and at_s <= self._confirmed_s:
                return
            was_ready = self.ready
            self._confirmed_s = at_s
            self._changed.notify_all()
            if self.ready and not was_ready:
                _log.info("Ready: version {} confirmed.", self.current.number)

    def unconfirmed_ms(self) -> int | None:
        """Return the age of the last confirmation in ms, or None."""
        if self._confirmed_s is None:
            return None
        return int(1000 * (clock.now_s() - self._confirmed_s))

    def earlier(self, digest: str) -> _Items | None:
        """Return the items of a recent version as the base of a delta."""
        if digest == self.current.digest:
            return self.current.config.items
        return self._earlier.get(digest)

    def _retain_items(self, version: Version) -> None:
        items: collections.abc.Mapping[str, str] = version.config.items
        self._earlier[version.digest] = items
        while len(self._earlier) > RETAINED_VERSIONS:
            self._earlier.popitem(last=False)

    def _log_rejected(self, order: VersionOrder, number: int) -> None:
        if order is VersionOrder.CONTRADICTS:
            _log.error(
                "Version {} rejected: same number as the version in force, "
                "but another digest.",
                number,
            )
