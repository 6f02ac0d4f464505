"""Carrying requests: the entry, the guard, and the decisions they take."""

from chiveroad.traffic._claims import Claim
from chiveroad.traffic._claims import Claims
from chiveroad.traffic._claims import collect
from chiveroad.traffic._entry import Entry
from chiveroad.traffic._guard import Guard
from chiveroad.traffic._pages import upstreams_page
from chiveroad.traffic._pages import UPSTREAMS_PATH
from chiveroad.traffic._pages import UpstreamView

__all__ = [
    "Claim",
    "Claims",
    "Entry",
    "Guard",
    "UPSTREAMS_PATH",
    "UpstreamView",
    "collect",
    "upstreams_page",
]
