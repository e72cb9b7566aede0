"""Chunk planner: choose which chunks an agent fetches next, and from which source.

The planner performs no input or output. It is informed which chunks peers hold, which
chunks arrived and which fetches failed, and it returns fetches. Sources are other
agents of the same failure domain; agents of other domains, for the few agents that
import chunks; and the origin, for the still fewer agents that fetch from it.

To import a chunk is to fetch it from an agent of another domain. An agent follows its
neighbours: it receives their announcements of the chunks that they hold. The chunks are
divided into classes. For each class, an origin slot determines which agents fetch from
the origin, and an import slot which agents import; see ``fetch_slots``. The origin may
send several copies of a version; the domains that share one copy form a group.
"""

from collections.abc import Iterable, Iterator, Sequence
from random import Random

from ridgecourse.core.exchange_role import ExchangeRole
from ridgecourse.core.fetch_slots import chunk_class
from ridgecourse.core.fetch_types import (
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

MAX_SOURCE_FAILURES = 2
"""Number of consecutive failures from which on a source counts as lost. If no other
followed agent holds one of its chunks and the class of this chunk has stalled, the
chunk may be fetched over the scarce link again."""


class ChunkPlanner:
    """Plans the fetches of one version for one agent.

    Attributes:
        local: The local agent.
        root: Root digest of the version.
        policy: Limits of the planner.
        random: Random number generator for ties and back-offs, which differ between
            agents.
        chunks: All chunks of the version, without duplicates.
        held: Chunks that the agent holds.
        missing: Chunks that the agent does not hold yet.
        in_flight: Sources of the fetches in progress, by chunk.
        role: The agent's role among those that exchange the version.
        seen: Chunks that some agent of the fleet is known to hold or to have held.
        seen_in_group: The same, for the agents of the local domain's group.
        seen_in_domain: The same, for the agents of the local domain.
        rarity: Number of followed agents that hold a chunk, by chunk; the lower the
            number, the rarer the chunk.
        members: The domain of each member, the local agent included.
        sources: State of each followed agent, by name.
        origin_state: State of the origin as a source.
        origin_slots: The origin slot of each class.
        import_slots: The import slot of each class, for the local domain.
    """

    def __init__(
        self,
        local: Member,
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
        self.role = ExchangeRole(
            local, root, members, policy, origin_copies, hubs, origin_domain
        )
        self.local = local
        self.root = root
        self.policy = policy
        self.random = Random(f"{root}/{local.target}/{seed}")
        self.chunks = tuple(dict.fromkeys(chunks))
        self.held = set(held) & set(self.chunks)
        self.missing = dict.fromkeys(
            chunk for chunk in self.chunks if chunk not in self.held
        )
        self.in_flight: dict[ChunkDigest, list[TargetName]] = {}
        self.seen = set(self.held)
        self.seen_in_group = set(self.held)
        self.seen_in_domain = set(self.held)
        self.rarity: dict[ChunkDigest, int] = {}
        self.members = self.role.members
        self.sources: dict[TargetName, SourceState] = {}
        self.origin_state = SourceState(set(self.chunks))
        classes = range(policy.classes)
        self.origin_slots = [self.role.origin_slot(index, now) for index in classes]
        self.import_slots = [self.role.import_slot(index, now) for index in classes]
        for target in self.neighbours():
            self.sources[target] = SourceState(set())

    def neighbours(self) -> Sequence[TargetName]:
        """Return the agents whose holdings this agent follows."""
        return self.role.neighbours(self.import_slots)

    def record_peer_chunks(
        self, peer: TargetName, chunks: Iterable[ChunkDigest], now: Seconds
    ) -> None:
        """Record chunks that a followed agent holds."""
        source = self.sources.get(peer)
        if source is None:
            return
        domain = self.members.get(peer)
        for digest in chunks:
            if digest in source.held:
                continue
            source.held.add(digest)
            self.rarity[digest] = self.rarity.get(digest, 0) + 1
            self._record_seen(digest, domain, now)

    def record_fleet_chunks(self, chunks: Iterable[ChunkDigest], now: Seconds) -> None:
        """Record chunks that some agent of the fleet holds, from an indirect report."""
        for digest in chunks:
            if digest not in self.seen:
                self._record_seen(digest, None, now)

    def _record_seen(
        self, digest: ChunkDigest, domain: DomainName | None, now: Seconds
    ) -> None:
        """Record that a chunk is held in a domain; None for an unknown domain."""
        class_index = chunk_class(digest, self.policy.classes)
        self.seen.add(digest)
        # With a single copy all domains form one group, so that an unknown domain
        # belongs to it, too.
        in_group = domain in self.role.group or self.role.origin_copies == 1
        if in_group and digest not in self.seen_in_group:
            self.seen_in_group.add(digest)
            self.origin_slots[class_index].record_progress(now)
            self.origin_slots[class_index].has_taken_over = False
            # The stall time of the import slot starts anew, because time in which the
            # group held no chunk to import does not count as a stall.
            slot = self.import_slots[class_index]
            slot.last_progress = max(slot.last_progress, now)
        if domain == self.local.domain and digest not in self.seen_in_domain:
            self.seen_in_domain.add(digest)
            self.import_slots[class_index].record_progress(now)

    def drop_peer(self, peer: TargetName) -> None:
        """Drop the holdings of an agent that cannot be followed any more.

        The chunks still count as seen; ``_is_lost`` finds those that are lost.
        """
        source = self.sources.get(peer)
        if source is None:
            return
        for digest in source.held:
            self.rarity[digest] -= 1
        source.held.clear()

    def record_arrival(
        self, digest: ChunkDigest, source: TargetName, now: Seconds
    ) -> bool:
        """Record a verified chunk.

        Returns:
            Whether the chunk was still missing; False if it had been fetched before.
        """
        state = self._source_state(source)
        state.failures = 0
        self._end_fetch(digest, source)
        if digest not in self.missing:
            return False
        del self.missing[digest]
        self.held.add(digest)
        self._record_seen(digest, self.local.domain, now)
        if source == ORIGIN:
            # ``_record_seen`` cleared this flag for a chunk that is new to the group.
            class_index = chunk_class(digest, self.policy.classes)
            self.origin_slots[class_index].has_taken_over = True
        return True

    def record_failure(
        self,
        digest: ChunkDigest,
        source: TargetName,
        failure: FetchFailure,
        now: Seconds,
    ) -> None:
        """Record a fetch without a result, and delay further requests to its source.

        An agent that does not have the chunk is not delayed: the chunk is removed from
        its holdings. An agent that referred the fetch to other agents is not asked for
        this chunk for a while. A busy source is not asked for a random time, and after
        any other failure a source is not asked for a time that doubles with each
        consecutive failure.
        """
        state = self._source_state(source)
        self._end_fetch(digest, source)
        if failure is FetchFailure.STALLED and source == ORIGIN:
            self._record_origin_outage(now)
        if failure is FetchFailure.MISSING and source != ORIGIN:
            self._remove_held(state, digest)
            return
        if failure is FetchFailure.REFERRED:
            state.referred_until[digest] = Seconds(now + self.policy.referred_seconds)
            return
        if failure is FetchFailure.BUSY:
            wait = self.policy.busy_seconds * (0.5 + self.random.random())
        else:
            wait = self.policy.back_off_seconds * 2**state.failures
            state.failures += 1
        wait = min(wait, self.policy.max_back_off_seconds)
        state.not_before = Seconds(now + wait)

    def _record_origin_outage(self, now: Seconds) -> None:
        """Restart the stall time of all origin slots after a stalled origin fetch.

        During an outage of the origin no candidate can make progress, so only the first
        candidates are to fetch from the origin afterwards. Without the restart, one
        more hub would become active after each stall time, and each would fetch a copy
        once the origin is reachable again. With six hubs that shared the origin's link
        in this way, the version was complete 3 s later than with a single hub.
        """
        for slot in self.origin_slots:
            slot.reset_stall_timer(now)

    def _remove_held(self, state: SourceState, digest: ChunkDigest) -> None:
        """Record that a followed agent does not hold a chunk."""
        if digest in state.held:
            state.held.discard(digest)
            self.rarity[digest] -= 1

    def _source_state(self, source: TargetName) -> SourceState:
        if source == ORIGIN:
            return self.origin_state
        return self.sources.setdefault(source, SourceState(set()))

    def _end_fetch(self, digest: ChunkDigest, source: TargetName) -> None:
        fetch_sources = self.in_flight.get(digest, [])
        if source in fetch_sources:
            fetch_sources.remove(source)
            self._source_state(source).active_fetches -= 1
        if not fetch_sources:
            self.in_flight.pop(digest, None)

    def is_complete(self) -> bool:
        """Check whether every chunk is held."""
        return not self.missing

    def plan(self, now: Seconds, single_fetch: bool = False) -> Iterator[Fetch]:
        """Yield the fetches to start now; each is in progress once it is yielded.

        Args:
            now: The current time.
            single_fetch: Whether other agents are asked for a chunk only while no
                fetch is in progress, instead of up to the policy's limit of fetches.
                Fetches from the origin are not limited by this.
        """
        for fetch in self._origin_fetches(now):
            yield self._start_fetch(fetch)
        limit = 1 if single_fetch else self.policy.fetches
        free_fetches = limit - sum(map(len, self.in_flight.values()))
        if free_fetches <= 0:
            return
        for digest in self._wanted_chunks():
            source = self._choose_source(digest, now)
            if source is None:
                continue
            yield self._start_fetch(Fetch(digest, source))
            free_fetches -= 1
            if free_fetches <= 0:
                return

    def _start_fetch(self, fetch: Fetch) -> Fetch:
        self.in_flight.setdefault(fetch.digest, []).append(fetch.source)
        self._source_state(fetch.source).active_fetches += 1
        return fetch

    def _wanted_chunks(self) -> list[ChunkDigest]:
        """Return the chunks to request, the rarest first and ties in random order.

        Chunks that no followed agent has announced are left out. If all missing chunks
        are in flight, one of them is requested again from a second source, so that a
        single slow source cannot delay completion.
        """
        unrequested = [
            chunk
            for chunk in self.missing
            if chunk not in self.in_flight and chunk in self.rarity
        ]
        if unrequested:
            ranked = [
                (self.rarity[chunk], self.random.random(), chunk)
                for chunk in unrequested
            ]
            return [digest for _, _, digest in sorted(ranked)]
        if all(digest in self.in_flight for digest in self.missing):
            return [chunk for chunk in self.missing if len(self.in_flight[chunk]) == 1][
                :1
            ]
        return []

    def _choose_source(self, digest: ChunkDigest, now: Seconds) -> TargetName | None:
        """Return the usable agent with the fewest fetches in progress, if any."""
        usable = [
            (state.active_fetches, self.random.random(), target)
            for target, state in self.sources.items()
            if digest in state.held
            and target not in self.in_flight.get(digest, ())
            and state.active_fetches < self.policy.per_source
            and state.not_before <= now
            and state.referred_until.get(digest, now) <= now
            and self._may_request(target, digest, now)
        ]
        return min(usable)[2] if usable else None

    def _may_request(
        self, target: TargetName, digest: ChunkDigest, now: Seconds
    ) -> bool:
        """Check whether a chunk may be requested from an agent.

        Across a domain border only the active candidates of the chunk's import slot
        request a chunk, and only if no agent of the local domain has been seen to hold
        the chunk, or if the chunk counts as lost in the domain. From a domain outside
        the group a chunk is requested only if its origin slot has stalled, because the
        group's own copy from the origin is expected otherwise.
        """
        domain = self.members.get(target)
        if domain == self.local.domain:
            return True
        class_index = chunk_class(digest, self.policy.classes)
        import_is_stalled = self.import_slots[class_index].count_stalls(now) > 0
        if digest in self.seen_in_domain and not self._is_lost(
            digest, import_is_stalled, True
        ):
            return False
        in_group = domain in self.role.group
        if not in_group and not self.origin_slots[class_index].count_stalls(now):
            return False
        return self.local.target in self.import_slots[class_index].active_candidates(
            now
        )

    def _origin_fetches(self, now: Seconds) -> Iterator[Fetch]:
        """Yield fetches from the origin, at most one in progress for each class."""
        if self.origin_state.not_before > now:
            return
        for class_index, slot in enumerate(self.origin_slots):
            if self.origin_state.active_fetches >= self.policy.origin_fetches:
                return
            active_candidates = slot.active_candidates(now)
            if self.local.target not in active_candidates and not slot.has_taken_over:
                continue
            if self._is_fetching_from_origin(class_index):
                continue
            digest = self._next_origin_chunk(
                class_index, stalled=len(active_candidates) > 1
            )
            if digest is not None:
                yield Fetch(digest, ORIGIN)

    def _is_fetching_from_origin(self, class_index: int) -> bool:
        return any(
            ORIGIN in sources
            and chunk_class(digest, self.policy.classes) == class_index
            for digest, sources in self.in_flight.items()
        )

    def _next_origin_chunk(self, class_index: int, stalled: bool) -> ChunkDigest | None:
        """Return the next chunk of a class to fetch from the origin, or None.

        This is a chunk that no agent of the group has been seen to hold. All agents use
        the same order, so when a candidate takes over it continues where the previous
        one stopped. If the class has stalled, chunks that an agent was seen to hold but
        that no followed agent holds at present are included, because the agent that
        held them may be lost.
        """
        wanted = [
            digest
            for digest in self.missing
            if (
                digest not in self.seen_in_group
                or self._is_lost(digest, stalled, False)
            )
            and digest not in self.in_flight
            and chunk_class(digest, self.policy.classes) == class_index
        ]
        return max(
            wanted,
            key=lambda digest: rendezvous_score(str(self.root), digest),
            default=None,
        )

    def _is_lost(self, digest: ChunkDigest, stalled: bool, domain_only: bool) -> bool:
        """Check whether a chunk that some agent held counts as lost.

        This is the case if no followed agent is known to hold the chunk, apart from
        agents that failed ``MAX_SOURCE_FAILURES`` times in succession.

        Args:
            digest: The chunk.
            stalled: Whether the chunk's class makes no progress; otherwise no chunk
                counts as lost.
            domain_only: Whether only followed agents of the local domain are
                considered.
        """
        return stalled and not any(
            digest in state.held
            and state.failures < MAX_SOURCE_FAILURES
            and not (domain_only and self.members.get(target) != self.local.domain)
            for target, state in self.sources.items()
        )

    def replan_delay(self) -> float:
        """Return the seconds after which to plan again if no event occurs.

        This is the mean time after which a busy source may be asked again.
        """
        return self.policy.busy_seconds
