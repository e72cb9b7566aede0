"""Stand-in of the platform's log service, in memory."""

import ridgecourse.net.patch  # noqa: F401, I001
import eventlet

import sys
from time import monotonic

import cbor2

from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse_standins.service import (
    Faults,
    json_reply,
    make_parser,
    serve,
)

MAX_APPEND_BYTES = 64 * 1024 * 1024
PREFIX = "/streams/"


class LogStream:
    """One append-only stream."""

    def __init__(self) -> None:
        self.earliest = 0
        self.records: list[bytes] = []
        self.grown = Broadcast()

    @property
    def next(self) -> int:
        """Return the offset of the next append."""
        return self.earliest + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Add records; return the offset of the first."""
        first = self.next
        self.records.extend(records)
        self.grown.notify()
        return first

    def truncate(self, keep: int) -> None:
        """Let retention pass over all but the newest records."""
        drop = max(0, len(self.records) - keep)
        del self.records[:drop]
        self.earliest += drop

    def read(self, start: int, limit: int) -> list[bytes]:
        """Return records from an offset on."""
        index = max(0, start - self.earliest)
        return self.records[index : index + limit]


class LogService:
    """Serves streams over HTTP.

    Faults: ``down`` closes every exchange with 503, ``slow_seconds`` delays it,
    ``lose_replies`` carries out that many appends without answering them,
    ``stream_down`` fails the exchanges of one stream.
    """

    def __init__(self) -> None:
        self.streams: dict[str, LogStream] = {}
        self.faults = Faults(
            down=False, slow_seconds=0.0, lose_replies=0, stream_down=""
        )
        self.appends = 0
        self.reads = 0
        self.router = HttpRouter()
        self.router.add("POST", PREFIX, self.append)
        self.router.add("GET", PREFIX, self.read)
        self.router.add("POST", "/faults", self.faults.set)
        self.router.add("POST", "/truncate/", self.truncate)
        self.router.add("GET", "/counts", self.counts)

    def stream(self, request: HttpRequest) -> LogStream:
        """Return the stream that a path names."""
        name = request.path.split("/")[2]
        return self.streams.setdefault(name, LogStream())

    def failing(self, request: HttpRequest) -> bool:
        """Delay as told; tell whether the exchange is to fail."""
        if self.faults.slow_seconds:
            eventlet.sleep(self.faults.slow_seconds)
        return self.faults.down or self.faults.stream_down == request.path.split("/")[2]

    def append(self, request: HttpRequest) -> HttpReply:
        """Append records."""
        body = request.read_body(MAX_APPEND_BYTES)
        if self.failing(request):
            return HttpReply(503)
        self.appends += 1
        first = self.stream(request).append(cbor2.loads(body))
        if self.faults.spend("lose_replies"):
            return HttpReply(503)
        return HttpReply(200, cbor2.dumps({"first": first}))

    def read(self, request: HttpRequest) -> HttpReply:
        """Read records, waiting for one to come if asked."""
        self.reads += 1
        start = int(request.query["from"])
        deadline = monotonic() + int(request.query.get("wait_ms", "0")) / 1000.0
        stream = self.stream(request)
        while stream.next <= start and not self.failing(request):
            left = deadline - monotonic()
            if left <= 0:
                break
            stream.grown.wait(min(left, 0.2))
        if self.failing(request):
            return HttpReply(503)
        records = stream.read(start, int(request.query.get("limit", "500")))
        status = 410 if start < stream.earliest else 200
        reply = {
            "earliest": stream.earliest,
            "next": stream.next,
            "records": [] if status == 410 else records,
        }
        return HttpReply(status, cbor2.dumps(reply))

    def truncate(self, request: HttpRequest) -> HttpReply:
        """Let retention pass: ``/truncate/STREAM?keep=N``."""
        stream = self.stream(request)
        stream.truncate(int(request.query["keep"]))
        return json_reply({"earliest": stream.earliest, "next": stream.next})

    def counts(self, request: HttpRequest) -> HttpReply:
        """Tell how much the log was used."""
        sizes = {name: stream.next for name, stream in self.streams.items()}
        return json_reply(
            {"appends": self.appends, "reads": self.reads, "streams": sizes}
        )


def main() -> int:
    """Run the stand-in."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, LogService().router)


if __name__ == "__main__":
    sys.exit(main())
