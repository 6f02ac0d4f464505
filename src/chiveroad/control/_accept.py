"""Accepting a version: one conditional update of one object.

The object ``configs/current`` names the accepted version.  Whoever merges
reads it first, then the folder, then writes; the store takes the write only
if nobody accepted anything in between.  So a merger that was paused past its
lease can't undo what came after, and two mergers at once can't both win.
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

    ``folder_version`` is the store's version of the folder that was merged,
    ``sources`` the content name of the accepted files, ``chunks`` how many
    objects the snapshot takes, and ``delta`` what leads from the version
    before to this one, compressed; it is left out when it is large.
    """

    version: int
    digest: str
    folder_version: int
    sources: str
    chunks: int
    delta: bytes = b""


NOTHING: typing.Final = Accepted(0, config.digest({}), 0, "", 0)
DELTA_LIMIT_BYTES: typing.Final = 200_000

_decoder = msgspec.json.Decoder(Accepted)
_sources_decoder = msgspec.json.Decoder(list[tuple[str, int, str]])


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The accepted version as read, with the store's version of it."""

    accepted: Accepted
    store_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """All that a merge starts from."""

    current: Current
    items: dict[str, str]
    sources: tuple[config.Source, ...]


def may_merge(base: Accepted, folder_version: int) -> bool:
    """Tell whether a folder is new enough to be merged over a version.

    A folder seen before the one that the accepted version was made of would
    undo a change.
    """
    return folder_version >= base.folder_version


def decode(stored: store.StoredObject) -> Accepted:
    """Read the value of an accepted version."""
    return _decoder.decode(stored.spec)


def read_current(platform: store.Store) -> Current:
    """Return the accepted version, or the empty one where there is none."""
    try:
        stored = platform.get(store.Kind.CONFIGS, CURRENT)
    except errors.StoreNotFound:
        return Current(NOTHING, store.ABSENT)
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

    :raises errors.DigestMismatch: when it isn't the one accepted.
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
    platform: store.Store, base: Base, merged: config.Merged, folder: int
) -> Current:
    """Accept a merged configuration as the next version.

    What the version needs is written first, so that a version that can be
    read is whole.

    :raises errors.StoreConflict: when another version was accepted since
        the base was read; the caller starts anew.
    """
    digest = config.digest(merged.items)
    chunks = _write_chunks(platform, digest, config.pack(merged.items))
    sources = _write_sources(platform, merged.sources)
    delta = config.pack_delta(config.diff(base.items, merged.items))
    accepted = Accepted(
        base.current.accepted.version + 1,
        digest,
        folder,
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
    """Keep a record of a version, without its delta."""
    bare = msgspec.structs.replace(accepted, delta=b"")
    name = record_name(accepted.version)
    try:
        platform.put(store.Kind.SNAPSHOTS, name, bare, store.ABSENT)
    except errors.StoreConflict:
        return


def record_name(version: int) -> str:
    """Return the name of a version's record; names sort as versions do."""
    return f"{RECORD_PREFIX}{version:012d}"


def compact(platform: store.Store) -> int:
    """Delete old records and content that no kept version needs.

    Content written after the accepted version may belong to a version that
    another merger is about to accept, and stays.

    :returns: how many objects were deleted.
    """
    now = read_current(platform)
    listed = platform.list(store.Kind.SNAPSHOTS).objects
    records = [o for o in listed if o.name.startswith(RECORD_PREFIX)]
    kept = [decode(stored) for stored in records[-KEPT_RECORDS:]]
    kept.append(now.accepted)
    needed = {entry.digest for entry in kept}
    needed |= {f"src-{entry.sources.partition('.')[0]}" for entry in kept}
    doomed = records[:-KEPT_RECORDS]
    doomed += [
        stored
        for stored in listed
        if not stored.name.startswith(RECORD_PREFIX)
        and stored.name.rpartition(".")[0] not in needed
        and stored.version < now.store_version
    ]
    for stored in doomed:
        platform.delete(store.Kind.SNAPSHOTS, stored.name, stored.version)
    return len(doomed)


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

    What is there already is written again: its new version keeps another
    merger's compaction from deleting it.
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
