"""What it costs that gateways learn of each other, when all start or start again."""

from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock

import eventlet
import pytest

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, ProcessName, TargetName
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.loader.status import StatusFeed
from ridgecourse.net.websocket import ChannelClosed
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import PROTOCOL_VERSION, EngineReport, Watch

PEER_BYTES = 130
"""Of one gateway's entry in a message."""
ENTRIES = 2
"""Entries that a watcher may get for each gateway that comes: one is needed, and some
come while others are still gathered."""


class Channel:
    """A control connection that counts what is sent over it."""

    def __init__(self) -> None:
        self.bytes = 0
        self.messages: list[Any] = []
        self.closed = False

    def send(self, message: Any) -> None:
        if self.closed:
            raise ChannelClosed("the test ended it")
        if not isinstance(message, EngineReport):
            self.bytes += len(encode_message(message))
            self.messages.append(message)


class Site:
    """A loader's feed, and gateways that watch it."""

    def __init__(self) -> None:
        rollout = Mock()
        rollout.view.version_ages.return_value = []
        gateways = KnownGateways([], Mock(), Mock())
        self.feed = StatusFeed(Mock(), rollout, gateways, Mock())
        self.threads: dict[Channel, eventlet.greenthread.GreenThread] = {}

    def watch(self, number: int, **more: Any) -> Channel:
        """Let a gateway watch."""
        host = f"10.1.{number // 250}.{number % 250}"
        name, domain = TargetName(host), DomainName("ahead-of-the-hills-a")
        peer = Peer(name, domain, f"{host}:7001", f"{host}:7000", 2_500_000.0)
        process = ProcessName(f"edge-{number}")
        watch = Watch(PROTOCOL_VERSION, process, True, peer, f"{host}:7000", **more)
        channel = Channel()
        self.threads[channel] = eventlet.spawn(self.tell, channel, watch)
        eventlet.sleep(0)
        return channel

    def tell(self, channel: Channel, watch: Watch) -> None:
        try:
            self.feed.serve_watcher(channel, watch)
        except ChannelClosed:
            return

    def leave(self, channel: Channel) -> None:
        """Let a gateway go away."""
        self.threads.pop(channel).kill()
        eventlet.sleep(0)

    def close(self) -> None:
        for thread in self.threads.values():
            thread.kill()


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    yield made
    made.close()


def settle() -> None:
    """Let everything be told that is gathered."""
    eventlet.sleep(1.0)


@pytest.mark.parametrize("count", [6, 39, 120])
def test_a_start_of_all_tells_each_gateway_of_each_other_once(
    site: Site, count: int
) -> None:
    channels = [site.watch(number) for number in range(count)]
    settle()
    for channel in channels:
        assert channel.bytes <= ENTRIES * PEER_BYTES * count + PEER_BYTES


@pytest.mark.parametrize("count", [6, 39, 120])
def test_a_restart_in_turn_costs_what_changed(site: Site, count: int) -> None:
    channels = [site.watch(number) for number in range(count)]
    settle()
    stays, before = channels[0], channels[0].bytes
    for number, channel in enumerate(channels[1:], start=1):
        site.leave(channel)
        site.watch(number)
    settle()
    assert stays.bytes - before <= ENTRIES * PEER_BYTES * count


def test_a_single_change_is_told_at_once(site: Site) -> None:
    first = site.watch(1)
    eventlet.sleep(0.01)
    before = len(first.messages)
    site.watch(2)
    eventlet.sleep(0.05)
    assert [peer.name for peer in first.messages[-1].came] == ["10.1.0.2"]
    assert len(first.messages) == before + 1
