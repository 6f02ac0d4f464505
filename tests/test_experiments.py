"""Tests of the load model: outcomes are complete, policies compare."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad.traffic import _balancer
from chiveroad.traffic import _objective
from standins import experiments
from standins import loadmodel

SHORT_DURATION_S = 4.0


def test_figures_of_a_pattern_are_reproducible(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(experiments, "DURATION_S", 1.0)
    [load] = [p for p in experiments.PATTERNS if p.name == "nearly full"]
    for balancing in experiments.BALANCING:
        first = experiments.run_pattern(load, "objective", balancing)
        assert first == experiments.run_pattern(load, "objective", balancing)


def fleet(client_retries: int = 1, seed: int = 1) -> loadmodel.Fleet:
    """Return a fleet with the default policies of the daemon."""
    return loadmodel.Fleet(
        experiments.TARGET_SPEEDS,
        _objective.ObjectiveFirst,
        _balancer.LeastWait,
        client_retries=client_retries,
        seed=seed,
    )


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    st.floats(0.2, 3.0), st.integers(0, 3), st.integers(1, 10_000)
)
def test_every_request_has_one_outcome(
    load: float, client_retries: int, seed: int
) -> None:
    tested_fleet = fleet(client_retries, seed)
    rate = tested_fleet.capacity() * load
    arrivals = loadmodel.steady(rate, 1.0, experiments.KINDS, seed)
    tally = tested_fleet.run(arrivals)
    assert tally.total == len(arrivals) == sum(tally.arrivals_by_kind.values())
    assert sum(tally.by_kind.values()) == tally.in_time
    for target in tested_fleet.targets:
        assert target.admission.load == 0


@pytest.mark.parametrize(
    ("pattern", "balancing"),
    [("calm", "round-robin"), ("nearly full", "least-reported")],
)
def test_least_wait_earns_more_than_baselines(
    monkeypatch: pytest.MonkeyPatch, pattern: str, balancing: str
) -> None:
    monkeypatch.setattr(experiments, "DURATION_S", SHORT_DURATION_S)
    [load] = [p for p in experiments.PATTERNS if p.name == pattern]
    candidate = experiments.run_pattern(load, "objective", "least-wait")
    baseline = experiments.run_pattern(load, "objective", balancing)
    assert candidate.worth > baseline.worth


@pytest.mark.parametrize(
    "pattern", ["overload that lasts", "refused clients return often"]
)
def test_objective_admission_serves_more_in_time_and_is_fairer(
    monkeypatch: pytest.MonkeyPatch, pattern: str
) -> None:
    monkeypatch.setattr(experiments, "DURATION_S", SHORT_DURATION_S)
    [load] = [p for p in experiments.PATTERNS if p.name == pattern]
    candidate = experiments.run_pattern(load, "objective", "least-wait")
    baseline = experiments.run_pattern(load, "weight", "least-wait")
    assert candidate.in_time > baseline.in_time
    assert candidate.fairness > baseline.fairness
