"""Claims idempotency keys through the platform's log.

Claims made at the same time are appended to the log in one batch. A claim is won
only if it has been read back from the log and holds its key there.
"""

from enum import Enum
from typing import NamedTuple

import eventlet
from returns.result import Failure

from ridgecourse.core.claim import AnyClaimRecord, Claim, ClaimTable, Release
from ridgecourse.core.ids import Offset
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.log import LogClient, LogUnavailable, Stream
from ridgecourse.net.clock import boottime
from ridgecourse.net.threads import Broadcast, spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message

BATCH_SECONDS = 0.01
"""Time during which claims are collected into one append."""
MAX_BATCH = 200


class ClaimResult(Enum):
    """Result of a claim: won, lost, or not decided by the log in time."""

    WON = "won"
    LOST = "lost"
    NO_LOG = "no-log"


class ClaimDecision(NamedTuple):
    """Result of a claim, and the claim that holds the key, if known."""

    result: ClaimResult
    holder: Claim | None = None


class ClaimWriter:
    """Appends claims in batches and applies the stream of claims.

    Attributes:
        table: The claims in force, built from the stream.
        pending: Records that are not yet appended and read back.
        append_count: Number of appends made.
        claim_count: Number of claims made.
    """

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.log = LogClient(context.settings.log, context.new_client(), seconds=1.0)
        self.table = ClaimTable()
        self.pending: list[AnyClaimRecord] = []
        self.records_pending = Broadcast()
        self.batch_applied = Broadcast()
        self.append_count = 0
        self.claim_count = 0
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that appends batches."""
        self.thread = spawn_loop(self._write_batches)

    def close(self) -> None:
        """Stop the thread that appends batches."""
        if self.thread is not None:
            self.thread.kill()

    def claim(self, claim: Claim, timeout_seconds: float) -> ClaimDecision:
        """Claim a key and return the claim that holds the key.

        Args:
            claim: The claim.
            timeout_seconds: Longest wait, in seconds. Without a result by then
                the request must not be dispatched, although the claim may still
                enter the log.
        """
        deadline = boottime() + timeout_seconds
        self.pending.append(claim)
        self.claim_count += 1
        self.records_pending.notify()
        while boottime() < deadline:
            if claim not in self.pending and self._is_decided(claim):
                return self._decision_of(claim)
            self.batch_applied.wait(max(0.0, deadline - boottime()))
        if claim in self.pending:
            self.pending.remove(claim)
        return ClaimDecision(ClaimResult.NO_LOG)

    def release(self, claim: Claim) -> None:
        """Release a key after proof that its request was not run.

        The release is best effort. If its record is lost, another request can
        still take the key over with the target's proof.
        """
        self.pending.append(
            Release(claim.fleet, claim.account, claim.key, claim.request_id)
        )
        self.records_pending.notify()

    def _is_decided(self, claim: Claim) -> bool:
        return claim.request_id in self.table.decided

    def _decision_of(self, claim: Claim) -> ClaimDecision:
        holder = self.table.holder(claim.scope())
        if holder is not None and holder.request_id == claim.request_id:
            return ClaimDecision(ClaimResult.WON, holder)
        return ClaimDecision(ClaimResult.LOST, holder)

    def _write_batches(self) -> None:
        while True:
            if not self.pending:
                self.records_pending.wait(1.0)
                continue
            eventlet.sleep(BATCH_SECONDS)
            batch = self.pending[:MAX_BATCH]
            try:
                self._append_batch(batch)
            except LogUnavailable:
                eventlet.sleep(0.1)

    def _append_batch(self, batch: list[AnyClaimRecord]) -> None:
        """Append a batch and apply the stream up to its last record."""
        records = [encode_message(claim) for claim in batch]
        last_offset = self.log.append(Stream.CLAIMS, records) + len(records) - 1
        self.append_count += 1
        while self.table.offset <= last_offset:
            self._read_batch()
        self.pending = [claim for claim in self.pending if claim not in batch]
        self.batch_applied.notify()

    def _read_batch(self) -> None:
        batch = self.log.read(Stream.CLAIMS, self.table.offset)
        if batch.truncated:
            self.table.skip_to(batch.earliest)
            return
        for data in batch.records:
            decoded_record = decode_message(data, AnyClaimRecord)
            record = (
                None if isinstance(decoded_record, Failure) else decoded_record.unwrap()
            )
            self.table.apply(Offset(self.table.offset), record)
