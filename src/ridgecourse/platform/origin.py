"""The platform's origin of weights."""

from urllib.parse import quote

from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import ChunkDigest, ModelName, WeightsVersion
from ridgecourse.core.manifest import ChunkPlace, FileEntry, Manifest, find_faults
from ridgecourse.exchange.origin import (
    ChunkOrigin,
    OriginBusy,
    OriginMissing,
    OriginUnavailable,
    WeightsOrigin,
)
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.platform.names import CHUNK_INDEX, CHUNK_PATH, MANIFEST_PATH
from ridgecourse.platform.records import decode_json

WEIGHTS_FILE = "weights"
"""Name of the one file that a version is, in the terms of our manifests."""
MANIFEST_SECONDS = 2.0
MAX_BYTES = 16 * 1024 * 1024


class ManifestFields(Struct):
    """A version's digests, SHA-256 in hexadecimal, one a chunk."""

    chunk_bytes: int
    digests: list[str]


class PlatformOrigin(WeightsOrigin):
    """Client of the origin."""

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    def manifest(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> Manifest:
        """Return a version's manifest; see ``WeightsOrigin``."""
        path = f"{MANIFEST_PATH}{quote(model)}?version={version}"
        data = self.fetch(address, path, MANIFEST_SECONDS)
        decoded = decode_json(data, ManifestFields, "manifest")
        if isinstance(decoded, Failure):
            raise OriginUnavailable(str(decoded.failure()))
        fields: ManifestFields = decoded.unwrap()
        digests = tuple(ChunkDigest(digest.lower()) for digest in fields.digests)
        size = fields.chunk_bytes * len(digests)
        entry = FileEntry(WEIGHTS_FILE, size, digests)
        manifest = Manifest(fields.chunk_bytes, (entry,))
        faults = list(find_faults(manifest))
        if faults:
            raise OriginUnavailable("; ".join(map(str, faults)))
        return manifest

    def chunks(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> "PlatformChunks":
        """Return the origin of a version's chunks; see ``WeightsOrigin``."""
        return PlatformChunks(self, address, model, version)

    def fetch(self, address: str, path: str, stall: float) -> bytes:
        """Return what lies at a path.

        Raises:
            OriginUnavailable: It cannot be had now.
        """
        try:
            status, data, _ = self.http.fetch(
                "GET", address, path, timeout=stall, limit=MAX_BYTES
            )
        except (NoConnection, ExchangeFailed) as error:
            raise OriginUnavailable(f"{path}: {error}") from error
        if status in (429, 503):
            raise OriginBusy(f"{path}: status {status}")
        if status in (404, 410):
            raise OriginMissing(f"{path}: status {status}")
        if status != 200:
            raise OriginUnavailable(f"{path}: status {status}")
        return data


class PlatformChunks(ChunkOrigin):
    """The origin of one version's chunks."""

    def __init__(
        self,
        origin: PlatformOrigin,
        address: str,
        model: ModelName,
        version: WeightsVersion,
    ) -> None:
        self.origin = origin
        self.address = address
        self.model = model
        self.version = version
        self.drawn = 0

    def chunk(self, place: ChunkPlace, stall: float) -> bytes:
        """Return a chunk's bytes; see ``ChunkOrigin``."""
        index = place.start // place.length
        query = f"{CHUNK_INDEX}={index}&version={self.version}"
        path = f"{CHUNK_PATH}{quote(self.model)}?{query}"
        data = self.origin.fetch(self.address, path, stall)
        self.drawn += len(data)
        return data
