"""Revoked keys: what confirms a version, and who is confirmed by peers."""

from __future__ import annotations

import collections.abc
import functools
import random
import threading
import time
import typing

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveroad import clock
from chiveroad import config
from chiveroad import control
from chiveroad.control import _follower
from chiveroad.control import _messages
from chiveroad.control import _peer_confirmations
from chiveroad.control import _source
from chiveroad import errors
from chiveroad import membership
from chiveroad import settings
from chiveroad import store
from standins import memory_store
from standins import mesh
from tests import fakes
from tests import test_follower

BOUND_S: typing.Final = 5.0
LIMIT_S: typing.Final = 4.35
"""The age of a confirmation at which requests with keys are refused."""

ERA: typing.Final = 1
_original_options = fakes.options


def _items(digests: tuple[str, ...] = ("d1",)) -> dict[str, str]:
    service = config.Service("glade", "t", 0, 10, 10, ("*",), {})
    customer = config.Customer("tusk", digests)
    return dict([config.service_item(service), config.customer_item(customer)])


def _value(number: int, digests: tuple[str, ...] = ("d1",)) -> object:
    return {"number": number, "items": _items(digests)}


@pytest.fixture(autouse=True)
def fail_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have all daemons of these tests refuse keys that aren't confirmed."""

    def options(*names: str, **more: str) -> settings.Settings:
        return msgspec.structs.replace(
            _original_options(*names, **more),
            customers=settings.Customers(fail_closed=True),
        )

    monkeypatch.setattr(fakes, "options", options)


class ScriptedStore(memory_store.MemoryStore):
    """A store that gives one answer, some time after it has read it."""

    def __init__(self) -> None:
        super().__init__()
        self.version = store.Revision(ERA, 60)
        self.value = _value(7)
        self.delay_s = 0.0
        self.waits = True
        self.changes = False
        self.read_s = 0.0

    def _answer(self) -> store.StoredObject:
        self.read_s = clock.now_s()
        time.sleep(self.delay_s)
        raw = msgspec.Raw(msgspec.json.encode(self.value))
        return store.StoredObject("main", self.version, raw)

    def get(self, kind: store.Kind, name: str) -> store.StoredObject:
        return self._answer()

    def watch(
        self, kind: store.Kind, version: store.Revision, timeout_s: float
    ) -> collections.abc.Iterator[store.Event]:
        if self.waits:
            time.sleep(timeout_s)
        answer = self._answer()
        if self.changes:
            yield store.Event(store.EventType.MODIFIED, answer.version, answer)
        yield store.Event(store.EventType.BOOKMARK, answer.version, None)


def _holding_seven(platform: store.Store) -> _follower.Follower:
    """Return a daemon with version 7 in force, confirmed long ago."""
    daemon = test_follower.FollowerDaemon("a", mesh.Ports(), platform)
    items = _items()
    daemon.node.applied.offer(
        7, config.digest(items), items, store.Revision(ERA, 60)
    )
    daemon.node.applied.confirm(1.0)
    return daemon.plane


READ: typing.Final = "read"
WATCH: typing.Final = "watch"


# Guards against a confirmation by an answer that doesn't show that the version
# in force is the newest, or as of a time after the store's reading.
@pytest.mark.parametrize(
    ("call", "changed", "confirms"),
    [
        (READ, {}, True),
        (READ, {"delay_s": 0.3}, True),
        (READ, {"value": _value(8), "version": (1, 61)}, True),
        (READ, {"value": _value(6), "version": (1, 59)}, False),
        (READ, {"value": _value(6), "version": (2, 40)}, True),
        (READ, {"value": _value(7, ("d2",)), "version": (2, 60)}, False),
        (WATCH, {}, True),
        (WATCH, {"waits": False}, True),
        (WATCH, {"waits": False, "delay_s": 0.3}, True),
        (WATCH, {"version": (1, 59)}, False),
        (
            WATCH,
            {"changes": True, "value": _value(8), "version": (1, 61)},
            True,
        ),
        (
            WATCH,
            {"changes": True, "value": _value(6), "version": (1, 59)},
            False,
        ),
        (
            WATCH,
            {
                "changes": True,
                "value": _value(8),
                "version": (1, 61),
                "delay_s": 0.3,
            },
            True,
        ),
    ],
)
def test_only_a_current_answer_confirms_and_not_later_than_it_was_read(
    call: str, changed: dict[str, typing.Any], confirms: bool
) -> None:
    platform = ScriptedStore()
    for name, value in changed.items():
        made = store.Revision(*value) if name == "version" else value
        setattr(platform, name, made)
    plane = _holding_seven(platform)
    applied = plane._node.applied
    began_s = clock.now_s()
    try:
        if call == READ:
            plane._read_version()
        else:
            plane._watch_versions(store.Revision(ERA, 60))
    except errors.StoreUnavailable:
        assert not confirms
    confirmed_s = applied.confirmed_s
    assert confirmed_s is not None
    assert confirms == (confirmed_s >= began_s)
    # A store that ends a wait early, and whose answer is late, can't be told
    # from one that waits; the margin of a confirmation covers the difference.
    slack_s = 0.0 if platform.waits else _follower.WATCH_VERSIONS_S
    assert confirmed_s <= platform.read_s + slack_s


# Guards against a confirmation that gets younger on its way to a child, with
# delays, a process that is suspended at any point, and late answers.
@hypothesis.given(
    st.lists(st.floats(0.0, 30.0), min_size=4, max_size=4),
    st.floats(0.0, 10.0),
    st.floats(0.0, 1.0),
)
def test_no_confirmation_gets_younger_between_daemons(
    pauses_s: list[float], age_s: float, unseen_share: float
) -> None:
    sent_s = 1_000.0
    received_s = sent_s + pauses_s[0]
    # The wait that the parent states leaves out suspensions of its machine,
    # and ends before it reads its confirmation.
    measured_s = received_s + pauses_s[1]
    read_s = measured_s + pauses_s[2]
    confirmed_s = read_s - age_s
    answer = _messages.ConfirmationAnswer(
        7,
        config.digest(_items()),
        confirmed_ago_ms=1000 * age_s,
        held_ms=int(1000 * (measured_s - received_s) * (1 - unseen_share)),
    )
    applied = control.Applied(threading.Condition(), confirmed_only=False)
    applied.offer(7, config.digest(_items()), _items())
    _source.adopt(applied, answer, sent_s, {})
    found_s = applied.confirmed_s
    assert found_s is not None and found_s <= confirmed_s + 1e-6


# Guards against a confirmation that a peer gives for another version.
@pytest.mark.parametrize(
    ("number", "digests", "confirms"),
    [
        (6, ("d1",), True),
        (7, ("d1",), True),
        (7, ("d2",), False),
        (8, ("d2",), False),
    ],
)
def test_peer_confirms_only_the_version_that_it_states(
    number: int, digests: tuple[str, ...], confirms: bool
) -> None:
    applied = control.Applied(threading.Condition(), confirmed_only=False)
    applied.offer(7, config.digest(_items()), _items())
    digest = config.digest(_items(digests))
    answer = _messages.ConfirmationAnswer(number, digest, confirmed_ago_ms=5)
    _source.adopt(applied, answer, 50.0, _items())
    assert (applied.confirmed_s is not None) == confirms


# Guards against a process that takes the confirmation of its earlier run over.
def test_restarted_daemon_holds_no_confirmation() -> None:
    applied = control.Applied(threading.Condition(), confirmed_only=False)
    applied.offer(7, config.digest(_items()), _items())
    assert applied.confirmed_s is None


# Guards against peers that are asked without need, and daemons that ask
# themselves or those that are gone.
def test_peers_are_asked_only_when_a_confirmation_is_old() -> None:
    node = control.Node(fakes.member("a"), recorded=True)
    seeking = _peer_confirmations.PeerConfirmations(node, BOUND_S)
    assert seeking.is_due(0.0)
    items = _items()
    node.applied.offer(7, config.digest(items), items)
    assert seeking.is_due(0.0)
    node.applied.confirm(100.0)
    assert not seeking.is_due(101.4)
    assert seeking.is_due(101.6)
    without = config.service_item(
        config.Service("glade", "t", 0, 10, 10, ("*",), {})
    )
    other = control.Node(fakes.member("a"), recorded=True)
    other.applied.offer(1, config.digest(dict([without])), dict([without]))
    seeking = _peer_confirmations.PeerConfirmations(other, BOUND_S)
    assert not seeking.is_due(1_000.0)


# Guards against a peer that can't answer, and a daemon that asks itself.
def test_a_peer_is_alive_and_another_daemon() -> None:
    gone = fakes.member("b", state=membership.State.GONE)
    own, *others = (fakes.member(name) for name in "acd")
    rng = random.Random(1)
    chosen = set()
    for _ in range(50):
        peer = _peer_confirmations.choose_peer(own, [gone, own, *others], rng)
        assert peer is not None
        chosen.add(peer.instance)
    assert chosen == {"c", "d"}
    assert _peer_confirmations.choose_peer(own, [gone, own], rng) is None


def _ages_s(
    followers: dict[str, test_follower.FollowerDaemon], names: str
) -> dict[str, float]:
    now_s = clock.now_s()
    return {
        name: now_s - (followers[name].node.applied.confirmed_s or 0.0)
        for name in names
    }


# Guards against daemons whose requests with keys are refused while the store
# answers some of their peers: the first ones of the tree, which have none to
# follow, and those whose parents are all turned away as well.
@pytest.mark.parametrize("served", ["h", "g", "a", "de"])
def test_daemons_that_the_store_turns_away_are_confirmed_by_peers(
    served: str,
) -> None:
    names = "abcdefgh"
    with test_follower.fleet(names) as (shared, store_links, followers):
        store.overwrite(shared, store.Kind.ACCEPTED, "main", _value(4))
        for follower in followers.values():
            follower.start()
        test_follower.wait_for(
            lambda: all(f.has_version(4) for f in followers.values())
            and all(
                len(f.node.view.all()) == len(names)
                for f in followers.values()
            )
            and max(_ages_s(followers, names).values()) < 1.0
        )
        for name in names:
            store_links[name].cut = name not in served
        oldest_s = 0.0
        end_s = time.monotonic() + 2 * BOUND_S
        while time.monotonic() < end_s:
            oldest_s = max(oldest_s, *_ages_s(followers, names).values())
            time.sleep(0.02)
        assert oldest_s < LIMIT_S
        # A version that revokes a key reaches all of them in that time, too.
        store.overwrite(shared, store.Kind.ACCEPTED, "main", _value(5, ()))
        accepted_s = clock.now_s()
        while clock.now_s() - accepted_s < BOUND_S:
            for name in names:
                applied = followers[name].node.applied
                confirmed_s = applied.confirmed_s or 0.0
                if applied.current.number < 5:
                    assert confirmed_s <= accepted_s + 0.6
            time.sleep(0.02)
        assert all(f.has_version(5) for f in followers.values())
        # Without any path to the store no confirmation gets younger.
        for name in names:
            store_links[name].cut = True
        time.sleep(LIMIT_S + 0.7)
        assert min(_ages_s(followers, names).values()) >= LIMIT_S


# Guards against a daemon that starts while the store turns it away and that
# no daemon precedes: nobody would send it the version.
def test_first_daemon_that_starts_turned_away_gets_the_version() -> None:
    with test_follower.fleet("abc") as (shared, store_links, followers):
        store.overwrite(shared, store.Kind.ACCEPTED, "main", _value(4))
        for name in "bc":
            followers[name].start()
        test_follower.wait_for(
            lambda: all(followers[name].has_version(4) for name in "bc")
        )
        store_links["a"].cut = True
        followers["a"].start()
        # Others learn of it from its earlier record.
        for name in "bc":
            followers[name].node.merge([followers["a"].node.member])
        followers["a"].node.merge(
            [followers[name].node.member for name in "bc"]
        )
        test_follower.wait_for(
            functools.partial(followers["a"].has_version, 4)
        )
        test_follower.wait_for(lambda: _ages_s(followers, "a")["a"] < LIMIT_S)
