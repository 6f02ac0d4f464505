"""Digests, deltas and compressed snapshots of a configuration's items."""

from __future__ import annotations

import collections.abc
import hashlib
import typing
import zlib

import msgspec

from chiveroad import errors

MAX_SNAPSHOT_BYTES: typing.Final = 64 * 1024 * 1024
_LEVEL: typing.Final = 6


class Delta(msgspec.Struct, frozen=True):
    """What turns one configuration into another.

    ``base_digest`` names the configuration that it applies to and
    ``digest`` the one that must come out.
    """

    base_digest: str
    digest: str
    put: dict[str, str]
    removed: list[str]


_items_decoder = msgspec.json.Decoder(dict[str, str])
_delta_decoder = msgspec.json.Decoder(Delta)


def digest(items: collections.abc.Mapping[str, str]) -> str:
    """Return the SHA-256 of the items in key order, as hexadecimal."""
    lines = [f"{key}\0{items[key]}\n" for key in sorted(items)]
    return hashlib.sha256("".join(lines).encode()).hexdigest()


def diff(
    old: collections.abc.Mapping[str, str],
    new: collections.abc.Mapping[str, str],
    digests: tuple[str, str] | None = None,
) -> Delta:
    """Return the delta from the old items to the new ones.

    :param digests: those of both, where they are known.
    """
    old_digest, new_digest = digests or (digest(old), digest(new))
    return Delta(
        base_digest=old_digest,
        digest=new_digest,
        put={k: v for k, v in new.items() if old.get(k) != v},
        removed=sorted(key for key in old if key not in new),
    )


def patch(
    old: collections.abc.Mapping[str, str], delta: Delta
) -> dict[str, str]:
    """Apply a delta.

    :raises errors.DigestMismatch: when the result isn't what the delta
        promises, whatever the cause; the caller fetches the snapshot.
    """
    removed = set(delta.removed)
    merged = {k: v for k, v in old.items() if k not in removed}
    merged.update(delta.put)
    if digest(merged) != delta.digest:
        raise errors.DigestMismatch("the delta doesn't give its digest")
    return dict(sorted(merged.items()))


def pack(items: collections.abc.Mapping[str, str]) -> bytes:
    """Return a whole snapshot, compressed; equal items give equal bytes."""
    text = msgspec.json.encode(dict(sorted(items.items())))
    return zlib.compress(text, _LEVEL)


def unpack(packed: bytes, expected_digest: str) -> dict[str, str]:
    """Read a snapshot and check its digest.

    :raises errors.DigestMismatch: when it isn't the one expected.
    """
    try:
        items = _items_decoder.decode(_decompress(packed))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.DigestMismatch(f"unreadable snapshot: {exc}") from exc
    if digest(items) != expected_digest:
        raise errors.DigestMismatch("the snapshot has another digest")
    return items


def pack_delta(delta: Delta) -> bytes:
    """Return a delta, compressed."""
    return zlib.compress(msgspec.json.encode(delta), _LEVEL)


def unpack_delta(packed: bytes) -> Delta:
    """Read a delta.

    :raises errors.DigestMismatch: when it can't be read.
    """
    try:
        return _delta_decoder.decode(_decompress(packed))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.DigestMismatch(f"unreadable delta: {exc}") from exc


def _decompress(packed: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(packed, MAX_SNAPSHOT_BYTES)
    if not stream.eof:
        raise errors.DigestMismatch("the snapshot is cut or too large")
    return text
