"""Merges a folder of files into one valid configuration.

The merge is a pure function of the files and of the last accepted files, so
every instance that runs it gets the same bytes.  A file whose change is at
fault is reverted to its last accepted revision, and the check is repeated
until it finds no fault.  The last accepted files are valid together, so this
terminates.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chiveroad.config import _files
from chiveroad.config import _model
from chiveroad import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """One file of the folder, with its revision in the store."""

    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of the merge for one file.

    ``accepted_revision`` is the revision in force, or 0 if there is none.
    ``code`` is 0 for a file whose present revision is in force.
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
    """A valid configuration, and a verdict for each file.

    ``sources`` are the file revisions that the configuration consists of.
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
    """An error, and the files whose change could have caused it.

    ``suspects`` are names of files, the likeliest first; ``@NAME`` stands
    for the file that defines the service.
    """

    error: errors.FileError
    suspects: tuple[str, ...]


def merge(
    folder: collections.abc.Sequence[Source],
    accepted: collections.abc.Sequence[Source] = (),
) -> Merged:
    """Merge the folder's files, reverting faulty ones to accepted revisions.

    :param folder: the present files, in any order.
    :param accepted: the file revisions of the accepted version.
    :raises errors.CandidateRejected: when even the accepted files aren't
        valid together, which only a change of chiveroad itself can cause.
    """
    accepted_sources = {source.name: source for source in accepted}
    accepted_documents = {
        name: _files.parse(name, source.text)
        for name, source in accepted_sources.items()
    }
    accepted_state = _AcceptedState(accepted_documents)
    candidates: dict[str, _Candidate] = {}
    faults: dict[str, errors.FileError] = {}
    for source in folder:
        try:
            candidates[source.name] = _make_candidate(
                source, accepted_sources, accepted_documents
            )
        except errors.FileError as exc:
            faults[source.name] = exc
    _revert_to_accepted(
        candidates, faults, accepted_sources, accepted_documents
    )
    while fault := _first_fault(candidates, accepted_state):
        reverted = _file_to_revert(fault, candidates, accepted_documents)
        if reverted in faults:
            raise errors.CandidateRejected(str(fault.error), reverted)
        faults[reverted] = fault.error
        candidates.pop(reverted, None)
        _revert_to_accepted(
            candidates,
            {reverted: fault.error},
            accepted_sources,
            accepted_documents,
        )
    return Merged(
        items=_items(candidates),
        sources=tuple(candidates[name].source for name in sorted(candidates)),
        verdicts=tuple(_verdicts(folder, candidates, faults)),
    )


_RouteMatch = tuple[str, str, str]
"""A method, a path and a host."""


def _matches(route: _model.Route) -> collections.abc.Iterator[_RouteMatch]:
    for method in route.methods:
        yield method, route.path, route.host


class _AcceptedState:
    """The routes of the accepted version, and the owner of each name.

    ``holders`` are the names of customers by the digests of their keys.
    """

    def __init__(
        self, documents: collections.abc.Mapping[str, _files.Document]
    ) -> None:
        self.service_owners: dict[str, str] = {}
        self.customer_owners: dict[str, str] = {}
        self.holders: dict[str, str] = {}
        self.route_owners: dict[str, str] = {}
        self.route_names: dict[_RouteMatch, str] = {}
        self.accepted_routes: dict[str, _model.Route] = {}
        for _, document in sorted(documents.items()):
            for service in document.services:
                self.service_owners[service.name] = document.team
            for customer in document.customers:
                self.customer_owners[customer.name] = document.team
                for digest in customer.key_digests:
                    self.holders[digest] = customer.name
            for route in document.routes:
                self.route_owners[route.name] = document.team
                self.accepted_routes[route.name] = route
                for match in _matches(route):
                    self.route_names[match] = route.name


def _make_candidate(
    source: Source,
    accepted_sources: collections.abc.Mapping[str, Source],
    accepted_documents: collections.abc.Mapping[str, _files.Document],
) -> _Candidate:
    accepted_source = accepted_sources.get(source.name)
    if accepted_source is not None and accepted_source.text == source.text:
        return _Candidate(
            source, accepted_documents[source.name], changed=False
        )
    document = _files.parse(source.name, source.text)
    return _Candidate(source, document, changed=True)


def _revert_to_accepted(
    candidates: dict[str, _Candidate],
    faults: collections.abc.Mapping[str, errors.FileError],
    accepted_sources: collections.abc.Mapping[str, Source],
    accepted_documents: collections.abc.Mapping[str, _files.Document],
) -> None:
    for name in faults:
        if name in accepted_sources:
            candidates[name] = _Candidate(
                accepted_sources[name], accepted_documents[name], False
            )


def _first_fault(
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_state: _AcceptedState,
) -> _Fault | None:
    checks = (_check_owners, _check_routes, _check_matches, _check_keys)
    for check in checks:
        fault = next(check(candidates, accepted_state), None)
        if fault is not None:
            return fault
    return None


def _documents(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> collections.abc.Iterator[_files.Document]:
    for name in sorted(candidates):
        yield candidates[name].document


def _check_owners(
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_state: _AcceptedState,
) -> collections.abc.Iterator[_Fault]:
    services = _NameUsage(
        "service", errors.ServiceOwned, accepted_state.service_owners
    )
    routes = _NameUsage(
        "route", errors.RouteOwned, accepted_state.route_owners
    )
    customers = _NameUsage(
        "customer", errors.CustomerOwned, accepted_state.customer_owners
    )
    for document in _documents(candidates):
        customers.add(
            document, [definition.name for definition in document.customers]
        )
        services.add(
            document, [definition.name for definition in document.services]
        )
        routes.add(
            document, [definition.name for definition in document.routes]
        )
    yield from services.faults()
    yield from routes.faults()
    yield from customers.faults()


class _NameUsage:
    """The files that use each name of one table, in order of file names.

    A name belongs to the team that owned it in the accepted version, as
    long as a file of that team still uses it; otherwise to the team of the
    first file that uses it.
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
        """Add the names that a file uses."""
        for name in names:
            self._users.setdefault(name, []).append(document)

    def faults(self) -> collections.abc.Iterator[_Fault]:
        """Yield a fault for each use by a team that doesn't own the name."""
        for name, users in self._users.items():
            teams = [document.team for document in users]
            owner = self._owners.get(name, teams[0])
            owner = owner if owner in teams else teams[0]
            owner_document = users[teams.index(owner)]
            for document in users:
                if document.team == owner:
                    continue
                line = document.line_of(self._table, name)
                message = f"{self._table} {name!r} belongs to {owner!r}"
                yield _Fault(
                    self._error(message, document.file, line),
                    (document.file, owner_document.file),
                )


def _check_routes(
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_state: _AcceptedState,
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
                if accepted_state.accepted_routes.get(route.name) == route:
                    # The route is unchanged, so its service must have changed.
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
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_state: _AcceptedState,
) -> collections.abc.Iterator[_Fault]:
    routes = _routes(candidates)
    first_names: dict[_RouteMatch, str] = {}
    for name in sorted(routes):
        route, file = routes[name]
        for match in _matches(route):
            other = first_names.setdefault(match, name)
            if other == name:
                continue
            accepted_route = accepted_state.route_names.get(match)
            rejected = other if accepted_route == name else name
            rejected_route, rejected_file = routes[rejected]
            document = candidates[rejected_file].document
            message = (
                f"route {rejected!r} matches {' '.join(match).strip()} as "
                f"{name if rejected == other else other!r} does"
            )
            line = document.line_of("route", rejected_route.name)
            error = errors.RouteConflict(message, rejected_file, line)
            yield _Fault(error, (rejected_file, file, routes[other][1]))


def _check_keys(
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_state: _AcceptedState,
) -> collections.abc.Iterator[_Fault]:
    customers = _customers(candidates)
    first_names: dict[str, str] = {}
    for name in sorted(customers):
        customer, file = customers[name]
        for digest in customer.key_digests:
            other = first_names.setdefault(digest, name)
            if other == name:
                continue
            holder = accepted_state.holders.get(digest)
            rejected = other if holder == name else name
            kept = name if rejected == other else other
            rejected_file = customers[rejected][1]
            document = candidates[rejected_file].document
            line = document.line_of("customer", rejected)
            error = errors.KeyDigestShared(
                f"customer {rejected!r} holds a key of customer {kept!r}",
                rejected_file,
                line,
            )
            yield _Fault(error, (rejected_file, file, customers[other][1]))


def _file_to_revert(
    fault: _Fault,
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_documents: collections.abc.Mapping[str, _files.Document],
) -> str:
    """Return the file whose change is to be reverted.

    An unchanged file can't be at fault; the change or removal of the file
    that defines the service is reverted then.
    """
    for suspect in fault.suspects:
        if suspect.startswith("@"):
            defining_file = _changed_definition_file(
                suspect[1:], candidates, accepted_documents
            )
            if defining_file:
                return defining_file
        elif suspect in candidates and candidates[suspect].changed:
            return suspect
    return fault.error.file


def _changed_definition_file(
    service: str,
    candidates: collections.abc.Mapping[str, _Candidate],
    accepted_documents: collections.abc.Mapping[str, _files.Document],
) -> str | None:
    for name in sorted(accepted_documents):
        service_names = {
            definition.name for definition in accepted_documents[name].services
        }
        unchanged = name in candidates and not candidates[name].changed
        if service in service_names and not unchanged:
            return name
    for name in sorted(candidates):
        service_names = {e.name for e in candidates[name].document.services}
        if service in service_names and candidates[name].changed:
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


def _customers(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> dict[str, tuple[_model.Customer, str]]:
    return {
        customer.name: (customer, document.file)
        for document in _documents(candidates)
        for customer in document.customers
    }


def _items(
    candidates: collections.abc.Mapping[str, _Candidate],
) -> dict[str, str]:
    services = _services(candidates).values()
    routes = [route for route, _ in _routes(candidates).values()]
    items = [_model.service_item(service) for service in services]
    items += [_model.route_item(route) for route in routes]
    customers = [customer for customer, _ in _customers(candidates).values()]
    items += [_model.customer_item(customer) for customer in customers]
    return dict(sorted(items))


def _verdicts(
    folder: collections.abc.Sequence[Source],
    candidates: collections.abc.Mapping[str, _Candidate],
    faults: collections.abc.Mapping[str, errors.FileError],
) -> collections.abc.Iterator[Verdict]:
    revisions = {source.name: source.revision for source in folder}
    for name in sorted(set(revisions) | set(faults)):
        candidate = candidates.get(name)
        revision = revisions.get(name, 0)
        accepted_revision = candidate.source.revision if candidate else 0
        fault = faults.get(name)
        if fault is None:
            yield Verdict(name, revision, accepted_revision)
            continue
        message = fault.reason
        if revision == 0:
            message = f"the removal of {name} was not taken: {message}"
        yield Verdict(
            name,
            revision,
            accepted_revision,
            fault.code,
            fault.line if fault.file == name else 0,
            message,
            fault.hint,
        )
