"""Distribution of engine loads by a few gateways of each failure domain.

Where many gateways watch a loader, the loader reports to the distributors of its own
domain only: two gateways that rank first there. The first distributor sends the loads
of its domain to the gateways of the domain and to the distributors of the other
domains, which pass them on. The second distributor holds the same loads and sends those
that the first has not sent in time. So a loader sends two datagrams for each report,
and a gateway receives a bounded number of datagrams for all loaders together.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import Enum

from msgspec import Struct

from ridgecourse.core.engine_incarnation import starts_before
from ridgecourse.core.engine_load import FRESH_SECONDS, EngineStatus
from ridgecourse.core.hubs import Peer, rank_gateways
from ridgecourse.core.ids import DomainName, Seconds, TargetId

DIRECT_WATCHERS = 24
"""Number of watching gateways up to which a loader reports to each of them itself."""
DISTRIBUTORS_PER_DOMAIN = 2
"""Number of gateways of a domain that loaders report to."""
DISTRIBUTION_KEY = "loads"
"""Key of the ranking. It is fixed, so that the distributors change only if gateways
come or go."""
DOMAIN_INTERVAL_SECONDS = 0.05
"""Time between two messages within a domain: the interval at which a loaded engine is
polled."""
ELSEWHERE_INTERVAL_SECONDS = 0.1
"""Time between two messages to another domain, where bandwidth is expensive."""
KEEPALIVE_SECONDS = 0.1
"""Time after which the first distributor sends an empty message to those that may take
over, so that they distinguish it from a failed one while no load changes."""
TAKEOVER_SECONDS = 0.25
"""Time without a message after which the next distributor in rank sends; 5 intervals,
so that a delay of the event loop or two lost messages do not count as a failure."""
REPEAT_SECONDS = 0.4
"""Time after which a loader repeats an unchanged load to the distributors. An idle
engine is polled at this interval."""


class LoadDestination(Enum):
    """Where a distributor sends a load."""

    DOMAIN = "domain"
    ELSEWHERE = "elsewhere"


class DistributedLoad(Struct, frozen=True, array_like=True):
    """A load as a distributor sends it.

    Attributes:
        target: Identity of the engine.
        number: Number of the loader's report.
        age_ms: Milliseconds since the loader sent the report, as far as is known: the
            time for which each process held the load, without that on the links.
        status: Reported load, with the incarnation of the engine.
    """

    target: TargetId
    number: int
    age_ms: int
    status: EngineStatus

    def reported_at(self, received_at: Seconds) -> Seconds:
        """Return when the loader sent the report, on the local clock.

        Args:
            received_at: When the load arrived here.
        """
        return Seconds(received_at - self.age_ms / 1000.0)


def rank_distributors(
    gateways: Iterable[Peer],
) -> Mapping[DomainName, Sequence[Peer]]:
    """Return all gateways of each domain in the order in which they distribute loads.

    Args:
        gateways: The known gateways.
    """
    return rank_gateways(DISTRIBUTION_KEY, gateways)


def choose_receivers(
    domain: DomainName, gateways: Collection[Peer]
) -> tuple[Sequence[Peer], bool]:
    """Choose the gateways that a loader reports to.

    Args:
        domain: Failure domain of the loader.
        gateways: The gateways that watch the loader.

    Returns:
        The distributors of the domain, and whether they are in the domain. If no
        gateway of the domain watches, the distributors of all other domains.
    """
    ranked = rank_distributors(gateways)
    if domain in ranked:
        return ranked[domain][:DISTRIBUTORS_PER_DOMAIN], True
    return [
        peer for peers in ranked.values() for peer in peers[:DISTRIBUTORS_PER_DOMAIN]
    ], False


class HeldLoad(Struct):
    """The newest load of an engine at a distributor.

    Attributes:
        number: Number of the loader's report.
        reported_at: When the loader sent the report, on the local clock.
        status: Reported load.
    """

    number: int
    reported_at: Seconds
    status: EngineStatus

    def is_replaced_by(self, other: "HeldLoad", now: Seconds) -> bool:
        """Check whether another load of the same engine is newer.

        Args:
            other: The other load.
            now: Current time.
        """
        if starts_before(other.status.started, self.status.started):
            return False
        if now - self.reported_at > FRESH_SECONDS:
            return other.reported_at > self.reported_at
        return other.number > self.number


class LoadDistribution:
    """The loads that one distributor holds, and which of them it has to send.

    Attributes:
        loads: Newest load of each engine.
        due: Since when each load is due, by destination. A load is due until this or
            another distributor of the domain has sent it.
        heard_at: When the last message of a distributor that ranks before this one
            arrived.
    """

    def __init__(self, now: Seconds) -> None:
        self.loads: dict[TargetId, HeldLoad] = {}
        self.due: dict[LoadDestination, dict[TargetId, Seconds]] = {
            destination: {} for destination in LoadDestination
        }
        self.heard_at = now

    def record_load(
        self,
        target: TargetId,
        load: HeldLoad,
        destinations: Iterable[LoadDestination],
        now: Seconds,
    ) -> None:
        """Record a load that is to be sent, unless a newer one is held.

        Args:
            target: The engine.
            load: The load.
            destinations: Where the load is to be sent.
            now: Current time.
        """
        if self._hold(target, load, now):
            for destination in destinations:
                self.due[destination].setdefault(target, now)

    def record_sent(self, target: TargetId, load: HeldLoad, now: Seconds) -> None:
        """Record a load that another distributor has sent to the domain.

        A distributor that sends a load within the domain also sends it elsewhere.
        """
        self._hold(target, load, now)
        is_newest = load.number >= self.loads[target].number
        for due in self.due.values():
            if target in due and is_newest:
                del due[target]
            elif target in due:
                due[target] = now

    def _hold(self, target: TargetId, load: HeldLoad, now: Seconds) -> bool:
        held = self.loads.get(target)
        if held is not None and not held.is_replaced_by(load, now):
            return False
        self.loads[target] = load
        return True

    def has_taken_over(self, rank: int, now: Seconds) -> bool:
        """Check whether the process sends in place of a distributor that is silent.

        Args:
            rank: Rank of the process among the gateways of its domain; 0 for the first.
            now: Current time.
        """
        return rank > 0 and now - self.heard_at > TAKEOVER_SECONDS

    def take_due(
        self, destination: LoadDestination, sends_all: bool, now: Seconds
    ) -> list[DistributedLoad]:
        """Return the loads to send now; they are no longer due.

        Args:
            destination: Where they are sent.
            sends_all: Whether all due loads are sent. Otherwise only those are that
                another distributor should have sent, but has not in time: it may be
                cut off from the loader.
            now: Current time.
        """
        due = self.due[destination]
        latest = now if sends_all else now - TAKEOVER_SECONDS
        taken = [target for target, since in due.items() if since <= latest]
        for target in taken:
            del due[target]
        return [
            self._make_message(target, self.loads[target], now)
            for target in taken
            if now - self.loads[target].reported_at <= FRESH_SECONDS
        ]

    def _make_message(
        self, target: TargetId, load: HeldLoad, now: Seconds
    ) -> DistributedLoad:
        # Rounded up: a hop shorter than 1 ms must not make a load younger.
        age_ms = int((now - load.reported_at) * 1000.0) + 1
        return DistributedLoad(target, load.number, max(0, age_ms), load.status)

    def forget_outdated(self, now: Seconds) -> None:
        """Drop the loads that are not fresh."""
        for target, load in list(self.loads.items()):
            if now - load.reported_at > FRESH_SECONDS:
                del self.loads[target]
                for due in self.due.values():
                    due.pop(target, None)
