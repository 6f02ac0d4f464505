"""``chiveroad quarantine``: shows and lifts the quarantines of daemons."""

from __future__ import annotations

import collections.abc

import msgspec

from chiveroad.cli import _daemon_page
from chiveroad.cli import _output
from chiveroad import traffic


class DaemonSuspect(msgspec.Struct):
    """A suspect content as one daemon knows it."""

    daemon: str
    suspect: traffic.SuspectView


def read(
    addresses: collections.abc.Iterable[str], lift: str = ""
) -> list[DaemonSuspect]:
    """Return the suspects of daemons.

    :param addresses: the control addresses of the daemons.
    :param lift: a content whose quarantine the daemons are to end first.
    :raises errors.PeerUnavailable: when a daemon gives no valid answer.
    """
    found = []
    for address in addresses:
        page = traffic.QUARANTINE_PATH
        if lift:
            _daemon_page.fetch(address, f"{page}?{lift}", object, "POST")
        views = _daemon_page.fetch(address, page, list[traffic.SuspectView])
        found += [DaemonSuspect(address, view) for view in views]
    return found


def report(suspects: list[DaemonSuspect]) -> _output.Report:
    """Return the report on the suspects of daemons."""
    return _output.Report(
        value=suspects,
        title="Requests under which upstreams have ended",
        columns=("daemon", "content", "request", "ended", "state", "for"),
        rows=[
            [
                each.daemon,
                each.suspect.content,
                each.suspect.request or "seen at other daemons",
                str(each.suspect.ended),
                each.suspect.state,
                f"{each.suspect.left_s:.0f} s",
            ]
            for each in suspects
        ],
    )
