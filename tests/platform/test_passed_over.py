"""What a process that was behind passed over is read later, all of it.

What happened: a gateway woke 18 configurations behind, read the newest one, and then
those in between, for one of them was higher than the newest. It stopped at the 14th of
20 and refused callers of the highest one for as long as it ran.

Why: the range that was passed over ended where the topic had ended when the gateway
found itself behind. Until it read the newest records six more were written; these were
in no range and in no later read.

What settled it: "config-folded" 5 at offset 4, then 18 at offset 19;
"decision-outdated" for the versions 6 to 13 at offsets 5 to 12 and none beyond.
"""

from time import monotonic
from unittest.mock import Mock

import eventlet
from gateway_site import MODEL
from msgspec.json import encode

from ridgecourse.cluster.record_server import LATE_RECORD_SECONDS
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import (
    DomainName,
    Incarnation,
    Offset,
    ProcessName,
    Seconds,
)
from ridgecourse.net.events import EventStream
from ridgecourse.net.record_follower import RecordFollower
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.names import VERSION_KEY_PREFIX
from ridgecourse.platform.records import PlatformRecordDecoder


class BehindSource(RecordSource):
    """A store of which a process is behind, and that wrote a higher version late."""

    def __init__(self, answers: list[RecordBatch | SourceUnavailable]) -> None:
        self.answers = answers

    def newest(self, topic: Topic) -> RecordBatch:
        return self.answers.pop(0)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        answer = self.answers.pop(0) if self.answers else SourceUnavailable("no more")
        if isinstance(answer, SourceUnavailable):
            raise answer
        return answer

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        raise SourceUnavailable("not written")


def follow(answers: list[RecordBatch | SourceUnavailable]) -> list[RecordBatch]:
    """Return what a follower takes in until the store tells no more."""
    taken: list[RecordBatch] = []
    events = EventStream(ProcessName("p"), Incarnation("i"), DomainName("a"))
    follower = RecordFollower(
        BehindSource(answers),
        Topic.DECISIONS,
        0.0,
        0.0,
        lambda batch, whole: taken.append(batch),
        lambda away: None,
        events,
        reads_skipped=True,
    )
    follower.start()
    while answers:
        eventlet.sleep(0.01)
    follower.close()
    return taken


def test_what_was_passed_over_is_dated_by_when_that_began() -> None:
    """Found by reading: it was dated by when it was read after all, seconds later."""
    record = KeyedRecord("k", b"x", Offset(1))
    answers = [
        RecordBatch([], Offset(1), Seconds(10.0)),
        RecordBatch([record], Offset(2), Seconds(11.0), remaining_records=8),
        RecordBatch([record], Offset(10), Seconds(12.0)),
        RecordBatch([], Offset(10), Seconds(13.0)),
        RecordBatch([record], Offset(10), Seconds(13.1)),
    ]
    taken = follow(answers)
    assert [batch.earliest_written_at for batch in taken] == [
        None,
        None,
        None,
        None,
        10.0,
    ]


def test_what_was_written_until_the_newest_records_were_read_is_read_as_well() -> None:
    record = KeyedRecord("k", b"x", Offset(1))
    answers = [
        RecordBatch([], Offset(1), Seconds(10.0)),
        RecordBatch([record], Offset(2), Seconds(11.0), remaining_records=8),
        RecordBatch([record], Offset(14), Seconds(12.0)),
        RecordBatch([], Offset(14), Seconds(13.0)),
        RecordBatch([record], Offset(10), Seconds(13.1)),
        RecordBatch([], Offset(14), Seconds(14.0)),
        RecordBatch([record], Offset(14), Seconds(14.1)),
    ]
    taken = follow(answers)
    passed_over = [
        batch.end for batch in taken if batch.earliest_written_at is not None
    ]
    assert passed_over == [10, 14]


def test_a_read_of_what_was_passed_over_that_fails_is_done_again() -> None:
    """Found by reading: an answer too late dropped the whole range."""
    record = KeyedRecord("k", b"x", Offset(1))
    empty = RecordBatch([], Offset(10), Seconds(13.0))
    answers = [
        RecordBatch([], Offset(1), Seconds(10.0)),
        RecordBatch([record], Offset(2), Seconds(11.0), remaining_records=8),
        RecordBatch([record], Offset(10), Seconds(12.0)),
        empty,
        SourceUnavailable("too late"),
        empty,
        RecordBatch([record], Offset(10), Seconds(13.1)),
    ]
    taken = follow(answers)
    assert [batch.end for batch in taken if batch.earliest_written_at is not None] == [
        10
    ]


def test_what_was_passed_over_after_an_outage_is_read_later_as_well() -> None:
    record = KeyedRecord("k", b"x", Offset(8))
    answers = [
        RecordBatch([], Offset(4), Seconds(10.0)),
        SourceUnavailable("cut off"),
        RecordBatch([record], Offset(9), Seconds(15.0), skipped_from=Offset(4)),
        RecordBatch([], Offset(9), Seconds(16.0)),
        RecordBatch([record], Offset(9), Seconds(16.1)),
    ]
    taken = follow(answers)
    passed_over = [
        (b.end, b.earliest_written_at)
        for b in taken
        if b.earliest_written_at is not None
    ]
    assert passed_over == [(9, 10.0)]


def name_version(version: int, offset: int) -> KeyedRecord:
    value = encode({"model": MODEL, "version": version})
    return KeyedRecord(f"{VERSION_KEY_PREFIX}{MODEL}", value, Offset(offset))


def test_what_was_passed_over_is_told_to_those_below_and_kept() -> None:
    """Found by review: who read from here, and who started, never learned of it."""
    events = EventStream(ProcessName("p"), Incarnation("i"), DomainName("a"))
    keeper = Mock()
    view = ClusterView(Mock(), keeper, PlatformRecordDecoder(), events, 10.0)
    now = Seconds(monotonic())
    view.apply_decisions(RecordBatch([name_version(2, 1)], Offset(2), now), True)
    view.apply_decisions(RecordBatch([name_version(3, 13)], Offset(14), now), True)
    child_at = view.record_server.topics[Topic.DECISIONS].end
    higher = name_version(5, 8)
    view.apply_decisions(
        RecordBatch([higher], Offset(9), now, remaining_records=1), False
    )
    assert view.record_server.topics[Topic.DECISIONS].records_since(
        child_at
    ).records == [higher]
    keeper.pin.assert_called_once_with(higher)
    # Those below that already have it are not told again and again.
    eventlet.sleep(LATE_RECORD_SECONDS)
    assert (
        not view.record_server.topics[Topic.DECISIONS].records_since(child_at).records
    )
