"""Leases on a target's engine, with fencing tokens from the log.

An agent appends a lease record for its target before it orders the engine. The
record's offset is the fencing token: the engine refuses an order with a lower
one. For an engine that ignores tokens the holder checks its lease on its own clock
right before each order, and a new holder waits until the lease before it has run out.
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
"""Two clocks may differ in rate by less than this factor."""


class LeaseRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A lease as it stands in the log.

    Attributes:
        fleet: Fleet of the target.
        target: Target whose engine is leased.
        holder: The agent's life that holds it.
        seconds: Length, from before the append was sent.
    """

    fleet: FleetName
    target: TargetName
    holder: Incarnation
    seconds: float


class Lease:
    """One agent's view of the lease on its engine.

    Attributes:
        token: The fencing token held, None before the first lease.
        expires: When the lease ends on this process's clock.
        usable_from: When the first order may be given.
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
        """Take note of a lease record read from the log."""
        if (record.fleet, record.target) != (self.fleet, self.target):
            return
        if record.holder == self.holder:
            return
        self.other_lease = record
        self.other_offset = offset
        self.other_seen_at = now

    def granted(
        self, token: Offset, sent_at: Seconds, seconds: float, now: Seconds
    ) -> None:
        """Take a lease whose record was read back.

        Args:
            token: Offset of the own record.
            sent: When the append was first sent; the lease counts from there.
            seconds: Its length.
            now: The present time.
        """
        self.token = token
        self.expires = Seconds(sent_at + seconds)
        self.usable_from = self._previous_lease_end(now)

    def _previous_lease_end(self, now: Seconds) -> Seconds:
        """Return when the holder before can no longer give orders.

        An engine that refuses old tokens needs no wait.
        """
        if self.fenced or self.other_lease is None:
            return now
        max_remaining = self.other_lease.seconds * CLOCK_RATE_MARGIN
        return Seconds(max(now, self.other_seen_at + max_remaining))

    def may_order(self, now: Seconds) -> bool:
        """Tell whether an order may be given right now."""
        if self.token is None or self.other_offset > self.token:
            return False
        return self.usable_from <= now < self.expires
