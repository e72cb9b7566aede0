"""Keyed records of the platform's store, as the system sees them."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import Offset, Seconds


class Topic(Enum):
    """Streams of records that the system reads.

    DECISIONS: What operators decided: configurations and versions of weights.
    TARGETS: The list of targets.
    KEPT: Decisions that the system keeps itself; see ``cluster.keeper``.
    BLOCKED: Requests that are not sent; see ``gateway.blocked_requests``.
    """

    DECISIONS = "decisions"
    TARGETS = "targets"
    KEPT = "kept"
    BLOCKED = "blocked"


class KeyedRecord(Struct, frozen=True):
    """A record.

    Attributes:
        key: What it is about.
        value: What holds from now on; empty where the key was dropped.
        offset: Its position.
        broken: Why it cannot be read, which leaves it without value; empty if it can.
    """

    key: str
    value: bytes
    offset: Offset
    broken: str = ""


class RecordBatch(Struct, frozen=True):
    """Records that were read together.

    Attributes:
        records: In order of their offsets.
        end: Where to go on reading.
        heard_at: When the store told this at the earliest; see ``core.hearing``.
        behind: Records beyond that which are there already.
        since: Before when none of the records was written, as is known; None if that
            is when the store was last heard of.
        told: Whether another process told them, once it had news or had waited.
        took: Seconds for which the answer was on its way, from its first piece on.
        kept: Seconds for which removals are not believed there, after an outage of
            the store.
        read_at: When the newest record was first read from the store, here or by
            whoever read it for this process.
        level: Processes that told it on since.
        passed_from: The first of the records that were passed over for the newest ones;
            None for none.
    """

    records: Sequence[KeyedRecord]
    end: Offset
    heard_at: Seconds
    behind: int = 0
    since: Seconds | None = None
    told: bool = False
    kept: float = 0.0
    took: float = 0.0
    read_at: Seconds = Seconds(0.0)
    level: int = 0
    passed_from: Offset | None = None


class SourceUnavailable(Exception):
    """The store gave no usable answer."""


class RecordsGone(Exception):
    """The records asked for are no longer kept."""


class TopicGrown(Exception):
    """A conditional write was not done: the topic ends elsewhere by now."""


class RecordSource(ABC):
    """Reads records."""

    @abstractmethod
    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """

    @abstractmethod
    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return the records from an offset on.

        Args:
            topic: The stream.
            start: The first offset wanted.
            wait: Longest wait for a first record, in seconds.

        Raises:
            RecordsGone: They are no longer kept; ``newest`` has what holds.
            SourceUnavailable: The store gave no usable answer.
        """

    def is_receiving(self, topic: Topic) -> bool:
        """Tell whether an answer of the store is on its way here, piece by piece."""
        return False

    @abstractmethod
    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record of the system's own, if the topic still ends there.

        A write without an answer may be done seconds later. The condition keeps it
        from replacing what was written in between.

        Raises:
            TopicGrown: The topic has other records by now; nothing was written.
            SourceUnavailable: It may or may not be written, now or later.
        """
