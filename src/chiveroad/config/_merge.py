"""Merging a folder of files into one whole configuration.

The merge is a pure function of the files and of what was last accepted, so
whichever instance runs it gets the same bytes.  A change that is at fault
falls back to the file's last good revision, and the rest is checked again,
until the whole holds; the last accepted set always does, so this ends.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chiveroad.config import _files
from chiveroad.config import _model
from chiveroad import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """One file as the folder holds it; ``revision`` is the store's."""

    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of one file.

    ``accepted_revision`` is the revision in force, or 0 where none is;
    ``code`` is 0 for a file that is in force as it stands.
    """

    file: str
    revision: int
    accepted_revision: int
    code: int = 0
    line: int = 0
    message: str = ""
    hint: str = ""


@dataclasses.dataclass(frozen=True)
class Merged:
    """The result: a whole valid configuration and a verdict for each file.

    ``sources`` are the file revisions that made it.
    """

    items: dict[str, str]
    sources: tuple[Source, ...]
    verdicts: tuple[Verdict, ...]


@dataclasses.dataclass(frozen=True)
class _Candidate:
    source: Source
    document: _files.Document
    changed: bool


@dataclasses.dataclass(frozen=True)
class _Fault:
    """An error, and the files whose change could have caused it."""

    error: errors.FileError
    suspects: tuple[str, ...]


def merge(
    folder: collections.abc.Sequence[Source],
    accepted: collections.abc.Sequence[Source] = (),
) -> Merged:
    """Merge the folder's files over the last accepted ones.

    :param folder: the files as they are now, in any order.
    :param accepted: the file revisions of the accepted version.
    :raises errors.CandidateRejected: when even the accepted files don't
        hold together, which only a change of chiveroad itself can cause.
    """
    good = {source.name: source for source in accepted}
    good_documents = {
        name: _files.parse(name, source.text) for name, source in good.items()
    }
    owners = _Owners(good_documents)
    candidates: dict[str, _Candidate] = {}
    faults: dict[str, errors.FileError] = {}
    for source in folder:
        try:
            candidates[source.name] = _candidate(source, good, good_documents)
        except errors.FileError as exc:
            faults[source.name] = exc
    _fall_back(candidates, faults, good, good_documents)
    while fault := _first_fault(candidates, owners):
        culprit = _culprit(fault, candidates, good_documents)
        if culprit in faults:
            raise errors.CandidateRejected(str(fault.error), culprit)
        faults[culprit] = fault.error
        candidates.pop(culprit, None)
        _fall_back(candidates, {culprit: fault.error}, good, good_documents)
    return Merged(
        items=_items(candidates),
        sources=tuple(candidates[name].source for name in sorted(candidates)),
        verdicts=tuple(_verdicts(folder, candidates, faults)),
    )


_Match = tuple[str, str, str]
"""What a route matches: a method, a path and a host."""


def _matches(route: _model.Route) -> collections.abc.Iterator[_Match]:
    for method in route.methods:
        yield method, route.path, route.host


class _Owners:
    """What the accepted version's files say, and who owns each name."""

    def __init__(
        self, documents: collections.abc.Mapping[str, _files.Document]
    ) -> None:
        self.services: dict[str, str] = {}
        self.routes: dict[str, str] = {}
        self.matches: dict[_Match, str] = {}
        self.accepted_routes: dict[str, _model.Route] = {}
        for _, document in sorted(documents.items()):
            for service in document.services:
                self.services[service.name] = document.team
            for route in document.routes:
                self.routes[route.name] = document.team
                self.accepted_routes[route.name] = route
                for match in _matches(route):
                    self.matches[match] = route.name


def _candidate(
    source: Source,
    good: collections.abc.Mapping[str, Source],
    documents: collections.abc.Mapping[str, _files.Document],
) -> _Candidate:
    known = good.get(source.name)
    if known is not None and known.text == source.text:
        return _Candidate(source, documents[source.name], changed=False)
    document = _files.parse(source.name, source.text)
    return _Candidate(source, document, changed=True)


def _fall_back(
    candidates: dict[str, _Candidate],
    faulty: collections.abc.Mapping[str, errors.FileError],
    good: collections.abc.Mapping[str, Source],
    documents: collections.abc.Mapping[str, _files.Document],
) -> None:
    for name in faulty:
        if name in good:
            candidates[name] = _Candidate(good[name], documents[name], False)


def _first_fault(
    candidates: collections.abc.Mapping[str, _Candidate], owners: _Owners
) -> _Fault | None:
    checks = (_check_owners, _check_routes, _check_matches)
    for check in checks:
        fault = next(check(candidates, owners), None)
        if fault is not None:
            return fault
    return None


def _documents(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> collections.abc.Iterator[_files.Document]:
    for name in sorted(candidates):
        yield candidates[name].document


def _check_owners(
    candidates: collections.abc.Mapping[str, _Candidate], owners: _Owners
) -> collections.abc.Iterator[_Fault]:
    services = _NameUse("service", errors.ServiceOwned, owners.services)
    routes = _NameUse("route", errors.RouteOwned, owners.routes)
    for document in _documents(candidates):
        services.add(document, [entry.name for entry in document.services])
        routes.add(document, [entry.name for entry in document.routes])
    yield from services.faults()
    yield from routes.faults()


class _NameUse:
    """Which files use each name of one table, in name order.

    A name belongs to the team that owned it in the accepted version, as
    long as a file of that team still uses it; else to the first user.
    """

    def __init__(
        self,
        table: str,
        error: type[errors.FileError],
        owners: collections.abc.Mapping[str, str],
    ) -> None:
        self._table = table
        self._error = error
        self._owners = owners
        self._users: dict[str, list[_files.Document]] = {}

    def add(
        self, document: _files.Document, names: collections.abc.Sequence[str]
    ) -> None:
        """Note the names that a file uses."""
        for name in names:
            self._users.setdefault(name, []).append(document)

    def faults(self) -> collections.abc.Iterator[_Fault]:
        """Yield a fault for each use by another team than the owner."""
        for name, users in self._users.items():
            teams = [document.team for document in users]
            owner = self._owners.get(name, teams[0])
            owner = owner if owner in teams else teams[0]
            holder = users[teams.index(owner)]
            for document in users:
                if document.team == owner:
                    continue
                line = document.line_of(self._table, name)
                message = f"{self._table} {name!r} belongs to {owner!r}"
                yield _Fault(
                    self._error(message, document.file, line),
                    (document.file, holder.file),
                )


def _check_routes(
    candidates: collections.abc.Mapping[str, _Candidate], owners: _Owners
) -> collections.abc.Iterator[_Fault]:
    services = _services(candidates)
    for document in _documents(candidates):
        for route in document.routes:
            for name in route.services():
                error = _route_error(route, name, services.get(name))
                if error is None:
                    continue
                error.file = document.file
                error.line = document.line_of("route", route.name)
                suspects = (document.file, f"@{name}")
                if owners.accepted_routes.get(route.name) == route:
                    # The route stood before: what it leads to has changed.
                    suspects = (f"@{name}", document.file)
                yield _Fault(error, suspects)


def _route_error(
    route: _model.Route, name: str, service: _model.Service | None
) -> errors.FileError | None:
    if service is None:
        return errors.DanglingRoute(
            f"route {route.name!r} leads to the service {name!r}, "
            "which no file defines"
        )
    if not service.admits(route.team):
        return errors.ServiceClosed(
            f"service {service.name!r} is not open to {route.team!r}"
        )
    if route.kind not in service.kinds:
        return errors.UnknownKind(
            f"service {service.name!r} has no kind {route.kind!r}"
        )
    return None


def _check_matches(
    candidates: collections.abc.Mapping[str, _Candidate], owners: _Owners
) -> collections.abc.Iterator[_Fault]:
    final = _routes(candidates)
    seen: dict[_Match, str] = {}
    for name in sorted(final):
        route, file = final[name]
        for match in _matches(route):
            other = seen.setdefault(match, name)
            if other == name:
                continue
            keeper = owners.matches.get(match)
            loser = other if keeper == name else name
            lost_route, lost_file = final[loser]
            document = candidates[lost_file].document
            message = (
                f"route {loser!r} matches {' '.join(match).strip()} as "
                f"{name if loser == other else other!r} does"
            )
            line = document.line_of("route", lost_route.name)
            error = errors.RouteConflict(message, lost_file, line)
            yield _Fault(error, (lost_file, file, final[other][1]))


def _culprit(
    fault: _Fault,
    candidates: collections.abc.Mapping[str, _Candidate],
    good: collections.abc.Mapping[str, _files.Document],
) -> str:
    """Return the file whose change is to be undone.

    An unchanged file can't be at fault: then the change or removal that
    took the service away is.
    """
    for suspect in fault.suspects:
        if suspect.startswith("@"):
            found = _changed_definer(suspect[1:], candidates, good)
            if found:
                return found
        elif suspect in candidates and candidates[suspect].changed:
            return suspect
    return fault.error.file


def _changed_definer(
    service: str,
    candidates: collections.abc.Mapping[str, _Candidate],
    good: collections.abc.Mapping[str, _files.Document],
) -> str | None:
    for name in sorted(good):
        names = {entry.name for entry in good[name].services}
        untouched = name in candidates and not candidates[name].changed
        if service in names and not untouched:
            return name
    for name in sorted(candidates):
        names = {e.name for e in candidates[name].document.services}
        if service in names and candidates[name].changed:
            return name
    return None


def _services(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> dict[str, _model.Service]:
    return {
        service.name: service
        for document in _documents(candidates)
        for service in document.services
    }


def _routes(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> dict[str, tuple[_model.Route, str]]:
    return {
        route.name: (route, document.file)
        for document in _documents(candidates)
        for route in document.routes
    }


def _items(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> dict[str, str]:
    services = _services(candidates).values()
    routes = [route for route, _ in _routes(candidates).values()]
    items = [_model.service_item(service) for service in services]
    items += [_model.route_item(route) for route in routes]
    return dict(sorted(items))


def _verdicts(
    folder: collections.abc.Sequence[Source],
    candidates: collections.abc.Mapping[str, _Candidate],
    faults: collections.abc.Mapping[str, errors.FileError],
) -> collections.abc.Iterator[Verdict]:
    present = {source.name: source.revision for source in folder}
    for name in sorted(set(present) | set(faults)):
        in_force = candidates.get(name)
        revision = present.get(name, 0)
        accepted = in_force.source.revision if in_force else 0
        fault = faults.get(name)
        if fault is None:
            yield Verdict(name, revision, accepted)
            continue
        message = fault.reason
        if revision == 0:
            message = f"the removal of {name} was not taken: {message}"
        yield Verdict(
            name,
            revision,
            accepted,
            fault.code,
            fault.line if fault.file == name else 0,
            message,
            fault.hint,
        )
