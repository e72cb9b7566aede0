"""Whom a process reads decisions from, as its parents answer or not."""

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


class CountingStore(RecordSource):
    """A store that tells nothing."""

    def __init__(self, asked: list[str]) -> None:
        self.asked = asked

    def newest(self, topic: Topic) -> RecordBatch:
        return self.read(topic, Offset(0), 0.0)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        self.asked.append(STORE)
        return RecordBatch([], start, Seconds(monotonic()))

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        raise AssertionError("nothing is to be written")


class Domain(Neighbours):
    """Two parents, of which the first is preferred.

    Attributes:
        asked: Who was asked, in order.
        ages: How old the answer of each parent is; None where it does not answer.
        receiving: Whether parents tell that an answer is on its way to them.
        lost: Parents that cannot read the store.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.receiving = False
        self.lost: set[str] = set()
        self.asked: list[str] = []
        self.ages: dict[str, float | None] = {"first": 0.0, "second": 0.0}
        monkeypatch.setattr(tree_reader, "fetch_records", self.answer)
        monkeypatch.setattr(tree_reader, "boottime", lambda: self.now)
        events = EventStream(ProcessName("p"), Incarnation("i"), DomainName("a"))
        self.source = DomainSource(
            CountingStore(self.asked),
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
        return next((p for p in (FIRST, SECOND) if p.name not in avoided), None)

    def answer(self, http, address: str, *_: object) -> RecordsResponse:
        name = address.partition(":")[0]
        self.asked.append(name)
        age = self.ages[name]
        if age is None:
            self.now += (
                LONG_POLL_SECONDS * (len(self.asked) == 1) + ANSWER_TIMEOUT_SECONDS
            )
            raise SourceUnavailable(name)
        lost = name in self.lost
        return RecordsResponse([], Offset(1), age, receiving=self.receiving, lost=lost)

    def read(self, after: float = 0.0) -> list[str]:
        """Read once; return who was asked."""
        self.now += after
        self.asked.clear()
        self.source.read(Topic.DECISIONS, Offset(0), 0.0)
        return list(self.asked)


@pytest.fixture
def domain(monkeypatch: pytest.MonkeyPatch) -> Domain:
    return Domain(monkeypatch)


def test_the_store_is_not_asked_while_a_parent_is_up_to_date(domain: Domain) -> None:
    assert domain.read() == ["first"]
    domain.ages["first"] = STALE_SECONDS
    assert domain.read() == ["first"]


def test_a_silent_parent_is_left_alone_for_long(domain: Domain) -> None:
    domain.ages["first"] = None
    assert domain.read() == ["first", "second"]
    assert domain.read(UNRESPONSIVE_AVOID_SECONDS - 0.1) == ["second"]
    domain.ages["first"] = 0.0
    assert domain.read(0.2) == ["first"]


def test_a_parent_that_was_behind_is_asked_again_soon(domain: Domain) -> None:
    """When the first of the tree froze, all others read the store for seconds.

    Whoever read from it had not heard of the store for 1.3 s when the next were told
    so, and these left it alone for 5 s, though it read the store itself by then.
    """
    domain.ages = {"first": None, "second": STALE_SECONDS + 0.1}
    assert domain.read() == ["first", "second", STORE]
    domain.ages["second"] = 0.0
    assert domain.read(STALE_AVOID_SECONDS) == ["second"]


def test_targets_are_read_from_a_parent_too(domain: Domain) -> None:
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.asked == ["first"]


def test_what_is_kept_is_read_from_the_store(domain: Domain) -> None:
    domain.source.read(Topic.KEPT, Offset(0), 0.0)
    assert domain.asked == [STORE]


def test_a_whole_list_is_taken_from_a_parent_once(domain: Domain) -> None:
    """A parent that is behind would take out what was listed meanwhile."""
    domain.source.newest(Topic.TARGETS)
    domain.source.newest(Topic.TARGETS)
    assert domain.asked == ["first", STORE]


def test_a_parent_that_is_late_with_one_topic_is_asked_for_the_other(
    domain: Domain,
) -> None:
    domain.ages["first"] = STALE_SECONDS + 0.1
    assert domain.read() == ["first", "second"]
    domain.ages["first"] = 0.0
    domain.asked.clear()
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.asked == ["first"]


def test_the_store_is_read_where_two_parents_are_silent(domain: Domain) -> None:
    """By then 1.4 s have passed, of 2 s until a decision must be in force."""
    domain.ages = {"first": None, "second": None}
    begun = domain.now
    assert domain.read() == ["first", "second", STORE]
    assert domain.now - begun <= 1.5


def test_what_a_parent_receives_ends_with_its_silence(
    domain: Domain,
) -> None:
    """Found by review: those below kept to a process that received nothing."""
    domain.receiving = True
    domain.read()
    assert domain.source.is_receiving(Topic.DECISIONS)
    domain.ages["first"] = None
    domain.receiving = False
    domain.read()
    assert not domain.source.is_receiving(Topic.DECISIONS)


def test_who_has_read_nothing_is_passed_over(domain: Domain) -> None:
    domain.ages = {"first": inf, "second": 0.0}
    assert domain.read() == ["first", "second"]


def test_a_parent_that_cannot_read_the_store_is_passed_over(domain: Domain) -> None:
    domain.ages["first"] = STALE_SECONDS + 1.0
    domain.lost = {"first"}
    assert domain.read() == ["first", "second"]


def test_a_parent_that_receives_its_first_answer_after_an_outage_is_waited_for(
    domain: Domain,
) -> None:
    """All of a domain read 390 KB at once after a cut, since all were passed over."""
    domain.ages = dict.fromkeys(("first", "second"), STALE_SECONDS + 1.0)
    domain.lost = {"first", "second"}
    assert domain.read() == ["first", "second", STORE]
    domain.receiving = True
    assert domain.read(STALE_AVOID_SECONDS) == ["first", "second"]


def test_what_holds_is_read_after_an_outage_in_a_series_of_changes(
    domain: Domain, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first of several changes crossed the link only to be replaced."""
    domain.ages = {"first": None, "second": None}
    tries = domain.source.readers[Topic.DECISIONS].outage_retries
    tries.record_answer(Seconds(monotonic()), [LARGE_BYTES])
    tries.record_failure(1, Seconds(monotonic()))
    newest = RecordBatch([], Offset(7), Seconds(monotonic()))
    monkeypatch.setattr(domain.source.store, "newest", lambda topic: newest)
    batch = domain.source.read(Topic.DECISIONS, Offset(4), 0.0)
    assert (batch.end, batch.skipped_from) == (7, 4)
    batch = domain.source.read(Topic.DECISIONS, Offset(7), 0.0)
    assert batch.skipped_from is None


def test_the_list_is_not_taken_from_a_parent_that_cannot_read_the_store(
    domain: Domain,
) -> None:
    """A target that had left got requests for 2.07 s, 2 s are allowed.

    One of two gateways could not reach the store. It had the list from other domains,
    each 0.5 s, and did not believe removals meanwhile; it told both to the other one,
    which could read the store and kept to it.
    """
    domain.lost = {"first", "second"}
    domain.source.read(Topic.TARGETS, Offset(0), 0.0)
    assert domain.asked == ["first", "second", STORE]
