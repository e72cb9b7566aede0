"""Sends and receives typed CBOR messages in datagrams.

Datagrams carry state that is sent again often, so that a lost message does no harm. A
message of some 100 bytes takes a fraction of the processor time of a websocket message
and is encoded once for all its receivers.
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

MAX_DATAGRAM_BYTES = 1400
"""Largest datagram in bytes: fits into one packet of every usual link."""
BATCH_PAUSE_SECONDS = 0.02
"""Pause between two batches while datagrams arrive. At 200 reports a second, one
wake-up per report took 3 times the processor time of all other work of a gateway. The
pause delays a report by 10 ms on average; an engine reports every 50 ms."""
MAX_BATCH = 256
"""Most datagrams received before other green threads run: some 10 ms of work."""


class Datagram(NamedTuple):
    """A received message.

    Attributes:
        host: The host that sent the message.
        message: The decoded message.
    """

    host: str
    message: Any


class DatagramSocket:
    """Sends and receives messages on a UDP socket.

    Attributes:
        address: Address that the socket is bound to; after ``start`` with the port
            that the system has assigned.
        rejected: Number of received datagrams that were not a message of an expected
            type.
        socket: The socket; None before ``start``.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.rejected = 0
        self.socket: Any = None

    def start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: The address is in use.
        """
        self.socket = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.address)
        self.address = Address(*self.socket.getsockname()[:2])

    def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            self.socket.close()

    def send(self, message: Any, addresses: Iterator[Address]) -> None:
        """Send a message to each address.

        A datagram that the system does not accept at once is dropped.
        """
        data = encode_message(message)
        for address in addresses:
            # The link is full or the receiver is gone. The next message replaces
            # this one.
            with suppress(OSError):
                self.socket.sendto(data, address)

    def messages(self, expected: Any) -> Iterator[Datagram]:
        """Yield messages as they arrive; count and skip datagrams of other types.

        Args:
            expected: The message class, or a union of classes.
        """
        for data, host in self._receive():
            decoded = decode_message(data, expected)
            if isinstance(decoded, Failure):
                self.rejected += 1
                continue
            yield Datagram(host, decoded.unwrap())

    def _receive(self) -> Iterator[tuple[bytes, str]]:
        """Yield datagrams and their hosts, in batches while they arrive."""
        while True:
            batch = list(self._receive_batch())
            yield from batch
            if batch:
                eventlet.sleep(BATCH_PAUSE_SECONDS)
            else:
                trampoline(self.socket.fileno(), read=True)

    def _receive_batch(self) -> Iterator[tuple[bytes, str]]:
        """Yield the datagrams in the socket's buffer, at most ``MAX_BATCH``."""
        for _ in range(MAX_BATCH):
            try:
                # Read from the underlying socket: the green socket would wait for
                # the next datagram.
                data, (host, _port) = self.socket.fd.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionError as error:
                # The system reports that an earlier datagram had no receiver.
                logger.debug("%s: %s", self.address, error)
                continue
            yield data, host
