"""Records the versions in force on daemons while an operator edits files."""

from __future__ import annotations

import threading
import time

from chiveroad import errors
from standins import mesh

_POLL_INTERVAL_S = 0.05


class Monitor:
    """Polls all daemons, and records their versions and digests."""

    def __init__(self, running_mesh: mesh.Mesh) -> None:
        self._mesh = running_mesh
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.versions: dict[str, list[int]] = {}
        self.digests: dict[int, set[str]] = {}

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()
        self._thread.join()

    def went_back(self) -> dict[str, list[int]]:
        """Return the versions of daemons that went back to an older one."""
        return {
            name: versions
            for name, versions in self.versions.items()
            if versions != sorted(versions)
        }

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL_S):
            for name in self._mesh.daemons():
                status = self._mesh.status(name)
                if status is None or not status.ready:
                    continue
                self.versions.setdefault(name, []).append(status.version)
                self.digests.setdefault(status.version, set()).add(
                    status.digest
                )


class Changes:
    """Changes the path of one route repeatedly, as an operator would."""

    def __init__(self, running_mesh: mesh.Mesh) -> None:
        self._mesh = running_mesh
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.number = 0

    def start(self) -> None:
        """Start to change the file."""
        self._thread.start()

    def stop(self) -> str:
        """Stop after one last change, and return the path of its route."""
        self._stop.set()
        self._thread.join()
        path = mesh.wait_for(self._change, "the store to accept a change")
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
