"""A watcher of the versions that daemons have in force."""

from __future__ import annotations

import threading
import time

from chiveroad import errors
from standins import mesh

_POLL_S = 0.05


class Monitor:
    """Polls all daemons, and keeps what was seen of each."""

    def __init__(self, watched: mesh.Mesh) -> None:
        self._mesh = watched
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.versions: dict[str, list[int]] = {}
        self.digests: dict[int, set[str]] = {}

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End."""
        self._stop.set()
        self._thread.join()

    def went_back(self) -> dict[str, list[int]]:
        """Return the daemons that ran an older version after a newer one."""
        return {
            name: seen
            for name, seen in self.versions.items()
            if seen != sorted(seen)
        }

    def _run(self) -> None:
        while not self._stop.wait(_POLL_S):
            for name in self._mesh.daemons():
                status = self._mesh.status(name)
                if status is None or not status.ready:
                    continue
                self.versions.setdefault(name, []).append(status.version)
                self.digests.setdefault(status.version, set()).add(
                    status.digest
                )


class Changes:
    """An operator who changes one file again and again."""

    def __init__(self, changed: mesh.Mesh) -> None:
        self._mesh = changed
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.number = 0

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> str:
        """End with one last change, and return its route's path."""
        self._stop.set()
        self._thread.join()
        path = mesh.wait_for(self._change, "the store to take a change")
        return path

    def _run(self) -> None:
        while not self._stop.wait(0.3):
            self._change()

    def _change(self) -> str:
        self.number += 1
        path = f"/open-days-{self.number}"
        text = (
            f'team = "schools"\n[route.open-days]\npath = "{path}"\n'
            'service = "glade"\nkind = "browse"\n'
        )
        try:
            self._mesh.push_file("50-open-days.toml", text)
        except errors.StoreError:
            time.sleep(0.1)
            return ""
        return path
