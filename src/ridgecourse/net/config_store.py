"""A process's copy of the configuration, with the newest records kept for others."""

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
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.wire.codec import decode_message
from ridgecourse.wire.entry_control import ConfigFull, ConfigRecords

RECORDS_KEPT = 2000
"""Records kept for receivers a little behind; those further get a snapshot."""


class Folded(NamedTuple):
    """A change record and what the fold made of it."""

    record: ChangeRecord
    outcome: ChangeOutcome


class ConfigStore:
    """Folds records and hands them on.

    Attributes:
        state: The configuration.
        known: Whether the state is known to stand for some real offset, which
            an empty state of a process just started does not.
        checkpoint: The newest checkpoint noticed.
        changed: Notified after every fold.
    """

    def __init__(self) -> None:
        self.state = ConfigState()
        self.known = False
        self.checkpoint: CheckpointNotice | None = None
        self.recent: deque[bytes] = deque(maxlen=RECORDS_KEPT)
        self.changed = Broadcast()

    @property
    def offset(self) -> Offset:
        """Return the next offset to fold."""
        return self.state.offset

    def fold(self, first: int, records: Sequence[bytes]) -> list[Folded]:
        """Fold records of the log; those already contained are passed over.

        Args:
            first: Offset of the first record.
            records: Their bytes.

        Returns:
            The change records folded now. Nothing if there is a gap before the
            first record.
        """
        if first > self.offset:
            return []
        fresh = records[self.offset - first :]
        folded = list(self._fold_each(fresh))
        self.known = True
        if fresh:
            self.changed.notify()
        return folded

    def _fold_each(self, records: Sequence[bytes]) -> Iterator[Folded]:
        for data in records:
            decoded = decode_message(data, ConfigRecord)
            record = None if isinstance(decoded, Failure) else decoded.unwrap()
            outcome = self.state.apply(self.offset, record)
            self.recent.append(data)
            if isinstance(record, CheckpointNotice):
                self.checkpoint = record
            if isinstance(record, ChangeRecord) and outcome is not None:
                yield Folded(record, outcome)

    def restore(self, snapshot: ConfigSnapshot) -> bool:
        """Take over a snapshot if it is ahead; tell whether it was."""
        taken = self.state.restore(snapshot)
        if taken:
            self.recent.clear()
        if taken or snapshot.offset == self.offset:
            self.known = True
        if taken:
            self.changed.notify()
        return taken

    def take(self, message: ConfigRecords | ConfigFull) -> bool:
        """Take in what another process sent; tell whether anything was new."""
        before = self.offset
        if isinstance(message, ConfigFull):
            return self.restore(message.snapshot)
        self.fold(message.first, message.records)
        return self.offset > before

    def above(self, offset: int, clock: int = 0) -> ConfigRecords | ConfigFull:
        """Return what a receiver at an offset lacks, as records if possible."""
        oldest = self.offset - len(self.recent)
        if offset < oldest:
            return ConfigFull(self.state.snapshot(), clock)
        records = list(self.recent)[offset - oldest :]
        return ConfigRecords(offset, records, clock)

    def outcome(self, change_id: ChangeId) -> ChangeOutcome | None:
        """Return what the fold made of a change, if it has met it."""
        return self.state.outcomes.get(change_id)
