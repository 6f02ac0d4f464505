"""Adapter to the users' platform: its names, formats and calls.

The adapter makes no decisions; the product's other packages do.  See
``docs/design/08-on-the-platform.md``.
"""

from chiveroad.platform._objects import ObjectStore
from chiveroad.platform._protocol import Protocol

__all__ = ["ObjectStore", "Protocol"]
