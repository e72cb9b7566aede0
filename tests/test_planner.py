"""Compares the chunk planner with a simple model.

Every chunk that some source holds must arrive, within the limits on fetches.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ridgecourse.core.fetch_types import ORIGIN, Fetch, FetchFailure, Member, PlanPolicy
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    RootDigest,
    Seconds,
    TargetName,
)
from ridgecourse.core.planner import ChunkPlanner

CHUNKS = [ChunkDigest(f"{number:08x}" + "0" * 56) for number in range(12)]
MEMBERS = [
    Member(TargetName(f"{domain}{number}"), DomainName(domain))
    for domain in "abc"
    for number in range(3)
]
POLICY = PlanPolicy(classes=4, neighbours=2, fetches=3, per_source=2)
LONG_WAIT = 60.0


class PlannerMachine(RuleBasedStateMachine):
    """Drives the planner of one agent; the model is the set of chunks that arrived.

    Attributes:
        held: The chunks that the agent holds.
        in_flight: The fetches in progress.
        known: Chunks that each source is known to hold, by source.
    """

    @initialize(
        local=st.sampled_from(MEMBERS),
        held=st.sets(st.sampled_from(CHUNKS)),
        copies=st.integers(1, 4),
    )
    def set_up(self, local: Member, held: set[ChunkDigest], copies: int) -> None:
        self.now = Seconds(0.0)
        self.held = set(held)
        self.in_flight: list[Fetch] = []
        self.planner = ChunkPlanner(
            local, RootDigest("r"), CHUNKS, held, MEMBERS, POLICY, self.now, copies
        )
        self.known: dict[TargetName, set[ChunkDigest]] = {
            source: set() for source in self.planner.sources
        }

    def plan(self) -> None:
        for fetch in self.planner.plan(self.now):
            assert fetch.digest not in self.held, "fetches a chunk that the agent holds"
            if fetch.source != ORIGIN:
                assert fetch.digest in self.known[fetch.source], (
                    "asks a source that does not hold the chunk"
                )
            assert fetch not in self.in_flight, "repeats a fetch that is in progress"
            self.in_flight.append(fetch)

    @rule(data=st.data(), chunks=st.sets(st.sampled_from(CHUNKS)))
    def peer_holds(self, data: st.DataObject, chunks: set[ChunkDigest]) -> None:
        peer = data.draw(st.sampled_from(sorted(self.known)))
        self.known[peer] |= chunks
        self.planner.record_peer_chunks(peer, chunks, self.now)
        self.plan()

    @rule(data=st.data())
    def peer_lost(self, data: st.DataObject) -> None:
        peer = data.draw(st.sampled_from(sorted(self.known)))
        self.known[peer].clear()
        self.planner.drop_peer(peer)

    @rule(chunks=st.sets(st.sampled_from(CHUNKS)))
    def fleet_holds(self, chunks: set[ChunkDigest]) -> None:
        self.planner.record_fleet_chunks(chunks, self.now)

    @rule(index=st.integers(0, 20))
    def arrive(self, index: int) -> None:
        if not self.in_flight:
            return
        fetch = self.in_flight.pop(index % len(self.in_flight))
        is_new = self.planner.record_arrival(fetch.digest, fetch.source, self.now)
        assert is_new == (fetch.digest not in self.held)
        self.held.add(fetch.digest)
        self.plan()

    @rule(index=st.integers(0, 20), reason=st.sampled_from(FetchFailure))
    def fail(self, index: int, reason: FetchFailure) -> None:
        if not self.in_flight:
            return
        fetch = self.in_flight.pop(index % len(self.in_flight))
        self.planner.record_failure(fetch.digest, fetch.source, reason, self.now)
        if reason is FetchFailure.MISSING and fetch.source != ORIGIN:
            self.known[fetch.source].discard(fetch.digest)
        self.plan()

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        self.plan()

    @rule()
    def everything_arrives_from_origin(self) -> None:
        """All chunks arrive if only the origin answers."""
        for peer in self.known:
            self.known[peer].clear()
            self.planner.drop_peer(peer)
        for _ in range(4 * len(CHUNKS)):
            while self.in_flight:
                fetch = self.in_flight.pop()
                self.planner.record_arrival(fetch.digest, fetch.source, self.now)
                self.held.add(fetch.digest)
            self.now = Seconds(self.now + LONG_WAIT)
            self.plan()
        assert self.held == set(CHUNKS), "chunks that the origin holds did not arrive"

    @invariant()
    def fetch_limits_are_kept(self) -> None:
        if not hasattr(self, "planner"):
            return
        from_peers = [fetch for fetch in self.in_flight if fetch.source != ORIGIN]
        from_origin = [fetch for fetch in self.in_flight if fetch.source == ORIGIN]
        assert len(from_origin) <= POLICY.classes
        assert len(from_peers) <= POLICY.fetches
        for source in self.known:
            count = sum(fetch.source == source for fetch in from_peers)
            assert count <= POLICY.per_source

    @invariant()
    def chunks_match_model(self) -> None:
        if hasattr(self, "planner"):
            assert self.planner.held == self.held
            assert set(self.planner.missing) == set(CHUNKS) - self.held
            assert self.planner.is_complete() == (self.held == set(CHUNKS))


TestPlanner = PlannerMachine.TestCase
TestPlanner.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def make_planner(local: Member, copies: int = 1) -> ChunkPlanner:
    return ChunkPlanner(
        local, RootDigest("r"), CHUNKS, (), MEMBERS, POLICY, Seconds(0.0), copies
    )


def origin_fetches(
    copies: int, now: float = 0.0
) -> dict[TargetName, list[ChunkDigest]]:
    fetches = {}
    for member in MEMBERS:
        planned = list(make_planner(member, copies).plan(Seconds(now)))
        if planned:
            fetches[member.target] = [fetch.digest for fetch in planned]
    return fetches


def test_each_class_is_fetched_by_one_agent_of_fleet() -> None:
    fetched = [digest for digests in origin_fetches(1).values() for digest in digests]
    assert len(fetched) == len(set(fetched)) == POLICY.classes


def test_each_domain_fetches_its_own_of_three_copies() -> None:
    by_domain: dict[str, int] = {}
    for target, digests in origin_fetches(3).items():
        by_domain[target[0]] = by_domain.get(target[0], 0) + len(digests)
    assert by_domain == {"a": 4, "b": 4, "c": 4}


def test_next_candidate_fetches_when_class_stalls() -> None:
    assert len(origin_fetches(1, now=10.0)) > len(origin_fetches(1))


def test_chunk_available_in_domain_is_not_imported_again() -> None:
    for member in MEMBERS:
        planner = make_planner(member)
        local_sources = [
            source for source in planner.sources if source.startswith(member.domain)
        ]
        remote = [
            source for source in planner.sources if not source.startswith(member.domain)
        ]
        if not remote or not local_sources:
            continue
        planner.record_peer_chunks(local_sources[0], CHUNKS, Seconds(0.0))
        planner.record_peer_chunks(remote[0], CHUNKS, Seconds(0.0))
        assert all(fetch.source not in remote for fetch in planner.plan(Seconds(0.0)))


def test_chunk_is_imported_if_local_source_does_not_answer() -> None:
    """The local source is paused: its connection stays open, but its answers stall."""
    for member in MEMBERS:
        planner = make_planner(member)
        local_sources = [
            source for source in planner.sources if source.startswith(member.domain)
        ]
        remote = [
            source for source in planner.sources if not source.startswith(member.domain)
        ]
        if not remote or not local_sources:
            continue
        planner.record_peer_chunks(local_sources[0], CHUNKS, Seconds(0.0))
        planner.record_peer_chunks(remote[0], CHUNKS, Seconds(0.0))
        sources = set()
        for step in range(200):
            now = Seconds(float(step))
            for fetch in list(planner.plan(now)):
                sources.add(fetch.source)
                reason = FetchFailure.STALLED
                planner.record_failure(fetch.digest, fetch.source, reason, now)
        assert remote[0] in sources
