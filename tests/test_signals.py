"""Tests of signals that arrive at any step of the main thread."""

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
DEADLOCK_TIMEOUT_S = 3.0


class LockingSignals:
    """Resembles ``Signals``, but its handler takes the lock of an event."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def on_terminate(self, *_: object) -> None:
        """Request that the process stops."""
        self._event.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the request."""
        return self._event.wait(timeout_s)


def deadlocks(
    wait: collections.abc.Callable[[float], bool],
    handler: collections.abc.Callable[[], None],
    step: int,
) -> bool:
    """Return whether a handler that runs at a step of a wait never returns.

    As in the main thread, the handler runs between two lines, whichever
    locks are held at that moment.
    """
    remaining_steps = step

    def trace(
        frame: types.FrameType, event: str, argument: typing.Any
    ) -> typing.Any:
        nonlocal remaining_steps
        if event == "line":
            remaining_steps -= 1
            if remaining_steps == 0:
                sys.settrace(None)
                handler()
        return trace

    def run() -> None:
        sys.settrace(trace)
        wait(WAIT_S)
        sys.settrace(None)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(DEADLOCK_TIMEOUT_S)
    return thread.is_alive()


STEPS = range(1, 12)


def test_handler_at_any_step_of_the_wait_returns() -> None:
    for step in STEPS:
        process_signals = signals.Signals()
        assert not deadlocks(
            process_signals.wait, process_signals.on_terminate, step
        )
        process_signals.close()


def test_deadlock_check_detects_a_handler_that_takes_a_lock() -> None:
    """Guards against a preceding test that passes without checking."""

    def deadlocks_at(step: int) -> bool:
        process_signals = LockingSignals()
        return deadlocks(
            process_signals.wait, process_signals.on_terminate, step
        )

    assert any(deadlocks_at(step) for step in STEPS)


@pytest.fixture
def process_signals() -> collections.abc.Iterator[signals.Signals]:
    """Yield installed signal handlers, and restore the previous handlers."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}
    installed = signals.Signals()
    installed.install()
    yield installed
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)
    installed.close()


def test_signal_ends_the_wait(process_signals: signals.Signals) -> None:
    kill = threading.Timer(0.2, os.kill, [os.getpid(), signal.SIGTERM])
    kill.start()
    started_s = time.monotonic()
    assert process_signals.wait(20.0)
    assert time.monotonic() - started_s < 10.0


def test_hang_up_requests_only_a_reload(
    process_signals: signals.Signals,
) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    assert not process_signals.wait(WAIT_S)
    assert process_signals.reload


def test_many_signals_are_handled_as_one(
    process_signals: signals.Signals,
) -> None:
    for _ in range(2_000):
        os.kill(os.getpid(), signal.SIGHUP)
    assert not process_signals.wait(0.0)
    started_s = time.monotonic()
    process_signals.wait(WAIT_S)
    assert time.monotonic() - started_s < 5.0
