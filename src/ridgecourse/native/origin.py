"""Client of the origin of weights: files over HTTP, parts by Range."""

from contextlib import closing
from urllib.parse import quote

from ridgecourse.core.manifest import ChunkPlace
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


class OriginClient:
    """Fetches manifests and chunks.

    Attributes:
        address: HOST:PORT of the origin.
        link: Limit of this instance's incoming link.
        drawn: Bytes received from the origin so far.
    """

    def __init__(self, address: str, http: HttpClient, link: Throttle) -> None:
        self.address = address
        self.http = http
        self.link = link
        self.drawn = 0

    def manifest(self, origin_path: str) -> bytes:
        """Return the bytes of a version's manifest.

        Raises:
            OriginUnavailable: It cannot be had now.
        """
        return self._read(f"{origin_path}/{MANIFEST_NAME}", {}, MAX_MANIFEST_BYTES, 5.0)

    def chunk(self, origin_path: str, place: ChunkPlace, stall: float) -> bytes:
        """Return a chunk's bytes, not yet verified.

        Args:
            origin_path: Path of the version.
            place: Where the chunk stands.
            stall: Longest wait for each piece, in seconds.

        Raises:
            OriginUnavailable: It cannot be had now.
        """
        end = place.start + place.length - 1
        headers = {"Range": f"bytes={place.start}-{end}"}
        return self._read(f"{origin_path}/{place.path}", headers, place.length, stall)

    def version(self, origin_path: str) -> "VersionOrigin":
        """Return the origin of one version."""
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
                data = b"".join(self.link.pace(read_pieces(response, limit)))
                response.release_conn()
        except (NoConnection, ExchangeFailed) as error:
            raise OriginUnavailable(f"{path}: {error}") from error
        self.drawn += len(data)
        return data


class VersionOrigin(ChunkOrigin):
    """The origin of the version at one path."""

    def __init__(self, client: OriginClient, origin_path: str) -> None:
        self.client = client
        self.origin_path = origin_path

    @property
    def drawn(self) -> int:  # type: ignore[override]
        """Bytes received from the origin so far."""
        return self.client.drawn

    def chunk(self, place: ChunkPlace, stall: float) -> bytes:
        """Return a chunk's bytes; see ``ChunkOrigin``."""
        return self.client.chunk(self.origin_path, place, stall)


def _check_status(status: int, path: str) -> None:
    if status in (429, 503):
        raise OriginBusy(f"{path}: status {status}")
    if status in (404, 410, 416):
        raise OriginMissing(f"{path}: status {status}")
    if status not in (200, 206):
        raise OriginUnavailable(f"{path}: status {status}")
