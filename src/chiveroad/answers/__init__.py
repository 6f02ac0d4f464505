"""Reading the answers of targets, of other daemons and of the store.

``Response`` reads one answer, with the grammar of ``_grammar`` for its head,
its interim heads and its trailers.  Whatever departs from the grammar is
``Malformed``: such an answer counts as none.
"""

from chiveroad.answers._grammar import begins_answer
from chiveroad.answers._grammar import Headers
from chiveroad.answers._grammar import Malformed
from chiveroad.answers._grammar import Part
from chiveroad.answers._response import Response

__all__ = [
    "begins_answer",
    "Headers",
    "Malformed",
    "Part",
    "Response",
]
