"""The turns in which one gateway sends requests to a cold engine.

A cold engine handles ``cold_per_s`` requests per second, and must not receive more than
a bound in any second from all gateways together. Each gateway computes its turns from
the gateways that it knows. The bound holds although gateways that start, or that are
cut off, know fewer gateways than the others:

- No gateway sends twice within a second where the limit allows it, so that a second has
  at most one request from each sending gateway.
- A gateway that is no longer reported is counted for some time.
- A gateway without requests passes its turn to one that asks for it, and counts the
  turn as used.
- A gateway that has just started and knows no other one waits. It then takes at most
  the share of one of 40 gateways, and of 12 while it knows some others.
"""

from collections.abc import Collection
from math import ceil, floor, inf

from msgspec import Struct

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Seconds, TargetName

COLD_SENDERS_PER_RATE = 1.25
"""Number of gateways that send to a cold engine for each request per second of its
limit. If half of 40 gateways know only each other, 5 gateways in each half keep a limit
of 4 per second to 10 requests in a second; with 7, there were 13 where 11 are
allowed."""
MIN_INTERVAL_SECONDS = 1.25
"""Shortest interval between two requests of a gateway, unless so few gateways are known
that less than half of the limit would be used."""
LONG_INTERVAL_SECONDS = 1.5
"""The same where two sets of gateways that do not know each other could together exceed
the bound with one request each: with 1.25 s, 50 gateways of which half knew only half
of the others sent up to 50 requests in a second where 44 are allowed."""
COLD_CATCH_UP_SECONDS = 0.15
"""How late a request may be sent without delaying the next one. With the shortest
interval, two requests of a gateway are at least 1.1 s apart."""
MIN_GATEWAYS = 12
"""Smallest number of gateways by which a gateway that has just started divides a limit,
since it may know only some of the others."""
UNKNOWN_GATEWAYS = 40
"""Number of gateways by which a gateway that knows no other one divides a limit. With
12, a third of 40 gateways that knew no others for 5 s after their start brought an
engine to 12 requests in a second where 11 are allowed."""
START_WAIT_SECONDS = 3.0
"""Time after its start in which a gateway that knows no other one sends nothing to a
cold engine."""
START_SECONDS = 10.0
"""Time after its start in which a gateway may know only some of the others."""
MEMORY_SECONDS = 10.0
"""How long a gateway is counted after it was last reported. A gateway that loses its
connections to loaders for a moment, or is frozen, would otherwise take the shares of
the gateways that it no longer knows."""


class ColdLimit(Struct, frozen=True):
    """The limit of a cold engine.

    Attributes:
        rate: Requests per second that the engine can handle, from all gateways.
        bound: Requests that it may receive in any second, from all gateways.
    """

    rate: float
    bound: float


class Share(Struct, frozen=True):
    """The share of one gateway in the limit of an engine.

    Attributes:
        interval: Seconds between two requests; infinite if the gateway sends none.
        first_delay: Seconds until the first request.
    """

    interval: float
    first_delay: float


NO_SHARE = Share(inf, inf)


class Turn(Struct, frozen=True):
    """The turn of one request at an engine with a limit.

    Attributes:
        until: End of a turn that another gateway has passed on; None for one of this
            gateway's own.
    """

    until: Seconds | None = None


class RecentGateways:
    """The other gateways that were known within ``MEMORY_SECONDS``.

    Attributes:
        started_at: Start of this gateway.
        reported: Each gateway, and when it was last known.
    """

    def __init__(self) -> None:
        self.started_at = Seconds(-inf)
        self.reported: dict[TargetName, tuple[Peer, Seconds]] = {}

    def observe(self, gateways: Collection[Peer], now: Seconds) -> list[Peer]:
        """Record the known gateways; return all that were known recently.

        Args:
            gateways: Gateways that are known now.
            now: Current time.
        """
        self.reported.update((peer.name, (peer, now)) for peer in gateways)
        forgotten = [
            name
            for name, (_, known_at) in self.reported.items()
            if now - known_at > MEMORY_SECONDS
        ]
        for name in forgotten:
            del self.reported[name]
        return [peer for peer, _ in self.reported.values()]

    def age(self, now: Seconds) -> float:
        """Return the seconds since the start of this gateway."""
        return now - self.started_at


def compute_cold_share(
    limit: ColdLimit, others: int, position: int, phase: float, age: float
) -> Share:
    """Return this gateway's share in the limit of a cold engine.

    Args:
        limit: The limit of the engine.
        others: Number of other gateways that are known.
        position: Precedence of this gateway among the known ones, from 0.
        phase: Number from 0 to 1 that differs between gateways. It spreads the first
            requests of gateways that do not know each other.
        age: Seconds since the start of this gateway.
    """
    if not others and age < START_WAIT_SECONDS:
        return NO_SHARE
    senders = count_senders(limit, others + 1)
    if position >= senders:
        return NO_SHARE
    interval = senders / limit.rate
    if not others:
        interval = UNKNOWN_GATEWAYS / limit.rate
    elif age < START_SECONDS and others + 1 < MIN_GATEWAYS:
        interval = max(interval, MIN_GATEWAYS / limit.rate)
    if 2 * senders >= limit.rate:
        interval = max(interval, find_min_interval(limit, senders))
    spread = (position + phase) / senders if others else phase
    return Share(interval, interval * spread)


def count_senders(limit: ColdLimit, gateways: int) -> int:
    """Return how many gateways send to a cold engine.

    Args:
        limit: The limit of the engine.
        gateways: Number of known gateways.
    """
    wanted = min(ceil(limit.rate * COLD_SENDERS_PER_RATE), floor(limit.bound))
    return max(1, min(gateways, wanted))


def find_min_interval(limit: ColdLimit, senders: int) -> float:
    """Return the shortest interval between two requests of a gateway, in seconds."""
    fits_twice = 2 * senders <= limit.bound
    return MIN_INTERVAL_SECONDS if fits_twice else LONG_INTERVAL_SECONDS
