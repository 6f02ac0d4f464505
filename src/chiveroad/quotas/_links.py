"""The quota servers as one entry sees them, and which serves a customer."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from chiveroad import membership
from chiveroad.quotas import _limits
from chiveroad.quotas import _placement

RETRY_FAILED_S: typing.Final = 2.0
"""For how long a quota server that hasn't answered is passed over."""

MIN_FAILURES: typing.Final = 2
"""After the first failure the server is asked again: a process that is paused
for as long as one exchange may take needn't be replaced."""

REFRESH_INTERVAL_S: typing.Final = 0.25
"""How often a changed view is searched for quota servers; with 5,700 members
a search takes some milliseconds."""

IDLE_S: typing.Final = 0.8
"""After this time without anything to report, an entry states that it is idle:
a quota server takes an entry that is silent otherwise for cut off."""

NONE_ANSWERS: typing.Final = -1
"""The rank of a quota server where none is known to answer."""

MIN_PAUSE_S: typing.Final = 0.02
"""The least pause between two exchanges with one server."""


@dataclasses.dataclass(slots=True)
class Link:
    """An entry's exchanges with one quota server.

    ``due_s`` is when the next report is due, and ``idle`` says that none is
    needed before there is something to report.  ``failures`` counts the
    reports that have failed since the last answer, ``failed`` says that the
    server is passed over, and ``told_failed`` that it was told of another one
    that is.  ``server`` and ``epoch`` are what its last answer stated, and
    ``close`` the customers close to their limits.
    """

    member: membership.Member
    due_s: float = math.inf
    sent_s: float = -math.inf
    answered_s: float = -math.inf
    failed_until_s: float = -math.inf
    busy: bool = False
    idle: bool = True
    failures: int = 0
    failed: bool = False
    told_failed: bool = False
    server: str = ""
    epoch: int = 0
    close: set[str] = dataclasses.field(default_factory=set)

    def fresh(self, now_s: float) -> bool:
        """Tell whether the server has answered a moment ago, as expected."""
        recent = now_s - self.answered_s < _limits.STALE_S
        return recent and not self.failures

    def fail(self, now_s: float) -> None:
        """Pass over the server, unless this is the first failure."""
        self.busy = False
        self.failures += 1
        self.due_s = now_s
        if self.failures >= MIN_FAILURES:
            self.failed = True
            self.due_s = self.failed_until_s = now_s + RETRY_FAILED_S

    def want_report(self, urgent: bool, now_s: float) -> bool:
        """Schedule a report; True if it's due sooner than the one before."""
        pause_s = MIN_PAUSE_S if urgent else _limits.REPORT_INTERVAL_S
        due_s = max(now_s, self.sent_s + pause_s)
        if self.due_s <= due_s:
            return False
        self.due_s = due_s
        return True


class Links:
    """The links of one entry to all quota servers."""

    def __init__(self, view: membership.View) -> None:
        self._view = view
        self._members: tuple[membership.Member, ...] = ()
        self._servers: tuple[membership.Member, ...] = ()
        self._links: dict[str, Link] = {}
        self._orders: dict[str, list[Link]] = {}
        self._refresh_due_s = -math.inf

    def all(self) -> collections.abc.Collection[Link]:
        """Return the links to the present quota servers."""
        return self._links.values()

    def order(self, customer: str, now_s: float) -> list[Link]:
        """Return a customer's quota servers, the first choice first."""
        self._refresh(now_s)
        order = self._orders.get(customer)
        if order is None:
            order = [
                self._links[member.instance]
                for member in _placement.order(customer, self._servers)
            ]
            self._orders[customer] = order
        return order

    def owner(self, customer: str, now_s: float) -> tuple[Link, int]:
        """Return the quota server that a customer's use is reported to.

        :returns: the first in the order that isn't known to have failed, and
            its place in the order, or ``NONE_ANSWERS``.
        """
        order = self.order(customer, now_s)
        for rank, link in enumerate(order):
            if now_s >= link.failed_until_s:
                return link, rank
        return order[0], NONE_ANSWERS

    def failed(self, except_link: Link) -> list[str]:
        """Return the names of the other quota servers that don't answer."""
        return [
            name
            for name, link in self._links.items()
            if link.failed and link is not except_link
        ]

    def report_recovery(self, now_s: float) -> None:
        """Tell the other quota servers soon that one answers again."""
        for link in self._links.values():
            if link.told_failed:
                link.want_report(True, now_s)

    def _refresh(self, now_s: float) -> None:
        """Choose the quota servers again if the view has changed."""
        if now_s < self._refresh_due_s:
            return
        self._refresh_due_s = now_s + REFRESH_INTERVAL_S
        members = self._view.all()
        if members is self._members:
            return
        self._members = members
        chosen = _placement.servers(members)
        if not chosen:
            # All daemons are stopping: any of them serves.
            chosen = members[: _placement.MIN_ORDER]
        if _identities(chosen) == _identities(self._servers):
            return
        self._servers = chosen
        self._orders.clear()
        self._links = {
            member.instance: self._link(member) for member in chosen
        }

    def _link(self, member: membership.Member) -> Link:
        link = self._links.get(member.instance)
        if link is None or link.member.control != member.control:
            return Link(member)
        return link


def _identities(
    members: collections.abc.Iterable[membership.Member],
) -> list[tuple[str, str]]:
    return [(member.instance, member.control) for member in members]
