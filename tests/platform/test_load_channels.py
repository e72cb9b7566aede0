"""Detection of a silent loader on its channel, and the heartbeats there.

Guards against a dead or frozen loader that counts as alive for longer since heartbeats
are rare where loads arrive through distributors.
"""

from typing import Any
from unittest.mock import Mock

import pytest
from distribution_site import DistributionSite, SiteMaker, make_site

from ridgecourse.core.ids import Seconds
from ridgecourse.core.report_rate import (
    FAR_HEARTBEAT_SECONDS,
    NEAR_HEARTBEAT_SECONDS,
    silence_limit,
)
from ridgecourse.gateway import load_watcher
from ridgecourse.net.websocket import ChannelClosed

__all__ = ["make_site"]

NEAR_LIMIT_SECONDS = silence_limit(near=True)
FAR_LIMIT_SECONDS = silence_limit(near=False)


class SilentChannel:
    """A channel on which nothing arrives, while loads of the engine do until a time."""

    def __init__(self, site: DistributionSite, loads_until: float) -> None:
        self.site = site
        self.loads_until = loads_until

    def receive(self, expected: Any, timeout: float) -> None:
        gateway, loader = self.site.gateways[0], self.site.loaders[0]
        self.site.network.now += timeout
        load = gateway.load(loader.engine)
        load.reported_at = Seconds(min(self.site.network.now, self.loads_until))


def find_detection_seconds(
    site: DistributionSite, distributed: bool, loads_for: float
) -> float:
    """Return the seconds after which a gateway takes a loader for silent."""
    started_at = site.network.now
    watcher = site.gateways[0].watcher
    watcher.requests.is_distributed = distributed
    watcher._is_same_region = lambda target: True  # type: ignore[method-assign]
    channel: Any = SilentChannel(site, started_at + loads_for)
    with pytest.raises(ChannelClosed):
        watcher._receive_message(channel, site.loaders[0].engine)
    return site.network.now - started_at


@pytest.mark.parametrize("loads_for", [0.0, 5.0])
def test_few_gateways_expect_a_heartbeat_as_before(
    make_site: SiteMaker, loads_for: float
) -> None:
    site = make_site("ab", "a")
    seconds = find_detection_seconds(site, False, loads_for)
    assert seconds == pytest.approx(NEAR_LIMIT_SECONDS)


@pytest.mark.parametrize("loads_for", [0.0, 1.0, 4.0])
def test_loader_is_lost_as_soon_after_its_last_load(
    make_site: SiteMaker, loads_for: float
) -> None:
    site = make_site("ab", "a")
    seconds = find_detection_seconds(site, True, loads_for)
    assert seconds == pytest.approx(loads_for + NEAR_LIMIT_SECONDS)


def test_channel_without_heartbeats_is_given_up_although_loads_arrive(
    make_site: SiteMaker,
) -> None:
    site = make_site("ab", "a")
    seconds = find_detection_seconds(site, True, 60.0)
    assert seconds == pytest.approx(FAR_LIMIT_SECONDS)


@pytest.mark.parametrize(
    ("gateways", "interval"),
    [(24, NEAR_HEARTBEAT_SECONDS), (25, FAR_HEARTBEAT_SECONDS)],
)
def test_heartbeats_are_rare_only_where_loads_are_distributed(
    make_site: SiteMaker, gateways: int, interval: float
) -> None:
    site = make_site("a" * gateways, "a")
    feed = site.loaders[0].feed
    assert {feed._heartbeat_interval(watcher) for watcher in feed.watchers} == {
        interval
    }


def test_stopping_gateway_gets_frequent_heartbeats_and_direct_reports(
    make_site: SiteMaker,
) -> None:
    """It is no longer known to the distributors, but serves until it has stopped."""
    site = make_site("a" * 30, "a")
    feed = site.loaders[0].feed
    stopping = feed.watchers[7]
    stopping.gateway = None
    feed._choose_distributors()
    assert feed._heartbeat_interval(stopping) == NEAR_HEARTBEAT_SECONDS
    site.run(1.0)
    assert site.network.received[stopping.address.host] >= 20


def test_pings_are_left_to_the_loader(
    make_site: SiteMaker, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Pings of both sides took a tenth of the processor time of a loader."""
    opened = Mock(side_effect=ChannelClosed("closed by the test"))
    monkeypatch.setattr(load_watcher, "open_channel", opened)
    site = make_site("a", "a")
    with pytest.raises(ChannelClosed):
        watcher = site.gateways[0].watcher
        watcher._receive_reports(site.loaders[0].engine, "10.9.0.0:7000")
    assert opened.call_args.kwargs == {"keepalive": False}
