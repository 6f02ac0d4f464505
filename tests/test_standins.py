"""What the stand-ins promise to the tests."""

from __future__ import annotations

from standins import mesh


def test_no_two_are_given_one_address() -> None:
    """Also where one of them needs more than a block."""
    first, second = mesh.Ports(), mesh.Ports()
    taken = [ports.take() for _ in range(300) for ports in (first, second)]
    assert len(set(taken)) == len(taken)
