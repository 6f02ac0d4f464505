"""Forgetting members that have been gone for long."""

from __future__ import annotations

from chiveroad import membership


class Gone:
    """Since when members have been gone, as one daemon sees it.

    :param view: the view to drop them from.
    :param mine: the daemon's own instance, which is never dropped.
    """

    def __init__(self, view: membership.View, mine: str) -> None:
        self._view = view
        self._mine = mine
        self._since_s: dict[str, float] = {}

    def forget(self, now_s: float) -> None:
        """Drop those that have been gone for ``FORGET_AFTER_S``."""
        gone = {
            member.instance
            for member in self._view.all()
            if not member.alive and member.instance != self._mine
        }
        for name in gone:
            self._since_s.setdefault(name, now_s)
        for name in set(self._since_s) - gone:
            del self._since_s[name]
        limit_s = now_s - membership.FORGET_AFTER_S
        old = [n for n, since_s in self._since_s.items() if since_s < limit_s]
        self._view.forget(old)
