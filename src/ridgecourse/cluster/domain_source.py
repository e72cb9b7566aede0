"""Reads the store's records from another process of the domain, else from the store."""

from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any, NamedTuple

import eventlet
from msgspec.structs import replace

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.keeper import DecisionKeeper
from ridgecourse.cluster.peer_records import ask_records, to_batch
from ridgecourse.cluster.share import STALE_SECONDS
from ridgecourse.cluster.tree_reader import (
    ANSWER_SECONDS,
    PATIENCE_SECONDS,
    WAIT_SECONDS,
    Neighbours,
    TreeReader,
)
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import seed_peers
from ridgecourse.core.ids import DomainName, Offset
from ridgecourse.core.read_tree import choose_seed, count_readers
from ridgecourse.core.site import Site
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_follower import LONG_ANSWER_SECONDS, ReadPace
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)

CONNECT_SECONDS = 0.3
SEED_PATIENCE_SECONDS = 1.0
SEED_RETRY_SECONDS = 0.1
"""How long, and how often, a process that starts asks others before the store: when all
start at once, within 0.3 s, each seed reads the store for many and has it 0.3 s later.
When many start again with their seed, loaders tell; the list of targets and a
connection to them come first. Where nobody answers a start costs this much."""
ALONE_SECONDS = 5.0
"""From a start until gateways are known at the latest: the list of targets and a
connection to a loader take some 0.5 s, beside a busy start of all 2 s and more."""
SEED_RECEIVING_SECONDS = 5.0
"""How long a seed is asked to which an answer of the store is on its way: all who start
would ask for the same 590 KB over the same link else."""


class DomainSource(RecordSource):
    """Reads from a parent in the domain's tree, else from the store.

    Attributes:
        store: The store.
        domain: The failure domain of this process.
        seed: HOST:PORT of a process to ask at the start; None for none.
        neighbours: Who else may be asked.
        readers: Who asks the parent, by topic that is told on.
        begun: Topics that have been read once.
        tellers: HOST:PORT of who told the first records, by topic.
        alone_until: Until when these are asked on.
    """

    def __init__(
        self,
        store: RecordSource,
        host: str,
        domain: DomainName,
        seed: str | None,
        neighbours: Neighbours,
        events: EventStream,
    ) -> None:
        self.store = store
        self.domain = domain
        self.neighbours = neighbours
        self.http = HttpClient(CONNECT_SECONDS, source=host)
        self.seed = seed
        self.events = events
        self.readers = {
            topic: TreeReader(topic, self.http, neighbours, events)
            for topic in (Topic.DECISIONS, Topic.TARGETS)
        }
        self.begun: set[Topic] = set()
        self.tellers: dict[Topic, str] = {}
        self.alone_until = boottime() + ALONE_SECONDS

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        first = topic not in self.begun
        self.begun.add(topic)
        if topic is Topic.TARGETS and not first:
            # Who is behind would take from the list what was added meanwhile.
            return self._try_store(topic, lambda: self.store.newest(topic))
        batch = self._ask_parent(topic, Offset(0))
        if batch is None and first:
            batch = self._ask_others(topic)
        if batch is None:
            batch = self._try_store(topic, lambda: self.store.newest(topic))
        self._note_answer(topic, batch)
        return batch

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        batch = self._ask_parent(topic, start) or self._ask_teller(topic, start)
        if batch is None:
            batch = self._try_store(topic, lambda: self._read_on(topic, start, wait))
        self._note_answer(topic, batch)
        return batch

    def _note_answer(self, topic: Topic, batch: RecordBatch) -> None:
        """Take in what an answer tells of what to read after an outage."""
        if topic in self.readers:
            sizes = [len(record.value) for record in batch.records]
            self.readers[topic].tries.note_answer(batch.heard_at, sizes)

    def _read_on(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Read the store on, or what holds after an outage in a series of changes."""
        reader = self.readers.get(topic)
        if topic is not Topic.DECISIONS or reader is None or not reader.tries.in_series:
            return self.store.read(topic, start, wait)
        batch = self.store.newest(topic)
        return replace(batch, passed_from=start) if batch.end > start else batch

    def _try_store(self, topic: Topic, read: Callable[[], RecordBatch]) -> RecordBatch:
        """Read the store, if that is not left to others for now.

        Raises:
            RecordsGone: The store keeps them no longer.
            SourceUnavailable: It is, or the store gave no usable answer.
        """
        reader = self.readers.get(topic)
        if reader is None:
            return read()
        if reader.tries.leaves_to_others(len(reader.lost), boottime()):
            raise SourceUnavailable("left to others while the domain is cut off")
        begun = boottime()
        try:
            batch = read()
        except SourceUnavailable as error:
            readers = count_readers(self.domain, self.neighbours.known_gateways())
            reader.tries.note_failure(readers, boottime())
            self._tell_read(topic, begun, error=str(error))
            raise
        except RecordsGone:
            reader.tries.note_success()
            raise
        reader.tries.note_success()
        if batch.took >= LONG_ANSWER_SECONDS:
            size = sum(len(record.value) for record in batch.records)
            self._tell_read(topic, begun, took=round(batch.took, 2), bytes=size)
        return batch

    def _tell_read(self, topic: Topic, begun: float, **detail: Any) -> None:
        """Emit an event of a read that failed or took long."""
        seconds = round(boottime() - begun, 2)
        self.events.emit(
            EventKind.STORE_READ, topic=topic.value, seconds=seconds, **detail
        )

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

    def _ask_teller(self, topic: Topic, start: Offset) -> RecordBatch | None:
        """Return what the process tells that told the first records.

        It is asked on while no gateway is known yet: a third of the gateways started
        again at once, and each read the next large configuration from the store.
        """
        if topic not in self.tellers:
            return None
        limit = min(self.alone_until, boottime() + PATIENCE_SECONDS)
        for turn in count(1):
            if self.neighbours.known_gateways():
                del self.tellers[topic]
                return self._ask_parent(topic, start)
            if boottime() > limit:
                break
            with suppress(SourceUnavailable):
                # It has gone, or is busy with its own start; others are asked then.
                asked = self.tellers[topic]
                shared = ask_records(
                    self.http, asked, topic, start, ANSWER_SECONDS, WAIT_SECONDS
                )
                if shared.receiving or shared.age <= STALE_SECONDS:
                    return to_batch(shared)
            eventlet.sleep(SEED_RETRY_SECONDS)
            self.tellers[topic] = self._choose_asked(turn)
        del self.tellers[topic]
        return None

    def _ask_others(self, topic: Topic) -> RecordBatch | None:
        """Return what a seed or another process tells; None where none does.

        The seeds may be starting as well; those that a process learns of meanwhile,
        loaders of its domain first, may not.
        """
        if self.seed is None or topic not in self.readers:
            return None
        limit = boottime() + SEED_PATIENCE_SECONDS
        longest = boottime() + SEED_RECEIVING_SECONDS
        for turn in count():
            if boottime() > limit:
                return None
            asked = self._choose_asked(turn)
            with suppress(SourceUnavailable):
                # It may be starting as well.
                shared = ask_records(self.http, asked, topic, Offset(0), ANSWER_SECONDS)
                if shared.age <= STALE_SECONDS:
                    self.tellers[topic] = asked
                    self.events.emit(
                        EventKind.READS_FROM, parent=asked, topic=topic.value
                    )
                    return to_batch(shared)
                if shared.receiving:
                    limit = min(longest, boottime() + SEED_PATIENCE_SECONDS)
            eventlet.sleep(SEED_RETRY_SECONDS)
        return None

    def _choose_asked(self, turn: int) -> str:
        """Return HOST:PORT of whom to ask: the seed and the others in turn."""
        assert self.seed is not None
        others = [p for p in self.neighbours.record_peers() if p != self.seed]
        if turn % 2 == 0 or not others:
            return self.seed
        return others[turn // 2 % len(others)]


class StoreRecords(NamedTuple):
    """The records of the platform's store, as its adapter provides them.

    Attributes:
        source: Reads them.
        decoder: Decodes them.
    """

    source: RecordSource
    decoder: RecordDecoder


def open_view(
    site: Site,
    store: StoreRecords,
    neighbours: Neighbours,
    events: EventStream,
    pace: ReadPace,
) -> ClusterView:
    """Return the view of a process that reads from others of its domain."""
    seeds = seed_peers(site.seeds, site.peer_ports[0] + 1)
    keeper = DecisionKeeper(store.source, store.decoder, events)
    seed = choose_seed(site.host, seeds)
    source = DomainSource(keeper, site.host, site.domain, seed, neighbours, events)
    bound = site.bounds.version_seconds
    return ClusterView(source, keeper, store.decoder, events, bound, pace)
