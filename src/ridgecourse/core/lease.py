"""Leases on a target's engine, with fencing tokens from the log.

An agent appends a lease record for its target before it sends orders to the engine. The
offset of the record is the fencing token: the engine rejects an order with a lower
token. For an engine that ignores tokens, the lease holder checks its lease against its
own clock immediately before each order, and a new holder waits until the previous lease
has expired.
"""

from msgspec import Struct

from ridgecourse.core.ids import (
    FleetName,
    Incarnation,
    Offset,
    Seconds,
    TargetName,
)

CLOCK_RATE_MARGIN = 1.05
"""Upper bound of the ratio between the rates of two clocks."""


class LeaseRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A lease as stored in the log.

    Attributes:
        fleet: Fleet of the target.
        target: Target whose engine is leased.
        holder: Incarnation of the agent that holds the lease.
        seconds: Duration of the lease, counted from before the append was sent.
    """

    fleet: FleetName
    target: TargetName
    holder: Incarnation
    seconds: float


class Lease:
    """The state of the lease on an engine, as its agent sees it.

    Attributes:
        token: Fencing token of the lease; None before the first lease.
        expires: When the lease expires on the clock of this process.
        usable_from: When the first order may be sent.
    """

    def __init__(
        self, fleet: FleetName, target: TargetName, holder: Incarnation, fenced: bool
    ) -> None:
        self.fleet = fleet
        self.target = target
        self.holder = holder
        self.fenced = fenced
        self.token: Offset | None = None
        self.expires = Seconds(0.0)
        self.usable_from = Seconds(0.0)
        self.other_lease: LeaseRecord | None = None
        self.other_offset = Offset(-1)
        self.other_seen_at = Seconds(0.0)

    def observe(self, offset: Offset, record: LeaseRecord, now: Seconds) -> None:
        """Record a lease of another holder that was read from the log."""
        if (record.fleet, record.target) != (self.fleet, self.target):
            return
        if record.holder == self.holder:
            return
        self.other_lease = record
        self.other_offset = offset
        self.other_seen_at = now

    def record_grant(
        self, token: Offset, sent_at: Seconds, seconds: float, now: Seconds
    ) -> None:
        """Record the grant of a lease whose record was read back from the log.

        Args:
            token: Offset of the lease record.
            sent_at: When the append was first sent; the lease is counted from this
                time.
            seconds: Duration of the lease.
            now: The current time.
        """
        self.token = token
        self.expires = Seconds(sent_at + seconds)
        self.usable_from = self._previous_lease_end(now)

    def _previous_lease_end(self, now: Seconds) -> Seconds:
        """Return when the previous holder can no longer send orders.

        An engine that rejects old tokens requires no waiting.
        """
        if self.fenced or self.other_lease is None:
            return now
        max_remaining = self.other_lease.seconds * CLOCK_RATE_MARGIN
        return Seconds(max(now, self.other_seen_at + max_remaining))

    def may_order(self, now: Seconds) -> bool:
        """Check whether an order may be sent to the engine now."""
        if self.token is None or self.other_offset > self.token:
            return False
        return self.usable_from <= now < self.expires
