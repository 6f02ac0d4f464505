"""Time and memory of decisions and codecs, without processes or sockets.

The sizes go up to those of the capacity page.
"""

from __future__ import annotations

import collections.abc
import random
import threading
import time
import tracemalloc
import typing

import msgspec

from chiveroad import config
from chiveroad import control
from chiveroad import membership
from chiveroad.traffic import _balancer
from standins import records

SERVICES: typing.Final = (20, 40, 80, 160)
TARGETS: typing.Final = (712, 1_425, 2_850, 5_700)
ROUTES_PER_SERVICE: typing.Final = 4

_REPEATS: typing.Final = 5


def measure() -> None:
    """Measure time and memory at four numbers of services and targets."""
    for count in SERVICES:
        _configuration(count)
    for count in TARGETS:
        _membership(count)


def folder(services: int) -> list[config.Source]:
    """Return a folder with a file for each service."""
    return [
        config.Source(f"{n:04d}.toml", 1, _file(n)) for n in range(services)
    ]


def _file(number: int) -> str:
    text = (
        f'team = "team-{number}"\n[service.s-{number}]\nslots = 12\n'
        f"[service.s-{number}.kind.read]\nidempotent = true\n"
        f"[service.s-{number}.kind.write]\nidempotent = false\n"
    )
    for route in range(ROUTES_PER_SERVICE):
        text += (
            f'[route.r-{number}-{route}]\npath = "/s-{number}/{route}"\n'
            f'service = "s-{number}"\nkind = "read"\n'
        )
    return text


def members(count: int) -> list[membership.Member]:
    """Return members spread over 16 failure domains and 160 services."""
    return [
        membership.Member(
            f"s-{n % 160}-{n}",
            f"s-{n % 160}",
            f"domain-{n % 16}",
            f"region-{n % 5}",
            1_700_000_000_000 + n,
            2,
            membership.State.READY,
            f"10.0.{n // 250}.{n % 250}:7001",
            f"10.0.{n // 250}.{n % 250}:7002",
            f"10.0.{n // 250}.{n % 250}:7003",
        )
        for n in range(count)
    ]


def _configuration(count: int) -> None:
    sources = folder(count)
    merged = config.merge(sources)
    changed = [*sources[:-1], _with_change(sources[-1])]
    merged_after = config.merge(changed, merged.sources)
    delta = config.pack_delta(config.diff(merged.items, merged_after.items))
    unpacked = config.unpack_delta(delta)
    compiled = config.Config(merged.items)
    operations: dict[str, collections.abc.Callable[[], object]] = {
        "merge_ms": lambda: config.merge(changed, merged.sources),
        "digest_ms": lambda: config.digest(merged.items),
        "diff_ms": lambda: config.diff(merged.items, merged_after.items),
        "patch_ms": lambda: config.patch(merged.items, unpacked),
        "compile_ms": lambda: config.Config(merged.items),
        "compile_change_ms": lambda: config.Config(
            merged_after.items, previous=compiled
        ),
        "pack_ms": lambda: config.pack(merged.items),
    }
    for figure, operation in operations.items():
        _emit(figure, count, _time_ms(operation), "ms", "services")
    _emit("delta_bytes", count, len(delta), "B", "services")
    packed = config.pack(merged.items)
    _emit("snapshot_bytes", count, len(packed), "B", "services")
    memory_mb = _memory_mb(lambda: config.Config(dict(merged.items)))
    _emit("config_mb", count, memory_mb, "MB", "services")


def _with_change(source: config.Source) -> config.Source:
    text = source.text.replace("slots = 12", "slots = 13")
    return config.Source(source.name, 2, text)


def _membership(count: int) -> None:
    members_ = members(count)
    view = membership.View(threading.Condition())
    view.merge(members_)
    service = f"s-{count % 160}"
    rng = random.Random(1)
    stats = _balancer.TargetStats(0.0, slots=12)

    def pick() -> object:
        candidates = [
            _balancer.candidate(
                member.instance, _balancer.Distance.DOMAIN, stats, 9
            )
            for member in _balancer.sample(view.of_service(service), rng)
        ]
        return _balancer.pick(candidates, rng)

    def learn() -> object:
        changed = membership.declared_dead(members_[0])
        update = msgspec.structs.replace(
            changed, sequence=changed.sequence + next(sequence_steps)
        )
        return view.merge([update])

    sequence_steps = iter(range(1, 10**6))
    domain = control.DomainMembers(members_[: count // 16])
    encoded = msgspec.json.encode(members_)
    _emit("pick_us", count, _time_ms(pick) * 1000, "us", "upstreams")
    _emit("learn_us", count, _time_ms(learn) * 1000, "us", "upstreams")
    _emit(
        "first_view_ms",
        count,
        _time_ms(
            lambda: msgspec.json.decode(encoded, type=list[membership.Member])
        ),
        "ms",
        "upstreams",
    )
    _emit("view_bytes", count, len(encoded), "B", "upstreams")
    _emit(
        "domain_object_bytes",
        count,
        len(msgspec.json.encode(domain)),
        "B",
        "upstreams",
    )
    view_mb = _memory_mb(lambda: _decode_view(encoded))
    _emit("view_mb", count, view_mb, "MB", "upstreams")


def _decode_view(encoded: bytes) -> membership.View:
    view = membership.View(threading.Condition())
    view.merge(msgspec.json.decode(encoded, type=list[membership.Member]))
    return view


def _emit(figure: str, count: int, value: float, unit: str, note: str) -> None:
    records.emit(figure, "pure", count, value, unit, None, note)


def _time_ms(operation: collections.abc.Callable[[], object]) -> float:
    times = []
    for _ in range(_REPEATS):
        started_s = time.perf_counter()
        operation()
        times.append((time.perf_counter() - started_s) * 1000)
    return sorted(times)[_REPEATS // 2]


def _memory_mb(make: collections.abc.Callable[[], object]) -> float:
    tracemalloc.start()
    result = make()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert result is not None
    return used_bytes / 1024 / 1024
