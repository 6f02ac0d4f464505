"""``chiveroad push``: makes the stored folder equal to a local folder."""

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

VERDICT_TIMEOUT_S: typing.Final = 15.0
PROGRESS_INTERVAL: typing.Final = 20
MAX_WRITE_ATTEMPTS: typing.Final = 4

_POLL_INTERVAL_S: typing.Final = 0.1


class Action(enum.Enum):
    """The kinds of changes to a file."""

    CREATE = "create"
    UPDATE = "update"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True)
class Change:
    """One planned write; ``version`` is the stored version when planned."""

    action: Action
    file: str
    text: str
    version: store.Revision


def plan(
    local: collections.abc.Sequence[config.Source],
    stored: collections.abc.Mapping[str, store.StoredObject],
) -> list[Change]:
    """Return the writes that make the stored folder equal to the local one."""
    changes = []
    for source in local:
        found = stored.get(source.name)
        if found is None:
            changes.append(
                Change(Action.CREATE, source.name, source.text, store.ABSENT)
            )
        elif control.source_of(found).text != source.text:
            changes.append(
                Change(Action.UPDATE, source.name, source.text, found.version)
            )
    names = {source.name for source in local}
    for name in sorted(set(stored) - names):
        changes.append(Change(Action.REMOVE, name, "", stored[name].version))
    return changes


def read_stored(platform: store.Store) -> dict[str, store.StoredObject]:
    """Return the files of the stored folder, by name."""
    listing = platform.list(store.Kind.FILES)
    return {stored.name: stored for stored in listing.objects}


def apply(
    platform: store.Store,
    changes: collections.abc.Sequence[Change],
    report_progress: collections.abc.Callable[[str], None],
) -> int:
    """Execute the writes in order, and return the last revision.

    :param report_progress: receives messages about the progress.
    :raises errors.StoreConflict: when another operator has changed a file
        meanwhile; the message says how many changes were made before.
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
        if number % PROGRESS_INTERVAL == PROGRESS_INTERVAL - 1:
            report_progress(f"{number + 1} of {len(changes)} files written")
    return revision


def _write(platform: store.Store, change: Change) -> int:
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            return _write_once(platform, change)
        except errors.StoreOutcomeUnknown:
            written_revision = _resolve_outcome(platform, change)
        if written_revision:
            return written_revision
    raise errors.StoreUnavailable(f"{change.file} was not written")


def _write_once(platform: store.Store, change: Change) -> int:
    if change.action is Action.REMOVE:
        platform.delete(store.Kind.FILES, change.file, change.version)
        return 0
    value = control.FolderFile(change.text)
    return platform.put(
        store.Kind.FILES, change.file, value, change.version
    ).version.number


def _resolve_outcome(platform: store.Store, change: Change) -> int:
    """Read the object after a lost answer, to find the write's outcome.

    :returns: the revision if the write took effect (1 for a removal), or 0
        if it didn't.
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
    is_same_text = control.source_of(stored).text == change.text
    if change.action is Action.REMOVE or not is_same_text:
        raise errors.StoreConflict(change.file)
    return stored.version.number


def wait_for_verdict(
    platform: store.Store, revision: int, limit_s: float = VERDICT_TIMEOUT_S
) -> control.FolderStatus | None:
    """Wait for the folder's verdict; return None at the time limit."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        try:
            stored = platform.get(store.Kind.STATUSES, control.FILES_STATUS)
        except errors.StoreNotFound:
            time.sleep(_POLL_INTERVAL_S)
            continue
        status = msgspec.json.decode(stored.spec, type=control.FolderStatus)
        if status.folder_version >= revision:
            return status
        time.sleep(_POLL_INTERVAL_S)
    return None


def push(
    platform: store.Store,
    folder: pathlib.Path,
    confirm: collections.abc.Callable[[_output.Report], bool],
    report_progress: collections.abc.Callable[[str], None],
) -> _output.Report:
    """Push a folder if the plan is confirmed.

    :param confirm: returns whether the plan is confirmed.
    :param report_progress: receives messages about the progress.
    :raises errors.FileError: when a local file is not a valid configuration;
        nothing is written then.
    """
    local = _check.read_folder(folder)
    for source in local:
        config.parse(source.name, source.text)
    changes = plan(local, read_stored(platform))
    planned = plan_report(changes, folder)
    if not changes or not confirm(planned):
        return planned
    revision = apply(platform, changes, report_progress)
    report_progress("waiting for the verdict")
    status = wait_for_verdict(platform, revision)
    return verdict_report(status, changes)


def plan_report(
    changes: collections.abc.Sequence[Change], folder: pathlib.Path
) -> _output.Report:
    """Return the report of a plan."""
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
    """Return the report of a push.

    :param status: the folder's status, or None without a verdict yet.
    """
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
