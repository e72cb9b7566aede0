"""A process that reads on from another one learns of every removal.

Guards against a gateway that went on sending requests to an engine that had left. It
read on from a gateway that had just started, which knew the current entries alone, and
took over its position. The engine had been removed between the two positions, so that
neither gateway told the other.
"""

from typing import Any
from unittest.mock import Mock

from msgspec.json import encode
from view_reader import TARGET_ENTRY, RecordingEventStream

from ridgecourse.cluster import record_server
from ridgecourse.cluster.peer_records import to_batch
from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import Offset
from ridgecourse.net.clock import boottime
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.wire.codec import decode_message, encode_message

ENGINE = "i-0"


class Log:
    """The list of targets as the store keeps it.

    Attributes:
        records: All records, in order of their offsets.
    """

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []

    @property
    def end(self) -> Offset:
        return Offset(len(self.records))

    def put(self, target: str, state: str = "ready") -> None:
        """Write an entry; a later one that changes nothing is a heartbeat."""
        entry: dict[str, Any] = {**TARGET_ENTRY, "state": state, "sequence": self.end}
        self.records.append(KeyedRecord(target, encode(entry), self.end))

    def remove(self, target: str) -> None:
        self.records.append(KeyedRecord(target, b"", self.end))

    def newest(self) -> RecordBatch:
        """Return the newest record of each key, without removed keys."""
        newest = {record.key: record for record in self.records}
        records = [record for record in newest.values() if record.value]
        return RecordBatch(records, self.end, boottime())

    def read(self, start: Offset) -> RecordBatch:
        return RecordBatch(self.records[start:], self.end, boottime())

    def listed_at(self, end: Offset) -> set[str]:
        """Return the targets that are listed at an offset."""
        newest = {record.key: record for record in self.records[:end]}
        return {record.key for record in newest.values() if record.value}


class Reader:
    """A process that follows the list of targets.

    Attributes:
        position: Offset up to which its reader has read.
    """

    def __init__(self) -> None:
        self.events = RecordingEventStream()
        decoder = PlatformRecordDecoder()
        self.view = ClusterView(Mock(), Mock(), decoder, self.events, 8.0)
        self.position = Offset(0)

    @property
    def records(self) -> record_server.TopicRecords:
        return self.view.record_server.topics[Topic.TARGETS]

    @property
    def listed(self) -> set[str]:
        return set(self.view.targets.targets)

    @property
    def serving(self) -> set[str]:
        """Targets that are listed and do not leave."""
        targets = self.view.targets.targets.values()
        return {target.target for target in targets if not target.leaving}

    def _apply(self, batch: RecordBatch, is_snapshot: bool) -> None:
        self.view.apply_targets(batch, is_snapshot)
        self.position = max(self.position, batch.end)

    def read_newest(self, log: Log) -> None:
        self._apply(log.newest(), True)

    def read_store(self, log: Log) -> None:
        if self.position:
            self._apply(log.read(self.position), False)
        else:
            self.read_newest(log)

    def answer(self, start: Offset) -> RecordsResponse:
        """Return the answer to another process, as it is received."""
        return decode_message(
            encode_message(self.records.records_since(start)), RecordsResponse
        ).unwrap()

    def read_from(self, parent: "Reader") -> None:
        if not parent.records.confirmed_at:
            return
        is_first = not self.position
        self._apply(to_batch(parent.answer(self.position)), is_first)

    def ask_in_outage(self, peer: "Reader") -> None:
        """Apply what another process knows, without moving the reader's position."""
        response = peer.answer(self.records.end)
        if response.records:
            self.view.apply_targets(to_batch(response), False)

    def count_events(self, kind: str) -> int:
        return sum(event.value == kind for event, _ in self.events.recorded)


def start_reader(log: Log) -> Reader:
    reader = Reader()
    reader.read_newest(log)
    return reader


def test_removal_between_a_reader_and_a_restarted_parent_is_not_lost() -> None:
    log = Log()
    log.put(ENGINE)
    reader = start_reader(log)
    log.remove(ENGINE)
    reader.read_from(start_reader(log))
    assert reader.listed == set()
