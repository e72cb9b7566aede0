"""Reads the store's records from a process of the failure domain or from the store.

Few processes of a domain read the store; the others read from those. Thus a record
crosses the link to the store only a few times for each domain.
"""

from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any, NamedTuple

import eventlet
from msgspec.structs import replace

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.peer_records import fetch_records, to_batch
from ridgecourse.cluster.pinned_decisions import PinnedDecisionSource
from ridgecourse.cluster.record_server import STALE_SECONDS
from ridgecourse.cluster.tree_reader import (
    ANSWER_TIMEOUT_SECONDS,
    LONG_POLL_SECONDS,
    READ_TIMEOUT_SECONDS,
    Neighbours,
    TreeReader,
)
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import make_seed_addresses
from ridgecourse.core.ids import DomainName, Offset
from ridgecourse.core.read_tree import choose_seed, count_readers
from ridgecourse.core.site import Site
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_follower import SLOW_TRANSFER_SECONDS, ReadPace
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)

CONNECT_TIMEOUT_SECONDS = 0.3
SEED_TIMEOUT_SECONDS = 1.0
SEED_RETRY_SECONDS = 0.1
"""Timeout and retry interval for asking other processes at a start, before the store is
read. When all processes start at once, within 0.3 s, each seed reads the store for many
of them and has the records 0.3 s later. When many processes restart together with their
seed, loaders supply the records; a process needs the list of targets and a connection
to a loader first. If no process answers, the start takes this timeout longer."""
MAX_DISCOVERY_SECONDS = 5.0
"""Longest time from the start of a process until it knows gateways. The list of targets
and a connection to a loader take about 0.5 s, and 2 s or more while all processes
start at once."""
SEED_RECEIVING_TIMEOUT_SECONDS = 5.0
"""Timeout for asking a seed that is still receiving an answer from the store. Otherwise
all starting processes would request the same 590 KB over the same link."""


class DomainSource(RecordSource):
    """Reads from a parent in the domain's read tree, or from the store.

    Attributes:
        store: The store.
        domain: The failure domain of this process.
        seed: HOST:PORT of the process to ask at the start; None for none.
        neighbours: The other processes that may be asked.
        readers: Readers that ask the parent, for each topic that processes pass on.
        started_topics: Topics that have been read once.
        first_sources: HOST:PORT of the process that supplied the first records, by
            topic.
        discovery_deadline: Time until which the first sources are asked for further
            records.
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
        self.http = HttpClient(CONNECT_TIMEOUT_SECONDS, source=host)
        self.seed = seed
        self.events = events
        self.readers = {
            topic: TreeReader(topic, self.http, neighbours, events)
            for topic in (Topic.DECISIONS, Topic.TARGETS)
        }
        self.started_topics: set[Topic] = set()
        self.first_sources: dict[Topic, str] = {}
        self.discovery_deadline = boottime() + MAX_DISCOVERY_SECONDS

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        is_first_read = topic not in self.started_topics
        self.started_topics.add(topic)
        if topic is Topic.TARGETS and not is_first_read:
            # The list of a process that lags behind lacks targets that were added in
            # the meantime, and they would be removed here.
            return self._try_store(topic, lambda: self.store.newest(topic))
        batch = self._read_from_parent(topic, Offset(0))
        if batch is None and is_first_read:
            batch = self._read_from_seeds(topic)
        if batch is None:
            batch = self._try_store(topic, lambda: self.store.newest(topic))
        self._record_answer(topic, batch)
        return batch

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        batch = self._read_from_parent(topic, start) or self._read_from_first_source(
            topic, start
        )
        if batch is None:
            batch = self._try_store(
                topic, lambda: self._read_or_skip_ahead(topic, start, wait)
            )
        self._record_answer(topic, batch)
        return batch

    def _record_answer(self, topic: Topic, batch: RecordBatch) -> None:
        """Record the age and sizes of an answer.

        They decide what is read from the store after an outage.
        """
        if topic in self.readers:
            sizes = [len(record.value) for record in batch.records]
            self.readers[topic].outage_retries.record_answer(batch.confirmed_at, sizes)

    def _read_or_skip_ahead(
        self, topic: Topic, start: Offset, wait: float
    ) -> RecordBatch:
        """Read the next records from the store, or only the newest ones.

        After an outage that began in a series of large changes, only the newest
        decision of each key is read.
        """
        reader = self.readers.get(topic)
        if (
            topic is not Topic.DECISIONS
            or reader is None
            or not reader.outage_retries.is_in_series
        ):
            return self.store.read(topic, start, wait)
        batch = self.store.newest(topic)
        return replace(batch, skipped_from=start) if batch.end > start else batch

    def _try_store(self, topic: Topic, read: Callable[[], RecordBatch]) -> RecordBatch:
        """Read the store unless this process leaves that to others.

        Raises:
            RecordsGone: The store does not keep the records any more.
            SourceUnavailable: Other processes are to read the store, or the store gave
                no usable answer.
        """
        reader = self.readers.get(topic)
        if reader is None:
            return read()
        if reader.outage_retries.defers_to_others(len(reader.lost_parents), boottime()):
            raise SourceUnavailable(
                "store read left to other processes while the domain is cut off"
            )
        started_at = boottime()
        try:
            batch = read()
        except SourceUnavailable as error:
            readers = count_readers(self.domain, self.neighbours.known_gateways())
            reader.outage_retries.record_failure(readers, boottime())
            self._emit_store_read(topic, started_at, error=str(error))
            raise
        except RecordsGone:
            reader.outage_retries.record_success()
            raise
        reader.outage_retries.record_success()
        if batch.transfer_seconds >= SLOW_TRANSFER_SECONDS:
            size = sum(len(record.value) for record in batch.records)
            self._emit_store_read(
                topic, started_at, took=round(batch.transfer_seconds, 2), bytes=size
            )
        return batch

    def _emit_store_read(self, topic: Topic, started_at: float, **detail: Any) -> None:
        """Emit an event for a read of the store that failed or was slow."""
        seconds = round(boottime() - started_at, 2)
        self.events.emit(
            EventKind.STORE_READ, topic=topic.value, seconds=seconds, **detail
        )

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether this process or its parent is receiving a store answer."""
        reader = self.readers.get(topic)
        parent_receiving = reader is not None and reader.parent_receiving
        return parent_receiving or self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def _read_from_parent(self, topic: Topic, start: Offset) -> RecordBatch | None:
        """Return a parent's records, or None if the store is to be read."""
        reader = self.readers.get(topic)
        return reader.read(start) if reader is not None else None

    def _read_from_first_source(
        self, topic: Topic, start: Offset
    ) -> RecordBatch | None:
        """Return records of the process that supplied the first records.

        This process is asked for further records as long as no gateway is known. When a
        third of the gateways were restarted at once, each of them read the next large
        configuration from the store.

        Returns:
            The records, or None if the store is to be read.
        """
        if topic not in self.first_sources:
            return None
        deadline = min(self.discovery_deadline, boottime() + READ_TIMEOUT_SECONDS)
        for attempt in count(1):
            if self.neighbours.known_gateways():
                del self.first_sources[topic]
                return self._read_from_parent(topic, start)
            if boottime() > deadline:
                break
            with suppress(SourceUnavailable):
                # The process may have stopped or may be starting itself; then another
                # process is asked.
                address = self.first_sources[topic]
                response = fetch_records(
                    self.http,
                    address,
                    topic,
                    start,
                    ANSWER_TIMEOUT_SECONDS,
                    LONG_POLL_SECONDS,
                )
                if response.receiving or response.age <= STALE_SECONDS:
                    return to_batch(response)
            eventlet.sleep(SEED_RETRY_SECONDS)
            self.first_sources[topic] = self._choose_address(attempt)
        del self.first_sources[topic]
        return None

    def _read_from_seeds(self, topic: Topic) -> RecordBatch | None:
        """Return the records of a seed or of another process; None if none has any.

        The seeds may be starting as well. Processes that this one discovers in the
        meantime, loaders of its domain first, may be running already.
        """
        if self.seed is None or topic not in self.readers:
            return None
        deadline = boottime() + SEED_TIMEOUT_SECONDS
        receiving_deadline = boottime() + SEED_RECEIVING_TIMEOUT_SECONDS
        for attempt in count():
            if boottime() > deadline:
                return None
            address = self._choose_address(attempt)
            with suppress(SourceUnavailable):
                # The process may be starting as well.
                response = fetch_records(
                    self.http, address, topic, Offset(0), ANSWER_TIMEOUT_SECONDS
                )
                if response.age <= STALE_SECONDS:
                    self.first_sources[topic] = address
                    self.events.emit(
                        EventKind.READS_FROM, parent=address, topic=topic.value
                    )
                    return to_batch(response)
                if response.receiving:
                    deadline = min(
                        receiving_deadline, boottime() + SEED_TIMEOUT_SECONDS
                    )
            eventlet.sleep(SEED_RETRY_SECONDS)
        return None

    def _choose_address(self, attempt: int) -> str:
        """Return HOST:PORT to ask next: the seed and the other peers in turn."""
        assert self.seed is not None
        others = [peer for peer in self.neighbours.record_peers() if peer != self.seed]
        if attempt % 2 == 0 or not others:
            return self.seed
        return others[attempt // 2 % len(others)]


class StoreRecords(NamedTuple):
    """Access to the platform's store, as its adapter provides it.

    Attributes:
        source: Reads the records.
        decoder: Decodes the records.
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
    """Return the view of a process that reads through its domain's read tree.

    Args:
        site: Identity, addresses and bounds of the process.
        store: Access to the platform's store.
        neighbours: The other processes that may be asked.
        events: The event stream.
        pace: How often the process reads.
    """
    seeds = make_seed_addresses(site.seeds, site.peer_ports[0] + 1)
    pinned_decisions = PinnedDecisionSource(store.source, store.decoder, events)
    seed = choose_seed(site.host, seeds)
    source = DomainSource(
        pinned_decisions, site.host, site.domain, seed, neighbours, events
    )
    bound = site.bounds.version_seconds
    return ClusterView(source, pinned_decisions, store.decoder, events, bound, pace)
