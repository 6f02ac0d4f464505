"""Failover: replace a target's failure by the answer of another target.

When a target answers an idempotent request with a failure of its own, the
request is retried at another target while attempts are left.  The retry is
taken from the retry budget before the failure is dropped, and the failure is
kept in case no other answer comes.  A request is never withdrawn from a
target that is still running it: the work would be lost, and nothing shows
that another target would be faster.  If the target's daemon is unresponsive,
a hedged request is sent to another target, and the first answer counts.
"""

from __future__ import annotations

import collections.abc
import http


class Failover:
    """The failover of one request.

    :param spend: takes a retry from the budget; False when the budget is
        used up.

    ``spent`` says whether the retry has been taken from the budget.
    """

    def __init__(self, spend: collections.abc.Callable[[], bool]) -> None:
        self._spend = spend
        self.spent = False

    def replaces(self, status: int) -> bool:
        """Tell whether an answer is dropped for another target's.

        A 504 of the target itself isn't: it leaves no time for another
        target.
        """
        if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        if status == http.HTTPStatus.GATEWAY_TIMEOUT:
            return False
        return self.spend()

    def spend(self) -> bool:
        """Take a retry from the budget, once; False if it is used up."""
        self.spent = self.spent or self._spend()
        return self.spent
