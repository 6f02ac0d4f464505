"""What signals ask of the process."""

from __future__ import annotations

import os
import select
import signal
import typing

_TERMINATE: typing.Final = (signal.SIGTERM, signal.SIGINT)
_READ_BYTES: typing.Final = 4_096


class Signals:
    """Holder of what signals have asked for, and what wakes the main thread.

    A handler runs between any two steps of the main thread, also while that
    holds a lock: one that took a lock itself, as ``threading.Event.set``
    does, could wait for ever.  So handlers set plain attributes.
    """

    def __init__(self) -> None:
        self.stop = False
        self.reload = False
        self._wakes, self._woken_by = os.pipe()
        os.set_blocking(self._wakes, False)
        os.set_blocking(self._woken_by, False)

    def install(self) -> None:
        """Take the process's signals; only the main thread may call this."""
        signal.set_wakeup_fd(self._woken_by, warn_on_full_buffer=False)
        for number in _TERMINATE:
            signal.signal(number, self.on_terminate)
        signal.signal(signal.SIGHUP, self.on_hang_up)

    def on_terminate(self, *_: object) -> None:
        """Note that the process is to stop."""
        self.stop = True

    def on_hang_up(self, *_: object) -> None:
        """Note that the settings are to be read again."""
        self.reload = True

    def wait(self, timeout_s: float) -> bool:
        """Wait for a signal, at most so long; tell whether to stop."""
        if not self.stop:
            poll = select.poll()
            poll.register(self._wakes, select.POLLIN)
            if poll.poll(timeout_s * 1000):
                os.read(self._wakes, _READ_BYTES)
        return self.stop

    def wake(self) -> None:
        """End the wait of the main thread."""
        try:
            os.write(self._woken_by, b"\0")
        except BlockingIOError:
            # The pipe is full of reasons to wake.
            return

    def close(self) -> None:
        """Give the pipe back."""
        os.close(self._wakes)
        os.close(self._woken_by)
