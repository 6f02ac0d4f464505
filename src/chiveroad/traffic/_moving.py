"""Moving requests that would wait at a busy target to another one.

The entry states with each try how long the request may wait at the guard.  A
guard that expects a longer wait refuses at once, and the entry tries the next
target.  The last try waits without a bound, where the request is expected to
be completed first among all targets that refused and those not tried yet.
"""

from __future__ import annotations

import collections.abc
import time

from chiveroad import clock
from chiveroad import errors
from chiveroad import load
from chiveroad import membership
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _retry
from chiveroad.traffic import _targets


def pick(
    targets: _targets.Targets,
    call: _call.Call,
    tried: collections.abc.Sequence[str],
    busy: collections.abc.Set[str],
    enabled: bool,
    hedge_target: str = "",
) -> tuple[_balancer.Candidate, membership.Member]:
    """Choose a target, and set how long the request may wait there.

    :param busy: the targets among ``tried`` that the request was moved on
        from; the last try may wait at one of them.
    :param hedge_target: the only target to choose, for a hedged request.
    :raises errors.NoTarget: when no target is left.
    """
    profile = targets.profile(call)
    call.patience_ms = clock.NEVER_S
    if hedge_target:
        return targets.pick(call.service, profile, tried, hedge_target)
    if enabled and _may_move(targets, call, tried, busy):
        try:
            found = targets.pick(call.service, profile, tried)
        except errors.NoTarget:
            if not busy:
                raise
        else:
            call.patience_ms = load.patience_ms(
                profile.objective_ms, profile.body_bytes, call.inner
            )
            return found
    return targets.pick(call.service, profile, set(tried) - busy)


def was_moved(call: _call.Call, refusal: errors.Refusal) -> bool:
    """Tell whether a guard refused a request that was not to wait there."""
    impatient = call.patience_ms != clock.NEVER_S
    return impatient and isinstance(refusal, errors.Overloaded)


def _may_move(
    targets: _targets.Targets,
    call: _call.Call,
    tried: collections.abc.Sequence[str],
    busy: collections.abc.Set[str],
) -> bool:
    """Tell whether the next try may refuse to wait.

    It may if a target hasn't been tried, and there is another one to wait at.
    """
    if call.body.buffered is None:
        # A streamed body can be sent only once.
        return False
    untried = targets.untried(call.service, tried)
    if untried < 1 or untried + len(busy) < 2:
        return False
    learnt, full = targets.load_of(call.service).lately(time.monotonic())
    return len(tried) < load.impatient_tries(learnt, full, _retry.MAX_TRIES)
