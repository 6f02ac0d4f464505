"""An entry's view of all targets: distance, load, health and connections.

The entry picks targets from this view, probes daemons that have become
unresponsive, and keeps the connection pool of each guard.
"""

from __future__ import annotations

import collections.abc
import contextlib
import copy
import itertools
import random
import threading
import time
import typing

from chiveroad import clock
from chiveroad import control
from chiveroad import errors
from chiveroad import load
from chiveroad import logs
from chiveroad import membership
from chiveroad import serving
from chiveroad import settings
from chiveroad.traffic import _balancer
from chiveroad.traffic import _call
from chiveroad.traffic import _exchange
from chiveroad.traffic import _guard
from chiveroad.traffic import _pool
from chiveroad.traffic import _reachability
from chiveroad import wire

NO_TARGET_RETRY_MS: typing.Final = 1_000
BLOCK_LIMIT_MS: typing.Final = 1_000
OVERLOAD_BLOCK_MS: typing.Final = 50
SIZE_SMOOTHING: typing.Final = 0.1
LEAVE_HOLD_S: typing.Final = 10.0
"""How long a target without heartbeats counts as leaving after its guard last
reported it: its next incarnation can't be told from the present one."""

_UNNAMED_INCARNATION: typing.Final = "/@0"
"""The end of ``_target_key`` for a target that sends no heartbeats."""

_CALLER_FAULTS: typing.Final = (
    errors.CallerDisconnected,
    errors.CallerDisconnectedEarly,
)

_log = logs.Logger("entry")


class Seen(typing.NamedTuple):
    """A target of a service as this entry sees it."""

    member: membership.Member
    distance: _balancer.Distance
    stats: _balancer.TargetStats
    state: _reachability.State
    leaving: bool


_MembersByDistance = dict[_balancer.Distance, list[membership.Member]]
_CachedDistances = tuple[tuple[membership.Member, ...], _MembersByDistance]


class Targets:
    """The targets that one entry can send requests to, with their state."""

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        view: membership.View,
        uplink: serving.Uplink | None = None,
    ) -> None:
        self._options = options
        self._uplink = uplink
        self._applied = applied
        self._view = view
        self._stats: dict[str, _balancer.TargetStats] = {}
        self._stats_cache: dict[
            str, tuple[membership.Member, _balancer.TargetStats]
        ] = {}
        """The statistics last looked up for each instance, valid only for the
        same member record (compared by identity)."""

        self._rate_limits: dict[str, float] = {}
        """The limits of targets, which outlast restarts of their daemons."""

        self._leaving: dict[str, float] = {}
        """When guards last reported that their targets leave, in monotonic
        seconds; like limits, this outlasts restarts of daemons."""

        self._pools: dict[str, _pool.Pool] = {}
        self._reachabilities: dict[str, _reachability.Reachability] = {}
        self._missing: dict[str, _reachability.Reachability] = {}
        self._prober = _reachability.Prober(_guard.PROBE_PATH)
        self._answer_bytes: dict[str, float] = {}
        self._loads: dict[str, load.ServiceLoad] = {}
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._distance_cache: dict[str, _CachedDistances] = {}
        self._picker = _balancer.picker(options.traffic.balancing)
        self.request_waiting = threading.Event()
        """Set when a request begins to wait for a guard's answer."""

    def candidates(self, service: str) -> list[_balancer.Candidate]:
        """Return the service's targets with this entry's statistics."""
        return self._candidates(
            self._by_distance(service),
            _balancer.RequestProfile(),
            self.load_of(service).mean(time.monotonic()),
        )

    def load_of(self, service: str) -> load.ServiceLoad:
        """Return what this entry has learnt lately from all targets."""
        found = self._loads.get(service)
        if found is None:
            found = self._loads.setdefault(service, load.ServiceLoad())
        return found

    def untried(
        self, service: str, tried: collections.abc.Collection[str]
    ) -> int:
        """Return about how many targets a request can still be sent to."""
        return len(self._view.of_service(service)) - len(tried)

    def pick(
        self,
        service: str,
        profile: _balancer.RequestProfile,
        tried: collections.abc.Container[str],
        only: str = "",
    ) -> tuple[_balancer.Candidate, membership.Member]:
        """Choose a target of a service that is not in ``tried``.

        :param only: the instance of the target to choose, if it is given.
        :raises errors.NoTarget: when no untried target is reachable.
        """
        untried = self.compare(service, profile, tried, only)
        return self.choose(service, untried)

    def compare(
        self,
        service: str,
        profile: _balancer.RequestProfile,
        tried: collections.abc.Container[str],
        only: str = "",
    ) -> list[_balancer.Candidate]:
        """Return the targets that one is chosen from; see ``pick``."""
        remaining = self._without_leaving(self._by_distance(service))
        if only:
            remaining = {
                distance: [each for each in members if each.instance == only]
                for distance, members in remaining.items()
            }
        by_distance = self._reachable(remaining, tried)
        mean_load = self.load_of(service).mean(time.monotonic())
        candidates = self._candidates(by_distance, profile, mean_load)
        return [
            candidate
            for candidate in candidates
            if candidate.instance not in tried
        ]

    def choose(
        self, service: str, untried: list[_balancer.Candidate]
    ) -> tuple[_balancer.Candidate, membership.Member]:
        """Choose one of the targets that are compared.

        :raises errors.NoTarget: when no untried target is reachable.
        """
        chosen = self._picker.pick(untried)
        member = self._view.get(chosen.instance) if chosen else None
        if chosen is None or member is None:
            raise errors.NoTarget(
                f"no upstream of {service!r} can be asked",
                NO_TARGET_RETRY_MS,
            )
        if chosen.blocked:
            self._check_rate_limits(service, untried)
        return chosen, member

    def cost(self, candidate: _balancer.Candidate) -> float | None:
        """Return what is compared of a target, if it is one figure."""
        return self._picker.cost(candidate)

    def preview(self) -> Targets:
        """Return a copy that picks as this would, and changes nothing here.

        The statistics of targets are shared: picking doesn't change them.
        """
        copied = copy.copy(self)
        copied._stats = dict(self._stats)
        copied._stats_cache = dict(self._stats_cache)
        copied._distance_cache = dict(self._distance_cache)
        copied._rng = copy.deepcopy(self._rng)
        copied._picker = copy.deepcopy(self._picker)
        return copied

    def survey(self, service: str) -> collections.abc.Iterator[Seen]:
        """Yield all targets of a service, including those not picked now."""
        for distance, members in self._by_distance(service).items():
            for member in members:
                yield Seen(
                    member,
                    distance,
                    self.stats(member),
                    self._reachability_state(member),
                    _target_key(member) in self._leaving,
                )

    def _check_rate_limits(
        self, service: str, candidates: list[_balancer.Candidate]
    ) -> None:
        """Refuse a request that every candidate's guard would refuse.

        :raises errors.NoTarget: when all rate limits are used up.
        """
        now_s = time.monotonic()
        wait_s = clock.NEVER_S
        for candidate in candidates:
            member = self._view.get(candidate.instance)
            if member is None:
                return
            until_s = self.stats(member).rate_limited_until_s
            if until_s <= now_s:
                return
            wait_s = min(wait_s, until_s - now_s)
        raise errors.NoTarget(
            f"the rate limit of each upstream of {service!r} is used up",
            max(1, int(1000 * wait_s)),
        )

    def reachability(self, address: str) -> _reachability.Reachability:
        """Return the state of the network path to a daemon's guard."""
        found = self._reachabilities.get(address)
        if found is None:
            found = self._reachabilities.setdefault(
                address, _reachability.Reachability()
            )
        return found

    @contextlib.contextmanager
    def awaiting_answer(self, address: str) -> collections.abc.Iterator[None]:
        """Count a request as waiting for a guard's answer.

        An answer shows that the daemon is alive; a failed connection attempt
        counts as a miss.
        """
        reachability = self.reachability(address)
        began_s = time.monotonic()
        with self._lock:
            reachability.request_sent(began_s)
        if not self.request_waiting.is_set():
            self.request_waiting.set()
        try:
            yield
            self._record_response(address)
        except errors.TargetRefused:
            self._record_miss(address, "connection", began_s)
            raise
        finally:
            with self._lock:
                reachability.request_ended()

    def probe(self) -> bool:
        """Probe the daemons that are unresponsive.

        :returns: whether some daemon may need another probe soon.
        """
        self.request_waiting.clear()
        now_s = time.monotonic()
        reachabilities = list(self._reachabilities.items())
        due = {
            address: reachability
            for address, reachability in reachabilities
            if reachability.probe_due(now_s)
        }
        if not due:
            if not self._missing:
                self._prober.end()
            return any(
                reachability.waiting or reachability.misses
                for _, reachability in reachabilities
            )
        for reachability in due.values():
            reachability.last_probe_s = now_s
        results = self._prober.probe(due)
        for address in results.answered:
            self._record_response(address)
        for address in results.connected - results.frozen:
            self._record_unanswered(address, False, now_s)
        for address in results.frozen:
            self._record_unanswered(
                address, True, now_s - _reachability.UNANSWERED_S
            )
        for address in set(due).difference(*results):
            self._record_miss(address, "probe", now_s)
        return True

    def _record_response(self, address: str) -> None:
        reachability = self.reachability(address)
        reachability.record_contact(time.monotonic())
        if self._missing.pop(address, None) is not None:
            _log.info(
                "Daemon at {} responds again and receives new requests.",
                address,
            )

    def _record_miss(self, address: str, attempt: str, began_s: float) -> None:
        """Count a failed attempt to reach a daemon.

        :param attempt: ``connection`` or ``probe``, for the log.
        :param began_s: when the attempt began, in monotonic seconds.
        """
        reachability = self._updated_reachability(address)
        if not reachability.record_miss(began_s, time.monotonic()):
            return
        self._missing[address] = reachability
        if reachability.misses != _reachability.UNREACHABLE_AFTER_MISSES:
            return
        _log.warning(
            "Daemon at {} is unreachable after {} failed attempts; it receives"
            " no new requests until it responds.",
            address,
            reachability.misses,
            extra=self._log_fields(reachability, attempt),
        )

    def _log_fields(
        self, reachability: _reachability.Reachability, attempt: str
    ) -> dict[str, object]:
        """Return the fields of a log line about an unresponsive daemon."""
        now_s = time.monotonic()
        return {
            "attempt": attempt,
            "waiting": reachability.waiting,
            "quiet_ms": int(1000 * (now_s - reachability.waiting_since_s)),
            "probed_ms_ago": int(1000 * (now_s - reachability.last_probe_s)),
            "missing": len(self._missing),
        }

    def _record_unanswered(
        self, address: str, frozen: bool, began_s: float
    ) -> None:
        """Record that a daemon accepted a connection but has not answered.

        :param frozen: whether its answer is overdue by
            ``_reachability.UNANSWERED_S``.
        """
        reachability = self._updated_reachability(address)
        was_frozen = reachability.frozen
        if not reachability.record_connect(frozen, began_s):
            return
        self._missing[address] = reachability
        if frozen and not was_frozen:
            _log.warning(
                "Daemon at {} accepts connections but has not answered a probe"
                " for {} s; it receives no new requests until it responds.",
                address,
                _reachability.UNANSWERED_S,
                extra=self._log_fields(reachability, "probe"),
            )

    def _updated_reachability(
        self, address: str
    ) -> _reachability.Reachability:
        """Return a daemon's reachability, updated from its connection pool.

        A part of an answer's body that arrived on a pooled connection shows
        that the daemon is alive.
        """
        reachability = self.reachability(address)
        pool = self._pools.get(address)
        if pool is not None and pool.last_body_s > reachability.last_contact_s:
            reachability.record_contact(pool.last_body_s)
            self._missing.pop(address, None)
        return reachability

    def _reachability_state(
        self, member: membership.Member
    ) -> _reachability.State:
        reachability = self._missing.get(member.guard)
        return (
            _reachability.State.REACHABLE
            if reachability is None
            else reachability.state
        )

    def _without_leaving(
        self, by_distance: _MembersByDistance
    ) -> _MembersByDistance:
        """Return the members whose targets don't leave.

        The view may not have the leave, or a restarted daemon not know it.
        """
        if not self._leaving:
            return by_distance
        return {
            distance: [
                member
                for member in members
                if _target_key(member) not in self._leaving
            ]
            for distance, members in by_distance.items()
        }

    def _reachable(
        self,
        by_distance: _MembersByDistance,
        tried: collections.abc.Container[str],
    ) -> _MembersByDistance:
        """Return the untried members that are reachable, or else suspect.

        While no daemon is missing, all members are returned.  Members that
        are unreachable are never returned.
        """
        missing = self._missing
        if not missing:
            return by_distance
        untried = {
            distance: [
                member for member in members if member.instance not in tried
            ]
            for distance, members in by_distance.items()
        }
        reachable = {
            distance: [
                member for member in members if member.guard not in missing
            ]
            for distance, members in untried.items()
        }
        if any(reachable.values()):
            return reachable
        all_members = itertools.chain.from_iterable(untried.values())
        best = min(
            map(self._reachability_state, all_members),
            default=_reachability.State.UNREACHABLE,
        )
        if best is _reachability.State.UNREACHABLE:
            return {}
        return {
            distance: [
                member
                for member in members
                if self._reachability_state(member) is best
            ]
            for distance, members in untried.items()
        }

    def _candidates(
        self,
        by_distance: _MembersByDistance,
        profile: _balancer.RequestProfile,
        mean_load: float,
    ) -> list[_balancer.Candidate]:
        now_s = time.monotonic()
        return [
            _balancer.candidate(
                member.instance,
                distance,
                self.stats(member),
                now_s,
                profile,
                self._reachability_state(member),
                mean_load,
            )
            for distance, members in by_distance.items()
            for member in _balancer.sample(members, self._rng)
        ]

    def stats(self, member: membership.Member) -> _balancer.TargetStats:
        """Return the statistics of one incarnation of a target."""
        cached = self._stats_cache.get(member.instance)
        if cached is not None and cached[0] is member:
            return cached[1]
        key = _stats_key(member)
        stats = self._stats.get(key)
        if stats is None:
            stats = _balancer.TargetStats(
                since_s=time.monotonic(), peers=self.load_of(member.service)
            )
            service = self._applied.config.services.get(member.service)
            slots = service.slots if service is not None else 0
            stats.slots = slots or member.slots or stats.slots
            stats.rate_limit_per_s = self._rate_limits.get(
                _target_key(member), wire.UNLIMITED
            )
            self._stats[key] = stats
        self._stats_cache[member.instance] = (member, stats)
        return stats

    def all_stats(
        self, service: str
    ) -> collections.abc.Iterator[_balancer.TargetStats]:
        """Yield the statistics of each target of a service."""
        return map(self.stats, self._view.of_service(service))

    def learn_state(
        self,
        member: membership.Member,
        stats: _balancer.TargetStats,
        answer: _exchange.Answer,
        kind: str,
    ) -> None:
        """Record the state of a target that its guard's answer reports."""
        text = answer.header(_call.LOAD)
        if not text:
            # The guard had no free worker, so its server refused the request.
            return
        # The guard counts the answered request as running until its answer
        # has been forwarded.
        ended = not answer.header(serving.CODE_HEADER)
        self.learn_load(member, stats, text, kind, int(ended))
        leaving = answer.header(_call.LEAVING)
        if leaving:
            self._leaving[f"{member.instance}/{leaving}"] = time.monotonic()
        key = _target_key(member)
        limit_per_s = wire.parse_rate_limit(answer.header(_call.RATE_LIMIT))
        if limit_per_s is not None and limit_per_s != wire.UNLIMITED:
            self._rate_limits[key] = stats.rate_limit_per_s = limit_per_s
        elif not answer.header(serving.CODE_HEADER):
            # A guard that refuses may not have heard from its target yet.
            stats.rate_limit_per_s = wire.UNLIMITED
            self._rate_limits.pop(key, None)

    def profile(self, call: _call.Call) -> _balancer.RequestProfile:
        """Return the properties of a request that the balancer weighs."""
        return _balancer.RequestProfile(
            call.kind_name,
            call.kind.objective_ms,
            self._answer_bytes.get(call.kind_name, 0.0),
            float(call.body.length or 0),
        )

    def learn_load(
        self,
        member: membership.Member,
        stats: _balancer.TargetStats,
        text: str,
        kind: str,
        ended: int = 0,
    ) -> None:
        """Record the load and speed that a guard's load header states.

        :param ended: how many of the requests that it counts have ended.
        """
        parts = text.split()
        if len(parts) not in (3, 4) or not all(map(str.isdecimal, parts)):
            return
        running, slots, service_ms, *others = (int(part) for part in parts)
        pace = others[0] if others else load.USUAL_PACE
        running = max(0, running - ended)
        now_s = time.monotonic()
        stats.record_load(running, slots, now_s, kind, service_ms, pace)
        self.load_of(member.service).record(
            member.instance,
            running / stats.slots,
            running >= stats.slots,
            now_s,
        )

    def learn_size(self, kind: str, size_bytes: int) -> None:
        """Update the mean answer size of a kind of request."""
        mean_bytes = self._answer_bytes.get(kind, float(size_bytes))
        self._answer_bytes[kind] = mean_bytes + SIZE_SMOOTHING * (
            size_bytes - mean_bytes
        )

    def count(self, stats: _balancer.TargetStats, step: int) -> None:
        """Add ``step`` to the number of requests in flight at a target."""
        with self._lock:
            stats.in_flight += step

    @property
    def missing(self) -> int:
        """Return how many daemons are suspect or unreachable."""
        return len(self._missing)

    def pool(self, address: str) -> _pool.Pool:
        """Return the connection pool of a guard."""
        pool = self._pools.get(address)
        if pool is None:
            new_pool = _pool.Pool(
                address,
                _pool.PEER_CONNECT_TIMEOUT_S,
                self._uplink,
                is_daemon=True,
            )
            pool = self._pools.setdefault(address, new_pool)
        return pool

    def tick(self) -> None:
        """Close idle connections and drop the state of targets that left."""
        members = self._view.all()
        guards = {member.guard for member in members}
        for address, pool in list(self._pools.items()):
            pool.retire()
            if address not in guards:
                self._pools.pop(address).close()
        for address in set(self._reachabilities) - guards:
            self._reachabilities.pop(address, None)
            self._missing.pop(address, None)
        current = {_stats_key(member) for member in members}
        for key in set(self._stats) - current:
            self._stats.pop(key, None)
        self._forget_targets({_target_key(member) for member in members})
        instances = {member.instance for member in members}
        for instance in set(self._stats_cache) - instances:
            self._stats_cache.pop(instance, None)

    def _forget_targets(self, current: collections.abc.Set[str]) -> None:
        """Drop what targets stated that are no longer members."""
        for key in set(self._rate_limits) - current:
            self._rate_limits.pop(key, None)
        before_s = time.monotonic() - LEAVE_HOLD_S
        for key, reported_s in list(self._leaving.items()):
            unnamed = key.endswith(_UNNAMED_INCARNATION)
            if key not in current or (unnamed and reported_s < before_s):
                self._leaving.pop(key, None)

    def _by_distance(self, service: str) -> _MembersByDistance:
        members = self._view.of_service(service)
        cached = self._distance_cache.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        by_distance: _MembersByDistance = {}
        for member in members:
            by_distance.setdefault(self.distance(member), []).append(member)
        self._distance_cache[service] = (members, by_distance)
        return by_distance

    def distance(self, member: membership.Member) -> _balancer.Distance:
        """Return how far a member is from this entry."""
        if member.failure_domain == self._options.failure_domain:
            return _balancer.Distance.DOMAIN
        if member.region == self._options.region:
            return _balancer.Distance.REGION
        return _balancer.Distance.REMOTE


def learn_refusal(
    stats: _balancer.TargetStats, refusal: errors.Refusal
) -> None:
    """Block a target for a while after a refusal.

    A failed connection or an unknown outcome also counts as a failure of
    the target.  Refusals that the caller caused by disconnecting are ignored.
    """
    now_s = time.monotonic()
    if isinstance(refusal, _CALLER_FAULTS):
        return
    if isinstance(refusal, (errors.TargetRefused, errors.OutcomeUnknown)):
        stats.record_failure(now_s)
    limit_ms = min(refusal.retry_after_ms, BLOCK_LIMIT_MS)
    if isinstance(refusal, errors.Overloaded):
        # Each finished request frees capacity, and other requests may be
        # admitted in the meantime.
        stats.record_busy(now_s, min(limit_ms, OVERLOAD_BLOCK_MS) / 1000)
        return
    if isinstance(refusal, errors.RateLimited):
        stats.rate_limited_until_s = now_s + limit_ms / 1000
    stats.record_block(now_s, limit_ms / 1000)


def _stats_key(member: membership.Member) -> str:
    return f"{_target_key(member)}#{member.incarnation}"


def _target_key(member: membership.Member) -> str:
    """Return a key for the incarnation of a member's target."""
    return (
        f"{member.instance}/{member.target_id}@{member.target_started_at_ms}"
    )
