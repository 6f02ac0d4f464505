"""Removing the records of daemons that are gone for good."""

from __future__ import annotations

import pytest

from chiveroad import control
from chiveroad.control import _member_expiry
from chiveroad.control import _sweeper
from chiveroad import errors
from chiveroad import membership
from chiveroad import store
from standins import memory_store
from tests import fakes

MINUTE_S = 60.0


@pytest.mark.parametrize(
    ("mine", "others", "found"),
    [
        ("b", "abc", "ca"),
        ("a", "abc", "bc"),
        ("c", "abc", "ab"),
        ("a", "a", ""),
        ("a", "abcdefghijk", "bcdefghi"),
    ],
)
def test_who_looks_after_whom(mine: str, others: str, found: str) -> None:
    members = [fakes.member(name) for name in others]
    elsewhere = fakes.member("bb", domain="wyre")
    unrecorded = fakes.member("cc", sequence=0)
    asked = _sweeper.successors(
        fakes.member(mine), [*members, elsewhere, unrecorded]
    )
    assert "".join(member.instance for member in asked) == found


# A daemon that was stopped for ten minutes took two misses for all of them.
@pytest.mark.parametrize(
    ("silent_at", "asked", "lost"),
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
def test_who_is_gone_for_good(
    silent_at: list[str | None], asked: int, lost: str
) -> None:
    """There is a turn each minute, but where None stands."""
    absences = _sweeper.UnresponsiveTimer()
    found: list[str] = []
    for minute, silent in enumerate(silent_at):
        if silent is not None:
            found = absences.removable(silent, asked, minute * MINUTE_S)
    assert "".join(found) == lost


class Ring:
    """The daemons a, b and c, and what ``a`` does for the ring."""

    def __init__(self) -> None:
        self.platform = memory_store.MemoryStore()
        self.node = control.Node(fakes.member("a", 0, 0), recorded=True)
        self.silent: set[str] = set()
        self.sweeper = _sweeper.Sweeper(
            self.platform,
            self.node,
            lambda address, _: address.partition(":")[0] not in self.silent,
        )
        for name in "abc":
            self.write(name, store.ABSENT)

    def write(self, name: str, version: int) -> None:
        """Write a record, and take it into the view."""
        written = self.platform.put(store.Kind.MEMBERS, name, {}, version)
        self.node.merge([fakes.member(name, 0, written.version)])

    def names(self) -> str:
        """Return whose records the store holds."""
        listed = self.platform.list(store.Kind.MEMBERS).objects
        return "".join(stored.name for stored in listed)

    def pass_minutes(self, first: int, last: int) -> None:
        """Have a turn each minute."""
        for minute in range(first, last + 1):
            self.sweeper.tick(minute * MINUTE_S)


def test_the_record_of_a_lost_daemon_is_removed_after_ten_minutes() -> None:
    ring = Ring()
    ring.silent = {"b"}
    ring.pass_minutes(0, 10)
    assert ring.names() == "abc"
    ring.pass_minutes(11, 11)
    assert ring.names() == "ac"


def test_a_record_written_meanwhile_stays() -> None:
    ring = Ring()
    ring.silent = {"b"}
    ring.pass_minutes(0, 10)
    known = ring.platform.get(store.Kind.MEMBERS, "b").version
    ring.platform.put(store.Kind.MEMBERS, "b", {"new": True}, known)
    ring.pass_minutes(11, 12)
    assert ring.names() == "abc"


def test_a_daemon_that_reaches_nobody_removes_nothing() -> None:
    ring = Ring()
    ring.silent = {"b", "c"}
    ring.pass_minutes(0, 60)
    assert ring.names() == "abc"


def test_a_store_that_fails_is_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ring = Ring()
    ring.silent = {"b"}

    def refuse(*_: object) -> None:
        raise errors.StoreUnavailable("down")

    monkeypatch.setattr(ring.platform, "delete", refuse)
    ring.pass_minutes(0, 11)
    assert ring.names() == "abc"
    monkeypatch.undo()
    ring.pass_minutes(12, 12)
    assert ring.names() == "ac"


def test_members_gone_for_long_are_forgotten_but_never_oneself() -> None:
    view = control.Node(fakes.member("a", 0, 0), recorded=True).view
    for name in "ab":
        view.merge([fakes.member(name, 0, 5, membership.State.GONE)])
    expiry = _member_expiry.MemberExpiry(view, "a")
    expiry.expire(0.0)
    expiry.expire(membership.FORGET_AFTER_S)
    assert len(view.all()) == 2
    expiry.expire(membership.FORGET_AFTER_S + 1)
    assert [member.instance for member in view.all()] == ["a"]
