"""Parses and validates one operator's TOML file."""

from __future__ import annotations

import dataclasses
import functools
import re
import tomllib
import typing

import msgspec

from chiveroad.config import _customer_table
from chiveroad.config import _model
from chiveroad import errors

MAX_FILE_BYTES: typing.Final = 256 * 1024
DEFAULT_TIMEOUT_MS: typing.Final = 2_000

_FILE_NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9-]{0,98}\.toml")
_LINE_IN_MESSAGE: typing.Final = re.compile(r"at line (\d+)")
_FIELD_PATH_IN_MESSAGE: typing.Final = re.compile(r"`\$([^`]*)`")
_UNKNOWN_FIELD_IN_MESSAGE: typing.Final = re.compile(
    r"unknown field `([^`]*)`"
)
_METHODS: typing.Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Path = typing.Annotated[
    str, msgspec.Meta(pattern=r"^/([A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*/?)?$")
]
Host = typing.Annotated[
    str, msgspec.Meta(pattern=r"^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$")
]
Method = typing.Annotated[
    str, msgspec.Meta(pattern=rf"^({'|'.join(_METHODS)}|\*)$")
]
Weight = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Team = typing.Annotated[
    str, msgspec.Meta(pattern=r"^([a-z0-9][a-z0-9-]{0,62}|\*)$")
]


class KindTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The TOML table ``[service.NAME.kind.NAME]``."""

    idempotent: bool
    weight: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    timeout_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = (
        DEFAULT_TIMEOUT_MS
    )
    objective_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)] = 0
    max_attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=10)] = (
        _model.DEFAULT_MAX_ATTEMPTS
    )


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The TOML table ``[service.NAME]``."""

    kind: typing.Annotated[dict[Name, KindTable], msgspec.Meta(min_length=1)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 100
    queue_length: typing.Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 16
    open_to: tuple[Team, ...] = ("*",)


class RouteTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The TOML table ``[route.NAME]``."""

    path: Path
    kind: Name
    service: Name = ""
    split: dict[Name, Weight] = {}
    host: Host = ""
    methods: typing.Annotated[
        tuple[Method, ...], msgspec.Meta(min_length=1)
    ] = ("GET",)
    anonymous: bool = False

    def __post_init__(self) -> None:
        if bool(self.service) == bool(self.split):
            raise ValueError("a route needs either `service` or `split`")


class FileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The top level of a TOML file."""

    team: Name
    service: dict[Name, ServiceTable] = {}
    route: dict[Name, RouteTable] = {}
    customer: dict[Name, _customer_table.CustomerTable] = {}


@dataclasses.dataclass(frozen=True)
class Document:
    """A file that was parsed without error, before it is merged."""

    file: str
    text: str
    team: str
    services: tuple[_model.Service, ...]
    routes: tuple[_model.Route, ...]
    customers: tuple[_model.Customer, ...] = ()

    def line_of(self, table: str, name: str) -> int:
        """Return the number of the line that opens a table, or 0."""
        return find_line(self.text, [table, name])


def parse(file: str, text: str) -> Document:
    """Parse and validate one file.

    :raises errors.FileError: with the file's name, the line and the reason.

    >>> parse("10-glade.toml", 'team = "glade"').team
    'glade'
    """
    check_name(file)
    if len(text.encode()) > MAX_FILE_BYTES:
        raise errors.FileTooLarge(f"over {MAX_FILE_BYTES} bytes", file)
    try:
        table = msgspec.convert(tomllib.loads(text), FileTable)
    except tomllib.TOMLDecodeError as exc:
        match = _LINE_IN_MESSAGE.search(str(exc))
        line = int(match.group(1)) if match else text.count("\n") + 1
        raise errors.FileSyntax(str(exc), file, line) from exc
    except msgspec.ValidationError as exc:
        line = find_line(text, _keys_in_message(str(exc)))
        raise errors.FileShape(str(exc), file, line) from exc
    for name, customer in table.customer.items():
        line_of = functools.partial(_line_of_customer, text, name)
        _customer_table.check(name, customer, line_of, file)
    return Document(
        file,
        text,
        table.team,
        tuple(_service(n, table.team, t) for n, t in table.service.items()),
        tuple(_route(n, table.team, t) for n, t in table.route.items()),
        tuple(
            _customer_table.customer(n, t) for n, t in table.customer.items()
        ),
    )


def check_name(file: str) -> None:
    """Check that a file name is allowed in the folder.

    :raises errors.FileName: when it isn't.
    """
    if not _FILE_NAME.fullmatch(file):
        raise errors.FileName(f"the name {file!r} can't be used", file)


def find_line(text: str, keys: list[str]) -> int:
    """Return the line of the last of the keys that is found, or 0.

    :param keys: the path to a key, from the outermost table on.  The search
        for each key starts at the line of the key before, so that a key is
        found inside its own table.
    """
    line = 0
    for key in keys:
        line = _find_line_from(text, key, max(line, 1)) or line
    return line


def _line_of_customer(text: str, name: str, key: str) -> int:
    return find_line(text, ["customer", name, key])


def _find_line_from(text: str, key: str, start: int) -> int:
    pattern = re.compile(rf"(?<![\w-]){re.escape(key)}(?![\w-])")
    for number, line in enumerate(text.splitlines(), 1):
        if number >= start and pattern.search(line):
            return number
    return 0


def _keys_in_message(message: str) -> list[str]:
    path = _FIELD_PATH_IN_MESSAGE.search(message)
    keys = path.group(1).replace("[...]", "").split(".") if path else []
    unknown = _UNKNOWN_FIELD_IN_MESSAGE.search(message)
    if unknown:
        keys.append(unknown.group(1))
    return [key for key in keys if key]


def _service(name: str, team: str, table: ServiceTable) -> _model.Service:
    kinds = {
        kind_name: _model.Kind(
            kind_table.weight,
            kind_table.idempotent,
            kind_table.timeout_ms,
            kind_table.objective_ms,
            kind_table.max_attempts,
        )
        for kind_name, kind_table in sorted(table.kind.items())
    }
    return _model.Service(
        name=name,
        team=team,
        slots=table.slots,
        connections=table.connections,
        queue_length=table.queue_length,
        open_to=tuple(sorted(set(table.open_to))),
        kinds=kinds,
    )


def _route(name: str, team: str, table: RouteTable) -> _model.Route:
    split = tuple(
        _model.Share(service, weight)
        for service, weight in sorted(table.split.items())
    )
    return _model.Route(
        name=name,
        team=team,
        path=table.path,
        methods=tuple(sorted(set(table.methods))),
        service=table.service or split[0].service,
        kind=table.kind,
        host=table.host,
        split=split,
        anonymous=table.anonymous,
    )
