"""Fetches the store's records from other processes.

The store may reject some instances, or be unreachable from them, while other instances
can read it. A decision must take effect in all processes, so this process asks others.
While a failure domain is evacuated, others are also asked whether the evacuation has
ended: the store does not show the removal of a record that was skipped.
"""

from collections.abc import Callable, Sequence
from itertools import count
from math import inf

import eventlet
from msgspec.structs import replace
from returns.result import Failure

from ridgecourse.cluster.record_server import (
    AGE_PARAMETER,
    RECORDS_PATH,
    WAIT_PARAMETER,
    RecordsResponse,
)
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import Offset, Seconds, index_of
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_source import RecordBatch, SourceUnavailable, Topic
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message

POLL_SECONDS = 0.5
"""Interval between two rounds while the store is unavailable. Decisions must be in
force within 2 s. An outage of the store is detected after up to 2.4 s; about 7 s are
allowed in that case."""
PEERS_PER_ROUND = 2
"""Processes asked in each round, because one of them may be cut off as well."""
ANSWER_TIMEOUT_SECONDS = 0.5


def fetch_records(
    http: HttpClient,
    address: str,
    topic: Topic,
    start: Offset,
    timeout: float,
    wait: float = 0.0,
    known_age: float = 0.0,
) -> RecordsResponse:
    """Return the records that a process holds.

    If the process has read no records, the result is empty and infinitely old.

    Args:
        http: The HTTP client.
        address: HOST:PORT of the process.
        topic: The topic to read.
        start: The first offset wanted.
        timeout: Longest wait for the answer beyond ``wait``, in seconds.
        wait: How long the process may wait for a new record, in seconds.
        known_age: Age of the data that this process has, in seconds. The process does
            not wait if its own data are fresher.

    Raises:
        SourceUnavailable: The process gave no usable answer.
    """
    sent_at = boottime()
    query = f"{WAIT_PARAMETER}={wait}&{AGE_PARAMETER}={known_age:.3f}"
    path = f"{RECORDS_PATH}{topic.value}/{start}?{query}"
    try:
        status, data, _ = http.fetch("GET", address, path, timeout=wait + timeout)
    except (NoConnection, ExchangeFailed) as error:
        raise SourceUnavailable(f"{address}: {error}") from error
    if status == 204:
        return RecordsResponse([], Offset(0), inf, lost=True)
    if status != 200:
        raise SourceUnavailable(f"{address}: HTTP status {status}, expected 200 or 204")
    decoded = decode_message(data, RecordsResponse)
    if isinstance(decoded, Failure):
        raise SourceUnavailable(f"{address}: {decoded.failure()}")
    response = decoded.unwrap()
    # The network delay makes an answer older than the age it states. Without adding the
    # delay, a gateway that lagged behind on a slow link took its configuration for
    # current and rejected requests that a newer configuration allows.
    network_delay = max(0.0, boottime() - sent_at - response.waited)
    return replace(
        response,
        age=response.age + network_delay,
        read_age=response.read_age + network_delay,
        version_ages=[
            replace(version_age, age=version_age.age + network_delay)
            for version_age in response.version_ages
        ],
    )


def to_batch(response: RecordsResponse) -> RecordBatch:
    """Return an answer that was received just now as a batch of records."""
    now = boottime()
    return RecordBatch(
        response.records,
        response.end,
        Seconds(now - response.age),
        is_relayed=True,
        removal_grace_seconds=response.kept,
        read_at=Seconds(now - response.read_age),
        relay_hops=response.level + 1,
        copied_end=response.copied_end,
        knows_removals=response.knows_removals,
        whole_from=response.whole_from,
        has_gap=response.has_gap,
        version_ages=response.version_ages,
    )


class RecordRelay:
    """Asks other processes for records that the store does not provide.

    Attributes:
        view: The view to which the received records are applied.
        peers: Returns HOST:PORT of the processes to ask, the nearest first.
        peer_counter: Counts the requests, so that the peers are asked in turn.
    """

    def __init__(
        self,
        view: ClusterView,
        http: HttpClient,
        peers: Callable[[], Sequence[str]],
        events: EventStream,
    ) -> None:
        self.view = view
        self.http = http
        self.peers = peers
        self.events = events
        self.peer_counter = count()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that asks other processes while the store is unavailable."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop the thread."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        while True:
            eventlet.sleep(POLL_SECONDS)
            for topic in self.view.lost_topics():
                self._ask_peers(topic)
            if self.view.evacuation_records.begin_check():
                self._check_evacuations()

    def _check_evacuations(self) -> None:
        """Apply what another process knows of evacuations, all records included."""
        peers = self.peers()
        if not peers:
            return
        address = peers[next(self.peer_counter) % len(peers)]
        try:
            response = fetch_records(
                self.http,
                address,
                Topic.DECISIONS,
                Offset(0),
                ANSWER_TIMEOUT_SECONDS,
            )
        except SourceUnavailable:
            # Another process is asked at the next check.
            self.events.metrics.count("relay_unanswered")
            return
        self.view.apply_evacuations(to_batch(response))

    def _ask_peers(self, topic: Topic) -> None:
        peers = self.peers()
        for _ in range(min(PEERS_PER_ROUND, len(peers))):
            self._ask_peer(topic, peers[next(self.peer_counter) % len(peers)])

    def _ask_peer(self, topic: Topic, address: str) -> None:
        start = self.view.record_server.topics[topic].end
        try:
            response = fetch_records(
                self.http, address, topic, start, ANSWER_TIMEOUT_SECONDS
            )
        except SourceUnavailable:
            # The peer may be cut off as well, or stopped; the next peer is asked.
            self.events.metrics.count("relay_unanswered")
            return
        if not response.records and (topic is Topic.TARGETS or not response.end):
            return
        self.events.metrics.count("relay_answered")
        self.events.emit(
            EventKind.RECORDS_FROM_PEER,
            offset=index_of(response.end),
            topic=topic.value,
            records=len(response.records),
            peer=address,
        )
        self.view.apply(topic, to_batch(response), False)
