"""Limits on what clients may hold: decisions and accounts without I/O."""

from chiveroad.limits._account import Account
from chiveroad.limits._account import Reason
from chiveroad.limits._bounds import Bounds
from chiveroad.limits._bounds import Shared
from chiveroad.limits._budget import ByteBudget
from chiveroad.limits._budget import Reservation
from chiveroad.limits._gate import Gate
from chiveroad.limits._head import bytes_expected
from chiveroad.limits._head import LATER
from chiveroad.limits._head import SMALL_BODY_BYTES
from chiveroad.limits._queue import ClassQueue
from chiveroad.limits._terms import derive
from chiveroad.limits._terms import Limits
from chiveroad.limits._terms import Place
from chiveroad.limits._waits import Waits

__all__ = [
    "Account",
    "Bounds",
    "ByteBudget",
    "ClassQueue",
    "Gate",
    "LATER",
    "Limits",
    "Place",
    "Reason",
    "Reservation",
    "SMALL_BODY_BYTES",
    "Shared",
    "Waits",
    "bytes_expected",
    "derive",
]
