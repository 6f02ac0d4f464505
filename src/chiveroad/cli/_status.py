"""``chiveroad status``: shows the mesh's version and outdated daemons."""

from __future__ import annotations

import typing

import msgspec

from chiveroad.cli import _output
from chiveroad import control
from chiveroad import decoding
from chiveroad import errors
from chiveroad import store

_T = typing.TypeVar("_T")

_domain_decoder = msgspec.json.Decoder(control.DomainMembers)


class MeshStatus(msgspec.Struct):
    """The status of the whole mesh, as read from the store."""

    version: int
    digest: str
    folder: control.FolderStatus | None
    domains: list[control.DomainStatus]
    members: dict[str, int]


def read(platform: store.Store) -> MeshStatus:
    """Read the status from the store."""
    accepted = control.read_current(platform).accepted
    members: dict[str, int] = {}
    for stored in platform.list(store.Kind.DOMAINS).objects:
        try:
            domain_members = decoding.decode(_domain_decoder, stored.spec)
        except msgspec.DecodeError:
            # Another writer has left it; the daemons log why they ignore it.
            members["unreadable"] = members.get("unreadable", 0) + 1
            continue
        for member in domain_members.members:
            state = member.state.value
            members[state] = members.get(state, 0) + 1
    listing = platform.list(store.Kind.STATUSES, "domain-")
    return MeshStatus(
        version=accepted.version,
        digest=accepted.digest,
        folder=_read_folder(platform),
        domains=[
            msgspec.json.decode(stored.spec, type=control.DomainStatus)
            for stored in listing.objects
        ],
        members=members,
    )


def _read_folder(platform: store.Store) -> control.FolderStatus | None:
    try:
        stored = platform.get(store.Kind.STATUSES, control.FILES_STATUS)
    except errors.StoreNotFound:
        return None
    return msgspec.json.decode(stored.spec, type=control.FolderStatus)


def report(status: MeshStatus) -> _output.Report:
    """Return the report of a status."""
    rows = []
    for file in status.folder.files if status.folder else ():
        location = f"{file.file}:{file.line}" if file.line else file.file
        if file.code:
            in_force = "refused"
            if file.accepted_revision:
                in_force = f"refused; revision {file.accepted_revision} stays"
            rows.append([location, in_force, f"E{file.code} {file.message}"])
        else:
            rows.append([location, f"revision {file.revision}", ""])
    notes = [f"Version {status.version}, digest {status.digest[:12]}."]
    states = [f"{n} {state}" for state, n in sorted(status.members.items())]
    notes.append(f"Upstreams: {', '.join(states) or 'none known'}.")
    for domain in status.domains:
        behind = ", ".join(domain.behind) or "nobody"
        notes.append(
            f"{domain.failure_domain}: {domain.daemons} daemons, "
            f"relay {domain.relay}, "
            f"behind: {behind}."
        )
    return _output.Report(
        value=status,
        title="Files",
        columns=("file", "in force", "message"),
        rows=rows,
        notes=notes,
    )
