"""Prevents imports of OpenSSL in a daemon that doesn't need it.

Several libraries import OpenSSL without need, which takes an eighth of a
daemon's memory.  Daemons don't use it: their connections aren't encrypted,
and the standard library has its own implementation of digests.
"""

from __future__ import annotations

import sys
import typing

_BLOCKED_MODULES: typing.Final = ("ssl", "_hashlib")


def block_imports() -> None:
    """Make imports of OpenSSL fail as they do in a Python without OpenSSL."""
    for name in _BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
