"""The protocol between a daemon and its callers, targets and operators.

``Native`` has chiveroad's own names and formats.  A deployment whose callers
and targets use others supplies another ``Protocol``; the rest of the code
doesn't depend on which protocol is in use.
"""

from chiveroad.wire._native import Native
from chiveroad.wire._protocol import AcceptedVersion
from chiveroad.wire._protocol import AnswerTerms
from chiveroad.wire._protocol import Count
from chiveroad.wire._protocol import Heartbeat
from chiveroad.wire._protocol import Leave
from chiveroad.wire._protocol import Load
from chiveroad.wire._protocol import MAX_COLD_S
from chiveroad.wire._protocol import parse_rate_limit
from chiveroad.wire._protocol import parse_software_version
from chiveroad.wire._protocol import Protocol
from chiveroad.wire._protocol import RequestTerms
from chiveroad.wire._protocol import TARGET_ID
from chiveroad.wire._protocol import TargetState
from chiveroad.wire._protocol import TargetTerms
from chiveroad.wire._protocol import UNLIMITED

__all__ = [
    "AcceptedVersion",
    "AnswerTerms",
    "Count",
    "Heartbeat",
    "Leave",
    "Load",
    "MAX_COLD_S",
    "Native",
    "Protocol",
    "RequestTerms",
    "TARGET_ID",
    "TargetState",
    "TargetTerms",
    "UNLIMITED",
    "parse_rate_limit",
    "parse_software_version",
]
