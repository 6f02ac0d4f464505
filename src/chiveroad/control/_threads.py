"""Background threads that outlive an unexpected error."""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

from chiveroad import logs

PAUSE_S: typing.Final = 1.0

_log = logs.Logger("control")


def start(name: str, work: collections.abc.Callable[[], None]) -> None:
    """Run work in the background until it returns.

    What it doesn't handle itself, such as a value that another release has
    written, is logged, and the work is begun again after a pause: a part of
    the control plane that silently ended would never be missed.
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
            _log.exception("{} failed and is begun again.", name)
            time.sleep(PAUSE_S)
