"""Interface to the keyed records of the store of the platform."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.core.weights import VersionAge


class Topic(Enum):
    """Streams of records that the system reads.

    Attributes:
        DECISIONS: Decisions of operators: configurations, versions of weights, and
            evacuations of failure domains.
        TARGETS: The list of targets.
        KEPT: Decisions that the system pins itself; see ``cluster.decision_history``.
        BLOCKED: Requests and parts of prompts that are not sent; see
            ``gateway.blocked_suspects``.
        STARTS: First starts of gateways; see ``gateway.retry_control``.
    """

    DECISIONS = "decisions"
    TARGETS = "targets"
    KEPT = "kept"
    BLOCKED = "blocked"
    STARTS = "starts"


class KeyedRecord(Struct, frozen=True):
    """A record of a topic; it replaces earlier records of its key.

    Attributes:
        key: Name of the object that the record describes.
        value: The new value; empty if the key was removed.
        offset: Position of the record in the topic.
        broken: Reason why the record cannot be decoded; the value is then empty. Empty
            for a valid record.
    """

    key: str
    value: bytes
    offset: Offset
    broken: str = ""


class RecordBatch(Struct, frozen=True):
    """Records from one read, and the state of the topic at the time of the read.

    Attributes:
        records: The records, in order of their offsets.
        end: Offset at which to continue reading.
        confirmed_at: Earliest time at which the store may have written the answer; see
            ``confirmed_at``.
        remaining_records: Number of records in the topic after ``end``.
        earliest_written_at: Time before which none of the records was written. None
            stands for the last time at which the store confirmed the data without these
            records.
        is_relayed: Whether another process sent the records. It answers when it has new
            records or its wait is over.
        transfer_seconds: Transfer time of the answer, from its first piece on.
        removal_grace_seconds: Seconds for which the sending process still ignores
            removals, after an outage of the store.
        read_at: Time at which the newest record was first read from the store, by this
            process or by the process that read it for this one.
        relay_hops: Number of processes that have forwarded the newest record.
        skipped_from: Offset of the first record that was skipped in favour of the
            newest records; None if none was skipped.
        copied_end: Records of the latest era before this offset may be older than
            removals of earlier eras; see ``core.ids.may_be_outdated``.
        knows_removals: Whether the sending process would hold each key that was present
            at its first full read or later, or the removal of the key. Processes of
            earlier releases do not hold evacuations.
        whole_from: Offset from which on the sending process knows all removals. None if
            the records are the store's, or the sender does not tell.
        has_gap: Whether the sending process may lack removals after the requested
            offset. The records are then those of all keys.
        version_ages: Ages of the named versions that the sending process knows, at the
            time of the answer. The records name the newest version of a model only.
    """

    records: Sequence[KeyedRecord]
    end: Offset
    confirmed_at: Seconds
    remaining_records: int = 0
    earliest_written_at: Seconds | None = None
    is_relayed: bool = False
    removal_grace_seconds: float = 0.0
    transfer_seconds: float = 0.0
    read_at: Seconds = Seconds(0.0)
    relay_hops: int = 0
    skipped_from: Offset | None = None
    copied_end: Offset = Offset(0)
    knows_removals: bool = False
    whole_from: Offset | None = None
    has_gap: bool = False
    version_ages: Sequence[VersionAge] = ()


class SourceUnavailable(Exception):
    """The store or another process gave no usable answer."""


class RecordsGone(Exception):
    """The store has dropped the requested records.

    Attributes:
        first: Offset of the first record that the store still has; None if it does not
            tell, or is in another era.
    """

    def __init__(self, message: str = "", first: Offset | None = None) -> None:
        super().__init__(message)
        self.first = first


class AppendConflict(Exception):
    """A conditional write met other records than expected, or a later era.

    In a later era the record may have been written.
    """


class RecordSource(ABC):
    """Reads and appends records of the store."""

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
            topic: The stream to read.
            start: Offset of the first record to return.
            wait: Longest wait for a first record, in seconds.

        Raises:
            RecordsGone: The store has dropped the records; ``newest`` returns the
                current record of each key.
            SourceUnavailable: The store gave no usable answer.
        """

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether this process is receiving an answer of the store."""
        return False

    @abstractmethod
    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        """Append a record of the system itself, if the topic still ends at an offset.

        The store may perform an unanswered write seconds later. The condition prevents
        such a write from replacing records that were written in between.

        Args:
            topic: The stream to append to.
            key: Key of the record.
            value: Value of the record.
            end: Expected end of the topic; None for a record that may also replace
                later ones of its key.

        Raises:
            AppendConflict: The topic has further records and nothing was written, or
                the store is in a later era.
            SourceUnavailable: The store gave no usable answer; the record may or may
                not be written, at once or later.
        """


def confirmed_at(
    asked_at: Seconds, answered_at: Seconds, wait: float, is_empty: bool
) -> Seconds:
    """Return the earliest time at which the store may have written an answer.

    On a link that a large configuration saturates, an answer takes a second or more. A
    time measured from its arrival is too late by the whole network delay, and so is
    every bound derived from it.

    Args:
        asked_at: When the request was sent to the store.
        answered_at: When the answer arrived.
        wait: Seconds for which the store was asked to wait for a first record.
        is_empty: Whether the answer contains no record. If the store waited for the
            whole period, there was no record until its end.
    """
    waited_out = is_empty and answered_at - asked_at >= wait
    return Seconds(asked_at + wait) if waited_out else asked_at
