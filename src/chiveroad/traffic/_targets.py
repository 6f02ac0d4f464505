"""The targets as one entry sees them: where they are, and what it learnt."""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import random
import threading
import time
import typing

from chiveroad import control
from chiveroad import errors
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

NO_TARGET_RETRY_MS: typing.Final = 1_000
BLOCK_LIMIT_MS: typing.Final = 1_000
OVERLOAD_BLOCK_MS: typing.Final = 50
SIZE_SMOOTHING: typing.Final = 0.1

_NOT_ITS_FAULT: typing.Final = (
    errors.CallerDisconnected,
    errors.CallerDisconnectedEarly,
)

_log = logs.Logger("entry")

_Near = dict[_balancer.Distance, list[membership.Member]]
_Distances = tuple[tuple[membership.Member, ...], _Near]


class Targets:
    """What one entry knows of all targets."""

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
        self._recent: dict[
            str, tuple[membership.Member, _balancer.TargetStats]
        ] = {}
        """Statistics by the very records that they were last looked up for."""

        self._pools: dict[str, _pool.Pool] = {}
        self._reachabilities: dict[str, _reachability.Reachability] = {}
        self._missing: dict[str, _reachability.Reachability] = {}
        self._prober = _reachability.Prober(_guard.PROBE_PATH)
        self._answer_bytes: dict[str, float] = {}
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._distances: dict[str, _Distances] = {}
        self._picker = _balancer.picker(options.traffic.balancing)
        self.request_waiting = threading.Event()
        """Set when a request begins to wait for a guard."""

    def candidates(self, service: str) -> list[_balancer.Candidate]:
        """Return the targets of a service as this entry sees them."""
        near = self._by_distance(service)
        return self._weighed(near, _balancer.RequestProfile())

    def pick(
        self,
        service: str,
        profile: _balancer.RequestProfile,
        tried: collections.abc.Container[str],
    ) -> tuple[_balancer.Candidate, membership.Member]:
        """Choose a target that hasn't been tried.

        :raises errors.NoTarget: when there is none.
        """
        near = self._reachable(self._by_distance(service), tried)
        found = self._weighed(near, profile)
        left = [entry for entry in found if entry.instance not in tried]
        chosen = self._picker.pick(left)
        member = self._view.get(chosen.instance) if chosen else None
        if chosen is None or member is None:
            raise errors.NoTarget(
                f"no upstream of {service!r} can be asked",
                NO_TARGET_RETRY_MS,
            )
        return chosen, member

    def reachability(self, address: str) -> _reachability.Reachability:
        """Return what is known of the way to a daemon's guard."""
        found = self._reachabilities.get(address)
        if found is None:
            found = self._reachabilities.setdefault(
                address, _reachability.Reachability()
            )
        return found

    @contextlib.contextmanager
    def awaiting_answer(self, address: str) -> collections.abc.Iterator[None]:
        """Count a request that waits for a guard's answer.

        An answer is a sign of life; a failed connection attempt is a miss.
        """
        reachability = self.reachability(address)
        began_s = time.monotonic()
        with self._lock:
            reachability.sent(began_s)
        if not self.request_waiting.is_set():
            self.request_waiting.set()
        try:
            yield
            self._heard(address)
        except errors.TargetRefused:
            self._missed(address, "connection", began_s)
            raise
        finally:
            with self._lock:
                reachability.ended()

    def probe(self) -> bool:
        """Ask the daemons of which nothing is heard for a sign of life.

        :returns: whether any may have to be asked soon again.
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
            reachability.probed_s = now_s
        results = self._prober.probe(due)
        for address in results.answered:
            self._heard(address)
        for address in results.connected - results.frozen:
            self._connected(address, False, now_s)
        for address in results.frozen:
            self._connected(address, True, now_s - _reachability.UNANSWERED_S)
        for address in set(due).difference(*results):
            self._missed(address, "probe", now_s)
        return True

    def _heard(self, address: str) -> None:
        reachability = self.reachability(address)
        reachability.heard(time.monotonic())
        if self._missing.pop(address, None) is not None:
            _log.info("The daemon at {} answers again.", address)

    def _missed(self, address: str, attempt: str, began_s: float) -> None:
        """Note an attempt that reached nobody, and when it began."""
        reachability = self._with_bodies(address)
        if not reachability.missed(began_s, time.monotonic()):
            return
        self._missing[address] = reachability
        if reachability.misses != _reachability.LOST_AFTER_MISSES:
            return
        _log.warning(
            "The daemon at {} can't be reached.",
            address,
            extra=self._log_fields(reachability, attempt),
        )

    def _log_fields(
        self, reachability: _reachability.Reachability, attempt: str
    ) -> dict[str, object]:
        """Return what a line on a silent daemon tells besides its message."""
        now_s = time.monotonic()
        return {
            "attempt": attempt,
            "waiting": reachability.waiting,
            "quiet_ms": int(1000 * (now_s - reachability.quiet_since_s)),
            "probed_ms_ago": int(1000 * (now_s - reachability.probed_s)),
            "missing": len(self._missing),
        }

    def _connected(self, address: str, frozen: bool, began_s: float) -> None:
        """Note a daemon that took a connection and hasn't answered since."""
        reachability = self._with_bodies(address)
        before = reachability.frozen
        if not reachability.connected(frozen, began_s):
            return
        self._missing[address] = reachability
        if frozen and not before:
            _log.warning(
                "The daemon at {} doesn't answer.",
                address,
                extra=self._log_fields(reachability, "probe"),
            )

    def _with_bodies(self, address: str) -> _reachability.Reachability:
        """Return what is known of the way, with bodies that came since."""
        reachability = self.reachability(address)
        pool = self._pools.get(address)
        if pool is not None and pool.heard_s > reachability.heard_s:
            reachability.heard(pool.heard_s)
            self._missing.pop(address, None)
        return reachability

    def _state(self, member: membership.Member) -> _reachability.State:
        reachability = self._missing.get(member.guard)
        return (
            _reachability.State.REACHABLE
            if reachability is None
            else reachability.state
        )

    def _reachable(
        self, near: _Near, tried: collections.abc.Container[str]
    ) -> _Near:
        """Return those that can be reached, or else the suspect ones."""
        missing = self._missing
        if not missing:
            return near
        left = {
            distance: [m for m in members if m.instance not in tried]
            for distance, members in near.items()
        }
        reached = {
            distance: [m for m in members if m.guard not in missing]
            for distance, members in left.items()
        }
        if any(reached.values()):
            return reached
        every = itertools.chain.from_iterable(left.values())
        best = min(
            map(self._state, every), default=_reachability.State.UNREACHABLE
        )
        if best is _reachability.State.UNREACHABLE:
            return {}
        return {
            distance: [m for m in members if self._state(m) is best]
            for distance, members in left.items()
        }

    def _weighed(
        self, near: _Near, profile: _balancer.RequestProfile
    ) -> list[_balancer.Candidate]:
        now_s = time.monotonic()
        return [
            _balancer.candidate(
                member.instance,
                distance,
                self.stats(member),
                now_s,
                profile,
                self._state(member),
            )
            for distance, members in near.items()
            for member in _balancer.sample(members, self._rng)
        ]

    def stats(self, member: membership.Member) -> _balancer.TargetStats:
        """Return what is learnt of one start of a target."""
        recent = self._recent.get(member.instance)
        if recent is not None and recent[0] is member:
            return recent[1]
        name = _stats_name(member)
        stats = self._stats.get(name)
        if stats is None:
            stats = _balancer.TargetStats(since_s=time.monotonic())
            service = self._applied.config.services.get(member.service)
            slots = service.slots if service is not None else 0
            stats.slots = slots or member.slots or stats.slots
            self._stats[name] = stats
        self._recent[member.instance] = (member, stats)
        return stats

    def all_stats(
        self, service: str
    ) -> collections.abc.Iterator[_balancer.TargetStats]:
        """Yield what is learnt of the targets of a service."""
        return map(self.stats, self._view.of_service(service))

    def profile(self, call: _call.Call) -> _balancer.RequestProfile:
        """Return what a request asks of a target."""
        return _balancer.RequestProfile(
            call.kind_name,
            call.kind.objective_ms,
            self._answer_bytes.get(call.kind_name, 0.0),
        )

    def learn_size(self, kind: str, size: int) -> None:
        """Take in how large an answer to a kind of request was."""
        known = self._answer_bytes.get(kind, float(size))
        self._answer_bytes[kind] = known + SIZE_SMOOTHING * (size - known)

    def count(self, stats: _balancer.TargetStats, step: int) -> None:
        """Count a request in flight, or the end of one."""
        with self._lock:
            stats.in_flight += step

    @property
    def missing(self) -> int:
        """Return how many daemons can't be reached."""
        return len(self._missing)

    def pool(self, address: str) -> _pool.Pool:
        """Return the kept connections to a guard."""
        pool = self._pools.get(address)
        if pool is None:
            made = _pool.Pool(
                address, _pool.PEER_CONNECT_TIMEOUT_S, self._uplink
            )
            pool = self._pools.setdefault(address, made)
        return pool

    def tick(self) -> None:
        """Retire idle connections, and forget targets that are gone."""
        members = self._view.all()
        guards = {member.guard for member in members}
        for address, pool in list(self._pools.items()):
            pool.retire()
            if address not in guards:
                self._pools.pop(address).close()
        for address in set(self._reachabilities) - guards:
            self._reachabilities.pop(address, None)
            self._missing.pop(address, None)
        known = {_stats_name(member) for member in members}
        for name in set(self._stats) - known:
            self._stats.pop(name, None)
        instances = {member.instance for member in members}
        for instance in set(self._recent) - instances:
            self._recent.pop(instance, None)

    def _by_distance(self, service: str) -> _Near:
        members = self._view.of_service(service)
        known = self._distances.get(service)
        if known is not None and known[0] is members:
            return known[1]
        found: _Near = {}
        for member in members:
            found.setdefault(self._distance(member), []).append(member)
        self._distances[service] = (members, found)
        return found

    def _distance(self, member: membership.Member) -> _balancer.Distance:
        if member.failure_domain == self._options.failure_domain:
            return _balancer.Distance.DOMAIN
        if member.region == self._options.region:
            return _balancer.Distance.REGION
        return _balancer.Distance.REMOTE


def learn_load(
    stats: _balancer.TargetStats, answer: _exchange.Answer, kind: str
) -> None:
    """Take in what a guard told of itself with an answer."""
    _learn(stats, answer.header(_call.LOAD), kind)


def learn_local_load(
    stats: _balancer.TargetStats, load: serving.Header, kind: str
) -> None:
    """Take in what the guard in this process tells of itself."""
    _learn(stats, load[1], kind)


def _learn(stats: _balancer.TargetStats, text: str, kind: str) -> None:
    parts = text.split()
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return
    running, slots, service_ms = (int(part) for part in parts)
    stats.record_load(running, slots, time.monotonic(), kind, service_ms)


def learn_refusal(
    stats: _balancer.TargetStats, refusal: errors.Refusal
) -> None:
    """Take in that a request got no answer of the target's own."""
    now_s = time.monotonic()
    if isinstance(refusal, _NOT_ITS_FAULT):
        return
    if isinstance(refusal, (errors.TargetRefused, errors.OutcomeUnknown)):
        stats.record_failure(now_s)
    limit_ms = min(refusal.retry_after_ms, BLOCK_LIMIT_MS)
    if isinstance(refusal, errors.Overloaded):
        # Room comes back with every answer; others may fit meanwhile.
        limit_ms = min(limit_ms, OVERLOAD_BLOCK_MS)
    stats.record_block(now_s, limit_ms / 1000)


def _stats_name(member: membership.Member) -> str:
    return (
        f"{member.instance}@{member.incarnation}"
        f"/{member.target_id}@{member.target_started_at_ms}"
    )
