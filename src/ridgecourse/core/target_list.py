"""The list of targets, maintained from a stream of records that may be interrupted.

A target is removed from the list when it stops, but also when its heartbeats could
not be written because the store was unavailable. In the second case its entry
returns soon after the store does; until then the target is kept.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from ridgecourse.core.engine_incarnation import EngineIncarnation, starts_before
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    ModelName,
    Offset,
    Seconds,
    ServiceName,
    TargetId,
    WeightsVersion,
    era_of,
    may_be_outdated,
)
from ridgecourse.core.relisted_targets import (
    HealthAnswer,
    KnownSequence,
    RelistedTargets,
    RelistingEntry,
    TargetHistory,
)

RETURN_SECONDS = 2.0
"""Time for which removed targets are kept after an outage of the store. The platform
states that live targets are listed again within about 2 seconds after an outage. The
end of an outage is noticed up to 0.5 s late, which leaves time to read the new entries.
With a longer time, requests would go to targets that stopped during the outage."""
MAX_UNLISTED = 1000
"""Number of unlisted targets whose offsets and start are remembered, so that no older
record lists them again. Far fewer targets are removed in the time in which such a
record may still arrive."""
MAX_NEW_SEQUENCE = 3
"""Highest sequence of a target whose first entry was read as one of a change. The entry
of a target that was listed before has a higher one."""


class HeldLayers(Struct, frozen=True):
    """A range of layers of a model that an engine has loaded.

    Attributes:
        first: First layer of the range.
        end: First layer after the range.
        version: Version of the weights of these layers.
    """

    first: int
    end: int
    version: WeightsVersion


class ListedTarget(Struct, frozen=True):
    """The entry of one incarnation of a target.

    Attributes:
        target: Identity of the target.
        service: Service that the target belongs to.
        address: HOST:PORT of the target.
        domain: Failure domain of the target.
        slots: Number of requests that the target runs at once.
        leaving: Whether the target is about to stop.
        models: Models that the target serves, with the version of their weights.
        layers: Layers that the target has loaded; None for none.
        started: Start of the target; None if it reports no start.
        cold_remaining: Seconds for which the target stays cold, as of when the entry
            was written; 0 if it is not cold.
    """

    target: TargetId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    leaving: bool
    models: Mapping[ModelName, WeightsVersion]
    layers: HeldLayers | None
    started: EngineStart | None = None
    cold_remaining: float = 0.0

    @property
    def incarnation(self) -> EngineIncarnation:
        """Incarnation of the target that this entry describes."""
        return EngineIncarnation(self.target, self.started)

    def holds_model(self, layers: int) -> bool:
        """Check whether the target has loaded all layers of a model.

        Args:
            layers: Number of layers of the model.
        """
        loaded = self.layers
        return loaded is not None and loaded.first == 0 and loaded.end >= layers

    @property
    def host(self) -> str:
        """IP address of the target's instance."""
        return self.address.rpartition(":")[0]

    def is_retracted_by(self, entry: "ListedTarget") -> bool:
        """Check whether an entry takes back that this incarnation leaves.

        Args:
            entry: Another entry of the same target.
        """
        has_restarted = starts_before(self.started, entry.started)
        return self.leaving and not entry.leaving and not has_restarted


class TargetRecord(Struct, frozen=True):
    """A change of the list.

    Attributes:
        target: Identity of the target.
        offset: Position in the stream; the record with the highest offset applies.
        entry: Entry of the target; None if the target was removed.
        rejected: Whether the target has an invalid entry. Unlike a removal, a
            rejection takes effect at once, since a heartbeat missed in an outage
            cannot cause it.
        sequence: Number of the entry, which rises with each heartbeat of the target; 0
            if the target does not number them.
    """

    target: TargetId
    offset: Offset
    entry: ListedTarget | None
    rejected: bool = False
    sequence: int = 0


class TargetList:
    """The listed targets by identity.

    The entry of a later incarnation of a target replaces the entry of an earlier one at
    whatever offsets they are in the stream, because an engine that was frozen continues
    to write its entry next to the entry of the new incarnation. Entries of the same
    incarnation, and entries without a start, are ordered by their sequences, since a
    heartbeat that is held up on its way to the store gets a high offset. Entries with
    the same sequence are ordered by their offsets.

    Attributes:
        targets: All listed targets, including those that are leaving.
        removed: Targets that were removed but may be listed again, and the time until
            which they are kept.
        kept_until: Time until which removals do not take effect.
        histories: History of each target, listed or not.
        relisted: The listed targets that may not be used yet.
        whole_at: When the whole list was read first; None if only changes were read.
        copied_end: Entries of the latest era of the store before this offset do not
            take back what a target said in earlier eras; see
            ``core.ids.may_be_outdated``.
    """

    def __init__(self) -> None:
        self.targets: dict[TargetId, ListedTarget] = {}
        self.removed: dict[TargetId, Seconds] = {}
        self.kept_until = Seconds(0.0)
        self.histories: dict[TargetId, TargetHistory] = {}
        self.relisted = RelistedTargets()
        self.whole_at: Seconds | None = None
        self.copied_end = Offset(0)

    def record_outage_end(self, now: Seconds) -> None:
        """Record that the store can be read again after an outage."""
        self.keep_removed(Seconds(now + RETURN_SECONDS))

    def keep_removed(self, end: Seconds) -> None:
        """Ignore removals until a time: their sender had lost the store.

        Args:
            end: Time until which removed targets are kept.
        """
        self.kept_until = max(self.kept_until, end)

    def apply(
        self, records: Iterable[TargetRecord], now: Seconds, is_recent: bool = True
    ) -> Sequence[TargetRecord]:
        """Apply changes, in any order.

        Args:
            records: Changes of the list.
            now: Current time.
            is_recent: Whether the changes were made shortly before.

        Returns:
            The entries that a later entry of the same target replaces, although they
            have a higher offset.
        """
        overtaken = []
        for record in records:
            history = self.histories.pop(record.target, None)
            if history is None:
                history = TargetHistory()
                if is_recent and record.sequence > MAX_NEW_SEQUENCE:
                    # The target was listed before, and removed before the whole list
                    # was read. The entry may be a heartbeat that was held up.
                    history.removed_at = self.whole_at
            self.histories[record.target] = history
            if record.rejected:
                self._apply_rejection(record, history)
            elif record.entry is None:
                self._apply_removal(record, history, now)
            elif is_overtaken(record, record.entry, history):
                if record.offset > max(history.removed_offset, history.listed_offset):
                    overtaken.append(record)
            else:
                read = KnownSequence(record.sequence, now, is_recent)
                self._apply_entry(record, record.entry, history, read)
        self._forget_unlisted()
        return overtaken

    def _apply_rejection(self, record: TargetRecord, history: TargetHistory) -> None:
        """Drop a target whose newest entry is invalid."""
        if record.offset > max(history.removed_offset, history.listed_offset):
            history.removed_offset = record.offset
            self.drop(record.target)

    def _apply_removal(
        self, record: TargetRecord, history: TargetHistory, now: Seconds
    ) -> None:
        if self._is_gone(record.target, history) and may_be_outdated(
            record.offset, history.removed_offset, self.copied_end
        ):
            # The known removal may be newer, and is to outlast the copy.
            return
        if record.offset > history.earlier_offset and may_be_outdated(
            history.listed_offset, record.offset, self.copied_end
        ):
            # The listed entry is a copy from before the removal.
            history.listed_offset = -1
        if record.offset <= max(history.removed_offset, history.listed_offset):
            history.removed_offset = max(history.removed_offset, record.offset)
            return
        history.removed_offset = record.offset
        history.is_copied = False
        self._remove(record.target, now)

    def _apply_entry(
        self,
        record: TargetRecord,
        entry: ListedTarget,
        history: TargetHistory,
        read: KnownSequence,
    ) -> None:
        """Apply an entry that the target has not replaced yet.

        Args:
            record: Record of the entry.
            entry: The entry.
            history: History of the target.
            read: Sequence of the entry, and when it was read.
        """
        if starts_before(entry.started, history.started):
            return
        has_restarted = starts_before(history.started, entry.started)
        was_gone = self._is_gone(record.target, history)
        known_before = history.known
        if has_restarted or record.sequence > history.known.sequence:
            history.known = read
            self._supersede_listed(record, history, has_restarted)
        if entry.leaving:
            history.leaving_offset = max(history.leaving_offset, record.offset)
        if entry.started is not None:
            history.started = entry.started
        known_offset = max(history.removed_offset, history.listed_offset)
        if was_gone and may_be_outdated(record.offset, known_offset, self.copied_end):
            # A removal names no incarnation: the known one may be that of this entry.
            return
        if record.offset > known_offset:
            if era_of(record.offset) > era_of(known_offset) and not history.is_copied:
                history.earlier_offset = known_offset
            history.listed_offset = record.offset
            history.is_copied = self._is_copied(record.offset)
            self.targets[record.target] = entry
            self.removed.pop(record.target, None)
            if history.removed_at is not None and not has_restarted:
                relisting = RelistingEntry(record.sequence, read.read_at, known_before)
                self.relisted.add(record.target, relisting, history.removed_at)
            history.removed_at = None
        listed = self.targets.get(record.target)
        if listed is not None and self._has_left_since(history):
            self.targets[record.target] = replace(listed, leaving=True)

    def _supersede_listed(
        self, record: TargetRecord, history: TargetHistory, has_restarted: bool
    ) -> None:
        """Withdraw the listed entry, if the target wrote it before another entry.

        Args:
            record: The other entry.
            history: History of the target.
            has_restarted: Whether the listed entry belongs to an earlier incarnation,
                which has ended.
        """
        if has_restarted:
            history.listed_offset = history.leaving_offset = -1
            self.drop(record.target)
            return
        if history.leaving_offset > record.offset:
            history.leaving_offset = -1
        if history.listed_offset > record.offset:
            # The listed entry was held up, and was read before this one.
            history.listed_offset = -1
            if history.removed_offset > record.offset:
                self.drop(record.target)

    def _is_gone(self, target: TargetId, history: TargetHistory) -> bool:
        """Check whether a target is not listed, or was removed in an outage."""
        has_removal = history.removed_offset > history.listed_offset
        return target not in self.targets or has_removal

    def _is_copied(self, offset: Offset) -> bool:
        """Check whether a record may stem from the copy that began the latest era."""
        in_latest_era = era_of(offset) == era_of(self.copied_end)
        return in_latest_era and offset < self.copied_end

    def _has_left_since(self, history: TargetHistory) -> bool:
        """Check whether a target has said that it leaves after its listed entry."""
        if history.leaving_offset > history.listed_offset:
            return True
        return may_be_outdated(
            history.listed_offset, history.leaving_offset, self.copied_end
        )

    def _forget_unlisted(self) -> None:
        """Drop the histories of the unlisted targets, except the most recent ones."""
        unlisted = [target for target in self.histories if target not in self.targets]
        for target in unlisted[:-MAX_UNLISTED]:
            del self.histories[target]

    def replace(
        self, records: Iterable[TargetRecord], now: Seconds, end: Offset
    ) -> Sequence[TargetRecord]:
        """Replace the whole list; targets without a record are removed.

        Args:
            records: One record for each target of the new list.
            now: Current time.
            end: Offset up to which the new list was read. Targets with later entries
                are kept.

        Returns:
            What ``apply`` returns.
        """
        listed = list(records)
        overtaken = self.apply(listed, now, is_recent=False)
        if self.whole_at is None:
            self.whole_at = now
        present = {record.target for record in listed}
        unlisted = [target for target in self.targets if target not in present]
        removals = [TargetRecord(target, Offset(end - 1), None) for target in unlisted]
        self.apply(removals, now)
        return overtaken

    def _remove(self, target: TargetId, now: Seconds) -> None:
        if target not in self.targets:
            return
        if now < self.kept_until:
            self.removed.setdefault(target, self.kept_until)
        else:
            self._drop_removed(target, now)

    def _drop_removed(self, target: TargetId, now: Seconds) -> None:
        """Remove a target that may be listed again by a heartbeat that is late."""
        self.drop(target)
        if target in self.histories:
            self.histories[target].removed_at = now

    def drop(self, target: TargetId) -> None:
        """Remove a target at once."""
        self.targets.pop(target, None)
        self.removed.pop(target, None)
        self.relisted.drop(target)

    def record_health(
        self, target: TargetId, answer: HealthAnswer, now: Seconds
    ) -> bool:
        """Record what a target that is held or was removed answered for its health.

        A removed target that cannot be reached may be behind a broken link. No request
        reaches it either, so that its removal need not count sooner.

        Returns:
            Whether a removed target that was kept is dropped: it does leave.
        """
        self.relisted.record_answer(target, answer)
        if target not in self.removed or answer is not HealthAnswer.UNHEALTHY:
            return False
        self._drop_removed(target, now)
        return True

    def expire(self, now: Seconds) -> Iterator[TargetId]:
        """Drop and yield the removed targets that were not listed again in time."""
        for target in [target for target, end in self.removed.items() if end <= now]:
            self._drop_removed(target, now)
            yield target

    def entry_offset(self, target: TargetId) -> Offset | None:
        """Return the offset of a target's newest entry; None if it is not listed."""
        if target not in self.targets:
            return None
        return Offset(self.histories[target].listed_offset)

    def of_service(self, service: ServiceName) -> Iterator[ListedTarget]:
        """Yield the targets of a service, except those that leave or are held."""
        for target in self.targets.values():
            if target.service == service and self._is_usable(target):
                yield target

    def is_serving(self, target: TargetId) -> bool:
        """Check whether a target is listed, and neither leaves nor is held."""
        listed = self.targets.get(target)
        return listed is not None and self._is_usable(listed)

    def _is_usable(self, target: ListedTarget) -> bool:
        return not target.leaving and target.target not in self.relisted.held


def is_overtaken(
    record: TargetRecord, entry: ListedTarget, history: TargetHistory
) -> bool:
    """Check whether the target wrote a known entry after this one.

    Such an entry takes back nothing, neither a removal nor that the target leaves,
    wherever it is in the stream.
    """
    has_restarted = starts_before(history.started, entry.started)
    return not has_restarted and record.sequence < history.known.sequence
