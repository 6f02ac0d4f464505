"""Accepting a version: a conditional update of one object.

The object ``configs/current`` holds the accepted version.  A merger first
reads the object, then reads the folder, and then writes the object; the store
rejects the write if another version was accepted in between.  So a merger
that was paused past the end of its lease can't undo later versions, and of
two concurrent mergers only one succeeds.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing
import zlib

import msgspec

from chiveroad import config
from chiveroad import errors
from chiveroad import store

CURRENT: typing.Final = "current"
CHUNK_BYTES: typing.Final = 600_000
KEPT_RECORDS: typing.Final = 8
RECORD_PREFIX: typing.Final = "v-"


class Accepted(msgspec.Struct, frozen=True):
    """The value of ``configs/current``, and of each version's record.

    ``folder_version`` is the store's version of the merged folder,
    ``sources`` the content name of the accepted files and ``chunks`` the
    number of objects of the snapshot.  ``delta`` is the compressed delta from
    the previous version; it is empty above ``DELTA_LIMIT_BYTES``.
    """

    version: int
    digest: str
    folder_version: int
    sources: str
    chunks: int
    delta: bytes = b""


NO_VERSION: typing.Final = Accepted(0, config.digest({}), 0, "", 0)
DELTA_LIMIT_BYTES: typing.Final = 200_000

_decoder = msgspec.json.Decoder(Accepted)
_sources_decoder = msgspec.json.Decoder(list[tuple[str, int, str]])


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The accepted version as read, with the store's version of the object."""

    accepted: Accepted
    store_version: store.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The accepted version that a merge starts from, with its content."""

    current: Current
    items: dict[str, str]
    sources: tuple[config.Source, ...]


def may_merge(base: Accepted, folder_version: store.Revision) -> bool:
    """Return whether a folder is new enough to be merged on top of a version.

    A folder older than the one that the accepted version was merged from
    would undo a change.
    """
    return folder_version.number >= base.folder_version


def decode(stored: store.StoredObject) -> Accepted:
    """Decode the value of ``configs/current`` or of a version's record."""
    return _decoder.decode(stored.spec)


def read_current(platform: store.Store) -> Current:
    """Return the accepted version, or ``NO_VERSION`` if there is none."""
    try:
        stored = platform.get(store.Kind.CONFIGS, CURRENT)
    except errors.StoreNotFound:
        return Current(NO_VERSION, store.ABSENT)
    return Current(decode(stored), stored.version)


def read_base(platform: store.Store, current: Current) -> Base:
    """Return the accepted version with its items and file revisions."""
    accepted = current.accepted
    if accepted.version == 0:
        return Base(current, {}, ())
    return Base(
        current,
        read_items(platform, accepted),
        read_sources(platform, accepted.sources),
    )


def read_items(platform: store.Store, accepted: Accepted) -> dict[str, str]:
    """Fetch the snapshot of an accepted version.

    :raises errors.DigestMismatch: when the snapshot has another digest.
    """
    if not accepted.chunks:
        return {}
    packed = _read_chunks(platform, accepted.digest, accepted.chunks)
    return config.unpack(packed, accepted.digest)


def read_sources(
    platform: store.Store, name: str
) -> tuple[config.Source, ...]:
    """Fetch the file revisions of an accepted version."""
    content, _, chunks = name.partition(".")
    packed = _read_chunks(platform, f"src-{content}", int(chunks))
    rows = _sources_decoder.decode(zlib.decompress(packed))
    return tuple(config.Source(*row) for row in rows)


def accept(
    platform: store.Store,
    base: Base,
    merged: config.Merged,
    folder_version: store.Revision,
) -> Current:
    """Accept a merged configuration as the next version.

    The version's content is written first, so that every version that can be
    read is complete.

    :raises errors.StoreConflict: when another version was accepted since
        the base was read; the caller reads the base again.
    """
    digest = config.digest(merged.items)
    chunks = _write_chunks(platform, digest, config.pack(merged.items))
    sources = _write_sources(platform, merged.sources)
    delta = config.pack_delta(config.diff(base.items, merged.items))
    accepted = Accepted(
        base.current.accepted.version + 1,
        digest,
        folder_version.number,
        sources,
        chunks,
        delta if len(delta) <= DELTA_LIMIT_BYTES else b"",
    )
    try:
        written = platform.put(
            store.Kind.CONFIGS, CURRENT, accepted, base.current.store_version
        )
    except errors.StoreOutcomeUnknown:
        current = read_current(platform)
        if current.accepted != accepted:
            raise
        return current
    return Current(accepted, written.version)


def record(platform: store.Store, accepted: Accepted) -> None:
    """Write the record of a version, without its delta."""
    without_delta = msgspec.structs.replace(accepted, delta=b"")
    name = record_name(accepted.version)
    try:
        platform.put(store.Kind.SNAPSHOTS, name, without_delta, store.ABSENT)
    except errors.StoreConflict:
        return


def record_name(version: int) -> str:
    """Return the name of a version's record; names sort in version order."""
    return f"{RECORD_PREFIX}{version:012d}"


def compact(platform: store.Store) -> int:
    """Delete old records, and content that no kept version refers to.

    Content written after the accepted version is kept: it may belong to a
    version that another merger is about to accept.

    :returns: how many objects were deleted.
    """
    current = read_current(platform)
    listed = platform.list(store.Kind.SNAPSHOTS).objects
    records = [o for o in listed if o.name.startswith(RECORD_PREFIX)]
    kept = [decode(stored) for stored in records[-KEPT_RECORDS:]]
    kept.append(current.accepted)
    needed = {entry.digest for entry in kept}
    needed |= {f"src-{entry.sources.partition('.')[0]}" for entry in kept}
    obsolete = records[:-KEPT_RECORDS]
    obsolete += [
        stored
        for stored in listed
        if not stored.name.startswith(RECORD_PREFIX)
        and stored.name.rpartition(".")[0] not in needed
        and stored.version < current.store_version
    ]
    for stored in obsolete:
        platform.delete(store.Kind.SNAPSHOTS, stored.name, stored.version)
    return len(obsolete)


def _write_sources(
    platform: store.Store, sources: collections.abc.Sequence[config.Source]
) -> str:
    rows = [(entry.name, entry.revision, entry.text) for entry in sources]
    text = msgspec.json.encode(rows)
    content = hashlib.sha256(text).hexdigest()[:32]
    chunks = _write_chunks(platform, f"src-{content}", zlib.compress(text))
    return f"{content}.{chunks}"


def _write_chunks(platform: store.Store, name: str, packed: bytes) -> int:
    count = 0
    for start in range(0, len(packed), CHUNK_BYTES):
        chunk = packed[start : start + CHUNK_BYTES]
        _write_content(platform, f"{name}.{count}", chunk)
        count += 1
    return count


def _write_content(platform: store.Store, name: str, chunk: bytes) -> None:
    """Write content under the name of its digest.

    Existing content is written again: the store's new version of the object
    keeps the compaction of another merger from deleting it.
    """
    try:
        platform.put(store.Kind.SNAPSHOTS, name, chunk, store.ABSENT)
    except errors.StoreConflict:
        known = platform.get(store.Kind.SNAPSHOTS, name).version
        platform.put(store.Kind.SNAPSHOTS, name, chunk, known)
    except errors.StoreOutcomeUnknown:
        platform.get(store.Kind.SNAPSHOTS, name)


def _read_chunks(platform: store.Store, name: str, count: int) -> bytes:
    chunks = []
    for index in range(count):
        stored = platform.get(store.Kind.SNAPSHOTS, f"{name}.{index}")
        chunks.append(msgspec.json.decode(stored.spec, type=bytes))
    return b"".join(chunks)
