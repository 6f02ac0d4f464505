"""Requests under which targets end are kept away from further targets."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import threading
import time
import typing

import msgspec
import pytest

from chiveroad.cli import _quarantine as _cli
from chiveroad import connection
from chiveroad import errors
from chiveroad import membership
from chiveroad import metrics
from chiveroad import presence
from chiveroad.traffic import _quarantine
from chiveroad.traffic import _suspects
from chiveroad.traffic import _target_ends
from chiveroad import wire
from standins import caller
from standins import mesh
from standins import target
from tests import fakes
from tests import test_exchange

ADMITTED: typing.Final = _suspects.Decision.ADMITTED
NOT_SUSPECT: typing.Final = _suspects.Decision.NOT_SUSPECT
REFUSED: typing.Final = _suspects.Decision.REFUSED
WAIT: typing.Final = _suspects.Decision.WAIT

Event = tuple[float, str, str]
"""The time in seconds, the content, and the target that ended; an empty name
stands for an answer."""


def _after(events: collections.abc.Iterable[Event]) -> _suspects.Suspects:
    suspects = _suspects.Suspects()
    for at_s, content, ended in events:
        suspects.expire(at_s)
        if ended:
            suspects.target_ended(content, ended, at_s, {})
        else:
            suspects.clear(content)
    return suspects


def _herd(targets: int, contents: int) -> list[Event]:
    """Targets end one second apart; each runs some contents once."""
    return [
        (float(number), f"c{number}-{content}", f"t{number}")
        for number in range(targets)
        for content in range(contents)
    ]


@pytest.mark.parametrize(
    ("events", "at_s", "decision"),
    [
        pytest.param([], 0, NOT_SUSPECT, id="nothing has ended"),
        pytest.param([(0, "c", "t1")], 1, ADMITTED, id="one end"),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t2")], 2, ADMITTED, id="two ends"
        ),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t2"), (2, "c", "t3")],
            3,
            REFUSED,
            id="three ends",
        ),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t1"), (2, "c", "t1")],
            3,
            ADMITTED,
            id="one end that is reported three times",
        ),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t2"), (2, "c", ""), (3, "c", "t3")],
            4,
            ADMITTED,
            id="answered in between",
        ),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t2"), (2, "d", ""), (3, "c", "t3")],
            4,
            REFUSED,
            id="another content was answered",
        ),
        pytest.param(
            [(0, "c", "t1"), (1, "c", "t2"), (90, "c", "t3")],
            91,
            ADMITTED,
            id="the ends are long ago",
        ),
        pytest.param(
            [*_herd(9, 12), (9, "c8-1", "t9")],
            10,
            NOT_SUSPECT,
            id="many targets end, each under other contents",
        ),
    ],
)
def test_decision_on_a_content(
    events: list[Event], at_s: float, decision: _suspects.Decision
) -> None:
    assert _after(events).decide("c", at_s) is decision


# Guards against a popular page that is refused as it runs on every target.
def test_popular_content_is_never_refused_while_it_is_answered() -> None:
    suspects = _suspects.Suspects()
    for number in range(100):
        suspects.target_ended("page", f"t{number}", number, {})
        assert suspects.decide("page", number) is ADMITTED
        suspects.clear("page")


def test_many_contents_are_quarantined_side_by_side() -> None:
    suspects = _after(
        (float(end), f"c{content}", f"t{content}-{end}")
        for end in range(3)
        for content in range(20)
    )
    for content in range(20):
        assert suspects.decide(f"c{content}", 3.0) is REFUSED
    assert suspects.decide("other", 3.0) is NOT_SUSPECT


def test_attempts_at_once_end_no_more_targets_than_allowed() -> None:
    suspects = _after([(0, "c", "t1")])
    suspect = suspects.get("c")
    assert suspect is not None
    suspect.in_progress = 2
    assert suspects.decide("c", 1.0) is WAIT
    suspects.target_ended("c", "t2", 1.0, {})
    suspect.in_progress = 1
    assert suspects.decide("c", 1.0) is WAIT
    suspect.in_progress = 0
    assert suspects.decide("c", 1.0) is ADMITTED


def test_quarantine_ends_with_one_attempt_and_doubles() -> None:
    suspects = _after((0.0, "c", f"t{end}") for end in range(3))
    suspect = suspects.get("c")
    assert suspect is not None
    after_s = _suspects.QUARANTINE_S + 1
    assert suspects.decide("c", after_s - 2) is REFUSED
    assert suspects.decide("c", after_s) is ADMITTED
    suspect.in_progress = 1
    assert suspects.decide("c", after_s) is WAIT
    change = suspects.target_ended("c", "t4", after_s, {})
    assert change is _suspects.Change.EXTENDED
    again_s = after_s + 2 * _suspects.QUARANTINE_S
    assert suspects.decide("c", again_s - 1) is REFUSED
    suspect.in_progress = 0
    assert suspects.decide("c", again_s + 1) is ADMITTED
    assert not suspects.expire(again_s + 1)
    assert suspects.expire(again_s + 2 * _suspects.QUARANTINE_S + 1)


def test_number_of_suspects_is_bounded() -> None:
    suspects = _after(
        (number / 1000, f"c{number}", "t")
        for number in range(2 * _suspects.MAX_SUSPECTS)
    )
    assert len(suspects) == _suspects.MAX_SUSPECTS
    assert suspects.get("c0") is None


# Guards against a quarantine that is forgotten for contents that ran once
# while a target ended.
def test_quarantined_content_is_dropped_last() -> None:
    suspects = _after((0.0, "c", f"t{end}") for end in range(3))
    for number in range(2 * _suspects.MAX_SUSPECTS):
        suspects.target_ended(f"c{number}", "t", 1 + number / 1000, {})
    assert len(suspects) == _suspects.MAX_SUSPECTS
    assert suspects.decide("c", 4.0) is REFUSED


def _versions(*running: str) -> dict[str, frozenset[str]]:
    return {"glade": frozenset(running), "hollow": frozenset({"v1"})}


@pytest.mark.parametrize(
    ("before", "now", "service", "decision"),
    [
        pytest.param(["v1"], ["v1"], "glade", REFUSED, id="none new"),
        pytest.param(["v1"], ["v2"], "glade", ADMITTED, id="all new"),
        pytest.param(["v1"], ["v1", "v2"], "glade", REFUSED, id="some new"),
        pytest.param(["v1", "v2"], ["v2"], "glade", REFUSED, id="one gone"),
        pytest.param(["v1"], ["v2"], "hollow", REFUSED, id="other service"),
        pytest.param(["v1"], ["v2", ""], "glade", REFUSED, id="one unknown"),
        pytest.param([""], ["v2"], "glade", REFUSED, id="unknown before"),
        pytest.param(["v1"], [], "glade", REFUSED, id="none running"),
        pytest.param(["v1"], ["v2"], "none", REFUSED, id="unknown service"),
    ],
)
def test_quarantine_ends_once_all_targets_run_another_version(
    before: list[str],
    now: list[str],
    service: str,
    decision: _suspects.Decision,
) -> None:
    suspects = _suspects.Suspects()
    for end in range(_suspects.MAX_ENDS):
        suspects.target_ended("c", f"t{end}", 0.0, _versions(*before))
    ended = suspects.shorten_if_replaced("c", service, _versions(*now), 1.0)
    assert ended is (decision is ADMITTED)
    assert suspects.decide("c", 1.0) is decision
    if ended:
        change = suspects.target_ended("c", "t9", 2.0, _versions(*now))
        assert change is _suspects.Change.EXTENDED
        assert not suspects.shorten_if_replaced(
            "c", service, _versions(*now), 3.0
        )


# Guards against one attempt of each daemon at the end of a quarantine, each
# of which ends a target.
def test_daemons_without_an_own_end_try_later() -> None:
    suspects = _suspects.Suspects()
    for end in range(_suspects.MAX_ENDS):
        suspects.target_ended("c", f"t{end}", 0.0, _versions("v1"), own=False)
    assert suspects.shorten_if_replaced("c", "glade", _versions("v2"), 1.0)
    assert suspects.decide("c", 1.0) is REFUSED
    assert not suspects.shorten_if_replaced("c", "glade", _versions("v2"), 2.0)
    later_s = 1.0 + _suspects.OTHERS_DELAY_S
    assert suspects.decide("c", later_s) is ADMITTED
    # The attempt of another daemon has ended a target.
    suspects.target_ended("c", "t9", later_s, _versions("v2"), own=False)
    assert suspects.decide("c", later_s) is REFUSED


class _Daemons:
    """Entries' quarantines that learn of each other by their records."""

    def __init__(self, names: str) -> None:
        self._condition = threading.Condition()
        self._view = membership.View(self._condition)
        self._sequence = 1
        self.quarantines = {
            name: _quarantine.Quarantine(self._view, metrics.Recorder())
            for name in names
        }
        for name, quarantine in self.quarantines.items():
            quarantine.publish = self._publisher(name)

    def _publisher(self, name: str) -> _quarantine.Publish:
        def publish(suspects: tuple[membership.RecordedSuspect, ...]) -> None:
            self._sequence += 1
            member = fakes.member(name, 1, self._sequence, service="hollow")
            self._view.merge(
                [msgspec.structs.replace(member, suspects=suspects)]
            )

        return publish

    def restart(self, name: str) -> None:
        """Replace a daemon's quarantine by one that inherits its suspects."""
        (former,) = (
            member.suspects
            for member in self._view.all()
            if member.instance == name
        )
        self._publisher(name)(())
        for quarantine in self.quarantines.values():
            quarantine.tick()
        restarted = _quarantine.Quarantine(self._view, metrics.Recorder())
        restarted.publish = self._publisher(name)
        self.quarantines[name] = restarted
        restarted.inherit(former)

    def run(self, service: str, version: str) -> None:
        """Let a target of a service run a version of its software."""
        self._sequence += 1
        member = fakes.member("target", 1, self._sequence)
        self._view.merge(
            [
                msgspec.structs.replace(
                    member, service=service, software_version=version
                )
            ]
        )

    def end(self, name: str, *targets: str) -> None:
        """End targets one after the other, under attempts of one daemon."""
        quarantine = self.quarantines[name]
        for ended in targets:
            call = test_exchange.call(b"body")
            suspect = quarantine.admit(call)
            quarantine.target_ended(call, ended)
            if suspect is not None:
                quarantine.release(suspect)

    def refused(self, name: str, body: bytes = b"body") -> bool:
        """Return whether a daemon refuses a request."""
        try:
            suspect = self.quarantines[name].admit(test_exchange.call(body))
        except errors.Quarantined:
            return True
        if suspect is not None:
            self.quarantines[name].release(suspect)
        return False


def test_ends_at_several_entries_add_up() -> None:
    daemons = _Daemons("abc")
    daemons.end("a", "t1", "t2")
    assert not daemons.refused("b")
    daemons.end("b", "t3")
    for name in "abc":
        assert daemons.refused(name)
        assert not daemons.refused(name, b"other")


def test_one_end_is_not_told_to_others() -> None:
    daemons = _Daemons("ab")
    daemons.end("a", "t1")
    assert daemons.quarantines["a"].all()
    daemons.refused("b")
    assert not daemons.quarantines["b"].all()


def test_own_record_does_not_bring_back_a_content_that_was_answered() -> None:
    daemons = _Daemons("ab")
    daemons.end("a", "t1", "t2")
    daemons.quarantines["a"].answered(test_exchange.call(b"body"))
    daemons.refused("a")
    assert not daemons.quarantines["a"].all()


# Guards against a content that is suspect again, though it was answered.
def test_restarted_daemon_does_not_bring_back_a_content_elsewhere() -> None:
    daemons = _Daemons("ab")
    daemons.end("a", "t1", "t2", "t3")
    assert daemons.refused("b")
    daemons.quarantines["b"].answered(test_exchange.call(b"body"))
    daemons.restart("a")
    assert not daemons.refused("b")
    assert daemons.refused("a")
    assert not daemons.refused("b")


# Guards against a daemon whose record is ignored, as it names more ends than
# a record may.
def test_record_stays_valid_however_many_targets_end() -> None:
    daemons = _Daemons("a")
    quarantine = daemons.quarantines["a"]
    published: list[tuple[membership.RecordedSuspect, ...]] = []
    quarantine.publish = published.append
    for number in range(100):
        for body in (b"body", b"%d" % number):
            quarantine.target_ended(test_exchange.call(body), f"t{number}")
            quarantine.target_ended(test_exchange.call(body), f"u{number}")
    assert len(quarantine.all()) == 101
    record = msgspec.structs.replace(fakes.member(), suspects=published[-1])
    assert not record.defect()
    assert len(record.suspects) == membership.MAX_SUSPECTS


def test_lifted_quarantine_admits_the_content() -> None:
    daemons = _Daemons("a")
    daemons.end("a", "t1", "t2", "t3")
    assert daemons.refused("a")
    ((content, _),) = daemons.quarantines["a"].all()
    assert daemons.quarantines["a"].lift(content)
    assert not daemons.quarantines["a"].lift(content)
    assert not daemons.refused("a")


def test_new_version_of_a_service_ends_its_quarantine() -> None:
    daemons = _Daemons("a")
    daemons.run("glade", "v1")
    daemons.end("a", "t1", "t2", "t3")
    assert daemons.refused("a")
    daemons.run("glade", "v2")
    assert not daemons.refused("a")


def test_attempt_waits_for_the_one_before_it() -> None:
    daemons = _Daemons("a")
    daemons.end("a", "t1", "t2")
    quarantine = daemons.quarantines["a"]
    first = quarantine.admit(test_exchange.call(b"body"))
    assert first is not None
    outcomes: list[bool] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(daemons.refused("a"))
    )
    thread.start()
    time.sleep(0.1)
    assert not outcomes
    quarantine.target_ended(test_exchange.call(b"body"), "t3")
    quarantine.release(first)
    thread.join(5.0)
    assert outcomes == [True]


def test_waiting_attempt_ends_with_its_deadline() -> None:
    daemons = _Daemons("a")
    daemons.end("a", "t1", "t2")
    quarantine = daemons.quarantines["a"]
    assert quarantine.admit(test_exchange.call(b"body")) is not None
    with pytest.raises(errors.DeadlineExceeded):
        quarantine.admit(test_exchange.call(b"body", left_s=0.2))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [0, 10, 300_000])
def test_content_depends_on_the_request_alone(
    size: int, chunked: bool
) -> None:
    body = b"x" * size
    content = _quarantine.content_of(test_exchange.call(body, chunked))
    assert content == _quarantine.content_of(test_exchange.call(body, chunked))
    longer = test_exchange.call(b"y" + body, chunked)
    assert content != _quarantine.content_of(longer)
    elsewhere = test_exchange.call(body, chunked)
    elsewhere.headers = [("host", "h2")]
    assert content != _quarantine.content_of(elsewhere)
    for change in ({"method": "GET"}, {"uri": "/x?y"}):
        changed = test_exchange.call(body, chunked)
        for name, value in change.items():
            setattr(changed, name, value)
        assert content != _quarantine.content_of(changed)


def test_each_end_of_a_target_without_an_id_has_a_name_of_its_own() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        ends = _target_ends.TargetEnds(presence.LocalTarget(address), address)
        first, beside = ends.recipient(), ends.recipient()
        assert not ends.name_end(first)
    name = ends.name_end(first)
    assert name
    assert ends.name_end(beside) == name
    later = ends.recipient()
    assert ends.name_end(later) not in ("", name)
    assert ends.name_end(beside) == name


# Guards against a request that waits while its target is replaced, and whose
# own target then only breaks off the answer.
def test_target_that_was_replaced_before_a_request_has_not_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        local = presence.LocalTarget(address)
        ends = _target_ends.TargetEnds(local, address)
        before = ends.recipient()
        local.receive(
            wire.Heartbeat(
                "i-2", "glade", address, wire.TargetState.READY, 1, 1_000, 12
            )
        )
        assert ends.name_end(before)
        assert not ends.name_end(ends.recipient())


SIX_INSTANCES: typing.Final = mesh.Deployment(
    "six", "r", {"r": ["a"]}, {"glade": 6}
)
SERVICE_FILE: typing.Final = """
team = "schools"
[service.glade]
slots = 4
queue_length = 8
open_to = ["*"]
[service.glade.kind.read]
weight = 2
idempotent = true
timeout_ms = 3000
max_attempts = 2
[route.read]
path = "/read/"
service = "glade"
kind = "read"
"""


@contextlib.contextmanager
def _six_instances(mode: target.Mode) -> collections.abc.Iterator[mesh.Mesh]:
    with mesh.Mesh(SIX_INSTANCES) as running:
        running.start()
        running.push_file("10-glade.toml", SERVICE_FILE)
        running.wait_in_force(1)
        for name in running.instances:
            running.wait_for_target(name)
            running.set_mode(name, mode)
        yield running


def _ended(running: mesh.Mesh) -> int:
    """Return how many targets have ended."""
    return sum(
        running.processes[f"upstream {name}"].poll() is not None
        for name in running.instances
    )


def _call(running: mesh.Mesh, name: str, page: str) -> caller.Result:
    """Make the same request at any entry."""
    headers = {"Host": "glade.example"}
    return running.caller(name).call("GET", f"/read/{page}", headers=headers)


def _wait_for_quarantine(running: mesh.Mesh, name: str) -> None:
    """Wait until a daemon has learnt of the quarantine."""
    mesh.wait_for(
        lambda: "Quarantine of content" in running.log_of(name) or None,
        "the quarantine to be known",
    )


# Guards against a target that counts as alive, as its process closes its
# listening socket only after the connection on which an answer was awaited.
def test_address_of_a_process_that_is_exiting_refuses_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        assert not connection.refuses_connections(address, 1.0)
        listener.accept()[0].close()
        # However late the thread runs that exits.
        monkeypatch.setattr(connection, "EXIT_S", 5.0)

        def exit_slowly() -> None:
            accepted, _ = listener.accept()
            listener.close()
            accepted.close()

        thread = threading.Thread(target=exit_slowly)
        thread.start()
        assert connection.refuses_connections(address, 1.0)
        thread.join()


# Guards against a request that ends one target after the other, as its caller
# repeats it and the entry replaces each attempt.
def test_request_that_ends_its_targets_reaches_three_at_most() -> None:
    with _six_instances(target.Mode(ends_on="deadly")) as running:
        first, *others = running.instances
        for _ in range(4):
            result = _call(running, first, "deadly")
        # The last one may still be exiting.
        mesh.wait_for(
            lambda: _ended(running) >= _suspects.MAX_ENDS, "the ends"
        )
        assert (result.status, result.code, result.ran) == (
            502,
            errors.Quarantined.code,
            "unknown",
        )
        for name in others:
            _wait_for_quarantine(running, name)
            result = _call(running, name, "deadly")
            assert result.code == errors.Quarantined.code
            assert _call(running, name, "other").whole
        assert _ended(running) == _suspects.MAX_ENDS
        address = running.instances[first].control
        (found,) = _cli.read([address])
        assert found.suspect.request == "GET glade.example/read/deadly"
        assert found.suspect.state == "quarantine"
        assert found.suspect.ended == _suspects.MAX_ENDS
        assert _cli.report([found]).rows[0][0] == address
        assert not _cli.read([address], found.suspect.content)


# Guards against a target that only breaks off answers and counts as ended.
def test_answers_that_are_broken_off_quarantine_nothing() -> None:
    with _six_instances(target.Mode(fault="close")) as running:
        name = next(iter(running.instances))
        for _ in range(5):
            result = running.caller(name).call("GET", "/read/page")
            assert result.code == errors.OutcomeUnknown.code
        for each in running.instances:
            running.set_mode(each, target.Mode())
        mesh.wait_for(
            lambda: running.caller(name).call("GET", "/read/page").whole
            or None,
            "an answer",
        )


# Guards against a daemon that forgets its quarantines when it is restarted.
@pytest.mark.parametrize("restarted", ["the entry", "the leader", "another"])
def test_restarted_daemon_knows_what_is_in_quarantine(restarted: str) -> None:
    with _six_instances(target.Mode(ends_on="deadly")) as running:
        leader = running.wait_for_role("leader")
        first, second, *_ = (n for n in running.instances if n != leader)
        entry = leader if restarted == "the leader" else first
        name = second if restarted == "another" else entry
        for _ in range(4):
            _call(running, entry, "deadly")
        mesh.wait_for(
            lambda: _ended(running) >= _suspects.MAX_ENDS, "the ends"
        )
        _wait_for_quarantine(running, second)
        running.kill(name)
        running.start_daemon(name)
        mesh.wait_for(
            lambda: _call(running, name, "other").status == 200,
            "the restarted daemon to serve",
        )
        for _ in range(4):
            result = _call(running, name, "deadly")
            assert result.code == errors.Quarantined.code
        assert _ended(running) == _suspects.MAX_ENDS
