"""Decisions that are not the newest records of their keys.

The newest record of a key is not always the decision that is in force: the store may
carry out a write seconds late, after other writes. Decisions with a higher revision are
found in the topic into which the system writes each decision in force, and in the
records before the newest ones, as long as the store has them.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from zlib import compress, decompress
from zlib import error as ZlibError

from msgspec import Struct
from returns.result import Success

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.ids import Offset, era_of, index_of
from ridgecourse.core.missed_records import OffsetRange
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.wire.codec import decode_message, encode_message

NO_REVISION = -1
"""Revision of a record that holds no decision."""
COMPRESSION_LEVEL = 1
"""Shrinks a configuration to about a tenth, in some milliseconds."""


class RankedDecision(Struct, frozen=True):
    """A decision and its revision.

    Attributes:
        record: The record of the decision.
        revision: Revision of the decision.
    """

    record: KeyedRecord
    revision: int


class StoredPin(Struct, frozen=True, forbid_unknown_fields=True):
    """Stored record of a pinned decision.

    Attributes:
        value: Compressed value of the decision's record.
        revision: Revision of the decision.
        covered_end: See ``Pin.covered_end``.
        decision_offset: See ``Pin.decision_offset``.
    """

    value: bytes
    revision: int
    covered_end: int
    decision_offset: int


class Pin(Struct, frozen=True):
    """A pinned decision.

    Attributes:
        record: The decision, at the offset of the pin.
        revision: Revision of the decision; None if the pin does not tell, as those of
            evacuations and of earlier releases.
        covered_end: Offset of the decisions before which none has a higher revision
            than the pin of its key.
        decision_offset: Offset of the decision among the decisions; 0 if the pin does
            not tell its revision.
    """

    record: KeyedRecord
    revision: int | None = None
    covered_end: Offset = Offset(0)
    decision_offset: Offset = Offset(0)


def encode_pin(decision: RankedDecision, covered_end: Offset) -> bytes:
    """Return the value of the record that pins a decision; see ``Pin``."""
    record = decision.record
    packed = compress(record.value, COMPRESSION_LEVEL)
    return encode_message(
        StoredPin(packed, decision.revision, covered_end, record.offset)
    )


def decode_pin(record: KeyedRecord) -> Pin:
    """Decode a record of the topic.

    A value of another format is the one of the decision itself.
    """
    decoded = decode_message(record.value, StoredPin)
    if not isinstance(decoded, Success):
        return Pin(record)
    stored: StoredPin = decoded.unwrap()
    try:
        value = decompress(stored.value)
    except ZlibError:
        return Pin(record)
    decision = KeyedRecord(record.key, value, record.offset)
    return Pin(
        decision,
        stored.revision,
        Offset(stored.covered_end),
        Offset(stored.decision_offset),
    )


class PinnedTopic:
    """What this process knows of the pinned decisions.

    Attributes:
        store: The store.
        pins: The pinned decisions by key.
        end: Offset up to which the topic was read; 0 before the first read.
    """

    def __init__(self, store: RecordSource) -> None:
        self.store = store
        self.pins: dict[str, Pin] = {}
        self.end = Offset(0)

    def read_all(self) -> RecordBatch:
        """Read all pins; return them as records of decisions.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        batch = self.store.newest(Topic.KEPT)
        self.pins = {record.key: decode_pin(record) for record in batch.records}
        self.end = batch.end
        return self.batch(batch)

    def read_new(self) -> RecordBatch:
        """Read the pins written since the last read; return all as ``read_all`` does.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        if not index_of(self.end):
            return self.read_all()
        start = self.end
        try:
            batch = self.store.read(Topic.KEPT, start, 0.0)
        except RecordsGone:
            return self.read_all()
        if batch.remaining_records:
            return self.read_all()
        if self.end == start:
            # Otherwise all pins were read in the meantime.
            for record in batch.records:
                self._put(record)
            self.end = batch.end
        return self.batch(batch)

    def batch(self, answer: RecordBatch) -> RecordBatch:
        """Return all pins as records of decisions, as of an answer of the store."""
        records = [pin.record for pin in self.pins.values()]
        return RecordBatch(records, self.end, answer.confirmed_at)

    def write(self, key: str, value: bytes) -> None:
        """Write a record, if the topic still ends where this process has read it.

        Raises:
            AppendConflict: Another process has written in the meantime.
            SourceUnavailable: The store gave no usable answer.
        """
        end = self.end
        self.store.append(Topic.KEPT, key, value, end)
        if self.end == end:
            self._put(KeyedRecord(key, value, end))
            self.end = Offset(end + 1)

    def _put(self, record: KeyedRecord) -> None:
        self.pins.pop(record.key, None)
        if record.value:
            self.pins[record.key] = decode_pin(record)

    def covered_end(self, era: int) -> Offset:
        """Return the highest ``Pin.covered_end`` of an era; 0 if there is none."""
        return max(self._covered_ends(era), default=Offset(0))

    def _covered_ends(self, era: int) -> Iterator[Offset]:
        for pin in self.pins.values():
            if era_of(pin.covered_end) == era:
                yield pin.covered_end


class RevisionDecoder:
    """Finds the revisions of decisions.

    Attributes:
        decoder: Decodes the records.
    """

    def __init__(self, decoder: RecordDecoder) -> None:
        self.decoder = decoder

    def is_evacuation(self, record: KeyedRecord) -> bool:
        """Check whether a record is one of an evacuation, which has no revision."""
        return self.decoder.evacuation(record) is not None

    def revision(self, record: KeyedRecord) -> int:
        """Return the revision of a decision's record.

        Evacuations all count as 0.
        """
        if self.is_evacuation(record):
            return 0
        decision = self.decoder.decision(record).value_or(None)
        return NO_REVISION if decision is None else decision.version

    def pin_revision(self, pin: Pin) -> int:
        """Return the revision of a pinned decision."""
        return self.revision(pin.record) if pin.revision is None else pin.revision

    def find_higher(
        self,
        newest: Sequence[KeyedRecord],
        pins: Mapping[str, Pin],
        hidden: Sequence[KeyedRecord],
    ) -> Iterator[KeyedRecord]:
        """Yield decisions of a higher revision than the newest record of their key.

        They get the offset of that record, which they replace. Those of pins belong to
        another topic.

        Args:
            newest: The newest record of each key.
            pins: The pinned decisions by key.
            hidden: Records that newer ones hide.
        """
        by_key = {record.key: record for record in newest}
        highest: dict[str, RankedDecision] = {}
        for found in self._rank_hidden(by_key, pins, hidden):
            known = highest.get(found.record.key)
            if known is None or known.revision < found.revision:
                highest[found.record.key] = found
        for key, found in highest.items():
            replaced = by_key.get(key)
            revision = NO_REVISION if replaced is None else self.revision(replaced)
            if revision < found.revision:
                offset = Offset(0) if replaced is None else replaced.offset
                yield KeyedRecord(key, found.record.value, offset)

    def _rank_hidden(
        self,
        newest: Mapping[str, KeyedRecord],
        pins: Mapping[str, Pin],
        hidden: Sequence[KeyedRecord],
    ) -> Iterator[RankedDecision]:
        """Yield pinned and hidden decisions that differ from the newest ones."""
        for key, pin in pins.items():
            is_known = key in newest and newest[key].value == pin.record.value
            if not is_known and not self.is_evacuation(pin.record):
                yield RankedDecision(pin.record, self.pin_revision(pin))
        for record in hidden:
            if record.key in newest and not self.is_evacuation(record):
                yield RankedDecision(record, self.revision(record))


def find_hidden(batch: RecordBatch, start: Offset) -> OffsetRange | None:
    """Return the range from the first to the last record that a batch lacks.

    Args:
        batch: The newest record of each key.
        start: Offset of the first record that may be missing.

    Returns:
        The range; None if the batch has all records from ``start`` on.
    """
    visible = {record.offset for record in batch.records}
    first = start
    while first < batch.end and first in visible:
        first = Offset(first + 1)
    last = Offset(batch.end - 1)
    while last >= first and last in visible:
        last = Offset(last - 1)
    return OffsetRange(first, Offset(last + 1)) if first <= last else None


def read_hidden(
    store: RecordSource, topic: Topic, hidden: OffsetRange
) -> Iterator[KeyedRecord]:
    """Yield the records of a range that the store still has.

    Raises:
        SourceUnavailable: The store gave no usable answer, or did not tell which
            records it still has.
    """
    position = hidden.start
    while position < hidden.end:
        try:
            batch = store.read(topic, position, 0.0)
        except RecordsGone as error:
            if error.first is None:
                # The refusal is cut, or the store is in another era.
                raise SourceUnavailable(f"{error}, first offset not told") from error
            if error.first <= position:
                return
            position = error.first
            continue
        if not batch.records:
            return
        yield from batch.records
        position = batch.end


class DecisionPins:
    """Pins decisions in force that a starting process would not read from the store.

    Attributes:
        topic_records: The records of the decisions in force.
        pin: Pins a decision.
        events: Receives events and metrics.
    """

    def __init__(
        self,
        topic_records: TopicRecords,
        pin: Callable[[KeyedRecord], None],
        events: EventStream,
    ) -> None:
        self.topic_records = topic_records
        self.pin = pin
        self.events = events

    def pin_missing(self, batch: RecordBatch) -> None:
        """Pin the decisions in force that a store lost when it returned from a copy.

        Args:
            batch: The newest records of all keys.
        """
        keys = {record.key for record in batch.records}
        for record in self.topic_records.records.values():
            if record.value and record.key not in keys:
                self.pin(record)

    def record_outdated(
        self, record: KeyedRecord, version: int, is_relayed: bool
    ) -> None:
        """Record that a decision is no newer than the one in force.

        Args:
            record: The record of the decision.
            version: Version of the decision.
            is_relayed: Whether another process sent the record.
        """
        self.events.emit(
            EventKind.DECISION_OUTDATED,
            offset=index_of(record.offset),
            version=str(version),
            key=record.key,
        )
        self.pin_known(record, is_relayed)

    def pin_known(self, record: KeyedRecord, is_relayed: bool) -> None:
        """Pin the decision in force if the store has a newer record of its key.

        Such a record is not in force itself. If it is the newest one of its key, a
        starting process would otherwise apply it, or have no decision at all. The
        process that read the record from the store pins for those that read from it.

        Args:
            record: The record that does not come into force.
            is_relayed: Whether another process sent the record.
        """
        known = self.topic_records.records.get(record.key)
        if is_relayed or known is None or known.value == record.value:
            return
        if known.offset < record.offset:
            self.pin(known)
