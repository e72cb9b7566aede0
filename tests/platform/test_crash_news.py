"""What gateways tell each other of an engine that ended does not grow with the site."""

from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from test_engine_limits import make_peers

from ridgecourse.core.crash_reports import (
    Flight,
)
from ridgecourse.core.crash_suspects import (
    SendDecision,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    EngineStart,
    ProcessName,
    RequestId,
    RequestSignature,
    TargetId,
)
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.wire.control import CrashReports

SIZES = (6, 40, 98)
REQUESTS = 16
"""Requests at an engine that ends."""
MOST_FOR_A_MARK = 3
CRASHING = RequestSignature(b"crashing")


class Site:
    """Gateways with a link that delivers at once.

    Attributes:
        sent: Datagrams sent so far.
    """

    def __init__(self, count: int) -> None:
        self.sent = 0
        self.peers = make_peers(count)
        self.gateways = {peer.name: self.make_gateway(peer) for peer in self.peers}

    def make_gateway(self, peer: Peer) -> CrashWatch:
        host = parse_address(peer.control_address).host
        site: Any = SimpleNamespace(
            process=ProcessName(host), host=host, peer_ports=(1, 9), seeds=()
        )
        site.first_start = True
        link = GatewayLink(site, peer, lambda: self.peers, Random(1))
        link.send = self.send  # type: ignore[method-assign]
        return CrashWatch(site, Mock(), link, Mock())

    def send(self, message: CrashReports, addresses: list[Address]) -> None:
        for address in addresses:
            self.sent += 1
            for peer in self.peers:
                if parse_address(peer.control_address).host == address.host:
                    self.gateways[peer.name].apply_reports(message)

    def end(self, number: int, signatures: list[RequestSignature]) -> None:
        """End an engine under requests of gateways one after the other."""
        life = EngineIncarnation(TargetId(f"i-{number}"), EngineStart(number))
        names = list(self.gateways)
        for turn, signature in enumerate(signatures):
            gateway = self.gateways[names[(number + turn) % len(names)]]
            gateway.ended_incarnations[life] = None
            flight = Flight(RequestId("attempt"), signature, life, "127.0.0.1:1")
            gateway.record_disconnect(flight)

    def verdicts(self, signature: RequestSignature) -> set[SendDecision]:
        return {
            gateway.suspects.check(signature, boottime())
            for gateway in self.gateways.values()
        }


@pytest.mark.parametrize("count", SIZES)
def test_an_end_is_told_in_as_many_datagrams_on_a_larger_site(count: int) -> None:
    site = Site(count)
    site.end(1, [RequestSignature(b"harmless %d" % n) for n in range(REQUESTS)])
    assert 0 < site.sent <= REQUESTS * MOST_FOR_A_MARK


@pytest.mark.parametrize("count", SIZES)
def test_ends_seen_by_different_gateways_are_known_to_all(count: int) -> None:
    site = Site(count)
    for number in range(3):
        site.end(number, [CRASHING])
    assert site.verdicts(CRASHING) == {SendDecision.BLOCKED}
    # Each later mark once to all, and what two of those who gather it complete.
    assert site.sent <= 8 * count
