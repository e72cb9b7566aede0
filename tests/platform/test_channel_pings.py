"""A control server closes connections whose other end does not answer pings.

Guards against gateways that were cut off or frozen and count as connected for good.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event
from typing import Any
from unittest.mock import Mock

import eventlet
import pytest
from websockets.exceptions import ConnectionClosedOK

from bench.idle import Site
from ridgecourse.net.address import Address
from ridgecourse.net.websocket import ControlChannel, ControlServer


def make_channel(server: ControlServer, answers: bool) -> tuple[ControlChannel, Any]:
    """Add a channel whose other end answers pings, or not."""

    def ping(ack_on_close: bool) -> Event:
        pong = Event()
        if answers:
            pong.set()
        return pong

    connection = Mock()
    connection.ping.side_effect = ping
    channel = ControlChannel(connection)
    server.channels.add(channel)
    return channel, connection


def test_only_connections_without_pongs_are_closed() -> None:
    server = ControlServer(Address("127.0.0.1", 0), "", Mock())
    _, answering = make_channel(server, True)
    _, silent = make_channel(server, False)
    ended, ended_connection = make_channel(server, True)
    ended_connection.ping.side_effect = ConnectionClosedOK(None, None)
    for _ in range(2):
        server.ping_channels()
        eventlet.sleep(0)
    assert answering.ping.call_count == 2
    assert not answering.close.called
    assert silent.ping.call_count == 1
    assert silent.close.called
    assert not ended_connection.close.called


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path, 3, 1, 0, False)
    try:
        site.start()
        yield site
    finally:
        for process in site.processes["gateway"]:
            if process.process is not None:
                process.resume()
        site.close()


def test_loader_forgets_a_frozen_gateway(site: Site) -> None:
    """Real processes; the frozen gateway comes back after it has continued."""
    frozen, *others = site.processes["gateway"]
    (loader,) = site.processes["loader"]
    frozen.pause()
    # The first events are of the start, one for each gateway.
    lost = loader.wait_event("gateways-known", after=len(others) + 1)
    assert lost["detail"]["gateways"] == sorted(process.name for process in others)
    frozen.resume()
    returned = loader.wait_event("gateways-known", after=len(others) + 2)
    assert frozen.name in returned["detail"]["gateways"]
