"""Where a version's chunks come from first."""

from abc import ABC, abstractmethod

from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.core.manifest import ChunkPlace, Manifest


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


class WeightsOrigin(ABC):
    """The origin of all versions."""

    @abstractmethod
    def manifest(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> Manifest:
        """Return a version's manifest.

        Raises:
            OriginUnavailable: It cannot be had now.
        """

    @abstractmethod
    def chunks(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> ChunkOrigin:
        """Return the origin of a version's chunks."""
