"""``chiveroad check``: validates a local folder, without store or daemon."""

from __future__ import annotations

import collections
import collections.abc
import pathlib

from chiveroad.cli import _output
from chiveroad import config
from chiveroad import errors


def read_folder(folder: pathlib.Path) -> list[config.Source]:
    """Read the TOML files of a local folder, in name order.

    :raises errors.UsageError: when the folder or a file can't be read.
    """
    if not folder.is_dir():
        raise errors.UsageError(f"{folder} is not a folder")
    sources = []
    for path in sorted(folder.iterdir()):
        if path.suffix != ".toml" or not path.is_file():
            continue
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.UsageError(f"{path}: {exc}") from exc
        sources.append(config.Source(path.name, 1, text))
    return sources


def check(folder: pathlib.Path) -> _output.Report:
    """Return the verdicts that a merge of the folder gives."""
    merged = config.merge(read_folder(folder))
    refused = [verdict for verdict in merged.verdicts if verdict.code]
    counts = collections.Counter(key.partition("/")[0] for key in merged.items)
    notes = [
        f"{len(merged.verdicts)} files, {len(refused)} refused, "
        f"{counts['service']} services, {counts['route']} routes, "
        f"{counts['customer']} customers."
    ]
    return _output.Report(
        value=merged.verdicts,
        title=f"Folder {folder}",
        columns=("file", "line", "verdict", "message", "hint"),
        rows=verdict_rows(merged.verdicts),
        notes=notes,
        exit_code=errors.FileError.exit_code if refused else 0,
    )


def verdict_rows(
    verdicts: collections.abc.Sequence[config.Verdict],
) -> list[list[str]]:
    """Return the table rows of verdicts."""
    return [
        [
            verdict.file,
            str(verdict.line or ""),
            f"E{verdict.code}" if verdict.code else "ok",
            verdict.message,
            verdict.hint,
        ]
        for verdict in verdicts
    ]
