"""Choice of the process or store from which a process reads decisions.

The choice depends on which parents in the read tree answer, how old their records are,
and whether they can read the store.
"""

from collections.abc import Collection, Sequence
from math import inf
from time import monotonic

import pytest

from ridgecourse.cluster import tree_reader
from ridgecourse.cluster.domain_source import DomainSource
from ridgecourse.cluster.record_server import STALE_SECONDS, RecordsResponse
from ridgecourse.cluster.tree_reader import (
    ANSWER_TIMEOUT_SECONDS,
    LONG_POLL_SECONDS,
    STALE_AVOID_SECONDS,
    UNRESPONSIVE_AVOID_SECONDS,
    Neighbours,
)
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    DomainName,
    Incarnation,
    Offset,
    ProcessName,
    Seconds,
    TargetName,
)
from ridgecourse.core.outage_retries import LARGE_BYTES
from ridgecourse.net.events import EventStream
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)

FIRST, SECOND = (
    Peer(TargetName(name), DomainName("a"), f"{name}:1", f"{name}:2")
    for name in ("first", "second")
)
STORE = "store"


class RecordingStore(RecordSource):
    """A store without records that records its reads.

    Attributes:
        read_sources: Names of the parents and the store that were read, in order.
    """

    def __init__(self, read_sources: list[str]) -> None:
        self.read_sources = read_sources

    def newest(self, topic: Topic) -> RecordBatch:
        return self.read(topic, Offset(0), 0.0)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        self.read_sources.append(STORE)
        return RecordBatch([], start, Seconds(monotonic()))

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        raise AssertionError("the store must not be written")


class ParentPair(Neighbours):
    """Two parents, of which the first is preferred.

    Attributes:
        now: Current time, in seconds.
        read_sources: Names of the parents and the store that were read, in order.
        ages: Age of the records of each parent, in seconds; None for a parent that does
            not answer.
        receiving: Whether parents announce that they are receiving an answer.
        lost: Parents that cannot read the store.
        records: Records in the answers of the parents.
        source: The source under test.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.receiving = False
        self.lost: set[str] = set()
        self.records: list[KeyedRecord] = []
        self.read_sources: list[str] = []
        self.ages: dict[str, float | None] = {"first": 0.0, "second": 0.0}
        monkeypatch.setattr(tree_reader, "fetch_records", self.answer_read)
        monkeypatch.setattr(tree_reader, "boottime", lambda: self.now)
        events = EventStream(ProcessName("p"), Incarnation("i"), DomainName("a"))
        self.source = DomainSource(
            RecordingStore(self.read_sources),
            "127.0.0.1",
            DomainName("a"),
            None,
            self,
            events,
        )

    def known_gateways(self) -> Collection[Peer]:
        return FIRST, SECOND

    def record_peers(self) -> Sequence[str]:
        return []

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        return next(
            (peer for peer in (FIRST, SECOND) if peer.name not in avoided), None
        )

    def answer_read(self, http, address: str, *_: object) -> RecordsResponse:
        name = address.partition(":")[0]
        self.read_sources.append(name)
        age = self.ages[name]
        if age is None:
            self.now += (
                LONG_POLL_SECONDS * (len(self.read_sources) == 1)
                + ANSWER_TIMEOUT_SECONDS
            )
            raise SourceUnavailable(name)
        lost = name in self.lost
        return RecordsResponse(
            self.records, Offset(1), age, receiving=self.receiving, lost=lost
        )

    def read(self, after: float = 0.0, start: int = 0) -> list[str]:
        """Read once; return the names of the parents and the store that were read.

        Args:
            after: Seconds to wait before the read.
            start: The first offset to read.
        """
        self.now += after
        self.read_sources.clear()
        self.source.read(Topic.DECISIONS, Offset(start), 0.0)
        return list(self.read_sources)


@pytest.fixture
def domain(monkeypatch: pytest.MonkeyPatch) -> ParentPair:
    return ParentPair(monkeypatch)


def test_the_store_is_not_read_while_a_parent_is_up_to_date(domain: ParentPair) -> None:
    assert domain.read() == ["first"]
    domain.ages["first"] = STALE_SECONDS
    assert domain.read() == ["first"]


def test_an_unresponsive_parent_is_avoided_for_seconds(domain: ParentPair) -> None:
    domain.ages["first"] = None
    assert domain.read() == ["first", "second"]
    assert domain.read(UNRESPONSIVE_AVOID_SECONDS - 0.1) == ["second"]
    domain.ages["first"] = 0.0
    assert domain.read(0.2) == ["first"]


def test_a_stale_parent_is_read_again_soon(domain: ParentPair) -> None:
    """Guards against reads of the store by all processes after the tree's root froze.

    The processes that read from the root had stale records for 1.3 s. The processes
    downstream of them detected this and avoided them for 5 s, although they read the
    store themselves by then.
    """
    domain.ages = {"first": None, "second": STALE_SECONDS + 0.1}
    assert domain.read() == ["first", "second", STORE]
    domain.ages["second"] = 0.0
    assert domain.read(STALE_AVOID_SECONDS) == ["second"]


def test_targets_are_read_from_a_parent(domain: ParentPair) -> None:
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.read_sources == ["first"]


def test_pinned_decisions_are_read_from_the_store(domain: ParentPair) -> None:
    domain.source.read(Topic.KEPT, Offset(0), 0.0)
    assert domain.read_sources == [STORE]


def test_a_snapshot_of_targets_is_read_from_a_parent_only_once(
    domain: ParentPair,
) -> None:
    """The snapshot of a stale parent would remove targets that were added since."""
    domain.source.newest(Topic.TARGETS)
    domain.source.newest(Topic.TARGETS)
    assert domain.read_sources == ["first", STORE]


def test_a_parent_with_one_stale_topic_is_read_for_another_topic(
    domain: ParentPair,
) -> None:
    domain.ages["first"] = STALE_SECONDS + 0.1
    assert domain.read() == ["first", "second"]
    domain.ages["first"] = 0.0
    domain.read_sources.clear()
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.read_sources == ["first"]


def test_the_store_is_read_if_two_parents_do_not_answer(domain: ParentPair) -> None:
    """The store is read after 1.4 s; a decision must be in force after 2 s."""
    domain.ages = {"first": None, "second": None}
    started_at = domain.now
    assert domain.read() == ["first", "second", STORE]
    assert domain.now - started_at <= 1.5


def test_a_parent_that_does_not_answer_does_not_count_as_receiving(
    domain: ParentPair,
) -> None:
    """Guards against processes that keep to a parent that receives nothing."""
    domain.receiving = True
    domain.read()
    assert domain.source.is_receiving(Topic.DECISIONS)
    domain.ages["first"] = None
    domain.receiving = False
    domain.read()
    assert not domain.source.is_receiving(Topic.DECISIONS)


def test_a_parent_without_records_is_skipped(domain: ParentPair) -> None:
    domain.ages = {"first": inf, "second": 0.0}
    assert domain.read() == ["first", "second"]


def test_a_stale_parent_that_cannot_read_the_store_is_skipped(
    domain: ParentPair,
) -> None:
    domain.ages["first"] = STALE_SECONDS + 1.0
    domain.lost = {"first"}
    assert domain.read() == ["first", "second"]


def test_a_late_decision_of_a_parent_without_the_store_is_taken_once(
    domain: ParentPair,
) -> None:
    """Guards against a busy loop of reads, in which the store is not read for 3 s."""
    domain.ages["first"] = STALE_SECONDS + 1.0
    domain.lost = {"first"}
    domain.records = [KeyedRecord("config", b"7", Offset(0))]
    assert domain.read(start=1) == ["first"]
    assert domain.read(start=1) == ["first", "second"]
    domain.records = [KeyedRecord("config", b"8", Offset(0))]
    assert domain.read(STALE_AVOID_SECONDS, 1) == ["first"]
    assert domain.read(start=1) == ["first", "second"]


def test_a_parent_that_receives_its_first_answer_after_an_outage_is_used(
    domain: ParentPair,
) -> None:
    """Guards against concurrent reads of 390 KB by all processes after a partition.

    Every parent was avoided.
    """
    domain.ages = dict.fromkeys(("first", "second"), STALE_SECONDS + 1.0)
    domain.lost = {"first", "second"}
    assert domain.read() == ["first", "second", STORE]
    domain.receiving = True
    assert domain.read(STALE_AVOID_SECONDS) == ["first", "second"]


def test_only_the_newest_records_are_read_after_an_outage(
    domain: ParentPair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reading the first of several changes, which is superseded."""
    domain.ages = {"first": None, "second": None}
    retries = domain.source.readers[Topic.DECISIONS].outage_retries
    retries.record_answer(Seconds(monotonic()), [LARGE_BYTES])
    retries.record_failure(1, Seconds(monotonic()))
    newest = RecordBatch([], Offset(7), Seconds(monotonic()))
    monkeypatch.setattr(domain.source.store, "newest", lambda topic: newest)
    batch = domain.source.read(Topic.DECISIONS, Offset(4), 0.0)
    assert (batch.end, batch.skipped_from) == (7, 4)
    batch = domain.source.read(Topic.DECISIONS, Offset(7), 0.0)
    assert batch.skipped_from is None


def test_targets_are_not_read_from_a_parent_that_cannot_read_the_store(
    domain: ParentPair,
) -> None:
    """Guards against requests to a target for 2.07 s after it left; 2 s are allowed.

    One of two gateways could not reach the store. It read the list from other domains
    every 0.5 s and ignored removals in the meantime. It passed both on to the other
    gateway, which could read the store but used this parent.
    """
    domain.lost = {"first", "second"}
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.read_sources == ["first", "second", STORE]
