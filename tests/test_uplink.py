"""Pacing of large bodies to the capacity of the instance's link."""

from __future__ import annotations

import socket
import threading
import time
import types
import typing

import pytest

from chiveroad import serving
from chiveroad.serving import _stream
from chiveroad.serving import _uplink
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad.traffic import _pool
from tests import fakes

MBPS = 4.2
DOWNLOAD_BYTES = 90 * 1024
DOWNLOADS = 18
"""As many as a target has slots: 1.6 MB, which take the link 3 s."""

QUEUE_S = 0.2
"""How long a new connection or control message may wait in the link's
queue."""


class Link:
    """A simulated link with a queue, and a clock that is set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = fakes.Clock()
        self.empty_s = self.clock.now_s
        monkeypatch.setattr(time, "monotonic", self.clock)

    def write(self, count: int) -> float:
        """Queue bytes; return how long they wait until they are sent."""
        begin_s = max(self.clock.now_s, self.empty_s)
        self.empty_s = begin_s + count * 8 / (MBPS * 1_000_000)
        return begin_s - self.clock.now_s


def test_concurrent_downloads_leave_the_link_to_small_messages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New versions and connections waited for seconds behind downloads."""
    link = Link(monkeypatch)
    uplink = serving.Uplink(MBPS)
    piece = _uplink.PIECE_BYTES
    due = [
        (link.clock.now_s, download, DOWNLOAD_BYTES)
        for download in range(DOWNLOADS)
    ]
    waits: list[float] = []
    while due:
        due.sort()
        at_s, download, left = due.pop(0)
        link.clock.now_s = max(link.clock.now_s, at_s)
        count = min(piece, left)
        wait_s = uplink.reserve(count)
        # A piece is written after its own wait, which delays no other.
        before_s = link.clock.now_s
        link.clock.now_s += wait_s
        waits.append(link.write(count))
        written_s, link.clock.now_s = link.clock.now_s, before_s
        if left > count:
            due.append((written_s, download, left - count))
    assert max(waits) <= QUEUE_S
    took_s = link.empty_s - 100.0
    least_s = DOWNLOADS * DOWNLOAD_BYTES * 8 / (MBPS * 1_000_000)
    assert least_s <= took_s <= 1.2 * least_s


def test_small_answers_are_not_delayed_but_are_counted() -> None:
    uplink = serving.Uplink(0.8)
    near, far = socket.socketpair()
    near.settimeout(5)
    writer = _stream.Writer(near)
    writer.uplink = uplink
    uplink.reserve(90_000)
    began_s = time.monotonic()
    writer.write(b"small")
    assert time.monotonic() - began_s < 0.5
    assert far.recv(16) == b"small"
    assert uplink.reserve(1) > 0.9
    near.close()
    far.close()


def test_large_answer_is_complete_and_paced() -> None:
    near, far = socket.socketpair()
    near.settimeout(5)
    writer = _stream.Writer(near)
    writer.uplink = serving.Uplink(8.0)
    body = bytes(range(256)) * 1_024
    received = bytearray()

    def read() -> None:
        while data := far.recv(65_536):
            received.extend(data)

    reader = threading.Thread(target=read)
    reader.start()
    began_s = time.monotonic()
    writer.write(body)
    took_s = time.monotonic() - began_s
    near.close()
    reader.join(5)
    far.close()
    assert bytes(received) == body
    assert took_s >= 0.2


def test_disconnected_caller_reserves_no_more_of_the_link() -> None:
    near, far = socket.socketpair()
    near.settimeout(5)
    writer = _stream.Writer(near)
    uplink = writer.uplink = serving.Uplink(8.0)
    uplink.reserve(200_000)
    far.close()
    with pytest.raises(OSError):
        writer.write(bytes(1_000_000))
    assert uplink.reserve(1) < 0.5
    near.close()


def test_request_body_is_sent_in_pieces(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The body of a large request delayed small messages, as answers did."""
    monkeypatch.setattr(serving, "is_remote", lambda _: True)
    uplink = serving.Uplink(8.0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        pool = _pool.Pool(f"127.0.0.1:{port}", 1.0, uplink)
        connection = pool.acquire()
        assert connection.uplink is uplink
        call = typing.cast(
            _call.Call, types.SimpleNamespace(left_ms=_fixed_left_ms)
        )
        began_s = time.monotonic()
        assert _exchange._transmit(connection, bytes(40_000), call)
        # All pieces but the last are paced, at 0.9 MB/s.
        assert time.monotonic() - began_s >= 0.036
        taken, _ = listener.accept()
        with taken:
            connection.close()
            received = taken.makefile("rb").read()
        assert received == bytes(40_000)


def _fixed_left_ms() -> float:
    return 5_000.0
