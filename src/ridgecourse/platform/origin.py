"""HTTP client of the platform's origin, which holds all versions of models' weights."""

from urllib.parse import quote

from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import ChunkDigest, ModelName, WeightsVersion
from ridgecourse.core.manifest import ChunkLocation, FileEntry, Manifest, find_problems
from ridgecourse.exchange.origin import (
    ChunkOrigin,
    OriginBusy,
    OriginMissing,
    OriginUnavailable,
    WeightsOrigin,
)
from ridgecourse.net.http_client import (
    ExchangeFailed,
    HttpClient,
    NoConnection,
    states_end,
)
from ridgecourse.platform.names import CHUNK_INDEX_PARAMETER, CHUNK_PATH, MANIFEST_PATH
from ridgecourse.platform.records import decode_json

WEIGHTS_FILE = "weights"
"""Path of a version in its ``Manifest``. The platform has no files: a version is one
sequence of chunks, which the manifest lists as a single file."""
MANIFEST_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ManifestFields(Struct):
    """The platform's manifest of a version.

    Attributes:
        chunk_bytes: Size of each chunk in bytes.
        digests: SHA-256 of each chunk in hexadecimal.
    """

    chunk_bytes: int
    digests: list[str]


class PlatformOrigin(WeightsOrigin):
    """Client of the origin for all models and versions."""

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    def manifest(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> Manifest:
        """Return a version's manifest; see ``WeightsOrigin``."""
        path = f"{MANIFEST_PATH}{quote(model)}?version={version}"
        data = self.fetch(address, path, MANIFEST_TIMEOUT_SECONDS)
        decoded = decode_json(data, ManifestFields, "manifest")
        if isinstance(decoded, Failure):
            raise OriginUnavailable(str(decoded.failure()))
        fields: ManifestFields = decoded.unwrap()
        digests = tuple(ChunkDigest(digest.lower()) for digest in fields.digests)
        size = fields.chunk_bytes * len(digests)
        entry = FileEntry(WEIGHTS_FILE, size, digests)
        manifest = Manifest(fields.chunk_bytes, (entry,))
        problems = list(find_problems(manifest))
        if problems:
            raise OriginUnavailable("; ".join(map(str, problems)))
        return manifest

    def chunks(
        self, address: str, model: ModelName, version: WeightsVersion
    ) -> "PlatformChunkOrigin":
        """Return the origin of a version's chunks; see ``WeightsOrigin``."""
        return PlatformChunkOrigin(self, address, model, version)

    def fetch(
        self, address: str, path: str, stall: float, least_bytes: int = 0
    ) -> bytes:
        """Return the body that the origin serves at a path.

        Args:
            address: HOST:PORT of the origin.
            path: Path and query.
            stall: Timeout of each read, in seconds.
            least_bytes: Least size of the whole body. A shorter one that ended with its
                connection is cut.

        Raises:
            OriginBusy: The origin answered with status 429 or 503.
            OriginMissing: The origin answered with status 404 or 410.
            OriginUnavailable: The origin gave no whole answer or one with another
                status.
        """
        try:
            status, data, headers = self.http.fetch(
                "GET", address, path, timeout=stall, limit=MAX_ANSWER_BYTES
            )
        except (NoConnection, ExchangeFailed) as error:
            raise OriginUnavailable(f"{path}: {error}") from error
        if status in (429, 503):
            raise OriginBusy(f"{path}: status {status}")
        if status in (404, 410):
            raise OriginMissing(f"{path}: status {status}")
        if status != 200:
            raise OriginUnavailable(f"{path}: status {status}, expected 200")
        if len(data) < least_bytes and not states_end(headers):
            raise OriginUnavailable(f"{path}: the body ended after {len(data)} bytes")
        return data


class PlatformChunkOrigin(ChunkOrigin):
    """Client of the origin for the chunks of one version."""

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
        self.received_bytes = 0

    def chunk(self, place: ChunkLocation, stall: float) -> bytes:
        """Return a chunk's bytes; see ``ChunkOrigin``."""
        index = place.start // place.length
        query = f"{CHUNK_INDEX_PARAMETER}={index}&version={self.version}"
        path = f"{CHUNK_PATH}{quote(self.model)}?{query}"
        data = self.origin.fetch(self.address, path, stall, place.length)
        self.received_bytes += len(data)
        return data
