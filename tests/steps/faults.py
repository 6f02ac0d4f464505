"""Faults that scenarios inject, by their text in the feature files."""

from __future__ import annotations

import collections.abc
import time
import typing

from chiveroad.control import _lease
from standins import mesh

LEASE_EXPIRY_S: typing.Final = _lease.DURATION_S * 2
STORE_FAULT_S: typing.Final = 6.0


def kill_merger(running_mesh: mesh.Mesh) -> None:
    """Kill the merger; it isn't started again."""
    running_mesh.kill(running_mesh.wait_for_role("merger"))
    time.sleep(2)


def kill_relay(running_mesh: mesh.Mesh) -> None:
    """Kill a relay other than the merger."""
    running_mesh.kill(_relay_other_than_merger(running_mesh))
    time.sleep(2)


def kill_merger_and_relay(running_mesh: mesh.Mesh) -> None:
    """Kill the merger and a relay at the same time."""
    relay = _relay_other_than_merger(running_mesh)
    running_mesh.kill(running_mesh.wait_for_role("merger"))
    running_mesh.kill(relay)
    time.sleep(2)


def freeze_merger(running_mesh: mesh.Mesh) -> None:
    """Pause the merger until its lease has expired, and resume it."""
    name = running_mesh.wait_for_role("merger")
    running_mesh.freeze(name)
    time.sleep(LEASE_EXPIRY_S)
    running_mesh.resume(name)


def freeze_leaders(running_mesh: mesh.Mesh) -> None:
    """Pause all leaders until their leases have expired."""
    leaders = _with_role(running_mesh, "leader")
    for name in leaders:
        running_mesh.freeze(name)
    time.sleep(LEASE_EXPIRY_S)
    for name in leaders:
        running_mesh.resume(name)


def store_outage(running_mesh: mesh.Mesh) -> None:
    """Let the store refuse all calls for 6 s."""
    running_mesh.faults(outage=True)
    time.sleep(STORE_FAULT_S)
    running_mesh.faults(outage=False)


def delay_store_calls(running_mesh: mesh.Mesh) -> None:
    """Delay each call of the store by 400 ms."""
    running_mesh.faults(delay_ms=400)
    time.sleep(STORE_FAULT_S)
    running_mesh.faults()


def lose_answers_to_accepts(running_mesh: mesh.Mesh) -> None:
    """Lose the answers to writes of the accepted version."""
    running_mesh.faults(lose_answers=3, lose_kind="configs")
    time.sleep(4)


def lose_answers_to_leases(running_mesh: mesh.Mesh) -> None:
    """Lose the answers to writes of leases."""
    running_mesh.faults(lose_answers=20, lose_kind="leases")
    time.sleep(LEASE_EXPIRY_S)


def drop_store_history(running_mesh: mesh.Mesh) -> None:
    """Drop the history of the store during an outage, so watches expire."""
    running_mesh.faults(outage=True)
    time.sleep(1)
    running_mesh.faults(outage=False)
    running_mesh.compact_history()
    time.sleep(2)


def cut_store_links(running_mesh: mesh.Mesh) -> None:
    """Cut the remote region from the store, and heal the link."""
    for link in running_mesh.store_links.values():
        link.cut()
    time.sleep(LEASE_EXPIRY_S)
    for link in running_mesh.store_links.values():
        link.heal()


def restart_half(running_mesh: mesh.Mesh) -> None:
    """Kill and restart every second daemon simultaneously."""
    _restart(running_mesh, running_mesh.daemons()[::2])


def restart_all(running_mesh: mesh.Mesh) -> None:
    """Kill and restart all daemons simultaneously."""
    _restart(running_mesh, running_mesh.daemons())


def _restart(running_mesh: mesh.Mesh, names: list[str]) -> None:
    for name in names:
        running_mesh.kill(name)
    for name in names:
        running_mesh.start_daemon(name)


def _with_role(running_mesh: mesh.Mesh, role: str) -> list[str]:
    statuses = [running_mesh.status(name) for name in running_mesh.daemons()]
    return [s.instance for s in statuses if s and role in s.roles]


def _relay_other_than_merger(running_mesh: mesh.Mesh) -> str:
    merger = running_mesh.wait_for_role("merger")
    return next(n for n in _with_role(running_mesh, "relay") if n != merger)


FAULTS: typing.Final[
    dict[str, collections.abc.Callable[[mesh.Mesh], None]]
] = {
    "the merger is killed": kill_merger,
    "a relay is killed": kill_relay,
    "the merger and a relay are killed": kill_merger_and_relay,
    "the merger is frozen past its lease": freeze_merger,
    "every leader is frozen past its lease": freeze_leaders,
    "the store is out for a while": store_outage,
    "the store answers slowly": delay_store_calls,
    "answers to accepting a version are lost": lose_answers_to_accepts,
    "answers to taking leases are lost": lose_answers_to_leases,
    "the store forgets its history": drop_store_history,
    "the link between the regions is cut": cut_store_links,
    "half of the daemons are killed and restarted": restart_half,
    "all daemons are killed and restarted": restart_all,
}
