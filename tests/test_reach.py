"""Daemons that vanish: probes, reachability, failover and hedged requests."""

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
def test_one_miss_makes_a_daemon_suspect_and_two_unreachable(
    misses: int, state: _reachability.State
) -> None:
    reachability = _reachability.Reachability()
    for at_s in range(misses):
        assert reachability.record_miss(float(at_s), at_s + 0.2)
    assert reachability.state is state
    reachability.record_contact(10.0)
    assert reachability.state is REACHABLE


@pytest.mark.parametrize(
    ("waiting", "quiet_s", "misses", "probed_s_ago", "due"),
    [
        (0, 9.0, 0, 9.0, False),  # no request waits
        (1, 0.1, 0, 9.0, False),  # an answer may take this long
        (1, 0.3, 0, 9.0, True),
        (0, 9.0, 1, 0.05, False),  # a probe was sent just before
        (0, 9.0, 1, 0.2, True),
        (0, 9.0, 3, 0.2, False),  # the pause between probes doubles
        (0, 9.0, 3, 0.5, True),
        (0, 9.0, 99, 0.9, False),
        (0, 9.0, 99, 1.1, True),
    ],
)
def test_probe_is_due_when_a_request_waits_or_a_probe_was_missed(
    waiting: int, quiet_s: float, misses: int, probed_s_ago: float, due: bool
) -> None:
    reachability = _reachability.Reachability(
        waiting, 100 - quiet_s, misses, 100 - probed_s_ago
    )
    assert reachability.probe_due(100.0) is due


def test_quiet_time_starts_with_the_first_waiting_request() -> None:
    reachability = _reachability.Reachability()
    reachability.request_sent(50.0)
    assert not reachability.probe_due(50.1)
    assert reachability.probe_due(50.3)
    reachability.request_sent(50.3)  # a later request doesn't delay the probe
    assert reachability.probe_due(50.35)
    reachability.record_contact(50.4)
    assert not reachability.probe_due(50.5)


@hypothesis.given(
    st.lists(st.sampled_from(["sent", "ended", "heard", "missed"]))
)
def test_responding_daemon_always_becomes_reachable_again(
    events: list[str],
) -> None:
    reachability = _reachability.Reachability()
    for at_s, event in enumerate(events):
        if event == "sent":
            reachability.request_sent(float(at_s))
        elif event == "ended" and reachability.waiting:
            reachability.request_ended()
        elif event == "heard":
            reachability.record_contact(float(at_s))
        elif event == "missed":
            reachability.record_miss(float(at_s), float(at_s))
        # A daemon that isn't reachable is probed again within a second.
        if reachability.state is not REACHABLE:
            assert reachability.probe_due(
                reachability.last_probe_s + _reachability.MAX_PROBE_PAUSE_S
            )
    reachability.record_contact(float(len(events)))
    assert reachability.state is REACHABLE


class _RespondingGuard(serving.Handler):
    """A guard that answers requests with 200 and probes with 204."""

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
def running_guard(handler: serving.Handler) -> collections.abc.Iterator[str]:
    """Run a guard, and yield its address."""
    address = _PORTS.take()
    server = serving.Server(address, handler, 8)
    server.open()
    yield address
    serving.stop_all([server])


@contextlib.contextmanager
def responding_guard() -> (
    collections.abc.Iterator[tuple[str, _RespondingGuard]]
):
    """Run a guard that answers all requests."""
    handler = _RespondingGuard()
    with running_guard(handler) as address:
        yield address, handler


@contextlib.contextmanager
def frozen_guard() -> collections.abc.Iterator[str]:
    """Run a guard that accepts connections and never answers."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_probe_distinguishes_responding_frozen_and_absent_daemons() -> None:
    absent = _PORTS.take()
    with responding_guard() as (responding, _), frozen_guard() as frozen:
        prober = _reachability.Prober(_guard.PROBE_PATH)
        results = prober.probe([frozen, responding, absent], timeout_s=0.9)
        assert results == ({responding}, {frozen}, set())
        results = prober.probe([frozen], timeout_s=0.2)
        assert results == (set(), set(), {frozen})


class _StarvedClock:
    """The clock of a prober that gets processor time once a second.

    Before each reading after the first, the daemon takes its next step: it
    accepts the connection, then it answers the request.
    """

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._accepted: socket.socket | None = None
        self._answered = False
        self._now_s = 0.0

    def monotonic(self) -> float:
        """Return the time, one second after the last reading."""
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
        """Close the daemon's end of the connection."""
        if self._accepted is not None:
            self._accepted.close()


def test_starved_prober_reads_answers_that_have_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A prober that got no processor time left arrived answers unread.

    It then took every daemon for unresponsive.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        clock = _StarvedClock(listener)
        monkeypatch.setattr(_reachability, "time", clock)
        results = _reachability.Prober(_guard.PROBE_PATH).probe([address])
        clock.close()
    assert results.answered == {address}


def make_targets(*guards: str) -> _targets.Targets:
    """Return an entry's targets of ``glade``, one for each guard."""
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


def test_suspect_daemon_is_a_last_resort_and_unreachable_is_skipped() -> None:
    targets = make_targets("127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13")
    for misses, guard in enumerate(("127.0.0.1:11", "127.0.0.1:12")):
        for _ in range(misses + 1):
            targets._record_miss(guard, "probe", time.monotonic())
    profile = _balancer.RequestProfile()
    for _ in range(50):
        assert targets.pick("glade", profile, ())[0].instance == "daemon-2"
    # The suspect daemon is picked as a last resort, the unreachable never.
    assert (
        targets.pick("glade", profile, ("daemon-2",))[0].reachability
        is SUSPECT
    )
    with pytest.raises(errors.NoTarget):
        targets.pick("glade", profile, ("daemon-2", "daemon-0"))
    targets._record_response("127.0.0.1:12")
    assert targets.pick("glade", profile, ("daemon-2", "daemon-0"))


def test_failed_connection_is_a_miss_and_an_answer_clears_it() -> None:
    targets = make_targets("127.0.0.1:11")
    with pytest.raises(errors.TargetRefused):
        with targets.awaiting_answer("127.0.0.1:11"):
            raise errors.TargetRefused("no connection")
    assert targets.reachability("127.0.0.1:11").state is SUSPECT
    with targets.awaiting_answer("127.0.0.1:11"):
        assert targets.reachability("127.0.0.1:11").waiting == 1
    last_contact_s = targets.reachability("127.0.0.1:11").last_contact_s
    last_miss_s = targets.reachability("127.0.0.1:11").last_miss_s
    assert 0 < last_miss_s <= last_contact_s
    assert targets.reachability("127.0.0.1:11") == _reachability.Reachability(
        0,
        last_contact_s,
        last_contact_s=last_contact_s,
        last_miss_s=last_miss_s,
    )


def test_busy_daemon_that_accepts_connections_is_only_suspect() -> None:
    """A daemon became UNREACHABLE if its answers outlasted the probes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        targets = make_targets(guard)
        reachability = targets.reachability(guard)
        reachability.request_sent(time.monotonic() - 1)
        targets.probe()
        assert reachability.state is SUSPECT
        assert targets.pick("glade", _balancer.RequestProfile(), ())
        accepted, _ = listener.accept()
        with accepted:
            assert accepted.recv(1024)
            accepted.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            reachability.last_probe_s = 0.0
            targets.probe()
        assert reachability.state is REACHABLE


def test_open_probe_is_closed_once_its_daemon_responds() -> None:
    """An old answer to a probe kept a vanished daemon reachable."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        targets = make_targets(guard)
        reachability = targets.reachability(guard)
        reachability.request_sent(time.monotonic() - 1)
        targets.probe()
        accepted, _ = listener.accept()
        with accepted:
            accepted.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            targets._record_response(guard)
            targets.probe()
        listener.close()
        reachability.waiting_since_s = 0.0
        targets.probe()
        assert reachability.state is SUSPECT


def test_frozen_daemon_becomes_unreachable_and_stays_so() -> None:
    """A daemon whose process is frozen still accepts connections.

    Accepted connections alone must not keep it reachable.
    """
    with frozen_guard() as guard:
        targets = make_targets(guard)
        reachability = targets.reachability(guard)
        reachability.request_sent(time.monotonic() - 1)
        began_s = time.monotonic()
        while reachability.state is not UNREACHABLE:
            assert time.monotonic() < began_s + 5
            reachability.last_probe_s = 0.0
            targets.probe()
        took_s = time.monotonic() - began_s
        # It stays unreachable when later probes are connected too.
        reachability.last_probe_s = 0.0
        targets.probe()
        assert reachability.state is UNREACHABLE
    assert took_s >= _reachability.UNANSWERED_S


def test_partial_answer_body_keeps_a_daemon_reachable() -> None:
    """A daemon became UNREACHABLE while its answers filled its link.

    Probes went unanswered, although answer bodies kept arriving.
    """
    caller_socket, peer_socket = socket.socketpair()
    with (
        caller_socket,
        peer_socket,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        guard = f"127.0.0.1:{listener.getsockname()[1]}"
        targets = make_targets(guard)

        def serve_half_a_body() -> None:
            accepted, _ = listener.accept()
            with accepted:
                accepted.recv(65_536)
                accepted.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx"
                )
                peer_socket.recv(1)

        thread = threading.Thread(target=serve_half_a_body)
        thread.start()
        call = test_exchange.call()
        began_s = time.monotonic()
        with targets.awaiting_answer(guard):
            received = _exchange.send_request(
                targets.pool(guard),
                call,
                (),
                caller_socket,
                wire.Native().read_answer,
            )
        attempt_s = time.monotonic()
        assert next(received.chunks()) == b"x"
        targets._record_miss(guard, "probe", attempt_s)
        targets._record_miss(guard, "probe", attempt_s)
        targets._record_unanswered(guard, True, began_s)
        assert targets.reachability(guard).state is REACHABLE
        caller_socket.send(b".")
        thread.join()
        received.close()


@pytest.mark.parametrize("frozen", [False, True])
def test_answer_during_a_probe_outweighs_the_unanswered_probe(
    frozen: bool,
) -> None:
    """An unanswered probe outweighed a request's answer during the probe."""
    reachability = _reachability.Reachability()
    reachability.record_contact(10.1)
    assert not reachability.record_connect(frozen, 10.0)
    assert reachability.state is REACHABLE
    assert reachability.record_connect(frozen, 10.2)
    assert reachability.state is (UNREACHABLE if frozen else SUSPECT)


def test_concurrent_failed_attempts_count_as_one_miss() -> None:
    """Two requests that opened connections at the same time counted twice.

    Their failures made a daemon UNREACHABLE at once.
    """
    targets, guard = make_targets("127.0.0.1:11"), "127.0.0.1:11"
    with pytest.raises(errors.TargetRefused):
        with contextlib.ExitStack() as requests:
            for _ in range(4):
                requests.enter_context(targets.awaiting_answer(guard))
            raise errors.TargetRefused("no connection")
    assert targets.reachability(guard).state is SUSPECT
    with pytest.raises(errors.TargetRefused), targets.awaiting_answer(guard):
        raise errors.TargetRefused("no connection")
    assert targets.reachability(guard).state is UNREACHABLE


def test_answer_during_a_connection_attempt_outweighs_its_failure() -> None:
    """A failed connection attempt outweighed an answer during the attempt."""
    targets, guard = make_targets("127.0.0.1:11"), "127.0.0.1:11"
    for _ in range(3):
        with (
            pytest.raises(errors.TargetRefused),
            targets.awaiting_answer(guard),
        ):
            with targets.awaiting_answer(guard):
                pass
            raise errors.TargetRefused("no connection")
    assert targets.reachability(guard).state is REACHABLE
    assert not targets.missing


@contextlib.contextmanager
def running_entry(
    *guards: str, recorder: metrics.Recorder | None = None
) -> collections.abc.Iterator[str]:
    """Run an entry for some guards, with a thread that probes daemons."""
    address = _PORTS.take()
    entry = _entry.Entry(
        fakes.options("entry", "other", entry=address),
        _applied(),
        _view(*guards),
        typing.cast(_guard.Guard, None),
        recorder or metrics.Recorder(),
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
    """Get a path; return the status and the duration in seconds."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=8)
    started_s = time.monotonic()
    connection.request("GET", path)
    status = connection.getresponse().status
    connection.close()
    return status, time.monotonic() - started_s


def test_idempotent_request_fails_over_from_an_unresponsive_daemon() -> None:
    with frozen_guard() as frozen, responding_guard() as (responding, handler):
        with running_entry(frozen, responding) as address:
            answers = [get(address, "/read") for _ in range(12)]
    assert [status for status, _ in answers] == [200] * 12
    # A daemon is unreachable after one second without an answer to a probe;
    # the deadline is six seconds.
    assert max(took_s for _, took_s in answers) < 2.0
    assert len(handler.served) == 12


def test_non_idempotent_request_waits_for_an_unresponsive_daemon() -> None:
    with frozen_guard() as frozen, running_entry(frozen) as address:
        status, took_s = get(address, "/write")
    assert status == 504
    assert took_s >= 0.9


def test_request_is_refused_at_once_when_no_daemon_is_reachable() -> None:
    absent = _PORTS.take()
    with running_entry(absent) as address:
        get(address, "/write")
        time.sleep(0.5)
        status, took_s = get(address, "/write")
    assert status == 503
    assert took_s < 0.15


class _FullGuard(serving.Handler):
    """A guard that refuses all requests and answers probes."""

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        if request.path != _guard.PROBE_PATH:
            raise errors.Overloaded("full", 200)
        request.answer(204, (), b"")


AnswerFunction = collections.abc.Callable[[serving.Request], None]


def _answer_whole(request: serving.Request) -> None:
    request.answer(200, (), b"done")


def _answer_with_pause(request: serving.Request) -> None:
    """Answer with a pause in the body, as over a busy link."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    time.sleep(0.6)
    request.send(b"ne")
    request.finish()


def _truncate_answer(request: serving.Request) -> None:
    """Send half of a body and close the connection."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    request.abort()


def _stall_answer(request: serving.Request) -> None:
    """Send half of a body, and nothing more until the deadline has passed."""
    request.start(200, [("Content-Length", "4")])
    request.send(b"do")
    time.sleep(READ_TIMEOUT_MS / 1000)
    request.abort()


def _answer_malformed(request: serving.Request) -> None:
    """Send a body of four bytes whose length is stated twice."""
    request.start(200, [("Content-Length", "4"), ("Content-Length", "2")])
    request.send(b"done")
    request.finish()


def _answer_500(request: serving.Request) -> None:
    request.answer(500, (), b"failed")


class _BusyGuards(serving.Handler):
    """Guards that are too busy to answer probes while their targets work.

    :param outcomes: for each request in turn, the duration of the work in
        seconds, and the function that answers it or the refusal raised.
    """

    def __init__(
        self, *outcomes: tuple[float, errors.Refusal | AnswerFunction | None]
    ) -> None:
        self._outcomes = iter(outcomes)
        self.aborted = 0
        self.finished = 0

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
                self.aborted += 1
                raise errors.CallerDisconnected("the entry left")
            time.sleep(0.01)
        self.finished += 1
        if isinstance(outcome, errors.Refusal):
            raise outcome
        (outcome or _answer_whole)(request)


def read_through_entry(*handlers: serving.Handler) -> tuple[int, float]:
    """Send a read through an entry with one guard for each handler.

    :returns: the status and the duration in seconds.
    """
    with contextlib.ExitStack() as stack:
        guards = [
            stack.enter_context(running_guard(handler)) for handler in handlers
        ]
        address = stack.enter_context(running_entry(*guards))
        return get(address, "/read")


@pytest.mark.parametrize("others", [0, 1, 3])
def test_running_request_is_not_aborted_when_no_other_target_accepts_it(
    others: int,
) -> None:
    """Guards against aborting a request at a daemon declared unreachable.

    The caller would get a 502 although the target is still at work.
    """
    guard = _BusyGuards((2.5, None))
    status, took_s = read_through_entry(
        guard, *(_FullGuard() for _ in range(others))
    )
    assert (status, guard.finished, guard.aborted) == (200, 1, 0)
    assert took_s < 3.5


def test_first_answer_of_two_hedged_requests_goes_to_the_caller() -> None:
    """Guards against dropping the first target's answer after a hedge."""
    guard = _BusyGuards((2.2, None), (3.6, None))
    status, took_s = read_through_entry(guard, guard)
    assert (status, guard.finished, guard.aborted) == (200, 1, 1)
    assert took_s < 3.0


@pytest.mark.parametrize(
    "refusal",
    [errors.Overloaded("no time left"), errors.BodyTimeout("too slow")],
)
def test_late_refusal_does_not_abort_the_hedged_request(
    refusal: errors.Refusal,
) -> None:
    """Guards against aborting a hedge because the first target refuses."""
    guard = _BusyGuards((2.2, refusal), (1.8, None))
    status, _ = read_through_entry(guard, guard)
    assert (status, guard.finished, guard.aborted) == (200, 2, 0)


def test_hedged_requests_do_not_exceed_max_attempts() -> None:
    """Guards against more targets at work than the kind allows."""
    max_attempts = MAX_ATTEMPTS
    guard = _BusyGuards(*[(9.0, None)] * max_attempts, (0.0, None))
    status, took_s = read_through_entry(*[guard] * (max_attempts + 1))
    assert (status, guard.finished, guard.aborted) == (504, 0, max_attempts)
    assert 5.9 <= took_s < 6.5


def test_failed_hedged_requests_count_as_attempts() -> None:
    """Guards against a further hedge for each hedge that fails."""
    max_attempts = MAX_ATTEMPTS
    failure = (0.0, errors.OutcomeUnknown("reset"))
    guard = _BusyGuards((4.5, None), *[failure] * max_attempts)
    status, _ = read_through_entry(*[guard] * (max_attempts + 1))
    assert (status, guard.finished, guard.aborted) == (200, max_attempts, 0)


def test_superseding_answer_may_pause_within_its_body() -> None:
    """Guards against truncating a paused answer while a hedge is open."""
    guard = _BusyGuards((2.2, _answer_with_pause), (9.0, None))
    status, _ = read_through_entry(guard, guard)
    assert (status, guard.finished, guard.aborted) == (200, 1, 1)


def test_superseded_requests_count_as_attempts() -> None:
    """Guards against one target too many after a superseded request."""
    max_attempts = MAX_ATTEMPTS
    failure = (0.0, errors.OutcomeUnknown("reset"))
    guard = _BusyGuards(
        (2.2, _truncate_answer), (9.0, None), *[failure] * max_attempts
    )
    status, _ = read_through_entry(*[guard] * (max_attempts + 1))
    assert (status, guard.finished + guard.aborted) == (502, max_attempts)


def test_aborted_hedged_requests_count_as_attempts() -> None:
    """Guards against more targets than allowed after aborted hedges."""
    max_attempts = MAX_ATTEMPTS
    running = [(9.0, None)] * (max_attempts - 1)
    guard = _BusyGuards((4.5, _truncate_answer), *running, (0.0, None))
    read_through_entry(*[guard] * (max_attempts + 1))
    assert (guard.finished, guard.aborted) == (1, max_attempts - 1)


def test_failed_hedged_request_does_not_abort_the_first_request() -> None:
    """Guards against a failure that aborts a request that will succeed."""
    max_attempts = MAX_ATTEMPTS
    guard = _BusyGuards(
        (2.5, None), *[(0.0, _answer_500)] * (max_attempts - 1)
    )
    status, _ = read_through_entry(*[guard] * max_attempts)
    assert (status, guard.finished, guard.aborted) == (200, max_attempts, 0)


def test_truncated_answer_does_not_abort_the_hedged_request() -> None:
    """Guards against aborting a hedge for an answer that gets truncated."""
    guard = _BusyGuards((2.2, _truncate_answer), (1.8, None))
    status, _ = read_through_entry(guard, guard)
    assert (status, guard.aborted) == (200, 0)


@pytest.mark.parametrize(
    "outcomes",
    [
        ((2.2, _answer_malformed), (1.8, None)),
        ((2.5, None), (0.0, _answer_malformed)),
    ],
)
def test_malformed_answer_does_not_supersede_a_whole_one(
    outcomes: tuple[tuple[float, AnswerFunction | None], ...],
) -> None:
    """Guards against a malformed answer to a hedge, or while one runs."""
    guard = _BusyGuards(*outcomes)
    status, _ = read_through_entry(guard, guard)
    assert (status, guard.finished, guard.aborted) == (200, 2, 0)


def test_stalled_answer_does_not_block_a_whole_one() -> None:
    """Guards against leaving an answer unread while another body stalls."""
    guard = _BusyGuards((2.4, None), (0.0, _stall_answer))
    status, took_s = read_through_entry(guard, guard)
    assert status == 200
    assert took_s < 3.5


def test_probe_thread_survives_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A daemon out of file descriptors stopped probing other daemons.

    Unreachable daemons then stayed unreachable.
    """
    entry, guard, control = (_PORTS.take() for _ in range(3))
    tested_daemon = daemon.Daemon(
        fakes.options(entry=entry, guard=guard, control=control)
    )
    probed = 0

    def probe() -> bool:
        nonlocal probed
        probed += 1
        if probed == 1:
            raise OSError(errno.EMFILE, "too many open files")
        tested_daemon._peers_left.set()
        return True

    monkeypatch.setattr(tested_daemon._entry, "probe", probe)
    tested_daemon._probe_peers()
    assert probed == 2
