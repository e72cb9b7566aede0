"""Detects that the store has returned from an older copy of itself."""

from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.offsets import era_of, index_of
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordBatch, Topic


class EraWatch:
    """Tracks the eras of the topics that a process reads.

    Attributes:
        events: Receives events and metrics.
    """

    def __init__(self, events: EventStream) -> None:
        self.events = events

    def observe(self, topic: Topic, known: TopicRecords, batch: RecordBatch) -> bool:
        """Return whether a batch is the first one of a later era.

        Args:
            topic: The topic.
            known: The records of the topic before the batch.
            batch: The batch, not applied yet.
        """
        if not known.end or era_of(batch.end) <= era_of(known.end):
            return False
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
        return True
