"""One process of a domain reads the list of targets for all, and changes are timely.

The tests guard against a load of the store that was seen at 98 gateways: 5,000 of the
8,540 calls to the store in a day were reads of the list, since each gateway read the
list itself every 1.1 s. Each read transferred the heartbeats of all targets, over the
link between two regions, beside requests and weights.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event, Thread
from time import monotonic, sleep

import pytest
from gateway_site import make_engine_entry
from msgspec.json import encode
from test_domain_reads import GATEWAYS, DomainSite

from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.cluster.target_filter import TargetChangeFilter
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.record_source import KeyedRecord, RecordBatch
from ridgecourse.platform.names import TARGETS_TOPIC
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse_standins.platform.store import StoreMode

HEARTBEAT_SECONDS = 0.1
"""Time between two heartbeats, of any targets."""
WATCHED_SECONDS = 4.0
MAX_READS = 10
"""Maximum number of reads of the list in ``WATCHED_SECONDS``: 1 each 0.6 s, and some at
a change of the reader. 7 processes that each read the list every 1.1 s make 25."""
CHANGE_SECONDS = 1.2
"""Time in which all processes know a change of the list: the pause between two reads,
plus the delays of a busy machine."""
FROZEN_CHANGE_SECONDS = 2.0
"""The same time while the reader is frozen: a target that leaves may receive requests
for that long."""
HEARTBEAT_TARGET = "i-kept"


class HeartbeatSite(DomainSite):
    """A domain whose targets write their entries repeatedly as heartbeats."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.stopped = Event()
        self.heartbeat_writer = Thread(target=self.write_heartbeats, daemon=True)

    def write_heartbeats(self) -> None:
        sequence_number = 0
        while not self.stopped.wait(HEARTBEAT_SECONDS):
            sequence_number += 1
            entry = make_engine_entry("127.0.0.20:1", "a", sequence=sequence_number)
            self.store.put_target(HEARTBEAT_TARGET, entry)

    def start(self, config=None) -> None:
        super().start(config)
        self.heartbeat_writer.start()
        self.publish_until_single_reader()

    def readers(self) -> set[str]:
        """Watch the store and return the gateways that read the list from it."""
        reads_before = len(self.store.offset_reads)
        sleep(WATCHED_SECONDS)
        return {
            host
            for host, topic in self.store.offset_reads[reads_before:]
            if topic == TARGETS_TOPIC and host in GATEWAYS
        }

    def wait_known(self, kind: str, hosts: set[str], target: str) -> None:
        for host in hosts:
            self.processes[host].wait_event(kind, target=target)

    def have_all_recorded(self, kind: str) -> bool:
        """Check whether all gateways recorded an event of this kind about the list."""
        return all(
            any(
                event.get("kind") == kind and event["detail"]["topic"] == "targets"
                for event in self.processes[host].events()
            )
            for host in GATEWAYS
        )

    def close(self) -> None:
        self.stopped.set()
        super().close()


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[HeartbeatSite]:
    site = HeartbeatSite(tmp_path)
    yield site
    site.close()


def test_one_process_reads_target_list_for_its_domain(domain) -> None:
    domain.start()
    reads_before = len(domain.store.offset_reads)
    sleep(WATCHED_SECONDS)
    reads = [
        call
        for call in domain.store.offset_reads[reads_before:]
        if call[1] == TARGETS_TOPIC
    ]
    assert len({host for host, _ in reads if host in GATEWAYS}) == 1
    assert len(reads) <= MAX_READS


def test_all_gateways_know_change_of_target_list_in_time(domain) -> None:
    domain.start()
    started_at = monotonic()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    assert monotonic() - started_at < CHANGE_SECONDS
    started_at = monotonic()
    domain.store.put_target("i-new", None)
    domain.wait_known("target-gone", set(GATEWAYS), "i-new")
    assert monotonic() - started_at < CHANGE_SECONDS


@pytest.mark.parametrize("is_killed", [False, True])
def test_change_is_known_in_time_without_reader(domain, is_killed) -> None:
    domain.start()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    reader = domain.readers().pop()
    others = set(GATEWAYS) - {reader}
    if is_killed:
        domain.processes[reader].kill()
    else:
        domain.processes[reader].pause()
    started_at = monotonic()
    domain.store.put_target("i-new", None)
    domain.wait_known("target-gone", others, "i-new")
    assert monotonic() - started_at < FROZEN_CHANGE_SECONDS


def test_all_gateways_keep_target_removed_during_outage(domain) -> None:
    """Check also the gateways that read from another process and saw no outage."""
    domain.start()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    domain.store.set_mode(StoreMode.DOWN)
    domain.wait_until(lambda: domain.have_all_recorded("log-lost"))
    domain.store.put_target("i-new", None)
    domain.store.set_mode(StoreMode.UP)
    domain.wait_until(lambda: domain.have_all_recorded("log-back"))
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    sleep(WATCHED_SECONDS)
    for host in GATEWAYS:
        removals = [
            event
            for event in domain.processes[host].events()
            if event.get("kind") == "target-gone" and event.get("target") == "i-new"
        ]
        assert not removals


def apply_records(
    change_filter: TargetChangeFilter,
    records: list[KeyedRecord],
    is_snapshot: bool = False,
) -> None:
    end = Offset(max(record.offset for record in records) + 1)
    changes, _ = PlatformRecordDecoder().targets(records)
    change_filter.apply(
        RecordBatch(records, end, Seconds(monotonic())), changes, is_snapshot
    )


def make_record(key: str, offset: int, **more) -> KeyedRecord:
    entry = make_engine_entry("127.0.0.20:1", "a", **more)
    return KeyedRecord(key, encode(entry), Offset(offset))


def test_heartbeats_are_not_forwarded() -> None:
    topic_records = TopicRecords()
    change_filter = TargetChangeFilter(topic_records)
    apply_records(change_filter, [make_record("i-1", 5, sequence=1)])
    apply_records(change_filter, [make_record("i-1", 6, sequence=2)])
    assert topic_records.end == 7
    assert not topic_records.records_since(Offset(6)).records
    apply_records(change_filter, [make_record("i-1", 7, state="draining")])
    assert [
        record.offset for record in topic_records.records_since(Offset(6)).records
    ] == [7]


def test_target_that_returns_unchanged_is_forwarded() -> None:
    topic_records = TopicRecords()
    change_filter = TargetChangeFilter(topic_records)
    apply_records(change_filter, [make_record("i-1", 5)])
    apply_records(change_filter, [KeyedRecord("i-1", b"", Offset(6))])
    apply_records(change_filter, [make_record("i-1", 7)])
    assert [
        record.offset for record in topic_records.records_since(Offset(6)).records
    ] == [7]


def test_removal_missed_in_gap_is_forwarded() -> None:
    """A snapshot after a gap contains the remaining targets and no removal."""
    topic_records = TopicRecords()
    change_filter = TargetChangeFilter(topic_records)
    apply_records(change_filter, [make_record("i-1", 5), make_record("i-2", 6)])
    apply_records(change_filter, [make_record("i-2", 90)], is_snapshot=True)
    removed = topic_records.records_since(Offset(7)).records
    assert [(record.key, record.value) for record in removed] == [("i-1", b"")]
