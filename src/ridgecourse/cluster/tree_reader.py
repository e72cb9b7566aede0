"""Asks another process of the domain for one topic's records."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from random import Random

import eventlet

from ridgecourse.cluster.peer_records import ask_records, to_batch
from ridgecourse.cluster.share import STALE_SECONDS, SharedRecords
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Offset, Seconds, TargetName
from ridgecourse.core.outage_tries import TRY_OFTEN, OutageTries
from ridgecourse.core.read_tree import may_pass_over
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import RecordBatch, SourceUnavailable, Topic

WAIT_SECONDS = 0.8
"""Longest wait of one question: below what makes an answer stale."""
ANSWER_SECONDS = 0.3
"""For the answer beyond that. A parent that is frozen is noticed after both together;
then the next one is asked, which reads the store by then if it is the first now."""
PATIENCE_SECONDS = 1.3
"""After which nobody else is asked, but the store: with two that are frozen that is
after 1.4 s, of the 2 s allowed."""
SILENT_SECONDS = 5.0
"""How long a process is left alone that did not answer: by then most of what freezes or
cuts off a machine is over."""
LATE_SECONDS = 0.5
"""The same for one that had not heard of the store: its own parent may have been
silent, and it reads the store by then. Left alone for longer, all would read it."""
LATE_PAUSE_SECONDS = 0.2
"""Between two questions to a parent that is late and answers at once."""


class Neighbours(ABC):
    """Other processes, as one process knows them at the moment."""

    @abstractmethod
    def known_gateways(self) -> Collection[Peer]:
        """Return the other gateways that are known."""

    @abstractmethod
    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return whom to read from; None for the store.

        Args:
            avoided: Processes that are left alone for now.
        """

    @abstractmethod
    def record_peers(self) -> Sequence[str]:
        """Return HOST:PORT for records of all that are known, the nearest first."""


class TreeReader:
    """Reads one topic from a parent in the domain's tree.

    Attributes:
        topic: The topic.
        neighbours: Who may be asked.
        avoided: Processes left alone, and until when.
        late: Of these, who had not heard of the store though it can read it, and
            whether an answer was on its way there.
        lost: Of these, who cannot read the store.
        tries: When the store is tried while it cannot be read.
        told_receiving: Whether an answer of the store is on its way to the parent.
        parent: Whom the last read came from; None for the store.
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
        self.late: dict[TargetName, bool] = {}
        self.lost: set[TargetName] = set()
        self.tries = OutageTries(Random())
        self.told_receiving = False
        self.parent: Peer | None = None

    def ask(self, start: Offset) -> RecordBatch | None:
        """Return what a parent tells; None where the store is to be read.

        Raises:
            SourceUnavailable: The parent is silent, there is no other one, and the
                store is left to others.
        """
        limit = boottime() + PATIENCE_SECONDS
        wait = WAIT_SECONDS
        while (parent := self._find_parent()) is not None:
            is_last = parent.name in self.avoided
            shared = self._ask(parent, start, wait)
            # The next one may be frozen, and time has passed already.
            wait = 0.0
            if shared is None:
                if is_last:
                    raise SourceUnavailable(f"no answer of {parent.name}")
                if boottime() > limit:
                    return None
                continue
            if self._is_good(shared):
                return to_batch(shared)
            if is_last or not self._pass_over(parent, shared):
                eventlet.sleep(LATE_PAUSE_SECONDS)
                return to_batch(shared)
        return None

    def _ask(self, parent: Peer, start: Offset, wait: float) -> SharedRecords | None:
        """Return what a parent tells; None where it is silent."""
        try:
            shared = ask_records(
                self.http, parent.address, self.topic, start, ANSWER_SECONDS, wait
            )
        except SourceUnavailable as error:
            self.told_receiving = False
            self._avoid(parent, SILENT_SECONDS, str(error))
            return None
        self.told_receiving = shared.receiving
        return shared

    def _is_good(self, shared: SharedRecords) -> bool:
        """Tell whether an answer need not be had from elsewhere."""
        if shared.lost and not shared.receiving and self.topic is Topic.TARGETS:
            # It believes no removal while it is lost: kept to, it let a target that
            # had left get requests for 2.07 s, of 2 s allowed.
            return False
        # What was long on its way need not be read from the store once more.
        return bool(shared.records) or shared.age <= STALE_SECONDS

    def _pass_over(self, parent: Peer, shared: SharedRecords) -> bool:
        """Leave a parent that is late alone, if not too many are; tell if it is."""
        # Who cannot read the store, or has read nothing, never has news sooner. The
        # first answer after an outage is news, and another reader would slow it down.
        is_lost = (shared.lost or not shared.end) and not shared.receiving
        receiving = shared.receiving or any(self.late.values())
        if not is_lost and not may_pass_over(len(self.late), shared.age, receiving):
            return False
        if is_lost:
            self.lost.add(parent.name)
        else:
            self.late[parent.name] = shared.receiving
        why = f"heard of the store {shared.age:.2f} s ago"
        self._avoid(parent, LATE_SECONDS, why)
        return True

    def _find_parent(self) -> Peer | None:
        now = boottime()
        self.avoided = {name: end for name, end in self.avoided.items() if end > now}
        self.late = {n: state for n, state in self.late.items() if n in self.avoided}
        self.lost &= self.avoided.keys()
        # Where the whole domain seems to be cut off, asking all of it is of no use.
        is_cut_off = self.tries.failing and len(self.lost) >= TRY_OFTEN
        parent = None if is_cut_off else self.neighbours.choose_parent(self.avoided)
        if parent != self.parent:
            self.parent = parent
            self.told_receiving = False
            name = parent.name if parent else "store"
            self.events.emit(EventKind.READS_FROM, parent=name, topic=self.topic.value)
        return parent

    def _avoid(self, parent: Peer, seconds: float, why: str) -> None:
        """Leave a parent alone for a while."""
        self.avoided[parent.name] = Seconds(boottime() + seconds)
        self.events.figures.count("parent_avoided")
        self.events.emit(
            EventKind.PARENT_AVOIDED,
            parent=parent.name,
            topic=self.topic.value,
            why=why,
        )
