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
    that is.  ``failed_s`` is when it last failed.  ``announced`` says that the
    server needn't be told that this entry has started.  ``server`` and
    ``epoch`` are what its last answer stated, and ``close`` the customers
    close to their limits.
    """

    member: membership.Member
    due_s: float = math.inf
    sent_s: float = -math.inf
    answered_s: float = -math.inf
    failed_s: float = -math.inf
    failed_until_s: float = -math.inf
    busy: bool = False
    idle: bool = True
    failures: int = 0
    failed: bool = False
    told_failed: bool = False
    announced: bool = True
    server: str = ""
    epoch: int = 0
    close: set[str] = dataclasses.field(default_factory=set)

    @property
    def report_due_s(self) -> float:
        """Return when a report is due, also without anything to report."""
        if self.announced:
            return self.due_s
        return min(self.due_s, self.failed_until_s)

    def fresh(self, now_s: float) -> bool:
        """Tell whether the server has answered a moment ago, as expected."""
        recent = now_s - self.answered_s < _limits.STALE_S
        return recent and not self.failures

    def fail(self, now_s: float) -> None:
        """Pass over the server, unless this is the first failure."""
        self.busy = False
        self.failures += 1
        self.failed_s = self.due_s = now_s
        if self.failures >= MIN_FAILURES:
            self.failed = True
            self.due_s = self.failed_until_s = now_s + RETRY_FAILED_S

    def note_restart(self, started_s: float, now_s: float) -> None:
        """Ask a server again that has started since it failed last."""
        if not self.failed or self.failed_s >= started_s:
            return
        self.failed = False
        self.failures = 0
        self.failed_until_s = -math.inf
        self.due_s = now_s

    def want_report(self, urgent: bool, now_s: float) -> bool:
        """Schedule a report; True if it's due sooner than the one before."""
        pause_s = MIN_PAUSE_S if urgent else _limits.REPORT_INTERVAL_S
        due_s = max(now_s, self.sent_s + pause_s)
        if self.due_s <= due_s:
            return False
        self.due_s = due_s
        return True


class Links:
    """The links of one entry to all quota servers.

    Until ``announce_until_s``, each server gets a report from this entry even
    if there is nothing to report.  If the entry's daemon is a quota server
    that has started again, entries that pass it over then learn of it.
    """

    def __init__(self, view: membership.View, announce_until_s: float) -> None:
        self._view = view
        self._announce_until_s = announce_until_s
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
        self.refresh(now_s)
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

    def refresh(self, now_s: float) -> None:
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
            member.instance: self._link(member, now_s) for member in chosen
        }

    def _link(self, member: membership.Member, now_s: float) -> Link:
        link = self._links.get(member.instance)
        if link is None or _identity(link.member) != _identity(member):
            return Link(member, announced=now_s >= self._announce_until_s)
        return link

    def restarted(self, name: str, started_s: float, now_s: float) -> None:
        """Learn from another server when one was started."""
        link = self._links.get(name)
        if link is not None:
            link.note_restart(started_s, now_s)


def _identities(
    members: collections.abc.Iterable[membership.Member],
) -> list[tuple[str, str, int]]:
    return [_identity(member) for member in members]


def _identity(member: membership.Member) -> tuple[str, str, int]:
    """Return what tells apart the processes that a member has had.

    A server that has started again is asked at once, although it had failed:
    entries that have started again use it, too.
    """
    return member.instance, member.control, member.incarnation
