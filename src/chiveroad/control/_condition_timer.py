"""For how long something has held of members."""

from __future__ import annotations

import collections.abc


class ConditionTimer:
    """Since when each of several members has been seen in one condition."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def exceeding(
        self,
        names: collections.abc.Iterable[str],
        now_s: float,
        limit_s: float,
    ) -> list[str]:
        """Take in whom it holds of now; return whom for longer than a limit.

        It is counted anew for those that weren't named the last time.
        """
        self._since_s = {
            name: self._since_s.get(name, now_s) for name in names
        }
        return [
            name
            for name, since_s in self._since_s.items()
            if since_s < now_s - limit_s
        ]
