"""The chunk planner: what an agent fetches next, and from whom.

Pure: it is told what peers hold, what arrived and what failed, and answers with
fetches. Sources are other agents of the same failure domain, agents of other
domains for the few that bring chunks in, and the origin for the fewer that draw
from it.
"""

from collections.abc import Iterable, Iterator, Sequence
from random import Random

from ridgecourse.core.exchange_place import ExchangePlace
from ridgecourse.core.fetches import (
    ORIGIN,
    Fetch,
    FetchFailure,
    Member,
    PlanPolicy,
    SourceState,
)
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    RootDigest,
    Seconds,
    TargetName,
)
from ridgecourse.core.rendezvous import rendezvous_score
from ridgecourse.core.slots import chunk_class

LOST_FAILURES = 2
"""Failures in a row after which a source counts as gone."""


class ChunkPlanner:
    """Plans the fetches of one version for one agent.

    Attributes:
        me: This agent.
        root: The version.
        missing: Chunks not yet held.
        in_flight: Fetches in progress, by chunk.
        place: This agent among those that exchange the version.
        seen: Chunks that some agent of the fleet holds, as far as known.
        seen_in_group: The same for the domains that share a copy from the origin.
        seen_in_domain: The same for the own domain.
        sources: The followed agents, and the origin.
    """

    def __init__(
        self,
        me: Member,
        root: RootDigest,
        chunks: Iterable[ChunkDigest],
        held: Iterable[ChunkDigest],
        members: Iterable[Member],
        policy: PlanPolicy,
        now: Seconds,
        origin_copies: int = 1,
        seed: int = 0,
        hubs: Iterable[TargetName] = (),
        origin_domain: DomainName | None = None,
    ) -> None:
        self.place = ExchangePlace(
            me, root, members, policy, origin_copies, hubs, origin_domain
        )
        self.me = me
        self.root = root
        self.policy = policy
        self.random = Random(f"{root}/{me.target}/{seed}")
        self.chunks = tuple(dict.fromkeys(chunks))
        self.held = set(held) & set(self.chunks)
        self.missing = dict.fromkeys(c for c in self.chunks if c not in self.held)
        self.in_flight: dict[ChunkDigest, list[TargetName]] = {}
        self.seen = set(self.held)
        self.seen_in_group = set(self.held)
        self.seen_in_domain = set(self.held)
        self.rarity: dict[ChunkDigest, int] = {}
        self.members = self.place.members
        self.sources: dict[TargetName, SourceState] = {}
        self.origin = SourceState(set(self.chunks))
        classes = range(policy.classes)
        self.origin_slots = [self.place.origin_slot(c, now) for c in classes]
        self.import_slots = [self.place.import_slot(c, now) for c in classes]
        for target in self.neighbours():
            self.sources[target] = SourceState(set())

    def neighbours(self) -> Sequence[TargetName]:
        """Return the agents whose holdings this one follows."""
        return self.place.neighbours(self.import_slots)

    def peer_holds(
        self, peer: TargetName, chunks: Iterable[ChunkDigest], now: Seconds
    ) -> None:
        """Note chunks that a followed agent holds."""
        source = self.sources.get(peer)
        if source is None:
            return
        domain = self.members.get(peer)
        for digest in chunks:
            if digest in source.held:
                continue
            source.held.add(digest)
            self.rarity[digest] = self.rarity.get(digest, 0) + 1
            self._note_seen(digest, domain, now)

    def fleet_holds(self, chunks: Iterable[ChunkDigest], now: Seconds) -> None:
        """Note chunks that someone of the fleet holds, told at second hand."""
        for digest in chunks:
            if digest not in self.seen:
                self._note_seen(digest, None, now)

    def _note_seen(
        self, digest: ChunkDigest, domain: DomainName | None, now: Seconds
    ) -> None:
        """Note that a chunk is held in a domain, or somewhere not known."""
        number = chunk_class(digest, self.policy.classes)
        self.seen.add(digest)
        in_group = domain in self.place.group or self.place.origin_copies == 1
        if in_group and digest not in self.seen_in_group:
            self.seen_in_group.add(digest)
            self.origin_slots[number].progress(now)
            self.origin_slots[number].taken_over = False
            # An import can only be overdue once there is something to import.
            slot = self.import_slots[number]
            slot.last_progress = max(slot.last_progress, now)
        if domain == self.me.domain and digest not in self.seen_in_domain:
            self.seen_in_domain.add(digest)
            self.import_slots[number].progress(now)

    def peer_lost(self, peer: TargetName) -> None:
        """Forget what an agent held, since it cannot be followed any more."""
        source = self.sources.get(peer)
        if source is None:
            return
        for digest in source.held:
            self.rarity[digest] -= 1
        source.held.clear()

    def arrived(self, digest: ChunkDigest, source: TargetName, now: Seconds) -> bool:
        """Note a verified chunk.

        Returns:
            Whether it was still missing; if not, it was fetched twice.
        """
        state = self._source(source)
        state.failures = 0
        self._end_fetch(digest, source)
        if digest not in self.missing:
            return False
        del self.missing[digest]
        self.held.add(digest)
        self._note_seen(digest, self.me.domain, now)
        if source == ORIGIN:
            number = chunk_class(digest, self.policy.classes)
            self.origin_slots[number].taken_over = True
        return True

    def failed(
        self, digest: ChunkDigest, source: TargetName, why: FetchFailure, now: Seconds
    ) -> None:
        """Note a fetch that gave nothing, and leave its source alone for a while."""
        state = self._source(source)
        self._end_fetch(digest, source)
        if why is FetchFailure.STALLED and source == ORIGIN:
            self._note_origin_away(now)
        if why is FetchFailure.MISSING and source != ORIGIN:
            self._forget_held(state, digest)
            return
        if why is FetchFailure.REFERRED:
            state.later[digest] = Seconds(now + self.policy.referred_seconds)
            return
        if why is FetchFailure.BUSY:
            wait = self.policy.busy_seconds * (0.5 + self.random.random())
        else:
            wait = self.policy.back_off_seconds * 2**state.failures
            state.failures += 1
        wait = min(wait, self.policy.max_back_off_seconds)
        state.not_before = Seconds(now + wait)

    def _note_origin_away(self, now: Seconds) -> None:
        """Leave the origin to the first candidates again.

        That a class made no progress is not their fault then. Else all hubs, who had
        taken over one after the other, would draw a copy each at its return: six of
        them shared its link, and the version was whole 3 s later than with one.
        """
        for slot in self.origin_slots:
            slot.restart(now)

    def _forget_held(self, state: SourceState, digest: ChunkDigest) -> None:
        if digest in state.held:
            state.held.discard(digest)
            self.rarity[digest] -= 1

    def _source(self, source: TargetName) -> SourceState:
        if source == ORIGIN:
            return self.origin
        return self.sources.setdefault(source, SourceState(set()))

    def _end_fetch(self, digest: ChunkDigest, source: TargetName) -> None:
        fetching = self.in_flight.get(digest, [])
        if source in fetching:
            fetching.remove(source)
            self._source(source).fetching -= 1
        if not fetching:
            self.in_flight.pop(digest, None)

    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return not self.missing

    def plan(self, now: Seconds, one_by_one: bool = False) -> Iterator[Fetch]:
        """Yield fetches to start now; each counts as in progress from then on.

        Args:
            now: The present time.
            one_by_one: Whether neighbours are asked for one chunk at a time.
        """
        for fetch in self._origin_fetches(now):
            yield self._begin(fetch)
        most = 1 if one_by_one else self.policy.fetches
        room = most - sum(map(len, self.in_flight.values()))
        if room <= 0:
            return
        for digest in self._wanted():
            source = self._choose_source(digest, now)
            if source is None:
                continue
            yield self._begin(Fetch(digest, source))
            room -= 1
            if room <= 0:
                return

    def _begin(self, fetch: Fetch) -> Fetch:
        self.in_flight.setdefault(fetch.digest, []).append(fetch.source)
        self._source(fetch.source).fetching += 1
        return fetch

    def _wanted(self) -> list[ChunkDigest]:
        """Return the chunks to ask for: rarest first, ties in random order.

        Once nothing else is missing, chunks in flight are asked for again from
        a second source, so that one slow source cannot hold the end up.
        """
        idle = [c for c in self.missing if c not in self.in_flight and c in self.rarity]
        if idle:
            order = [(self.rarity[c], self.random.random(), c) for c in idle]
            return [digest for _, _, digest in sorted(order)]
        if all(digest in self.in_flight for digest in self.missing):
            return [c for c in self.missing if len(self.in_flight[c]) == 1][:1]
        return []

    def _choose_source(self, digest: ChunkDigest, now: Seconds) -> TargetName | None:
        usable = [
            (state.fetching, self.random.random(), target)
            for target, state in self.sources.items()
            if digest in state.held
            and target not in self.in_flight.get(digest, ())
            and state.fetching < self.policy.per_source
            and state.not_before <= now
            and state.later.get(digest, now) <= now
            and self._may_ask(target, digest, now)
        ]
        return min(usable)[2] if usable else None

    def _may_ask(self, target: TargetName, digest: ChunkDigest, now: Seconds) -> bool:
        """Tell whether a chunk may be asked of an agent.

        Across a domain's border only the slot's holder asks, and only for what
        nobody of the own domain is known to hold.
        """
        domain = self.members.get(target)
        if domain == self.me.domain:
            return True
        number = chunk_class(digest, self.policy.classes)
        overdue = self.import_slots[number].overdue(now) > 0
        if digest in self.seen_in_domain and not self._is_lost(digest, overdue, True):
            return False
        in_group = domain in self.place.group
        if not in_group and not self.origin_slots[number].overdue(now):
            return False
        return self.me.target in self.import_slots[number].drawers(now)

    def _origin_fetches(self, now: Seconds) -> Iterator[Fetch]:
        if self.origin.not_before > now:
            return
        for number, slot in enumerate(self.origin_slots):
            if self.origin.fetching >= self.policy.origin_fetches:
                return
            drawers = slot.drawers(now)
            if self.me.target not in drawers and not slot.taken_over:
                continue
            if self._draws_origin(number):
                continue
            digest = self._next_origin_chunk(number, stalled=len(drawers) > 1)
            if digest is not None:
                yield Fetch(digest, ORIGIN)

    def _draws_origin(self, number: int) -> bool:
        return any(
            ORIGIN in sources and chunk_class(digest, self.policy.classes) == number
            for digest, sources in self.in_flight.items()
        )

    def _next_origin_chunk(self, number: int, stalled: bool) -> ChunkDigest | None:
        """Return the next chunk of a class that nobody is known to hold.

        The order is the same for all, so that a successor starts where its
        predecessor ended. Once the class has stalled, chunks that someone held
        but no followed agent holds now count too: their holder may be gone.
        """
        wanted = [
            digest
            for digest in self.missing
            if (
                digest not in self.seen_in_group
                or self._is_lost(digest, stalled, False)
            )
            and digest not in self.in_flight
            and chunk_class(digest, self.policy.classes) == number
        ]
        return max(
            wanted,
            key=lambda digest: rendezvous_score(str(self.root), digest),
            default=None,
        )

    def _is_lost(self, digest: ChunkDigest, stalled: bool, local: bool) -> bool:
        """Tell whether a chunk that someone held can no longer be had from it.

        Args:
            digest: The chunk.
            stalled: Whether its class makes no progress; else nothing is lost.
            local: Whether only agents of the own domain count.
        """
        return stalled and not any(
            digest in state.held
            and state.failures < LOST_FAILURES
            and not (local and self.members.get(target) != self.me.domain)
            for target, state in self.sources.items()
        )

    def wake_after(self) -> float:
        """Return the seconds after which to plan again if nothing happens."""
        return self.policy.busy_seconds
