"""Decides which decisions are pinned: those in force that the store does not show."""

from ridgecourse.cluster.pinned_decisions import PinnedDecisionSource
from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.ids import index_of
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import KeyedRecord, RecordBatch


class DecisionPins:
    """Pins decisions in force that a starting process would not read from the store.

    Attributes:
        topic_records: The records of the decisions in force.
        pinned_decisions: Writes the pins.
        events: Receives events and metrics.
    """

    def __init__(
        self,
        topic_records: TopicRecords,
        pinned_decisions: PinnedDecisionSource,
        events: EventStream,
    ) -> None:
        self.topic_records = topic_records
        self.pinned_decisions = pinned_decisions
        self.events = events

    def pin_missing(self, batch: RecordBatch) -> None:
        """Pin the decisions in force that a store lost when it returned from a copy.

        Args:
            batch: The newest records of all keys.
        """
        keys = {record.key for record in batch.records}
        for record in self.topic_records.records.values():
            if record.value and record.key not in keys:
                self.pinned_decisions.pin(record)

    def record_outdated(self, record: KeyedRecord, version: int) -> None:
        """Record that a decision is no newer than the one in force."""
        self.events.emit(
            EventKind.DECISION_OUTDATED,
            offset=index_of(record.offset),
            version=str(version),
            key=record.key,
        )
        self.pin_known(record)

    def pin_known(self, record: KeyedRecord) -> None:
        """Pin the decision in force if the store has a newer record of its key.

        Such a record is not in force itself. If it is the newest one of its key, a
        starting process would otherwise apply it, or have no decision at all.
        """
        known = self.topic_records.records.get(record.key)
        if known is None or known.value == record.value:
            return
        if known.offset < record.offset:
            self.pinned_decisions.pin(known)
