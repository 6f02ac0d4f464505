"""Digests of customers' keys.

A key exists in clear only in the request that carries it and, on a platform
that keeps keys, in the store.  All else, items of configurations, messages
between daemons, logs and pages, has its digest.
"""

from __future__ import annotations

import hashlib
import typing

UNREADABLE_KEY: typing.Final = "-"
"""Stands for the digest of a key in a form that no customer's can have."""

DIGEST_BYTES: typing.Final = 16
MAX_KEY_CHARACTERS: typing.Final = 512
"""Longer keys aren't digested, so that a caller can't make the entry work."""

_HASH_KEY: typing.Final = b"chiveroad customer key"
"""Keeps the digests apart from those that other systems make of the keys."""


def digest_key(key: str) -> str:
    """Return the digest by which a customer's key is known.

    >>> len(digest_key("hhacruddedev3nax7u27"))
    32
    """
    return hashlib.blake2b(
        key.encode(), key=_HASH_KEY, digest_size=DIGEST_BYTES
    ).hexdigest()


def digest_credential(header: str, scheme: str) -> str:
    """Return the digest of the key in an ``Authorization`` header.

    :param scheme: the expected scheme; its case doesn't matter (RFC 9110).
    :returns: an empty string without a header, and ``UNREADABLE_KEY``
        for another scheme, or a key that is empty, too long or not ASCII.
    """
    if not header:
        return ""
    stated, _, key = header.partition(" ")
    key = key.strip(" ")
    if stated.lower() != scheme.lower() or not is_usable_key(key):
        return UNREADABLE_KEY
    return digest_key(key)


def is_usable_key(key: str) -> bool:
    """Return whether a request can present a key."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS or key != key.strip(" "):
        return False
    return key.isascii() and key.isprintable()
