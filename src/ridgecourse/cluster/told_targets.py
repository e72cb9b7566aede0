"""The list of targets as other processes are told it: changes, without heartbeats.

Load pattern: each target writes its entry each 1.2 s, changed or not. Told on, that was
most of what a domain of 20 gateways read, over the link between two regions.
"""

from collections.abc import Iterable, Iterator, Sequence

from msgspec.structs import replace

from ridgecourse.cluster.share import TopicRecords
from ridgecourse.core.targets import ListedTarget, TargetRecord
from ridgecourse.net.record_source import KeyedRecord, RecordBatch


class ToldTargets:
    """Passes on what changes in the list.

    Attributes:
        shared: What others are told.
        entries: The entries that they have been told, by key.
    """

    def __init__(self, shared: TopicRecords) -> None:
        self.shared = shared
        self.entries: dict[str, ListedTarget] = {}

    def take(
        self, batch: RecordBatch, changes: Sequence[TargetRecord], whole: bool
    ) -> None:
        """Take in records.

        Args:
            batch: The records.
            changes: What each of them says.
            whole: Whether they are the whole list.
        """
        told = list(tell_rejected(batch.records, changes))
        if whole:
            self.shared.drop_unlisted({record.key for record in told}, batch.end)
        news = [
            record
            for record, change in zip(told, changes, strict=True)
            if self._is_news(record, change)
        ]
        self.shared.take(replace(batch, records=news))

    def _is_news(self, record: KeyedRecord, change: TargetRecord) -> bool:
        """Tell whether a record says anything that others have not been told."""
        known = self.shared.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        before = self.entries.pop(record.key, None)
        if change.entry is None:
            return True
        self.entries[record.key] = change.entry
        is_listed = known is not None and known.value
        return not is_listed or change.entry != before


def tell_rejected(
    records: Iterable[KeyedRecord], changes: Iterable[TargetRecord]
) -> Iterator[KeyedRecord]:
    """Yield records as others are told of them.

    Those that were rejected are told without their value, of which nobody has any use.
    """
    rejected = {(item.target, item.offset) for item in changes if item.rejected}
    for record in records:
        if (record.key, record.offset) in rejected:
            why = record.broken or "rejected"
            yield replace(record, value=b"", broken=why)
        else:
            yield record
