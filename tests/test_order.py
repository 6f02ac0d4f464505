"""The tree that daemons follow each other along."""

from __future__ import annotations

import collections
import threading
import time

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import clock
from chiveroad.control import _bootstrap
from chiveroad.control import _follow_tree
from chiveroad.control import _freshness
from chiveroad.control import _node
from chiveroad.control import _parent_selector
from chiveroad import membership
from tests import fakes

REGIONS = {"sherwood": "east", "wyre": "west", "cannock": "west"}
LETTER_DOMAINS = 16
LETTER_REGIONS = 5
LETTER_DAEMONS = 5_700

LINK_MB_PER_S = 75 / 8
"""Between the two regions of woodcircle-large, for all traffic together."""

CONFIGURATION_MB = 0.18
"""About 860 routes, as the store sends them."""


def daemon(
    name: str,
    domain: str,
    region: str,
    distance_ms: int = 0,
    capacity_percent: int = 0,
) -> membership.Member:
    """Return a daemon at a place."""
    return msgspec.structs.replace(
        fakes.member(name, 0, 1, domain=domain),
        region=region,
        store_distance_ms=distance_ms,
        capacity_percent=capacity_percent,
    )


def fleet(count: int) -> list[membership.Member]:
    """Return daemons dealt out over the letter's places."""
    found = []
    for number in range(count):
        domain = number % LETTER_DOMAINS
        region = domain % LETTER_REGIONS
        found.append(
            daemon(f"i-{number:05}", f"d{domain}", f"r{region}", 15 * region)
        )
    return found


fleets = st.lists(
    st.builds(
        lambda number, domain, distance_ms, capacity: daemon(
            f"i-{number:03}", domain, REGIONS[domain], distance_ms, capacity
        ),
        st.integers(0, 99),
        st.sampled_from(sorted(REGIONS)),
        st.integers(0, 40),
        st.sampled_from([0, 43, 86, 215]),
    ),
    unique_by=lambda member: member.instance,
    min_size=1,
    max_size=60,
)


@hypothesis.given(fleets)
def test_all_but_the_first_follow_one_that_stands_before_them(
    members: list[membership.Member],
) -> None:
    tree = _follow_tree.FollowTree(members)
    assert not tree.ancestors(tree.order[0])
    for member in tree.order[1:]:
        above = tree.ancestors(member)
        assert above[-1] == tree.order[0]
        assert all(
            _follow_tree.rank(one) < _follow_tree.rank(member) for one in above
        )
        assert member in tree.children(above[0])


@hypothesis.given(fleets)
def test_each_follower_has_one_parent(
    members: list[membership.Member],
) -> None:
    tree = _follow_tree.FollowTree(members)
    followers = [m.instance for one in members for m in tree.children(one)]
    assert sorted(followers) == sorted(m.instance for m in tree.order[1:])


def test_nobody_has_too_many_followers_at_the_letters_size() -> None:
    tree = _follow_tree.FollowTree(fleet(LETTER_DAEMONS))
    most = max(len(tree.children(member)) for member in tree.order)
    depth = max(len(tree.ancestors(member)) for member in tree.order)
    assert most <= 48
    assert depth <= 4


def test_small_instances_have_nobody_below_them() -> None:
    """Woodland Circle at 195: a few in each domain have five times as much.

    Nobody on less than half a core stands above others where a larger
    instance is in the same domain.
    """
    members = [
        daemon(
            f"i-{number:03}",
            f"d{number % 8}",
            f"r{number % 2}",
            15 * (number % 2),
            capacity_percent=215 if number // 8 in (3, 9, 17) else 43,
        )
        for number in range(195)
    ]
    tree = _follow_tree.FollowTree(members)
    above = {m.instance: m for m in members if tree.children(m)}
    assert {m.capacity_percent for m in above.values()} == {215}
    assert len(above) >= 16


def test_one_that_joins_moves_few() -> None:
    members = fleet(1_600)
    first = _follow_tree.FollowTree(members)
    late = daemon("i-99999", "d3", "r3", 45)
    then = _follow_tree.FollowTree([*members, late])
    moved = [m for m in members if first.ancestors(m) != then.ancestors(m)]
    assert len(moved) <= 16


def test_the_gone_are_not_followed() -> None:
    members = fleet(40)
    gone = msgspec.structs.replace(members[0], state=membership.State.GONE)
    tree = _follow_tree.FollowTree([gone, *members[1:]])
    assert gone not in tree.order
    assert all(gone not in tree.ancestors(member) for member in members)


def test_a_chain_crosses_each_border_once() -> None:
    """The link between regions carries one stream a region."""
    tree = _follow_tree.FollowTree(fleet(400))
    crossings: collections.Counter[str] = collections.Counter()
    for member in tree.order[1:]:
        if tree.ancestors(member)[0].region != member.region:
            crossings[member.region] += 1
    assert set(crossings.values()) == {1}


class Helping(_bootstrap.Bootstrapper):
    """Notes whom it would speak to."""

    def __init__(self, node: _node.Node) -> None:
        super().__init__(node)
        self.spoken_to: list[str] = []

    def _bootstrap(self, member: membership.Member) -> None:
        self.spoken_to.append(member.instance)


def helped(
    members: list[membership.Member], mine: int, failed: set[str]
) -> list[str]:
    """Return whom one daemon helps that hears nobody."""
    node = _node.Node(members[mine], recorded=True)
    node.merge(members)
    bootstrapper = Helping(node)
    bootstrapper.tick(_follow_tree.FollowTree(members), failed)
    return sorted(bootstrapper.spoken_to)


def test_the_silent_below_are_helped_and_those_above_that_failed() -> None:
    members = [daemon(f"i-{n}", "sherwood", "east") for n in range(4)]
    members += [daemon(f"w-{n}", "wyre", "west", 20) for n in range(3)]
    everyone = [member.instance for member in members[1:]]
    assert helped(members, 0, set()) == everyone
    assert helped(members, 4, set()) == ["w-1", "w-2"]
    assert helped(members, 4, {"i-0"}) == ["i-0", "w-1", "w-2"]
    assert helped(members, 5, {"i-0"}) == ["i-0"]
    assert helped(members, 6, set()) == []


def near(number: int) -> membership.Member:
    """Return one daemon of a failure domain."""
    return daemon(f"i-{number}", "sherwood", "east")


class Standing:
    """Those that stand before the seventh daemon, and a clock to move."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *others: membership.Member
    ) -> None:
        self.clock = fakes.Clock()
        monkeypatch.setattr(time, "monotonic", self.clock)
        monkeypatch.setattr(clock, "now_s", self.clock)
        self.view = membership.View(threading.Condition())
        self.view.merge(others)
        self.parents = _parent_selector.ParentSelector(
            lambda: near(7), self.view
        )
        self.parents.mark_all_settled()

    def chosen(self, confirmed: bool = True) -> str | None:
        """Return whom the daemon would ask now."""
        found = self.parents.choose(confirmed)
        return found.instance if found else None


def test_those_of_a_release_lead_nobody_until_they_have_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They stand first as soon as they are recorded, with no version yet."""
    standing = Standing(monkeypatch, near(5))
    assert standing.chosen() == "i-5"
    standing.view.merge([near(1)])
    assert standing.chosen() == "i-5"
    assert standing.parents.tree().order[0].instance == "i-5"
    standing.clock.now_s += _parent_selector.SETTLE_S
    assert standing.chosen() == "i-1"


def test_one_that_was_restarted_must_settle_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    standing = Standing(monkeypatch, near(1), near(5))
    assert standing.chosen() == "i-1"
    again = msgspec.structs.replace(near(1), incarnation=9)
    standing.view.merge([again])
    assert standing.chosen() == "i-5"
    standing.clock.now_s += _parent_selector.SETTLE_S
    assert standing.chosen() == "i-1"


def test_an_unconfirmed_version_is_asked_of_those_that_have_just_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When a whole fleet starts nobody has settled."""
    standing = Standing(monkeypatch)
    standing.clock.now_s += _parent_selector.SETTLE_S
    standing.view.merge([near(1)])
    assert standing.chosen(confirmed=True) is None
    assert standing.chosen(confirmed=False) == "i-1"
    standing.parents.record_success(near(1))
    assert standing.chosen(confirmed=True) == "i-1"


def test_when_a_fleet_starts_those_that_started_first_are_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """195 that ask the store until somebody has settled cost 2,000 calls."""
    standing = Standing(monkeypatch)
    standing.view.merge([near(1)])
    assert standing.chosen(confirmed=True) == "i-1"


def test_one_that_is_behind_is_asked_again_where_all_are_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    standing = Standing(monkeypatch, near(1), near(2))
    standing.parents.back_off(near(1), "is behind", behind=True)
    assert standing.chosen() == "i-2"
    standing.parents.back_off(near(2), "failed")
    assert standing.chosen() is None
    standing.clock.now_s += _freshness.BEHIND_RETRY_S
    assert standing.chosen() == "i-1"


def test_a_region_asks_the_store_in_turn_and_its_first_before_the_bound() -> (
    None
):
    """112 whole configurations at once filled the link between regions."""
    bounds = _freshness.FreshnessBounds(3.0)
    left_s = [
        bounds.store_due_in_s(
            0.0, 0.0, bounds.stagger_s(position, answered=True)
        )
        for position in range(112)
    ]
    assert left_s[0] == pytest.approx(bounds.suspect_after_s)
    assert left_s[1:4] == [bounds.stale_after_s] * 3
    assert left_s == sorted(left_s)
    for at_s in left_s:
        asking = [other for other in left_s if at_s <= other < at_s + 0.5]
        asked_mb = len(asking) * CONFIGURATION_MB
        assert asked_mb <= 0.5 * LINK_MB_PER_S / 2


# Daemons far back in a large region asked the store after the bound.
@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_a_version_is_in_time_at_any_place_of_a_region_of_any_size(
    apply_within_s: float,
) -> None:
    """Each is asked in time, or relies on one that stands before it."""
    bounds = _freshness.FreshnessBounds(apply_within_s)
    for position in range(LETTER_DAEMONS):
        stagger_s = bounds.stagger_s(position, answered=False)
        asked_s = bounds.store_due_in_s(0.0, 0.0, stagger_s)
        assert asked_s + _freshness.STORE_RESERVE_S <= apply_within_s + 0.001
    for position in range(1, LETTER_DAEMONS):
        before, own = (
            bounds.store_due_in_s(
                0.0, 0.0, bounds.stagger_s(at, answered=True)
            )
            for at in (position - 1, position)
        )
        assert before <= own


@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_only_one_that_is_answered_all_along_waits_for_its_turn(
    apply_within_s: float,
) -> None:
    """An answer from before the version was in doubt tells nothing."""
    bounds = _freshness.FreshnessBounds(apply_within_s)
    assert not bounds.answered_recently(
        bounds.suspect_after_s - 0.01, bounds.stale_after_s
    )
    assert bounds.answered_recently(
        bounds.suspect_after_s + 0.01, bounds.stale_after_s
    )
    asked_again_s = _freshness.BEHIND_RETRY_S
    assert bounds.answered_recently(0.0, asked_again_s)


@hypothesis.given(
    st.integers(1, 400), st.sets(st.integers(0, 399)), st.sampled_from([2, 3])
)
def test_who_is_answered_has_a_version_in_time_from_those_before_it(
    size: int, unanswered: set[int], apply_within_s: int
) -> None:
    """The store's answer takes as long as it may for whoever asks."""
    bounds = _freshness.FreshnessBounds(apply_within_s)
    in_force_s: list[float] = []
    for position in range(size):
        answered = bool(position) and position not in unanswered
        stagger_s = bounds.stagger_s(position, answered)
        asked_s = bounds.store_due_in_s(0.0, 0.0, stagger_s)
        own_s = asked_s + _freshness.STORE_RESERVE_S
        in_force_s.append(
            min([own_s, *in_force_s[-1:]] if answered else [own_s])
        )
    assert max(in_force_s) <= apply_within_s + 0.001


def test_whoever_holds_the_view_can_ask_whom_to_follow() -> None:
    """A start asks while it holds the news, and others ask beside it."""
    changed = threading.Condition()
    view = membership.View(changed)
    view.merge([near(1)])
    parents = _parent_selector.ParentSelector(lambda: near(7), view)

    def ask() -> None:
        parents.choose(confirmed=False)

    def ask_holding() -> None:
        with changed:
            view.merge([near(2)])
            beside = threading.Thread(target=ask, daemon=True)
            beside.start()
            beside.join(0.2)
            ask()

    holding = threading.Thread(target=ask_holding, daemon=True)
    holding.start()
    holding.join(5)
    assert not holding.is_alive()
