"""Pins decisions whose highest revision is not the newest record of its key.

The newest record of a key need not be the highest revision: a write without an answer
is repeated, and the store may carry out the first write seconds later, after other
writes. Only a process that has read all records knows the highest revision. It writes
this decision into a topic of the system's own, where starting processes read it.
"""

from collections.abc import Callable, Iterator, Sequence
from math import inf
from random import random

import eventlet
from msgspec.structs import replace

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.core.ids import Offset, index_of
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.net.threads import Broadcast, spawn_loop

RETRY_SECONDS = 0.5
"""Delay between two attempts to write. Writes fail while the store is unavailable.
Until a write succeeds, the decision is lost only if all processes restart at once."""
RECHECK_SECONDS = 3.0
"""Delay from a start until the pinned decisions are read again, plus at most the same
time once more. A process that starts between a late write and the pinning of the
decision that the write replaced finds no pinned decision."""


class PinnedDecisionSource(RecordSource):
    """Reads the store's records, and adds pinned decisions to the newest ones.

    Attributes:
        store: The store.
        decoder: Decodes decisions, of which the highest revision is pinned.
        apply_pinned: Applies the pinned decisions that are found after a start.
        recheck_at: When pinned decisions are read again; infinite for not again.
        pending: Records that are still to be written, by key.
    """

    def __init__(
        self,
        store: RecordSource,
        decoder: RecordDecoder,
        events: EventStream,
    ) -> None:
        self.store = store
        self.decoder = decoder
        self.events = events
        self.apply_pinned: Callable[[Sequence[KeyedRecord]], None] = lambda _: None
        self.recheck_at = inf
        self.pending: dict[str, KeyedRecord] = {}
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that writes and rechecks pinned decisions."""
        self._schedule_recheck()
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop the thread."""
        if self.thread is not None:
            self.thread.kill()

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key, and the pinned decisions."""
        if topic is not Topic.DECISIONS:
            return self.store.newest(topic)
        # The small answer is read first: if its read failed after the large one, both
        # would be read again. The recheck finds decisions pinned between the two reads.
        pinned = self.store.newest(Topic.KEPT).records
        batch = self.store.newest(topic)
        self._schedule_recheck()
        records = [*batch.records, *place_pinned(batch, pinned)]
        return replace(batch, records=records)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        return self.store.read(topic, start, wait)

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether an answer is being received; see ``RecordSource``."""
        return self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def pin(self, record: KeyedRecord) -> None:
        """Pin a decision with a higher revision than the newest record of its key."""
        self.pending[record.key] = record
        self.changed.notify()

    def _run(self) -> None:
        while True:
            if not self.pending:
                self._wait_for_work()
            if boottime() >= self.recheck_at:
                self._recheck()
            for record in list(self.pending.values()):
                self._try_pin(record)
            if self.pending:
                eventlet.sleep(RETRY_SECONDS * (0.5 + random()))

    def _wait_for_work(self) -> None:
        remaining = self.recheck_at - boottime()
        self.changed.wait(None if remaining == inf else max(0.0, remaining))

    def _schedule_recheck(self) -> None:
        self.recheck_at = boottime() + RECHECK_SECONDS * (1.0 + random())
        self.changed.notify()

    def _recheck(self) -> None:
        try:
            pinned = self.store.newest(Topic.KEPT).records
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))
            self._schedule_recheck()
            return
        self.recheck_at = inf
        self.apply_pinned(pinned)

    def revision(self, record: KeyedRecord) -> int:
        """Return the revision of a decision's record; -1 if it holds no decision."""
        decision = self.decoder.decision(record).value_or(None)
        return -1 if decision is None else decision.version

    def _try_pin(self, record: KeyedRecord) -> None:
        try:
            self._pin_once(record)
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))
        except AppendConflict:
            # Another process has pinned a decision in the meantime. The next attempt
            # reads the topic again to decide whether to write.
            self.events.metrics.count("kept_elsewhere")
        else:
            if self.pending.get(record.key) == record:
                del self.pending[record.key]

    def _pin_once(self, record: KeyedRecord) -> None:
        """Write a record unless the same or a higher revision is pinned already."""
        batch = self.store.newest(Topic.KEPT)
        for pinned in batch.records:
            if pinned.key == record.key and self.revision(pinned) >= self.revision(
                record
            ):
                return
        self.append(Topic.KEPT, record.key, record.value, batch.end)
        self.events.emit(
            EventKind.DECISION_KEPT, offset=index_of(record.offset), key=record.key
        )


def place_pinned(
    batch: RecordBatch, pinned: Sequence[KeyedRecord]
) -> Iterator[KeyedRecord]:
    """Yield pinned decisions at the offsets of the records that they replace.

    The offsets of the pinned records themselves belong to another topic.
    """
    offsets = {record.key: record.offset for record in batch.records}
    for record in pinned:
        offset = offsets.get(record.key, Offset(0))
        yield KeyedRecord(record.key, record.value, offset)
