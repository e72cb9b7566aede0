"""Reads one topic's records from another process of the failure domain.

The processes of a domain form a tree, in which each process reads from its parent. If
the parent does not answer or its records are stale, another process is asked, or the
store is read.
"""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from random import Random

import eventlet

from ridgecourse.cluster.peer_records import fetch_records, to_batch
from ridgecourse.cluster.record_server import STALE_SECONDS, RecordsResponse
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Offset, Seconds, TargetName
from ridgecourse.core.outage_retries import PERSISTENT_READERS, OutageRetries
from ridgecourse.core.read_tree import may_skip
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    SourceUnavailable,
    Topic,
)

LONG_POLL_SECONDS = 0.8
"""Longest time for which a parent waits for a new record before it answers. This time
is shorter than the age at which an answer is stale."""
ANSWER_TIMEOUT_SECONDS = 0.3
"""Timeout for an answer, in addition to the parent's wait for a new record. A frozen
parent is detected after both times together. Then the next process is asked. If the
frozen parent was the root of the read tree, the next process reads the store itself by
then."""
READ_TIMEOUT_SECONDS = 1.3
"""Time from the start of a read after which no other process is asked and the store is
read. With two frozen processes the store is read after 1.4 s; a decision has to be in
force within 2 s."""
UNRESPONSIVE_AVOID_SECONDS = 5.0
"""How long a process that did not answer is avoided. By then most freezes and
network failures of a machine are over."""
STALE_AVOID_SECONDS = 0.5
"""How long a process with stale records is avoided. Its own parent may not have
answered; after this time the process reads the store itself. If such processes were
avoided for longer, all processes would read the store."""
STALE_RETRY_SECONDS = 0.2
"""Delay between two requests to a parent with stale records. Such a parent answers
without waiting for a new record."""


class Neighbours(ABC):
    """The other processes that a process knows at the moment."""

    @abstractmethod
    def known_gateways(self) -> Collection[Peer]:
        """Return the other gateways that are known."""

    @abstractmethod
    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return the process to read from, or None for the store.

        Args:
            avoided: Processes that are avoided at the moment. One of them may be
                returned nevertheless, if there is no other parent and this process is
                not to read the store.
        """

    @abstractmethod
    def record_peers(self) -> Sequence[str]:
        """Return HOST:PORT for records of all known processes, the nearest first."""


class TreeReader:
    """Reads one topic from a parent in the domain's read tree.

    Attributes:
        topic: The topic.
        neighbours: The other processes that may be asked.
        avoided: Processes that are avoided, and until when.
        stale_parents: Avoided processes that had stale records although they can read
            the store. The value is whether the process was receiving an answer from
            the store.
        lost_parents: Avoided processes that cannot read the store or have read nothing
            yet.
        outage_retries: Decides when to try the store while it cannot be read.
        parent_receiving: Whether the parent is receiving an answer from the store.
        parent: The process that was read from last; None for the store.
        received_before: Records before the requested offset that the last parent had
            repeated in its answer, by key.
    """

    def __init__(
        self,
        topic: Topic,
        http: HttpClient,
        neighbours: Neighbours,
        events: EventStream,
    ) -> None:
        self.topic = topic
        self.http = http
        self.neighbours = neighbours
        self.events = events
        self.avoided: dict[TargetName, Seconds] = {}
        self.stale_parents: dict[TargetName, bool] = {}
        self.lost_parents: set[TargetName] = set()
        self.outage_retries = OutageRetries(Random())
        self.parent_receiving = False
        self.parent: Peer | None = None
        self.received_before: dict[str, KeyedRecord] = {}

    def read(self, start: Offset) -> RecordBatch | None:
        """Return the records of a parent, or None if the store is to be read.

        Raises:
            SourceUnavailable: The parent gave no usable answer, there is no other
                parent, and this process is not to read the store.
        """
        self._end_avoidance()
        deadline = boottime() + READ_TIMEOUT_SECONDS
        wait = LONG_POLL_SECONDS
        while (parent := self._select_parent()) is not None:
            # An avoided process is chosen only if there is no other parent.
            is_last = parent.name in self.avoided
            response = self._ask_parent(parent, start, wait)
            if wait:
                self._end_avoidance()
            # Further parents are asked to answer at once: the first request may have
            # taken most of the time, and the next parent may be frozen as well.
            wait = 0.0
            if response is None:
                if is_last:
                    raise SourceUnavailable(f"no answer from {parent.name}")
                if boottime() > deadline:
                    return None
                continue
            if self._is_usable(response, start):
                return to_batch(response)
            if is_last or not self._try_bypass(parent, response):
                eventlet.sleep(STALE_RETRY_SECONDS)
                return to_batch(response)
        return None

    def _ask_parent(
        self, parent: Peer, start: Offset, wait: float
    ) -> RecordsResponse | None:
        """Return a parent's answer, or None if the parent gives no usable answer."""
        try:
            response = fetch_records(
                self.http,
                parent.address,
                self.topic,
                start,
                ANSWER_TIMEOUT_SECONDS,
                wait,
                boottime() - self.outage_retries.confirmed_at,
            )
        except SourceUnavailable as error:
            self.parent_receiving = False
            self._avoid(parent, UNRESPONSIVE_AVOID_SECONDS, str(error))
            return None
        self.parent_receiving = response.receiving
        return response

    def _is_usable(self, response: RecordsResponse, start: Offset) -> bool:
        """Check whether an answer can be used without asking another process.

        Args:
            response: The answer.
            start: The offset from which on records were requested.
        """
        if response.lost and not response.receiving and self.topic is Topic.TARGETS:
            # A parent that cannot read the store ignores removals of targets. Gateways
            # that relied on the list of such a parent sent requests to a target for
            # 2.07 s after the target had left; 2 s are allowed.
            return False
        # New records are used whatever the age of the answer: if the network delayed
        # them, they are not read again from the store.
        return self._has_news(response, start) or response.age <= STALE_SECONDS

    def _has_news(self, response: RecordsResponse, start: Offset) -> bool:
        """Check whether an answer has records that the last answers did not have.

        A process repeats late records in each answer for some seconds. If these counted
        each time, a process without access to the store would be asked again and again,
        without a pause, and no other process or the store would be read.
        """
        repeated = {
            record.key: record for record in response.records if record.offset < start
        }
        is_known = repeated.items() <= self.received_before.items()
        if repeated:
            self.received_before = repeated
        return not is_known or len(repeated) < len(response.records)

    def _try_bypass(self, parent: Peer, response: RecordsResponse) -> bool:
        """Avoid a parent with stale records, unless too many are avoided already.

        Returns:
            Whether the parent is avoided.
        """
        # A parent that cannot read the store, or has read nothing, does not get records
        # earlier than this process. An exception is a parent that is receiving its
        # first answer after an outage: this answer has new records, and if this process
        # read the store as well, the answer would be delayed.
        is_lost = (response.lost or not response.end) and not response.receiving
        receiving = response.receiving or any(self.stale_parents.values())
        if not is_lost and not may_skip(
            len(self.stale_parents), response.age, receiving
        ):
            return False
        if is_lost:
            self.lost_parents.add(parent.name)
        else:
            self.stale_parents[parent.name] = response.receiving
        reason = f"heard of the store {response.age:.2f} s ago"
        self._avoid(parent, STALE_AVOID_SECONDS, reason)
        return True

    def count_failing_parents(self) -> int:
        """Return how many parents were just found unable to read the store.

        While a parent receives an answer, which may be its first after an outage, the
        result is ``PERSISTENT_READERS`` or more. If this process cannot read the store
        either, it then leaves the attempts to others until its own is due. If such
        parents were not counted, the first answers after an outage would make all
        processes read the store whose parents receive them.
        """
        if any(self.stale_parents.values()):
            return max(PERSISTENT_READERS, len(self.lost_parents))
        return len(self.lost_parents)

    def _end_avoidance(self) -> None:
        """Forget the processes whose time of being avoided is over.

        This is done before and after the first request of a read, which may wait. If it
        were done between all requests, a process on a busy machine that is cut off with
        its domain would ask the others in a circle, and would find only by chance that
        it cannot read the store either.
        """
        now = boottime()
        self.avoided = {name: end for name, end in self.avoided.items() if end > now}
        self.stale_parents = {
            name: receiving
            for name, receiving in self.stale_parents.items()
            if name in self.avoided
        }
        self.lost_parents &= self.avoided.keys()

    def _select_parent(self) -> Peer | None:
        """Return the process to ask next, or None for the store."""
        # If several processes cannot read the store, and this process cannot either,
        # the whole domain is probably cut off, and no other process has new records.
        is_cut_off = (
            self.outage_retries.is_failing
            and len(self.lost_parents) >= PERSISTENT_READERS
        )
        parent = None if is_cut_off else self.neighbours.choose_parent(self.avoided)
        if parent != self.parent:
            self.parent = parent
            self.parent_receiving = False
            name = parent.name if parent else "store"
            self.events.emit(EventKind.READS_FROM, parent=name, topic=self.topic.value)
        return parent

    def _avoid(self, parent: Peer, seconds: float, reason: str) -> None:
        """Avoid a parent from now on, and record this as an event and a metric.

        Args:
            parent: The process to avoid.
            seconds: How long to avoid the process.
            reason: Reason for the event log.
        """
        self.avoided[parent.name] = Seconds(boottime() + seconds)
        self.events.metrics.count("parent_avoided")
        self.events.emit(
            EventKind.PARENT_AVOIDED,
            parent=parent.name,
            topic=self.topic.value,
            why=reason,
        )
