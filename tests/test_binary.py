"""Test of the binary: it starts no process and writes nothing to storage."""

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

ONE_INSTANCE = mesh.Deployment("pair", "r", {"r": ["a"]}, {"glade": 1})


def test_binary_daemon_starts_no_process_and_writes_nothing(
    tmp_path: pathlib.Path,
) -> None:
    binary.main()
    # Files that are unpacked from the binary don't count as written.
    memory_dir = "/dev/shm" if os.path.isdir("/dev/shm") else None
    unpack_dir = tempfile.mkdtemp(prefix="chiveroad-", dir=memory_dir)
    with mesh.Mesh(ONE_INSTANCE) as running_mesh:
        running_mesh.start_store()
        running_mesh.start_target("glade-1")
        settings = running_mesh.path / "daemon.toml"
        settings.write_text(running_mesh.settings_of("glade-1"))
        process = subprocess.Popen(
            [sys.executable, str(binary.BINARY), "daemon", str(settings)],
            cwd=tmp_path,
            # The log goes to pipes; log lines in a file would be counted.
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={
                "HOME": str(tmp_path),
                "SHIV_ROOT": str(unpack_dir),
                "PATH": os.environ["PATH"],
            },
        )
        children = set()

        def ready() -> bool:
            children.update(_children(process.pid))
            status = running_mesh.status("glade-1")
            return status is not None and status.ready

        mesh.wait_for(ready, "the daemon to be ready")
        time.sleep(1)
        children.update(_children(process.pid))
        written = _written_bytes(process.pid)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=60)
    shutil.rmtree(unpack_dir)
    assert process.returncode == 0
    assert not children
    assert not written
    assert not list(tmp_path.iterdir())


def _children(pid: int) -> set[str]:
    children_found: set[str] = set()
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            children_found.update((task / "children").read_text().split())
        except OSError:
            continue
    return children_found


def _written_bytes(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("write_bytes:"):
            return int(line.partition(":")[2])
    raise AssertionError(f"/proc/{pid}/io has no line write_bytes")
