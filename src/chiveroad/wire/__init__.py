"""The protocol that callers, targets and operators speak with a daemon.

The product's own names are those of ``Native``.  A deployment whose callers
and targets use other names supplies another ``Protocol``; nothing else in
the product knows which one is in use.
"""

from chiveroad.wire._native import Native
from chiveroad.wire._protocol import AcceptedVersion
from chiveroad.wire._protocol import AnswerTerms
from chiveroad.wire._protocol import Heartbeat
from chiveroad.wire._protocol import Leave
from chiveroad.wire._protocol import Load
from chiveroad.wire._protocol import Protocol
from chiveroad.wire._protocol import RequestTerms
from chiveroad.wire._protocol import TargetState
from chiveroad.wire._protocol import TargetTerms

__all__ = [
    "AcceptedVersion",
    "AnswerTerms",
    "Heartbeat",
    "Leave",
    "Load",
    "Native",
    "Protocol",
    "RequestTerms",
    "TargetState",
    "TargetTerms",
]
