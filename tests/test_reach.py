"""Daemons that vanish: who is probed, who is asked, who is left."""

from __future__ import annotations

import collections.abc
import contextlib
import errno
import http.client
import socket
import threading
import time
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad import config
from chiveroad import control
from chiveroad import daemon
from chiveroad import errors
from chiveroad import membership
from chiveroad import metrics
from chiveroad import serving
from chiveroad.serving import _stream
from chiveroad.traffic import _balancer
from chiveroad.traffic import _entry
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _reachability
from chiveroad.traffic import _targets
from chiveroad import wire
from standins import mesh
from tests import fakes
from tests import test_exchange

UNREACHABLE, SUSPECT, REACHABLE = (
    _reachability.State.UNREACHABLE,
    _reachability.State.SUSPECT,
    _reachability.State.REACHABLE,
)
READ_TIMEOUT_MS: typing.Final = 6_000
MAX_ATTEMPTS: typing.Final = config.Kind(1, True, 1_000).max_attempts
_PORTS = mesh.Ports()


@pytest.mark.parametrize(
    ("misses", "state"),
    [(0, REACHABLE), (1, SUSPECT), (2, UNREACHABLE), (9, UNREACHABLE)],
)
def test_one_miss_is_a_doubt_and_two_are_a_loss(
    misses: int, state: _reachability.State
) -> None:
    reachability = _reachability.Reachability()
    for at_s in range(misses):
        assert reachability.missed(float(at_s), at_s + 0.2)
    assert reachability.state is state
    reachability.heard(10.0)
    assert reachability.state is REACHABLE


@pytest.mark.parametrize(
    ("waiting", "quiet_s", "misses", "probed_s_ago", "due"),
    [
        (0, 9.0, 0, 9.0, False),  # nobody waits
        (1, 0.1, 0, 9.0, False),  # an answer may well take this long
        (1, 0.3, 0, 9.0, True),
        (0, 9.0, 1, 0.05, False),  # the last probe has just ended
        (0, 9.0, 1, 0.2, True),
        (0, 9.0, 3, 0.2, False),  # probed less often
        (0, 9.0, 3, 0.5, True),
        (0, 9.0, 99, 0.9, False),
        (0, 9.0, 99, 1.1, True),
    ],
)
def test_when_a_daemon_is_probed(
    waiting: int, quiet_s: float, misses: int, probed_s_ago: float, due: bool
) -> None:
    reachability = _reachability.Reachability(
        waiting, 100 - quiet_s, misses, 100 - probed_s_ago
    )
    assert reachability.probe_due(100.0) is due


def test_silence_counts_from_the_first_request_that_waits() -> None:
    reachability = _reachability.Reachability()
    reachability.sent(50.0)
    assert not reachability.probe_due(50.1)
    assert reachability.probe_due(50.3)
    reachability.sent(50.3)  # a later one doesn't put the probe off
    assert reachability.probe_due(50.35)
    reachability.heard(50.4)
    assert not reachability.probe_due(50.5)


@hypothesis.given(
    st.lists(st.sampled_from(["sent", "ended", "heard", "missed"]))
)
def test_whatever_happens_a_living_daemon_is_reached_again(
    events: list[str],
) -> None:
    reachability = _reachability.Reachability()
    for at_s, event in enumerate(events):
        if event == "sent":
            reachability.sent(float(at_s))
        elif event == "ended" and reachability.waiting:
            reachability.ended()
        elif event == "heard":
            reachability.heard(float(at_s))
        elif event == "missed":
            reachability.missed(float(at_s), float(at_s))
        # What isn't reached is probed again within a second.
        if reachability.state is not REACHABLE:
            assert reachability.probe_due(
                reachability.probed_s + _reachability.MAX_PROBE_PAUSE_S
            )
    reachability.heard(float(len(events)))
    assert reachability.state is REACHABLE


class _Serving(serving.Handler):
    """Answers 200, and 204 to probes as a guard does."""

    def __init__(self) -> None:
        self.served: list[str] = []

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path == _guard.PROBE_PATH:
            request.answer(204, (), b"")
            return
        self.served.append(request.uri)
        request.answer(200, (), b"here")


@contextlib.contextmanager
def running(handler: serving.Handler) -> collections.abc.Iterator[str]:
    """Run a guard, and yield its address."""
    address = _PORTS.take()
    server = serving.Server(address, handler, 8)
    server.open()
    yield address
    serving.stop_all([server])


@contextlib.contextmanager
def living() -> collections.abc.Iterator[tuple[str, _Serving]]:
    """Run a guard that answers."""
    handler = _Serving()
    with running(handler) as address:
        yield address, handler


@contextlib.contextmanager
def mute() -> collections.abc.Iterator[str]:
    """Run a guard that takes connections and never answers."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_a_probe_tells_the_living_from_the_mute_and_the_absent() -> None:
    absent = _PORTS.take()
    with living() as (alive, _), mute() as silent:
        prober = _reachability.Prober(_guard.PROBE_PATH)
        found = prober.probe([silent, alive, absent], timeout_s=0.9)
        assert found == ({alive}, {silent}, set())
        found = prober.probe([silent], timeout_s=0.2)
        assert found == (set(), set(), {silent})


class _Starved:
    """A clock of a prober that gets the processor once a second.

    Before each reading after the first, a daemon takes the next step that it
    can: it accepts the connection, then it answers the request.
    """

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._accepted: socket.socket | None = None
        self._answered = False
        self._now_s = 0.0

    def monotonic(self) -> float:
        """Return the time of the reading, a second after the last one."""
        if self._now_s:
            self._step()
        self._now_s += 1.0
        return self._now_s

    def _step(self) -> None:
        if self._accepted is None:
            self._accepted, _ = self._listener.accept()
        elif not self._answered and _stream.readable(self._accepted, 200):
            assert self._accepted.recv(1024)
            self._accepted.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            self._answered = True

    def close(self) -> None:
        """Close the daemon's end."""
        if self._accepted is not None:
            self._accepted.close()


# A prober that was starved took every daemon for silent, answers unread.
def test_a_prober_without_the_processor_reads_what_has_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        clock = _Starved(listener)
        monkeypatch.setattr(_reachability, "time", clock)
        found = _reachability.Prober(_guard.PROBE_PATH).probe([address])
        clock.close()
    assert found.answered == {address}


def targets(*guards: str) -> _targets.Targets:
    """Return the targets of ``glade`` behind some guards."""
    return _targets.Targets(
        fakes.options("entry", "other"), _applied(), _view(*guards)
    )


def _view(*guards: str) -> membership.View:
    view = membership.View(threading.Condition())
    view.merge(
        membership.Member(
            instance=f"daemon-{number}",
            service="glade",
            failure_domain="d",
            region="r",
            incarnation=1,
            sequence=1,
            state=membership.State.READY,
            entry="127.0.0.1:1",
            guard=guard,
            control="127.0.0.1:1",
        )
        for number, guard in enumerate(guards)
    )
    return view


def _applied() -> control.Applied:
    kinds = {
        "read": config.Kind(1, True, READ_TIMEOUT_MS),
        "write": config.Kind(1, False, 1_000),
    }
    service = config.Service("glade", "t", 8, 8, 8, ("*",), kinds)
    items = dict(
        [
            config.service_item(service),
            *(
                config.route_item(
                    config.Route(
                        kind, "t", f"/{kind}", ("GET",), "glade", kind
                    )
                )
                for kind in kinds
            ),
        ]
    )
    applied = control.Applied(threading.Condition(), confirmed_only=False)
    applied.offer(1, config.digest(items), items)
    return applied


def test_a_lost_daemon_is_not_asked_while_another_can_be_reached() -> None:
    known = targets("127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13")
    for misses, guard in enumerate(("127.0.0.1:11", "127.0.0.1:12")):
        for _ in range(misses + 1):
            known._record_miss(guard, "probe", time.monotonic())
    profile = _balancer.RequestProfile()
    for _ in range(50):
        assert known.pick("glade", profile, ())[0].instance == "daemon-2"
    # The doubted one goes before nothing, the lost one doesn't.
    assert (
        known.pick("glade", profile, ("daemon-2",))[0].reachability is SUSPECT
    )
    with pytest.raises(errors.NoTarget):
        known.pick("glade", profile, ("daemon-2", "daemon-0"))
    known._record_response("127.0.0.1:12")
    assert known.pick("glade", profile, ("daemon-2", "daemon-0"))


def test_a_connection_that_fails_is_a_miss_and_an_answer_a_sign() -> None:
    known = targets("127.0.0.1:11")
    with pytest.raises(errors.TargetRefused):
        with known.awaiting_answer("127.0.0.1:11"):
            raise errors.TargetRefused("no connection")
    assert known.reachability("127.0.0.1:11").state is SUSPECT
    with known.awaiting_answer("127.0.0.1:11"):
        assert known.reachability("127.0.0.1:11").waiting == 1
    heard_s = known.reachability("127.0.0.1:11").heard_s
    missed_s = known.reachability("127.0.0.1:11").missed_s
    assert 0 < missed_s <= heard_s
    assert known.reachability("127.0.0.1:11") == _reachability.Reachability(
        0, heard_s, heard_s=heard_s, missed_s=missed_s
    )


# A daemon that took longer than a probe's time for each answer was LOST.
def test_a_busy_daemon_that_takes_connections_is_only_doubted() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        known = targets(guard)
        reachability = known.reachability(guard)
        reachability.sent(time.monotonic() - 1)
        known.probe()
        assert reachability.state is SUSPECT
        assert known.pick("glade", _balancer.RequestProfile(), ())
        accepted, _ = listener.accept()
        with accepted:
            assert accepted.recv(1024)
            accepted.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            reachability.probed_s = 0.0
            known.probe()
        assert reachability.state is REACHABLE


# An old answer to a probe kept a daemon that had vanished since.
def test_a_probe_is_ended_once_its_daemon_was_heard() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        known = targets(guard)
        reachability = known.reachability(guard)
        reachability.sent(time.monotonic() - 1)
        known.probe()
        accepted, _ = listener.accept()
        with accepted:
            accepted.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            known._record_response(guard)
            known.probe()
        listener.close()
        reachability.quiet_since_s = 0.0
        known.probe()
        assert reachability.state is SUSPECT


# A daemon whose process is frozen takes connections for as long as it is.
def test_a_daemon_that_answers_nothing_for_long_is_lost() -> None:
    with mute() as guard:
        known = targets(guard)
        reachability = known.reachability(guard)
        reachability.sent(time.monotonic() - 1)
        began_s = time.monotonic()
        while reachability.state is not UNREACHABLE:
            assert time.monotonic() < began_s + 5
            reachability.probed_s = 0.0
            known.probe()
        took_s = time.monotonic() - began_s
        # It stays lost through the next probes, which are connected too.
        reachability.probed_s = 0.0
        known.probe()
        assert reachability.state is UNREACHABLE
    assert took_s >= _reachability.UNANSWERED_S


# A daemon whose link was full of our own answers was LOST while they came.
def test_a_part_of_a_body_is_a_sign_of_life() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs, socket.create_server(("127.0.0.1", 0)) as listener:
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        known = targets(guard)

        def answer() -> None:
            accepted, _ = listener.accept()
            with accepted:
                accepted.recv(65_536)
                accepted.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx"
                )
                theirs.recv(1)

        thread = threading.Thread(target=answer)
        thread.start()
        sent = test_exchange.call()
        began_s = time.monotonic()
        with known.awaiting_answer(guard):
            found = _exchange.ask(
                known.pool(guard), sent, (), ours, wire.Native().read_answer
            )
        attempt_s = time.monotonic()
        assert next(found.chunks()) == b"x"
        known._record_miss(guard, "probe", attempt_s)
        known._record_miss(guard, "probe", attempt_s)
        known._record_unanswered(guard, True, began_s)
        assert known.reachability(guard).state is REACHABLE
        ours.send(b".")
        thread.join()
        found.close()


# A probe that wasn't answered outweighed an answer to a request meanwhile.
@pytest.mark.parametrize("frozen", [False, True])
def test_an_answer_during_a_probe_goes_before_its_silence(
    frozen: bool,
) -> None:
    reachability = _reachability.Reachability()
    reachability.heard(10.1)
    assert not reachability.connected(frozen, 10.0)
    assert reachability.state is REACHABLE
    assert reachability.connected(frozen, 10.2)
    assert reachability.state is (UNREACHABLE if frozen else SUSPECT)


# Two requests that opened connections side by side made a daemon LOST at once.
def test_attempts_side_by_side_are_one_miss() -> None:
    known, guard = targets("127.0.0.1:11"), "127.0.0.1:11"
    with pytest.raises(errors.TargetRefused):
        with contextlib.ExitStack() as requests:
            for _ in range(4):
                requests.enter_context(known.awaiting_answer(guard))
            raise errors.TargetRefused("no connection")
    assert known.reachability(guard).state is SUSPECT
    with pytest.raises(errors.TargetRefused), known.awaiting_answer(guard):
        raise errors.TargetRefused("no connection")
    assert known.reachability(guard).state is UNREACHABLE


# A connection that failed to open outweighed an answer that came meanwhile.
def test_an_answer_during_an_attempt_goes_before_its_failure() -> None:
    known, guard = targets("127.0.0.1:11"), "127.0.0.1:11"
    for _ in range(3):
        with pytest.raises(errors.TargetRefused), known.awaiting_answer(guard):
            with known.awaiting_answer(guard):
                pass
            raise errors.TargetRefused("no connection")
    assert known.reachability(guard).state is REACHABLE
    assert not known.missing


@contextlib.contextmanager
def entry_before(*guards: str) -> collections.abc.Iterator[str]:
    """Run an entry that knows some guards, and probes the silent ones."""
    address = _PORTS.take()
    entry = _entry.Entry(
        fakes.options("entry", "other", entry=address),
        _applied(),
        _view(*guards),
        typing.cast(_guard.Guard, None),
        metrics.Recorder(),
        wire.Native(),
    )
    server = serving.Server(address, entry, 32)
    server.open()
    ended = threading.Event()

    def probe() -> None:
        while not ended.wait(0.05):
            entry.probe()

    thread = threading.Thread(target=probe)
    thread.start()
    yield address
    ended.set()
    thread.join()
    server.stop()


def get(address: str, path: str) -> tuple[int, float]:
    """Ask for a path, and return the status and the time it took, in s."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=8)
    started_s = time.monotonic()
    connection.request("GET", path)
    status = connection.getresponse().status
    connection.close()
    return status, time.monotonic() - started_s


def test_what_may_be_repeated_leaves_a_daemon_that_went_silent() -> None:
    with mute() as silent, living() as (alive, handler):
        with entry_before(silent, alive) as address:
            answers = [get(address, "/read") for _ in range(12)]
    assert [status for status, _ in answers] == [200] * 12
    # A probe unanswered for a second; the deadline would be six seconds.
    assert max(took_s for _, took_s in answers) < 2.0
    assert len(handler.served) == 12


def test_what_may_run_once_waits_for_a_silent_daemon() -> None:
    with mute() as silent, entry_before(silent) as address:
        status, took_s = get(address, "/write")
    assert status == 504
    assert took_s >= 0.9


def test_with_nobody_to_be_reached_the_refusal_comes_at_once() -> None:
    absent = _PORTS.take()
    with entry_before(absent) as address:
        get(address, "/write")
        time.sleep(0.5)
        status, took_s = get(address, "/write")
    assert status == 503
    assert took_s < 0.15


class _Full(serving.Handler):
    """Refuses all requests, and answers probes."""

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path != _guard.PROBE_PATH:
            raise errors.Overloaded("full", 200)
        request.answer(204, (), b"")


Answering = collections.abc.Callable[[serving.Request], None]


def _whole(request: serving.Request) -> None:
    request.answer(200, (), b"done")


def _pausing(request: serving.Request) -> None:
    """Answer as over a link that others keep busy."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    time.sleep(0.6)
    request.send(b"ne")
    request.finish()


def _cut(request: serving.Request) -> None:
    """Break an answer off."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    request.abort()


def _stalling(request: serving.Request) -> None:
    """Begin an answer, and send no more of it until its time is over."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    time.sleep(READ_TIMEOUT_MS / 1000)
    request.abort()


def _failing(request: serving.Request) -> None:
    request.answer(500, (), b"failed")


class _AtWork(serving.Handler):
    """Guards too busy for probes, whose targets are at work.

    :param outcomes: for each request in turn how long the work takes, in
        seconds, and how it is answered or in which refusal it ends.
    """

    def __init__(
        self, *outcomes: tuple[float, errors.Refusal | Answering | None]
    ) -> None:
        self._outcomes = iter(outcomes)
        self.broken_off = 0
        self.done = 0

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path == _guard.PROBE_PATH:
            time.sleep(3.0)
            request.answer(204, (), b"")
            return
        work_s, outcome = next(self._outcomes)
        end_s = time.monotonic() + work_s
        while time.monotonic() < end_s:
            if serving.is_disconnected(request.socket):
                self.broken_off += 1
                raise errors.CallerDisconnected("the entry left")
            time.sleep(0.01)
        self.done += 1
        if isinstance(outcome, errors.Refusal):
            raise outcome
        (outcome or _whole)(request)


def read_before(*handlers: serving.Handler) -> tuple[int, float]:
    """Read at an entry before a guard each; return status and time, in s."""
    with contextlib.ExitStack() as stack:
        guards = [stack.enter_context(running(each)) for each in handlers]
        address = stack.enter_context(entry_before(*guards))
        return get(address, "/read")


# Guards against work that is broken off at a daemon taken for lost, for a 502.
@pytest.mark.parametrize("others", [0, 1, 3])
def test_work_is_not_given_up_where_nobody_else_takes_the_request(
    others: int,
) -> None:
    guard = _AtWork((2.5, None))
    status, took_s = read_before(guard, *(_Full() for _ in range(others)))
    assert (status, guard.done, guard.broken_off) == (200, 1, 0)
    assert took_s < 3.5


# Guards against an answer that is lost, as another one was asked since.
def test_the_first_of_two_answers_goes_to_the_caller() -> None:
    guard = _AtWork((2.2, None), (3.6, None))
    status, took_s = read_before(guard, guard)
    assert (status, guard.done, guard.broken_off) == (200, 1, 1)
    assert took_s < 3.0


# Guards against work that is broken off for a refusal of who was asked before.
@pytest.mark.parametrize(
    "refusal",
    [errors.Overloaded("no time left"), errors.BodyTimeout("too slow")],
)
def test_a_refusal_that_comes_late_breaks_off_no_other_work(
    refusal: errors.Refusal,
) -> None:
    guard = _AtWork((2.2, refusal), (1.8, None))
    status, _ = read_before(guard, guard)
    assert (status, guard.done, guard.broken_off) == (200, 2, 0)


# Guards against more targets at work on a request than its kind allows.
def test_no_more_are_at_work_than_may_be_asked() -> None:
    most = MAX_ATTEMPTS
    guard = _AtWork(*[(9.0, None)] * most, (0.0, None))
    status, took_s = read_before(*[guard] * (most + 1))
    assert (status, guard.done, guard.broken_off) == (504, 0, most)
    assert 5.9 <= took_s < 6.5


# Guards against one more target for each that fails beside one at work.
def test_who_fails_beside_one_at_work_counts_as_asked() -> None:
    most = MAX_ATTEMPTS
    lost = (0.0, errors.OutcomeUnknown("reset"))
    guard = _AtWork((4.5, None), *[lost] * most)
    status, _ = read_before(*[guard] * (most + 1))
    assert (status, guard.done, guard.broken_off) == (200, most, 0)


# Guards against an answer that is cut for a pause, as another was asked since.
def test_an_answer_that_overtakes_has_the_time_of_any_other() -> None:
    guard = _AtWork((2.2, _pausing), (9.0, None))
    status, _ = read_before(guard, guard)
    assert (status, guard.done, guard.broken_off) == (200, 1, 1)


# Guards against one target too many, after work that was broken off.
def test_who_was_overtaken_counts_as_asked() -> None:
    most = MAX_ATTEMPTS
    lost = (0.0, errors.OutcomeUnknown("reset"))
    guard = _AtWork((2.2, _cut), (9.0, None), *[lost] * most)
    status, _ = read_before(*[guard] * (most + 1))
    assert (status, guard.done + guard.broken_off) == (502, most)


# Guards against more targets than allowed, after some were broken off.
def test_who_was_broken_off_for_an_answer_counts_as_asked() -> None:
    most = MAX_ATTEMPTS
    at_work = [(9.0, None)] * (most - 1)
    guard = _AtWork((4.5, _cut), *at_work, (0.0, None))
    read_before(*[guard] * (most + 1))
    assert (guard.done, guard.broken_off) == (1, most - 1)


# Guards against a failure that breaks off work which gives an answer.
def test_a_failure_of_another_breaks_off_no_work() -> None:
    most = MAX_ATTEMPTS
    guard = _AtWork((2.5, None), *[(0.0, _failing)] * (most - 1))
    status, _ = read_before(*[guard] * most)
    assert (status, guard.done, guard.broken_off) == (200, most, 0)


# Guards against work that is broken off for an answer that is then cut.
def test_an_answer_that_is_cut_breaks_off_no_other_work() -> None:
    guard = _AtWork((2.2, _cut), (1.8, None))
    status, _ = read_before(guard, guard)
    assert (status, guard.broken_off) == (200, 0)


# Guards against an answer left unread while another's body doesn't come.
def test_an_answer_that_stalls_hides_no_whole_one() -> None:
    guard = _AtWork((2.4, None), (0.0, _stalling))
    status, took_s = read_before(guard, guard)
    assert status == 200
    assert took_s < 3.5


# A daemon out of descriptors probed no others any more, so the lost stayed so.
def test_the_thread_that_probes_outlives_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entry, guard, control = (_PORTS.take() for _ in range(3))
    found = daemon.Daemon(
        fakes.options(entry=entry, guard=guard, control=control)
    )
    probed = 0

    def probe() -> bool:
        nonlocal probed
        probed += 1
        if probed == 1:
            raise OSError(errno.EMFILE, "too many open files")
        found._peers_left.set()
        return True

    monkeypatch.setattr(found._entry, "probe", probe)
    found._probe_peers()
    assert probed == 2
