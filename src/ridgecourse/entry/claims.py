"""Claims idempotency keys through the platform's log.

Claims made at the same time go to the log in one append. A claim counts only
once it has been read back and is the one that holds its key.
"""

from enum import Enum
from typing import NamedTuple

import eventlet
from returns.result import Failure

from ridgecourse.core.claim import AnyClaimRecord, Claim, ClaimTable, Release
from ridgecourse.core.ids import Offset
from ridgecourse.entry.context import EntryContext
from ridgecourse.native.log import LogClient, LogUnavailable, Stream
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message

BATCH_SECONDS = 0.01
"""Time over which claims are gathered into one append."""
MAX_BATCH = 200


class ClaimResult(Enum):
    """What became of a claim."""

    WON = "won"
    LOST = "lost"
    NO_LOG = "no-log"


class Claimed(NamedTuple):
    """A claim's result, and who holds the key where it lost."""

    result: ClaimResult
    holder: Claim | None = None


class ClaimWriter:
    """Appends claims in batches and folds the stream of claims.

    Attributes:
        table: The fold.
        appends: Appends made.
        claims: Claims made.
    """

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.log = LogClient(context.settings.log, context.new_client(), seconds=1.0)
        self.table = ClaimTable()
        self.pending: list[AnyClaimRecord] = []
        self.wake = Broadcast()
        self.folded = Broadcast()
        self.appends = 0
        self.claims = 0
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to write batches."""
        self.thread = spawn_loop(self._write_batches)

    def close(self) -> None:
        """Stop writing."""
        if self.thread is not None:
            self.thread.kill()

    def claim(self, claim: Claim, seconds: float) -> Claimed:
        """Claim a key and return who holds it.

        Args:
            claim: The claim.
            seconds: Longest wait. Without an answer by then the request must
                not be dispatched, though the claim may yet enter the log.
        """
        deadline = boottime() + seconds
        self.pending.append(claim)
        self.claims += 1
        self.wake.notify()
        while boottime() < deadline:
            if claim not in self.pending and self._is_folded(claim):
                return self._result(claim)
            self.folded.wait(max(0.0, deadline - boottime()))
        if claim in self.pending:
            self.pending.remove(claim)
        return Claimed(ClaimResult.NO_LOG)

    def release(self, claim: Claim) -> None:
        """Give a key back, after proof that its request was not run.

        Best effort: a release that is lost leaves the key to be taken over with
        the target's proof.
        """
        self.pending.append(
            Release(claim.fleet, claim.account, claim.key, claim.request_id)
        )
        self.wake.notify()

    def _is_folded(self, claim: Claim) -> bool:
        return claim.request_id in self.table.decided

    def _result(self, claim: Claim) -> Claimed:
        holder = self.table.holder(claim.scope())
        if holder is not None and holder.request_id == claim.request_id:
            return Claimed(ClaimResult.WON, holder)
        return Claimed(ClaimResult.LOST, holder)

    def _write_batches(self) -> None:
        while True:
            if not self.pending:
                self.wake.wait(1.0)
                continue
            eventlet.sleep(BATCH_SECONDS)
            batch = self.pending[:MAX_BATCH]
            try:
                self._write(batch)
            except LogUnavailable:
                eventlet.sleep(0.1)

    def _write(self, batch: list[AnyClaimRecord]) -> None:
        """Append a batch and fold the stream up to it."""
        records = [encode_message(claim) for claim in batch]
        last = self.log.append(Stream.CLAIMS, records) + len(records) - 1
        self.appends += 1
        while self.table.offset <= last:
            self._read()
        self.pending = [claim for claim in self.pending if claim not in batch]
        self.folded.notify()

    def _read(self) -> None:
        batch = self.log.read(Stream.CLAIMS, self.table.offset)
        if batch.truncated:
            self.table.skip_to(batch.earliest)
            return
        for data in batch.records:
            decoded = decode_message(data, AnyClaimRecord)
            record = None if isinstance(decoded, Failure) else decoded.unwrap()
            self.table.apply(Offset(self.table.offset), record)
