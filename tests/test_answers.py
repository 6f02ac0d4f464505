"""Malformed answers of the store and of other daemons, and to probes.

They are those of ``test_broken_answers.py``, where targets send them.
"""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import socket
import threading
import typing

import pytest
import urllib3
import urllib3.exceptions

from chiveroad import errors
from chiveroad import http_calls
from chiveroad import metrics
from chiveroad import platform
from chiveroad import store
from chiveroad.traffic import _guard
from chiveroad.traffic import _reachability
from standins import broken_answers
from tests import test_headers
from tests import test_reach
from tests import test_status_codes

KINDS: typing.Final = list(
    broken_answers.answers(broken_answers.STARTS["success"])
)
WITH_A_HEAD: typing.Final = [
    kind for kind in KINDS if kind not in ("chunks", "cut")
]
Call = collections.abc.Callable[[str, str], urllib3.BaseHTTPResponse]
VERSION: typing.Final = store.Revision(0, 1)


def malformed(kind: str) -> dict[str, bytes]:
    """Return answers of all starts in which one part is broken."""
    return {
        f"{start}, {name}": answer
        for start, begin in broken_answers.STARTS.items()
        for name, answer in broken_answers.answers(begin)[kind].items()
    }


@contextlib.contextmanager
def calling(
    answers: dict[str, bytes],
) -> collections.abc.Iterator[tuple[Call, broken_answers.Arrivals]]:
    """Yield a function that makes a call, and what arrived at its target.

    The function takes the name of an answer, and what to do after it.
    """
    numbers = {name: str(number) for number, name in enumerate(answers)}
    named = {numbers[name]: answer for name, answer in answers.items()}
    arrivals = broken_answers.Arrivals()
    target = broken_answers.Target(named, arrivals)
    client = http_calls.Client(1, 1.0)

    def call(name: str, ending: str) -> urllib3.BaseHTTPResponse:
        path = f"/x/{numbers.get(name, name)}/{ending}"
        return client.request(
            "GET", f"http://{target.address}{path}", None, 1.0
        )

    yield call, arrivals
    target.close()


@pytest.mark.parametrize("kind", KINDS)
def test_call_with_a_malformed_answer_has_none(kind: str) -> None:
    """Guards against calls of the store and of other daemons that mend.

    The connection isn't used again.
    """
    answers = malformed(kind)
    endings = ("close",) if kind == "cut" else ("close", "keep")
    faults: list[str] = []
    with calling(answers) as (call, arrivals):
        for name, ending in itertools.product(answers, endings):
            whole = call(broken_answers.WHOLE, "keep")
            assert whole.data == broken_answers.BODY, name
            try:
                answer = call(name, ending)
            except urllib3.exceptions.HTTPError:
                continue
            faults.append(f"{name}, {ending}: {answer.status} {answer.data!r}")
    assert not faults, "\n".join(faults)
    for connection in arrivals.by_id[""]:
        assert len(connection.ids) == 2


@pytest.mark.parametrize("name", list(broken_answers.accepted()))
def test_call_reads_a_whole_answer(name: str) -> None:
    """Guards against refusing a head that all readers agree on."""
    with calling(broken_answers.accepted()) as (call, _):
        answer = call(name, "close")
    assert (answer.status, answer.data) == (200, broken_answers.BODY)


@pytest.mark.parametrize("kind", KINDS)
def test_malformed_answer_of_the_store_tells_nothing(kind: str) -> None:
    """Guards against a write that counts as refused by such an answer."""
    test_status_codes.check_tells_nothing(malformed(kind).popitem()[1])


@pytest.mark.parametrize("client", [platform.ObjectStore, store.HttpStore])
@pytest.mark.parametrize("version", [store.ABSENT, VERSION])
def test_write_whose_answer_is_unreadable_may_have_taken_effect(
    client: type[platform.ObjectStore] | type[store.HttpStore],
    version: store.Revision,
) -> None:
    """Guards against a write that counts as not done by its answer's body."""
    answer = broken_answers.accepted()["leading zero"]
    with test_status_codes.RawPeer(answer) as peer:
        with pytest.raises(errors.StoreOutcomeUnknown):
            client(peer.address, 1.0).put(store.Kind.MEMBERS, "a", {}, version)


WATCH: typing.Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT: typing.Final = (
    b'{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"%d"}}}\n'
)


def _watch(sent: bytes) -> list[int]:
    """Watch a store that sends an answer; return the versions seen."""
    with test_status_codes.RawPeer(sent) as peer:
        events = store.HttpStore(peer.address, 1.0).watch(
            store.Kind.MEMBERS, VERSION, 1.0
        )
        return [event.version.number for event in events]


@pytest.mark.parametrize(
    "form", [b"+%x", b"-%x", b"0x%x", b"0_%x", b"%x\x0b", b"%x x", b"\xa0%x"]
)
def test_watch_with_a_malformed_chunk_fails(form: bytes) -> None:
    """Guards against a library's reader of chunks, which mends their sizes."""
    first, second = EVENT % 8, EVENT % 9
    chunks = b"".join(
        size % len(event) + b"\r\n" + event + b"\r\n"
        for size, event in ((b"%x", first), (form, second))
    )
    with pytest.raises(errors.StoreUnavailable):
        _watch(WATCH + chunks + b"0\r\n\r\n")


@pytest.mark.parametrize(
    "version", ["", "x", "-1", " 1", "1.0", "1_0", "\u0661", "9" * 4_400]
)
def test_object_with_a_malformed_version_is_unreadable(version: str) -> None:
    """Guards against a version that ends its reader's thread, or is mended."""
    text = f'{{"metadata":{{"name":"a","resourceVersion":"{version}"}}}}'
    event = f'{{"type":"ADDED","object":{text}}}\n'.encode()
    body = text.encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with test_status_codes.RawPeer(head + body) as peer:
        object_store = store.HttpStore(peer.address, 1.0)
        with pytest.raises(errors.StoreUnavailable):
            object_store.get(store.Kind.MEMBERS, "a")
        with pytest.raises(errors.StoreOutcomeUnknown):
            object_store.put(store.Kind.MEMBERS, "a", {}, VERSION)
    with pytest.raises(errors.StoreUnavailable):
        _watch(WATCH + b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event))


def test_watch_reads_events_across_chunks() -> None:
    """Guards against an event that is read only once its chunk is whole."""
    sent = EVENT % 8 + EVENT % 9
    middle = len(EVENT)
    chunks = b"".join(
        b"%x;x=y\r\n%b\r\n" % (len(part), part)
        for part in (sent[:middle], sent[middle:])
    )
    assert _watch(WATCH + chunks + b"0\r\nX-A: 1\r\n\r\n") == [8, 9]


@pytest.mark.parametrize("kind", WITH_A_HEAD)
def test_probe_with_a_malformed_head_is_a_miss(kind: str) -> None:
    """Guards against a daemon that counts as reachable by such an answer."""
    faults = []
    for name, answer in malformed(kind).items():
        if len(answer) > _reachability._STATUS_BYTES:
            continue
        with test_status_codes.probed(answer) as address:
            results = _reachability.Prober(_guard.PROBE_PATH).probe([address])
        if address in results.answered:
            faults.append(name)
    assert not faults


@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "cut"])
def test_entry_gets_no_answer_from_a_malformed_guard(kind: str) -> None:
    """Guards against a malformed answer between daemons.

    A request that may not be repeated isn't sent again.
    """
    faults = []
    answers = malformed(kind)
    recorder = metrics.Recorder()
    with (
        test_status_codes.RawPeer(b"") as peer,
        test_reach.running_entry(peer.address, recorder=recorder) as address,
    ):
        for name, answer in answers.items():
            peer._answers = [answer]
            before = sum(peer.requests)
            status, _ = test_reach.get(address, "/write")
            if status != 502 or sum(peer.requests) != before + 1:
                faults.append(f"{name}: {status}")
    assert not faults
    counted = [
        count
        for (name, part), count in recorder.counts().items()
        if name == "chiveroad.entry.malformed" and part
    ]
    assert sum(counted) == len(answers)


@contextlib.contextmanager
def _ending_target(sent: bytes) -> collections.abc.Iterator[str]:
    """Run a target that ends while it answers; yield its address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        accepted, _ = listener.accept()
        listener.close()
        with accepted:
            accepted.recv(65_536)
            accepted.sendall(sent)

    threading.Thread(target=run, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "cut"])
def test_target_that_ends_within_a_malformed_answer_has_ended(
    kind: str,
) -> None:
    """Guards against a request that ends its targets and isn't found out."""
    answer = malformed(kind).popitem()[1]
    with (
        _ending_target(answer) as target,
        test_headers.guard_for(target) as address,
    ):
        received = test_headers._exchange(address, test_headers.REQUEST)
    assert b"Chiveroad-Code: 4034\r\n" in received
    assert b"Chiveroad-Ran: unknown\r\n" in received
