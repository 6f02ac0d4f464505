"""``make binary``: builds the program as a single executable file."""

from __future__ import annotations

import subprocess
import sys
import typing

from standins import mesh

UNPACKED: typing.Final = "/run/chiveroad"
BINARY: typing.Final = mesh.ROOT / "build" / "chiveroad"


def main() -> None:
    """Build the file, and print its size."""
    BINARY.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--console-script",
            "chiveroad",
            "--python",
            "/usr/bin/env python3.11",
            "--root",
            UNPACKED,
            "--output-file",
            str(BINARY),
            str(mesh.ROOT),
            "--constraint",
            str(mesh.ROOT / "requirements.lock"),
            "--quiet",
        ],
        check=True,
        cwd=mesh.ROOT,
    )
    size_mb = BINARY.stat().st_size / 1_000_000
    print(f"{BINARY.relative_to(mesh.ROOT)}: {size_mb:.1f} MB")


if __name__ == "__main__":
    main()
