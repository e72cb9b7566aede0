"""Holds a process's copy of the configuration and serves it to other processes.

The newest records are kept, so that a receiver that is a little behind gets records
instead of a snapshot.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from returns.result import Failure

from ridgecourse.core.change import (
    ChangeOutcome,
    ChangeRecord,
    CheckpointNotice,
    ConfigRecord,
)
from ridgecourse.core.config import ConfigState
from ridgecourse.core.config_objects import ConfigSnapshot
from ridgecourse.core.ids import ChangeId, Offset
from ridgecourse.net.threads import Broadcast
from ridgecourse.wire.codec import decode_message
from ridgecourse.wire.entry_control import ConfigFull, ConfigRecords

MAX_RECENT_RECORDS = 2000
"""Number of newest records kept. A receiver that lacks more records than these gets a
snapshot."""


class FoldedChange(NamedTuple):
    """A change record and the outcome of folding it.

    Attributes:
        record: The change record.
        outcome: Whether the change was accepted, and its result.
    """

    record: ChangeRecord
    outcome: ChangeOutcome


class ConfigStore:
    """Folds records into the configuration and serves them to other processes.

    Attributes:
        state: The configuration.
        is_known: Whether the state is known to match an offset of the log. The empty
            state of a process that has just started does not match one.
        checkpoint: Notice of the newest checkpoint; None before the first one.
        recent_records: The newest records, encoded, up to ``offset``.
        changed: Notified when the state has changed.
    """

    def __init__(self) -> None:
        self.state = ConfigState()
        self.is_known = False
        self.checkpoint: CheckpointNotice | None = None
        self.recent_records: deque[bytes] = deque(maxlen=MAX_RECENT_RECORDS)
        self.changed = Broadcast()

    @property
    def offset(self) -> Offset:
        """Return the offset of the next record to fold."""
        return self.state.offset

    def fold(self, first: int, records: Sequence[bytes]) -> list[FoldedChange]:
        """Fold records of the log, skipping records that are already folded.

        Args:
            first: Offset of the first record.
            records: The encoded records.

        Returns:
            The change records that this call folded. Empty if there is a gap
            between the state and the first record.
        """
        if first > self.offset:
            return []
        fresh = records[self.offset - first :]
        folded = list(self._fold_records(fresh))
        self.is_known = True
        if fresh:
            self.changed.notify()
        return folded

    def _fold_records(self, records: Sequence[bytes]) -> Iterator[FoldedChange]:
        for data in records:
            decoded = decode_message(data, ConfigRecord)
            record = None if isinstance(decoded, Failure) else decoded.unwrap()
            outcome = self.state.apply(self.offset, record)
            self.recent_records.append(data)
            if isinstance(record, CheckpointNotice):
                self.checkpoint = record
            if isinstance(record, ChangeRecord) and outcome is not None:
                yield FoldedChange(record, outcome)

    def restore(self, snapshot: ConfigSnapshot) -> bool:
        """Replace the state by a snapshot if the snapshot is newer.

        Returns:
            Whether the snapshot was newer.
        """
        restored = self.state.restore(snapshot)
        if restored:
            self.recent_records.clear()
        if restored or snapshot.offset == self.offset:
            self.is_known = True
        if restored:
            self.changed.notify()
        return restored

    def apply(self, message: ConfigRecords | ConfigFull) -> bool:
        """Apply records or a snapshot from another process.

        Returns:
            Whether the message contained anything new.
        """
        before = self.offset
        if isinstance(message, ConfigFull):
            return self.restore(message.snapshot)
        self.fold(message.first, message.records)
        return self.offset > before

    def updates_since(self, offset: int, clock: int = 0) -> ConfigRecords | ConfigFull:
        """Return the updates for a receiver, as records if possible.

        Args:
            offset: Offset of the next record that the receiver needs.
            clock: Lamport clock of this process.

        Returns:
            The records from the offset on, or a snapshot if one of them is gone.
        """
        oldest = self.offset - len(self.recent_records)
        if offset < oldest:
            return ConfigFull(self.state.snapshot(), clock)
        records = list(self.recent_records)[offset - oldest :]
        return ConfigRecords(offset, records, clock)

    def outcome(self, change_id: ChangeId) -> ChangeOutcome | None:
        """Return the outcome of a change; None if the change was not folded."""
        return self.state.outcomes.get(change_id)
