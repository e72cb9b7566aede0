"""Stand-in of the origin of weights: serves a directory at a limited rate."""

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

BLOCK_BYTES = 16 * 1024


class Origin:
    """Serves files and byte ranges of files.

    Faults: ``down`` answers file requests with 503, ``corrupt`` changes the first byte
    of that many range answers, ``stall`` stops that many answers halfway, ``short``
    sends only the first half of that many answers.

    Attributes:
        root: Directory that is served.
        link: Limits the rate of all answers together.
        faults: Faults that tests set.
        sent: Bytes sent, by version.
        first_sent: Monotonic time of the first block sent, by version.
        last_sent: Monotonic time of the last block sent, by version.
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
        """Return a file or the requested range of the file."""
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
        if request.header("Range") and self.faults.consume("corrupt"):
            data = bytes([data[0] ^ 1]) + data[1:]
        length = len(data)
        if self.faults.consume("short"):
            data = data[: length // 2]
            length = len(data)
        version = request.path.lstrip("/").split("/")[0]
        headers = [("Content-Length", str(length))]
        return HttpReply(206, self.send_data(version, data), headers)

    def send_data(self, version: str, data: bytes) -> Iterator[bytes]:
        """Yield data at the rate of the link and count the bytes by version."""
        stall_offset = len(data) // 2 if self.faults.consume("stall") else None
        for start in range(0, len(data), BLOCK_BYTES):
            if stall_offset is not None and start >= stall_offset:
                eventlet.sleep(3600)
            block = data[start : start + BLOCK_BYTES]
            self.link.acquire(len(block))
            self.sent[version] = self.sent.get(version, 0) + len(block)
            self.first_sent.setdefault(version, monotonic())
            self.last_sent[version] = monotonic()
            yield block

    def counts(self, request: HttpRequest) -> HttpReply:
        """Return the bytes sent by version, with first and last times (monotonic)."""
        return json_reply(
            {
                "sent": self.sent,
                "first_sent": self.first_sent,
                "last_sent": self.last_sent,
            }
        )


def parse_range(header: str, size: int) -> tuple[int, int]:
    """Return the offsets of the first and the last requested byte.

    Args:
        header: Value of the Range header; other forms than ``bytes=`` mean the file.
        size: Size of the file in bytes.
    """
    if not header.startswith("bytes="):
        return 0, size - 1
    start, _, end = header.removeprefix("bytes=").partition("-")
    return int(start), min(int(end or size - 1), size - 1)


def main() -> int:
    """Run the stand-in."""
    parser = make_parser(__doc__ or "")
    parser.add_argument("root", type=Path)
    parser.add_argument("--rate", type=float, help="bytes per second")
    arguments = parser.parse_args()
    return serve(arguments, Origin(arguments.root, arguments.rate).router)


if __name__ == "__main__":
    sys.exit(main())
