"""Signals at any moment."""

from __future__ import annotations

import collections.abc
import os
import signal
import sys
import threading
import time
import types
import typing

import pytest

from chiveroad import signals

WAIT_S = 0.01
STUCK_S = 3.0


class Locking:
    """The same with an event, whose handler takes a lock."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def on_terminate(self, *_: object) -> None:
        """Note that the process is to stop."""
        self._event.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for it."""
        return self._event.wait(timeout_s)


def is_stuck(
    wait: collections.abc.Callable[[float], bool],
    handler: collections.abc.Callable[[], None],
    step: int,
) -> bool:
    """Tell whether a handler that runs at a step of a wait never returns.

    As in the main thread, it runs between two lines, whatever is held then.
    """
    left = step

    def trace(
        frame: types.FrameType, event: str, argument: typing.Any
    ) -> typing.Any:
        nonlocal left
        if event == "line":
            left -= 1
            if left == 0:
                sys.settrace(None)
                handler()
        return trace

    def run() -> None:
        sys.settrace(trace)
        wait(WAIT_S)
        sys.settrace(None)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(STUCK_S)
    return thread.is_alive()


STEPS = range(1, 12)


def test_a_handler_at_any_step_of_the_wait_returns() -> None:
    for step in STEPS:
        asked = signals.Signals()
        assert not is_stuck(asked.wait, asked.on_terminate, step)
        asked.close()


def test_the_steps_find_a_handler_that_takes_a_lock() -> None:
    """Else the test before would say nothing."""

    def sticks(step: int) -> bool:
        asked = Locking()
        return is_stuck(asked.wait, asked.on_terminate, step)

    assert any(sticks(step) for step in STEPS)


@pytest.fixture
def asked() -> collections.abc.Iterator[signals.Signals]:
    """Yield what is installed, and put back what was before."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}
    found = signals.Signals()
    found.install()
    yield found
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)
    found.close()


def test_a_signal_ends_the_wait(asked: signals.Signals) -> None:
    kill = threading.Timer(0.2, os.kill, [os.getpid(), signal.SIGTERM])
    kill.start()
    started_s = time.monotonic()
    assert asked.wait(20.0)
    assert time.monotonic() - started_s < 10.0


def test_a_hang_up_asks_for_the_settings_only(asked: signals.Signals) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    assert not asked.wait(WAIT_S)
    assert asked.reload


def test_many_signals_are_one(asked: signals.Signals) -> None:
    for _ in range(2_000):
        os.kill(os.getpid(), signal.SIGHUP)
    assert not asked.wait(0.0)
    started_s = time.monotonic()
    asked.wait(WAIT_S)
    assert time.monotonic() - started_s < 5.0
