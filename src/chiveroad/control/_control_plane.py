"""What a daemon asks of its control plane, whichever it runs."""

from __future__ import annotations

import abc

from chiveroad import membership


class ControlPlane(abc.ABC):
    """Keeps the configuration and the view of members current.

    ``stopped`` ends its work in the background.
    """

    stopped: bool = False

    @property
    @abc.abstractmethod
    def parent(self) -> str:
        """Return the address last asked for news, or an empty string."""

    @property
    @abc.abstractmethod
    def relay(self) -> str:
        """Return the name of the failure domain's relay, as far as known."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin all parts in the background."""

    @abc.abstractmethod
    def ancestors(self) -> list[str]:
        """Return the addresses that children may turn to instead."""

    @abc.abstractmethod
    def roles(self) -> list[str]:
        """Return the roles that this daemon has now."""

    @abc.abstractmethod
    def confirm(self, at_s: float) -> None:
        """Try to learn that nothing newer was accepted at a time."""

    @abc.abstractmethod
    def announce(self, state: membership.State) -> None:
        """Put the daemon into a state, and tell the others."""

    @abc.abstractmethod
    def record(self, wait_s: float) -> bool:
        """Have what is known of the target recorded.

        :param wait_s: how long to wait for it.
        :returns: whether it is recorded.
        """

    @abc.abstractmethod
    def release_leases(self) -> None:
        """Release the leases that would keep others from taking over."""
