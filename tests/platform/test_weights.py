"""Versions of weights: bounds, supersession, choice of hubs, and fetches of chunks."""

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


def name_version(history: VersionHistory, version: int, now: float) -> bool:
    return history.record_version(WeightsVersion(version), Seconds(now), Seconds(now))


@given(st.lists(st.tuples(st.integers(1, 9), st.floats(0.0, 5.0)), max_size=8))
def test_each_version_keeps_its_own_bound(namings: list[tuple[int, float]]) -> None:
    history = VersionHistory(BOUND)
    now = 0.0
    accepted_versions: list[tuple[int, float]] = []
    for number, pause in namings:
        now += pause
        is_newer = number > max(
            [FIRST_VERSION, *(version for version, _ in accepted_versions)]
        )
        assert name_version(history, number, now) is is_newer
        if is_newer:
            accepted_versions.append((number, now))
    for time in (now, now + BOUND / 2, now + BOUND + 5):
        due_versions = [
            number for number, named in accepted_versions if named + BOUND <= time
        ]
        assert history.required_version(Seconds(time)) == max(
            due_versions, default=FIRST_VERSION
        )
        for version in range(1, 10):
            start_by = history.start_deadline(WeightsVersion(version))
            is_allowed = start_by is None or time < start_by
            assert is_allowed == all(number <= version for number in due_versions)


def test_newer_version_does_not_postpone_bound_of_earlier_version() -> None:
    history = VersionHistory(BOUND)
    name_version(history, 2, 0.0)
    name_version(history, 3, 4.0)
    assert history.start_deadline(WeightsVersion(1)) == BOUND
    assert history.start_deadline(WeightsVersion(2)) == 4.0 + BOUND
    assert history.start_deadline(WeightsVersion(3)) is None


def test_no_request_starts_on_older_weights_until_naming_time_is_known() -> None:
    history = VersionHistory(BOUND)
    assert history.record_version(WeightsVersion(2), Seconds(100.0), None)
    assert history.required_version(Seconds(100.0)) == 2
    assert history.start_deadline(WeightsVersion(1)) == 100.0
    assert list(history.ages(ModelName("m"), Seconds(100.0))) == []
    # Another process reports when the version was named.
    assert history.record_naming_time(WeightsVersion(2), Seconds(97.0))
    assert history.start_deadline(WeightsVersion(1)) == 97.0 + BOUND
    assert not history.record_naming_time(WeightsVersion(2), Seconds(99.0))
    assert history.record_naming_time(WeightsVersion(2), Seconds(96.0))
    assert history.record_naming_time(WeightsVersion(2), Seconds(97.0)) is False
    assert not history.record_naming_time(WeightsVersion(3), Seconds(99.0))
    ages = list(history.ages(ModelName("m"), Seconds(100.0)))
    assert ages == [VersionAge(ModelName("m"), WeightsVersion(2), 4.0)]


def test_observed_naming_time_is_not_replaced_by_reported_time() -> None:
    """A process that polls the store every 5 s dates a version up to 5 s too early."""
    history = VersionHistory(BOUND)
    name_version(history, 2, 100.0)
    assert not history.record_naming_time(WeightsVersion(2), Seconds(95.0))
    assert history.start_deadline(WeightsVersion(1)) == 100.0 + BOUND


def test_newer_version_does_not_postpone_bound_reported_after_start() -> None:
    """A starting process also applies the bound of the version before the newest one.

    A process that starts reads only the newest named version from the store. The test
    guards against dropping the naming time that others report for the version before
    it: older weights were then allowed until the bound of the newer version, 8 s
    longer.
    """
    history = VersionHistory(BOUND)
    assert history.record_version(WeightsVersion(4), Seconds(100.0), None)
    assert history.record_naming_time(WeightsVersion(3), Seconds(94.0))
    assert history.record_naming_time(WeightsVersion(4), Seconds(99.0))
    assert history.start_deadline(WeightsVersion(2)) == 94.0 + BOUND
    assert history.start_deadline(WeightsVersion(3)) == 99.0 + BOUND
    assert not history.record_naming_time(WeightsVersion(5), Seconds(99.0))


def test_nearly_complete_transfer_is_finished() -> None:
    newer = TransferPlan(6.0, Seconds(12.0))
    assert should_finish(TransferPlan(1.0, Seconds(8.0)), newer, Seconds(4.0))


def test_just_started_transfer_is_superseded() -> None:
    newer = TransferPlan(6.0, Seconds(8.5))
    assert not should_finish(TransferPlan(5.5, Seconds(8.0)), newer, Seconds(0.5))


def test_half_complete_transfer_is_finished_if_both_would_be_equally_late() -> None:
    # The versions are named 3 s apart; half of the chunks of the first are available.
    current = TransferPlan(3.0, Seconds(8.0))
    newer = TransferPlan(5.7, Seconds(11.0))
    assert should_finish(current, newer, Seconds(3.0))


def make_gateways(count: int, domains: int) -> list[Peer]:
    return [
        Peer(
            TargetName(f"10.0.0.{number}"),
            DomainName(f"d{number % domains}"),
            "x:1",
            "x:2",
        )
        for number in range(count)
    ]


@given(st.integers(1, 12), st.integers(1, 4), st.randoms())
def test_all_processes_choose_same_hubs(count: int, domains: int, random) -> None:
    gateways = make_gateways(count, domains)
    hubs = choose_hubs("m/2", gateways)
    assert {hub.domain for hub in hubs} == {gateway.domain for gateway in gateways}
    assert len(hubs) == len({hub.domain for hub in hubs})
    shuffled = list(gateways)
    random.shuffle(shuffled)
    assert choose_hubs("m/2", shuffled) == hubs
    # The loss of a gateway that is not a hub changes no choice.
    others = [gateway for gateway in gateways if gateway not in hubs]
    if others:
        assert (
            choose_hubs(
                "m/2", [gateway for gateway in gateways if gateway != others[0]]
            )
            == hubs
        )


CHUNKS = [ChunkDigest(f"{number:08x}{0:056x}") for number in range(32)]


def make_planner(
    local: Member, hubs: list[Member], policy: PlanPolicy | None = None
) -> ChunkPlanner:
    return ChunkPlanner(
        local,
        RootDigest("r"),
        CHUNKS,
        [],
        hubs,
        policy or PlanPolicy(),
        Seconds(0.0),
        hubs=[hub.target for hub in hubs],
    )


HUBS = [Member(TargetName(f"hub-{d}"), DomainName(d)) for d in ("a", "b", "c")]


def test_loader_fetches_chunks_only_from_its_hub() -> None:
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), HUBS)
    assert planner.neighbours() == [TargetName("hub-a")]
    assert list(planner.plan(Seconds(0.1))) == []
    planner.record_peer_chunks(TargetName("hub-a"), CHUNKS[:5], Seconds(0.2))
    fetches = list(planner.plan(Seconds(0.3)))
    assert fetches
    assert {fetch.source for fetch in fetches} == {TargetName("hub-a")}


def test_loader_fetches_from_origin_once_hubs_have_stalled() -> None:
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), HUBS)
    sources = {fetch.source for fetch in planner.plan(Seconds(60.0))}
    assert ORIGIN in sources


def test_hubs_share_one_copy_from_origin() -> None:
    fetched_chunks: list[ChunkDigest] = []
    for hub in HUBS:
        planner = make_planner(hub, HUBS)
        for _ in range(len(CHUNKS)):
            for fetch in planner.plan(Seconds(0.1)):
                assert fetch.source == ORIGIN
                fetched_chunks.append(fetch.digest)
                planner.record_arrival(fetch.digest, ORIGIN, Seconds(0.1))
    assert sorted(fetched_chunks) == sorted(set(fetched_chunks)) == CHUNKS


def test_rate_follows_link_whose_capacity_changes() -> None:
    rate = AdaptiveRate(400_000.0)
    link = 57_000.0

    def observe_concurrent_transfers() -> None:
        rate.observe(24_576, 2 * 24_576 / min(rate.current, link), (2, 2))

    observe_concurrent_transfers()
    assert rate.current < link
    for _ in range(50):
        observe_concurrent_transfers()
        assert 0.8 * link < rate.current < 1.5 * link
    link = rate.limit
    for _ in range(60):
        observe_concurrent_transfers()
    assert rate.current == rate.limit


def test_end_of_concurrent_transfer_does_not_reduce_rate() -> None:
    rate = AdaptiveRate(400_000.0)
    # The transfer started beside another transfer that ended halfway.
    rate.observe(24_576, 1.5 * 24_576 / rate.limit, (2, 1))
    assert rate.current == rate.limit


def test_only_early_engines_finish_first_of_two_versions_far_apart() -> None:
    current = TransferPlan(3.0, Seconds(8.0))
    newer = TransferPlan(5.7, Seconds(12.0))
    assert should_continue(current, newer, Seconds(4.0), early=True)
    assert not should_continue(current, newer, Seconds(4.0), early=False)
    # All engines finish a transfer that is nearly complete.
    nearly_complete = TransferPlan(1.0, Seconds(8.0))
    assert should_continue(nearly_complete, newer, Seconds(4.0), early=False)


def count_origin_fetches(outage_seconds: float, fetch_seconds: float = 0.05) -> int:
    """Let 3 hubs fetch a version after an outage of the origin.

    Args:
        outage_seconds: Seconds until the origin answers.
        fetch_seconds: Duration of a fetch from the origin in seconds.

    Returns:
        The number of chunks that the origin sends.
    """
    policy = PlanPolicy(
        fetches=4, origin_fetches=3, back_off_seconds=0.1, max_back_off_seconds=0.25
    )
    planners = {hub.target: make_planner(hub, HUBS, policy) for hub in HUBS}
    pending_fetches: list[tuple[float, TargetName, ChunkDigest]] = []
    sent_chunks, now = 0, 0.1
    while not all(planner.is_complete() for planner in planners.values()):
        assert now < outage_seconds + 20.0, "the hubs have not fetched the version"
        for entry in [entry for entry in pending_fetches if entry[0] <= now]:
            pending_fetches.remove(entry)
            _, target, digest = entry
            if now < outage_seconds:
                planners[target].record_failure(
                    digest, ORIGIN, FetchFailure.STALLED, Seconds(now)
                )
                continue
            sent_chunks += 1
            planners[target].record_arrival(digest, ORIGIN, Seconds(now))
            for peer_target, planner in planners.items():
                if peer_target != target:
                    planner.record_peer_chunks(target, [digest], Seconds(now))
        for target, planner in planners.items():
            for fetch in list(planner.plan(Seconds(now))):
                if fetch.source == ORIGIN:
                    pending_fetches.append((now + fetch_seconds, target, fetch.digest))
                else:
                    planner.record_arrival(fetch.digest, fetch.source, Seconds(now))
        now += 0.01
    return sent_chunks


def test_hubs_fetch_about_one_copy_after_origin_outage() -> None:
    copies = count_origin_fetches(outage_seconds=6.0) / len(CHUNKS)
    assert copies <= 1.25


def test_hubs_fetch_about_one_copy_without_origin_outage() -> None:
    assert count_origin_fetches(outage_seconds=0.0) / len(CHUNKS) <= 1.1
