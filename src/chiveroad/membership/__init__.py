"""Membership of the mesh: members, the view of all, the distribution tree."""

from chiveroad.membership._liveness import DEAD_AFTER_S
from chiveroad.membership._liveness import detect_failures
from chiveroad.membership._liveness import Detection
from chiveroad.membership._liveness import FORGET_AFTER_S
from chiveroad.membership._member import declared_dead
from chiveroad.membership._member import MAX_SUSPECTS
from chiveroad.membership._member import Member
from chiveroad.membership._member import newer
from chiveroad.membership._member import RecordedSuspect
from chiveroad.membership._member import RecordedSuspects
from chiveroad.membership._member import State
from chiveroad.membership._member import usable_suspects
from chiveroad.membership._tree import children
from chiveroad.membership._tree import depth
from chiveroad.membership._tree import FAN_OUT
from chiveroad.membership._tree import parent
from chiveroad.membership._view import Changes
from chiveroad.membership._view import SoftwareVersions
from chiveroad.membership._view import View

__all__ = [
    "Changes",
    "DEAD_AFTER_S",
    "Detection",
    "FAN_OUT",
    "FORGET_AFTER_S",
    "MAX_SUSPECTS",
    "Member",
    "RecordedSuspect",
    "RecordedSuspects",
    "SoftwareVersions",
    "State",
    "View",
    "children",
    "declared_dead",
    "depth",
    "detect_failures",
    "newer",
    "parent",
    "usable_suspects",
]
