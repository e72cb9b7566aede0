"""What a process makes of the records of evacuations, and what it tells others.

Guards against an evacuation that is lost between processes: by a full read that raced
with its write, by the answer of a process that is behind or that has never heard of it,
by a return of the store from an older copy, and by a pin that is left over or missing.
"""

from base64 import b64encode
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import make_config
from msgspec import Raw
from msgspec.json import encode
from msgspec.structs import replace
from test_store_eras import ReturningStore
from view_reader import PreparedAnswers, RecordingEventStream

from ridgecourse.cluster.peer_records import to_batch
from ridgecourse.cluster.pinned_decisions import PinnedDecisionSource
from ridgecourse.core.ids import DomainName, Offset, Seconds, make_offset
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.platform.store import PlatformStore

A = DomainName("a")
KEY = "evacuate/a"
OLD, NEW = 7, 8
EVACUATED: dict[str, Any] = {}


class EvacuationView(ReturningStore):
    """A view that is fed decisions on one domain."""

    def evacuate(self, era: int, index: int, **options: Any) -> None:
        self.apply(
            Topic.DECISIONS, era, {index: (KEY, EVACUATED)}, index + 1, **options
        )

    def end(self, era: int, index: int, **options: Any) -> None:
        self.apply(Topic.DECISIONS, era, {index: (KEY, None)}, index + 1, **options)

    def read_all(self, era: int, end: int, **options: Any) -> None:
        """Apply a full read of a store that has only a configuration."""
        records = {0: ("config", make_config(1))}
        self.apply(Topic.DECISIONS, era, records, end, whole=True, **options)

    def ask(
        self,
        other: "EvacuationView",
        is_snapshot: bool = True,
        reports_gaps: bool = True,
    ) -> None:
        """Apply the answer of another process, which begins at the read position."""
        topics = self.view.record_server.topics
        start = Offset(0) if is_snapshot else topics[Topic.DECISIONS].end
        answer = other.view.record_server.topics[Topic.DECISIONS].records_since(start)
        if not reports_gaps:
            answer = replace(answer, whole_from=None, has_gap=False)
        self.view.apply(Topic.DECISIONS, to_batch(answer), is_snapshot)

    def check(self, other: "EvacuationView") -> None:
        """Ask another process whether evacuations have ended."""
        topics = other.view.record_server.topics
        answer = topics[Topic.DECISIONS].records_since(Offset(0))
        self.view.apply_evacuations(to_batch(answer))

    def apply_pinned(self, era: int, *keys: str) -> None:
        records = [KeyedRecord(key, b"{}", make_offset(era, 0)) for key in keys]
        self.view.apply_pinned(RecordBatch(records, make_offset(era, 1), boottime()))

    @property
    def is_evacuated(self) -> bool:
        return self.view.evacuation_records.evacuations.is_evacuated(A)

    def events_of(self, kind: EventKind) -> list[dict[str, Any]]:
        return [detail for found, detail in self.events.recorded if found is kind]


@pytest.fixture
def process() -> EvacuationView:
    return EvacuationView()


@pytest.fixture
def other() -> EvacuationView:
    return EvacuationView()


def test_an_evacuation_and_its_end_are_told_and_counted(process) -> None:
    process.evacuate(OLD, 5)
    assert process.is_evacuated
    assert process.events.metrics.gauges["evacuated_domains"] == 1
    process.end(OLD, 6)
    process.end(OLD, 7)
    assert not process.is_evacuated
    assert process.events.metrics.gauges["evacuated_domains"] == 0
    (begun,) = process.events_of(EventKind.DOMAIN_EVACUATED)
    (ended,) = process.events_of(EventKind.DOMAIN_RETURNED)
    assert begun["domain"] == ended["domain"] == "a"
    assert "lag" in begun
    assert process.view.evacuation_records.evacuations.returned_at(A) is not None
    # The store has all of it, so that nothing is pinned or removed from the pins.
    assert {call[0] for call in process.pinned.method_calls} == {"record_applied"}


@pytest.mark.parametrize(
    "bound,count", [(None, 0), (0.0, 1), (5.0, 0)], ids=["none", "missed", "met"]
)
def test_late_evacuations_are_counted_if_the_settings_have_a_bound(
    process, bound: float | None, count: int
) -> None:
    process.view.evacuation_records.bound_seconds = bound
    records = [KeyedRecord(KEY, b"{}", make_offset(OLD, 5))]
    end, read_at = make_offset(OLD, 6), Seconds(boottime() - 1.0)
    batch = RecordBatch(records, end, boottime(), read_at=read_at)
    process.view.apply(Topic.DECISIONS, batch, False)
    assert process.events.metrics.counters["evacuations_late"] == count


@pytest.mark.parametrize(
    "value",
    [Raw(b"\xff{"), Raw(b"null"), [], False, {"domain": "b"}, Raw(b"[" * 100_000)],
    ids=["no JSON", "null", "list", "false", "another domain", "nested"],
)
def test_any_value_evacuates(process, value: Any) -> None:
    """The key alone carries the decision."""
    process.apply(Topic.DECISIONS, OLD, {5: (KEY, value)}, 6)
    assert process.is_evacuated


def test_a_broken_record_evacuates_and_is_served_with_a_value(process, other) -> None:
    batch = RecordBatch(
        [KeyedRecord(KEY, b"", make_offset(OLD, 5), "invalid base64")],
        make_offset(OLD, 6),
        boottime(),
    )
    process.view.apply(Topic.DECISIONS, batch, True)
    assert process.is_evacuated
    other.ask(process)
    assert other.is_evacuated


def test_a_key_without_a_domain_is_ignored(process) -> None:
    process.apply(Topic.DECISIONS, OLD, {5: ("evacuate/", EVACUATED)}, 6)
    assert process.view.evacuation_records.evacuations.evacuated == set()


def newest_page(end: int, truncated: bool, **records: int) -> bytes:
    items = [
        {
            "key_file": key.replace("_", "/"),
            "value": b64encode(b"{}").decode(),
            "offset": offset,
        }
        for key, offset in records.items()
    ]
    return encode({"items": items, "end_offset": end, "truncated": truncated})


def read_pages(*pages: bytes) -> RecordBatch:
    store = PlatformStore("store:1", PreparedAnswers(*pages))  # type: ignore[arg-type]
    return store.newest(Topic.DECISIONS)


def test_a_full_read_has_the_position_of_its_first_page() -> None:
    """A record written after the first page may be missing on the last one."""
    batch = read_pages(newest_page(5, True, other=1), newest_page(9, False, more=2))
    assert batch.end == 5


def test_a_paged_read_that_raced_with_the_write_does_not_end_the_evacuation(
    process, other
) -> None:
    """Another process told of the record before the last page arrived."""
    pages = newest_page(5, True, zone=1), newest_page(9, False, zulu=2)
    other.apply(Topic.DECISIONS, 0, {5: (KEY, EVACUATED)}, 6)
    process.ask(other, is_snapshot=False)
    process.view.apply(Topic.DECISIONS, read_pages(*pages), True)
    assert process.is_evacuated
    later = newest_page(8, True, zone=1), newest_page(9, False, zulu=2)
    process.view.apply(Topic.DECISIONS, read_pages(*later), True)
    assert not process.is_evacuated


def test_a_full_read_with_a_record_whose_key_is_unreadable_ends_nothing(
    process,
) -> None:
    """The record may be the one of the evacuation."""
    process.evacuate(0, 5)
    page = {"items": [{"key_file": 7}], "end_offset": 9, "truncated": False}
    process.view.apply(Topic.DECISIONS, read_pages(encode(page)), True)
    assert process.is_evacuated


def test_an_answer_from_a_process_that_is_behind_ends_nothing(process, other) -> None:
    other.read_all(OLD, 4)
    process.evacuate(OLD, 5)
    process.ask(other)
    process.ask(other, is_snapshot=False)
    process.check(other)
    assert process.is_evacuated


def test_a_process_that_is_behind_does_not_bring_an_evacuation_back(
    process, other
) -> None:
    other.evacuate(OLD, 5)
    process.read_all(OLD, 9)
    process.ask(other)
    assert not process.is_evacuated


def test_the_end_of_an_evacuation_is_told_to_other_processes(process, other) -> None:
    process.evacuate(OLD, 5)
    other.ask(process)
    assert other.is_evacuated
    process.end(OLD, 6)
    other.ask(process, is_snapshot=False)
    assert not other.is_evacuated


def test_an_end_before_the_start_of_the_process_that_is_read_from_is_not_missed(
    process, other
) -> None:
    """An end that falls between two readers left a domain evacuated for 15 s."""
    process.evacuate(OLD, 5)
    other.read_all(OLD, 7)
    process.ask(other, is_snapshot=False)
    assert not process.is_evacuated
    (missed,) = process.events_of(EventKind.RECORDS_MISSED)
    assert missed["topic"] == Topic.DECISIONS.value


def test_a_reader_that_misses_no_end_gets_later_decisions_alone(process, other) -> None:
    process.evacuate(OLD, 5)
    other.read_all(OLD, 6)
    process.ask(other, is_snapshot=False)
    assert not process.events_of(EventKind.RECORDS_MISSED)
    assert process.events_of(EventKind.DECISION_OUTDATED) == []


def test_an_end_that_was_skipped_is_found_by_the_read_that_skips(process) -> None:
    process.evacuate(OLD, 5)
    batch = RecordBatch(
        [], make_offset(OLD, 40), boottime(), skipped_from=make_offset(OLD, 6)
    )
    process.view.apply(Topic.DECISIONS, batch, False)
    assert not process.is_evacuated


def test_a_process_that_missed_the_end_learns_of_it_from_one_that_started_later(
    process, other
) -> None:
    """The other process has never heard of the evacuation, and reports no gap.

    Processes of earlier releases report none.
    """
    process.evacuate(OLD, 5)
    other.read_all(OLD, 9)
    process.ask(other, is_snapshot=False, reports_gaps=False)
    assert process.is_evacuated
    process.check(other)
    assert not process.is_evacuated


def test_a_process_that_does_not_hold_evacuations_ends_none(process, other) -> None:
    """A process of an earlier release passes on decisions without evacuations."""
    process.evacuate(OLD, 5)
    other.read_all(OLD, 9)
    other.view.record_server.topics[Topic.DECISIONS].knows_removals = False
    process.check(other)
    process.ask(other)
    assert process.is_evacuated
    started = EvacuationView()
    started.ask(other)
    assert not started.view.record_server.topics[Topic.DECISIONS].knows_removals


def test_others_are_asked_only_while_a_domain_is_evacuated(process) -> None:
    records = process.view.evacuation_records
    process.read_all(OLD, 4)
    assert not records.begin_check()
    process.evacuate(OLD, 5)
    assert not records.begin_check()
    records.next_check_at = 0.0
    assert records.begin_check()
    assert process.pinned.schedule_recheck.call_count == 0
    process.end(OLD, 6)
    assert records.next_check_at == float("inf")


# The store returns from an older copy.


def test_an_evacuation_that_a_copy_lacks_stays_and_is_pinned(process) -> None:
    process.evacuate(OLD, 5)
    process.read_all(NEW, 3)
    process.read_all(NEW, 4)
    assert process.is_evacuated
    (pinned,) = [call.args[0].key for call in process.pinned.pin.call_args_list]
    assert pinned == KEY


def test_a_broken_record_that_a_copy_lacks_is_pinned_with_a_value(process) -> None:
    batch = RecordBatch(
        [KeyedRecord(KEY, b"", make_offset(OLD, 5), "invalid base64")],
        make_offset(OLD, 6),
        boottime(),
    )
    process.view.apply(Topic.DECISIONS, batch, True)
    process.read_all(NEW, 3)
    assert process.pinned.pin.call_args.args[0].value == b"{}"


def test_a_record_of_the_new_era_ends_the_evacuation_and_its_pin(process) -> None:
    process.evacuate(OLD, 5)
    process.read_all(NEW, 3)
    process.end(NEW, 3)
    assert not process.is_evacuated
    process.pinned.unpin.assert_called_once_with(KEY)


def test_the_pin_of_a_repeated_evacuation_is_removed_at_its_end(process) -> None:
    process.evacuate(OLD, 5)
    process.read_all(NEW, 3)
    process.evacuate(NEW, 3)
    assert process.pinned.unpin.call_count == 0
    process.end(NEW, 4)
    process.pinned.unpin.assert_called_once_with(KEY)


def test_a_copy_that_has_an_ended_evacuation_evacuates_until_a_new_record(
    process,
) -> None:
    process.evacuate(OLD, 2)
    process.end(OLD, 5)
    process.evacuate(NEW, 2, whole=True)
    assert process.is_evacuated
    process.end(NEW, 3)
    assert not process.is_evacuated


def test_a_pin_that_is_found_late_evacuates_and_is_told_to_others(
    process, other
) -> None:
    process.read_all(NEW, 3)
    other.ask(process)
    process.apply_pinned(NEW, KEY)
    assert process.is_evacuated
    other.ask(process, is_snapshot=False)
    assert other.is_evacuated


def test_the_removal_of_a_pin_ends_the_evacuation(process) -> None:
    process.read_all(NEW, 3)
    process.apply_pinned(NEW, KEY)
    process.apply_pinned(NEW)
    assert not process.is_evacuated


def test_a_pin_that_another_return_has_lost_ends_nothing(process) -> None:
    process.read_all(NEW, 3)
    process.apply_pinned(NEW, KEY)
    process.apply_pinned(NEW + 1)
    assert process.is_evacuated


def test_an_evacuation_of_an_earlier_era_without_a_pin_is_pinned(process) -> None:
    """The process that read the new era first ended before it wrote the pin."""
    process.evacuate(OLD, 5)
    process.read_all(NEW, 3, relayed=True)
    assert process.pinned.pin.call_count == 0
    process.apply_pinned(NEW)
    assert process.pinned.pin.call_args.args[0].key == KEY
    assert process.is_evacuated


def test_a_left_over_pin_is_removed_by_a_process_that_knows_the_end(process) -> None:
    """It was written by a process that had not heard of the end."""
    process.evacuate(NEW, 3)
    process.end(NEW, 4)
    assert process.pinned.unpin.call_count == 0
    process.apply_pinned(NEW, KEY)
    assert not process.is_evacuated
    process.pinned.unpin.assert_called_once_with(KEY)


def test_pins_are_read_again_while_an_earlier_era_evacuates(process) -> None:
    records = process.view.evacuation_records
    process.evacuate(OLD, 5)
    process.read_all(NEW, 3)
    records.next_check_at = 0.0
    assert records.begin_check()
    process.pinned.schedule_recheck.assert_called_once_with()


def test_a_process_that_missed_a_return_learns_the_end_from_others(
    process, other
) -> None:
    """The store shows it neither the lost evacuation nor the record that ended it."""
    process.evacuate(OLD, 5)
    other.evacuate(OLD, 5)
    other.read_all(NEW, 3)
    other.end(NEW, 3)
    process.read_all(NEW, 6)
    assert process.is_evacuated
    process.check(other)
    assert not process.is_evacuated


def test_a_pin_does_not_hide_the_end_of_an_evacuation_of_its_era(process) -> None:
    """The operators evacuated again after the return, and the end was skipped."""
    process.evacuate(NEW, 5)
    pinned = KeyedRecord(KEY, b"{}", Offset(make_offset(NEW, 0) - 2))
    batch = RecordBatch([pinned], make_offset(NEW, 9), boottime())
    process.view.apply(Topic.DECISIONS, batch, True)
    assert not process.is_evacuated


# Pins in the store.


class KeptTopic(RecordSource):
    """The decisions and the pinned decisions, held in memory."""

    def __init__(self, era: int) -> None:
        self.eras = {Topic.DECISIONS: era, Topic.KEPT: era}
        self.records: dict[Topic, list[KeyedRecord]] = {topic: [] for topic in Topic}

    def newest(self, topic: Topic) -> RecordBatch:
        newest = {record.key: record for record in self.records[topic]}
        end = make_offset(self.eras[topic], len(self.records[topic]))
        present = [record for record in newest.values() if record.value]
        return RecordBatch(present, end, boottime())

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        end = make_offset(self.eras[topic], len(self.records[topic]))
        unread = [record for record in self.records[topic] if record.offset >= start]
        return RecordBatch(unread, end, boottime())

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        assert end is not None
        self.records[topic].append(KeyedRecord(key, value, end))

    def pinned(self) -> dict[str, bytes]:
        records = self.newest(Topic.KEPT).records
        return {record.key: record.value for record in records}


@pytest.fixture
def store() -> KeptTopic:
    return KeptTopic(NEW)


@pytest.fixture
def source(store) -> PinnedDecisionSource:
    return PinnedDecisionSource(store, PlatformRecordDecoder(), RecordingEventStream())


def write_pending(source: PinnedDecisionSource) -> None:
    for record in list(source.pending.values()):
        source._try_pin(record)


def test_an_evacuation_is_pinned_once_and_released_once(source, store) -> None:
    record = KeyedRecord(KEY, b"{}", make_offset(OLD, 5))
    for _ in range(2):
        source.pin(record)
        write_pending(source)
    assert store.pinned() == {KEY: b"{}"}
    assert len(store.records[Topic.KEPT]) == 1
    for _ in range(2):
        source.unpin(KEY)
        write_pending(source)
    assert store.pinned() == {}
    assert len(store.records[Topic.KEPT]) == 2
    assert not source.pending


def test_the_end_replaces_a_pin_that_is_not_written_yet(source, store) -> None:
    source.pin(KeyedRecord(KEY, b"{}", make_offset(OLD, 5)))
    source.unpin(KEY)
    write_pending(source)
    assert store.pinned() == {}


def test_the_removal_of_a_pin_is_repeated_until_it_succeeds(source, store) -> None:
    store.append(Topic.KEPT, KEY, b"{}", Offset(0))
    store.append = Mock(side_effect=SourceUnavailable("down"))  # type: ignore[method-assign]
    source.unpin(KEY)
    write_pending(source)
    assert source.pending
    del store.append
    write_pending(source)
    assert store.pinned() == {}


def test_a_process_that_starts_reads_a_pinned_evacuation(source, store) -> None:
    store.append(Topic.KEPT, KEY, b"{}", Offset(0))
    process = EvacuationView()
    process.view.apply(Topic.DECISIONS, source.newest(Topic.DECISIONS), True)
    assert process.is_evacuated
    process.end(NEW, 0)
    assert not process.is_evacuated


def test_a_pin_does_not_replace_the_record_of_the_store(source, store) -> None:
    store.append(Topic.KEPT, KEY, b"{}", Offset(0))
    for _ in range(3):
        store.append(Topic.DECISIONS, KEY, b"{}", make_offset(NEW, 4))
    (record,) = source.newest(Topic.DECISIONS).records
    assert record.offset == make_offset(NEW, 4)


def test_pins_and_decisions_of_two_eras_are_not_combined(source, store) -> None:
    """A pin of the earlier era may be lost, so that its absence would prove nothing."""
    store.append(Topic.KEPT, KEY, b"{}", Offset(0))
    store.eras[Topic.DECISIONS] = NEW + 1
    with pytest.raises(SourceUnavailable):
        source.newest(Topic.DECISIONS)
