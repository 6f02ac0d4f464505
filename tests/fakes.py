"""Test doubles: a clock, a store with faults, members and settings."""

from __future__ import annotations

from chiveroad import errors
from chiveroad import membership
from chiveroad import settings
from chiveroad import store
from standins import memory_store


class Clock:
    """A clock that only tests advance."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class FaultyStore(memory_store.MemoryStore):
    """A store with injected faults.

    ``down`` fails every call.  The next ``lose`` writes take effect but their
    answers are lost, the next ``drop`` writes are lost before they take
    effect, and the next ``refuse`` writes are refused.  ``gets`` counts
    reads.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose = 0
        self.drop = 0
        self.refuse = 0
        self.gets = 0

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        self.gets += 1
        self._check()
        return super().get(kind, name)

    def put(
        self,
        kind: store.Kind,
        name: str,
        spec: object,
        version: store.Revision,
    ) -> store.StoredObject:
        self._check()
        if self.refuse:
            self.refuse -= 1
            raise errors.StoreUnavailable("refused")
        if self.drop:
            self.drop -= 1
            raise errors.StoreOutcomeUnknown("dropped")
        written = super().put(kind, name, spec, version)
        if self.lose:
            self.lose -= 1
            raise errors.StoreOutcomeUnknown("lost")
        return written

    def _check(self) -> None:
        if self.down:
            raise errors.StoreUnavailable("down")


def member(
    instance: str = "glade-1",
    incarnation: int = 1,
    sequence: int = 1,
    state: membership.State = membership.State.READY,
    domain: str = "sherwood",
    service: str = "glade",
    era: int = 0,
) -> membership.Member:
    """Return a member whose addresses are derived from its name."""
    return membership.Member(
        instance,
        service,
        domain,
        "east-mids",
        incarnation,
        sequence,
        state,
        f"{instance}:1",
        f"{instance}:2",
        f"{instance}:3",
        era=era,
    )


def options(
    instance: str = "a",
    service: str = "glade",
    domain: str = "d",
    entry: str = "127.0.0.1:1",
    guard: str = "127.0.0.1:2",
    control: str = "127.0.0.1:3",
) -> settings.Settings:
    """Return settings with the required keys only."""
    return settings.parse(f"""
        instance = "{instance}"
        service = "{service}"
        failure_domain = "{domain}"
        region = "r"
        [listen]
        entry = "{entry}"
        guard = "{guard}"
        control = "{control}"
        [upstream]
        address = "127.0.0.1:4"
        [platform]
        address = "127.0.0.1:5"
        """)
