"""``chiveroad key-digest``: prints the digest of a customer's key."""

from __future__ import annotations

import getpass
import sys
import typing

from chiveroad.cli import _output
from chiveroad import customers
from chiveroad import errors

MAX_INPUT: typing.Final = 4_096


def read_key() -> str:
    """Read a key from a prompt, or from the standard input.

    Arguments of processes can be read by others on the same machine.

    :raises errors.UsageError: when no request could present the key.
    """
    if sys.stdin.isatty():
        text = getpass.getpass("Key: ")
    else:
        text = sys.stdin.read(MAX_INPUT)
    key = text.strip("\r\n")
    if not customers.is_usable_key(key):
        raise errors.UsageError(
            "the key is empty, too long, or has blanks at an end or "
            "characters that aren't printable ASCII"
        )
    return key


def report(key: str) -> _output.Report:
    """Return the report with the digest of a key."""
    digest = customers.digest_key(key)
    return _output.Report(
        value={"key_digest": digest},
        title="Digest for key_digests",
        columns=("digest",),
        rows=[[digest]],
    )
