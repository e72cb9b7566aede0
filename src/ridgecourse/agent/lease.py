"""Takes the lease on the target's engine from the platform's log."""

from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.core.lease import Lease, LeaseRecord
from ridgecourse.native.log import LogUnavailable, Stream
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.wire.codec import decode_message, encode_message


class LeaseKeeper:
    """Holds this agent's lease and follows the stream of leases.

    Attributes:
        lease: The decision logic.
        offset: Next offset of the stream to read.
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
            LogUnavailable: The log does not answer; no lease is held.
        """
        context = self.context
        seconds = context.settings.lease_seconds
        record = LeaseRecord(
            context.fleet, context.target, context.incarnation, seconds
        )
        # What was there before must be known before the own record is made, so
        # that the wait for its holder counts from a moment after its append.
        self.catch_up()
        sent = boottime()
        token = context.log.append(Stream.LEASES, [encode_message(record)])
        self.catch_up()
        if self.offset <= token:
            raise LogUnavailable("the lease record cannot be read back")
        self.lease.granted(token, sent, seconds, boottime())
        context.events.emit(
            EventKind.LEASE_GRANTED, target=context.target, offset=token
        )

    def catch_up(self) -> None:
        """Read all that the stream has.

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
                self._observe(data, now)
            if self.offset >= batch.next:
                return

    def _observe(self, data: bytes, now: Seconds) -> None:
        decoded = decode_message(data, LeaseRecord)
        if not isinstance(decoded, Failure):
            self.lease.observe(self.offset, decoded.unwrap(), now)
        self.offset = Offset(self.offset + 1)

    def may_order(self) -> bool:
        """Tell whether an order may be given right now."""
        return self.lease.may_order(boottime())

    def seconds_to_wait(self) -> float:
        """Return how long the holder before may still give orders."""
        return max(0.0, self.lease.usable_from - boottime())
