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
from eventlet.hubs import trampoline
from returns.result import Failure

from ridgecourse.net.address import Address
from ridgecourse.wire.codec import decode_message, encode_message

logger = logging.getLogger(__name__)

MAX_BYTES = 1400
"""Longest datagram: fits into one packet of every usual link."""
GATHER_SECONDS = 0.02
"""How long datagrams gather while some come. A wake-up for each took a gateway three
times as long as all else at 200 reports a second; a report gets 10 ms older in mean, of
the 50 ms between two of one engine."""
MOST_AT_ONCE = 256
"""Datagrams taken in before others have their turn: some 10 ms of work."""


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
        for data, host in self._datagrams():
            decoded = decode_message(data, expected)
            if isinstance(decoded, Failure):
                self.refused += 1
                continue
            yield Datagram(host, decoded.unwrap())

    def _datagrams(self) -> Iterator[tuple[bytes, str]]:
        """Yield datagrams, gathered for a moment while there are some."""
        while True:
            waiting = list(self._waiting())
            yield from waiting
            if waiting:
                eventlet.sleep(GATHER_SECONDS)
            else:
                trampoline(self.socket.fileno(), read=True)

    def _waiting(self) -> Iterator[tuple[bytes, str]]:
        """Yield the datagrams that are there, at most as many as are taken at once."""
        for _ in range(MOST_AT_ONCE):
            try:
                # Of the socket below: the green one would wait for the next datagram.
                data, (host, _port) = self.socket.fd.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except ConnectionError as error:
                # An earlier datagram reached nobody.
                logger.debug("%s: %s", self.address, error)
                continue
            yield data, host
