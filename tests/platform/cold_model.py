"""Model of gateways that send to one cold engine, in virtual time.

Every request may go to the engine, as if all engines of its service were cold and chose
this one, which is the most that it can get.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import floor
from random import Random
from typing import Any

from msgspec import convert
from test_engine_limits import make_peers

from ridgecourse.core.cold_turns import ColdLimit, Turn
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import EngineRateLimits
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, EngineStart, Seconds, ServiceName, TargetId
from ridgecourse.core.passed_turns import PassedTurns, TurnDemand
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse_standins.platform.sample_settings import make_settings

MAX_HOLD_SECONDS = 0.25
"""Longest time for which a request waits for its turn."""
LONG_AGO = -1000.0
"""Start of a gateway that has run for long."""
MAX_TRANSIT_SECONDS = 0.02
"""Longest time that a message between gateways takes."""
MAX_ASKED = 6
ENGINE_DOMAIN = DomainName("a")

Known = Callable[[Peer, float], Sequence[Peer]]
"""Returns the other gateways that a gateway knows at a time."""


def make_limit(rate: float) -> ColdLimit:
    """Return the limit with the usual bound: 1.5 times the rate and 5 requests."""
    return ColdLimit(rate, floor(rate * 1.5 + 5))


def know_all(peers: Sequence[Peer]) -> Known:
    """Return that each gateway knows all others."""
    others = {peer.name: [p for p in peers if p.name != peer.name] for peer in peers}
    return lambda peer, now: others[peer.name]


def halves_know_half(peers: Sequence[Peer]) -> Known:
    """Return that half of the gateways know only each other; the others know all."""
    all_known = know_all(peers)
    half = {peer.name for peer in peers[1::2]}

    def known(peer: Peer, now: float) -> Sequence[Peer]:
        others = all_known(peer, now)
        if peer.name not in half:
            return others
        return [other for other in others if other.name in half]

    return known


def half_know_random_half(peers: Sequence[Peer], random: Random) -> Known:
    """Return that half of the gateways know a random half of the others each."""
    all_known = know_all(peers)
    views = {
        peer.name: [other for other in all_known(peer, 0.0) if random.random() < 0.5]
        for peer in peers[1::2]
    }
    return lambda peer, now: views.get(peer.name) or all_known(peer, now)


def even_load(total: float, gateways: int) -> Callable[[int], float]:
    """Return the requests per second of each gateway if all have the same number."""
    return lambda index: total / gateways


def uneven_load(total: float, gateways: int, random: Random) -> Callable[[int], float]:
    """Return the same if 20 % of the gateways have 80 % of the requests."""
    busy = set(random.sample(range(gateways), max(1, gateways // 5)))
    idle_count = max(1, gateways - len(busy))
    return lambda index: (
        0.8 * total / len(busy) if index in busy else (0.2 * total / idle_count)
    )


@dataclass
class GatewayModel:
    """One gateway with its clients.

    Attributes:
        local: The gateway.
        limits: What it knows of the engine.
        per_second: Requests that arrive per second.
        demand: Decides when the gateway asks for turns.
    """

    local: Peer
    limits: EngineRateLimits
    per_second: float
    demand: TurnDemand = field(default_factory=TurnDemand)


@dataclass
class ColdEngineModel:
    """A cold engine and the gateways that send to it.

    Attributes:
        limit: The limit of the engine.
        random: Chooses the times at which requests arrive.
        known: Returns the gateways that each gateway knows.
        target: Identity of the engine, on which the ranks of the gateways depend.
        max_lateness: Largest time by which a request is late for its turn, in seconds.
        passes_turns: Whether gateways pass on the turns that they do not use.
        passed_count: Number of turns that were passed on.
        gateways: The gateways.
        sends: Times at which requests were sent to the engine, in order.
        pending: Heap of the planned actions, by their times.
        numbers: Order of planned actions at the same time.
    """

    limit: ColdLimit
    random: Random
    known: Known
    target: str = "i-1"
    max_lateness: float = 0.0
    passes_turns: bool = True
    passed_count: int = 0
    gateways: list[GatewayModel] = field(default_factory=list)
    sends: list[float] = field(default_factory=list)
    pending: list[Any] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)

    @property
    def incarnation(self) -> EngineIncarnation:
        """The cold incarnation of the engine."""
        return EngineIncarnation(TargetId(self.target), EngineStart(1))

    def add_gateways(
        self,
        peers: Sequence[Peer],
        per_second: Callable[[int], float],
        started_at: Callable[[int], float] = lambda index: LONG_AGO,
    ) -> None:
        """Add a gateway for each peer."""
        site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
        for index, peer in enumerate(peers):
            limits = EngineRateLimits(site, peer)
            limits.gateways.started_at = Seconds(started_at(index))
            self.gateways.append(GatewayModel(peer, limits, per_second(index)))

    def run(self, seconds: float) -> None:
        """Let requests arrive for a time, from the moment the engine is cold."""
        for gateway in self.gateways:
            gateway.limits.record_cold(self.incarnation, self.limit)
            self._plan(self._gap(gateway), partial(self._arrive, gateway))
        while self.pending[0][0] < seconds:
            time, _, action = heappop(self.pending)
            action(Seconds(time))

    def _plan(self, time: float, action: Callable[[Seconds], None]) -> None:
        heappush(self.pending, (time, next(self.numbers), action))

    def _arrive(self, gateway: GatewayModel, now: Seconds) -> None:
        """Let a request arrive: it is sent at the gateway's turn, or refused."""
        self._plan(now + self._gap(gateway), partial(self._arrive, gateway))
        hold = self._wait(gateway, now)
        if hold > MAX_HOLD_SECONDS:
            self._refuse(gateway, now)
            return
        turn = gateway.limits.record_send(self.incarnation, now)
        sent_at = now + hold + self.max_lateness * self.random.random()
        self._plan(sent_at, partial(self._write, gateway, turn))

    def _write(self, gateway: GatewayModel, turn: Turn | None, now: Seconds) -> None:
        if gateway.limits.confirm_send(self.incarnation, turn, now):
            self.sends.append(now)

    def _wait(self, gateway: GatewayModel, now: Seconds) -> float:
        known = self.known(gateway.local, now)
        return gateway.limits.wait(self.incarnation, ENGINE_DOMAIN, known, now)

    # Turns that are passed on.

    def _refuse(self, gateway: GatewayModel, now: Seconds) -> None:
        """Ask other gateways for their turns if many requests are refused."""
        if not self.passes_turns:
            return
        if not gateway.demand.record_refusal(ServiceName("llm"), now):
            return
        known = self.known(gateway.local, now)
        passed_turns = PassedTurns(gateway.limits)
        senders = passed_turns.senders(self.incarnation, ENGINE_DOMAIN, known)
        for peer in self.random.sample(senders, min(MAX_ASKED, len(senders))):
            other = next(g for g in self.gateways if g.local.name == peer.name)
            self._plan(now + self._transit(), partial(self._pass, other, gateway))

    def _pass(self, gateway: GatewayModel, other: GatewayModel, now: Seconds) -> None:
        self._wait(gateway, now)
        if PassedTurns(gateway.limits).pass_turn(self.incarnation, now):
            self.passed_count += 1
            grants = PassedTurns(other.limits)
            self._plan(
                now + self._transit(), partial(grants.record_grant, self.incarnation)
            )

    def _transit(self) -> float:
        return MAX_TRANSIT_SECONDS * self.random.random()

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


__all__ = ["make_peers"]
