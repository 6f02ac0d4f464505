"""Forgetting members that have been gone for long."""

from __future__ import annotations

from chiveroad.control import _condition_timer
from chiveroad import membership


class MemberExpiry:
    """Since when members have been gone, as one daemon sees it.

    :param view: the view to drop them from.
    :param mine: the daemon's own instance, which is never dropped.
    """

    def __init__(self, view: membership.View, mine: str) -> None:
        self._view = view
        self._mine = mine
        self._condition_timer = _condition_timer.ConditionTimer()

    def expire(self, now_s: float) -> None:
        """Drop those that have been gone for ``FORGET_AFTER_S``."""
        gone = [
            member.instance
            for member in self._view.all()
            if not member.alive and member.instance != self._mine
        ]
        limit_s = membership.FORGET_AFTER_S
        self._view.forget(
            self._condition_timer.exceeding(gone, now_s, limit_s)
        )
