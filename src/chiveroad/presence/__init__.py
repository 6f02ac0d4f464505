"""What a daemon knows of the target beside it."""

from chiveroad.presence._handler import HeartbeatHandler
from chiveroad.presence._local import Left
from chiveroad.presence._local import LocalTarget
from chiveroad.presence._state import decide
from chiveroad.presence._state import Known
from chiveroad.presence._state import Phase
from chiveroad.presence._state import Verdict

__all__ = [
    "HeartbeatHandler",
    "Known",
    "Left",
    "LocalTarget",
    "Phase",
    "Verdict",
    "decide",
]
