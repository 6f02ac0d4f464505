"""What an entry has learnt about its services in the last seconds."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import typing

from chiveroad import clock

RECENT_S: typing.Final = 2.0
"""How long an outcome counts as recent.  An entry has a few requests to a
service in that time, and trouble of a target lasts about as long."""

MIN_ON_TIME: typing.Final = 2
"""How many recent answers must have come on time: without them nothing shows
that another target would be faster."""

MAX_LATE_SHARE: typing.Final = 0.25
"""Above this share of late requests the service is slow, not one target."""

MAX_REFUSED_SHARE: typing.Final = 0.1
"""Above this share of requests refused for lack of capacity, a hedge would
take the place of another request."""

MIN_DOMAIN_LATE: typing.Final = 2
"""From this number of targets with late requests on, their failure domain
counts as in trouble."""

MAX_OUTCOMES: typing.Final = 256
"""The limit on recent outcomes that are kept of a service."""


class _Outcome(enum.Enum):
    ON_TIME = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Watched:
    """A request that was sent to another daemon's target.

    ``delay_ms`` is the time after which it is late, as known when it was
    sent; ``sent_s`` is in monotonic seconds.
    """

    service: str
    instance: str
    failure_domain: str
    sent_s: float
    delay_ms: float = clock.NEVER_S

    def is_late(self, now_s: float) -> bool:
        """Tell whether the request takes longer than is usual."""
        return (now_s - self.sent_s) * 1000 > self.delay_ms


class _Service:
    def __init__(self) -> None:
        self.pending: set[Watched] = set()
        self.recent: collections.deque[tuple[float, _Outcome]] = (
            collections.deque(maxlen=MAX_OUTCOMES)
        )

    def counts(self, now_s: float) -> collections.Counter[_Outcome]:
        while self.recent and self.recent[0][0] < now_s - RECENT_S:
            self.recent.popleft()
        return collections.Counter(outcome for _, outcome in self.recent)


class Conditions:
    """The pending requests and recent outcomes of each service.

    The caller must hold a lock.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = collections.defaultdict(_Service)

    def sent(self, watched: Watched) -> None:
        """Record that a request was sent."""
        self._services[watched.service].pending.add(watched)

    def ended(self, watched: Watched) -> None:
        """Record that a request is no longer pending, for any reason."""
        self._services[watched.service].pending.discard(watched)

    def answered(self, watched: Watched, now_s: float) -> None:
        """Record an answer, or that a request was withdrawn after so long."""
        late = watched.is_late(now_s)
        outcome = _Outcome.LATE if late else _Outcome.ON_TIME
        self._services[watched.service].recent.append((now_s, outcome))

    def refused(self, service: str, now_s: float) -> None:
        """Record a refusal for lack of capacity."""
        outcome = (now_s, _Outcome.REFUSED)
        self._services[service].recent.append(outcome)

    def is_refusing(self, service: str, now_s: float) -> bool:
        """Tell whether guards of a service refuse requests for capacity."""
        counts = self._services[service].counts(now_s)
        refused = counts[_Outcome.REFUSED]
        return refused > MAX_REFUSED_SHARE * counts.total()

    def is_slow(self, watched: Watched, now_s: float) -> bool:
        """Tell whether other requests to the service are late, too.

        It is also slow as long as nothing shows the contrary.
        """
        service = self._services[watched.service]
        counts = service.counts(now_s)
        on_time = counts[_Outcome.ON_TIME]
        if on_time < MIN_ON_TIME:
            return True
        late = counts[_Outcome.LATE]
        late += len(list(self._late_others(watched, now_s)))
        return late > MAX_LATE_SHARE * (late + on_time)

    def troubled(
        self, watched: Watched, now_s: float
    ) -> tuple[set[str], set[str]]:
        """Return the instances and failure domains with late requests."""
        late = [watched, *self._late_others(watched, now_s)]
        instances = {each.instance for each in late}
        by_domain = collections.Counter(
            domain
            for _, domain in {
                (each.instance, each.failure_domain) for each in late
            }
        )
        domains = {
            domain
            for domain, count in by_domain.items()
            if count >= MIN_DOMAIN_LATE
        }
        return instances, domains

    def _late_others(
        self, watched: Watched, now_s: float
    ) -> collections.abc.Iterator[Watched]:
        for other in self._services[watched.service].pending:
            if other is not watched and other.is_late(now_s):
                yield other
