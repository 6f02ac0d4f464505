"""``chiveroad push``: making the stored folder equal to a local one."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import pathlib
import time
import typing

import msgspec

from chiveroad.cli import _check
from chiveroad.cli import _output
from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import store

VERDICT_LIMIT_S: typing.Final = 15.0
PROGRESS_EVERY: typing.Final = 20
MAX_WRITES: typing.Final = 4

_POLL_S: typing.Final = 0.1


class Action(enum.Enum):
    """What a push does with one file."""

    CREATE = "create"
    UPDATE = "update"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True)
class Change:
    """One planned write; ``version`` is the one it was planned against."""

    action: Action
    file: str
    text: str
    version: int


def plan(
    local: collections.abc.Sequence[config.Source],
    stored: collections.abc.Mapping[str, config.Source],
) -> list[Change]:
    """Return the writes that make the stored folder equal to the local one."""
    changes = []
    for source in local:
        known = stored.get(source.name)
        if known is None:
            changes.append(
                Change(Action.CREATE, source.name, source.text, store.ABSENT)
            )
        elif known.text != source.text:
            changes.append(
                Change(Action.UPDATE, source.name, source.text, known.revision)
            )
    names = {source.name for source in local}
    for name in sorted(set(stored) - names):
        changes.append(Change(Action.REMOVE, name, "", stored[name].revision))
    return changes


def read_stored(platform: store.Store) -> dict[str, config.Source]:
    """Return the folder as the store holds it."""
    listing = platform.list(store.Kind.FILES)
    return {
        stored.name: control.source_of(stored) for stored in listing.objects
    }


def apply(
    platform: store.Store,
    changes: collections.abc.Sequence[Change],
    told: collections.abc.Callable[[str], None],
) -> int:
    """Make the writes, in order, and return the last revision.

    :raises errors.StoreConflict: when another operator moved first; the
        message says how many files were written before.
    """
    revision = 0
    for number, change in enumerate(changes):
        try:
            revision = max(revision, _write(platform, change))
        except errors.StoreConflict as exc:
            raise errors.StoreConflict(
                f"{change.file} was changed by another operator; "
                f"{number} of {len(changes)} changes were made"
            ) from exc
        if number % PROGRESS_EVERY == PROGRESS_EVERY - 1:
            told(f"{number + 1} of {len(changes)} files written")
    return revision


def _write(platform: store.Store, change: Change) -> int:
    for _ in range(MAX_WRITES):
        try:
            return _write_once(platform, change)
        except errors.StoreOutcomeUnknown:
            settled = _settle(platform, change)
        if settled:
            return settled
    raise errors.StoreUnavailable(f"{change.file} was not written")


def _write_once(platform: store.Store, change: Change) -> int:
    if change.action is Action.REMOVE:
        platform.delete(store.Kind.FILES, change.file, change.version)
        return 0
    value = control.FolderFile(change.text)
    return platform.put(
        store.Kind.FILES, change.file, value, change.version
    ).version


def _settle(platform: store.Store, change: Change) -> int:
    """Read back after a lost answer.

    :returns: the revision when the write took effect, or 0 when it didn't.
    :raises errors.StoreConflict: when another write took effect instead.
    """
    try:
        stored = platform.get(store.Kind.FILES, change.file)
    except errors.StoreNotFound as exc:
        if change.action is Action.UPDATE:
            raise errors.StoreConflict(change.file) from exc
        return 1 if change.action is Action.REMOVE else 0
    if stored.version == change.version:
        return 0
    same = control.source_of(stored).text == change.text
    if change.action is Action.REMOVE or not same:
        raise errors.StoreConflict(change.file)
    return stored.version


def wait_for_verdict(
    platform: store.Store, revision: int, limit_s: float = VERDICT_LIMIT_S
) -> control.FolderStatus | None:
    """Wait until the folder has been judged, or return None at the limit."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        try:
            stored = platform.get(store.Kind.STATUSES, control.FILES_STATUS)
        except errors.StoreNotFound:
            time.sleep(_POLL_S)
            continue
        status = msgspec.json.decode(stored.spec, type=control.FolderStatus)
        if status.folder_version >= revision:
            return status
        time.sleep(_POLL_S)
    return None


def push(
    platform: store.Store,
    folder: pathlib.Path,
    agreed: collections.abc.Callable[[_output.Report], bool],
    told: collections.abc.Callable[[str], None],
) -> _output.Report:
    """Push a folder, after the plan was agreed to.

    :raises errors.FileError: when a local file can't be read as a
        configuration; nothing is written then.
    """
    local = _check.read_folder(folder)
    for source in local:
        config.parse(source.name, source.text)
    changes = plan(local, read_stored(platform))
    planned = plan_report(changes, folder)
    if not changes or not agreed(planned):
        return planned
    revision = apply(platform, changes, told)
    told("waiting for the verdict")
    status = wait_for_verdict(platform, revision)
    return verdict_report(status, changes)


def plan_report(
    changes: collections.abc.Sequence[Change], folder: pathlib.Path
) -> _output.Report:
    """Return the plan as a report."""
    rows = [[change.action.value, change.file] for change in changes]
    return _output.Report(
        value={"planned": rows},
        title=f"Plan for {folder}",
        columns=("action", "file"),
        rows=rows,
        notes=["Nothing to do."] if not changes else [],
    )


def verdict_report(
    status: control.FolderStatus | None,
    changes: collections.abc.Sequence[Change],
) -> _output.Report:
    """Return what became of a push as a report."""
    if status is None:
        return _output.Report(
            value={"written": len(changes), "judged": False},
            title="Push",
            columns=("written", "judged"),
            rows=[[str(len(changes)), "not yet"]],
            notes=["No verdict yet: see chiveroad status."],
            exit_code=errors.StoreError.exit_code,
        )
    names = {change.file for change in changes}
    refused = [f for f in status.files if f.code and f.file in names]
    rows = _check.verdict_rows(refused)
    return _output.Report(
        value={
            "written": len(changes),
            "judged": True,
            "version": status.version,
            "refused": refused,
        },
        title=f"Version {status.version}",
        columns=("refused file", "line", "verdict", "message", "hint"),
        rows=rows,
        notes=[f"{len(changes)} files written, {len(refused)} refused."],
        exit_code=errors.FileError.exit_code if refused else 0,
    )
