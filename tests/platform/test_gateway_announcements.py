"""Traffic of announcing gateways to each other when all start or restart."""

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
"""Size of one gateway's entry in a message."""
ENTRIES_PER_GATEWAY = 2
"""Entries that a watcher may receive for each gateway that connects: 1 is needed, and
some gateways connect while the changes of others are still being batched."""


class Channel:
    """A control connection that counts what is sent over it."""

    def __init__(self) -> None:
        self.bytes = 0
        self.messages: list[Any] = []
        self.closed = False

    def send(self, message: Any) -> None:
        if self.closed:
            raise ChannelClosed("the test closed the channel")
        if not isinstance(message, EngineReport):
            self.bytes += len(encode_message(message))
            self.messages.append(message)


class WatchedLoader:
    """A loader's status feed with gateways that watch it."""

    def __init__(self) -> None:
        rollout = Mock()
        rollout.view.version_ages.return_value = []
        gateways = KnownGateways([], Mock(), Mock())
        self.feed = StatusFeed(Mock(), rollout, gateways, Mock())
        self.threads: dict[Channel, eventlet.greenthread.GreenThread] = {}

    def watch(self, number: int, **options: Any) -> Channel:
        """Connect a gateway as a watcher."""
        host = f"10.1.{number // 250}.{number % 250}"
        name, domain = TargetName(host), DomainName("ahead-of-the-hills-a")
        peer = Peer(name, domain, f"{host}:7001", f"{host}:7000", 2_500_000.0)
        process = ProcessName(f"edge-{number}")
        watch = Watch(PROTOCOL_VERSION, process, True, peer, f"{host}:7000", **options)
        channel = Channel()
        self.threads[channel] = eventlet.spawn(self.serve, channel, watch)
        eventlet.sleep(0)
        return channel

    def serve(self, channel: Channel, watch: Watch) -> None:
        try:
            self.feed.serve_watcher(channel, watch)
        except ChannelClosed:
            return

    def disconnect(self, channel: Channel) -> None:
        """Disconnect a gateway."""
        self.threads.pop(channel).kill()
        eventlet.sleep(0)

    def close(self) -> None:
        for thread in self.threads.values():
            thread.kill()


@pytest.fixture
def site() -> Iterator[WatchedLoader]:
    loader = WatchedLoader()
    yield loader
    loader.close()


def wait_for_announcements() -> None:
    """Wait until all batched changes are announced."""
    eventlet.sleep(1.0)


@pytest.mark.parametrize("count", [6, 39, 120])
def test_a_simultaneous_start_announces_each_gateway_about_once(
    site: WatchedLoader, count: int
) -> None:
    channels = [site.watch(number) for number in range(count)]
    wait_for_announcements()
    for channel in channels:
        assert channel.bytes <= ENTRIES_PER_GATEWAY * PEER_BYTES * count + PEER_BYTES


@pytest.mark.parametrize("count", [6, 39, 120])
def test_a_rolling_restart_announces_only_changes(
    site: WatchedLoader, count: int
) -> None:
    channels = [site.watch(number) for number in range(count)]
    wait_for_announcements()
    first, bytes_before = channels[0], channels[0].bytes
    for number, channel in enumerate(channels[1:], start=1):
        site.disconnect(channel)
        site.watch(number)
    wait_for_announcements()
    assert first.bytes - bytes_before <= ENTRIES_PER_GATEWAY * PEER_BYTES * count


def test_a_single_change_is_announced_at_once(site: WatchedLoader) -> None:
    first = site.watch(1)
    eventlet.sleep(0.01)
    messages_before = len(first.messages)
    site.watch(2)
    eventlet.sleep(0.05)
    assert [peer.name for peer in first.messages[-1].came] == ["10.1.0.2"]
    assert len(first.messages) == messages_before + 1
