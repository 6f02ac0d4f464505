"""Tests of the command line, settings, logs, metrics and made pages."""

from __future__ import annotations

import collections.abc
import io
import os
import pathlib
import socket
import subprocess
import sys
import threading
import types
import typing

import msgspec
import pytest

from chiveroad.cli import _push
from chiveroad import config
from chiveroad import control
from chiveroad import errors
from chiveroad import gauges
from chiveroad import logs
from chiveroad import metrics
from chiveroad.metrics import _export
from chiveroad import settings
from chiveroad import store
from chiveroad import traffic
from standins import capacity
from standins import mesh
from standins import object_api
from standins import pages
from tests import fakes

PAIR: typing.Final = mesh.Deployment("pair", "r", {"r": ["a"]}, {"glade": 1})
FOLDER: typing.Final = mesh.EXAMPLES / "woodland-circle" / "folder"


def run(
    *arguments: str, stdin: str | None = None, **env: str
) -> subprocess.CompletedProcess[str]:
    """Run the program."""
    return subprocess.run(
        [sys.executable, "-m", "chiveroad", *arguments],
        input=stdin,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(mesh.ROOT / "src"), **env},
    )


@pytest.fixture
def valid_settings() -> str:
    """Return valid settings."""
    return mesh.Mesh(PAIR).settings_of("glade-1")


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("[listen]", "[listens]", "listens"),
        ('region = "r"\n[listen]', "[listen]", "region"),
        ("[upstream]", "[traffic]\nthreads = 1\n[upstream]", "threads"),
        ("[upstream]", "[log]\nlevel = 'loud'\n[upstream]", "level"),
        ("[platform]", "[platform]\ntimeout_s = 3", "timeout_s"),
        ("[platform]", "[platform]\ntimeout_ms = 0", "timeout_ms"),
        ("127.0.0.1", "localhost", "address"),
        ("[upstream]", "[upstream", "line"),
        ('instance = "glade-1"', 'instance = "Glade 1"', "instance"),
    ],
)
def test_error_of_invalid_settings_names_the_key(
    valid_settings: str, old: str, new: str, named: str
) -> None:
    settings.parse(valid_settings)
    with pytest.raises(errors.SettingsError) as raised:
        settings.parse(valid_settings.replace(old, new, 1))
    message = str(raised.value)
    assert message.startswith("E1001 ")
    assert named in message or "listen" in message
    assert "\n" not in message


def test_duplicate_address_is_rejected(valid_settings: str) -> None:
    entry = valid_settings.partition('entry = "')[2].partition('"')[0]
    guard = valid_settings.partition('guard = "')[2].partition('"')[0]
    with pytest.raises(errors.SettingsError):
        settings.parse(valid_settings.replace(guard, entry))


def test_address_in_use_stops_the_daemon_with_one_error_line(
    valid_settings: str, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "daemon.toml"
    path.write_text(valid_settings)
    entry = valid_settings.partition('entry = "')[2].partition('"')[0]
    host, _, port = entry.rpartition(":")
    with socket.create_server((host, int(port))):
        finished = run("daemon", str(path))
    assert finished.returncode == errors.AddressInUse.exit_code
    lines = [line for line in finished.stderr.splitlines() if "E1002" in line]
    assert len(lines) == 1
    assert entry in lines[0]


@pytest.mark.parametrize(
    ("arguments", "code", "shown"),
    [
        (["--help"], 0, "explain"),
        (["push", "--help"], 0, "--yes"),
        (["version"], 0, "chiveroad 0.1.0"),
        (["version", "--output", "json"], 0, '"version"'),
        (["check", str(FOLDER)], 0, "0 refused"),
        (["check", str(FOLDER), "-o", "json"], 0, '"code": 0'),
        (["check", "no/such/folder"], 2, "E1003"),
        (["daemon", "no-such-file.toml"], 2, "E1001"),
        (["status", "--store", "127.0.0.1:9"], 4, "E3001"),
        (["explain", "/", "--store", "127.0.0.1:9"], 4, "E3001"),
    ],
)
def test_commands_give_exit_code_and_output(
    arguments: list[str], code: int, shown: str
) -> None:
    finished = run(*arguments)
    assert finished.returncode == code, finished.stderr
    assert shown in finished.stdout + finished.stderr


def test_check_reports_file_line_code_and_hint(tmp_path: pathlib.Path) -> None:
    (tmp_path / "a.toml").write_text('team = "a"\nslots = 1\n')
    finished = run("check", str(tmp_path), "--output", "json")
    [verdict] = msgspec.json.decode(finished.stdout)
    assert finished.returncode == errors.FileError.exit_code
    assert (verdict["file"], verdict["line"]) == ("a.toml", 2)
    assert verdict["code"] == errors.FileShape.code
    assert verdict["hint"]


@pytest.fixture
def api() -> collections.abc.Iterator[str]:
    """Yield the address of an empty store."""
    server = object_api.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()


def test_push_without_yes_asks_and_writes_nothing(api: str) -> None:
    finished = run("push", str(FOLDER), CHIVEROAD_STORE=api)
    assert finished.returncode != 0
    assert "create" in finished.stdout
    assert not store.HttpStore(api).list(store.Kind.FILES).objects


def test_push_of_an_invalid_file_writes_nothing(
    api: str, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "a.toml").write_text('team = "a"\n')
    (tmp_path / "b.toml").write_text("team = ")
    finished = run("push", str(tmp_path), "--yes", "--store", api)
    assert finished.returncode == errors.FileError.exit_code
    assert "b.toml:1" in finished.stderr
    assert not store.HttpStore(api).list(store.Kind.FILES).objects


def plan_changes(platform: store.Store) -> list[_push.Change]:
    """Return a planned update, a planned creation and a planned removal."""
    for name in ("a.toml", "c.toml"):
        platform.put(store.Kind.FILES, name, {"text": "old"}, store.ABSENT)
    local = [
        config.Source("a.toml", 1, "new"),
        config.Source("b.toml", 1, "new"),
    ]
    return _push.plan(local, _push.read_stored(platform))


def stored_texts(platform: store.Store) -> dict[str, str]:
    """Return the texts of the stored folder, by file."""
    found = _push.read_stored(platform)
    return {
        name: control.source_of(stored).text for name, stored in found.items()
    }


@pytest.mark.parametrize("lose", [0, 1, 2])
@pytest.mark.parametrize("drop", [0, 1])
def test_push_resolves_lost_answers(lose: int, drop: int) -> None:
    platform = fakes.FaultyStore()
    planned = plan_changes(platform)
    assert [change.action.value for change in planned] == [
        "update",
        "create",
        "remove",
    ]
    platform.lose, platform.drop = lose, drop
    _push.apply(platform, planned, lambda _: None)
    assert stored_texts(platform) == {"a.toml": "new", "b.toml": "new"}


def test_push_stops_at_a_concurrent_change() -> None:
    platform = fakes.FaultyStore()
    planned = plan_changes(platform)
    platform.put(store.Kind.FILES, "b.toml", {"text": "theirs"}, store.ABSENT)
    with pytest.raises(errors.StoreConflict) as raised:
        _push.apply(platform, planned, lambda _: None)
    assert "1 of 3 changes were made" in str(raised.value)
    assert stored_texts(platform)["b.toml"] == "theirs"
    assert stored_texts(platform)["c.toml"] == "old"


@pytest.mark.parametrize("form", logs.FORMATS)
def test_log_line_has_the_name_of_its_part(form: str) -> None:
    stream = io.StringIO()
    logs.configure("info", form, stream)
    logs.Logger("guard").info("Request {} admitted.", "r-1")
    logs.Logger("guard").debug("Not shown.")
    logs.flush()
    line = stream.getvalue()
    assert line.count("\n") == 1
    assert "Request r-1 admitted." in line
    if form == "json":
        assert msgspec.json.decode(line)["part"] == "guard"
    else:
        assert " INFO [guard] " in line


def test_codes_are_unique() -> None:
    codes = [error.code for error in errors.tree()]
    assert len(codes) == len(set(codes))


@pytest.mark.parametrize("name", ["ERRORS.md", "CAPACITY.md"])
def test_generated_pages_match_code_and_record(name: str) -> None:
    parts = {
        "ERRORS.md": pages.error_rows,
        "CAPACITY.md": capacity.tables,
    }
    page = pages.DOCS / name
    assert page.read_text() == pages.with_part(page, parts[name]())


def test_daemon_and_metrics_work_without_openssl() -> None:
    script = """
import sys
from chiveroad import openssl
openssl.block_imports()
from chiveroad import daemon, metrics
recorder = metrics.Recorder()
recorder.count("chiveroad.entry.requests", "4004")
recorder.record_latency("entry", 0.12)
class Request:
    def answer(self, status, headers, body):
        print(body.decode())
gauges = {"chiveroad.members": lambda: {"ready": 3.0, "gone": 1.0}}
exporter = metrics.Exporter(recorder, gauges)
exporter.page(Request())
exporter.page(Request())
assert not sys.modules["ssl"] and not sys.modules["_hashlib"]
"""
    done = subprocess.run(
        [sys.executable, "-c", script],
        check=True,
        timeout=60,
        capture_output=True,
        text=True,
    )
    lines = done.stdout.splitlines()
    assert "# TYPE chiveroad_entry_requests_total counter" in lines
    assert 'chiveroad_entry_requests_total{label="4004"} 1' in lines
    assert lines.count('chiveroad_members{label="ready"} 3.0') == 2
    assert lines.count('chiveroad_members{label="gone"} 1.0') == 2
    assert any(
        line.startswith("chiveroad_latency_milliseconds{part=")
        for line in lines
    )


def test_docs_list_every_metric() -> None:
    page = (mesh.ROOT / "docs" / "METRICS.md").read_text()
    for name in (*_export.COUNTERS, *_export.GAUGES, _export.LATENCY):
        assert f"| `{name}` |" in page


def test_every_gauge_has_a_help_text() -> None:
    node = control.Node(fakes.member())
    entry = types.SimpleNamespace(retries_left=lambda: {})
    read = gauges.readers(
        node,
        typing.cast(traffic.Entry, entry),
        typing.cast(traffic.Guard, None),
    )
    assert set(read) == set(_export.GAUGES)


def test_store_calls_are_counted_by_outcome() -> None:
    recorder = metrics.Recorder()
    platform = store.CountedStore(fakes.FaultyStore(), recorder.count)
    platform.put(store.Kind.MEMBERS, "a", {}, store.ABSENT)
    platform.get(store.Kind.MEMBERS, "a")
    with pytest.raises(errors.StoreNotFound):
        platform.get(store.Kind.MEMBERS, "b")
    kind = store.Kind.MEMBERS.value
    assert recorder.counts() == {
        ("chiveroad.store.calls", f"put {kind} ok"): 1,
        ("chiveroad.store.calls", f"get {kind} ok"): 1,
        ("chiveroad.store.calls", f"get {kind} 3004"): 1,
    }
