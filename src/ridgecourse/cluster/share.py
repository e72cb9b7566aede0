"""Records of the platform's store, kept for processes that cannot read it."""

from collections.abc import Sequence

from msgspec import Struct

from ridgecourse.core.ids import Offset
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.wire.codec import encode_message

RECORDS_PATH = "/records/"
KEPT_DROPPED = 1000
"""Dropped keys that are still told: far more than targets leave within an outage."""


class SharedRecords(Struct, frozen=True):
    """The answer to a process that asks for records.

    Attributes:
        records: The newest of each key from the offset asked for on.
        end: Where the answering process goes on reading.
    """

    records: Sequence[KeyedRecord]
    end: Offset


class TopicRecords:
    """The newest records of one topic.

    Attributes:
        records: By key, dropped keys included.
        end: Where to go on reading.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyedRecord] = {}
        self.end = Offset(0)

    def take(self, batch: RecordBatch) -> None:
        """Take in records; an older one never replaces a newer."""
        for record in batch.records:
            known = self.records.get(record.key)
            if known is None or known.offset < record.offset:
                self.put(record)
        self.end = max(self.end, batch.end)
        self._forget_dropped()

    def put(self, record: KeyedRecord) -> None:
        """Take in a record that is known to hold."""
        self.records.pop(record.key, None)
        self.records[record.key] = record

    def _forget_dropped(self) -> None:
        dropped = [key for key, record in self.records.items() if not record.value]
        for key in dropped[:-KEPT_DROPPED]:
            del self.records[key]

    def since(self, start: Offset) -> SharedRecords:
        """Return the records from an offset on."""
        records = [r for r in self.records.values() if r.offset >= start]
        return SharedRecords(sorted(records, key=lambda r: r.offset), self.end)


class RecordShare:
    """Serves what this process has read.

    Attributes:
        topics: The records of each topic.
    """

    def __init__(self) -> None:
        self.topics = {topic: TopicRecords() for topic in Topic}

    def add_routes(self, router: HttpRouter) -> None:
        """Serve records on a router."""
        router.add("GET", RECORDS_PATH, self.serve)

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer with a topic's records, or 204 where there are none."""
        name, _, start = request.path.removeprefix(RECORDS_PATH).partition("/")
        found = [topic for topic in Topic if topic.value == name]
        if not found or not start.isdecimal():
            return HttpReply(400)
        shared = self.topics[found[0]].since(Offset(int(start)))
        if not shared.records:
            return HttpReply(204)
        return HttpReply(200, encode_message(shared))
