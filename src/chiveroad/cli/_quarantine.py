"""``chiveroad quarantine``: shows and lifts the quarantines of daemons."""

from __future__ import annotations

import collections.abc
import typing

import msgspec
import urllib3

from chiveroad.cli import _output
from chiveroad import errors
from chiveroad import http_calls
from chiveroad import traffic

TIMEOUT_S: typing.Final = 2.0
"""How long a daemon may take to accept a connection, and to answer."""


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
    return [
        DaemonSuspect(address, suspect)
        for address in addresses
        for suspect in _ask(address, lift)
    ]


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


def _ask(address: str, lift: str) -> list[traffic.SuspectView]:
    url = f"http://{address}{traffic.QUARANTINE_PATH}"
    try:
        client = http_calls.Client(1, TIMEOUT_S)
        if lift:
            client.request("POST", f"{url}?{lift}", b"", TIMEOUT_S)
        response = client.request("GET", url, None, TIMEOUT_S)
    except urllib3.exceptions.HTTPError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc
    try:
        return msgspec.json.decode(
            response.data, type=list[traffic.SuspectView]
        )
    except msgspec.DecodeError as exc:
        raise errors.PeerUnavailable(f"{address}: {exc}") from exc
