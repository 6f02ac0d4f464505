"""Handles the process's signals, and wakes the main thread."""

from __future__ import annotations

import os
import select
import signal
import typing

_TERMINATION_SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT)
_MAX_READ_BYTES: typing.Final = 4_096


class Signals:
    """Flags that signal handlers set, and a pipe that wakes the main thread.

    A handler runs between any two steps of the main thread, even while the
    main thread holds a lock.  A handler that acquires a lock itself, as
    ``threading.Event.set`` does, could deadlock, so handlers set plain
    attributes.
    """

    def __init__(self) -> None:
        self.stop = False
        self.reload = False
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(self._write_fd, False)

    def install(self) -> None:
        """Install the signal handlers; only the main thread may call this."""
        signal.set_wakeup_fd(self._write_fd, warn_on_full_buffer=False)
        for number in _TERMINATION_SIGNALS:
            signal.signal(number, self.on_terminate)
        signal.signal(signal.SIGHUP, self.on_hang_up)

    def on_terminate(self, *_: object) -> None:
        """Request that the process stops."""
        self.stop = True

    def on_hang_up(self, *_: object) -> None:
        """Request that the settings are reloaded."""
        self.reload = True

    def wait(self, timeout_s: float) -> bool:
        """Wait for a signal or the timeout; return whether to stop."""
        if not self.stop:
            poll = select.poll()
            poll.register(self._read_fd, select.POLLIN)
            if poll.poll(timeout_s * 1000):
                os.read(self._read_fd, _MAX_READ_BYTES)
        return self.stop

    def wake(self) -> None:
        """Wake the main thread from its wait."""
        try:
            os.write(self._write_fd, b"\0")
        except BlockingIOError:
            # The pipe is full, so the main thread wakes anyway.
            return

    def close(self) -> None:
        """Close the pipe."""
        os.close(self._read_fd)
        os.close(self._write_fd)
