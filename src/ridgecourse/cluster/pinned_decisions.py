"""Pins decisions in force, so that processes that start have them in force as well.

The newest record of a key need not be the highest revision: a write without an answer
is repeated, and the store may carry out the first write seconds later, after other
writes, also while no process of the system runs. Only a process that has read all
records knows the highest revision. Each decision that comes into force is therefore
written into a topic of the system's own, where starting processes read it. They read
records that the pins do not cover from the history of the decisions, as long as the
store has it.

An evacuation that is in force is pinned if the store has lost its record. The pin is
removed once a later record has ended the evacuation.
"""

from collections.abc import Callable, Iterator, Sequence
from math import inf
from random import random

import eventlet
from msgspec.structs import replace

from ridgecourse.cluster.decision_history import (
    Pin,
    PinnedTopic,
    RankedDecision,
    RevisionDecoder,
    encode_pin,
    find_hidden,
    read_hidden,
)
from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.core.evacuations import pin_offset
from ridgecourse.core.ids import Offset, era_of, index_of, make_offset
from ridgecourse.core.missed_records import ContiguousReads, OffsetRange
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.net.threads import Broadcast, spawn_loop

EVACUATION_VALUE = b"{}"
"""Value of a pinned evacuation whose own record had no valid value."""
RETRY_SECONDS = 0.5
"""Delay between two attempts to write. Writes fail while the store is unavailable.
Until a write succeeds, a process that starts depends on the history of the store."""
RECHECK_SECONDS = 3.0
"""Delay from a full read of the store until the pinned decisions are read again, plus
at most the same time once more. A process that starts between a late write and the
pinning of the decision that the write replaced finds no pinned decision."""


class PinnedDecisionSource(RecordSource):
    """Reads the store's records, and adds decisions that newer records hide.

    Attributes:
        store: The store.
        revisions: Finds the revisions of decisions.
        pin_delay: Seconds from the time at which a decision comes into force until this
            process pins it. One failure domain has none; the delays of the others give
            it time to write the pin for all.
        apply_pinned: Applies the pinned decisions that are found after a start, given
            as the batch of all of them.
        applied_end: Returns the offset up to which decisions are applied.
        recheck_at: When pinned decisions are read again; infinite for not again.
        pin_at: When the decisions in force are pinned; infinite if they are pinned.
        pending: Records that are still to be written at once, by key.
        topic: The pinned decisions.
        in_force: The decisions with a revision that are in force, by key.
        reads: The decisions that this process has read from the store, or that the pins
            cover.
        unapplied: The decisions in the last answer of the store.
        reads_hidden: Whether the next full read includes the records that newer ones
            hide. They are unknown after a start, and after the store has dropped its
            history.
        has_read_hidden: Whether records were read that the pins do not cover. A pin is
            written again, so that not each start reads them.
    """

    def __init__(
        self,
        store: RecordSource,
        decoder: RecordDecoder,
        events: EventStream,
        pin_delay: float = 0.0,
    ) -> None:
        self.store = store
        self.revisions = RevisionDecoder(decoder)
        self.events = events
        self.pin_delay = pin_delay
        self.apply_pinned: Callable[[RecordBatch], None] = lambda _: None
        self.applied_end: Callable[[], Offset] = lambda: Offset(0)
        self.recheck_at = inf
        self.pin_at = inf
        self.pending: dict[str, KeyedRecord] = {}
        self.topic = PinnedTopic(store)
        self.in_force: dict[str, RankedDecision] = {}
        self.reads = ContiguousReads()
        self.unapplied: OffsetRange | None = None
        self.reads_hidden = True
        self.has_read_hidden = False
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that writes and rechecks pinned decisions."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop the thread."""
        if self.thread is not None:
            self.thread.kill()

    # Reading.

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key, after higher revisions of the keys.

        Processes that read from this one get the same records, so that one process of a
        failure domain reads pins and history.
        """
        if topic is not Topic.DECISIONS:
            return self.store.newest(topic)
        # The small answer is read first: if its read failed after the large one, both
        # would be read again. The recheck finds decisions pinned between the two reads.
        pinned = self.topic.read_all()
        batch = self.store.newest(topic)
        self.schedule_recheck()
        if pinned.records and era_of(pinned.end) != era_of(batch.end):
            # Whether an evacuation is pinned counts for the era of the decisions.
            raise SourceUnavailable("the store returned from a copy between two reads")
        self.unapplied = None
        hidden: Sequence[KeyedRecord] = []
        if self.reads_hidden:
            hidden = self._read_hidden(batch)
            self.unapplied = OffsetRange(self.reads.end, batch.end)
            self.reads_hidden = False
        higher = [*self.revisions.find_higher(batch.records, self.topic.pins, hidden)]
        evacuations = [*self._place_evacuations(batch, pinned.records)]
        return replace(batch, records=[*higher, *batch.records, *evacuations])

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        if topic is not Topic.DECISIONS:
            return self.store.read(topic, start, wait)
        try:
            batch = self.store.read(topic, start, wait)
        except RecordsGone:
            self.reads_hidden = True
            raise
        self.unapplied = OffsetRange(start, batch.end)
        return batch

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether an answer is being received; see ``RecordSource``."""
        return self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def _read_hidden(self, batch: RecordBatch) -> Sequence[KeyedRecord]:
        """Return the decisions that newer records hide and the pins do not cover.

        Raises:
            SourceUnavailable: The store gave no usable answer. A decision that is not
                known yet may be in force.
        """
        era = era_of(batch.end)
        covered_end = self.topic.covered_end(era) or make_offset(era, 0)
        self.reads.add(Offset(0), covered_end)
        hidden = find_hidden(batch, self.reads.start_in(era))
        if hidden is None:
            return []
        records = [*read_hidden(self.store, Topic.DECISIONS, hidden)]
        self.has_read_hidden = True
        self.events.emit(
            EventKind.DECISIONS_READ_BACK,
            start=index_of(hidden.start),
            end=index_of(hidden.end),
            records=len(records),
            first=index_of(records[0].offset) if records else None,
        )
        return records

    def _place_evacuations(
        self, batch: RecordBatch, pinned: Sequence[KeyedRecord]
    ) -> Iterator[KeyedRecord]:
        """Yield pinned evacuations; they replace no record that the store has."""
        present = {record.key for record in batch.records}
        offset = pin_offset(era_of(batch.end))
        for record in pinned:
            if self.revisions.is_evacuation(record) and record.key not in present:
                yield KeyedRecord(record.key, record.value, offset)

    # Writing.

    def record_in_force(self, record: KeyedRecord, revision: int) -> None:
        """Record that a decision with a revision has come into force."""
        self.in_force[record.key] = RankedDecision(record, revision)

    def record_applied(self) -> None:
        """Record that the last answer of the store is applied.

        What is in force and not pinned is pinned soon. Thus a process that begins to
        read the store for others pins what its predecessor left.
        """
        if self.unapplied is not None:
            self.reads.add(*self.unapplied)
            self.unapplied = None
        if self.pin_at == inf and (self.has_read_hidden or self._unpinned()):
            self.pin_at = boottime() + self.pin_delay
            self.changed.notify()

    def pin(self, record: KeyedRecord) -> None:
        """Pin a decision with a higher revision than the newest record of its key."""
        self.pending[record.key] = record
        self.changed.notify()

    def unpin(self, key: str) -> None:
        """Remove the pin of a decision that a later record has ended."""
        self.pending[key] = KeyedRecord(key, b"", Offset(0))
        self.changed.notify()

    def schedule_recheck(self) -> None:
        """Read the pinned decisions again in some seconds."""
        self.recheck_at = boottime() + RECHECK_SECONDS * (1.0 + random())
        self.changed.notify()

    def _run(self) -> None:
        while True:
            if not self.pending:
                self._wait_for_work()
            if boottime() >= self.recheck_at:
                self._recheck()
            for record in list(self.pending.values()):
                self._try_pin(record)
            if boottime() >= self.pin_at:
                self._try_pin_in_force()
            if self.pending:
                eventlet.sleep(RETRY_SECONDS * (0.5 + random()))

    def _wait_for_work(self) -> None:
        remaining = min(self.recheck_at, self.pin_at) - boottime()
        self.changed.wait(None if remaining == inf else max(0.0, remaining))

    def _recheck(self) -> None:
        try:
            pinned = self.topic.read_new()
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))
            self.schedule_recheck()
            return
        self.recheck_at = inf
        records = [pin.record for pin in self.topic.pins.values() if self._is_news(pin)]
        self.apply_pinned(replace(pinned, records=records))

    def _is_news(self, pin: Pin) -> bool:
        """Check whether a pin tells something that no further read of the store tells.

        A decision that follows the applied ones is left to the read of the decisions,
        which tells its offset and how late it is, although its pin may arrive earlier.
        """
        if pin.revision is not None and pin.decision_offset >= self.applied_end():
            return False
        known = self.in_force.get(pin.record.key)
        return known is None or known.revision < self.revisions.pin_revision(pin)

    def _unpinned(self) -> Sequence[RankedDecision]:
        """Return the decisions in force that are not known to be pinned."""
        return [found for found in self.in_force.values() if not self._is_pinned(found)]

    def _is_pinned(self, found: RankedDecision) -> bool:
        if era_of(self.topic.end) < era_of(self.reads.end):
            # The store has returned from a copy, which may lack the pin.
            return False
        pin = self.topic.pins.get(found.record.key)
        # A pin that does not tell its revision is written again, so that its value is
        # not decoded at each read.
        return (
            pin is not None
            and pin.revision is not None
            and pin.revision >= found.revision
        )

    def _is_outranked(self, found: RankedDecision) -> bool:
        """Check whether a pin has a higher revision than a decision in force."""
        pin = self.topic.pins.get(found.record.key)
        return pin is not None and self.revisions.pin_revision(pin) > found.revision

    def _try_pin_in_force(self) -> None:
        try:
            self._pin_in_force()
        except (SourceUnavailable, AppendConflict) as error:
            self._record_failure(error)
            self.pin_at = boottime() + RETRY_SECONDS * (0.5 + random())
        else:
            self.pin_at = inf

    def _pin_in_force(self) -> None:
        """Pin the decisions in force that no other process has pinned.

        The last pin covers all decisions that this process has applied. It is written
        once the others are, so that the pins hold what they cover.
        """
        self.topic.read_new()
        known_end = self.topic.covered_end(era_of(self.topic.end))
        self.reads.add(Offset(0), known_end)
        covered_end = max(known_end, min(self.reads.end, self.applied_end()))
        in_force = [
            found for found in self.in_force.values() if not self._is_outranked(found)
        ]
        due = [found for found in in_force if not self._is_pinned(found)]
        if not due and self.has_read_hidden and covered_end > known_end:
            # Only the end that the pins cover changes.
            due = sorted(in_force, key=lambda found: len(found.record.value))[:1]
        for number, found in enumerate(due, 1):
            is_last = number == len(due)
            end = covered_end if is_last else known_end
            self._write(found.record, encode_pin(found, end))
        self.has_read_hidden = False

    def _write(self, record: KeyedRecord, value: bytes) -> None:
        """Write the pin of a decision's record."""
        self.topic.write(record.key, value)
        offset = index_of(record.offset)
        self.events.emit(EventKind.DECISION_KEPT, offset=offset, key=record.key)

    def _try_pin(self, record: KeyedRecord) -> None:
        try:
            self._pin_once(record)
        except (SourceUnavailable, AppendConflict) as error:
            self._record_failure(error)
        else:
            if self.pending.get(record.key) == record:
                del self.pending[record.key]

    def _record_failure(self, error: SourceUnavailable | AppendConflict) -> None:
        """Record that a pin was not written; the next attempt reads the topic again."""
        if isinstance(error, AppendConflict):
            self.events.metrics.count("kept_elsewhere")
        else:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))

    def _pin_once(self, record: KeyedRecord) -> None:
        """Write a record unless the same or a higher revision is pinned already.

        A record without a value removes the pin of its key, if there is one.
        """
        self.topic.read_all()
        pin = self.topic.pins.get(record.key)
        if not record.value:
            if pin is not None:
                self.topic.write(record.key, b"")
                self.events.emit(EventKind.DECISION_RELEASED, offset=0, key=record.key)
            return
        revision = self.revisions.revision(record)
        if pin is not None and self.revisions.pin_revision(pin) >= revision:
            return
        value = record.value
        if not self.revisions.is_evacuation(record):
            covered_end = self.topic.covered_end(era_of(self.topic.end))
            value = encode_pin(RankedDecision(record, revision), covered_end)
        self._write(record, value)
