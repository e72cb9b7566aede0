"""Whom a process may ask for records instead of the store."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import TargetName


class Neighbours(ABC):
    """Other processes, as one process knows them at the moment."""

    @abstractmethod
    def known_gateways(self) -> Collection[Peer]:
        """Return the other gateways that are known."""

    @abstractmethod
    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return whom to read from; None for the store.

        Args:
            avoided: Processes that are left alone for now.
        """

    @abstractmethod
    def record_peers(self) -> Sequence[str]:
        """Return HOST:PORT for records of all that are known, the nearest first."""
