"""Stand-in of the platform's log service; keeps the records in memory."""

import ridgecourse.net.patch  # noqa: F401, I001
import eventlet

import sys
from time import monotonic

import cbor2

from ridgecourse.net.threads import Broadcast
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
    """An append-only stream of records.

    Attributes:
        earliest: Offset of the oldest record that is kept.
        records: Records from ``earliest`` on.
        appended: Notified after every append.
    """

    def __init__(self) -> None:
        self.earliest = 0
        self.records: list[bytes] = []
        self.appended = Broadcast()

    @property
    def next_offset(self) -> int:
        """The offset of the next record to be appended."""
        return self.earliest + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append records; return the offset of the first one."""
        first = self.next_offset
        self.records.extend(records)
        self.appended.notify()
        return first

    def truncate(self, keep: int) -> None:
        """Drop all records except the newest ``keep``, as retention does."""
        dropped = max(0, len(self.records) - keep)
        del self.records[:dropped]
        self.earliest += dropped

    def read(self, start: int, limit: int) -> list[bytes]:
        """Return up to ``limit`` records from an offset on."""
        index = max(0, start - self.earliest)
        return self.records[index : index + limit]


class LogService:
    """Serves streams over HTTP.

    Faults: ``down`` answers every request with 503, ``slow_seconds`` delays it,
    ``lose_replies`` carries out that many appends and answers them with 503,
    ``stream_down`` fails the requests for one stream.

    Attributes:
        streams: Streams by name.
        faults: Faults that tests set.
        appends: Number of appends.
        reads: Number of reads.
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
        """Return the stream that a path names, and create the stream if missing."""
        name = request.path.split("/")[2]
        return self.streams.setdefault(name, LogStream())

    def apply_faults(self, request: HttpRequest) -> bool:
        """Delay a request if a fault says so; return whether the request must fail."""
        if self.faults.slow_seconds:
            eventlet.sleep(self.faults.slow_seconds)
        return self.faults.down or self.faults.stream_down == request.path.split("/")[2]

    def append(self, request: HttpRequest) -> HttpReply:
        """Append the records in the request body to a stream."""
        body = request.read_body(MAX_APPEND_BYTES)
        if self.apply_faults(request):
            return HttpReply(503)
        self.appends += 1
        first = self.stream(request).append(cbor2.loads(body))
        if self.faults.consume("lose_replies"):
            return HttpReply(503)
        return HttpReply(200, cbor2.dumps({"first": first}))

    def read(self, request: HttpRequest) -> HttpReply:
        """Read records, waiting up to ``wait_ms`` for the first one."""
        self.reads += 1
        start = int(request.query["from"])
        deadline = monotonic() + int(request.query.get("wait_ms", "0")) / 1000.0
        stream = self.stream(request)
        while stream.next_offset <= start and not self.apply_faults(request):
            remaining = deadline - monotonic()
            if remaining <= 0:
                break
            stream.appended.wait(min(remaining, 0.2))
        if self.apply_faults(request):
            return HttpReply(503)
        records = stream.read(start, int(request.query.get("limit", "500")))
        status = 410 if start < stream.earliest else 200
        reply = {
            "earliest": stream.earliest,
            "next": stream.next_offset,
            "records": [] if status == 410 else records,
        }
        return HttpReply(status, cbor2.dumps(reply))

    def truncate(self, request: HttpRequest) -> HttpReply:
        """Truncate a stream, as retention does: ``/truncate/STREAM?keep=N``."""
        stream = self.stream(request)
        stream.truncate(int(request.query["keep"]))
        return json_reply({"earliest": stream.earliest, "next": stream.next_offset})

    def counts(self, request: HttpRequest) -> HttpReply:
        """Return the counts of appends and reads and the next offset of each stream."""
        next_offsets = {
            name: stream.next_offset for name, stream in self.streams.items()
        }
        return json_reply(
            {"appends": self.appends, "reads": self.reads, "streams": next_offsets}
        )


def main() -> int:
    """Run the stand-in."""
    arguments = make_parser(__doc__ or "").parse_args()
    return serve(arguments, LogService().router)


if __name__ == "__main__":
    sys.exit(main())
