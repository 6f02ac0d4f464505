"""Gauges of a daemon's current state; see ``docs/METRICS.md``."""

from __future__ import annotations

import collections

from chiveroad import clock
from chiveroad import control
from chiveroad import metrics
from chiveroad import traffic
from chiveroad import wire


def readers(
    node: control.Node, entry: traffic.Entry, guard: traffic.Guard
) -> metrics.Gauges:
    """Return a function for each gauge's name that reads its values."""
    applied = node.applied

    def age() -> metrics.Values:
        if applied.confirmed_s is None:
            return {}
        return {"": clock.now_s() - applied.confirmed_s}

    def rate_limit() -> metrics.Values:
        per_s = guard.rate_limit_per_s
        return {} if per_s == wire.UNLIMITED else {"": per_s}

    return {
        "chiveroad.config.version": lambda: {"": applied.current.number},
        "chiveroad.config.ready": lambda: {"": float(applied.ready)},
        "chiveroad.config.age": age,
        "chiveroad.members": lambda: dict(
            collections.Counter(m.state.value for m in node.view.all())
        ),
        "chiveroad.members.missing": lambda: {"": entry.missing},
        "chiveroad.retries.left": entry.retries_left,
        "chiveroad.hedges.left": lambda: entry.hedges_left(),
        "chiveroad.guard.running": lambda: {"": guard.running},
        "chiveroad.guard.waiting": lambda: {"": guard.waiting},
        "chiveroad.guard.rate_limit": rate_limit,
        "chiveroad.guard.pace": lambda: {"": guard.pace_factor},
        "chiveroad.guard.slots": lambda: {"": guard.slots},
    }
