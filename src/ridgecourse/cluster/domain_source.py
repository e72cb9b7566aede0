"""Reads the store's records from another process of the domain, else from the store."""

from contextlib import suppress
from time import monotonic

import eventlet

from ridgecourse.cluster.peer_records import ask_records, to_batch
from ridgecourse.cluster.share import STALE_SECONDS
from ridgecourse.cluster.tree_reader import (
    ANSWER_SECONDS,
    ParentChooser,
    TreeReader,
)
from ridgecourse.core.ids import Offset
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)

CONNECT_SECONDS = 0.3
SEED_PATIENCE_SECONDS = 0.6
SEED_RETRY_SECONDS = 0.1
"""How long, and how often, a process that starts asks a seed before the store: when all
start at once, within 0.3 s, each seed reads the store for many and has it 0.3 s later.
A seed that is down costs a start this much."""
SEED_RECEIVING_SECONDS = 5.0
"""How long a seed is asked to which an answer of the store is on its way: all who start
would ask for the same 590 KB over the same link else."""


class DomainSource(RecordSource):
    """Reads from a parent in the domain's tree, else from the store.

    Attributes:
        store: The store.
        seed: HOST:PORT of a process to ask at the start; None for none.
        readers: Who asks the parent, by topic that is told on.
        begun: Topics that have been read once.
    """

    def __init__(
        self,
        store: RecordSource,
        source_host: str,
        seed: str | None,
        choose_parent: ParentChooser,
        events: EventStream,
    ) -> None:
        self.store = store
        self.http = HttpClient(CONNECT_SECONDS, source=source_host)
        self.seed = seed
        self.events = events
        self.readers = {
            topic: TreeReader(topic, self.http, choose_parent, events)
            for topic in (Topic.DECISIONS, Topic.TARGETS)
        }
        self.begun: set[Topic] = set()

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        first = topic not in self.begun
        self.begun.add(topic)
        if topic is Topic.TARGETS and not first:
            # Who is behind would take from the list what was added meanwhile.
            return self.store.newest(topic)
        batch = self._ask_parent(topic, Offset(0))
        if batch is None and first:
            batch = self._ask_seed(topic)
        return batch or self.store.newest(topic)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        return self._ask_parent(topic, start) or self.store.read(topic, start, wait)

    def is_receiving(self, topic: Topic) -> bool:
        """Tell whether an answer is on its way here, or to the parent."""
        reader = self.readers.get(topic)
        told = reader is not None and reader.told_receiving
        return told or self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def _ask_parent(self, topic: Topic, start: Offset) -> RecordBatch | None:
        """Return what a parent tells; None where the store is to be read."""
        reader = self.readers.get(topic)
        return reader.ask(start) if reader is not None else None

    def _ask_seed(self, topic: Topic) -> RecordBatch | None:
        """Return what a seed tells; None where it does not."""
        if self.seed is None or topic not in self.readers:
            return None
        limit = monotonic() + SEED_PATIENCE_SECONDS
        longest = monotonic() + SEED_RECEIVING_SECONDS
        while monotonic() < limit:
            with suppress(SourceUnavailable):
                # It may be starting as well.
                shared = ask_records(
                    self.http, self.seed, topic, Offset(0), ANSWER_SECONDS
                )
                if shared.age <= STALE_SECONDS:
                    self.events.emit(
                        EventKind.READS_FROM, parent=self.seed, topic=topic.value
                    )
                    return to_batch(shared)
                if shared.receiving:
                    limit = min(longest, monotonic() + SEED_PATIENCE_SECONDS)
            eventlet.sleep(SEED_RETRY_SECONDS)
        return None
