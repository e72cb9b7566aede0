"""Reads the store's records from a process of the failure domain or from the store.

Few processes of a domain read the store; the others read from these processes. Thus a
record crosses the link between the domain and the store only a few times. A process
that starts does not know the other processes yet, so it first asks a seed: one of the
processes whose addresses are configured.
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
from ridgecourse.core.ids import DomainName, Offset, era_of
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
"""Timeout for connecting to another process."""
SEED_TIMEOUT_SECONDS = 1.0
"""How long a starting process asks other processes before it reads the store. When all
processes start within 0.3 s, each seed reads the store for many of them and has the
records 0.3 s later. When many processes restart together with their seed, loaders
supply the records, but a process first needs the list of targets and a connection to a
loader. If no process answers, the start takes longer by this timeout."""
SEED_RETRY_SECONDS = 0.1
"""Pause between two such requests to other processes."""
MAX_DISCOVERY_SECONDS = 5.0
"""Time after the start of a process by which it is expected to know gateways. To get
the list of targets and a connection to a loader takes about 0.5 s, and 2 s or more
while all processes start at once."""
SEED_RECEIVING_TIMEOUT_SECONDS = 5.0
"""Longest time for which a starting process waits for a process that is still receiving
an answer from the store. Otherwise all starting processes would request the same
records, 590 KB, over the same link."""


PIN_STEP_SECONDS = 2.0
"""Time that each failure domain has to pin a decision before the next one does. A pin
takes some milliseconds; the next domain finds it and writes nothing."""


class DomainSource(RecordSource):
    """Reads from a parent in the domain's read tree, or from the store.

    Attributes:
        store: The store.
        domain: The failure domain of this process.
        seed: HOST:PORT of the seed to ask at the start; None if this process is a seed
            itself or no seed is configured.
        neighbours: The other processes that may be asked.
        readers: Readers that ask the parent, by topic. Topics without a reader are
            always read from the store.
        started_topics: Topics whose newest records have been requested at least once.
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
            # The list of a parent that lags behind lacks the targets that were added
            # last. This process would then remove these targets from its own list.
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
        """Record the age of an answer and the sizes of its records.

        They determine whether all records or only the newest ones are read from the
        store after an outage.
        """
        if topic in self.readers:
            sizes = [len(record.value) for record in batch.records]
            self.readers[topic].outage_retries.record_answer(batch.confirmed_at, sizes)

    def _read_or_skip_ahead(
        self, topic: Topic, start: Offset, wait: float
    ) -> RecordBatch:
        """Read the next records from the store, or only the newest ones.

        After an outage that began in a series of large changes, only the newest
        decision of each key is read: the earlier ones would cross the link only to be
        replaced.
        """
        reader = self.readers.get(topic)
        if (
            topic is not Topic.DECISIONS
            or reader is None
            or not reader.outage_retries.is_in_series
        ):
            return self.store.read(topic, start, wait)
        batch = self.store.newest(topic)
        if era_of(batch.end) != era_of(start):
            raise RecordsGone(f"the store is in era {era_of(batch.end)}")
        return replace(batch, skipped_from=start) if batch.end > start else batch

    def _try_store(self, topic: Topic, read: Callable[[], RecordBatch]) -> RecordBatch:
        """Read the store, unless retries are left to other processes at the moment.

        Args:
            topic: The topic to read.
            read: Reads the topic from the store.

        Raises:
            RecordsGone: The store has dropped the requested records.
            SourceUnavailable: Retries are left to other processes, or the store gave no
                usable answer.
        """
        reader = self.readers.get(topic)
        if reader is None:
            return read()
        if reader.outage_retries.defers_to_others(
            reader.count_failing_parents(), boottime()
        ):
            raise SourceUnavailable(
                "store not read: the domain seems to be cut off from the store, and "
                "other processes of the domain retry"
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
        """Emit an event for a read of the store that failed or was slow.

        Args:
            topic: The topic that was read.
            started_at: When the read started, its wait for new records included.
            detail: Further fields of the event. For a slow read, ``took`` is the
                transfer time from the first byte of the answer on.
        """
        seconds = round(boottime() - started_at, 2)
        self.events.emit(
            EventKind.STORE_READ, topic=topic.value, seconds=seconds, **detail
        )

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether this process or its parent is receiving a store answer."""
        reader = self.readers.get(topic)
        parent_receiving = reader is not None and reader.parent_receiving
        return parent_receiving or self.store.is_receiving(topic)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        """Write a record; see ``RecordSource``."""
        self.store.append(topic, key, value, end)

    def _read_from_parent(self, topic: Topic, start: Offset) -> RecordBatch | None:
        """Return the parent's records, or None if the store is to be read."""
        reader = self.readers.get(topic)
        return reader.read(start) if reader is not None else None

    def _read_from_first_source(
        self, topic: Topic, start: Offset
    ) -> RecordBatch | None:
        """Return records from the process that supplied the first records.

        As long as no gateway is known, that process is asked for further records too.
        Without this rule, when a third of the gateways were restarted at once, each of
        them read the next large configuration from the store.

        Returns:
            The records; None if the store is to be read.
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
                # The asked process may have stopped, or may be starting as well. Then
                # another process is asked.
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
        """Return the newest records of the seed or of another process.

        The seed may be starting as well. Processes that this process discovers in the
        meantime, loaders of its domain first, may have the records already.

        Returns:
            The records; None if no process supplied current records in time, or if this
            process has no seed to ask.
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
                # The asked process may be starting as well; it is asked again later.
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
        """Return HOST:PORT to ask: the seed at every second attempt, else a peer.

        Args:
            attempt: Number of earlier attempts. The other peers are asked one after
                the other.
        """
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


def domain_rank(site: Site) -> int:
    """Return the position of a process's failure domain among those of the site."""
    domains = sorted({*site.regions, site.domain})
    return domains.index(site.domain)


def open_view(
    site: Site,
    store: StoreRecords,
    neighbours: Neighbours,
    events: EventStream,
    pace: ReadPace,
) -> ClusterView:
    """Return the view of a process that reads through its domain's read tree.

    Args:
        site: Settings of the process: its identity, addresses and time limits.
        store: Access to the platform's store.
        neighbours: The other processes that may be asked.
        events: The event stream.
        pace: Waits and pauses of the reads.
    """
    # Every process serves chunks and records on the port after the first peer port.
    seeds = make_seed_addresses(site.seeds, site.peer_ports[0] + 1)
    pinned_decisions = PinnedDecisionSource(
        store.source,
        store.decoder,
        events,
        PIN_STEP_SECONDS * domain_rank(site),
    )
    seed = choose_seed(site.host, seeds)
    source = DomainSource(
        pinned_decisions, site.host, site.domain, seed, neighbours, events
    )
    bound = site.bounds.version_seconds
    view = ClusterView(source, pinned_decisions, store.decoder, events, bound, pace)
    view.evacuation_records.bound_seconds = site.bounds.evacuate_seconds
    view.targets.relisted.heartbeat_seconds = site.heartbeat_seconds
    view.targets.relisted.drain_seconds = site.bounds.leaving_seconds
    return view
