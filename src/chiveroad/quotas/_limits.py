"""The limits of a customer, and what the bound allows beyond them."""

from __future__ import annotations

import dataclasses
import typing

REPORT_INTERVAL_S: typing.Final = 0.25
"""How often an entry reports; what it admits in between is not yet counted."""

GRANT_S: typing.Final = 0.5
"""For how long granted tokens are valid: two reports, so that a report that
is lost costs no tokens that are needed."""

STALE_S: typing.Final = 1.0
"""After this time without an answer, an entry doesn't know whether a customer
is close to its limit."""

MARGIN_PART: typing.Final = 0.25
"""The part of the permitted excess by which the bucket is larger than stated,
and the part of it that is added to the rate.  Requests that were admitted in
excess would otherwise have to be made up for by requests below the limit.  A
half of the excess is left for what entries admit before they are told."""


START_PART: typing.Final = 0.25
"""The part of the permitted excess with which a bucket starts whose earlier
use isn't known.  With the part by which the bucket is larger than stated, two
starts of all daemons in a window stay within the excess."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The bound for all customers: in any window, what exceeds a limit."""

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A customer's rate and burst, and the token bucket that enforces them.

    ``margin`` is how many requests beyond rate and burst the bound permits in
    a window.  ``rate_per_s`` and ``burst`` are those of the bucket.
    ``close_at`` is the level below which entries need tokens, and ``unasked``
    what all entries together may have admitted without tokens.  ``start`` is
    the level of a bucket whose earlier use isn't known.
    """

    rate_per_s: float
    burst: float
    margin: float
    close_at: float
    unasked: float
    start: float
    window_s: float

    @property
    def clear_at(self) -> float:
        """Return the level above which entries need no tokens again."""
        return (self.close_at + self.burst) / 2

    def level_at_start(self, known_s: float) -> float:
        """Return the level of a bucket of which nothing has been used lately.

        :param known_s: for how long that is known.  Before, all of it may
            have been used; what was used before the last window doesn't count.
        """
        if known_s >= self.window_s:
            return self.burst
        return min(self.burst, self.start + self.rate_per_s * known_s)


def limit(rate_per_s: float, burst: float, terms: Terms) -> Limit:
    """Return the bucket for a stated rate and burst."""
    margin = (
        terms.overage * (rate_per_s * terms.window_s + burst) + terms.slack
    )
    part = MARGIN_PART * margin
    bucket_burst = max(1.0, burst + part)
    close_at = max(1.0, bucket_burst / 2 - margin / 8)
    close_at = min(close_at, bucket_burst / 2)
    return Limit(
        rate_per_s=rate_per_s + part / terms.window_s,
        burst=bucket_burst,
        margin=margin,
        close_at=close_at,
        unasked=margin / 2 + close_at,
        start=min(bucket_burst, START_PART * margin),
        window_s=terms.window_s,
    )
