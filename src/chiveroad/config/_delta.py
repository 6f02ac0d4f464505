"""Digests, deltas and compressed snapshots of a configuration's items.

Daemons transfer a change as a delta; the digest of the result shows whether
the delta was applied to the right base.  If not, a snapshot is transferred.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing
import zlib

import msgspec

from chiveroad import decoding
from chiveroad import errors

MAX_SNAPSHOT_BYTES: typing.Final = 64 * 1024 * 1024
_COMPRESSION_LEVEL: typing.Final = 6


class Delta(msgspec.Struct, frozen=True):
    """The changes that turn one configuration into another.

    ``base_digest`` is the digest of the configuration that the delta applies
    to, ``digest`` that of the configuration that must result.
    """

    base_digest: str
    digest: str
    put: dict[str, str]
    removed: list[str]


_items_decoder = msgspec.json.Decoder(dict[str, str])
_delta_decoder = msgspec.json.Decoder(Delta)


def digest(items: collections.abc.Mapping[str, str]) -> str:
    """Return the SHA-256 of the items in key order, in hexadecimal."""
    lines = [f"{key}\0{items[key]}\n" for key in sorted(items)]
    return hashlib.sha256("".join(lines).encode()).hexdigest()


def diff(
    old: collections.abc.Mapping[str, str],
    new: collections.abc.Mapping[str, str],
    digests: tuple[str, str] | None = None,
) -> Delta:
    """Return the delta from the old items to the new ones.

    :param digests: the digests of ``old`` and ``new``, if already known.
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

    :raises errors.DigestMismatch: when the result doesn't have the digest
        that the delta states, for whatever cause; the caller then fetches
        the snapshot.
    """
    removed = set(delta.removed)
    patched = {key: text for key, text in old.items() if key not in removed}
    patched.update(delta.put)
    if digest(patched) != delta.digest:
        raise errors.DigestMismatch("the delta doesn't give its digest")
    return dict(sorted(patched.items()))


def pack(items: collections.abc.Mapping[str, str]) -> bytes:
    """Return a compressed snapshot; equal items give equal bytes."""
    text = msgspec.json.encode(dict(sorted(items.items())))
    return zlib.compress(text, _COMPRESSION_LEVEL)


def unpack(packed: bytes, expected_digest: str) -> dict[str, str]:
    """Decode a snapshot and check its digest.

    :raises errors.DigestMismatch: when the snapshot can't be decoded, or has
        another digest than the one expected.
    """
    try:
        items = decoding.decode(_items_decoder, _decompress(packed))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.DigestMismatch(f"unreadable snapshot: {exc}") from exc
    if digest(items) != expected_digest:
        raise errors.DigestMismatch("the snapshot has another digest")
    return items


def pack_delta(delta: Delta) -> bytes:
    """Return a compressed delta."""
    return zlib.compress(msgspec.json.encode(delta), _COMPRESSION_LEVEL)


def unpack_delta(packed: bytes) -> Delta:
    """Decode a delta.

    :raises errors.DigestMismatch: when the delta can't be decoded.
    """
    try:
        return decoding.decode(_delta_decoder, _decompress(packed))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.DigestMismatch(f"unreadable delta: {exc}") from exc


def _decompress(packed: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(packed, MAX_SNAPSHOT_BYTES)
    if not stream.eof:
        raise errors.DigestMismatch("the snapshot is cut or too large")
    return text
