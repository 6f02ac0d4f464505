"""The attempts to serve one request, as the entry records them."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

from chiveroad import config
from chiveroad import errors
from chiveroad import inner_calls
from chiveroad import serving
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange

NO_CAPACITY: typing.Final = (
    errors.Overloaded,
    errors.RateLimited,
    errors.Draining,
    errors.TargetUnknown,
)
"""The refusals after which a pause may help an inner call."""


_CONSEQUENCES: typing.Final = (
    errors.NoTarget,
    errors.DeadlineTooShort,
    errors.DeadlineExceeded,
)


@dataclasses.dataclass(slots=True)
class Attempts:
    """The attempts to serve one request so far.

    ``tried`` names the targets that were picked, and ``busy`` those that the
    request was moved on from.  ``completed`` counts the attempts that have
    ended at a target that received the request, and ``in_progress`` the
    targets that may still be running it while a hedged request is sent.
    ``rounds`` counts how often an inner call was refused by all targets that
    were tried.  ``worst`` is the refusal that the caller receives if no target
    serves the request.  ``hedge_target`` is the instance that the next attempt
    is sent to, if it is a hedge for a late answer.
    """

    request: serving.Request
    call: _call.Call
    route: config.Route
    tried: list[str] = dataclasses.field(default_factory=list)
    busy: set[str] = dataclasses.field(default_factory=set)
    completed: int = 0
    in_progress: int = 0
    rounds: int = 0
    worst: errors.Refusal | None = None
    served_by: str = ""
    hedge_target: str = ""

    @property
    def moved(self) -> bool:
        """Tell whether the last try ended as the target was busy."""
        return bool(self.tried) and self.tried[-1] in self.busy

    @property
    def sent(self) -> int:
        """Return how many targets have, or may have, received the request."""
        return self.completed + self.in_progress

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request, which failed."""
        return self.sent > 0 or self.worst is None or self.worst.ran != "no"

    def record_refusal(self, refusal: errors.Refusal) -> None:
        """Record why a target gave no answer."""
        self.worst = worse(self.worst, refusal)
        self.completed += refusal.reached

    def next_round_in_s(self, refusal: errors.Refusal) -> float | None:
        """Return the pause until an inner call is tried at all targets again.

        :param refusal: the last one.
        :returns: None if it isn't to be tried again.
        """
        call = self.call
        if not call.inner or self.request.begun or self.sent:
            return None
        if not call.body.replayable or not isinstance(self.worst, NO_CAPACITY):
            return None
        self.rounds += 1
        pause_s = inner_calls.retry_pause_s(
            self.rounds,
            refusal.ran,
            refusal.reached,
            call.left_ms(),
            random.random(),
            call.kind.objective_ms,
        )
        if pause_s is not None:
            self.tried.clear()
            self.busy.clear()
        return pause_s

    def hedge(self, try_another: collections.abc.Callable[[], bool]) -> bool:
        """Try other targets while the first one may run the request.

        :returns: whether the caller has been answered.
        :raises errors.Refusal: when an answer that had begun was truncated.
        """
        self.in_progress += 1
        try:
            served = try_another()
        except _exchange.Superseded:
            return False
        finally:
            self.in_progress -= 1
        if not served and self.request.begun:
            assert (
                self.worst is not None
            ), "report this: truncated without a refusal"
            raise self.worst
        return served


def worse(
    before: errors.Refusal | None, now: errors.Refusal
) -> errors.Refusal:
    """Return the refusal that the caller receives after several attempts.

    Once one attempt may have run, the request may have run.  That no target
    or no time is left for another attempt isn't why the request failed.
    """
    if before is None or now.ran == "unknown":
        return now
    if before.ran == "unknown":
        return before
    if isinstance(now, _CONSEQUENCES):
        return before
    return now
