"""Evacuations of failure domains, ordered by the positions of their records.

Configurations and versions of weights have version numbers. An evacuation has none,
and it ends by the removal of its record, so its records are ordered by their offsets.
What a process learns may arrive in any order and repeatedly: records from the store,
from other processes that are behind or ahead, and full reads, which lack removed keys.

After a return of the store from an older copy, a domain counts as evacuated if the copy
or the earlier state says so, until a record of the new era says otherwise. An engine
that is evacuated without need costs capacity; one that receives requests violates an
operator's decision.
"""

from collections.abc import Collection, Iterator

from msgspec import Struct

from ridgecourse.core.ids import DomainName, Offset, Seconds, era_of, make_offset

MAX_FULL_READS = 8
"""Number of eras whose latest full read is remembered. Records of earlier eras come
only from processes that have not read the store since."""


class EvacuationDecision(Struct, frozen=True):
    """An operator's decision on one failure domain.

    Attributes:
        domain: The failure domain.
        evacuates: Whether the domain is evacuated; False ends the evacuation.
    """

    domain: DomainName
    evacuates: bool


class DomainRecord(Struct, frozen=True, order=True):
    """The newest known record of a domain.

    Of two records with the same offset, the one that evacuates is the newer one: a
    record that could not be decoded gets an offset that another record may have.

    Attributes:
        offset: Position of the record in the decisions.
        evacuates: Whether the domain is evacuated.
    """

    offset: Offset
    evacuates: bool


class FullRead(Struct, frozen=True):
    """A full read of the decisions.

    Attributes:
        end: Position of the read: all records before it are reflected in the read.
        listed: Domains that the read lists as evacuated.
    """

    end: Offset
    listed: frozenset[DomainName]


def pin_offset(era: int) -> Offset:
    """Return the offset of a pinned evacuation that is read in an era.

    It is higher than those of earlier eras, and lower than any of this era. A pin
    replaces what was known before the store returned, and yields to later records.
    """
    return Offset(max(0, make_offset(era, 0) - 2))


def unpin_offset(era: int) -> Offset:
    """Return the offset of the end of an evacuation whose pin was removed in an era."""
    return Offset(max(0, make_offset(era, 0) - 1))


class Evacuations:
    """The evacuated failure domains.

    Attributes:
        records: Newest known record of each domain.
        evacuated: Domains that are evacuated.
        ended_at: When the last evacuation of a domain ended, by domain. Domains that
            are evacuated, or that were not evacuated while this process ran, are
            missing.
        full_reads: The latest full read of each era.
    """

    def __init__(self) -> None:
        self.records: dict[DomainName, DomainRecord] = {}
        self.evacuated: set[DomainName] = set()
        self.ended_at: dict[DomainName, Seconds] = {}
        self.full_reads: dict[int, FullRead] = {}

    def is_evacuated(self, domain: DomainName) -> bool:
        """Check whether no requests may be sent to a domain."""
        return domain in self.evacuated

    def returned_at(self, domain: DomainName) -> Seconds | None:
        """Return when the evacuation of a domain ended, as this process learned it.

        Returns:
            The time; None if the domain is evacuated, or if no evacuation of it has
            ended since the start of this process.
        """
        return self.ended_at.get(domain)

    def apply(self, decision: EvacuationDecision, offset: Offset, now: Seconds) -> bool:
        """Apply a record; one that is not newer than the known record changes nothing.

        Args:
            decision: The decoded record.
            offset: Position of the record.
            now: Current time.

        Returns:
            Whether the record, or the removal that a full read proves to have followed
            it, is the newest one of its domain now.
        """
        domain = decision.domain
        record = self._with_later_removal(
            domain, DomainRecord(offset, decision.evacuates)
        )
        known = self.records.get(domain)
        if known is not None and known >= record:
            return False
        self.records[domain] = record
        if record.evacuates:
            self.evacuated.add(domain)
            self.ended_at.pop(domain, None)
        elif domain in self.evacuated:
            self.evacuated.discard(domain)
            self.ended_at[domain] = now
        return True

    def _with_later_removal(
        self, domain: DomainName, record: DomainRecord
    ) -> DomainRecord:
        """Return the removal that must have followed a record, or the record itself.

        A record that a full read of the same era should have shown, but did not, was
        removed before that read.
        """
        read = self.full_reads.get(era_of(record.offset))
        if read is None or domain in read.listed or record.offset >= read.end - 1:
            return record
        return DomainRecord(Offset(read.end - 1), False)

    def apply_full_read(
        self, listed: Collection[DomainName], end: Offset, now: Seconds
    ) -> list[DomainName]:
        """Apply a full read of the decisions, after its records.

        An evacuation whose record the read lacks ends if the read is of the same era
        and newer than the record. A record at the last position before ``end`` does not
        end: its removal would follow at ``end`` or later, and is read from there.

        Args:
            listed: Domains that the read lists as evacuated.
            end: Position of the read. The pages of a read are not a snapshot, so it is
                that of the first page.
            now: Current time.

        Returns:
            The domains whose evacuations ended.
        """
        era = era_of(end)
        latest = self.full_reads.get(era)
        if latest is not None and latest.end >= end:
            return []
        self.full_reads[era] = FullRead(end, frozenset(listed))
        for old in sorted(self.full_reads)[:-MAX_FULL_READS]:
            del self.full_reads[old]
        return [
            domain
            for domain in sorted(self.evacuated)
            if era_of(self.records[domain].offset) == era
            and self.apply(
                EvacuationDecision(domain, True), self.records[domain].offset, now
            )
        ]

    def end_unpinned(
        self, pinned: Collection[DomainName], era: int, now: Seconds
    ) -> list[DomainName]:
        """End the evacuations whose pins have been removed.

        A pin is removed by a process that saw a later record end the evacuation.

        Args:
            pinned: Domains with a pinned evacuation.
            era: Era of the store in which the pins were read.
            now: Current time.

        Returns:
            The domains whose evacuations ended.
        """
        return [
            domain
            for domain in sorted(self.evacuated)
            if domain not in pinned
            and self.records[domain].offset == pin_offset(era)
            and self.apply(EvacuationDecision(domain, False), unpin_offset(era), now)
        ]

    def carried_over(self, era: int) -> Iterator[DomainName]:
        """Yield the evacuated domains without a record of an era of the store.

        Args:
            era: The latest era of the store.
        """
        for domain in sorted(self.evacuated):
            if era_of(self.records[domain].offset) < era:
                yield domain
