"""The faults that scenarios put in, by the words that name them."""

from __future__ import annotations

import collections.abc
import time
import typing

from chiveroad.control import _lease
from standins import mesh

PAST_LEASE_S: typing.Final = _lease.DURATION_S * 2
OUTAGE_S: typing.Final = 6.0


def kill_merger(on: mesh.Mesh) -> None:
    """Kill the merger, for good."""
    on.kill(on.wait_for_role("merger"))
    time.sleep(2)


def kill_relay(on: mesh.Mesh) -> None:
    """Kill a relay that isn't the merger."""
    on.kill(_plain_relay(on))
    time.sleep(2)


def kill_both(on: mesh.Mesh) -> None:
    """Kill the merger and a relay together."""
    relay = _plain_relay(on)
    on.kill(on.wait_for_role("merger"))
    on.kill(relay)
    time.sleep(2)


def freeze_merger(on: mesh.Mesh) -> None:
    """Pause the merger past its lease and let it go on."""
    name = on.wait_for_role("merger")
    on.freeze(name)
    time.sleep(PAST_LEASE_S)
    on.resume(name)


def freeze_leaders(on: mesh.Mesh) -> None:
    """Pause all leaders at once."""
    leaders = _with_role(on, "leader")
    for name in leaders:
        on.freeze(name)
    time.sleep(PAST_LEASE_S)
    for name in leaders:
        on.resume(name)


def outage(on: mesh.Mesh) -> None:
    """Take the store down for a while."""
    on.faults(outage=True)
    time.sleep(OUTAGE_S)
    on.faults(outage=False)


def slow_store(on: mesh.Mesh) -> None:
    """Make every call take long."""
    on.faults(delay_ms=400)
    time.sleep(OUTAGE_S)
    on.faults()


def lose_accepts(on: mesh.Mesh) -> None:
    """Lose the answers to writes of the accepted version."""
    on.faults(lose_answers=3, lose_kind="configs")
    time.sleep(4)


def lose_leases(on: mesh.Mesh) -> None:
    """Lose the answers to writes of leases."""
    on.faults(lose_answers=20, lose_kind="leases")
    time.sleep(PAST_LEASE_S)


def forget(on: mesh.Mesh) -> None:
    """Let watches find their version forgotten."""
    on.faults(outage=True)
    time.sleep(1)
    on.faults(outage=False)
    on.compact_history()
    time.sleep(2)


def cut_link(on: mesh.Mesh) -> None:
    """Cut the far region from the store, and heal the link."""
    for link in on.store_links.values():
        link.cut()
    time.sleep(PAST_LEASE_S)
    for link in on.store_links.values():
        link.heal()


def restart_half(on: mesh.Mesh) -> None:
    """Kill and restart every second daemon at once."""
    _restart(on, on.daemons()[::2])


def restart_all(on: mesh.Mesh) -> None:
    """Kill and restart all daemons at once."""
    _restart(on, on.daemons())


def _restart(on: mesh.Mesh, names: list[str]) -> None:
    for name in names:
        on.kill(name)
    for name in names:
        on.start_daemon(name)


def _with_role(on: mesh.Mesh, role: str) -> list[str]:
    statuses = [on.status(name) for name in on.daemons()]
    return [s.instance for s in statuses if s and role in s.roles]


def _plain_relay(on: mesh.Mesh) -> str:
    merger = on.wait_for_role("merger")
    return next(n for n in _with_role(on, "relay") if n != merger)


FAULTS: typing.Final[
    dict[str, collections.abc.Callable[[mesh.Mesh], None]]
] = {
    "the merger is killed": kill_merger,
    "a relay is killed": kill_relay,
    "the merger and a relay are killed": kill_both,
    "the merger is frozen past its lease": freeze_merger,
    "every leader is frozen past its lease": freeze_leaders,
    "the store is out for a while": outage,
    "the store answers slowly": slow_store,
    "answers to accepting a version are lost": lose_accepts,
    "answers to taking leases are lost": lose_leases,
    "the store forgets its history": forget,
    "the link between the regions is cut": cut_link,
    "half of the daemons are killed and restarted": restart_half,
    "all daemons are killed and restarted": restart_all,
}
