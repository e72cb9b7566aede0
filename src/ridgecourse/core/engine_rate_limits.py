"""Rate limits that engines advertise: requests per second accepted from all gateways.

An engine in trouble advertises a limit of 1 or 2 requests per second, while tens of
requests per second arrive at tens of gateways. A burst of 1 request from each gateway
would already exceed the limit. So only a few gateways send to such an engine: as many
as the limit allows, the nearest first. Each of them sends at an even rate, and the
other gateways skip the engine. A gateway that learns of a changed limit announces the
limit to all others. If the announcement is lost, each gateway probes the engine at a
rate at which all gateways together stay within the limit.

A cold engine has a limit that all gateways know without an announcement; its turns are
computed in ``core/cold_turns.py``. An engine that is cold and advertises a limit has
the lower of the two.
"""

from collections.abc import Collection, Iterable, Sequence
from math import ceil, inf

from msgspec import Struct, field

from ridgecourse.core.cold_turns import (
    COLD_CATCH_UP_SECONDS,
    NO_SHARE,
    ColdLimit,
    RecentGateways,
    Share,
    Turn,
    compute_cold_share,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation, LatestIncarnations
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Seconds, TargetId
from ridgecourse.core.rendezvous import rendezvous_fraction, rendezvous_rank
from ridgecourse.core.site import Site

SENDERS_PER_RATE = 1.5
"""Number of gateways that send to an engine for each request per second of its limit.
Each gateway then sends about once per second, so that the end of the limit is detected
soon."""
CATCH_UP_SECONDS = 0.25
"""How late a request may be sent without delaying the next one. Requests do not arrive
exactly at the gateway's turn: without this allowance an engine receives 0.8 to 0.9 of
its limit, with the allowance 0.9 to 1.0."""
MIN_RATE_PER_SECOND = 0.25
"""Lower bound of the rate at which all gateways together send to an engine, also if its
limit is lower or 0. Only an answer shows that the engine accepts more."""
LIMIT_VALID_SECONDS = 12.0
"""Age of the limit above which a gateway does not rely on the sending gateways to
announce the end of the limit: the time of 3 requests at the lowest rate."""
SHARE_REFRESH_SECONDS = 0.5
"""Time after which a gateway's share of a limit is computed again, since the set of
gateways changes."""


class LimitAnnouncement(Struct, frozen=True, array_like=True):
    """The limit of one engine as a gateway announces it to other gateways.

    Attributes:
        incarnation: Incarnation of the engine.
        rate: Requests per second; None for no limit.
        age: Seconds since a gateway received the limit from the engine.
    """

    incarnation: EngineIncarnation
    rate: float | None
    age: float


class LimitState(Struct):
    """The limit of one incarnation of an engine, and this gateway's share of the limit.

    Attributes:
        rate: Advertised requests per second; None for no limit.
        cold: Limit because the engine is cold; None if it is not.
        received_at: Time at which any gateway received the limit from the engine.
        announced_at: Time at which this gateway last announced the limit to others.
        next_send_at: Time at which this gateway may send the next request.
        interval: Seconds between two requests of this gateway; infinite if this
            gateway does not send to the engine.
        share_computed_at: Time at which the interval was computed.
        sent_at: Time at which this gateway last sent a request while the engine was
            cold.
        grants: Turns that other gateways have passed to this one, by their ends.
    """

    rate: float | None = None
    cold: ColdLimit | None = None
    received_at: Seconds = Seconds(-inf)
    announced_at: Seconds = Seconds(-inf)
    next_send_at: Seconds = Seconds(-inf)
    interval: float = inf
    share_computed_at: Seconds = Seconds(-inf)
    sent_at: Seconds = Seconds(-inf)
    grants: list[Seconds] = field(default_factory=list)

    def has_grant(self, now: Seconds) -> bool:
        """Check whether another gateway has passed a turn that has not ended."""
        self.grants = [until for until in self.grants if now <= until]
        return self.cold is not None and bool(self.grants)

    @property
    def is_limited(self) -> bool:
        """Whether the engine advertises a limit or is cold."""
        return self.rate is not None or self.cold is not None

    @property
    def catch_up(self) -> float:
        """Seconds by which a request may be late without delaying the next one."""
        return COLD_CATCH_UP_SECONDS if self.cold else CATCH_UP_SECONDS

    def use_turn(self, sent_at: Seconds) -> bool:
        """Record a request to a cold engine; return whether its time allows it."""
        earliest = self.sent_at + self.interval - self.catch_up
        if self.interval == inf or sent_at < earliest:
            return False
        self.sent_at = sent_at
        next_send_at = sent_at + self.interval - self.catch_up
        self.next_send_at = Seconds(max(self.next_send_at, next_send_at))
        return True

    def forget_share(self) -> None:
        """Drop the share of a limit that has changed."""
        self.interval, self.share_computed_at = inf, Seconds(-inf)


class EngineRateLimits:
    """The rate limits of engines that one gateway knows.

    Attributes:
        site: Topology of failure domains and regions.
        local: This gateway.
        states: Limit of the latest incarnation of each engine.
        gateways: The other gateways that were known recently.
    """

    def __init__(self, site: Site, local: Peer) -> None:
        self.site = site
        self.local = local
        self.states: LatestIncarnations[LimitState] = LatestIncarnations(
            lambda incarnation: LimitState()
        )
        self.gateways = RecentGateways()

    def record_limit(
        self, incarnation: EngineIncarnation, rate: float | None, received_at: Seconds
    ) -> bool:
        """Record a limit from an answer or from another gateway.

        Args:
            incarnation: Incarnation of the engine.
            rate: Requests per second; None for no limit.
            received_at: Time at which this or another gateway received the limit from
                the engine.

        Returns:
            Whether the limit has changed.
        """
        if incarnation.precedes(self.states.latest(incarnation)):
            return False
        state = self.states.value_of(incarnation)
        if received_at <= state.received_at:
            return False
        state.received_at = received_at
        changed = state.rate != rate
        state.rate = rate
        if changed:
            state.forget_share()
        return changed

    def record_cold(
        self, incarnation: EngineIncarnation, limit: ColdLimit | None
    ) -> None:
        """Record the limit of an engine that is cold.

        Args:
            incarnation: Incarnation of the engine.
            limit: Its limit; None if it is not cold.
        """
        if limit is None and incarnation.target not in self.states.incarnations:
            return
        if incarnation.precedes(self.states.latest(incarnation)):
            return
        state = self.states.value_of(incarnation)
        if state.cold != limit:
            state.cold = limit
            state.forget_share()

    def state(self, incarnation: EngineIncarnation) -> LimitState | None:
        """Return the limit of an engine; None if it never had one."""
        if incarnation.target not in self.states.incarnations:
            return None
        return self.states.value_of(incarnation)

    def is_limited(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine advertises a limit or is cold."""
        state = self.state(incarnation)
        return state is not None and state.is_limited

    def is_cold(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine is limited because it is cold."""
        state = self.state(incarnation)
        return state is not None and state.cold is not None

    def is_advertised(self, incarnation: EngineIncarnation) -> bool:
        """Check whether an engine advertises a limit."""
        state = self.state(incarnation)
        return state is not None and state.rate is not None

    def wait(
        self,
        incarnation: EngineIncarnation,
        domain: DomainName,
        gateways: Collection[Peer],
        now: Seconds,
    ) -> float:
        """Return the seconds until this gateway may send to an engine; may be infinite.

        Args:
            incarnation: Incarnation of the engine.
            domain: Failure domain of the engine.
            gateways: Other known gateways.
            now: Current time.
        """
        if not self.is_limited(incarnation):
            return 0.0
        state = self.states.value_of(incarnation)
        if now - state.share_computed_at >= SHARE_REFRESH_SECONDS:
            self._compute_share(state, incarnation.target, domain, gateways, now)
        if state.grants and state.has_grant(now):
            return 0.0
        return max(0.0, state.next_send_at - now) if state.interval < inf else inf

    def record_send(self, incarnation: EngineIncarnation, now: Seconds) -> Turn | None:
        """Record that a request is sent to an engine, at once or at the gateway's turn.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.

        Returns:
            The turn of the request; None if the engine is not limited.
        """
        state = self.state(incarnation)
        if state is None or not state.is_limited:
            return None
        has_own_turn = state.interval < inf and now >= state.next_send_at
        if not has_own_turn and state.has_grant(now):
            return Turn(state.grants.pop(0))
        turn_at = max(state.next_send_at, now - state.catch_up)
        state.next_send_at = Seconds(turn_at + state.interval)
        return Turn()

    def confirm_send(
        self, incarnation: EngineIncarnation, turn: Turn | None, now: Seconds
    ) -> bool:
        """Check a cold engine's turn just before a request is written to the engine.

        A request may be late for its turn because its connection or its gateway was
        slow. It may then come too soon before the next turn, or too soon after another
        late request, or the engine may have become cold since it was chosen.

        Args:
            incarnation: Incarnation of the engine.
            turn: What ``record_send`` returned for the request.
            now: Current time.

        Returns:
            Whether the request may be written. The time is then recorded.
        """
        state = self.state(incarnation)
        if state is None or state.cold is None:
            return True
        if turn is not None and turn.until is not None:
            return now <= turn.until
        if turn is None and now < state.next_send_at:
            return False
        return state.use_turn(now)

    def _compute_share(
        self,
        state: LimitState,
        target: TargetId,
        domain: DomainName,
        gateways: Collection[Peer],
        now: Seconds,
    ) -> None:
        others = self.gateways.observe(gateways, now) if state.cold else gateways
        members = {peer.name: peer for peer in [*others, self.local]}
        ranked = self.rank(target, domain, members.values())
        position = [peer.name for peer in ranked].index(self.local.name)
        if state.cold is None:
            share = self._advertised_share(state, len(members), position, now)
        else:
            share = self._cold_share(state, target, len(members) - 1, position, now)
        if state.interval == inf and share.interval < inf:
            # All gateways receive the limit at about the same time: the first sends
            # are spread over one interval.
            first_turn_at = now + share.first_delay
            state.next_send_at = Seconds(max(state.next_send_at, first_turn_at))
        state.interval, state.share_computed_at = share.interval, now

    def _advertised_share(
        self, state: LimitState, gateways: int, position: int, now: Seconds
    ) -> Share:
        """Return this gateway's share of a limit that an engine advertises."""
        rate = max(state.rate or 0.0, MIN_RATE_PER_SECOND)
        sender_count = gateways
        if now - state.received_at <= LIMIT_VALID_SECONDS:
            sender_count = min(sender_count, ceil(rate * SENDERS_PER_RATE))
        if position >= sender_count:
            return NO_SHARE
        interval = sender_count / rate
        return Share(interval, interval * (position + 1) / sender_count)

    def _cold_share(
        self,
        state: LimitState,
        target: TargetId,
        others: int,
        position: int,
        now: Seconds,
    ) -> Share:
        """Return this gateway's share of the limit of a cold engine."""
        assert state.cold is not None
        rate = state.cold.rate
        if state.rate is not None:
            rate = min(rate, state.rate)
        limit = ColdLimit(max(rate, MIN_RATE_PER_SECOND), state.cold.bound)
        phase = rendezvous_fraction(target, str(self.local.name))
        age = self.gateways.age(now)
        return compute_cold_share(limit, others, position, phase, age)

    def rank(
        self, target: TargetId, domain: DomainName, gateways: Iterable[Peer]
    ) -> Sequence[Peer]:
        """Return the gateways by their precedence as senders to an engine.

        Gateways in the engine's domain come first, then those in its region. Among
        these, the order is the rendezvous order of the engine.
        """
        by_name = {str(peer.name): peer for peer in gateways}
        ranked = [by_name[name] for name in rendezvous_rank(target, by_name)]
        region = self.site.region(domain)
        return sorted(
            ranked,
            key=lambda peer: (
                peer.domain != domain,
                self.site.region(peer.domain) != region,
            ),
        )

    # Exchange with other gateways.

    def due_announcements(
        self, now: Seconds, interval: float
    ) -> list[LimitAnnouncement]:
        """Return the limits that this gateway has to announce again.

        Only limits of engines to which this gateway sends are announced, since it
        receives changes of these limits first.

        Args:
            now: Current time.
            interval: Seconds between two announcements of a limit.
        """
        incarnations = self.states.incarnations.values()
        return [
            self.announce(incarnation, now)
            for incarnation in incarnations
            if self.is_advertised(incarnation)
            and self.states.value_of(incarnation).interval < inf
            and now - self.states.value_of(incarnation).announced_at >= interval
        ]

    def announce(
        self, incarnation: EngineIncarnation, now: Seconds
    ) -> LimitAnnouncement:
        """Return the announcement of an engine's limit and record when it was made.

        Args:
            incarnation: Incarnation of the engine.
            now: Current time.
        """
        state = self.states.value_of(incarnation)
        state.announced_at = now
        return LimitAnnouncement(
            incarnation, state.rate, round(now - state.received_at, 3)
        )
