"""The messages between entries and quota servers, encoded as JSON arrays."""

from __future__ import annotations

import msgspec


class Use(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has admitted of one customer's requests.

    ``used`` counts all that it has admitted since its start, less those that
    didn't run, and ``held`` the tokens beyond them that it may still use.
    ``demand`` requests have arrived since the last report, of which
    ``refused`` were refused and ``waiting`` wait for a token. ``close`` and
    ``share`` are what another quota server, or this one before a restart, has
    told the entry last. ``recent`` is what it admitted in the last window, in
    slots of ``RECENT_SLOT_S``, the latest first; it is sent where the server
    may not know it. ``rank`` is 0 where the entry takes the server for the
    first in the customer's order.
    """

    customer: str
    used: int
    held: int = 0
    demand: int = 0
    refused: int = 0
    waiting: int = 0
    close: bool = False
    share: float = 0.0
    recent: list[int] | None = None
    rank: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """An entry's report to a quota server.

    ``incarnation`` grows with each start of the entry, ``sequence`` with each
    report.  ``server`` and ``epoch`` say what the entry has learnt from this
    server last.  A report without uses says that the entry has become idle: an
    entry that is silent without it is cut off.  ``failed`` names the quota
    servers that don't answer the entry.
    """

    entry: str
    incarnation: int
    sequence: int
    server: str = ""
    epoch: int = 0
    uses: list[Use] = []
    failed: list[str] = []


class Allowance(msgspec.Struct, array_like=True):
    """What an entry may admit of one customer's requests.

    With ``close`` it may admit ``count`` requests beyond the reported ``used``
    within ``GRANT_S`` of sending the report; otherwise that many without a
    further report.  ``retry_ms`` is when the next token is expected.
    ``unknown`` asks for the recent use, and nothing has been counted.
    """

    customer: str
    used: int
    close: bool = False
    count: int = 0
    share: float = 0.0
    retry_ms: int = 0
    unknown: bool = False


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A quota server's answer.

    ``server`` names the server's start.  ``close`` and ``clear`` are the
    customers whose state has changed since the report's epoch.
    """

    server: str
    epoch: int
    allowances: list[Allowance] = []
    close: list[str] = []
    clear: list[str] = []
