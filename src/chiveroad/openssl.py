"""Leaving OpenSSL out of a daemon that doesn't need it.

Several libraries load it in passing, for an eighth of a daemon's memory and
for nothing: what daemons speak isn't encrypted, and the standard library has
digests of its own.
"""

from __future__ import annotations

import sys
import typing

_MODULES: typing.Final = ("ssl", "_hashlib")


def block_imports() -> None:
    """Have imports of it fail as they do where Python lacks it."""
    for name in _MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
