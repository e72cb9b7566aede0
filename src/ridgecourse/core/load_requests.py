"""Which loaders a gateway asks to report their engine's load directly.

Loads that arrive through distributors stop if all distributors of a domain have failed,
are slow, or do not know a gateway. The gateway then asks the loader beside each engine
to report to it for some time.
"""

from collections.abc import Container, Iterator, Mapping

from ridgecourse.core.engine_load import SILENCE_EXPIRY_SECONDS
from ridgecourse.core.ids import Seconds, TargetId

MAX_LOAD_AGE_SECONDS = 0.8
"""Age of the newest distributed load of an engine from which its loader is asked. In
regular operation it stays below 0.65 s: a loader repeats an unchanged load after 0.4 s,
its distributor holds it for at most 0.1 s and that of another domain for 0.05 s, and
each of the 3 receivers reads its datagrams every 0.02 s."""
REQUEST_INTERVAL_SECONDS = 1.0
"""Shortest time between two requests for the load of one engine."""
DIRECT_REPORT_SECONDS = 2.0
"""Time for which a loader reports directly after a request. The next request renews it
before it ends."""


class LoadArrivals:
    """When distributed loads of each engine arrived, and when loaders were asked.

    Attributes:
        listed_at: When each engine was first seen.
        arrived_at: When the loader of each engine sent the newest distributed load.
        requested_at: When the loader of each engine was last asked.
    """

    def __init__(self) -> None:
        self.listed_at: dict[TargetId, Seconds] = {}
        self.arrived_at: dict[TargetId, Seconds] = {}
        self.requested_at: dict[TargetId, Seconds] = {}

    def record_arrival(self, target: TargetId, reported_at: Seconds) -> None:
        """Record a distributed load.

        Args:
            target: The engine.
            reported_at: When its loader sent the load, on the local clock.
        """
        self.arrived_at[target] = reported_at

    def take_due(
        self, reported_at: Mapping[TargetId, Seconds], now: Seconds
    ) -> Iterator[TargetId]:
        """Yield the engines whose loaders are to be asked now; record the requests.

        Args:
            reported_at: For each listed engine, the time of its newest load, which may
                have arrived by any way; 0 for never.
            now: Current time.
        """
        for target, any_report_at in reported_at.items():
            since = max(
                self.listed_at.setdefault(target, now), self.arrived_at.get(target, 0.0)
            )
            if now - since <= MAX_LOAD_AGE_SECONDS:
                continue
            # A loader that is silent in all ways has failed or has no engine.
            if now - max(since, any_report_at) > SILENCE_EXPIRY_SECONDS:
                continue
            if now - self.requested_at.get(target, 0.0) >= REQUEST_INTERVAL_SECONDS:
                self.requested_at[target] = now
                yield target

    def forget_unlisted(self, listed: Container[TargetId]) -> None:
        """Drop the engines that are not listed."""
        for times in (self.listed_at, self.arrived_at, self.requested_at):
            for target in [target for target in times if target not in listed]:
                del times[target]
