"""Limits that engines name: how many requests a second they take from all gateways.

Load pattern: engines in need name one or two requests a second, while tens a second
come to tens of gateways. A burst of one from each gateway would already be too much. So
few gateways send to such an engine, the nearest first, and as many as the limit has
room for; each keeps an even pace, and the others leave the engine out. Whoever hears
that the limit has changed tells all. Where that gets lost, each gateway finds out at a
pace at which all of them together stay within the limit.
"""

from collections.abc import Collection, Iterable, Sequence
from math import ceil, inf

from msgspec import Struct

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Seconds, TargetId
from ridgecourse.core.latest_lives import LatestLives
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.site import Site

SENDERS_PER_RATE = 1.5
"""Gateways that send to an engine, for each request a second that it takes: each sends
about once a second, so that the end of the limit is soon noticed."""
CATCH_UP_SECONDS = 0.25
"""How late a send may be for the next one to come as if it were not. Requests do not
come just when a gateway's turn does; without, an engine gets 0.8 to 0.9 of its limit,
and 0.9 to 1.0 with it."""
TRICKLE_PER_SECOND = 0.25
"""What an engine gets that names less, zero included: only an answer tells that it
takes more by now."""
REMEMBERED_SECONDS = 12.0
"""Without news for so long a gateway no longer counts on the senders to tell of the
end: three requests of a trickle."""
SHARE_SECONDS = 0.5
"""How long a share is used before it is worked out anew, as gateways come and go."""


class LimitNews(Struct, frozen=True, array_like=True):
    """What a gateway heard of one engine's limit.

    Attributes:
        life: The engine.
        rate: Requests a second; None for no limit.
        age: Seconds since it was heard.
    """

    life: EngineLife
    rate: float | None
    age: float


class LimitState(Struct):
    """The limit of one life of an engine, and this gateway's share of it.

    Attributes:
        rate: Requests a second; None for no limit.
        heard_at: When any gateway heard of it.
        told_at: When others were last told of it by this one.
        next_at: When this gateway may send next.
        interval: Between two of its sends; infinite for no sends.
        shared_at: When that was worked out.
    """

    rate: float | None = None
    heard_at: Seconds = Seconds(-inf)
    told_at: Seconds = Seconds(-inf)
    next_at: Seconds = Seconds(-inf)
    interval: float = inf
    shared_at: Seconds = Seconds(-inf)


class EngineLimits:
    """The limits that one gateway knows.

    Attributes:
        site: Tells regions.
        me: This gateway.
        states: By engine.
    """

    def __init__(self, site: Site, me: Peer) -> None:
        self.site = site
        self.me = me
        self.states: LatestLives[LimitState] = LatestLives(lambda life: LimitState())

    def hear(self, life: EngineLife, rate: float | None, heard_at: Seconds) -> bool:
        """Take in what an answer or another gateway tells; tell whether it is a change.

        Args:
            life: The engine.
            rate: Requests a second; None for no limit.
            heard_at: When it was heard, here or elsewhere.
        """
        if life.is_before(self.states.latest(life)):
            return False
        state = self.states.of(life)
        if heard_at <= state.heard_at:
            return False
        state.heard_at = heard_at
        changed = state.rate != rate
        state.rate = rate
        if changed:
            state.interval, state.shared_at = inf, Seconds(-inf)
        return changed

    def limited(self, life: EngineLife) -> bool:
        """Tell whether an engine names a limit."""
        return (
            life.target in self.states.lives and self.states.of(life).rate is not None
        )

    def wait(
        self,
        life: EngineLife,
        domain: DomainName,
        gateways: Collection[Peer],
        now: Seconds,
    ) -> float:
        """Return the seconds until this gateway may send to an engine; may be infinite.

        Args:
            life: The engine.
            domain: Where it stands.
            gateways: The others that are known.
            now: The present time.
        """
        if not self.limited(life):
            return 0.0
        state = self.states.of(life)
        if now - state.shared_at >= SHARE_SECONDS:
            self._share(state, life.target, domain, gateways, now)
        return max(0.0, state.next_at - now) if state.interval < inf else inf

    def take(self, life: EngineLife, now: Seconds) -> None:
        """Note that a request is sent to an engine, now or once it may be."""
        if self.limited(life):
            state = self.states.of(life)
            begun = max(state.next_at, now - CATCH_UP_SECONDS)
            state.next_at = Seconds(begun + state.interval)

    def _share(
        self,
        state: LimitState,
        target: TargetId,
        domain: DomainName,
        gateways: Collection[Peer],
        now: Seconds,
    ) -> None:
        rate = max(state.rate or 0.0, TRICKLE_PER_SECOND)
        members = {peer.name: peer for peer in [*gateways, self.me]}
        count = len(members)
        if now - state.heard_at <= REMEMBERED_SECONDS:
            count = min(count, ceil(rate * SENDERS_PER_RATE))
        ranked = self.rank(target, domain, members.values())
        turn = [peer.name for peer in ranked].index(self.me.name)
        interval = count / rate if turn < count else inf
        if state.interval == inf and interval < inf:
            # All learn of it at about the same time, and take turns.
            first = now + interval * (turn + 1) / count
            state.next_at = Seconds(max(state.next_at, first))
        state.interval, state.shared_at = interval, now

    def rank(
        self, target: TargetId, domain: DomainName, gateways: Iterable[Peer]
    ) -> Sequence[Peer]:
        """Return who sends to an engine, those that are near it first."""
        by_name = {str(peer.name): peer for peer in gateways}
        placed = [by_name[name] for name in rendezvous_rank(target, by_name)]
        region = self.site.region(domain)
        return sorted(
            placed,
            key=lambda peer: (
                peer.domain != domain,
                self.site.region(peer.domain) != region,
            ),
        )

    # The exchange with other gateways.

    def due(self, now: Seconds, span: float) -> list[LimitNews]:
        """Return the limits that others were not told for so long.

        Those that this gateway sends to: it hears of them first.
        """
        lives = self.states.lives.values()
        return [
            self.tell(life, now)
            for life in lives
            if self.limited(life)
            and self.states.of(life).interval < inf
            and now - self.states.of(life).told_at >= span
        ]

    def tell(self, life: EngineLife, now: Seconds) -> LimitNews:
        """Return what others are told of an engine, from now on known to them."""
        state = self.states.of(life)
        state.told_at = now
        return LimitNews(life, state.rate, round(now - state.heard_at, 3))
