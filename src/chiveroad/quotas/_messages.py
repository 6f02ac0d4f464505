"""The messages between entries and quota servers, encoded as JSON arrays."""

from __future__ import annotations

import typing

import msgspec

from chiveroad import decoding

MAX_SLOTS: typing.Final = 1_202
"""The slots of the longest window that settings allow, 600 s."""

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]
_Recent = typing.Annotated[list[_Count], msgspec.Meta(max_length=MAX_SLOTS)]
_Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Use(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has admitted of one customer's requests.

    ``used`` counts all that it has admitted since its start, less those that
    didn't run, and ``held`` the tokens beyond them that it may still use.
    ``demand`` requests have arrived since the last report, of which
    ``refused`` were refused and ``waiting`` wait for a token. ``close`` says
    that another quota server, or this one before a restart, has told the entry
    last that most of the limit was used, and ``share`` what it has told.
    ``recent`` is what it admitted in the last window, in slots of
    ``RECENT_SLOT_S``, the latest first; it is sent where the server may not
    know it. ``rank`` is 0 where the entry takes the server for the
    first in the customer's order.
    """

    customer: str
    used: _Count
    held: _Count = 0
    demand: _Count = 0
    refused: _Count = 0
    waiting: _Count = 0
    close: bool = False
    share: _Share = 0.0
    recent: _Recent | None = None
    rank: _Count = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """An entry's report to a quota server.

    ``incarnation`` grows with each start of the entry, ``sequence`` with each
    report.  ``server`` and ``epoch`` say what the entry has learnt from this
    server last.  A report without uses says that the entry has become idle: an
    entry that is silent without it is cut off.  ``failed`` names the quota
    servers that don't answer the entry.  ``up_ms`` is for how long the entry
    has known what it admits, at most a window; entries of earlier releases
    don't state it.
    """

    entry: str
    incarnation: _Count
    sequence: _Count
    server: str = ""
    epoch: _Count = 0
    uses: list[Use] = []
    failed: list[str] = []
    up_ms: _Count | None = None


class Allowance(msgspec.Struct, array_like=True):
    """What an entry may admit of one customer's requests.

    With ``close`` it may admit ``count`` requests beyond the reported ``used``
    within ``GRANT_S`` of sending the report; otherwise that many without a
    further report.  ``retry_ms`` is when the next token is expected.
    ``near`` says that the customer has used most of its limit; entries may
    need tokens for other reasons.  Servers of earlier releases don't state
    it.  ``unknown`` asks for the recent use, and nothing has been counted.
    """

    customer: str
    used: _Count
    close: bool = False
    count: _Count = 0
    share: _Share = 0.0
    retry_ms: _Count = 0
    unknown: bool = False
    near: bool | None = None


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A quota server's answer.

    ``server`` names the server's start.  ``close`` and ``clear`` are the
    customers whose state has changed since the report's epoch.  ``restarted``
    are those of the report's ``failed`` that have started again lately, each
    with the time since it serves in ms.
    """

    server: str
    epoch: _Count
    allowances: list[Allowance] = []
    close: list[str] = []
    clear: list[str] = []
    restarted: list[tuple[str, _Count]] = []
