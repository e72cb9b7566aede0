"""Loads reach all gateways through distributors, also if some of these fail.

Guards against reports whose number grows with gateways times loaders, and against loads
that become out of date, go back to older ones or look younger than they are when a
distributor is killed, frozen, slow or cut off.
"""

import pytest
from distribution_site import (
    DistributionSite,
    SimulatedGateway,
    SiteMaker,
    make_site,
)

from ridgecourse.core.engine_load import FRESH_SECONDS
from ridgecourse.core.load_distribution import DIRECT_WATCHERS, TAKEOVER_SECONDS
from ridgecourse.core.load_requests import (
    DIRECT_REPORT_SECONDS,
    MAX_LOAD_AGE_SECONDS,
    REQUEST_INTERVAL_SECONDS,
)
from ridgecourse.core.report_rate import NEAR_INTERVAL_SECONDS, report_interval
from ridgecourse.loader.status import UNCHANGED_REPORT_SECONDS
from ridgecourse.net.datagrams import MAX_DATAGRAM_BYTES
from ridgecourse.wire.control import DirectReportRequest, LoadBatch

__all__ = ["make_site"]

GATEWAYS = "abc" * 10
LOADERS = "abc" * 3
START_SECONDS = 2.0
NEAR_AGE_SECONDS = 0.15
FAR_AGE_SECONDS = 0.3
"""Highest ages of a changing load in regular operation: intervals of the loader and the
distributors, and reads of datagrams."""
REQUEST_AGE_SECONDS = MAX_LOAD_AGE_SECONDS + 0.4
"""Highest age of a load where a gateway has to ask: the age at which it asks, its check
and the loader's next poll."""


@pytest.fixture
def site(make_site: SiteMaker) -> DistributionSite:
    """Return a site in regular operation."""
    site = make_site(GATEWAYS, LOADERS)
    site.run(START_SECONDS)
    site.reset()
    return site


def check_recovered(site: DistributionSite) -> None:
    """Check that the loads are as young as in regular operation again."""
    site.reset()
    site.run(1.0)
    assert site.max_age() <= FAR_AGE_SECONDS
    assert site.count("load_requests") == 0


def test_changed_loads_reach_all_gateways_in_time(site: DistributionSite) -> None:
    site.run(5.0)
    for domain in "abc":
        near = site.in_domain(domain)
        far = [gateway for gateway in site.gateways if gateway not in near]
        assert site.max_age(near, domain) <= NEAR_AGE_SECONDS
        assert site.max_age(far, domain) <= FAR_AGE_SECONDS
    assert site.count("load_requests") == site.count("load_takeovers") == 0


def test_unchanged_loads_stay_fresh_without_requests(site: DistributionSite) -> None:
    for loader in site.loaders:
        loader.is_changing = False
    site.run(1.0)
    ages = []
    for _ in range(300):
        site.run(0.01)
        ages += [
            site.network.now - gateway.load(loader.engine).reported_at
            for gateway in site.gateways
            for loader in site.loaders
        ]
    assert max(ages) < MAX_LOAD_AGE_SECONDS
    assert site.count("load_requests") == site.count("load_takeovers") == 0


def test_second_distributor_takes_over_from_a_killed_one(
    site: DistributionSite,
) -> None:
    site.in_domain("a")[0].is_stopped = True
    site.run(5.0)
    assert site.max_age() <= TAKEOVER_SECONDS + FAR_AGE_SECONDS
    assert site.count("load_takeovers") == 1
    assert site.count("load_requests") == 0


def test_frozen_distributor_sends_nothing_older_when_it_continues(
    site: DistributionSite,
) -> None:
    first = site.in_domain("a")[0]
    first.is_stopped = True
    site.run(3.0)
    assert site.max_age() <= TAKEOVER_SECONDS + FAR_AGE_SECONDS
    first.is_stopped = False
    site.run(0.1)
    others = [gateway for gateway in site.gateways if gateway is not first]
    assert site.max_age(others) <= TAKEOVER_SECONDS + FAR_AGE_SECONDS
    check_recovered(site)
    assert not site.in_domain("a")[1].watcher.distributor.is_standing_in


@pytest.mark.parametrize("isolation", ["loaders", "gateways", "all"])
def test_loads_arrive_while_a_distributor_is_cut_off(
    site: DistributionSite, isolation: str
) -> None:
    """A distributor without connection to its loaders still sends keepalives."""
    first = site.in_domain("a")[0]
    loaders = {loader.engine.host for loader in site.loaders}

    def is_cut(sender: str, receiver: str) -> bool:
        if first.host not in (sender, receiver):
            return False
        other = receiver if sender == first.host else sender
        return isolation == "all" or (other in loaders) == (isolation == "loaders")

    site.network.is_cut = is_cut
    site.run(4.0)
    others = [gateway for gateway in site.gateways if gateway is not first]
    assert site.max_age(others) <= TAKEOVER_SECONDS + FAR_AGE_SECONDS + 0.1
    assert sum(gateway.counts["load_requests"] for gateway in others) == 0
    site.network.is_cut = lambda sender, receiver: False
    site.run(0.5)
    check_recovered(site)


def test_gateways_ask_loaders_if_both_distributors_fail(
    site: DistributionSite,
) -> None:
    for distributor in site.in_domain("a")[:2]:
        distributor.is_stopped = True
    site.run(6.0)
    assert site.max_age() <= REQUEST_AGE_SECONDS < FRESH_SECONDS
    loads_without_distributor = len(LOADERS)
    for gateway in site.in_domain("a")[2:]:
        requests = gateway.counts["load_requests"]
        assert (
            0 < requests <= loads_without_distributor * 6.0 / REQUEST_INTERVAL_SECONDS
        )
    site.reset()
    site.run(4.0)
    # Direct reports continue without a gap, at the rate of any direct reports.
    far_interval = report_interval(near=False, far_watchers=len(GATEWAYS) * 2 // 3)
    assert site.max_age() <= far_interval + 0.1
    for distributor in site.in_domain("a")[:2]:
        distributor.is_stopped = False
    site.run(DIRECT_REPORT_SECONDS + 1.0)
    check_recovered(site)


def test_loads_of_slow_distributors_are_not_taken_for_fresh(
    site: DistributionSite,
) -> None:
    for distributor in site.in_domain("a")[:2]:
        distributor.delay = 1.2
    site.run(6.0)
    others = site.in_domain("a")[2:] + site.in_domain("b")
    # Far gateways get the direct reports of an engine at a lower rate.
    assert site.max_age(others) <= REQUEST_AGE_SECONDS
    assert all(gateway.counts["load_requests"] for gateway in others)


@pytest.mark.parametrize("delay", [0.0, 0.3])
def test_ages_add_up(site: DistributionSite, delay: float) -> None:
    for distributor in (*site.in_domain("a")[:2], *site.in_domain("b")[:2]):
        distributor.delay = delay
    site.run(2.0)
    for gateway in site.gateways:
        for loader in site.loaders:
            load = gateway.load(loader.engine)
            assert load.status is not None
            first, last = loader.reported_at[load.status.queued]
            # Four links of 1 ms each do not count.
            assert first - 0.005 <= load.reported_at <= last + 0.005


def test_lost_datagrams_are_made_up_for_by_the_next(site: DistributionSite) -> None:
    site.network.loss = 0.2
    site.run(6.0)
    assert site.max_age() < FRESH_SECONDS
    for loader in site.loaders:
        loader.is_changing = False
    site.run(1.0)
    site.reset()
    site.run(6.0)
    assert all(
        gateway.load(loader.engine).is_fresh(site.network.now)
        for gateway in site.gateways
        for loader in site.loaders
    )


def test_loader_without_gateways_in_its_domain_is_heard(make_site: SiteMaker) -> None:
    site = make_site("ab" * 14, "abd" * 2)
    site.run(START_SECONDS)
    site.reset()
    site.run(3.0)
    assert site.max_age() <= FAR_AGE_SECONDS
    assert site.count("load_requests") == 0
    receivers = {
        str(receiver.address.host)
        for receiver in site.loaders[2].feed.receivers.distributors
    }
    distributors = [*site.in_domain("a")[:2], *site.in_domain("b")[:2]]
    assert receivers == {gateway.host for gateway in distributors}


def test_gateways_that_know_different_gateways_get_all_loads(
    make_site: SiteMaker,
) -> None:
    """Half of the gateways know neither the first distributor nor the others.

    They rank themselves first, although no loader reports to them. The distributors of
    the loaders are not the first ones for all gateways.
    """
    site = make_site(GATEWAYS, LOADERS)
    for gateway in site.gateways[::2]:
        gateway.known = [
            other.peer for other in site.gateways[::2] if other is not gateway
        ]
    for gateway in site.gateways:
        gateway.watcher.requests.count_gateways = lambda: len(GATEWAYS)
    site.run(START_SECONDS + 2.0)
    site.reset()
    site.run(4.0)
    assert site.max_age() <= REQUEST_AGE_SECONDS


def test_loaders_that_know_different_gateways_are_heard(make_site: SiteMaker) -> None:
    site = make_site(GATEWAYS, LOADERS)
    for number, loader in enumerate(site.loaders):
        unknown = site.in_domain(loader.engine.domain)[number % 3]
        loader.watch(gateway for gateway in site.gateways if gateway is not unknown)
    site.run(START_SECONDS)
    site.reset()
    site.run(4.0)
    assert site.max_age() <= TAKEOVER_SECONDS + FAR_AGE_SECONDS
    assert site.count("load_requests") == 0


def test_loads_do_not_go_back_if_two_distributors_send(
    site: DistributionSite,
) -> None:
    second = site.in_domain("a")[1]
    second.known = [
        peer for peer in second.known if peer != site.in_domain("a")[0].peer
    ]
    known: dict[tuple[SimulatedGateway, str], int] = {}
    for _ in range(300):
        site.run(0.01)
        for gateway in site.gateways:
            for loader in site.loaders:
                status = gateway.load(loader.engine).status
                assert status is not None
                key = gateway, loader.engine.host
                assert status.queued >= known.get(key, 0)
                known[key] = status.queued
    assert site.max_age() <= FAR_AGE_SECONDS
    assert site.count("load_requests") == 0


def test_restarted_loader_is_heard_at_once(site: DistributionSite) -> None:
    """Guards against numbers that start anew: they would count as outdated."""
    loader = site.loaders[0]
    restarted = type(loader)(loader.engine, site.network)
    restarted.queued, restarted.reported_at = loader.queued, loader.reported_at
    restarted.watch(site.gateways)
    site.loaders[0] = restarted
    site.run(2.0)
    assert site.max_age() <= FAR_AGE_SECONDS


def test_gateway_that_has_just_started_gets_loads(site: DistributionSite) -> None:
    """The distributors do not know the gateway yet, and it knows no other one."""
    gateway = site.in_domain("a")[5]
    for other in site.gateways:
        other.known = [peer for peer in other.known if peer != gateway.peer]
    site.run(3.0)
    assert site.max_age([gateway]) <= REQUEST_AGE_SECONDS
    for other in site.gateways:
        if other is not gateway:
            other.known.append(gateway.peer)
    site.run(DIRECT_REPORT_SECONDS + 1.0)
    check_recovered(site)


def test_no_datagram_is_too_large(make_site: SiteMaker) -> None:
    site = make_site(GATEWAYS, "abc" * 40, name="target-" + "x" * 60 + "-{}")
    site.run(START_SECONDS)
    assert max(site.network.sizes) <= MAX_DATAGRAM_BYTES
    assert site.max_age(site.in_domain("b")) == 99.0, "the site starts without loads"
    site.reset()
    site.run(1.0)
    assert site.max_age() <= FAR_AGE_SECONDS


@pytest.mark.parametrize("gateways", [6, 24, 25, 40, 60, 98])
def test_datagrams_of_a_gateway_do_not_grow_with_gateways_times_loaders(
    make_site: SiteMaker, gateways: int
) -> None:
    """Counts the datagrams in the second half of 2 s, while all loads change."""
    loaders = 45
    site = make_site(("abc" * gateways)[:gateways], "abc" * (loaders // 3))
    site.run(1.0)
    site.reset()
    site.run(1.0)
    counts = sorted(site.network.received[gateway.host] for gateway in site.gateways)
    if gateways <= DIRECT_WATCHERS:
        assert counts[0] >= loaders / 3 / NEAR_INTERVAL_SECONDS
        return
    # All but the distributors: two datagrams every 0.05 s.
    assert counts[-7] <= 3 * 20
    # The distributors: reports of their domain, and those datagrams twice.
    assert counts[-1] <= loaders / 3 / NEAR_INTERVAL_SECONDS + 6 * 20
    assert sum(counts) <= 50 * gateways + 6 * (loaders / 3 * 20 + 60)


@pytest.mark.parametrize("gateways", [6, 24])
def test_few_gateways_get_reports_from_each_loader_as_before(
    make_site: SiteMaker, gateways: int
) -> None:
    site = make_site(("abc" * gateways)[:gateways], LOADERS)
    messages: list[object] = []
    send = site.network.send

    def record(sender: str, receiver: str, message: object) -> None:
        messages.append(message)
        send(sender, receiver, message)

    site.network.send = record  # type: ignore[method-assign]
    site.run(3.0)
    for loader in site.loaders:
        loader.is_changing = False
    site.run(2 * UNCHANGED_REPORT_SECONDS)
    assert {type(message).__name__ for message in messages} == {"EngineReport"}
    assert site.count("load_requests") == site.count("load_takeovers") == 0


def test_silent_loader_is_asked_for_a_limited_time(site: DistributionSite) -> None:
    """An engine that has ended must not be asked for by all gateways for ever."""
    ended = site.loaders.pop()
    site.run(14.0)
    site.network.received.clear()
    site.run(2.0)
    assert site.network.received[ended.engine.host] == 0


def test_messages_of_distributors_are_batches(site: DistributionSite) -> None:
    """A load of each engine fits into one message within a domain."""
    batches: list[LoadBatch] = []
    send = site.network.send

    def record(sender: str, receiver: str, message: object) -> None:
        assert not isinstance(message, DirectReportRequest)
        if isinstance(message, LoadBatch) and receiver == site.gateways[-1].host:
            batches.append(message)
        send(sender, receiver, message)

    site.network.send = record  # type: ignore[method-assign]
    site.run(1.0)
    assert len(batches) <= 22
    assert sum(len(batch.loads) for batch in batches) >= 60 + 50
