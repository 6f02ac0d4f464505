"""The data plane: entry, guard, balancing, admission control and retries."""

from chiveroad.traffic._claims import Claim
from chiveroad.traffic._claims import Claims
from chiveroad.traffic._claims import collect_expired_claims
from chiveroad.traffic._entry import Entry
from chiveroad.traffic._explanation_views import CandidateView
from chiveroad.traffic._explanation_views import Question
from chiveroad.traffic._explanation_views import RouteExplanation
from chiveroad.traffic._guard import Guard
from chiveroad.traffic._pages import explain_page
from chiveroad.traffic._pages import EXPLAIN_PATH
from chiveroad.traffic._pages import lift_page
from chiveroad.traffic._pages import quarantine_page
from chiveroad.traffic._pages import QUARANTINE_PATH
from chiveroad.traffic._pages import SuspectView
from chiveroad.traffic._pages import targets_page
from chiveroad.traffic._pages import TARGETS_PATH
from chiveroad.traffic._pages import TargetView

__all__ = [
    "CandidateView",
    "Claim",
    "Claims",
    "Entry",
    "EXPLAIN_PATH",
    "Guard",
    "QUARANTINE_PATH",
    "Question",
    "RouteExplanation",
    "SuspectView",
    "TARGETS_PATH",
    "TargetView",
    "collect_expired_claims",
    "explain_page",
    "lift_page",
    "quarantine_page",
    "targets_page",
]
