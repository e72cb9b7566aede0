"""The chunk planner against a simple oracle: chunks that some source holds arrive."""

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
LONG = 60.0


class PlannerMachine(RuleBasedStateMachine):
    """Drives one agent's planner; the oracle is the set of chunks it was given."""

    @initialize(
        me=st.sampled_from(MEMBERS),
        held=st.sets(st.sampled_from(CHUNKS)),
        copies=st.integers(1, 4),
    )
    def begin(self, me: Member, held: set[ChunkDigest], copies: int) -> None:
        self.now = Seconds(0.0)
        self.got = set(held)
        self.flying: list[Fetch] = []
        self.planner = ChunkPlanner(
            me, RootDigest("r"), CHUNKS, held, MEMBERS, POLICY, self.now, copies
        )
        self.known: dict[TargetName, set[ChunkDigest]] = {
            source: set() for source in self.planner.sources
        }

    def plan(self) -> None:
        for fetch in self.planner.plan(self.now):
            assert fetch.digest not in self.got, "fetches what it holds"
            if fetch.source != ORIGIN:
                assert fetch.digest in self.known[fetch.source], "asks who has it not"
            assert fetch not in self.flying, "asks one source twice at a time"
            self.flying.append(fetch)

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
    def heard_of(self, chunks: set[ChunkDigest]) -> None:
        self.planner.record_fleet_chunks(chunks, self.now)

    @rule(index=st.integers(0, 20))
    def arrive(self, index: int) -> None:
        if not self.flying:
            return
        fetch = self.flying.pop(index % len(self.flying))
        fresh = self.planner.record_arrival(fetch.digest, fetch.source, self.now)
        assert fresh == (fetch.digest not in self.got)
        self.got.add(fetch.digest)
        self.plan()

    @rule(index=st.integers(0, 20), why=st.sampled_from(FetchFailure))
    def fail(self, index: int, why: FetchFailure) -> None:
        if not self.flying:
            return
        fetch = self.flying.pop(index % len(self.flying))
        self.planner.record_failure(fetch.digest, fetch.source, why, self.now)
        if why is FetchFailure.MISSING and fetch.source != ORIGIN:
            self.known[fetch.source].discard(fetch.digest)
        self.plan()

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        self.plan()

    @rule()
    def everything_arrives_in_the_end(self) -> None:
        """With a working origin and nobody else, all chunks arrive."""
        for peer in self.known:
            self.known[peer].clear()
            self.planner.drop_peer(peer)
        for _ in range(4 * len(CHUNKS)):
            while self.flying:
                fetch = self.flying.pop()
                self.planner.record_arrival(fetch.digest, fetch.source, self.now)
                self.got.add(fetch.digest)
            self.now = Seconds(self.now + LONG)
            self.plan()
        assert self.got == set(CHUNKS), "gave up on chunks that the origin has"

    @invariant()
    def budgets_are_kept(self) -> None:
        if not hasattr(self, "planner"):
            return
        from_peers = [f for f in self.flying if f.source != ORIGIN]
        from_origin = [f for f in self.flying if f.source == ORIGIN]
        assert len(from_origin) <= POLICY.classes
        assert len(from_peers) <= POLICY.fetches
        for source in self.known:
            count = sum(fetch.source == source for fetch in from_peers)
            assert count <= POLICY.per_source

    @invariant()
    def books_agree_with_the_oracle(self) -> None:
        if hasattr(self, "planner"):
            assert self.planner.held == self.got
            assert set(self.planner.missing) == set(CHUNKS) - self.got
            assert self.planner.is_complete() == (self.got == set(CHUNKS))


TestPlanner = PlannerMachine.TestCase
TestPlanner.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def make_planner(me: Member, copies: int = 1) -> ChunkPlanner:
    return ChunkPlanner(
        me, RootDigest("r"), CHUNKS, (), MEMBERS, POLICY, Seconds(0.0), copies
    )


def drawers(copies: int, now: float = 0.0) -> dict[TargetName, list[ChunkDigest]]:
    fetches = {}
    for member in MEMBERS:
        planned = list(make_planner(member, copies).plan(Seconds(now)))
        if planned:
            fetches[member.target] = [fetch.digest for fetch in planned]
    return fetches


def test_each_class_is_drawn_by_one_agent_of_the_fleet() -> None:
    drawn = [digest for digests in drawers(1).values() for digest in digests]
    assert len(drawn) == len(set(drawn)) == POLICY.classes


def test_with_three_copies_each_domain_draws_its_own() -> None:
    by_domain: dict[str, int] = {}
    for target, digests in drawers(3).items():
        by_domain[target[0]] = by_domain.get(target[0], 0) + len(digests)
    assert by_domain == {"a": 4, "b": 4, "c": 4}


def test_the_next_candidate_draws_when_a_class_stalls() -> None:
    assert len(drawers(1, now=10.0)) > len(drawers(1))


def test_a_chunk_heard_of_in_the_domain_is_not_brought_in_again() -> None:
    for member in MEMBERS:
        planner = make_planner(member)
        local = [t for t in planner.sources if t.startswith(member.domain)]
        outside = [t for t in planner.sources if not t.startswith(member.domain)]
        if not outside or not local:
            continue
        planner.record_peer_chunks(local[0], CHUNKS, Seconds(0.0))
        planner.record_peer_chunks(outside[0], CHUNKS, Seconds(0.0))
        assert all(f.source not in outside for f in planner.plan(Seconds(0.0)))


def test_a_chunk_whose_local_holder_does_not_answer_is_brought_in() -> None:
    """The holder is frozen: its connection stands, its answers stall."""
    for member in MEMBERS:
        planner = make_planner(member)
        local = [t for t in planner.sources if t.startswith(member.domain)]
        outside = [t for t in planner.sources if not t.startswith(member.domain)]
        if not outside or not local:
            continue
        planner.record_peer_chunks(local[0], CHUNKS, Seconds(0.0))
        planner.record_peer_chunks(outside[0], CHUNKS, Seconds(0.0))
        sources = set()
        for step in range(200):
            now = Seconds(float(step))
            for fetch in list(planner.plan(now)):
                sources.add(fetch.source)
                why = FetchFailure.STALLED
                planner.record_failure(fetch.digest, fetch.source, why, now)
        assert outside[0] in sources
