"""Typed CBOR messages in datagrams, for what is told anew often and may be lost.

A message of some 100 bytes costs a fraction of the processor time that a websocket
takes for it, and is encoded once for all who get it.
"""

import logging
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import Any, NamedTuple

import eventlet
from eventlet.green import socket as green_socket
from returns.result import Failure

from ridgecourse.net.address import Address
from ridgecourse.wire.codec import decode_message, encode_message

logger = logging.getLogger(__name__)

MAX_BYTES = 1400
"""Longest datagram: fits into one packet of every usual link."""


class Datagram(NamedTuple):
    """A message and the host that it came from."""

    host: str
    message: Any


class DatagramSocket:
    """Sends and receives messages.

    Attributes:
        address: Where it is bound; the port is the real one after ``start``.
        refused: Datagrams that were no message of an expected type.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.refused = 0
        self.socket: Any = None

    def start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: The address is taken.
        """
        self.socket = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.address)
        self.address = Address(*self.socket.getsockname()[:2])

    def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            self.socket.close()

    def send(self, message: Any, addresses: Iterator[Address]) -> None:
        """Send a message to all of some addresses; what does not fit is dropped."""
        data = encode_message(message)
        for address in addresses:
            # A full link or a dead receiver: the next message replaces this one.
            with suppress(OSError):
                self.socket.sendto(data, address)

    def messages(self, expected: Any) -> Iterator[Datagram]:
        """Yield messages as they come; what is none is counted and passed over."""
        while True:
            try:
                data, (host, _) = self.socket.recvfrom(MAX_BYTES)
            except ConnectionError as error:
                # An earlier datagram reached nobody.
                logger.debug("%s: %s", self.address, error)
                eventlet.sleep(0)
                continue
            decoded = decode_message(data, expected)
            if isinstance(decoded, Failure):
                self.refused += 1
                continue
            yield Datagram(host, decoded.unwrap())
