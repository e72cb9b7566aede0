"""Versions of weights: bounds, supersession, hubs, chunks over a link."""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.fetch_types import ORIGIN, FetchFailure, Member, PlanPolicy
from ridgecourse.core.hubs import Peer, choose_hubs
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ModelName,
    RootDigest,
    Seconds,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.planner import ChunkPlanner
from ridgecourse.core.supersession import TransferPlan, should_continue, should_finish
from ridgecourse.core.weights import FIRST_VERSION, VersionAge, VersionHistory
from ridgecourse.net.throttle import AdaptiveRate

BOUND = 8.0


def name(history: VersionHistory, version: int, now: float) -> bool:
    return history.record_version(WeightsVersion(version), Seconds(now), Seconds(now))


@given(st.lists(st.tuples(st.integers(1, 9), st.floats(0.0, 5.0)), max_size=8))
def test_each_version_keeps_its_own_bound(names: list[tuple[int, float]]) -> None:
    history = VersionHistory(BOUND)
    now = 0.0
    accepted: list[tuple[int, float]] = []
    for number, pause in names:
        now += pause
        newer = number > max([FIRST_VERSION, *(n for n, _ in accepted)])
        assert name(history, number, now) is newer
        if newer:
            accepted.append((number, now))
    for time in (now, now + BOUND / 2, now + BOUND + 5):
        due = [number for number, named in accepted if named + BOUND <= time]
        assert history.required_version(Seconds(time)) == max(
            due, default=FIRST_VERSION
        )
        for version in range(1, 10):
            begin_by = history.start_deadline(WeightsVersion(version))
            allowed = begin_by is None or time < begin_by
            assert allowed == all(number <= version for number in due)


def test_a_second_name_does_not_put_the_first_bound_off() -> None:
    history = VersionHistory(BOUND)
    name(history, 2, 0.0)
    name(history, 3, 4.0)
    assert history.start_deadline(WeightsVersion(1)) == BOUND
    assert history.start_deadline(WeightsVersion(2)) == 4.0 + BOUND
    assert history.start_deadline(WeightsVersion(3)) is None


def test_nothing_begins_on_older_weights_while_a_name_is_not_dated() -> None:
    history = VersionHistory(BOUND)
    assert history.record_version(WeightsVersion(2), Seconds(100.0), None)
    assert history.required_version(Seconds(100.0)) == 2
    assert history.start_deadline(WeightsVersion(1)) == 100.0
    assert list(history.ages(ModelName("m"), Seconds(100.0))) == []
    # Another process knows when it was named.
    assert history.record_naming_time(WeightsVersion(2), Seconds(97.0))
    assert history.start_deadline(WeightsVersion(1)) == 97.0 + BOUND
    assert not history.record_naming_time(WeightsVersion(2), Seconds(99.0))
    assert history.record_naming_time(WeightsVersion(2), Seconds(96.0))
    assert history.record_naming_time(WeightsVersion(2), Seconds(97.0)) is False
    assert not history.record_naming_time(WeightsVersion(3), Seconds(99.0))
    ages = list(history.ages(ModelName("m"), Seconds(100.0)))
    assert ages == [VersionAge(ModelName("m"), WeightsVersion(2), 4.0)]


def test_what_was_heard_is_not_replaced_by_what_is_told() -> None:
    """Found by reading: who asks the store each 5 s dates a name as much too early."""
    history = VersionHistory(BOUND)
    name(history, 2, 100.0)
    assert not history.record_naming_time(WeightsVersion(2), Seconds(95.0))
    assert history.start_deadline(WeightsVersion(1)) == 100.0 + BOUND


def test_a_bound_told_after_a_start_is_not_put_off_by_a_newer_name() -> None:
    """Found by review: who starts reads only the newest name.

    What others told of the one before it was dropped, and older weights were allowed
    until the newer one's bound, 8 s longer.
    """
    history = VersionHistory(BOUND)
    assert history.record_version(WeightsVersion(4), Seconds(100.0), None)
    assert history.record_naming_time(WeightsVersion(3), Seconds(94.0))
    assert history.record_naming_time(WeightsVersion(4), Seconds(99.0))
    assert history.start_deadline(WeightsVersion(2)) == 94.0 + BOUND
    assert history.start_deadline(WeightsVersion(3)) == 99.0 + BOUND
    assert not history.record_naming_time(WeightsVersion(5), Seconds(99.0))


def test_a_transfer_near_its_end_is_finished() -> None:
    newer = TransferPlan(6.0, Seconds(12.0))
    assert should_finish(TransferPlan(1.0, Seconds(8.0)), newer, Seconds(4.0))


def test_a_transfer_just_begun_gives_way() -> None:
    newer = TransferPlan(6.0, Seconds(8.5))
    assert not should_finish(TransferPlan(5.5, Seconds(8.0)), newer, Seconds(0.5))


def test_a_half_done_transfer_is_finished_where_both_would_be_as_late() -> None:
    # Names 3 s apart, half of the first version's chunks there.
    current = TransferPlan(3.0, Seconds(8.0))
    newer = TransferPlan(5.7, Seconds(11.0))
    assert should_finish(current, newer, Seconds(3.0))


def make_gateways(count: int, domains: int) -> list[Peer]:
    return [
        Peer(TargetName(f"10.0.0.{n}"), DomainName(f"d{n % domains}"), "x:1", "x:2")
        for n in range(count)
    ]


@given(st.integers(1, 12), st.integers(1, 4), st.randoms())
def test_all_choose_the_same_hubs(count: int, domains: int, random) -> None:
    gateways = make_gateways(count, domains)
    hubs = choose_hubs("m/2", gateways)
    assert {hub.domain for hub in hubs} == {gateway.domain for gateway in gateways}
    assert len(hubs) == len({hub.domain for hub in hubs})
    shuffled = list(gateways)
    random.shuffle(shuffled)
    assert choose_hubs("m/2", shuffled) == hubs
    # The loss of one that is no hub changes nothing.
    others = [gateway for gateway in gateways if gateway not in hubs]
    if others:
        assert choose_hubs("m/2", [g for g in gateways if g != others[0]]) == hubs


CHUNKS = [ChunkDigest(f"{n:08x}{0:056x}") for n in range(32)]


def make_planner(
    me: Member, hubs: list[Member], policy: PlanPolicy | None = None
) -> ChunkPlanner:
    return ChunkPlanner(
        me,
        RootDigest("r"),
        CHUNKS,
        [],
        hubs,
        policy or PlanPolicy(),
        Seconds(0.0),
        hubs=[hub.target for hub in hubs],
    )


HUBS = [Member(TargetName(f"hub-{d}"), DomainName(d)) for d in ("a", "b", "c")]


def test_a_loader_takes_chunks_from_its_hub_alone() -> None:
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), HUBS)
    assert planner.neighbours() == [TargetName("hub-a")]
    assert list(planner.plan(Seconds(0.1))) == []
    planner.record_peer_chunks(TargetName("hub-a"), CHUNKS[:5], Seconds(0.2))
    fetches = list(planner.plan(Seconds(0.3)))
    assert fetches
    assert {fetch.source for fetch in fetches} == {TargetName("hub-a")}


def test_a_loader_turns_to_the_origin_once_the_hubs_have_stalled() -> None:
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), HUBS)
    sources = {fetch.source for fetch in planner.plan(Seconds(60.0))}
    assert ORIGIN in sources


def test_the_hubs_share_one_copy_from_the_origin() -> None:
    drawn: list[ChunkDigest] = []
    for hub in HUBS:
        planner = make_planner(hub, HUBS)
        for _ in range(len(CHUNKS)):
            for fetch in planner.plan(Seconds(0.1)):
                assert fetch.source == ORIGIN
                drawn.append(fetch.digest)
                planner.record_arrival(fetch.digest, ORIGIN, Seconds(0.1))
    assert sorted(drawn) == sorted(set(drawn)) == CHUNKS


def test_the_rate_follows_a_link_that_narrows_and_widens() -> None:
    rate = AdaptiveRate(400_000.0)
    link = 57_000.0

    def fetch_two() -> None:
        rate.observe(24_576, 2 * 24_576 / min(rate.current, link), (2, 2))

    fetch_two()
    assert rate.current < link
    for _ in range(50):
        fetch_two()
        assert 0.8 * link < rate.current < 1.5 * link
    link = rate.limit
    for _ in range(60):
        fetch_two()
    assert rate.current == rate.limit


def test_the_last_of_two_transfers_does_not_look_like_a_narrow_link() -> None:
    rate = AdaptiveRate(400_000.0)
    # Begun beside another one that ended halfway.
    rate.observe(24_576, 1.5 * 24_576 / rate.limit, (2, 1))
    assert rate.current == rate.limit


def test_half_of_the_engines_finish_the_first_of_two_versions_far_apart() -> None:
    current = TransferPlan(3.0, Seconds(8.0))
    newer = TransferPlan(5.7, Seconds(12.0))
    assert should_continue(current, newer, Seconds(4.0), early=True)
    assert not should_continue(current, newer, Seconds(4.0), early=False)
    # Nearly here: all do.
    nearly = TransferPlan(1.0, Seconds(8.0))
    assert should_continue(nearly, newer, Seconds(4.0), early=False)


def draw_after_an_outage(away: float, fetch_seconds: float = 0.05) -> int:
    """Let three hubs draw a version while the origin is away; count what it sends."""
    policy = PlanPolicy(
        fetches=4, origin_fetches=3, back_off_seconds=0.1, max_back_off_seconds=0.25
    )
    planners = {hub.target: make_planner(hub, HUBS, policy) for hub in HUBS}
    ends: list[tuple[float, TargetName, ChunkDigest]] = []
    sent, now = 0, 0.1
    while not all(planner.is_complete() for planner in planners.values()):
        assert now < away + 20.0, "the hubs have not drawn it"
        for entry in [entry for entry in ends if entry[0] <= now]:
            ends.remove(entry)
            _, target, digest = entry
            if now < away:
                planners[target].record_failure(
                    digest, ORIGIN, FetchFailure.STALLED, Seconds(now)
                )
                continue
            sent += 1
            planners[target].record_arrival(digest, ORIGIN, Seconds(now))
            for name, planner in planners.items():
                if name != target:
                    planner.record_peer_chunks(target, [digest], Seconds(now))
        for target, planner in planners.items():
            for fetch in list(planner.plan(Seconds(now))):
                if fetch.source == ORIGIN:
                    ends.append((now + fetch_seconds, target, fetch.digest))
                else:
                    planner.record_arrival(fetch.digest, fetch.source, Seconds(now))
        now += 0.01
    return sent


def test_after_an_outage_of_the_origin_one_hub_draws_for_all() -> None:
    copies = draw_after_an_outage(away=6.0) / len(CHUNKS)
    assert copies <= 1.25


def test_without_an_outage_one_hub_draws_for_all() -> None:
    assert draw_after_an_outage(away=0.0) / len(CHUNKS) <= 1.1
