"""The follow tree, the selection of parents, and the freshness bounds."""

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
FLEET_DOMAINS = 16
FLEET_REGIONS = 5
FLEET_DAEMONS = 5_700

LINK_MB_PER_S = 75 / 8
"""Bandwidth between the two regions of woodcircle-large, for all traffic."""

CONFIGURATION_MB = 0.18
"""About 860 routes, as the store sends them."""


def daemon(
    name: str,
    domain: str,
    region: str,
    distance_ms: int = 0,
    capacity_percent: int = 0,
) -> membership.Member:
    """Return a daemon in a failure domain and region."""
    return msgspec.structs.replace(
        fakes.member(name, 0, 1, domain=domain),
        region=region,
        store_distance_ms=distance_ms,
        capacity_percent=capacity_percent,
    )


def fleet(count: int) -> list[membership.Member]:
    """Return daemons spread evenly over all failure domains."""
    members = []
    for number in range(count):
        domain = number % FLEET_DOMAINS
        region = domain % FLEET_REGIONS
        members.append(
            daemon(f"i-{number:05}", f"d{domain}", f"r{region}", 15 * region)
        )
    return members


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
def test_all_but_the_root_follow_a_predecessor(
    members: list[membership.Member],
) -> None:
    tree = _follow_tree.FollowTree(members)
    assert not tree.ancestors(tree.order[0])
    for member in tree.order[1:]:
        ancestors = tree.ancestors(member)
        assert ancestors[-1] == tree.order[0]
        assert all(
            _follow_tree.rank(ancestor) < _follow_tree.rank(member)
            for ancestor in ancestors
        )
        assert member in tree.children(ancestors[0])


@hypothesis.given(fleets)
def test_each_follower_has_one_parent(
    members: list[membership.Member],
) -> None:
    tree = _follow_tree.FollowTree(members)
    followers = [
        m.instance for parent in members for m in tree.children(parent)
    ]
    assert sorted(followers) == sorted(m.instance for m in tree.order[1:])


def test_fan_out_and_depth_are_bounded_in_a_large_fleet() -> None:
    tree = _follow_tree.FollowTree(fleet(FLEET_DAEMONS))
    most = max(len(tree.children(member)) for member in tree.order)
    depth = max(len(tree.ancestors(member)) for member in tree.order)
    assert most <= 48
    assert depth <= 4


def test_small_instances_have_no_children_beside_larger_ones() -> None:
    """Three of about 24 daemons in a domain have five times the capacity.

    A daemon with less than half a core has no children where its domain has
    a larger instance.  The 195 daemons are those of Woodland Circle.
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
    parents = {m.instance: m for m in members if tree.children(m)}
    assert {m.capacity_percent for m in parents.values()} == {215}
    assert len(parents) >= 16


def test_a_joining_daemon_changes_the_ancestors_of_few() -> None:
    members = fleet(1_600)
    before = _follow_tree.FollowTree(members)
    joining = daemon("i-99999", "d3", "r3", 45)
    after = _follow_tree.FollowTree([*members, joining])
    moved = [m for m in members if before.ancestors(m) != after.ancestors(m)]
    assert len(moved) <= 16


def test_gone_daemons_are_not_followed() -> None:
    members = fleet(40)
    gone = msgspec.structs.replace(members[0], state=membership.State.GONE)
    tree = _follow_tree.FollowTree([gone, *members[1:]])
    assert gone not in tree.order
    assert all(gone not in tree.ancestors(member) for member in members)


def test_one_daemon_of_each_region_follows_another_region() -> None:
    """So the link between regions carries one stream per region."""
    tree = _follow_tree.FollowTree(fleet(400))
    crossings: collections.Counter[str] = collections.Counter()
    for member in tree.order[1:]:
        if tree.ancestors(member)[0].region != member.region:
            crossings[member.region] += 1
    assert set(crossings.values()) == {1}


class ContactLog(_bootstrap.Bootstrapper):
    """Records the daemons that it would contact."""

    def __init__(self, node: _node.Node) -> None:
        super().__init__(node)
        self.contacted: list[str] = []

    def _bootstrap(self, member: membership.Member) -> None:
        self.contacted.append(member.instance)


def contacts(
    members: list[membership.Member], index: int, failed: set[str]
) -> list[str]:
    """Return the daemons that one without any contact would bootstrap."""
    node = _node.Node(members[index], recorded=True)
    node.merge(members)
    bootstrapper = ContactLog(node)
    bootstrapper.tick(_follow_tree.FollowTree(members), failed)
    return sorted(bootstrapper.contacted)


def test_unresponsive_children_and_failed_ancestors_are_contacted() -> None:
    members = [daemon(f"i-{n}", "sherwood", "east") for n in range(4)]
    members += [daemon(f"w-{n}", "wyre", "west", 20) for n in range(3)]
    everyone = [member.instance for member in members[1:]]
    assert contacts(members, 0, set()) == everyone
    assert contacts(members, 4, set()) == ["w-1", "w-2"]
    assert contacts(members, 4, {"i-0"}) == ["i-0", "w-1", "w-2"]
    assert contacts(members, 5, {"i-0"}) == ["i-0"]
    assert contacts(members, 6, set()) == []


def domain_member(number: int) -> membership.Member:
    """Return one of the daemons of a failure domain."""
    return daemon(f"i-{number}", "sherwood", "east")


class Selection:
    """The parents that the seventh daemon chooses, with a settable clock."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *others: membership.Member
    ) -> None:
        self.clock = fakes.Clock()
        monkeypatch.setattr(time, "monotonic", self.clock)
        monkeypatch.setattr(clock, "now_s", self.clock)
        self.view = membership.View(threading.Condition())
        self.view.merge(others)
        self.parents = _parent_selector.ParentSelector(
            lambda: domain_member(7), self.view
        )
        self.parents.mark_all_settled()

    def chosen_parent(self, confirmed: bool = True) -> str | None:
        """Return the name of the parent that would be asked now."""
        parent = self.parents.choose(confirmed)
        return parent.instance if parent else None


def test_new_daemons_are_not_followed_until_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They may come first in the order as soon as they are recorded.

    They have no version yet at that time.
    """
    selection = Selection(monkeypatch, domain_member(5))
    assert selection.chosen_parent() == "i-5"
    selection.view.merge([domain_member(1)])
    assert selection.chosen_parent() == "i-5"
    assert selection.parents.tree().order[0].instance == "i-5"
    selection.clock.now_s += _parent_selector.SETTLE_S
    assert selection.chosen_parent() == "i-1"


def test_a_restarted_daemon_must_settle_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    selection = Selection(monkeypatch, domain_member(1), domain_member(5))
    assert selection.chosen_parent() == "i-1"
    again = msgspec.structs.replace(domain_member(1), incarnation=9)
    selection.view.merge([again])
    assert selection.chosen_parent() == "i-5"
    selection.clock.now_s += _parent_selector.SETTLE_S
    assert selection.chosen_parent() == "i-1"


def test_unsettled_daemons_are_asked_while_the_version_is_suspect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When a whole fleet starts, no daemon has settled."""
    selection = Selection(monkeypatch)
    selection.clock.now_s += _parent_selector.SETTLE_S
    selection.view.merge([domain_member(1)])
    assert selection.chosen_parent(confirmed=True) is None
    assert selection.chosen_parent(confirmed=False) == "i-1"
    selection.parents.record_success(domain_member(1))
    assert selection.chosen_parent(confirmed=True) == "i-1"


def test_unsettled_daemons_are_followed_in_a_mass_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else all daemons would read the store until one has settled.

    With 195 daemons that cost 2,000 calls.
    """
    selection = Selection(monkeypatch)
    selection.view.merge([domain_member(1)])
    assert selection.chosen_parent(confirmed=True) == "i-1"


def test_a_parent_behind_is_retried_while_all_are_in_back_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    selection = Selection(monkeypatch, domain_member(1), domain_member(2))
    selection.parents.back_off(domain_member(1), "is behind", behind=True)
    assert selection.chosen_parent() == "i-2"
    selection.parents.back_off(domain_member(2), "failed")
    assert selection.chosen_parent() is None
    selection.clock.now_s += _freshness.BEHIND_RETRY_S
    assert selection.chosen_parent() == "i-1"


def test_store_reads_of_a_region_are_staggered() -> None:
    """The first daemon reads the store before the bound, the others later.

    112 simultaneous reads of whole configurations filled the link between
    regions.
    """
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
        concurrent = [other for other in left_s if at_s <= other < at_s + 0.5]
        concurrent_mb = len(concurrent) * CONFIGURATION_MB
        assert concurrent_mb <= 0.5 * LINK_MB_PER_S / 2


@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_a_version_is_in_time_at_each_position_of_a_large_region(
    apply_within_s: float,
) -> None:
    """Daemons at the end of a large region read the store after the bound.

    Each daemon must read the store in time, or rely on a predecessor.
    """
    bounds = _freshness.FreshnessBounds(apply_within_s)
    for position in range(FLEET_DAEMONS):
        stagger_s = bounds.stagger_s(position, answered=False)
        read_at_s = bounds.store_due_in_s(0.0, 0.0, stagger_s)
        assert read_at_s + _freshness.STORE_RESERVE_S <= apply_within_s + 0.001
    for position in range(1, FLEET_DAEMONS):
        preceding_s, own = (
            bounds.store_due_in_s(
                0.0, 0.0, bounds.stagger_s(at, answered=True)
            )
            for at in (position - 1, position)
        )
        assert preceding_s <= own


@pytest.mark.parametrize("apply_within_s", [2.0, 3.0, 13.0])
def test_only_a_daemon_with_a_recent_answer_is_staggered(
    apply_within_s: float,
) -> None:
    """An answer from before the version became suspect proves nothing."""
    bounds = _freshness.FreshnessBounds(apply_within_s)
    assert not bounds.answered_recently(
        bounds.suspect_after_s - 0.01, bounds.stale_after_s
    )
    assert bounds.answered_recently(
        bounds.suspect_after_s + 0.01, bounds.stale_after_s
    )
    retry_s = _freshness.BEHIND_RETRY_S
    assert bounds.answered_recently(0.0, retry_s)


@hypothesis.given(
    st.integers(1, 400), st.sets(st.integers(0, 399)), st.sampled_from([2, 3])
)
def test_an_answered_daemon_gets_its_version_in_time(
    size: int, unanswered: set[int], apply_within_s: int
) -> None:
    """Its predecessors read the store; each read takes the reserved time."""
    bounds = _freshness.FreshnessBounds(apply_within_s)
    in_force_s: list[float] = []
    for position in range(size):
        answered = bool(position) and position not in unanswered
        stagger_s = bounds.stagger_s(position, answered)
        read_at_s = bounds.store_due_in_s(0.0, 0.0, stagger_s)
        own_s = read_at_s + _freshness.STORE_RESERVE_S
        in_force_s.append(
            min([own_s, *in_force_s[-1:]] if answered else [own_s])
        )
    assert max(in_force_s) <= apply_within_s + 0.001


def test_a_parent_can_be_chosen_while_the_view_is_locked() -> None:
    """A starting daemon chooses while it holds the view's lock.

    Another thread chooses at the same time: the two must not deadlock.
    """
    changed = threading.Condition()
    view = membership.View(changed)
    view.merge([domain_member(1)])
    parents = _parent_selector.ParentSelector(lambda: domain_member(7), view)

    def choose() -> None:
        parents.choose(confirmed=False)

    def choose_with_lock() -> None:
        with changed:
            view.merge([domain_member(2)])
            other_thread = threading.Thread(target=choose, daemon=True)
            other_thread.start()
            other_thread.join(0.2)
            choose()

    lock_holder = threading.Thread(target=choose_with_lock, daemon=True)
    lock_holder.start()
    lock_holder.join(5)
    assert not lock_holder.is_alive()
