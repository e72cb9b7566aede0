"""All gateways together keep to the bound of a cold engine, in virtual time.

Guards against cold engines that receive more requests than they can handle. One of 3
engines that restarted received 217 requests in a second, and 257 when all 3 were cold,
where 11 were allowed. The gateways agree on no schedule and exchange no message, so the
bound must follow from what each gateway knows of the others, also if it knows few.
"""

from random import Random

import pytest
from cold_model import (
    ColdEngineModel,
    even_load,
    half_know_random_half,
    halves_know_half,
    know_all,
    make_limit,
    make_peers,
    uneven_load,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from ridgecourse.core.cold_turns import (
    MEMORY_SECONDS,
    MIN_GATEWAYS,
    START_SECONDS,
    START_WAIT_SECONDS,
    UNKNOWN_GATEWAYS,
    ColdLimit,
    RecentGateways,
    Turn,
    compute_cold_share,
    count_senders,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import EngineRateLimits
from ridgecourse.core.ids import DomainName, EngineStart, Seconds, TargetId

SITES = [(26.0, 38), (26.0, 50), (4.0, 4), (4.0, 40)]
"""Requests per second of a cold engine, and number of gateways."""
BOUNDS = {26.0: 44, 4.0: 11}
LATENESS_SECONDS = 0.4
"""Longest time to connect, and delay of timers in a busy gateway."""
RUN_SECONDS = 12.0
MIN_USED_SHARE = 0.5
SEEDS = st.integers(0, 10_000)
INCARNATION = EngineIncarnation(TargetId("i-1"), EngineStart(1))
DOMAIN = DomainName("a")


@pytest.mark.parametrize("rate", BOUNDS)
def test_bound_of_the_model_is_that_of_the_deployment(rate: float) -> None:
    assert make_limit(rate).bound == BOUNDS[rate]


@pytest.mark.parametrize(("rate", "count"), SITES)
@settings(max_examples=8, deadline=None)
@given(seed=SEEDS, is_even=st.booleans(), total=st.sampled_from([60.0, 400.0]))
def test_gateways_that_know_each_other_keep_the_bound(
    rate: float, count: int, seed: int, is_even: bool, total: float
) -> None:
    random = Random(seed)
    peers = make_peers(count)
    load = even_load(total, count) if is_even else uneven_load(total, count, random)
    model = ColdEngineModel(
        make_limit(rate), random, know_all(peers), f"i-{seed}", LATENESS_SECONDS
    )
    model.add_gateways(peers, load)
    model.run(RUN_SECONDS)
    assert 1 <= model.max_in_second() <= BOUNDS[rate]
    assert len(model.sends) <= rate * RUN_SECONDS + BOUNDS[rate]


@pytest.mark.parametrize(("rate", "count"), SITES)
@settings(max_examples=8, deadline=None)
@given(seed=SEEDS, is_random=st.booleans(), is_even=st.booleans())
def test_gateways_that_disagree_on_who_exists_keep_the_bound(
    rate: float, count: int, seed: int, is_random: bool, is_even: bool
) -> None:
    random = Random(seed)
    peers = make_peers(count)
    known = (
        half_know_random_half(peers, random) if is_random else halves_know_half(peers)
    )
    load = even_load(200.0, count) if is_even else uneven_load(200.0, count, random)
    model = ColdEngineModel(
        make_limit(rate), random, known, f"i-{seed}", LATENESS_SECONDS
    )
    model.add_gateways(peers, load)
    model.run(RUN_SECONDS)
    assert 1 <= model.max_in_second() <= BOUNDS[rate]


@pytest.mark.parametrize(("rate", "count"), SITES)
@settings(max_examples=8, deadline=None)
@given(seed=SEEDS, hears_after=st.floats(0.1, 6.0))
def test_gateways_that_start_keep_the_bound(
    rate: float, count: int, seed: int, hears_after: float
) -> None:
    """A third of the gateways starts and learns of the others only after a time."""
    random = Random(seed)
    peers = make_peers(count)
    started = {peer.name for peer in peers[::3]}
    all_known = know_all(peers)
    model = ColdEngineModel(
        make_limit(rate),
        random,
        lambda peer, now: (
            [] if peer.name in started and now < hears_after else all_known(peer, now)
        ),
        f"i-{seed}",
        LATENESS_SECONDS,
    )
    model.add_gateways(
        peers,
        even_load(200.0, count),
        lambda index: 0.0 if peers[index].name in started else -1000.0,
    )
    model.run(RUN_SECONDS)
    assert 1 <= model.max_in_second() <= BOUNDS[rate]


@pytest.mark.parametrize(("rate", "count"), SITES)
@settings(max_examples=8, deadline=None)
@given(seed=SEEDS, lost_after=st.floats(0.5, 4.0))
def test_gateways_that_lose_all_loaders_keep_the_bound(
    rate: float, count: int, seed: int, lost_after: float
) -> None:
    """A third of the gateways is frozen or cut off, and then knows no gateway."""
    random = Random(seed)
    peers = make_peers(count)
    lost = {peer.name for peer in peers[::3]}
    all_known = know_all(peers)
    model = ColdEngineModel(
        make_limit(rate),
        random,
        lambda peer, now: (
            [] if peer.name in lost and now >= lost_after else all_known(peer, now)
        ),
        f"i-{seed}",
        LATENESS_SECONDS,
    )
    model.add_gateways(peers, even_load(200.0, count))
    for gateway in model.gateways:
        gateway.limits.gateways.observe(all_known(gateway.local, 0.0), Seconds(0.0))
    model.run(MEMORY_SECONDS)
    assert 1 <= model.max_in_second() <= BOUNDS[rate]


@pytest.mark.parametrize("passes_turns", [False, True])
def test_use_of_the_limit_if_few_gateways_have_most_requests(passes_turns) -> None:
    """20 % of 40 gateways have 80 % of 60 requests per second.

    Without passing turns on, less than half of the limit is used.
    """
    shares = []
    for seed in range(8):
        random = Random(seed)
        peers = make_peers(40)
        model = ColdEngineModel(
            make_limit(4.0), random, know_all(peers), f"i-{seed}", 0.05, passes_turns
        )
        model.add_gateways(peers, uneven_load(60.0, 40, random))
        model.run(30.0)
        assert model.max_in_second() <= BOUNDS[4.0]
        shares.append(len(model.sends) / (30.0 * 4.0))
    mean_share = sum(shares) / len(shares)
    assert (mean_share > MIN_USED_SHARE) == passes_turns, mean_share


@given(
    st.floats(0.5, 60.0), st.floats(1.0, 3.0), st.floats(0.0, 10.0), st.integers(1, 98)
)
def test_number_of_senders_does_not_exceed_the_bound(
    rate: float, overage: float, slack: float, count: int
) -> None:
    limit = ColdLimit(rate, int(rate * overage + slack))
    assert 1 <= count_senders(limit, count) <= max(1, min(count, limit.bound))


def test_gateway_that_knows_no_other_waits_and_then_takes_a_small_share() -> None:
    limit = make_limit(26.0)
    waiting = compute_cold_share(limit, 0, 0, 0.5, START_WAIT_SECONDS - 0.1)
    assert waiting.interval == float("inf")
    alone = compute_cold_share(limit, 0, 0, 0.5, START_WAIT_SECONDS)
    assert alone.interval >= UNKNOWN_GATEWAYS / 26.0


def test_gateway_that_has_just_started_divides_by_12_gateways_at_least() -> None:
    new = compute_cold_share(make_limit(4.0), 3, 0, 0.5, START_SECONDS - 0.1)
    assert new.interval == MIN_GATEWAYS / 4.0
    known = compute_cold_share(make_limit(4.0), 3, 0, 0.5, START_SECONDS)
    assert known.interval < new.interval


def test_lost_gateways_are_counted_for_a_time() -> None:
    recent = RecentGateways()
    peers = make_peers(5)
    assert len(recent.observe(peers, Seconds(0.0))) == 5
    assert len(recent.observe(peers[:1], Seconds(MEMORY_SECONDS))) == 5
    assert len(recent.observe(peers[:1], Seconds(MEMORY_SECONDS + 0.1))) == 1


# Single rules of the limits, with one gateway that knows 11 others.


def make_limits() -> EngineRateLimits:
    model = ColdEngineModel(make_limit(4.0), Random(1), lambda peer, now: [])
    model.add_gateways(make_peers(1), lambda index: 1.0)
    return model.gateways[0].limits


def wait(limits: EngineRateLimits, now: float) -> float:
    others = make_peers(3)[1:]
    return limits.wait(INCARNATION, DOMAIN, others, Seconds(now))


def test_lower_of_the_cold_and_the_advertised_limit_counts() -> None:
    limits = make_limits()
    limits.record_cold(INCARNATION, make_limit(4.0))
    limits.record_limit(INCARNATION, 0.5, Seconds(0.0))
    wait(limits, 0.0)
    assert limits.states.value_of(INCARNATION).interval >= 2.0
    limits.record_limit(INCARNATION, 30.0, Seconds(1.0))
    wait(limits, 1.0)
    assert limits.states.value_of(INCARNATION).interval < 2.0


def test_engine_that_is_not_cold_any_more_keeps_its_advertised_limit() -> None:
    limits = make_limits()
    limits.record_cold(INCARNATION, make_limit(4.0))
    limits.record_limit(INCARNATION, 0.5, Seconds(0.0))
    limits.record_cold(INCARNATION, None)
    assert limits.is_limited(INCARNATION)
    limits.record_limit(INCARNATION, None, Seconds(1.0))
    assert wait(limits, 1.0) == 0.0


def test_cold_limit_is_not_announced_to_other_gateways() -> None:
    limits = make_limits()
    limits.record_cold(INCARNATION, make_limit(4.0))
    wait(limits, 0.0)
    assert limits.due_announcements(Seconds(5.0), 1.0) == []


def test_late_request_moves_the_next_turn() -> None:
    """A request that is written 1 s late must not be followed by one at once."""
    limits = make_limits()
    limits.record_cold(INCARNATION, make_limit(4.0))
    turn = wait(limits, 0.0)
    limits.record_send(INCARNATION, Seconds(turn))
    assert limits.confirm_send(INCARNATION, Turn(), Seconds(turn + 1.0))
    assert wait(limits, turn + 1.0) >= 1.0


def test_request_that_would_follow_a_late_one_within_a_second_is_not_written() -> None:
    """Both were held while the process was frozen, and wake at the same time."""
    limits = make_limits()
    limits.record_cold(INCARNATION, make_limit(4.0))
    turn = wait(limits, 0.0)
    limits.record_send(INCARNATION, Seconds(turn))
    limits.record_send(INCARNATION, Seconds(turn + 2.0))
    assert limits.confirm_send(INCARNATION, Turn(), Seconds(turn + 2.0))
    assert not limits.confirm_send(INCARNATION, Turn(), Seconds(turn + 2.0))


def test_request_without_a_turn_is_not_written_once_the_engine_is_cold() -> None:
    """The engine became cold while the gateway connected to it."""
    limits = make_limits()
    limits.record_send(INCARNATION, Seconds(0.0))
    limits.record_cold(INCARNATION, make_limit(4.0))
    assert not limits.confirm_send(INCARNATION, None, Seconds(0.1))
    wait(limits, 0.1)
    assert not limits.confirm_send(INCARNATION, None, Seconds(0.1))


def test_warm_engine_is_not_limited() -> None:
    limits = make_limits()
    limits.record_cold(INCARNATION, None)
    assert wait(limits, 0.0) == 0.0
    assert limits.confirm_send(INCARNATION, None, Seconds(0.0))
    assert limits.states.incarnations == {}
