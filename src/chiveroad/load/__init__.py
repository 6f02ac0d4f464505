"""Decisions about where work goes: pace, patience, and the known load.

All classes here take the time as an argument and have no lock and no thread.
"""

from chiveroad.load._pace import Pace
from chiveroad.load._pace import USUAL_PACE
from chiveroad.load._patience import impatient_tries
from chiveroad.load._patience import patience_ms
from chiveroad.load._served_share import ServedShares
from chiveroad.load._served_share import STARVED_RATIO
from chiveroad.load._service_load import ServiceLoad

__all__ = [
    "Pace",
    "STARVED_RATIO",
    "ServedShares",
    "ServiceLoad",
    "USUAL_PACE",
    "impatient_tries",
    "patience_ms",
]
