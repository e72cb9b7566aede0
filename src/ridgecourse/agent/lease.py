"""Acquires the lease on the target's engine through the platform's log.

Only the agent that holds the lease may give orders to the engine. A lease is
acquired by appending a record to the stream of leases and reading it back.
"""

from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.core.lease import Lease, LeaseRecord
from ridgecourse.native.log import LogUnavailable, Stream
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.wire.codec import decode_message, encode_message


class LeaseKeeper:
    """Acquires this agent's lease and follows the stream of leases.

    Attributes:
        lease: Decides whether this agent holds the lease.
        offset: Offset of the next record to read from the stream.
    """

    def __init__(self, context: AgentContext) -> None:
        self.context = context
        self.offset = Offset(0)
        self.lease = Lease(
            context.fleet,
            context.target,
            context.incarnation,
            context.settings.engine.fenced,
        )

    def acquire(self) -> None:
        """Append a lease record and read it back.

        Raises:
            LogUnavailable: The log does not answer or returns no record; no lease
                was acquired.
        """
        context = self.context
        seconds = context.settings.lease_seconds
        record = LeaseRecord(
            context.fleet, context.target, context.incarnation, seconds
        )
        # Earlier records must be read before this record is appended, so that the
        # wait for the previous holder counts from a time after its append.
        self.catch_up()
        append_started_at = boottime()
        token = context.log.append(Stream.LEASES, [encode_message(record)])
        self.catch_up()
        if self.offset <= token:
            raise LogUnavailable("the lease record cannot be read back")
        self.lease.record_grant(token, append_started_at, seconds, boottime())
        context.events.emit(
            EventKind.LEASE_GRANTED, target=context.target, offset=token
        )

    def catch_up(self) -> None:
        """Read the stream up to its end.

        Raises:
            LogUnavailable: The log does not answer.
        """
        while True:
            batch = self.context.log.read(Stream.LEASES, self.offset)
            if batch.truncated:
                self.offset = batch.earliest
                continue
            now = boottime()
            for data in batch.records:
                self._apply_record(data, now)
            if self.offset >= batch.next:
                return

    def _apply_record(self, data: bytes, now: Seconds) -> None:
        decoded = decode_message(data, LeaseRecord)
        if not isinstance(decoded, Failure):
            self.lease.observe(self.offset, decoded.unwrap(), now)
        self.offset = Offset(self.offset + 1)

    def may_order(self) -> bool:
        """Check whether this agent may give orders at present."""
        return self.lease.may_order(boottime())

    def seconds_to_wait(self) -> float:
        """Return for how many seconds the previous holder may still give orders."""
        return max(0.0, self.lease.usable_from - boottime())
