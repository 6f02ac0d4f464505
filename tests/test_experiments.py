"""The load model: it loses no request, and tells policies apart."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveroad.traffic import _balancer
from chiveroad.traffic import _objective
from standins import experiments
from standins import loadmodel

SHORT = 4.0


def test_a_pattern_gives_the_same_figures_every_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(experiments, "SECONDS", 1.0)
    [load] = [p for p in experiments.PATTERNS if p.name == "nearly full"]
    for balancing in experiments.BALANCING:
        first = experiments.play(load, "objective", balancing)
        assert first == experiments.play(load, "objective", balancing)


def fleet(returns: int = 1, seed: int = 1) -> loadmodel.Fleet:
    """Return a fleet with the product's own policies."""
    return loadmodel.Fleet(
        experiments.SPEEDS,
        _objective.ObjectiveFirst,
        _balancer.LeastWait,
        returns=returns,
        seed=seed,
    )


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    st.floats(0.2, 3.0), st.integers(0, 3), st.integers(1, 10_000)
)
def test_every_request_ends_once(load: float, returns: int, seed: int) -> None:
    played = fleet(returns, seed)
    rate = played.capacity() * load
    arrivals = loadmodel.steady(rate, 1.0, experiments.KINDS, seed)
    tally = played.run(arrivals)
    assert tally.total == len(arrivals) == sum(tally.asked.values())
    assert sum(tally.by_kind.values()) == tally.in_time
    for target in played.targets:
        assert target.admission.load == 0


@pytest.mark.parametrize(
    ("pattern", "balancing"),
    [("calm", "round-robin"), ("nearly full", "least-reported")],
)
def test_expected_wait_balances_better_than_its_baselines(
    monkeypatch: pytest.MonkeyPatch, pattern: str, balancing: str
) -> None:
    monkeypatch.setattr(experiments, "SECONDS", SHORT)
    [load] = [p for p in experiments.PATTERNS if p.name == pattern]
    chosen = experiments.play(load, "objective", "least-wait")
    baseline = experiments.play(load, "objective", balancing)
    assert chosen.worth > baseline.worth


@pytest.mark.parametrize(
    "pattern", ["overload that lasts", "refused clients return often"]
)
def test_admission_by_objective_serves_more_in_time_and_starves_none(
    monkeypatch: pytest.MonkeyPatch, pattern: str
) -> None:
    monkeypatch.setattr(experiments, "SECONDS", SHORT)
    [load] = [p for p in experiments.PATTERNS if p.name == pattern]
    chosen = experiments.play(load, "objective", "least-wait")
    baseline = experiments.play(load, "weight", "least-wait")
    assert chosen.in_time > baseline.in_time
    assert chosen.fairness > baseline.fairness
