"""Interfaces of the origin, the authoritative source of manifests and chunks."""

from abc import ABC, abstractmethod

from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.core.manifest import ChunkLocation, Manifest


class OriginUnavailable(Exception):
    """The origin returned no usable answer."""


class OriginBusy(OriginUnavailable):
    """The origin is overloaded and asks to retry later."""


class OriginMissing(OriginUnavailable):
    """The origin does not have the requested data."""


class ChunkOrigin(ABC):
    """Source of the chunks of one version.

    Attributes:
        received_bytes: Bytes received from the origin so far.
    """

    received_bytes: int

    @abstractmethod
    def chunk(self, place: ChunkLocation, stall: float) -> bytes:
        """Return a chunk's bytes without verifying them.

        Args:
            place: File and byte range of the chunk.
            stall: Longest wait for the next bytes, in seconds.

        Raises:
            OriginUnavailable: The chunk cannot be fetched now.
        """


class WeightsOrigin(ABC):
    """Source of the manifests and chunks of all versions."""

    @abstractmethod
    def manifest(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> Manifest:
        """Return a version's manifest.

        Raises:
            OriginUnavailable: The manifest cannot be fetched now.
        """

    @abstractmethod
    def chunks(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> ChunkOrigin:
        """Return the source of a version's chunks."""
