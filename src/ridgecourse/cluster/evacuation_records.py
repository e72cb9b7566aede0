"""Applies the records of evacuations, and serves them to other processes."""

from collections.abc import Callable, Collection, Sequence
from math import inf
from random import random
from typing import Any

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.pinned_decisions import EVACUATION_VALUE, PinnedDecisionSource
from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.core.evacuations import (
    DomainRecord,
    EvacuationDecision,
    Evacuations,
    pin_offset,
)
from ridgecourse.core.ids import DomainName, era_of, index_of
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import KeyedRecord, RecordBatch

CHECK_SECONDS = 10.0
"""Mean interval between two checks, while a domain is evacuated, of whether another
process knows that the evacuation has ended. A process that was cut off may read on from
one that has started since and has never heard of the evacuation."""


class EvacuationRecords:
    """The evacuations that a process knows, and their records.

    Attributes:
        evacuations: The evacuated domains.
        decoder: Recognizes the records of evacuations.
        topic_records: The records of decisions that are served to other processes.
        pinned_decisions: Pins evacuations that a copy of the store lacks.
        events: Receives events and metrics.
        propagation_fields: Returns event fields that tell how a decision arrived.
        bound_seconds: Longest allowed time until an evacuation takes effect; None for
            no bound.
        keys: Key of the records of each domain.
        may_be_pinned: Evacuated domains whose evacuation began in an earlier era.
        next_check_at: When other processes are asked next; infinite for never.
    """

    def __init__(
        self,
        decoder: RecordDecoder,
        topic_records: TopicRecords,
        pinned_decisions: PinnedDecisionSource,
        events: EventStream,
        propagation_fields: Callable[[], dict[str, Any]],
    ) -> None:
        self.evacuations = Evacuations()
        self.decoder = decoder
        self.topic_records = topic_records
        self.pinned_decisions = pinned_decisions
        self.events = events
        self.propagation_fields = propagation_fields
        self.bound_seconds: float | None = None
        self.keys: dict[DomainName, str] = {}
        self.may_be_pinned: set[DomainName] = set()
        self.next_check_at = inf

    def apply_batch(
        self, batch: RecordBatch, is_snapshot: bool
    ) -> Sequence[KeyedRecord]:
        """Apply the evacuations in a batch of decisions.

        Args:
            batch: The records.
            is_snapshot: Whether the records are the newest ones of all keys.

        Returns:
            The records of other decisions.
        """
        decoded = [
            (record, self.decoder.evacuation(record)) for record in batch.records
        ]
        decisions = [(record, found) for record, found in decoded if found is not None]
        for record, decision in decisions:
            self._apply_record(record, decision)
        if is_complete_read(batch, is_snapshot):
            listed = {
                decision.domain
                for record, decision in decisions
                if decision.evacuates and era_of(record.offset) == era_of(batch.end)
            }
            ended = self.evacuations.apply_full_read(listed, batch.end, boottime())
            self._record_ends(ended)
        return [record for record, found in decoded if found is None]

    def record_completeness(self, batch: RecordBatch, is_snapshot: bool) -> None:
        """Record whether this process would know of all removals since its start.

        Args:
            batch: The batch with which this process reads on, before it is applied.
            is_snapshot: Whether the records are the newest ones of all keys.
        """
        topic_records = self.topic_records
        is_known = topic_records.knows_removals or is_snapshot
        if batch.is_relayed:
            if batch.end <= topic_records.end:
                return
            is_first = not topic_records.end
            is_known = batch.knows_removals and (is_known or is_first)
        topic_records.knows_removals = is_known

    def apply_pinned(
        self, records: Sequence[KeyedRecord], era: int
    ) -> Sequence[KeyedRecord]:
        """Apply pinned evacuations, and end those whose pins have been removed.

        An evacuation of an earlier era that has no pin is pinned: the process that read
        the new era first may have ended before it wrote the pin.

        Args:
            records: All pinned decisions.
            era: Era of the store in which they were read.

        Returns:
            The pinned records of other decisions.
        """
        pinned, others = set(), []
        for record in records:
            decision = self.decoder.evacuation(record)
            if decision is None:
                others.append(record)
                continue
            pinned.add(decision.domain)
            placed = KeyedRecord(record.key, record.value, pin_offset(era))
            self._apply_record(placed, decision)
        self._record_ends(self.evacuations.end_unpinned(pinned, era, boottime()))
        for domain in self.evacuations.carried_over(era):
            if domain not in pinned:
                key = self.keys[domain]
                self.pinned_decisions.pin(self.topic_records.records[key])
        return others

    def _apply_record(self, record: KeyedRecord, decision: EvacuationDecision) -> None:
        domain = decision.domain
        self.keys[domain] = record.key
        known = self.evacuations.records.get(domain)
        was_evacuated = self.evacuations.is_evacuated(domain)
        if not self.evacuations.apply(decision, record.offset, boottime()):
            self._check_pin(record, known)
            return
        self._store(domain, record.value)
        if known is not None and known.evacuates:
            if era_of(known.offset) < era_of(record.offset):
                self.may_be_pinned.add(domain)
        self._record_change(domain, was_evacuated)

    def _record_ends(self, domains: Collection[DomainName]) -> None:
        for domain in domains:
            self._store(domain, b"")
            self._record_change(domain, True)

    def _store(self, domain: DomainName, value: bytes) -> None:
        """Serve the newest record of a domain to other processes.

        A record before the end that this process has read comes late: downstream
        processes have read on as well and would not ask for it.
        """
        newest = self.evacuations.records[domain]
        value = (value or EVACUATION_VALUE) if newest.evacuates else b""
        record = KeyedRecord(self.keys[domain], value, newest.offset)
        if newest.offset < self.topic_records.end:
            self.topic_records.put_late(record)
        else:
            self.topic_records.put(record)

    def _record_change(self, domain: DomainName, was_evacuated: bool) -> None:
        """Emit an event if a domain's state has changed, and remove its pin."""
        is_evacuated = self.evacuations.is_evacuated(domain)
        if not is_evacuated and domain in self.may_be_pinned:
            self.may_be_pinned.discard(domain)
            self.pinned_decisions.unpin(self.keys[domain])
        if is_evacuated == was_evacuated:
            return
        kind = EventKind.DOMAIN_EVACUATED if is_evacuated else EventKind.DOMAIN_RETURNED
        offset = self.evacuations.records[domain].offset
        fields = self.propagation_fields()
        self.events.emit(
            kind,
            offset=index_of(offset),
            domain=domain,
            era=era_of(offset),
            **fields,
        )
        if self.bound_seconds is not None and fields["lag"] > self.bound_seconds:
            self.events.metrics.count("evacuations_late")
        count = len(self.evacuations.evacuated)
        self.events.metrics.gauge("evacuated_domains", count)
        self._schedule_check()

    def _check_pin(self, record: KeyedRecord, known: DomainRecord | None) -> None:
        """Remove a pin that was found although a later record has ended the evacuation.

        A process that had not seen that record wrote the pin after it was removed.
        """
        if known is None or known.evacuates:
            return
        if record.offset == pin_offset(era_of(known.offset)):
            self.pinned_decisions.unpin(record.key)

    def _schedule_check(self) -> None:
        if self.evacuations.evacuated:
            self.next_check_at = boottime() + CHECK_SECONDS * (0.5 + random())
        else:
            self.next_check_at = inf

    def begin_check(self) -> bool:
        """Check whether another process is to be asked now, and schedule the next time.

        The pinned decisions are read again as well if an evacuation began in an earlier
        era, since the record that ended it may have been skipped.
        """
        if boottime() < self.next_check_at:
            return False
        self._schedule_check()
        era = era_of(self.topic_records.end)
        if any(self.evacuations.carried_over(era)):
            self.pinned_decisions.schedule_recheck()
        return True


def is_complete_read(batch: RecordBatch, is_snapshot: bool) -> bool:
    """Check whether a batch lacks only keys that were removed before its end.

    Args:
        batch: The batch.
        is_snapshot: Whether the records are the newest ones of all keys. So are those
            of a read that skipped records.
    """
    if not is_snapshot and batch.skipped_from is None:
        return False
    if not all(record.key for record in batch.records):
        # A record whose key cannot be decoded may be of any key.
        return False
    return not batch.is_relayed or batch.knows_removals
