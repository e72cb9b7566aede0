"""A process that reads on from another one learns of every removal.

Guards against a gateway that went on sending requests to an engine that had left. It
read on from a gateway that had just started, which knew the current entries alone, and
took over its position. The engine had been removed between the two positions, so that
neither gateway told the other.
"""

from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from msgspec.json import encode
from view_reader import TARGET_ENTRY, RecordingEventStream

from ridgecourse.cluster import record_server
from ridgecourse.cluster.peer_records import to_batch
from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import Offset
from ridgecourse.core.missed_records import MAX_RANGES, MissedRecords
from ridgecourse.net.clock import boottime
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.wire.codec import decode_message, encode_message

ENGINE = "i-0"
TARGETS = st.sampled_from(["i-0", "i-1", "i-2"])


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


def test_leaving_and_removal_before_a_parent_started_are_not_lost() -> None:
    log = Log()
    log.put(ENGINE)
    reader = start_reader(log)
    log.put(ENGINE, "draining")
    log.remove(ENGINE)
    reader.read_from(start_reader(log))
    assert reader.serving == set()
    assert reader.count_events("records-missed") == 1


def test_removal_is_not_lost_below_a_reader_that_had_missed_it() -> None:
    log = Log()
    log.put(ENGINE)
    reader, second_reader = start_reader(log), start_reader(log)
    log.remove(ENGINE)
    reader.read_from(start_reader(log))
    second_reader.read_from(reader)
    assert second_reader.listed == set()


def test_removal_is_not_lost_when_a_running_parent_reads_all_entries_again() -> None:
    log = Log()
    log.put("i-1")
    parent, reader = start_reader(log), start_reader(log)
    log.put(ENGINE)
    reader.read_store(log)
    log.remove(ENGINE)
    parent.read_newest(log)
    reader.read_from(parent)
    assert reader.listed == {"i-1"}


def test_removal_that_a_parent_no_longer_keeps_is_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(record_server, "MAX_REMOVED_KEYS", 1)
    log = Log()
    for target in (ENGINE, "i-1"):
        log.put(target)
    parent, reader = start_reader(log), start_reader(log)
    for target in (ENGINE, "i-1"):
        log.remove(target)
        parent.read_store(log)
    reader.read_from(parent)
    assert reader.listed == set()


def test_engine_that_returned_between_reader_and_restarted_parent_is_listed() -> None:
    log = Log()
    log.put("i-1")
    log.put(ENGINE)
    parent, reader = start_reader(log), start_reader(log)
    log.remove(ENGINE)
    reader.read_store(log)
    log.put(ENGINE)
    parent.read_newest(log)
    reader.read_from(parent)
    assert reader.listed == {ENGINE, "i-1"}


def test_reader_that_knows_more_than_a_list_of_all_entries_loses_none() -> None:
    # While the store is away, another process may know more than the reader's parent.
    log = Log()
    log.put("i-1")
    reader = start_reader(log)
    log.put("i-2")
    parent = start_reader(log)
    log.put(ENGINE)
    reader.ask_in_outage(start_reader(log))
    reader.read_from(parent)
    assert reader.listed == {ENGINE, "i-1", "i-2"}


def test_nothing_but_changes_is_sent_to_a_reader_that_missed_nothing() -> None:
    log = Log()
    for number in range(5):
        log.put(f"i-{number}")
    parent, reader = start_reader(log), start_reader(log)
    log.remove(ENGINE)
    parent.read_store(log)
    assert [record.key for record in parent.answer(reader.position).records] == [ENGINE]


def test_missed_ranges_are_bounded_and_forget_no_gap() -> None:
    missed = MissedRecords()
    for start in range(0, 100 * MAX_RANGES, 100):
        missed.add(Offset(start), Offset(start + 50))
    assert len(missed.ranges) <= MAX_RANGES
    assert all(
        missed.has_gap_after(Offset(start + 25))
        for start in range(0, 100 * MAX_RANGES, 100)
    )
    assert not missed.has_gap_after(missed.end)


class ReadersOfOneLog(RuleBasedStateMachine):
    """Processes that start, read the store or one another, in any order."""

    readers = Bundle("readers")

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.log.put("i-9")
        self.processes: list[Reader] = []

    @initialize(target=readers)
    def start_first(self) -> Reader:
        return self._started(start_reader(self.log))

    def _started(self, reader: Reader) -> Reader:
        self.processes.append(reader)
        return reader

    @rule(target=readers)
    def start_from_the_store(self) -> Reader:
        return self._started(start_reader(self.log))

    @rule(target=readers, parent=readers)
    def start_from_another(self, parent: Reader) -> Reader:
        reader = Reader()
        reader.read_from(parent)
        return self._started(reader)

    @rule(target_id=TARGETS, state=st.sampled_from(["ready", "draining"]))
    def put(self, target_id: str, state: str) -> None:
        self.log.put(target_id, state)

    @rule(target_id=TARGETS)
    def remove(self, target_id: str) -> None:
        self.log.remove(target_id)

    @rule(reader=readers)
    def read_store(self, reader: Reader) -> None:
        reader.read_store(self.log)

    @rule(reader=readers)
    def read_newest(self, reader: Reader) -> None:
        reader.read_newest(self.log)

    @rule(reader=readers, parent=readers)
    def read_from(self, reader: Reader, parent: Reader) -> None:
        reader.read_from(parent)

    @rule(reader=readers, peer=readers)
    def ask_in_outage(self, reader: Reader, peer: Reader) -> None:
        reader.ask_in_outage(peer)

    @invariant()
    def each_lists_what_the_store_listed(self) -> None:
        for reader in self.processes:
            assert reader.listed == self.log.listed_at(reader.records.end)


@pytest.mark.parametrize("max_removed_keys", [1, 1000])
def test_processes_that_read_in_any_order_list_what_the_store_lists(
    max_removed_keys: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(record_server, "MAX_REMOVED_KEYS", max_removed_keys)
    run_state_machine_as_test(
        ReadersOfOneLog,
        settings=settings(max_examples=150, stateful_step_count=25, deadline=None),
    )
