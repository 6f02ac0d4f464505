"""Tests of parsing, merging and compiling the configuration."""

from __future__ import annotations

import itertools
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad import config
from chiveroad import errors

GLADE: typing.Final = """team = "glade"
[service.glade]
slots = 12
[service.glade.kind.browse]
idempotent = true
[route.sessions]
path = "/sessions"
service = "glade"
kind = "browse"
"""
SCHOOLS: typing.Final = """team = "schools"
[route.schools]
path = "/schools"
service = "glade"
kind = "browse"
"""


def source(name: str, text: str, revision: int = 1) -> config.Source:
    """Return a file of the folder."""
    return config.Source(name, revision, text)


BASE: typing.Final = (
    source("10-glade.toml", GLADE),
    source("40-s.toml", SCHOOLS),
)


@pytest.mark.parametrize(
    ("name", "text", "error", "line"),
    [
        ("a.toml", 'team = "a"\nx =', errors.FileSyntax, 2),
        ("a.toml", 'team = "a"\nslots = 1\n', errors.FileShape, 2),
        ("a.toml", 'team = "A!"\n', errors.FileShape, 1),
        ("a.toml", "", errors.FileShape, 0),
        ("a.toml", GLADE.replace("12", "0"), errors.FileShape, 3),
        ("a.toml", GLADE.replace("12", '"12"'), errors.FileShape, 3),
        ("a.toml", GLADE.replace("/sessions", "s"), errors.FileShape, 7),
        ("a.toml", GLADE.replace("true", "1"), errors.FileShape, 5),
        ("a.toml", GLADE.replace("kind =", "sort ="), errors.FileShape, 9),
        ("A.toml", GLADE, errors.FileName, 0),
        ("../a.toml", GLADE, errors.FileName, 0),
        ("a.toml", "#" * 300_000, errors.FileTooLarge, 0),
    ],
)
def test_invalid_file_is_rejected_with_its_line(
    name: str, text: str, error: type[errors.FileError], line: int
) -> None:
    with pytest.raises(error) as caught:
        config.parse(name, text)
    assert caught.value.file == name
    assert caught.value.line == line


OTHER_TEAM: typing.Final = 'team = "rival"\n'
ROUTE_TEMPLATE: typing.Final = (
    '[route.{name}]\npath = "{path}"\nservice = "{service}"\nkind = "{kind}"\n'
)


def route(
    name: str = "r",
    path: str = "/r",
    service: str = "glade",
    kind: str = "browse",
) -> str:
    """Return a file of another team with one route."""
    return OTHER_TEAM + ROUTE_TEMPLATE.format(
        name=name, path=path, service=service, kind=kind
    )


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (GLADE.replace('"glade"', '"rival"', 1), errors.ServiceOwned.code),
        (route(name="sessions"), errors.RouteOwned.code),
        (route(service="hollow"), errors.DanglingRoute.code),
        (route(kind="book"), errors.UnknownKind.code),
        (route(path="/sessions"), errors.RouteConflict.code),
        ("team = ", errors.FileSyntax.code),
    ],
)
@pytest.mark.parametrize("name", ["05-rival.toml", "50-rival.toml"])
def test_invalid_file_of_another_team_changes_nothing(
    name: str, text: str, code: int
) -> None:
    before = config.merge(BASE)
    after = config.merge([*BASE, source(name, text)], before.sources)
    assert after.items == before.items
    [verdict] = [v for v in after.verdicts if v.code]
    assert (verdict.file, verdict.code) == (name, code)
    assert verdict.accepted_revision == 0


def test_invalid_change_is_reverted_while_valid_change_is_accepted() -> None:
    before = config.merge(BASE)
    changed = [
        source("10-glade.toml", GLADE.replace("12", "0"), 2),
        source("40-s.toml", SCHOOLS.replace("/schools", "/pupils"), 3),
    ]
    after = config.merge(changed, before.sources)
    assert after.items["service/glade"] == before.items["service/glade"]
    assert "/pupils" in after.items["route/schools"]
    verdicts = {v.file: v for v in after.verdicts}
    assert verdicts["10-glade.toml"].accepted_revision == 1
    assert verdicts["40-s.toml"].accepted_revision == 3


def test_removal_that_leaves_a_route_dangling_is_reverted() -> None:
    before = config.merge(BASE)
    after = config.merge(BASE[1:], before.sources)
    assert after.items == before.items
    [verdict] = [v for v in after.verdicts if v.code]
    assert verdict.file == "10-glade.toml"
    assert verdict.code == errors.DanglingRoute.code
    assert verdict.revision == 0


def test_removal_is_reverted_before_a_changed_file_with_the_route() -> None:
    before = config.merge(BASE)
    changed = source("40-s.toml", f"# why\n{SCHOOLS}", 2)
    after = config.merge([changed], before.sources)
    verdicts = {v.file: (v.code, v.accepted_revision) for v in after.verdicts}
    assert verdicts == {
        "10-glade.toml": (errors.DanglingRoute.code, 1),
        "40-s.toml": (0, 2),
    }


def test_closing_a_service_to_its_users_reverts_the_owners_file() -> None:
    before = config.merge(BASE)
    closed = GLADE.replace("slots = 12", "slots = 12\nopen_to = []")
    after = config.merge(
        [source("10-glade.toml", closed, 2), BASE[1]], before.sources
    )
    [verdict] = [v for v in after.verdicts if v.code]
    assert verdict.file == "10-glade.toml"
    assert verdict.code == errors.ServiceClosed.code


def test_name_released_by_its_owner_can_be_used_by_another_team() -> None:
    before = config.merge(BASE[:1])
    taken = GLADE.replace('"glade"', '"rival"', 1)
    after = config.merge([source("20-rival.toml", taken)], before.sources)
    assert not [v for v in after.verdicts if v.code]
    assert '"team":"rival"' in after.items["service/glade"]


def test_later_files_of_a_team_override_earlier_files() -> None:
    more = GLADE.replace("12", "30")
    merged = config.merge([*BASE, source("11-glade.toml", more)])
    assert '"slots":30' in merged.items["service/glade"]


TEXTS: typing.Final = [
    GLADE,
    GLADE.replace("12", "13"),
    GLADE.replace("12", "0"),
    GLADE.replace('"glade"', '"rival"', 1),
    SCHOOLS,
    SCHOOLS.replace("glade", "hollow"),
    SCHOOLS.replace("/schools", "/sessions"),
    GLADE.replace("browse", "book"),
    GLADE.replace("slots", "open_to = []\nslots"),
    route(),
    "nonsense",
]
NAMES: typing.Final = ["10-a.toml", "20-b.toml", "30-c.toml", "40-d.toml"]
folders = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(TEXTS))


@hypothesis.given(st.lists(folders, min_size=1, max_size=4))
@hypothesis.settings(max_examples=200, deadline=None)
def test_merges_are_valid_idempotent_and_independent_of_order(
    history: list[dict[str, str]],
) -> None:
    accepted: tuple[config.Source, ...] = ()
    for revision, folder in enumerate(history, 1):
        sources = [source(n, t, revision) for n, t in folder.items()]
        results = [
            config.merge(order, accepted)
            for order in itertools.islice(itertools.permutations(sources), 3)
        ]
        assert all(result == results[0] for result in results)
        merged = results[0]
        compiled = config.Config(merged.items)
        assert not compiled.dangling()
        for compiled_route in compiled.routes.values():
            assert compiled.services[compiled_route.service].admits(
                compiled_route.team
            )
        remerged = config.merge(merged.sources, merged.sources)
        assert remerged.items == merged.items
        accepted = merged.sources


@hypothesis.given(
    st.dictionaries(st.text(max_size=8), st.text(max_size=8)),
    st.dictionaries(st.text(max_size=8), st.text(max_size=8)),
)
def test_delta_turns_old_items_into_new_items(
    old: dict[str, str], new: dict[str, str]
) -> None:
    delta = config.unpack_delta(config.pack_delta(config.diff(old, new)))
    assert config.patch(old, delta) == new
    assert config.unpack(config.pack(new), config.digest(new)) == new
    if old != new:
        other = {**old, "another key": "value"}
        with pytest.raises(errors.DigestMismatch):
            config.patch(other, delta)


@pytest.mark.parametrize("length", [0, 1, 10])
def test_truncated_snapshot_is_rejected(length: int) -> None:
    items = config.merge(BASE).items
    packed = config.pack(items)[:length]
    with pytest.raises(errors.DigestMismatch):
        config.unpack(packed, config.digest(items))


@pytest.mark.parametrize(
    ("method", "path", "route_name"),
    [
        ("GET", "/sessions", "sessions"),
        ("GET", "/sessions/17/days", "sessions"),
        ("GET", "/sessions/", "sessions"),
        ("GET", "/sessionsX", None),
        ("POST", "/sessions", None),
        ("GET", "/", None),
    ],
)
def test_route_matches_whole_path_segments(
    method: str, path: str, route_name: str | None
) -> None:
    compiled = config.Config(config.merge(BASE).items)
    matched = compiled.match(method, path)
    assert (matched.name if matched else None) == route_name


ROUTE_NAMES = st.sampled_from(["a", "b", "c", "d"])


@hypothesis.given(
    st.lists(
        st.dictionaries(
            ROUTE_NAMES, st.sampled_from(["/x", "/y", "/x/z"]), min_size=1
        ),
        min_size=2,
        max_size=5,
    )
)
def test_config_compiled_from_the_previous_one_equals_a_full_compile(
    versions: list[dict[str, str]],
) -> None:
    """Routes may be added, removed or moved to another path or host."""
    service = config.Service(
        "s", "t", 1, 1, 1, ("*",), {"k": config.Kind(1, True, 1)}
    )
    incremental: config.Config | None = None
    for paths in versions:
        routes = [
            config.Route(name, "t", path, ("*",), "s", "k", host=f"h-{path}")
            for name, path in paths.items()
        ]
        pairs = [config.service_item(service)]
        pairs += map(config.route_item, routes)
        items = dict(sorted(pairs))
        full = config.Config(items)
        incremental = config.Config(items, previous=incremental)
        assert incremental.routes == full.routes
        assert incremental.services == full.services
        for path in ("/x", "/y", "/x/z", "/x/z/1"):
            for host in ("h-/x", "h-/y", "h-/x/z", "other"):
                found = incremental.match("GET", path, host)
                assert found == full.match("GET", path, host)


@hypothesis.given(
    st.lists(
        st.dictionaries(
            ROUTE_NAMES, st.sampled_from(["one", "two"]), min_size=1
        ),
        min_size=2,
        max_size=5,
    )
)
# Guards against daemons that lead a request to different services under one
# version, as some have patched it and others have read it whole.
def test_patched_config_leads_to_the_same_services_as_a_read_one(
    versions: list[dict[str, str]],
) -> None:
    """All routes have the same host and path, and differ by service."""
    services = [
        config.Service(
            name, "t", 1, 1, 1, ("*",), {"k": config.Kind(1, True, 1)}
        )
        for name in ("one", "two")
    ]
    patched: config.Config | None = None
    for service_by_route in versions:
        pairs = [config.service_item(service) for service in services]
        pairs += [
            config.route_item(config.Route(name, "t", "/x", ("*",), to, "k"))
            for name, to in service_by_route.items()
        ]
        read = config.Config(dict(sorted(pairs)))
        items: config.Items = read.items
        if patched is not None:
            delta = config.diff(patched.items, items)
            items = config.patch(patched.items, delta)
        patched = config.Config(items, previous=patched)
        assert patched.match("GET", "/x/1") == read.match("GET", "/x/1")


def test_unchanged_items_are_reused_from_the_previous_config() -> None:
    service = config.Service("s", "t", 1, 1, 1, ("*",), {})
    routes = [
        config.Route(f"r{n}", "t", f"/{n}", ("*",), "s", "k", host=f"h{n}")
        for n in range(50)
    ]
    items = dict(
        [config.service_item(service), *map(config.route_item, routes)]
    )
    first = config.Config(items)
    moved = config.Route("r7", "t", "/new", ("*",), "s", "k", host="h7")
    items.update([config.route_item(moved)])
    second = config.Config(items, previous=first)
    shared = [
        name
        for name, route in second.routes.items()
        if route is first.routes[name]
    ]
    assert len(shared) == 49
    assert second.match("GET", "/new", "h7") == moved
    assert second.match("GET", "/7", "h7") is None
