"""Selects the changes of the list of targets that are served to other processes."""

from collections.abc import Callable, Iterable, Iterator, Sequence

from msgspec.structs import replace

from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.ids import ServiceName, may_be_outdated
from ridgecourse.core.target_list import ListedTarget, TargetRecord
from ridgecourse.net.record_source import KeyedRecord, RecordBatch


class TargetChangeFilter:
    """Filters the list of targets, so that only changes are served, no heartbeats.

    Each target writes its entry every 1.2 s, whether changed or not. When these
    heartbeats were passed on, they made up most of what a domain of 20 gateways read
    over the link between two regions.

    The heartbeats of a cold target are passed on if its service limits requests to cold
    targets: the time for which it stays cold need not shrink between two heartbeats, so
    that a process that read only the first one would take the target for warm.

    Attributes:
        topic_records: The records that are served to other processes.
        limits_cold: Returns whether a service limits requests to cold targets.
        entries: The entries that have been served, by key.
    """

    def __init__(
        self,
        topic_records: TopicRecords,
        limits_cold: Callable[[ServiceName], bool] = lambda service: False,
    ) -> None:
        self.topic_records = topic_records
        self.limits_cold = limits_cold
        self.entries: dict[str, ListedTarget] = {}

    def apply(
        self,
        batch: RecordBatch,
        changes: Sequence[TargetRecord],
        is_snapshot: bool,
        overtaken: Sequence[TargetRecord] = (),
    ) -> None:
        """Apply a batch, and serve those of its records that change an entry.

        Args:
            batch: The records.
            changes: The decoded change of each record.
            is_snapshot: Whether the records are the complete list.
            overtaken: Changes of these that take no effect.
        """
        self.topic_records.record_copied_end(batch)
        self.topic_records.record_missed(batch, is_snapshot)
        stripped = list(strip_rejected(batch.records, changes))
        if is_snapshot:
            self.topic_records.remove_unlisted(
                {record.key for record in stripped}, batch.end
            )
        changed = [
            record
            for record, change in zip(stripped, changes, strict=True)
            if change not in overtaken and self._is_change(record, change)
        ]
        self.topic_records.apply(replace(batch, records=changed))

    def _is_change(self, record: KeyedRecord, change: TargetRecord) -> bool:
        """Check whether a record differs from the entry that is served."""
        known = self.topic_records.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        if known is not None and self._is_outdated(record, change, known):
            return False
        before = self.entries.pop(record.key, None)
        if change.entry is None:
            return True
        entry = change.entry
        if entry.cold_remaining and not self.limits_cold(entry.service):
            entry = replace(entry, cold_remaining=0.0)
        self.entries[record.key] = entry
        is_listed = known is not None and known.value
        if not is_listed or entry != before or entry.cold_remaining > 0.0:
            return True
        self.topic_records.unchanged[record.key] = record
        return False

    def _is_outdated(
        self, record: KeyedRecord, change: TargetRecord, known: KeyedRecord
    ) -> bool:
        """Check whether an entry takes back what its target said in an earlier era."""
        copied_end = self.topic_records.copied_end
        if change.entry is None or not may_be_outdated(
            record.offset, known.offset, copied_end
        ):
            return False
        before = self.entries.get(record.key)
        return before is None or before.is_retracted_by(change.entry)


def strip_rejected(
    records: Iterable[KeyedRecord], changes: Iterable[TargetRecord]
) -> Iterator[KeyedRecord]:
    """Yield records, without their values where they were rejected.

    No process can use the value of a rejected record.
    """
    rejected = {(change.target, change.offset) for change in changes if change.rejected}
    for record in records:
        if (record.key, record.offset) in rejected:
            reason = record.broken or "rejected"
            yield replace(record, value=b"", broken=reason)
        else:
            yield record
