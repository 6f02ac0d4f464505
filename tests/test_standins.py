"""Tests of the stand-ins."""

from __future__ import annotations

from standins import mesh


def test_ports_never_allocates_an_address_twice() -> None:
    """Guards against shared ports when an allocator needs a second block."""
    first, second = mesh.Ports(), mesh.Ports()
    addresses = [ports.take() for _ in range(300) for ports in (first, second)]
    assert len(set(addresses)) == len(addresses)
