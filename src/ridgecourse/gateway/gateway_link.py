"""Datagrams between gateways, for what all of them have to know at once."""

from collections.abc import Callable, Collection, Iterable
from random import Random
from typing import Any

import eventlet

from ridgecourse.core.hubs import Peer
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.core.site import Site
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.control import GatewayNews

PORT_OFFSET = 2
"""From the control port to the one for this: the port between them is for chunks."""
KEEPERS = 2
NEAR_KEEPERS = 1
"""Gateways that gather what is known of a key, of all and of the own domain: the loss
of one loses nothing."""


class GatewayLink:
    """Sends news to other gateways and hands out what they send.

    Attributes:
        place: This gateway.
        known: Returns the other gateways.
        handlers: Take messages, by their type.
        address: Where this gateway takes them.
    """

    def __init__(
        self,
        site: Site,
        place: Peer,
        known: Callable[[], Collection[Peer]],
        random: Random,
    ) -> None:
        self.site = site
        self.place = place
        self.known = known
        self.random = random
        self.address = Address(site.host, site.peer_ports[0] + PORT_OFFSET)
        self.socket = DatagramSocket(self.address)
        self.handlers: dict[type, Callable[[Any], None]] = {}
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to listen."""
        self.socket.start()
        self.thread = spawn_loop(self._receive)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()
        self.socket.close()

    def all(self) -> list[Address]:
        """Return where all known gateways take news."""
        return self._addresses(peer.control_address for peer in self.known())

    def some(self, count: int) -> list[Address]:
        """Return where some of them do, chosen anew each time."""
        addresses = self.all()
        return self.random.sample(addresses, min(count, len(addresses)))

    def keepers(self, key: str) -> list[Address]:
        """Return where those take news that gather what is known of a key.

        The first of all gateways by rendezvous hashing, and one of the own domain,
        which may be cut off.
        """
        peers = {str(peer.name): peer for peer in [*self.known(), self.place]}
        ranked = [peers[name] for name in rendezvous_rank(key, peers)]
        near = [peer for peer in ranked if peer.domain == self.place.domain]
        chosen = [*ranked[:KEEPERS], *near[:NEAR_KEEPERS]]
        return self._addresses(peer.control_address for peer in chosen)

    def seeds(self) -> list[Address]:
        """Return where the processes would that the settings name."""
        return self._addresses(self.site.seeds)

    def send(self, message: Any, addresses: Iterable[Address]) -> None:
        """Send a message; it may get lost."""
        self.socket.send(message, iter(addresses))

    def _addresses(self, control_addresses: Iterable[str]) -> list[Address]:
        hosts = {parse_address(address).host for address in control_addresses}
        return [Address(host, self.address.port) for host in hosts - {self.site.host}]

    def _receive(self) -> None:
        for _, message in self.socket.messages(GatewayNews):
            self.handlers[type(message)](message)
