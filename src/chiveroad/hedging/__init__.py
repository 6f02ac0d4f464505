"""Hedged requests: a second attempt for a request whose answer is late.

All decisions take the time as an argument and need no network.  ``Delays``
says when a request counts as late, ``Limit`` how many hedges there may be,
``Conditions`` what an entry knows about a service, ``find_denial`` whether a
hedge would help now, and ``choose`` where it is sent.
"""

from chiveroad.hedging._conditions import Conditions
from chiveroad.hedging._conditions import Watched
from chiveroad.hedging._decision import choose
from chiveroad.hedging._decision import Denial
from chiveroad.hedging._decision import find_denial
from chiveroad.hedging._decision import Option
from chiveroad.hedging._decision import Situation
from chiveroad.hedging._delay import Delays
from chiveroad.hedging._delay import Key
from chiveroad.hedging._delay import late_quantile
from chiveroad.hedging._limit import Limit

__all__ = [
    "Conditions",
    "Delays",
    "Denial",
    "Key",
    "Limit",
    "Option",
    "Situation",
    "Watched",
    "choose",
    "find_denial",
    "late_quantile",
]
