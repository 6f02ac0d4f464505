"""Whether a hedge would help now, and which target it is sent to."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import random
import typing

MAX_BUSY_SHARE: typing.Final = 0.7
"""Above this share of taken slots a service has no capacity to spare: its
queues grow, and each hedge makes other requests wait."""

LOAD_VALID_S: typing.Final = 5.0
"""How long a reported load is used.  An entry hears from one of many targets
every few seconds; an older report says nothing about the present."""

JITTER: typing.Final = 0.2
"""Random variation of loads, so that entries with the same reports don't all
send their hedges to the same target."""


class Denial(enum.Enum):
    """Why a request isn't hedged now; the values are metric labels."""

    CALLER = "caller"
    TIME = "time"
    ATTEMPTS = "attempts"
    REFUSALS = "refusals"
    BUSY = "busy"
    SLOW = "slow"
    TARGET = "target"
    LIMIT = "limit"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A target of the service, as the entry knows it.

    ``load`` is the number of running and queued requests that its guard last
    reported, ``heard_s`` ago.  ``usable`` is False for targets that are
    ejected, blocked, unresponsive or leaving, that already have the request,
    or that this daemon's own guard protects.
    """

    instance: str
    failure_domain: str
    distance: int
    load: int
    slots: int
    heard_s: float
    service_ms: float
    usable: bool

    @property
    def known(self) -> bool:
        """Tell whether the load is recent enough to be used."""
        return self.heard_s <= LOAD_VALID_S

    @property
    def free(self) -> bool:
        """Tell whether a slot is probably free.

        An entry with few requests hasn't heard from most targets lately.
        The others show whether the service has capacity at all.
        """
        return not self.known or self.load < self.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known when a request is late.

    ``slow`` says that other requests to the service are late, too, and
    ``refusing`` that guards refuse requests for lack of capacity.
    """

    caller_left: bool
    attempts_left: bool
    refusing: bool
    slow: bool
    options: collections.abc.Sequence[Option]


def find_denial(situation: Situation) -> Denial | None:
    """Return why a late request isn't hedged now, None if it may be."""
    if situation.caller_left:
        return Denial.CALLER
    if not situation.attempts_left:
        return Denial.ATTEMPTS
    if situation.refusing:
        return Denial.REFUSALS
    known = [option for option in situation.options if option.known]
    taken = sum(min(option.load, option.slots) for option in known)
    slots = sum(option.slots for option in known)
    if not known or taken > MAX_BUSY_SHARE * slots:
        return Denial.BUSY
    if situation.slow:
        return Denial.SLOW
    return None


def choose(
    situation: Situation,
    troubled: tuple[set[str], set[str]],
    left_ms: float,
    rng: random.Random,
) -> Option | Denial:
    """Return the nearest target with a free slot and the least load.

    Targets whose load is known come first.

    :param troubled: instances and failure domains with late requests.
    :param left_ms: the time until the request's deadline.
    """
    instances, domains = troubled
    suitable = [
        option
        for option in situation.options
        if option.usable
        and option.free
        and option.instance not in instances
        and option.failure_domain not in domains
    ]
    if not suitable:
        return Denial.TARGET
    in_time = [option for option in suitable if option.service_ms < left_ms]
    if not in_time:
        return Denial.TIME
    return min(
        in_time,
        key=lambda option: (
            option.distance,
            not option.known,
            option.load / option.slots + JITTER * rng.random(),
        ),
    )
