"""The interface through which chiveroad uses the platform's object API."""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import enum
import typing

import msgspec

from chiveroad import errors
from chiveroad.store import _era

ABSENT: typing.Final = _era.Revision(0, 0)
"""The version to pass for an object that must not exist yet."""

MAX_VALUE_BYTES: typing.Final = 1_000_000


class Kind(enum.Enum):
    """The kinds of objects that chiveroad stores."""

    FILES = "files"
    CONFIGS = "configs"
    SNAPSHOTS = "snapshots"
    LEASES = "leases"
    DOMAINS = "domains"
    STATUSES = "statuses"
    CLAIMS = "claims"
    ACCEPTED = "accepted"
    MEMBERS = "members"
    KEYS = "keys"


class EventType(enum.Enum):
    """The types of events that a watch yields."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the version of its last write, and its value.

    ``spec`` is the JSON text of the value; the caller decodes it, as the
    store doesn't know its type.
    """

    name: str
    version: _era.Revision
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The objects of a kind at ``version``."""

    version: _era.Revision
    objects: tuple[StoredObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a watch.  A bookmark has no object."""

    type: EventType
    version: _era.Revision
    object: StoredObject | None


class Store(abc.ABC):
    """The platform's object API, as far as chiveroad uses it.

    Every method raises ``errors.StoreUnavailable`` when the store can't be
    reached, and every write raises ``errors.StoreOutcomeUnknown`` when its
    answer was lost and the write may have taken effect.

    The store may be restored from an older copy, which begins a new era.  A
    version from an earlier era matches no object and begins no watch, even
    if its number has been given out again since.
    """

    @property
    @abc.abstractmethod
    def eras(self) -> _era.EraTracker:
        """Return the tracker of the latest era that is known."""

    @abc.abstractmethod
    def get(self, kind: Kind, name: str) -> StoredObject:
        """Return an object.

        :raises errors.StoreNotFound: when the object doesn't exist.
        """

    @abc.abstractmethod
    def list(self, kind: Kind, prefix: str = "") -> Listing:
        """Return the objects whose names start with the prefix."""

    @abc.abstractmethod
    def put(
        self, kind: Kind, name: str, spec: object, version: _era.Revision
    ) -> StoredObject:
        """Write an object if its version still equals ``version``.

        :param version: the version read before, or ``ABSENT`` to create the
            object.
        :raises errors.StoreConflict: when the object has another version.
        :raises errors.StoreTooLarge: when the value is over
            ``MAX_VALUE_BYTES``.
        """

    @abc.abstractmethod
    def delete(self, kind: Kind, name: str, version: _era.Revision) -> None:
        """Delete an object if its version still equals ``version``.

        :raises errors.StoreConflict: when the object has another version.
        :raises errors.StoreNotFound: when the object doesn't exist.
        """

    @abc.abstractmethod
    def watch(
        self, kind: Kind, version: _era.Revision, timeout_s: float
    ) -> collections.abc.Iterator[Event]:
        """Yield the changes after a version until the timeout has passed.

        :raises errors.StoreExpired: when the version is older than the
            store's history, or from an earlier era; the caller then lists
            again.
        """


def overwrite(
    platform: Store, kind: Kind, name: str, spec: object
) -> StoredObject:
    """Create an object, or replace it whatever its version is.

    :raises errors.StoreConflict: when the object is written concurrently.
    """
    try:
        current_version = platform.get(kind, name).version
    except errors.StoreNotFound:
        current_version = ABSENT
    return platform.put(kind, name, spec, current_version)
