"""The decisions of an entry on one request, without their effects."""

from __future__ import annotations

import collections.abc
import dataclasses

from chiveroad import config
from chiveroad import control
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _call
from chiveroad.traffic import _guard
from chiveroad.traffic import _hedges
from chiveroad.traffic import _quarantine
from chiveroad.traffic import _targets


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """What an entry decides with, as copies where deciding changes it.

    ``read_call`` and ``check_time_left`` raise the refusals of the entry, and
    ``retries_left`` returns the retry budget of a service.
    """

    options: settings.Settings
    applied: control.Applied
    read_call: collections.abc.Callable[
        [serving.Request], tuple[_call.Call, config.Route]
    ]
    check_time_left: collections.abc.Callable[[_call.Call], None]
    targets: _targets.Targets
    quarantine: _quarantine.Quarantine
    retries_left: collections.abc.Callable[[str], float]
    hedges: _hedges.Hedges
    guard: _guard.Guard
