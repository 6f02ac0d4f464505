"""The interface of a daemon's control plane, common to its kinds."""

from __future__ import annotations

import abc

from chiveroad import membership


class ControlPlane(abc.ABC):
    """Keeps the configuration and the view of members current.

    Setting ``stopped`` ends the background threads.
    """

    stopped: bool = False

    @property
    @abc.abstractmethod
    def parent(self) -> str:
        """Return the parent's address, or an empty string."""

    @property
    @abc.abstractmethod
    def relay(self) -> str:
        """Return the name of the failure domain's relay, as far as known."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start the background threads."""

    @abc.abstractmethod
    def ancestors(self) -> list[str]:
        """Return the addresses that children may fail over to."""

    @abc.abstractmethod
    def roles(self) -> list[str]:
        """Return the roles that this daemon has now."""

    @abc.abstractmethod
    def confirm(self, at_s: float) -> None:
        """Try to confirm that the version in force was the newest at a time.

        :param at_s: the time, in seconds of ``clock.now_s``.
        """

    @abc.abstractmethod
    def announce(self, state: membership.State) -> None:
        """Set the daemon's state, and send it to other daemons."""

    @abc.abstractmethod
    def record(self, wait_s: float) -> bool:
        """Record the target's status in the store.

        :param wait_s: how long to wait until it is recorded.
        :returns: whether it is recorded.
        """

    @abc.abstractmethod
    def learn_era(self, era: int) -> None:
        """Learn of an era of the store from another daemon."""

    @abc.abstractmethod
    def release_leases(self) -> None:
        """Release the leases, so that other daemons can take over at once."""
