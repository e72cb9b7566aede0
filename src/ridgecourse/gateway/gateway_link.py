"""Datagram link between gateways, for messages that all gateways need promptly."""

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
from ridgecourse.wire.control import GatewayMessage

PORT_OFFSET = 2
"""Offset of this port from the control port; the port between them serves chunks."""
OWNERS_PER_KEY = 2
LOCAL_OWNERS_PER_KEY = 1
"""Gateways that collect the reports on a key: ``OWNERS_PER_KEY`` of all gateways and
``LOCAL_OWNERS_PER_KEY`` of the own failure domain. The loss of one gateway loses no
report."""
RESEND_COUNT = 2
"""How often news are sent again to a sample of gateways, since datagrams get lost."""
RESEND_INTERVAL_SECONDS = 0.2
FANOUT = 3


class GatewayLink:
    """Sends messages to other gateways and dispatches received messages to handlers.

    Attributes:
        site: The settings in force.
        local: The local peer.
        known: Returns the other known gateways.
        random: Selects samples of gateways.
        address: Where this gateway receives datagrams.
        socket: Socket at ``address``.
        handlers: Handler of each message type.
        thread: Thread that receives messages.
    """

    def __init__(
        self,
        site: Site,
        local: Peer,
        known: Callable[[], Collection[Peer]],
        random: Random,
    ) -> None:
        self.site = site
        self.local = local
        self.known = known
        self.random = random
        self.address = Address(site.host, site.peer_ports[0] + PORT_OFFSET)
        self.socket = DatagramSocket(self.address)
        self.handlers: dict[type, Callable[[Any], None]] = {}
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Open the socket and start to receive messages."""
        self.socket.start()
        self.thread = spawn_loop(self._receive)

    def close(self) -> None:
        """Stop the receiving thread and close the socket."""
        if self.thread is not None:
            self.thread.kill()
        self.socket.close()

    def all_addresses(self) -> list[Address]:
        """Return the datagram addresses of all known gateways."""
        return self._addresses(peer.control_address for peer in self.known())

    def sample_addresses(self, count: int) -> list[Address]:
        """Return a new random sample of at most ``count`` gateway addresses."""
        addresses = self.all_addresses()
        return self.random.sample(addresses, min(count, len(addresses)))

    def owners(self, key: str) -> list[Address]:
        """Return the addresses of the gateways that collect the reports on a key.

        These are the first of all gateways by rendezvous hashing, and the first of the
        own failure domain, which may be partitioned from the others.
        """
        peers = {str(peer.name): peer for peer in [*self.known(), self.local]}
        ranked = [peers[name] for name in rendezvous_rank(key, peers)]
        local_ranked = [peer for peer in ranked if peer.domain == self.local.domain]
        chosen = [*ranked[:OWNERS_PER_KEY], *local_ranked[:LOCAL_OWNERS_PER_KEY]]
        return self._addresses(peer.control_address for peer in chosen)

    def addresses_of(self, gateways: Iterable[Peer]) -> list[Address]:
        """Return the datagram addresses of gateways."""
        return self._addresses(peer.control_address for peer in gateways)

    def seed_addresses(self) -> list[Address]:
        """Return the datagram addresses of the seed nodes in the settings."""
        return self._addresses(self.site.seeds)

    def send(self, message: Any, addresses: Iterable[Address]) -> None:
        """Send a message to each address; datagrams may get lost."""
        self.socket.send(message, iter(addresses))

    def announce(self, make_message: Callable[[], Any | None]) -> None:
        """Send news to all gateways, and again to samples of them.

        Args:
            make_message: Returns the message as of now; None if it no longer applies.
        """
        self.send(make_message(), self.all_addresses())
        eventlet.spawn(self._announce_again, make_message)

    def _announce_again(self, make_message: Callable[[], Any | None]) -> None:
        for _ in range(RESEND_COUNT):
            eventlet.sleep(RESEND_INTERVAL_SECONDS)
            if (message := make_message()) is not None:
                self.send(message, self.sample_addresses(FANOUT))

    def _addresses(self, control_addresses: Iterable[str]) -> list[Address]:
        hosts = {parse_address(address).host for address in control_addresses}
        return [Address(host, self.address.port) for host in hosts - {self.site.host}]

    def _receive(self) -> None:
        for datagram in self.socket.messages(GatewayMessage):
            self.handlers[type(datagram.message)](datagram.message)
