"""Stand-in of the origin of weights: a directory over a limited link."""

import ridgecourse.net.patch  # noqa: F401, I001
import eventlet

import sys
from collections.abc import Iterator
from pathlib import Path
from time import monotonic

from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.throttle import Throttle
from ridgecourse_standins.service import (
    Faults,
    json_reply,
    make_parser,
    serve,
)

PIECE_BYTES = 16 * 1024


class Origin:
    """Serves files and parts of files.

    Faults: ``down`` refuses everything, ``corrupt`` flips a byte in that many
    answers, ``stall`` stops that many answers halfway, ``short`` cuts that many.
    """

    def __init__(self, root: Path, rate: float | None) -> None:
        self.root = root
        self.link = Throttle(rate)
        self.faults = Faults(down=False, corrupt=0, stall=0, short=0)
        self.sent: dict[str, int] = {}
        self.last_sent: dict[str, float] = {}
        self.first_sent: dict[str, float] = {}
        self.router = HttpRouter()
        self.router.add("GET", "/", self.read)
        self.router.add("GET", "/counts", self.counts)
        self.router.add("POST", "/faults", self.faults.set)

    def read(self, request: HttpRequest) -> HttpReply:
        """Answer with a file or the range asked for."""
        if self.faults.down:
            return HttpReply(503)
        path = (self.root / request.path.lstrip("/")).resolve()
        if not path.is_relative_to(self.root.resolve()) or not path.is_file():
            return HttpReply(404)
        size = path.stat().st_size
        start, end = parse_range(request.header("Range"), size)
        if start > end:
            return HttpReply(416)
        with path.open("rb") as file:
            file.seek(start)
            data = file.read(end - start + 1)
        if request.header("Range") and self.faults.spend("corrupt"):
            data = bytes([data[0] ^ 1]) + data[1:]
        length = len(data)
        if self.faults.spend("short"):
            data = data[: length // 2]
            length = len(data)
        version = request.path.lstrip("/").split("/")[0]
        headers = [("Content-Length", str(length))]
        return HttpReply(206, self.send(version, data), headers)

    def send(self, version: str, data: bytes) -> Iterator[bytes]:
        """Yield data over the link and count it."""
        stall_at = len(data) // 2 if self.faults.spend("stall") else None
        for start in range(0, len(data), PIECE_BYTES):
            if stall_at is not None and start >= stall_at:
                eventlet.sleep(3600)
            piece = data[start : start + PIECE_BYTES]
            self.link.take(len(piece))
            self.sent[version] = self.sent.get(version, 0) + len(piece)
            self.first_sent.setdefault(version, monotonic())
            self.last_sent[version] = monotonic()
            yield piece

    def counts(self, request: HttpRequest) -> HttpReply:
        """Tell the bytes sent by version, and when (on the system's clock)."""
        return json_reply(
            {
                "sent": self.sent,
                "first_sent": self.first_sent,
                "last_sent": self.last_sent,
            }
        )


def parse_range(header: str, size: int) -> tuple[int, int]:
    """Return first and last byte asked for."""
    if not header.startswith("bytes="):
        return 0, size - 1
    start, _, end = header.removeprefix("bytes=").partition("-")
    return int(start), min(int(end or size - 1), size - 1)


def main() -> int:
    """Run the stand-in."""
    parser = make_parser(__doc__ or "")
    parser.add_argument("root", type=Path)
    parser.add_argument("--rate", type=float, help="bytes a second")
    arguments = parser.parse_args()
    return serve(arguments, Origin(arguments.root, arguments.rate).router)


if __name__ == "__main__":
    sys.exit(main())
