"""Number of datagrams with which gateways tell each other that an engine leaves.

Guards against each gateway telling all others what it has heard from them.
"""

from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import eventlet
import pytest
from test_engine_limits import INCARNATION, make_peers

from ridgecourse.core.hubs import Peer
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.gateway_link import (
    FANOUT,
    RESEND_COUNT,
    RESEND_INTERVAL_SECONDS,
    GatewayLink,
)
from ridgecourse.gateway.messages import AnswerHead
from ridgecourse.net.address import Address, parse_address
from ridgecourse.wire.control import EngineLeaving

LEAVING_HEAD = AnswerHead(200, "OK", [], "", True, False, False, False, leaving=True)


class LinkedGateways:
    """Gateways whose links deliver each datagram at once.

    Attributes:
        sent_count: Number of datagrams sent so far.
        peers: The gateways as peers of each other.
        watches: The announcement watch of each gateway, by host.
    """

    def __init__(self, count: int) -> None:
        self.sent_count = 0
        self.peers = make_peers(count)
        self.watches: dict[str, AnnouncementWatch] = {}
        for peer in self.peers:
            self.add_gateway(peer)

    def add_gateway(self, peer: Peer) -> None:
        host = parse_address(peer.control_address).host
        site: Any = SimpleNamespace(host=host, peer_ports=(1, 9), seeds=())
        others = [other for other in self.peers if other != peer]
        link = GatewayLink(site, peer, lambda: others, Random(1))
        link.socket = Mock(send=self.deliver)
        self.watches[host] = AnnouncementWatch(site, Mock(), link, Mock())

    def deliver(self, message: EngineLeaving, addresses: Any) -> None:
        for address in addresses:
            self.sent_count += 1
            self.receive(address, message)

    def receive(self, address: Address, message: EngineLeaving) -> None:
        self.watches[address.host].link.handlers[EngineLeaving](message)


@pytest.mark.parametrize("count", [6, 40, 98])
def test_an_engine_that_leaves_is_told_of_once(count: int) -> None:
    gateways = LinkedGateways(count)
    for watch in gateways.watches.values():
        watch.record_answer(INCARNATION, LEAVING_HEAD)
    eventlet.sleep(RESEND_INTERVAL_SECONDS * (RESEND_COUNT + 1))
    assert all(watch.is_leaving(INCARNATION) for watch in gateways.watches.values())
    assert gateways.sent_count == count - 1 + RESEND_COUNT * FANOUT
