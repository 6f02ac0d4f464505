"""The control plane's decisions, as tables."""

from __future__ import annotations

import random
import threading
import time
import types
import typing

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import config
from chiveroad.control import _agent
from chiveroad.control import _applied
from chiveroad.control import _failure_detector
from chiveroad.control import _lease
from chiveroad.control import _merger
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _plan
from chiveroad.control import _source
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import membership
from chiveroad import store
from tests import fakes

STATES: typing.Final = membership.State


def seen(holder: str, since_s: float) -> _lease.Observed:
    """Return a lease as it was seen."""
    record = _lease.Record(holder, holder.partition(":")[0], "a", 1)
    return _lease.Observed(record, 7, since_s)


@pytest.mark.parametrize(
    ("observed", "step"),
    [
        (None, _lease.Step.TAKE),
        (seen("", 100), _lease.Step.TAKE),
        (seen("n1:2", 100), _lease.Step.KEEP),
        (seen("n1:1", 100), _lease.Step.WAIT),
        (seen("n1:1", 95.9), _lease.Step.TAKE),
        (seen("n2:1", 96.1), _lease.Step.WAIT),
        (seen("n2:1", 96.0), _lease.Step.TAKE),
    ],
)
def test_lease_decision(
    observed: _lease.Observed | None, step: _lease.Step
) -> None:
    assert _lease.decide(observed, "n1:2", 100.0) is step


def new_contender(
    platform: store.Store, clock: fakes.Clock, holder: str
) -> _lease.LeaseContender:
    """Return a contender."""
    record = _lease.Record(holder, holder, holder, 0)
    return _lease.LeaseContender(platform, "x", record, clock=clock)


def test_a_paused_holder_knows_that_its_lease_lapsed() -> None:
    platform, clock = fakes.FaultyStore(), fakes.Clock()
    first = new_contender(platform, clock, "a:1")
    second = new_contender(platform, clock, "b:1")
    first.step()
    second.step()
    clock.now_s += _lease.DURATION_S
    assert not first.held
    second.step()
    assert second.held
    first.step()
    assert not first.acting


def test_a_far_contender_gives_near_ones_their_time() -> None:
    platform, clock = fakes.FaultyStore(), fakes.Clock()
    record = _lease.Record("far:1", "far", "far", 0)
    far = _lease.LeaseContender(
        platform, "x", record, takeover_delay_s=6.0, clock=clock
    )
    far.step()
    clock.now_s += 5.9
    far.step()
    assert not far.acting
    new_contender(platform, clock, "near:1").step()
    far.step()
    clock.now_s += _lease.DURATION_S
    far.step()
    clock.now_s += 5.9
    far.step()
    assert not far.acting
    clock.now_s += 0.1
    far.step()
    assert far.held


@pytest.mark.parametrize(("lose", "drop"), [(1, 0), (0, 1)])
def test_a_lost_answer_is_read_back(lose: int, drop: int) -> None:
    platform, clock = fakes.FaultyStore(), fakes.Clock()
    contender = new_contender(platform, clock, "a:1")
    platform.lose, platform.drop = lose, drop
    contender.step()
    assert not contender.held
    contender.step()
    assert contender.held
    assert platform.get(store.Kind.LEASES, "x").version == 1 + lose


def test_an_outage_leaves_a_holder_acting_but_unsure() -> None:
    platform, clock = fakes.FaultyStore(), fakes.Clock()
    holder = new_contender(platform, clock, "a:1")
    holder.step()
    platform.down = True
    clock.now_s += 60
    holder.step()
    assert holder.acting
    assert not holder.held
    platform.down = False
    holder.step()
    assert holder.held


@pytest.mark.parametrize(
    ("offered", "verdict"),
    [
        ((4, "x"), _applied.VersionOrder.NEWER),
        ((3, "d"), _applied.VersionOrder.SAME),
        ((3, "x"), _applied.VersionOrder.CONTRADICTS),
        ((2, "d"), _applied.VersionOrder.OLDER),
    ],
)
def test_only_greater_versions_are_taken(
    offered: tuple[int, str], verdict: _applied.VersionOrder
) -> None:
    assert _applied.compare_versions((3, "d"), offered) is verdict


def test_a_version_with_another_digest_is_not_applied() -> None:
    applied = _applied.Applied(threading.Condition())
    with pytest.raises(errors.DigestMismatch):
        applied.offer(1, "no such digest", {})
    assert applied.current.number == 0


def test_a_version_that_cannot_be_read_leaves_the_one_in_force() -> None:
    applied = _applied.Applied(threading.Condition())
    items = {"service/x": '{"made by": "a later release"}'}
    with pytest.raises(errors.BadMessage):
        applied.offer(1, config.digest(items), items)
    assert applied.current.number == 0


def test_a_fresh_process_is_ready_only_after_a_later_confirmation() -> None:
    applied = _applied.Applied(threading.Condition())
    applied.offer(5, config.digest({}), {})
    applied.confirm(applied._started_s - 1)
    assert not applied.ready
    applied.confirm(applied._started_s + 1)
    assert applied.ready


def test_a_delta_that_does_not_fit_is_dropped_for_the_snapshot() -> None:
    platform = fakes.FaultyStore()
    session = _merger.Session(platform)
    for slots in (1, 2):
        text = (
            f'team = "a"\n[service.x]\nslots = {slots}\n'
            "[service.x.kind.k]\nidempotent = true\n"
        )
        _put_file(platform, text)
        session = _merger.Session(platform)
        session.merge()
    node = _node.Node(fakes.member())
    # Version 1 here has other content than what the delta was made from.
    node.applied.offer(1, config.digest({}), {})
    _source.StoreSource(platform, node).read()
    assert node.applied.current.number == 2
    assert node.applied.config.services["x"].slots == 2


def test_a_change_of_comments_alone_is_never_to_blame() -> None:
    platform = fakes.FaultyStore()
    owner = (
        'team = "a"\n[service.x]\nslots = 1\n'
        "[service.x.kind.k]\nidempotent = true\n"
    )
    user = 'team = "b"\n[route.r]\npath = "/r"\nservice = "x"\nkind = "k"\n'
    _put_file(platform, owner)
    store.overwrite(platform, store.Kind.FILES, "b.toml", {"text": user})
    session = _merger.Session(platform)
    session.merge()
    for name, text in (("b.toml", f"# why\n{user}"), ("a.toml", 'team = "a"')):
        stored = store.overwrite(
            platform, store.Kind.FILES, name, {"text": text}
        )
        added = store.EventType.MODIFIED
        session._apply_event(store.Event(added, stored.version, stored))
        session.merge()
    status = msgspec.json.decode(
        platform.get(store.Kind.STATUSES, "files").spec,
        type=_merger.FolderStatus,
    )
    refused = [file.file for file in status.files if file.code]
    assert refused == ["a.toml"]


def test_an_object_that_is_no_file_gets_a_verdict_like_any_other() -> None:
    platform = fakes.FaultyStore()
    _put_file(platform, 'team = "a"\n')
    platform.put(store.Kind.FILES, "odd.toml", [1, 2], store.ABSENT)
    platform.put(store.Kind.FILES, "Odd name", {"text": ""}, store.ABSENT)
    _merger.Session(platform).merge()
    status = msgspec.json.decode(
        platform.get(store.Kind.STATUSES, "files").spec,
        type=_merger.FolderStatus,
    )
    codes = {file.file: file.code for file in status.files}
    assert codes == {
        "a.toml": 0,
        "odd.toml": errors.FileSyntax.code,
        "Odd name": errors.FileName.code,
    }


def test_a_background_thread_outlives_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_threads, "RESTART_DELAY_S", 0.0)
    done = threading.Event()
    calls = iter([ValueError("odd"), None])

    def work() -> None:
        error = next(calls)
        if error is not None:
            raise error
        done.set()

    _threads.start("odd work", work)
    assert done.wait(5)


def _put_file(platform: store.Store, text: str) -> None:
    store.overwrite(platform, store.Kind.FILES, "a.toml", {"text": text})


words = st.builds(
    fakes.member,
    st.sampled_from(["a", "b"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.sampled_from(STATES),
)


@hypothesis.given(st.lists(words, max_size=8), st.randoms())
def test_views_agree_whatever_the_order_of_words(
    heard: list[membership.Member], rng: random.Random
) -> None:
    # A member says one thing at a time; only a parent adds DEAD to it.
    said: dict[object, membership.Member] = {}
    for word in heard:
        dead = word.state is STATES.DEAD
        key = (word.instance, word.incarnation, word.sequence, dead)
        said.setdefault(key, word)
    one = membership.View(threading.Condition())
    other = membership.View(threading.Condition())
    one.merge(said.values())
    shuffled = list(said.values()) * 2
    rng.shuffle(shuffled)
    for word in shuffled:
        other.merge([word])
    assert one.all() == other.all()


def test_a_member_refutes_its_own_death_and_keeps_its_state() -> None:
    node = _node.Node(fakes.member(incarnation=3))
    node.merge([membership.declared_dead(node.member)])
    assert node.member.state is STATES.READY
    assert node.view.get("glade-1") == node.member
    assert node.member in node.pending_updates()


def test_draining_overtakes_and_stays() -> None:
    node = _node.Node(fakes.member("b"))
    node.merge([fakes.member("a", 1, 2, STATES.DRAINING)])
    node.merge([fakes.member("a", 1, 1, STATES.READY)])
    assert [m.instance for m in node.view.of_service("glade")] == ["b"]


@pytest.mark.parametrize(
    ("heard", "now", "connected", "dead", "cut_off"),
    [
        ({"a": 0, "b": 9, "c": 9}, 10, False, ("a",), False),
        ({"a": 0, "b": 0, "c": 0}, 10, False, (), True),
        ({"a": 0, "b": 0, "c": 0}, 10, True, (), True),
        ({"a": 0, "b": 0, "c": 0}, 13, True, ("a", "b", "c"), False),
        ({"a": 0}, 10, False, ("a",), False),
        ({"a": 7, "b": 9}, 10, False, (), False),
    ],
)
def test_who_is_dead(
    heard: dict[str, float],
    now: float,
    connected: bool,
    dead: tuple[str, ...],
    cut_off: bool,
) -> None:
    detection = membership.detect_failures(heard, now, 4.0, connected)
    assert (detection.dead, detection.isolated) == (dead, cut_off)


@hypothesis.given(st.integers(1, 400), st.integers(2, 20))
def test_the_tree_reaches_all_with_bounded_fan_out(
    count: int, fan_out: int
) -> None:
    names = [f"n{number:04d}" for number in range(count)]
    relay = names[count // 2]
    children: dict[str, int] = {}
    for name in names:
        steps, at = 0, name
        while at != relay:
            at = membership.parent(at, relay, names, fan_out)
            steps += 1
            assert steps <= membership.depth(count, fan_out)
        for below in membership.children(name, relay, names, fan_out):
            assert membership.parent(below, relay, names, fan_out) == name
        if name != relay:
            above = membership.parent(name, relay, names, fan_out)
            children[above] = children.get(above, 0) + 1
    assert all(number <= fan_out for number in children.values())


def situation(**changes: object) -> _plan.Situation:
    """Return a situation with some fields changed."""
    values: dict[str, object] = {
        "planned": "p",
        "ancestors": ["g"],
        "peers": ["a", "m", "z"],
        "failed_s": {},
        "own_address": "m",
        "now_s": 10.0,
    }
    return _plan.Situation(**{**values, **changes})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "chosen"),
    [
        ({}, "p"),
        ({"failed_s": {"p": 9.5}}, "g"),
        ({"failed_s": {"p": 8.0}}, "p"),
        ({"failed_s": {"p": 9.5, "g": 9.5}}, "a"),
        ({"failed_s": {"p": 9.5, "g": 9.5}, "relay": True}, ""),
        ({"planned": "", "ancestors": [], "relay": True}, ""),
        ({"planned": "m", "ancestors": [], "peers": ["m", "z"]}, ""),
    ],
)
def test_whom_to_ask(changes: dict[str, object], chosen: str) -> None:
    assert _plan.choose_parent(situation(**changes)) == chosen


@pytest.mark.parametrize(
    ("unresponsive_s", "instance", "contends"),
    [
        (0.5, "b", False),
        (2.0, "b", True),
        (2.0, "d", True),
        (2.0, "e", False),
        (9.0, "e", True),
    ],
)
def test_only_a_few_contend_at_first(
    unresponsive_s: float, instance: str, contends: bool
) -> None:
    living = ["a", "b", "c", "d", "e", "f"]
    assert _plan.contends(unresponsive_s, instance, living, "a") is contends


def test_a_relay_gives_up_a_parent_that_no_longer_leads() -> None:
    """Soak seeds 9, 18, 22: a leader is restarted, and another is relay.

    The record still named the one, who followed the other: both waited for
    each other's news for ever, as each was answered.
    """
    options = fakes.options("relay", domain="wyre")
    node = _node.Node(fakes.member("relay"))
    agent = _agent.Agent(options, fakes.FaultyStore(), node)
    answer = _messages.SyncAnswer(
        source="restarted",
        epoch=1,
        version=0,
        digest="",
        relay="relay",
    )
    agent._relay.acting = True
    agent._parent = _Answering(node, answer)
    agent._sync("127.0.0.1:9", planned=True)
    assert "127.0.0.1:9" in agent._failed_s
    assert agent.parent != "127.0.0.1:9"
    agent._parent = _Answering(
        node, msgspec.structs.replace(answer, leads=True)
    )
    agent._sync("127.0.0.1:9", planned=True)
    assert "127.0.0.1:9" not in agent._failed_s


class _Answering(_source.ParentSource):
    """A parent that gives one answer."""

    def __init__(self, node: _node.Node, answer: _messages.SyncAnswer) -> None:
        super().__init__(node)
        self._given = answer

    def sync(
        self,
        address: str,
        hold_ms: int,
        unconfirmed: bool,
        region: bool = False,
    ) -> _messages.SyncAnswer:
        """Return the answer."""
        return self._given


def test_the_status_of_a_large_folder_keeps_the_refused_files() -> None:
    verdicts = [
        config.Verdict(f"{number}.toml", 1, 1) for number in range(5_000)
    ]
    verdicts.append(config.Verdict("z.toml", 1, 0, 2001, 1, "x" * 999))
    status = _merger.status_of(1, 1, verdicts)
    assert status.files[0].file == "z.toml"
    assert status.omitted == 5_001 - _merger.MAX_VERDICTS
    platform = fakes.FaultyStore()
    platform.put(store.Kind.STATUSES, "files", status, store.ABSENT)


# A relay that was stopped took the daemons that report to it for dead.
def test_a_judge_that_was_stopped_hears_its_children_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 1000.0
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    node = _node.Node(fakes.member("a"))
    node.merge([fakes.member("b")])
    contender = types.SimpleNamespace(held=False)
    detector = _failure_detector.FailureDetector(
        node, typing.cast(_lease.LeaseContender, contender)
    )

    def look(from_s: float, until_s: float) -> bool:
        nonlocal now_s
        now_s = from_s
        while now_s <= until_s:
            detector.tick("a")
            now_s += 0.5
        member = node.view.get("b")
        return member is not None and member.alive

    assert look(1000.0, 1003.0)
    assert look(1060.0, 1063.0)
    assert not look(1063.5, 1065.0)
