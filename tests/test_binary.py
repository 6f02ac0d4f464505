"""The one file: it starts no process and writes to no storage."""

from __future__ import annotations

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from standins import binary
from standins import mesh

PAIR = mesh.Deployment("pair", "r", {"r": ["a"]}, {"glade": 1})


def test_a_daemon_from_the_binary(tmp_path: pathlib.Path) -> None:
    binary.main()
    # Unpacking the binary isn't the program's own writing.
    memory = "/dev/shm" if os.path.isdir("/dev/shm") else None
    unpacked = tempfile.mkdtemp(prefix="chiveroad-", dir=memory)
    with mesh.Mesh(PAIR) as on:
        on.start_store()
        on.start_target("glade-1")
        settings = on.path / "daemon.toml"
        settings.write_text(on.settings_of("glade-1"))
        process = subprocess.Popen(
            [sys.executable, str(binary.BINARY), "daemon", str(settings)],
            cwd=tmp_path,
            # The log goes there; a file of the test run's own would count.
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={
                "HOME": str(tmp_path),
                "SHIV_ROOT": str(unpacked),
                "PATH": os.environ["PATH"],
            },
        )
        children = set()

        def ready() -> bool:
            children.update(_children(process.pid))
            status = on.status("glade-1")
            return status is not None and status.ready

        mesh.wait_for(ready, "the daemon to be ready")
        time.sleep(1)
        children.update(_children(process.pid))
        written = _stored_bytes(process.pid)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=60)
    shutil.rmtree(unpacked)
    assert process.returncode == 0
    assert not children
    assert not written
    assert not list(tmp_path.iterdir())


def _children(pid: int) -> set[str]:
    found: set[str] = set()
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            found.update((task / "children").read_text().split())
        except OSError:
            continue
    return found


def _stored_bytes(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("write_bytes:"):
            return int(line.partition(":")[2])
    raise AssertionError("the kernel tells no write_bytes")
