"""A caller that repeats requests which end their targets."""

from __future__ import annotations

import threading
import time
import typing

from standins import caller
from standins import mesh

ENDS_ON: typing.Final = "ends-the-process"
"""Targets end while they run a request whose path contains this."""

PATH: typing.Final = f"/sessions/{ENDS_ON}"
SERVICE: typing.Final = "glade"
"""The service that the path leads to."""

PAUSE_S: typing.Final = 0.05
RESTART_S: typing.Final = 0.7
"""How soon after its end a target is started again."""


class EndingCaller:
    """Repeats a request that ends its targets, and restarts these targets.

    :param entry: the instance at whose entry the requests are sent.

    ``ended`` counts the targets that have ended.
    """

    def __init__(self, running_mesh: mesh.Mesh, entry: str) -> None:
        self._mesh = running_mesh
        self._entry = entry
        self._ended_s: dict[str, float] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.ended = 0
        self.results: list[caller.Result] = []

    def start(self) -> None:
        """Start to send requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and have all targets running again."""
        self._stop.set()
        self._thread.join()
        mesh.wait_for(self._all_run, "targets that have ended to run again")

    def _run(self) -> None:
        while not self._stop.wait(PAUSE_S):
            result = self._mesh.caller(self._entry).call("GET", PATH)
            self.results.append(result)
            self._all_run()

    def _all_run(self) -> bool:
        """Restart ended targets in time; return whether all of them run."""
        now_s = time.monotonic()
        for name in self._mesh.instances:
            if not self._mesh.target_has_ended(name):
                continue
            if name not in self._ended_s:
                self._ended_s[name] = now_s
                self.ended += 1
            if now_s - self._ended_s[name] >= RESTART_S:
                self._mesh.restart_ended_target(name)
                del self._ended_s[name]
        return not self._ended_s
