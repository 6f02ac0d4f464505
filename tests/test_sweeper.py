"""Removal of the records of daemons that are permanently lost."""

from __future__ import annotations

import pytest

from chiveroad import control
from chiveroad.control import _member_expiry
from chiveroad.control import _messages
from chiveroad.control import _sweeper
from chiveroad import errors
from chiveroad import membership
from chiveroad import presence
from chiveroad import store
from standins import memory_store
from tests import fakes

MINUTE_S = 60.0


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [
        ("b", "abc", "ca"),
        ("a", "abc", "bc"),
        ("c", "abc", "ab"),
        ("a", "a", ""),
        ("a", "abcdefghijk", "bcdefghi"),
    ],
)
def test_successors_follow_a_daemon_in_its_ring(
    own: str, others: str, expected: str
) -> None:
    members = [fakes.member(name) for name in others]
    elsewhere = fakes.member("bb", domain="wyre")
    unrecorded = fakes.member("cc", sequence=0)
    candidates = _sweeper.successors(
        fakes.member(own), [*members, elsewhere, unrecorded]
    )
    assert "".join(member.instance for member in candidates) == expected


@pytest.mark.parametrize(
    ("unresponsive_at", "candidates", "lost"),
    [
        (["b"] * 11, 2, ""),
        (["b"] * 12, 2, "b"),
        (["b"] * 5 + [""] + ["b"] * 6, 2, ""),
        (["b"] * 5 + ["bc"] * 7, 3, "b"),
        (["bc"] * 12, 2, ""),
        (["b"] * 12, 1, "b"),
        (["b", "b", None, "b"] + ["b"] * 8, 2, "b"),
        (["b"] + [None] * 10 + ["b"], 2, ""),
        (["b"] + [None] * 10 + ["b"] * 10, 2, ""),
        (["b"] + [None] * 10 + ["b"] * 12, 2, "b"),
    ],
)
def test_a_daemon_unresponsive_for_ten_minutes_is_lost(
    unresponsive_at: list[str | None], candidates: int, lost: str
) -> None:
    """There is a sweep each minute, except where None is given.

    A daemon that was itself stopped for ten minutes took two failed probes
    for an outage of the whole time.
    """
    timer = _sweeper.UnresponsiveTimer()
    found: list[str] = []
    for minute, unresponsive in enumerate(unresponsive_at):
        if unresponsive is not None:
            found = timer.removable(
                unresponsive, candidates, minute * MINUTE_S
            )
    assert "".join(found) == lost


class Ring:
    """The ring of the daemons a, b and c, with the sweeper of ``a``."""

    def __init__(self) -> None:
        self.platform = memory_store.MemoryStore()
        self.node = control.Node(fakes.member("a", 0, 0), recorded=True)
        self.unresponsive: set[str] = set()
        self.sweeper = _sweeper.Sweeper(
            self.platform,
            self.node,
            lambda address, _: address.partition(":")[0]
            not in self.unresponsive,
        )
        for name in "abc":
            self.write(name, store.ABSENT)

    def write(self, name: str, version: store.Revision) -> None:
        """Write a record, and merge it into the view."""
        era = self.platform.eras.current
        written = self.platform.put(
            store.Kind.MEMBERS,
            name,
            _messages.MemberRecord(
                fakes.member(name, 0, era=era), presence.Phase.READY
            ),
            version,
        )
        self.node.merge(
            [fakes.member(name, 0, written.version.number, era=era)]
        )

    def recorded_names(self) -> str:
        """Return the names of the records in the store."""
        listed = self.platform.list(store.Kind.MEMBERS).objects
        return "".join(stored.name for stored in listed)

    def sweep_each_minute(self, first: int, last: int) -> None:
        """Run a sweep for each minute, both ends included."""
        for minute in range(first, last + 1):
            self.sweeper.tick(minute * MINUTE_S)


def test_the_record_of_a_lost_daemon_is_removed_after_ten_minutes() -> None:
    ring = Ring()
    ring.unresponsive = {"b"}
    ring.sweep_each_minute(0, 10)
    assert ring.recorded_names() == "abc"
    ring.sweep_each_minute(11, 11)
    assert ring.recorded_names() == "ac"


def test_a_record_written_since_is_kept() -> None:
    ring = Ring()
    ring.unresponsive = {"b"}
    ring.sweep_each_minute(0, 10)
    known = ring.platform.get(store.Kind.MEMBERS, "b").version
    stored = ring.platform.get(store.Kind.MEMBERS, "b")
    ring.platform.put(store.Kind.MEMBERS, "b", stored.spec, known)
    ring.sweep_each_minute(11, 12)
    assert ring.recorded_names() == "abc"


def test_a_daemon_that_is_cut_off_removes_nothing() -> None:
    ring = Ring()
    ring.unresponsive = {"b", "c"}
    ring.sweep_each_minute(0, 60)
    assert ring.recorded_names() == "abc"


def test_a_removal_is_retried_after_a_store_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ring = Ring()
    ring.unresponsive = {"b"}

    def refuse(*_: object) -> None:
        raise errors.StoreUnavailable("down")

    monkeypatch.setattr(ring.platform, "delete", refuse)
    ring.sweep_each_minute(0, 11)
    assert ring.recorded_names() == "abc"
    monkeypatch.undo()
    ring.sweep_each_minute(12, 12)
    assert ring.recorded_names() == "ac"


def test_members_gone_for_long_expire_but_never_the_own_one() -> None:
    view = control.Node(fakes.member("a", 0, 0), recorded=True).view
    for name in "ab":
        view.merge([fakes.member(name, 0, 5, membership.State.GONE)])
    expiry = _member_expiry.MemberExpiry(view, "a")
    expiry.expire(0.0)
    expiry.expire(membership.FORGET_AFTER_S)
    assert len(view.all()) == 2
    expiry.expire(membership.FORGET_AFTER_S + 1)
    assert [member.instance for member in view.all()] == ["a"]
