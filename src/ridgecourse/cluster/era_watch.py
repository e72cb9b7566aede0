"""Detects that the store has returned from an older copy of itself."""

from collections.abc import Callable

from msgspec import Struct

from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.ids import Seconds, era_of, index_of
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordBatch, Topic

REWRITE_SECONDS = 2.0
"""Time after a return in which a record that is new to this process may be one that
the store had lost and that is written again."""


class LostPeriod(Struct, frozen=True):
    """The time to which a record belongs that is written again after a return.

    Attributes:
        since: Last confirmation by the store before the return.
        until: Time after which new records are taken for newly written.
    """

    since: Seconds
    until: Seconds


class EraWatch:
    """Tracks the eras of the topics that a process reads.

    Attributes:
        events: Receives events and metrics.
        lost: Period of the records that the last return may have cost, by topic.
        listeners: Called when this process has read the store in a later era; what the
            system has written since the copy is lost.
    """

    def __init__(self, events: EventStream) -> None:
        self.events = events
        self.lost: dict[Topic, LostPeriod] = {}
        self.listeners: list[Callable[[], None]] = []

    def observe(self, topic: Topic, known: TopicRecords, batch: RecordBatch) -> bool:
        """Return whether a batch is the first one of a later era.

        Args:
            topic: The topic.
            known: The records of the topic before the batch.
            batch: The batch, not applied yet.
        """
        if not known.end or era_of(batch.end) <= era_of(known.end):
            return False
        until = Seconds(boottime() + REWRITE_SECONDS)
        self.lost[topic] = LostPeriod(known.confirmed_at, until)
        self.events.metrics.count("store_rewinds")
        self.events.emit(
            EventKind.STORE_REWOUND,
            topic=topic.value,
            era=era_of(batch.end),
            end=index_of(batch.end),
            era_before=era_of(known.end),
            end_before=index_of(known.end),
            relayed=batch.is_relayed,
        )
        if topic is Topic.DECISIONS and not batch.is_relayed:
            for listener in self.listeners:
                listener()
        return True

    def earliest_written_at(self, topic: Topic, since: Seconds) -> Seconds:
        """Return the earliest time at which a record read now may have been written.

        Args:
            topic: The topic.
            since: Last confirmation by the store that there was no newer record.
        """
        lost = self.lost.get(topic)
        if lost is None or boottime() > lost.until:
            return since
        return min(since, lost.since)
