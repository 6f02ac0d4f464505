"""The present state of a daemon as metrics; see ``docs/METRICS.md``."""

from __future__ import annotations

import collections

from chiveroad import clock
from chiveroad import control
from chiveroad import metrics
from chiveroad import traffic


def read(
    node: control.Node, entry: traffic.Entry, guard: traffic.Guard
) -> dict[str, metrics.Values]:
    """Return the values of all gauges by name."""
    applied = node.applied
    members = collections.Counter(
        member.state.value for member in node.view.all()
    )
    found: dict[str, metrics.Values] = {
        "chiveroad.config.version": {"": applied.current.number},
        "chiveroad.config.ready": {"": float(applied.ready)},
        "chiveroad.members": dict(members),
        "chiveroad.members.missing": {"": entry.missing},
        "chiveroad.retries.left": entry.retries_left(),
        **guard.gauges(),
    }
    if applied.confirmed_s is not None:
        age_s = clock.now_s() - applied.confirmed_s
        found["chiveroad.config.age"] = {"": age_s}
    return found
