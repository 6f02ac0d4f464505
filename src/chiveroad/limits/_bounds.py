"""The limits of one address, with the accounts that addresses share."""

from __future__ import annotations

import collections.abc
import dataclasses

from chiveroad.limits import _account
from chiveroad.limits import _budget
from chiveroad.limits import _terms
from chiveroad import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the clients of one address may hold, and where that is recorded.

    ``budget`` is shared by all addresses; None is no limit.
    """

    terms: _terms.Limits = _terms.Limits()
    account: _account.Account = dataclasses.field(
        default_factory=_account.Account.silent
    )
    budget: _budget.ByteBudget | None = None


class Shared:
    """The limits of a daemon's addresses, with one budget and one account.

    :param count: called with the name and the label of a counter.
    """

    def __init__(
        self,
        options: settings.Limits,
        capacity: settings.Capacity,
        count: collections.abc.Callable[[str, str], None],
    ) -> None:
        self._options = options
        self._capacity = capacity
        self._account = _account.Account(count)
        self._budget = _budget.ByteBudget(_terms.body_bytes(options, capacity))

    def at(self, place: _terms.Place) -> Bounds:
        """Return the limits of an address."""
        terms = _terms.derive(self._options, self._capacity, place)
        return Bounds(terms, self._account, self._budget)
