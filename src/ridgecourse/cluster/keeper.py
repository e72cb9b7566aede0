"""Keeps decisions that the store's newest records no longer tell.

The newest record of a key need not be the highest revision: a write that had no answer
is done again, and the first one may be carried out seconds later, after others. Who
has read all records knows the highest. So that a process that starts knows it as well,
it is written into a topic of the system's own.
"""

from collections.abc import Callable, Iterator, Sequence
from math import inf
from random import random

import eventlet
from msgspec.structs import replace

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.core.ids import Offset
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
    TopicGrown,
)
from ridgecourse.net.threads import spawn_loop

RETRY_SECONDS = 0.5
"""Between two tries to write. Writes fail while the store is away; until then only a
start of all processes at once would forget the decision."""
LOOK_SECONDS = 3.0
"""After a start, when what is kept is looked at once more, and as much later at most:
who starts between a late write and the keeping of what it replaced finds nothing."""


class DecisionKeeper(RecordSource):
    """Reads records of the store, and decisions that were kept with the newest.

    Attributes:
        store: The store.
        decoder: Decodes decisions, of which the higher one is kept.
        recalled: Takes in what is found kept after a start.
        look_at: When that is looked at; infinite for not again.
        pending: Records still to be written, by key.
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
        self.recalled: Callable[[Sequence[KeyedRecord]], None] = lambda _: None
        self.look_at = inf
        self.pending: dict[str, KeyedRecord] = {}
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to write what is to be kept."""
        self._look_again()
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key, and the decisions that are kept."""
        if topic is not Topic.DECISIONS:
            return self.store.newest(topic)
        # The small answer first: were it lost after the large one, both would be read
        # again. What is kept in between is found when it is looked at once more.
        kept = self.store.newest(Topic.KEPT).records
        batch = self.store.newest(topic)
        self._look_again()
        records = [*batch.records, *place_kept(batch, kept)]
        return replace(batch, records=records)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        return self.store.read(topic, start, wait)

    def is_receiving(self, topic: Topic) -> bool:
        """Tell whether an answer is on its way here; see ``RecordSource``."""
        return self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def keep(self, record: KeyedRecord) -> None:
        """Keep a decision that is higher than the newest record of its key."""
        self.pending[record.key] = record
        self.changed.notify()

    def _run(self) -> None:
        while True:
            if not self.pending:
                self._wait_for_work()
            if boottime() >= self.look_at:
                self._look()
            for record in list(self.pending.values()):
                self._try_keep(record)
            if self.pending:
                eventlet.sleep(RETRY_SECONDS * (0.5 + random()))

    def _wait_for_work(self) -> None:
        left = self.look_at - boottime()
        self.changed.wait(None if left == inf else max(0.0, left))

    def _look_again(self) -> None:
        self.look_at = boottime() + LOOK_SECONDS * (1.0 + random())
        self.changed.notify()

    def _look(self) -> None:
        try:
            kept = self.store.newest(Topic.KEPT).records
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))
            self._look_again()
            return
        self.look_at = inf
        self.recalled(kept)

    def revision(self, record: KeyedRecord) -> int:
        """Return the revision that a decision's record has; -1 where it is none."""
        decision = self.decoder.decision(record).value_or(None)
        return -1 if decision is None else decision.version

    def _try_keep(self, record: KeyedRecord) -> None:
        try:
            self._keep_once(record)
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="kept", error=str(error))
        except TopicGrown:
            # Another process has kept something; what it is decides whether to write.
            self.events.figures.count("kept_elsewhere")
        else:
            if self.pending.get(record.key) == record:
                del self.pending[record.key]

    def _keep_once(self, record: KeyedRecord) -> None:
        """Write a record unless one as high is kept already."""
        batch = self.store.newest(Topic.KEPT)
        for kept in batch.records:
            if kept.key == record.key and self.revision(kept) >= self.revision(record):
                return
        self.append(Topic.KEPT, record.key, record.value, batch.end)
        self.events.emit(EventKind.DECISION_KEPT, offset=record.offset, key=record.key)


def place_kept(
    batch: RecordBatch, kept: Sequence[KeyedRecord]
) -> Iterator[KeyedRecord]:
    """Yield kept decisions at the offsets of the records that they stand in for.

    Their own offsets count in another topic.
    """
    offsets = {record.key: record.offset for record in batch.records}
    for record in kept:
        offset = offsets.get(record.key, Offset(0))
        yield KeyedRecord(record.key, record.value, offset)
