"""Where a version's chunks come from first."""

from abc import ABC, abstractmethod

from ridgecourse.core.manifest import ChunkPlace


class OriginUnavailable(Exception):
    """The origin gave no usable answer."""


class OriginBusy(OriginUnavailable):
    """The origin asks to come back later."""


class OriginMissing(OriginUnavailable):
    """The origin does not have what was asked for."""


class ChunkOrigin(ABC):
    """The origin of one version.

    Attributes:
        drawn: Bytes received so far.
    """

    drawn: int

    @abstractmethod
    def chunk(self, place: ChunkPlace, stall: float) -> bytes:
        """Return a chunk's bytes, not yet verified.

        Args:
            place: Where the chunk stands.
            stall: Longest wait for each piece, in seconds.

        Raises:
            OriginUnavailable: It cannot be had now.
        """
