"""Background threads that are restarted after an unexpected error."""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

from chiveroad import logs

RESTART_DELAY_S: typing.Final = 1.0

_log = logs.Logger("control")


def start(name: str, work: collections.abc.Callable[[], None]) -> None:
    """Run work in a background thread until it returns.

    An exception that the work doesn't handle, such as one caused by a value
    that another release has written, is logged, and the work is restarted
    after a pause: nothing else would notice that a part of the control plane
    has ended.
    """
    threading.Thread(
        target=_run, args=(name, work), name=name, daemon=True
    ).start()


def _run(name: str, work: collections.abc.Callable[[], None]) -> None:
    while True:
        try:
            work()
            return
        except Exception:
            _log.exception(
                "Thread {} failed, restarting in {} s.", name, RESTART_DELAY_S
            )
            time.sleep(RESTART_DELAY_S)
