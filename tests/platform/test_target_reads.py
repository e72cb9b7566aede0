"""One process of a domain reads the list of targets for all, and changes come in time.

What happened: at 98 gateways, 5,000 of the 8,540 calls to the store in a day were reads
of the list, each gateway for itself each 1.1 s. Each read brought the heartbeats of all
targets, over the link between two regions, beside requests and weights.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event, Thread
from time import monotonic, sleep

import pytest
from gateway_site import make_engine_entry
from msgspec.json import encode
from test_domain_reads import GATEWAYS, DomainSite

from ridgecourse.cluster.record_server import TargetChangeFilter, TopicRecords
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.record_source import KeyedRecord, RecordBatch
from ridgecourse.platform.names import TARGETS_TOPIC
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse_standins.platform.store import StoreMode

BEAT_SECONDS = 0.1
"""Between two heartbeats, of one target or another."""
WATCHED_SECONDS = 4.0
MOST_CALLS = 10
"""Reads of the list in that time: one each 0.6 s, and some at a change of the reader.
Seven processes that read for themselves each 1.1 s make 25."""
CHANGE_SECONDS = 1.2
"""In which a change of the list is known everywhere: the pause between two reads, a
busy machine besides."""
FROZEN_CHANGE_SECONDS = 2.0
"""The same while the one that reads is frozen: a target that leaves may get requests
for that long."""
LISTED = "i-kept"


class BeatingSite(DomainSite):
    """A domain whose targets write their entries again and again."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.stopped = Event()
        self.heart = Thread(target=self.beat, daemon=True)

    def beat(self) -> None:
        turn = 0
        while not self.stopped.wait(BEAT_SECONDS):
            turn += 1
            entry = make_engine_entry("127.0.0.20:1", "a", sequence=turn)
            self.store.put_target(LISTED, entry)

    def start(self, config=None) -> None:
        super().start(config)
        self.heart.start()
        self.settle()

    def readers(self) -> set[str]:
        """Return who reads the list from the store now."""
        asked = len(self.store.offset_reads)
        sleep(WATCHED_SECONDS)
        return {
            host
            for host, topic in self.store.offset_reads[asked:]
            if topic == TARGETS_TOPIC and host in GATEWAYS
        }

    def wait_known(self, kind: str, hosts: set[str], target: str) -> None:
        for host in hosts:
            self.processes[host].wait_event(kind, target=target)

    def noted(self, kind: str) -> bool:
        """Tell whether all gateways noted an event about the list."""
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
def domain(tmp_path: Path) -> Iterator[BeatingSite]:
    site = BeatingSite(tmp_path)
    yield site
    site.close()


def test_one_process_reads_the_list_for_its_domain(domain) -> None:
    domain.start()
    asked = len(domain.store.offset_reads)
    sleep(WATCHED_SECONDS)
    reads = [
        call for call in domain.store.offset_reads[asked:] if call[1] == TARGETS_TOPIC
    ]
    assert len({host for host, _ in reads if host in GATEWAYS}) == 1
    assert len(reads) <= MOST_CALLS


def test_a_change_of_the_list_is_known_everywhere_in_time(domain) -> None:
    domain.start()
    begun = monotonic()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    assert monotonic() - begun < CHANGE_SECONDS
    begun = monotonic()
    domain.store.put_target("i-new", None)
    domain.wait_known("target-gone", set(GATEWAYS), "i-new")
    assert monotonic() - begun < CHANGE_SECONDS


@pytest.mark.parametrize("dies", [False, True])
def test_a_change_is_known_in_time_without_the_one_that_reads(domain, dies) -> None:
    domain.start()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    reader = domain.readers().pop()
    others = set(GATEWAYS) - {reader}
    if dies:
        domain.processes[reader].kill()
    else:
        domain.processes[reader].pause()
    begun = monotonic()
    domain.store.put_target("i-new", None)
    domain.wait_known("target-gone", others, "i-new")
    assert monotonic() - begun < FROZEN_CHANGE_SECONDS


def test_targets_that_lapse_in_an_outage_are_kept_by_all(domain) -> None:
    """Also by those that read from another process, and never missed the store."""
    domain.start()
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    domain.wait_known("target-listed", set(GATEWAYS), "i-new")
    domain.store.set_mode(StoreMode.DOWN)
    domain.wait_until(lambda: domain.noted("log-lost"))
    domain.store.put_target("i-new", None)
    domain.store.set_mode(StoreMode.UP)
    domain.wait_until(lambda: domain.noted("log-back"))
    domain.store.put_target("i-new", make_engine_entry("127.0.0.21:1", "a"))
    sleep(WATCHED_SECONDS)
    for host in GATEWAYS:
        gone = [
            event
            for event in domain.processes[host].events()
            if event.get("kind") == "target-gone" and event.get("target") == "i-new"
        ]
        assert not gone


def take(
    told: TargetChangeFilter, records: list[KeyedRecord], whole: bool = False
) -> None:
    end = Offset(max(record.offset for record in records) + 1)
    changes, _ = PlatformRecordDecoder().targets(records)
    told.apply(RecordBatch(records, end, Seconds(monotonic())), changes, whole)


def make_record(key: str, offset: int, **more) -> KeyedRecord:
    entry = make_engine_entry("127.0.0.20:1", "a", **more)
    return KeyedRecord(key, encode(entry), Offset(offset))


def test_heartbeats_are_not_told_on() -> None:
    shared = TopicRecords()
    told = TargetChangeFilter(shared)
    take(told, [make_record("i-1", 5, sequence=1)])
    take(told, [make_record("i-1", 6, sequence=2)])
    assert shared.end == 7
    assert not shared.records_since(Offset(6)).records
    take(told, [make_record("i-1", 7, state="draining")])
    assert [record.offset for record in shared.records_since(Offset(6)).records] == [7]


def test_a_target_that_comes_back_unchanged_is_told() -> None:
    shared = TopicRecords()
    told = TargetChangeFilter(shared)
    take(told, [make_record("i-1", 5)])
    take(told, [KeyedRecord("i-1", b"", Offset(6))])
    take(told, [make_record("i-1", 7)])
    assert [record.offset for record in shared.records_since(Offset(6)).records] == [7]


def test_a_removal_that_was_passed_over_is_told() -> None:
    """Who reads the whole list after a gap sees no removal, only what is left."""
    shared = TopicRecords()
    told = TargetChangeFilter(shared)
    take(told, [make_record("i-1", 5), make_record("i-2", 6)])
    take(told, [make_record("i-2", 90)], whole=True)
    removed = shared.records_since(Offset(7)).records
    assert [(record.key, record.value) for record in removed] == [("i-1", b"")]
