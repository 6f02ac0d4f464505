"""Reading one operator's file: TOML text in, a checked document out."""

from __future__ import annotations

import dataclasses
import re
import tomllib
import typing

import msgspec

from chiveroad.config import _model
from chiveroad import errors

MAX_FILE_BYTES: typing.Final = 256 * 1024
DEFAULT_TIMEOUT_MS: typing.Final = 2_000

_FILE_NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9-]{0,98}\.toml")
_LINE: typing.Final = re.compile(r"at line (\d+)")
_FIELD: typing.Final = re.compile(r"`\$([^`]*)`")
_UNKNOWN: typing.Final = re.compile(r"unknown field `([^`]*)`")
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
    """The table ``[service.NAME.kind.NAME]``."""

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
    """The table ``[service.NAME]``."""

    kind: typing.Annotated[dict[Name, KindTable], msgspec.Meta(min_length=1)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 100
    queue_length: typing.Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 16
    open_to: tuple[Team, ...] = ("*",)


class RouteTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table ``[route.NAME]``."""

    path: Path
    kind: Name
    service: Name = ""
    split: dict[Name, Weight] = {}
    host: Host = ""
    methods: typing.Annotated[
        tuple[Method, ...], msgspec.Meta(min_length=1)
    ] = ("GET",)

    def __post_init__(self) -> None:
        if bool(self.service) == bool(self.split):
            raise ValueError("a route needs either `service` or `split`")


class FileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A whole file."""

    team: Name
    service: dict[Name, ServiceTable] = {}
    route: dict[Name, RouteTable] = {}


@dataclasses.dataclass(frozen=True)
class Document:
    """A file that was read without error, not yet merged with others."""

    file: str
    text: str
    team: str
    services: tuple[_model.Service, ...]
    routes: tuple[_model.Route, ...]

    def line_of(self, table: str, name: str) -> int:
        """Return the line that opens a table, or 0."""
        return find_line(self.text, [table, name])


def parse(file: str, text: str) -> Document:
    """Read one file.

    :raises errors.FileError: with the file, the line and the reason.

    >>> parse("10-glade.toml", 'team = "glade"').team
    'glade'
    """
    check_name(file)
    if len(text.encode()) > MAX_FILE_BYTES:
        raise errors.FileTooLarge(f"over {MAX_FILE_BYTES} bytes", file)
    try:
        table = msgspec.convert(tomllib.loads(text), FileTable)
    except tomllib.TOMLDecodeError as exc:
        found = _LINE.search(str(exc))
        line = int(found.group(1)) if found else text.count("\n") + 1
        raise errors.FileSyntax(str(exc), file, line) from exc
    except msgspec.ValidationError as exc:
        line = find_line(text, _words(str(exc)))
        raise errors.FileShape(str(exc), file, line) from exc
    return Document(
        file,
        text,
        table.team,
        tuple(_service(n, table.team, t) for n, t in table.service.items()),
        tuple(_route(n, table.team, t) for n, t in table.route.items()),
    )


def check_name(file: str) -> None:
    """Refuse a file name that the folder can't hold."""
    if not _FILE_NAME.fullmatch(file):
        raise errors.FileName(f"the name {file!r} can't be used", file)


def find_line(text: str, words: list[str]) -> int:
    """Return the first line that holds the words in turn, or 0.

    The search moves from the first word's line to the next word's, so that
    a key is found inside its own table.
    """
    number = 0
    for word in words:
        number = _next_line(text, word, max(number, 1)) or number
    return number


def _next_line(text: str, word: str, start: int) -> int:
    pattern = re.compile(rf"(?<![\w-]){re.escape(word)}(?![\w-])")
    for number, line in enumerate(text.splitlines(), 1):
        if number >= start and pattern.search(line):
            return number
    return 0


def _words(message: str) -> list[str]:
    path = _FIELD.search(message)
    words = path.group(1).replace("[...]", "").split(".") if path else []
    unknown = _UNKNOWN.search(message)
    if unknown:
        words.append(unknown.group(1))
    return [word for word in words if word]


def _service(name: str, team: str, table: ServiceTable) -> _model.Service:
    kinds = {
        kind: _model.Kind(
            entry.weight,
            entry.idempotent,
            entry.timeout_ms,
            entry.objective_ms,
            entry.max_attempts,
        )
        for kind, entry in sorted(table.kind.items())
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
    )
