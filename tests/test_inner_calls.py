"""Decisions about calls that running targets make, under load."""

import hypothesis
from hypothesis import strategies
import pytest

from chiveroad import inner_calls


# Guards against running work that is thrown away, as the service that it
# calls has no free slot for some milliseconds.
@pytest.mark.parametrize(
    "rounds, ran, reached, left_ms, expected_s",
    [
        (1, "no", False, 300.0, 0.015),
        (2, "no", False, 300.0, 0.03),
        (9, "no", False, 300.0, 0.06),
        (1, "no", False, 26.0, 0.015),
        (1, "no", False, 24.0, None),
        (1, "unknown", False, 300.0, None),
        (1, "no", True, 300.0, None),
    ],
)
def test_inner_call_is_tried_again_while_it_can_help(
    rounds: int,
    ran: str,
    reached: bool,
    left_ms: float,
    expected_s: float | None,
) -> None:
    pause_s = inner_calls.retry_pause_s(rounds, ran, reached, left_ms, 1.0)
    assert pause_s == expected_s


# Guards against retries that outlast the deadline, or follow without a pause.
@hypothesis.given(
    strategies.integers(1, 1000),
    strategies.floats(-10, 5000),
    strategies.floats(0, 1),
)
def test_pauses_are_bounded(
    rounds: int, left_ms: float, spread: float
) -> None:
    pause_s = inner_calls.retry_pause_s(rounds, "no", False, left_ms, spread)
    if pause_s is None:
        return
    assert 0.007 <= pause_s <= 0.06
    assert 1000 * pause_s < left_ms


# Guards against a call that is run and broken off, as it began too late.
def test_inner_call_is_not_tried_again_without_time_to_run() -> None:
    for left_ms, tried in ((150.0, True), (90.0, False)):
        pause_s = inner_calls.retry_pause_s(
            1, "no", False, left_ms, 1.0, objective_ms=320.0
        )
        assert (pause_s is not None) is tried


def _admitted(outcomes: str) -> list[bool]:
    """Return whether outer work begins 0.1, 0.2, 0.4 and 1.2 s later."""
    outlook = inner_calls.Outlook()
    for outcome in outcomes:
        outlook.record(outcome == "f", 10.0)
    return [outlook.admits(10.0 + after_s) for after_s in (0.1, 0.2, 0.4, 1.2)]


# Guards against outer work that begins while its inner calls fail, and
# against a target that stays idle after a single failure, or for good.
@pytest.mark.parametrize(
    "outcomes, expected",
    [
        ("", [True, True, True, True]),
        ("f", [True, True, True, True]),
        ("ffss", [True, True, True, True]),
        ("ff", [True, False, True, True]),
        ("fffffss", [True, False, True, True]),
    ],
)
def test_outer_work_gives_way_while_inner_calls_fail(
    outcomes: str, expected: list[bool]
) -> None:
    assert _admitted(outcomes) == expected
