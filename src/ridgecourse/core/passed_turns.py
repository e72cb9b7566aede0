"""Turns at cold engines that gateways without requests pass to busy ones.

The turns of gateways that have no request are lost otherwise: if 20 % of 40 gateways
have 80 % of the requests, 45 % of a limit of 4 per second is used, and 67 % with passed
turns (means of 8 runs in virtual time). A gateway that refuses requests because engines
are cold asks the gateways that have turns. One that does not use its turn passes it on,
and counts it as used, so that the bound holds as if it had used the turn itself. If a
message is lost, the turn is lost.
"""

from collections import deque
from collections.abc import Collection, Sequence
from math import inf

from ridgecourse.core.cold_turns import count_senders
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import EngineRateLimits, LimitState
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Seconds, ServiceName

UNUSED_SECONDS = 0.3
"""How long a turn must have been unused before it is passed to another gateway."""
GRANT_SECONDS = 0.5
"""How long another gateway may use a turn that is passed to it. A gateway asks for
turns only if it refuses several requests in this time."""
GRANT_TRANSIT_SECONDS = 0.1
"""Part of this time that is left for the message which passes the turn."""
MIN_REFUSALS = 8
REFUSAL_SECONDS = 2.0
"""A gateway asks for turns if it has refused ``MIN_REFUSALS`` requests in this time. A
gateway with fewer requests would use few of the turns. If all of 40 gateways have the
same load, 74 % of a limit of 4 per second are used without passing turns on, 52 % with
a threshold of 2 refusals, and 69 % with 8."""
ASK_INTERVAL_SECONDS = 0.5
"""Shortest time between two times at which a gateway asks for turns of a service."""


class TurnDemand:
    """Decides when a gateway asks others for their turns at cold engines.

    Attributes:
        refused_at: Times of the newest refusals of each service.
        asked_at: When the gateway last asked, for each service.
    """

    def __init__(self) -> None:
        self.refused_at: dict[ServiceName, deque[Seconds]] = {}
        self.asked_at: dict[ServiceName, Seconds] = {}

    def record_refusal(self, service: ServiceName, now: Seconds) -> bool:
        """Record a refusal because engines are cold; return whether to ask for turns.

        Args:
            service: Service of the engines.
            now: Current time.
        """
        times = self.refused_at.setdefault(service, deque(maxlen=MIN_REFUSALS))
        times.append(now)
        is_busy = len(times) == MIN_REFUSALS and now - times[0] <= REFUSAL_SECONDS
        asked_at = self.asked_at.get(service, Seconds(-inf))
        if not is_busy or now - asked_at < ASK_INTERVAL_SECONDS:
            return False
        self.asked_at[service] = now
        return True


class PassedTurns:
    """Passes turns of one gateway to others, and records those passed to it.

    Attributes:
        limits: The limits and turns of the gateway.
    """

    def __init__(self, limits: EngineRateLimits) -> None:
        self.limits = limits

    def pass_turn(self, incarnation: EngineIncarnation, now: Seconds) -> bool:
        """Pass this gateway's turn at a cold engine to another gateway, if unused.

        The other gateway may use the turn for ``GRANT_SECONDS``, so this gateway counts
        it as used at the end of that time.

        Args:
            incarnation: Incarnation of the engine; its share must be up to date.
            now: Current time.

        Returns:
            Whether the turn is passed on.
        """
        state = self._cold_state(incarnation)
        if state is None or now < state.next_send_at + UNUSED_SECONDS:
            return False
        return state.use_turn(Seconds(now + GRANT_SECONDS))

    def record_grant(self, incarnation: EngineIncarnation, now: Seconds) -> None:
        """Record a turn at a cold engine that another gateway has passed to this one.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self._cold_state(incarnation)
        if state is not None:
            state.grants.append(Seconds(now + GRANT_SECONDS - GRANT_TRANSIT_SECONDS))

    def senders(
        self,
        incarnation: EngineIncarnation,
        domain: DomainName,
        gateways: Collection[Peer],
    ) -> Sequence[Peer]:
        """Return the other gateways that send to a cold engine.

        Args:
            incarnation: Incarnation of the engine.
            domain: Failure domain of the engine.
            gateways: Other known gateways.
        """
        state = self._cold_state(incarnation)
        if state is None or state.cold is None:
            return []
        local = self.limits.local
        members = {peer.name: peer for peer in [*gateways, local]}
        ranked = self.limits.rank(incarnation.target, domain, members.values())
        senders = ranked[: count_senders(state.cold, len(members))]
        return [peer for peer in senders if peer.name != local.name]

    def _cold_state(self, incarnation: EngineIncarnation) -> LimitState | None:
        """Return the limit of an incarnation; None if it is not the cold latest one."""
        if self.limits.states.incarnations.get(incarnation.target) != incarnation:
            return None
        state = self.limits.states.value_of(incarnation)
        return state if state.cold is not None else None
