"""The adapter to the users' platform: names, formats and calls alone.

Whatever is decided is decided in the product; see
``docs/design/08-on-the-platform.md``.
"""

from chiveroad.platform._objects import ObjectStore
from chiveroad.platform._protocol import Protocol

__all__ = ["ObjectStore", "Protocol"]
