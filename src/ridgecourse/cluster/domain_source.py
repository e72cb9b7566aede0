"""Reads decisions from another process of the domain while that has them in time."""

from collections.abc import Callable, Collection
from contextlib import suppress
from time import monotonic

import eventlet

from ridgecourse.cluster.peer_records import ask_records, to_batch
from ridgecourse.cluster.share import STALE_SECONDS, SharedRecords
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Offset, Seconds, TargetName
from ridgecourse.core.read_tree import may_pass_over
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)

WAIT_SECONDS = 0.8
"""Longest wait of one question: below what makes an answer stale."""
ANSWER_SECONDS = 0.3
"""For the answer beyond that. A parent that is frozen is noticed after both together;
then the store is read, which leaves 0.8 s of the 2 s allowed."""
CONNECT_SECONDS = 0.3
SILENT_SECONDS = 5.0
"""How long a process is left alone that did not answer: by then most of what freezes or
cuts off a machine is over."""
LATE_SECONDS = 0.5
"""The same for one that had not heard of the store: its own parent may have been
silent, and it reads the store by then. Left alone for longer, all would read it."""
LATE_PAUSE_SECONDS = 0.2
"""Between two questions to a parent that is late and answers at once."""
SEED_PATIENCE_SECONDS = 0.6
SEED_RETRY_SECONDS = 0.1
"""How long, and how often, a process that starts asks a seed before the store: when all
start at once, within 0.3 s, each seed reads the store for many and has it 0.3 s later.
A seed that is down costs a start this much."""
SEED_RECEIVING_SECONDS = 5.0
"""How long a seed is asked to which an answer of the store is on its way: all who start
would ask for the same 590 KB over the same link else."""

ParentChooser = Callable[[Collection[TargetName]], Peer | None]


class DomainSource(RecordSource):
    """Reads decisions from a parent in the domain's tree, else from the store.

    Attributes:
        store: The store.
        seed: HOST:PORT of a process to ask at the start; None for none.
        choose_parent: Returns whom to ask, given whom to leave alone; None for the
            store.
        avoided: Processes left alone, and until when.
        late: Of these, who had not heard of the store though it can read it, and
            whether an answer was on its way there.
        told_receiving: Whether an answer of the store is on its way to the parent.
        parent: Whom the last read came from; None for the store.
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
        self.choose_parent = choose_parent
        self.events = events
        self.avoided: dict[TargetName, Seconds] = {}
        self.late: dict[TargetName, bool] = {}
        self.told_receiving = False
        self.parent: Peer | None = None

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        batch = self._ask_parent(topic, Offset(0)) or self._ask_seed(topic)
        return batch or self.store.newest(topic)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        return self._ask_parent(topic, start) or self.store.read(topic, start, wait)

    def is_receiving(self, topic: Topic) -> bool:
        """Tell whether an answer is on its way here, or to the parent."""
        return self.store.is_receiving(topic) or self.told_receiving

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def _ask_parent(self, topic: Topic, start: Offset) -> RecordBatch | None:
        """Return what a parent tells; None where the store is to be read."""
        wait = WAIT_SECONDS
        while (parent := self._find_parent(topic)) is not None:
            shared = self._ask(parent, topic, start, wait)
            if shared is None:
                return None
            if shared.records or shared.age <= STALE_SECONDS:
                # What was long on its way need not be read from the store once more.
                return to_batch(shared)
            if not self._pass_over(parent, shared):
                eventlet.sleep(LATE_PAUSE_SECONDS)
                return to_batch(shared)
            # The next one may be frozen, and time has passed already.
            wait = 0.0
        return None

    def _ask(
        self, parent: Peer, topic: Topic, start: Offset, wait: float
    ) -> SharedRecords | None:
        """Return what a parent tells; None where it is silent."""
        try:
            shared = ask_records(
                self.http, parent.address, topic, start, ANSWER_SECONDS, wait
            )
        except SourceUnavailable as error:
            self.told_receiving = False
            self._avoid(parent, SILENT_SECONDS, str(error))
            return None
        self.told_receiving = shared.receiving
        return shared

    def _pass_over(self, parent: Peer, shared: SharedRecords) -> bool:
        """Leave a parent that is late alone, if not too many are; tell if it is."""
        # Who cannot read the store, or has read nothing, never has news sooner.
        is_lost = shared.lost or not shared.end
        receiving = shared.receiving or any(self.late.values())
        if not is_lost and not may_pass_over(len(self.late), shared.age, receiving):
            return False
        if not is_lost:
            self.late[parent.name] = shared.receiving
        why = f"heard of the store {shared.age:.2f} s ago"
        self._avoid(parent, LATE_SECONDS, why)
        return True

    def _ask_seed(self, topic: Topic) -> RecordBatch | None:
        """Return what a seed tells, the first time; None where it does not."""
        if self.seed is None or topic is not Topic.DECISIONS:
            return None
        seed, self.seed = self.seed, None
        limit = monotonic() + SEED_PATIENCE_SECONDS
        longest = monotonic() + SEED_RECEIVING_SECONDS
        while monotonic() < limit:
            with suppress(SourceUnavailable):
                # It may be starting as well.
                shared = ask_records(self.http, seed, topic, Offset(0), ANSWER_SECONDS)
                if shared.age <= STALE_SECONDS:
                    self.events.emit(EventKind.READS_FROM, parent=seed)
                    return to_batch(shared)
                if shared.receiving:
                    limit = min(longest, monotonic() + SEED_PATIENCE_SECONDS)
            eventlet.sleep(SEED_RETRY_SECONDS)
        return None

    def _find_parent(self, topic: Topic) -> Peer | None:
        if topic is not Topic.DECISIONS:
            return None
        now = monotonic()
        self.avoided = {name: end for name, end in self.avoided.items() if end > now}
        self.late = {n: state for n, state in self.late.items() if n in self.avoided}
        parent = self.choose_parent(self.avoided)
        if parent != self.parent:
            self.parent = parent
            self.told_receiving = False
            name = parent.name if parent else "store"
            self.events.emit(EventKind.READS_FROM, parent=name)
        return parent

    def _avoid(self, parent: Peer, seconds: float, why: str) -> None:
        """Leave a parent alone for a while."""
        self.avoided[parent.name] = Seconds(monotonic() + seconds)
        self.events.figures.count("parent_avoided")
        self.events.emit(EventKind.PARENT_AVOIDED, parent=parent.name, why=why)
