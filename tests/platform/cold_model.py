"""Model of gateways that send to one cold engine, in virtual time."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from msgspec import convert
from test_engine_limits import make_peers

from ridgecourse.core.cold_turns import ColdLimit
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import EngineRateLimits
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, EngineStart, Seconds, TargetId
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse_standins.platform.sample_settings import make_settings

MAX_HOLD_SECONDS = 0.25
"""Longest time for which a request waits for its turn."""
LONG_RUNNING_SECONDS = -1000.0
"""Start of a gateway that has run for long."""


@dataclass
class GatewayModel:
    """One gateway with its clients.

    Attributes:
        local: The gateway.
        limits: What it knows of the engine.
        known: Returns the other gateways that it knows at a time.
        per_second: Requests that arrive per second.
        lateness: Returns the seconds by which a request is late for its turn.
    """

    local: Peer
    limits: EngineRateLimits
    known: Callable[[float], Sequence[Peer]]
    per_second: float
    lateness: Callable[[], float] = lambda: 0.0


@dataclass
class ColdEngineModel:
    """A cold engine and the gateways that send to it.

    Attributes:
        limit: The limit of the engine.
        random: Chooses the times at which requests arrive.
        gateways: The gateways.
        sends: Times at which requests were sent to the engine, in order.
    """

    limit: ColdLimit
    random: Random
    target: str = "i-1"
    gateways: list[GatewayModel] = field(default_factory=list)
    sends: list[float] = field(default_factory=list)

    def add_gateways(
        self,
        peers: Sequence[Peer],
        known: Callable[[Peer, float], Sequence[Peer]],
        per_second: Callable[[int], float],
        started_at: Callable[[int], float] = lambda index: LONG_RUNNING_SECONDS,
        lateness: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Add a gateway for each peer."""
        site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
        for index, peer in enumerate(peers):
            limits = EngineRateLimits(site, peer)
            limits.gateways.started_at = Seconds(started_at(index))
            self.gateways.append(
                GatewayModel(
                    peer,
                    limits,
                    lambda now, peer=peer: known(peer, now),
                    per_second(index),
                    lateness,
                )
            )

    def run(self, seconds: float) -> None:
        """Let requests arrive for a time, from the moment the engine is cold."""
        incarnation = EngineIncarnation(TargetId(self.target), EngineStart(1))
        pending: list[tuple[float, int, bool]] = []
        for index, gateway in enumerate(self.gateways):
            gateway.limits.record_cold(incarnation, self.limit)
            if gateway.per_second:
                heappush(pending, (self._gap(gateway), index, True))
        while pending and pending[0][0] < seconds:
            time, index, is_arrival = heappop(pending)
            gateway = self.gateways[index]
            now = Seconds(time)
            if not is_arrival:
                if gateway.limits.confirm_send(incarnation, True, now):
                    self.sends.append(time)
                continue
            heappush(pending, (time + self._gap(gateway), index, True))
            domain = DomainName("a")
            hold = gateway.limits.wait(incarnation, domain, gateway.known(now), now)
            if hold <= MAX_HOLD_SECONDS:
                gateway.limits.record_send(incarnation, now)
                sent_at = time + hold + gateway.lateness()
                heappush(pending, (sent_at, index, False))

    def _gap(self, gateway: GatewayModel) -> float:
        return self.random.expovariate(gateway.per_second)

    def max_in_second(self) -> int:
        """Return the maximum number of requests in any second."""
        most = first = 0
        for last, sent_at in enumerate(self.sends):
            while self.sends[first] <= sent_at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


__all__ = ["ColdEngineModel", "GatewayModel", "make_peers"]
