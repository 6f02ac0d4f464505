"""Removal of members that have been gone for long from the view."""

from __future__ import annotations

from chiveroad.control import _condition_timer
from chiveroad import membership


class MemberExpiry:
    """Removes members that have been gone for ``FORGET_AFTER_S``.

    The time counts from when this daemon first sees a member gone.

    :param view: the view that members are removed from.
    :param own_instance: the daemon's own instance, which is never removed.
    """

    def __init__(self, view: membership.View, own_instance: str) -> None:
        self._view = view
        self._own_instance = own_instance
        self._condition_timer = _condition_timer.ConditionTimer()

    def expire(self, now_s: float) -> None:
        """Remove the members whose time has passed."""
        gone = [
            member.instance
            for member in self._view.all()
            if not member.alive and member.instance != self._own_instance
        ]
        limit_s = membership.FORGET_AFTER_S
        self._view.forget(
            self._condition_timer.exceeding(gone, now_s, limit_s)
        )
