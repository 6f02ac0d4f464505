"""Measures for how long a condition has held for each of several members."""

from __future__ import annotations

import collections.abc


class ConditionTimer:
    """The times since which a condition has held, by member."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def exceeding(
        self,
        names: collections.abc.Iterable[str],
        now_s: float,
        limit_s: float,
    ) -> list[str]:
        """Return the members that have met the condition beyond a limit.

        The time of a member starts anew if the previous call didn't name it.

        :param names: all members that meet the condition now.
        """
        self._since_s = {
            name: self._since_s.get(name, now_s) for name in names
        }
        return [
            name
            for name, since_s in self._since_s.items()
            if since_s < now_s - limit_s
        ]
