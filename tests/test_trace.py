"""Tests of the search for a request's lines in the logs of daemons."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from chiveroad.cli import _trace
from chiveroad import errors
from standins import failures
from standins import mesh


def line(time: str, request: str, **fields: object) -> str:
    """Return a line of a daemon's log."""
    value = {"time": f"2026-01-01T00:00:{time}+00:00", "part": "entry"}
    return msgspec.json.encode(
        {**value, "message": "m", "request": request, **fields}
    ).decode()


def test_lines_of_one_request_are_ordered_by_time(
    tmp_path: pathlib.Path,
) -> None:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        "\n".join(
            [
                line("03.000000", "q-1", version=12, tried=["x", "y"]),
                line("02.000000", "q-2", message="about q-1"),
                "not JSON, though it names q-1",
                '{"request": "q-1"}',
            ]
        )
    )
    second.write_text("  -1.2 daemon " + line("01.000000", "q-1", left_ms=7))
    matches = _trace.find("q-1", [first, second])
    assert [match.log for match in matches] == ["b.log", "a.log"]
    assert matches[1].line.tried == ["x", "y"]
    report = _trace.report("q-1", matches)
    assert report.rows[0][0] == "00:00:01.000"
    assert not report.notes
    assert _trace.report("q-3", _trace.find("q-3", [first])).notes


@pytest.mark.parametrize(
    ("fields", "load"),
    [
        ({}, ""),
        (
            {"slots": 12, "running": 11, "waiting": 3},
            "11 of 12 run, 3 wait",
        ),
    ],
)
def test_load_of_a_guard_is_shown(
    tmp_path: pathlib.Path, fields: dict[str, object], load: str
) -> None:
    log = tmp_path / "a.log"
    log.write_text(line("01.000000", "q-1", **fields))
    report = _trace.report("q-1", _trace.find("q-1", [log]))
    assert report.rows[0][-1] == load


def test_failures_of_the_operators_page_can_be_traced(
    tmp_path: pathlib.Path,
) -> None:
    """The trace of each failure's request id shows its cause.

    The logs are those that the demo writes.
    """
    folder = tmp_path / "demo"
    with mesh.running("woodland-circle", failures.JSON_LOGS) as running:
        ids = failures.leave(running, folder)
    logs = failures.logs(folder)
    lines_by_failure = {
        name: [each.line for each in _trace.find(request, logs)]
        for name, request in ids.items()
    }
    assert any(each.slots for each in lines_by_failure["overload"])
    assert "E4004" in lines_by_failure["overload"][-1].message
    assert "E4020" in lines_by_failure["unknown"][-1].message
    assert lines_by_failure["old-version"][-1].version > 0


def test_unreadable_log_is_an_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.UsageError):
        _trace.find("q-1", [tmp_path / "missing.log"])
