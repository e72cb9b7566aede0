"""The list of targets, kept from a stream of records that has outages.

A target leaves the list when it stops, but also when its heartbeats could not
be written because the store was away. Such an entry is back soon after the
store is; until then the target is kept.
"""

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from ridgecourse.core.engine_life import EngineLife, is_before
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    ModelName,
    Offset,
    Seconds,
    ServiceName,
    TargetId,
    WeightsVersion,
)

RETURN_SECONDS = 2.0
"""After an outage of the store, live targets are listed again within about two
seconds (the platform's statement). An outage's end is noticed up to half a second
late, which leaves time to read that; longer, and requests would go to targets that
left meanwhile."""
UNLISTED_KEPT = 1000
"""Targets no longer listed of which offsets and start are remembered, so that no older
record brings them back: far more than leave while such a record may arrive."""


class HeldLayers(Struct, frozen=True):
    """Layers of a model that an engine holds.

    Attributes:
        first: First layer.
        end: First layer beyond.
        version: Their version.
    """

    first: int
    end: int
    version: WeightsVersion


class ListedTarget(Struct, frozen=True):
    """One life of a target.

    Attributes:
        target: Its identity.
        service: The service that it belongs to.
        address: HOST:PORT.
        domain: Failure domain that it stands in.
        slots: Requests that it runs at once.
        leaving: Whether it is about to stop.
        models: Models that it serves, with the version of their weights.
        layers: Layers that it holds; None for none.
        started: When it started; None if it does not tell.
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

    @property
    def life(self) -> EngineLife:
        """Which life of the target this is."""
        return EngineLife(self.target, self.started)

    def holds_model(self, layers: int) -> bool:
        """Tell whether it holds every layer of a model of so many."""
        held = self.layers
        return held is not None and held.first == 0 and held.end >= layers

    @property
    def host(self) -> str:
        """IP number of its instance."""
        return self.address.rpartition(":")[0]


class TargetRecord(Struct, frozen=True):
    """A change of the list.

    Attributes:
        target: Which target.
        offset: Position in the stream; a later one wins.
        entry: The target's entry, None where it was removed.
        rejected: Whether there is an entry that cannot be used. Unlike a removal it
            is believed at once: it is no heartbeat missed in an outage.
    """

    target: TargetId
    offset: Offset
    entry: ListedTarget | None
    rejected: bool = False


class Heard(Struct):
    """What was heard of one identity.

    Attributes:
        started: Start of its latest life; None if none was told.
        listed_at: Offset of the newest entry taken in; of a later life it may be lower.
        removed_at: Offset of the newest removal.
    """

    started: EngineStart | None = None
    listed_at: int = -1
    removed_at: int = -1


class TargetList:
    """Targets by identity.

    A later life of a target goes before an earlier one wherever their entries stand in
    the stream: an engine that was frozen goes on to write its entry beside the new
    life's. Entries of one life, and those that tell no start, go by their offsets.

    Attributes:
        targets: All listed ones, leaving ones included.
        removed: Those no longer listed that may come back, and until when they
            are kept.
        kept_until: End of the time in which removals are not believed.
        heard: What was heard of each identity, listed or not.
    """

    def __init__(self) -> None:
        self.targets: dict[TargetId, ListedTarget] = {}
        self.removed: dict[TargetId, Seconds] = {}
        self.kept_until = Seconds(0.0)
        self.heard: dict[TargetId, Heard] = {}

    def outage_ended(self, now: Seconds) -> None:
        """Note that the store can be read again after it could not."""
        self.keep_removed(Seconds(now + RETURN_SECONDS))

    def keep_removed(self, end: Seconds) -> None:
        """Believe no removal until then: who told of them had lost the store."""
        self.kept_until = max(self.kept_until, end)

    def apply(self, records: Iterable[TargetRecord], now: Seconds) -> None:
        """Take in changes in any order."""
        for record in records:
            heard = self.heard.pop(record.target, None) or Heard()
            self.heard[record.target] = heard
            if record.rejected:
                self._take_rejected(record, heard)
            elif record.entry is None:
                self._take_removal(record, heard, now)
            else:
                self._take_entry(record, record.entry, heard)
        self._forget_unlisted()

    def _take_rejected(self, record: TargetRecord, heard: Heard) -> None:
        """Drop a target whose newest entry cannot be used."""
        if record.offset > max(heard.removed_at, heard.listed_at):
            heard.removed_at = record.offset
            self.drop(record.target)

    def _take_removal(self, record: TargetRecord, heard: Heard, now: Seconds) -> None:
        if record.offset <= max(heard.removed_at, heard.listed_at):
            heard.removed_at = max(heard.removed_at, record.offset)
            return
        heard.removed_at = record.offset
        self._remove(record.target, now)

    def _take_entry(
        self, record: TargetRecord, entry: ListedTarget, heard: Heard
    ) -> None:
        if is_before(entry.started, heard.started):
            return
        if is_before(heard.started, entry.started):
            # What was listed is the entry of a life that has ended.
            heard.listed_at = -1
            self.drop(record.target)
        if entry.started is not None:
            heard.started = entry.started
        if record.offset > max(heard.removed_at, heard.listed_at):
            heard.listed_at = record.offset
            self.targets[record.target] = entry
            self.removed.pop(record.target, None)

    def _forget_unlisted(self) -> None:
        """Forget what was heard of all but the last targets that are not listed."""
        unlisted = [name for name in self.heard if name not in self.targets]
        for name in unlisted[:-UNLISTED_KEPT]:
            del self.heard[name]

    def replace(self, records: Iterable[TargetRecord], now: Seconds) -> None:
        """Take in the whole list; what it lacks is removed."""
        listed = list(records)
        self.apply(listed, now)
        present = {record.target for record in listed}
        for target in [name for name in self.targets if name not in present]:
            self._remove(target, now)

    def _remove(self, target: TargetId, now: Seconds) -> None:
        if target not in self.targets:
            return
        if now < self.kept_until:
            self.removed.setdefault(target, self.kept_until)
        else:
            self.drop(target)

    def drop(self, target: TargetId) -> None:
        """Take a target out."""
        self.targets.pop(target, None)
        self.removed.pop(target, None)

    def expire(self, now: Seconds) -> Iterator[TargetId]:
        """Drop and yield the targets that did not come back in time."""
        for target in [name for name, end in self.removed.items() if end <= now]:
            self.drop(target)
            yield target

    def of_service(self, service: ServiceName) -> Iterator[ListedTarget]:
        """Yield the targets of a service that are not leaving."""
        for target in self.targets.values():
            if target.service == service and not target.leaving:
                yield target
