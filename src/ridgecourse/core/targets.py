"""The list of targets, kept from a stream of records that has outages.

A target leaves the list when it stops, but also when its heartbeats could not
be written because the store was away. Such an entry is back soon after the
store is; until then the target is kept.
"""

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from ridgecourse.core.ids import (
    DomainName,
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
OFFSETS_KEPT = 1000
"""Targets no longer listed of which the last offset is remembered, so that no older
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
    """

    target: TargetId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    leaving: bool
    models: Mapping[ModelName, WeightsVersion]
    layers: HeldLayers | None

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


class TargetList:
    """Targets by identity.

    Attributes:
        targets: All listed ones, leaving ones included.
        removed: Those no longer listed that may come back, and until when they
            are kept.
        kept_until: End of the time in which removals are not believed.
    """

    def __init__(self) -> None:
        self.targets: dict[TargetId, ListedTarget] = {}
        self.removed: dict[TargetId, Seconds] = {}
        self.kept_until = Seconds(0.0)
        self.offsets: dict[TargetId, Offset] = {}

    def outage_ended(self, now: Seconds) -> None:
        """Note that the store can be read again after it could not."""
        self.kept_until = Seconds(now + RETURN_SECONDS)

    def apply(self, records: Iterable[TargetRecord], now: Seconds) -> None:
        """Take in changes in any order."""
        for record in records:
            if record.offset <= self.offsets.get(record.target, -1):
                continue
            self.offsets.pop(record.target, None)
            self.offsets[record.target] = record.offset
            if record.rejected:
                self.drop(record.target)
            elif record.entry is None:
                self._remove(record.target, now)
            else:
                self.targets[record.target] = record.entry
                self.removed.pop(record.target, None)
        self._forget_offsets()

    def _forget_offsets(self) -> None:
        """Forget of the targets that are not listed all but the last offsets."""
        unlisted = [name for name in self.offsets if name not in self.targets]
        for name in unlisted[:-OFFSETS_KEPT]:
            del self.offsets[name]

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
