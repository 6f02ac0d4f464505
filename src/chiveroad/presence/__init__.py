"""The self-reported state of a daemon's local target."""

from chiveroad.presence._handler import HeartbeatHandler
from chiveroad.presence._local import LeaveSource
from chiveroad.presence._local import LocalTarget
from chiveroad.presence._state import decide
from chiveroad.presence._state import Phase
from chiveroad.presence._state import Superseded
from chiveroad.presence._state import Superseding
from chiveroad.presence._state import TargetStatus
from chiveroad.presence._state import Verdict

__all__ = [
    "HeartbeatHandler",
    "LeaveSource",
    "LocalTarget",
    "Phase",
    "Superseded",
    "Superseding",
    "TargetStatus",
    "Verdict",
    "decide",
]
