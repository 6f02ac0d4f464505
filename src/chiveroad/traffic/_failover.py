"""Deciding whether a target's failure is replaced by another's answer.

A request that may be repeated isn't bound to the target that it was sent
to first: one that answers with a failure of its own is dropped for another
while attempts are left.  The retry is paid for from the budget before the
failure is dropped, and the failure is kept in case no other answer comes.
A target that is still at work is never left: the work would be lost, and
nothing says that another one would be faster.  Where its daemon shows no sign
of life another one is asked beside it, and the first answer counts.
"""

from __future__ import annotations

import collections.abc
import http


class Failover:
    """The failover of one request.

    :param pay: takes a retry from the budget; False when it is used up.
    """

    def __init__(self, pay: collections.abc.Callable[[], bool]) -> None:
        self._pay = pay
        self.paid = False

    def replaces(self, status: int) -> bool:
        """Tell whether an answer is dropped to ask another target.

        A timeout of the target's own leaves no time for another one.
        """
        if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        if status == http.HTTPStatus.GATEWAY_TIMEOUT:
            return False
        return self.pay()

    def pay(self) -> bool:
        """Pay for another try, once; False when the budget is used up."""
        self.paid = self.paid or self._pay()
        return self.paid
