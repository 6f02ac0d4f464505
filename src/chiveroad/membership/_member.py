"""The record of one daemon and its target, and how records are ordered."""

from __future__ import annotations

import collections.abc
import enum
import re
import typing

import msgspec

from chiveroad import connection
from chiveroad import decoding
from chiveroad import store

_NUMBERS: typing.Final = (
    "incarnation",
    "era",
    "sequence",
    "target_started_at_ms",
    "slots",
    "store_distance_ms",
    "capacity_percent",
)
_ADDRESSES: typing.Final = ("entry", "guard", "control")
MAX_SUSPECTS: typing.Final = 32
"""How many suspects, and ends of each, a record may name."""

_DIGEST: typing.Final = re.compile(r"[0-9a-f]{16}")
_NAME: typing.Final = re.compile(r"[^\x00-\x1f\x7f]{1,253}")


class State(enum.Enum):
    """The states of a member.

    All but ``DEAD`` are reported by the member itself.  ``DEAD`` is declared
    by the parent of an unresponsive member, and the member refutes it with a
    new sequence number, as in SWIM.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    DEAD = "dead"


class RecordedSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request's content under which targets have ended.

    ``content`` and ``ends`` are digests: of the content, and of the names of
    the ends.
    """

    content: str
    ends: tuple[str, ...]

    def valid(self) -> bool:
        """Return whether the record can be used."""
        if len(self.ends) > MAX_SUSPECTS:
            return False
        return all(_DIGEST.fullmatch(each) for each in self.texts())

    def texts(self) -> tuple[str, ...]:
        """Return all digests."""
        return (self.content, *self.ends)


RecordedSuspects = tuple[RecordedSuspect, ...]


def usable_suspects(suspects: RecordedSuspects) -> bool:
    """Return whether all suspects that a message names can be used."""
    return len(suspects) <= MAX_SUSPECTS and all(
        each.valid() for each in suspects
    )


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """The self-reported record of one daemon and its target.

    ``incarnation`` grows with each start of the daemon and ``sequence`` with
    each record of the same incarnation.  In deployments that record members
    in the store, ``sequence`` is the revision of the record, and ``era`` the
    store's era in which it was written.  The addresses are ``HOST:PORT``.
    ``target_id`` and ``target_started_at_ms`` identify the incarnation of the
    target, if the target reports them.  ``store_distance_ms`` is the latency
    from the daemon to the store.  ``capacity_percent`` is the CPU that the
    instance has for the daemon, in percent of a core.  ``suspects`` are the
    contents under which targets have ended for this daemon.
    ``software_version`` is that of the target, if the target names it.
    """

    instance: str
    service: str
    failure_domain: str
    region: str
    incarnation: int
    sequence: int
    state: State
    entry: str
    guard: str
    control: str
    target_id: str = msgspec.field(default="", name="upstream_id")
    target_started_at_ms: int = msgspec.field(
        default=0, name="upstream_started_at_ms"
    )
    slots: int = 0
    store_distance_ms: int = 0
    capacity_percent: int = 0
    era: int = 0
    suspects: RecordedSuspects = ()
    software_version: str = ""

    def defect(self) -> str:
        """Return why a received record can't be used, or an empty string.

        Another writer may have left it: a number that can't be encoded, or an
        address that can't be connected to, would fail wherever it is used.
        """
        for name in _NUMBERS:
            if not 0 <= getattr(self, name) <= decoding.MAX_INTEGER:
                return f"{name} is out of range"
        for name in _ADDRESSES:
            if not connection.is_address(getattr(self, name)):
                return f"{name} is no address"
        names = (self.instance, self.service, self.software_version or "-")
        if not all(_NAME.fullmatch(name) for name in names):
            return "a name is empty, too long or has control characters"
        if not usable_suspects(self.suspects):
            return "a suspect can't be used, or there are too many"
        return ""

    def order(self) -> tuple[int, int, int, bool]:
        """Return the sort key; the greater record of an instance wins.

        A record that the store has lost, and one that it has brought back by
        going back to a copy, are ordered as they were written.
        """
        dead = self.state is State.DEAD
        return (self.incarnation, self.era, self.sequence, dead)

    @property
    def recorded_at(self) -> store.Revision:
        """Return the state of the store in which the record was written."""
        return store.Revision(self.era, self.sequence)

    @property
    def alive(self) -> bool:
        """Return whether the daemon takes part in the control plane."""
        return self.state not in (State.GONE, State.DEAD)


def newer(
    known: collections.abc.Mapping[str, Member],
    received: collections.abc.Iterable[Member],
) -> dict[str, Member]:
    """Return the received records that supersede known ones.

    The merge is commutative and idempotent: neither the order of records nor
    a repeated one changes its result.
    """
    updates: dict[str, Member] = {}
    for member in received:
        current = updates.get(member.instance, known.get(member.instance))
        if current is None or member.order() > current.order():
            updates[member.instance] = member
    return updates


def declared_dead(member: Member) -> Member:
    """Return the record by which a parent declares the member dead."""
    return msgspec.structs.replace(member, state=State.DEAD)
