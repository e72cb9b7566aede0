"""HTTP client for the origin of weights.

The origin serves each version's manifest and weight files. Chunks are read with
Range requests.
"""

from contextlib import closing
from urllib.parse import quote

from ridgecourse.core.manifest import ChunkLocation
from ridgecourse.exchange.origin import (
    ChunkOrigin,
    OriginBusy,
    OriginMissing,
    OriginUnavailable,
)
from ridgecourse.net.http_client import (
    ExchangeFailed,
    HttpClient,
    NoConnection,
    read_pieces,
)
from ridgecourse.net.throttle import Throttle

MANIFEST_NAME = "manifest.json"
MAX_MANIFEST_BYTES = 64 * 1024 * 1024
"""Maximum length of a manifest, in bytes."""


class OriginClient:
    """Fetches manifests and chunks from the origin.

    Attributes:
        address: HOST:PORT of the origin.
        http: HTTP client that carries the requests.
        download_throttle: Rate limit of the instance's downloads.
        fetched: Bytes received from the origin.
    """

    def __init__(
        self, address: str, http: HttpClient, download_throttle: Throttle
    ) -> None:
        self.address = address
        self.http = http
        self.download_throttle = download_throttle
        self.received_bytes = 0

    def manifest(self, origin_path: str) -> bytes:
        """Return the bytes of a version's manifest.

        Raises:
            OriginUnavailable: The manifest cannot be read.
        """
        return self._read(f"{origin_path}/{MANIFEST_NAME}", {}, MAX_MANIFEST_BYTES, 5.0)

    def chunk(self, origin_path: str, place: ChunkLocation, stall: float) -> bytes:
        """Return the unverified bytes of a chunk.

        Args:
            origin_path: Path of the version at the origin.
            place: File, start offset and length of the chunk.
            stall: Maximum wait for each block of data, in seconds.

        Raises:
            OriginUnavailable: The chunk cannot be read.
        """
        end = place.start + place.length - 1
        headers = {"Range": f"bytes={place.start}-{end}"}
        return self._read(f"{origin_path}/{place.path}", headers, place.length, stall)

    def version(self, origin_path: str) -> "VersionOrigin":
        """Return a ``ChunkOrigin`` for the version at a path."""
        return VersionOrigin(self, origin_path)

    def _read(
        self, path: str, headers: dict[str, str], limit: int, stall: float
    ) -> bytes:
        try:
            response = self.http.send(
                "GET", self.address, f"/{quote(path)}", headers=headers, timeout=stall
            )
            with closing(response):
                _check_status(response.status, path)
                data = b"".join(
                    self.download_throttle.pace(read_pieces(response, limit))
                )
                response.release_conn()
        except (NoConnection, ExchangeFailed) as error:
            raise OriginUnavailable(f"{path}: {error}") from error
        self.received_bytes += len(data)
        return data


class VersionOrigin(ChunkOrigin):
    """Fetches the chunks of one version from the origin.

    Attributes:
        client: Client of the origin.
        origin_path: Path of the version at the origin.
    """

    def __init__(self, client: OriginClient, origin_path: str) -> None:
        self.client = client
        self.origin_path = origin_path

    @property
    def received_bytes(self) -> int:  # type: ignore[override]
        """Bytes received from the origin, for all versions."""
        return self.client.received_bytes

    def chunk(self, place: ChunkLocation, stall: float) -> bytes:
        """Return the unverified bytes of a chunk; see ``ChunkOrigin``."""
        return self.client.chunk(self.origin_path, place, stall)


def _check_status(status: int, path: str) -> None:
    if status in (429, 503):
        raise OriginBusy(f"{path}: status {status}")
    if status in (404, 410, 416):
        raise OriginMissing(f"{path}: status {status}")
    if status not in (200, 206):
        raise OriginUnavailable(f"{path}: status {status}")
