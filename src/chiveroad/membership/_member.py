"""What is known of one daemon and its target, and which word is newer."""

from __future__ import annotations

import collections.abc
import enum

import msgspec


class State(enum.Enum):
    """The states of a member.

    All but ``DEAD`` are a member's own word.  ``DEAD`` is said by the parent
    that no longer hears it, and the member refutes it with a new sequence
    number, as in SWIM.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """One daemon with its target.

    ``incarnation`` grows with each start and ``sequence`` with each word of
    the same start.  The addresses are ``HOST:PORT``.  ``target_id`` and
    ``target_started_at_ms`` name the incarnation of the target, where it
    tells them, and ``store_distance_ms`` is how far the store is from the
    daemon.  ``capacity_percent`` is what its instance has for it, in percent
    of a core.
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

    def order(self) -> tuple[int, int, bool]:
        """Return what decides between two words on the same instance."""
        dead = self.state is State.DEAD
        return (self.incarnation, self.sequence, dead)

    @property
    def alive(self) -> bool:
        """Tell whether the daemon takes part in the control plane."""
        return self.state not in (State.GONE, State.DEAD)


def newer(
    known: collections.abc.Mapping[str, Member],
    heard: collections.abc.Iterable[Member],
) -> dict[str, Member]:
    """Return those heard that overtake what is known.

    The result doesn't depend on the order in which words arrive, and
    hearing the same twice changes nothing.
    """
    fresh: dict[str, Member] = {}
    for member in heard:
        current = fresh.get(member.instance, known.get(member.instance))
        if current is None or member.order() > current.order():
            fresh[member.instance] = member
    return fresh


def declared_dead(member: Member) -> Member:
    """Return the member as its parent declares it dead."""
    return msgspec.structs.replace(member, state=State.DEAD)
