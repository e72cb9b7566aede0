"""Sends and receives typed messages in datagrams.

Datagrams carry state that is sent again often, so that a lost message does no harm. A
message of some 100 bytes takes a fraction of the processor time of a websocket message
and is encoded once for all its receivers.
"""

import logging
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from struct import Struct
from time import time
from typing import Any, NamedTuple

import eventlet
from eventlet.green import socket as green_socket
from eventlet.hubs import trampoline
from msgspec import msgpack
from returns.result import Failure, Result

from ridgecourse.net.address import Address
from ridgecourse.wire.codec import (
    PACKED_MARK,
    DecodeFailure,
    decode_message,
    decode_packed,
    encode_message,
    encode_packed,
)
from ridgecourse.wire.control import PackedMessage

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 1400
"""Largest datagram in bytes: fits into one packet of every usual link."""
BATCH_PAUSE_SECONDS = 0.02
"""Pause between two batches while datagrams arrive. At 200 reports a second, one
wake-up per report took 3 times the processor time of all other work of a gateway. The
pause delays a report by 10 ms on average; an engine reports every 50 ms."""
MAX_BATCH = 256
"""Most datagrams received before other green threads run: some 10 ms of work."""
SO_TIMESTAMPNS = 35
"""Option of Linux for the arrival time of each datagram; the socket module lacks it."""
TIMESPEC = Struct("qq")
"""Seconds and nanoseconds of an arrival time."""
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
"""Buffer for the arrival time of a datagram, in bytes."""
MAX_WAIT_SECONDS = 60.0
"""Longest wait that is believed: the arrival times follow the wall clock, which may be
set."""


class Datagram(NamedTuple):
    """A received message.

    Attributes:
        host: The host that sent the message.
        message: The decoded message.
        waited: Seconds between the arrival and the receipt. A process that was frozen
            or is overloaded receives old datagrams.
    """

    host: str
    message: Any
    waited: float = 0.0


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
        with suppress(OSError):
            # Without the option, waits count as 0.
            self.socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
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
        is_packed = isinstance(message, PackedMessage)
        data = encode_packed(message) if is_packed else encode_message(message)
        for address in addresses:
            # The link is full or the receiver is gone. The next message replaces
            # this one.
            with suppress(OSError):
                self.socket.sendto(data, address)

    def messages(self, expected: Any, packed: Any = None) -> Iterator[Datagram]:
        """Yield messages as they arrive; count and skip datagrams of other types.

        Args:
            expected: The message class, or a union of classes, of CBOR messages.
            packed: The same for packed messages; None if none are expected.
        """
        decode = make_decoder(expected, packed)
        for data, host, waited in self._receive():
            decoded = decode(data)
            if isinstance(decoded, Failure):
                self.rejected += 1
                continue
            yield Datagram(host, decoded.unwrap(), waited)

    def _receive(self) -> Iterator[tuple[bytes, str, float]]:
        """Yield datagrams and their hosts, in batches while they arrive."""
        while True:
            batch = list(self._receive_batch())
            yield from batch
            if batch:
                eventlet.sleep(BATCH_PAUSE_SECONDS)
            else:
                trampoline(self.socket.fileno(), read=True)

    def _receive_batch(self) -> Iterator[tuple[bytes, str, float]]:
        """Yield the datagrams in the socket's buffer, at most ``MAX_BATCH``."""
        for _ in range(MAX_BATCH):
            try:
                # Read from the underlying socket: the green socket would wait for
                # the next datagram.
                data, ancillary, _flags, (host, _port) = self.socket.fd.recvmsg(
                    MAX_DATAGRAM_BYTES, ANCILLARY_BYTES
                )
            except BlockingIOError:
                return
            except ConnectionError as error:
                # The system reports that an earlier datagram had no receiver.
                logger.debug("%s: %s", self.address, error)
                continue
            yield data, host, measure_wait(ancillary)


def make_decoder(
    expected: Any, packed: Any
) -> Callable[[bytes], Result[Any, DecodeFailure]]:
    """Return a function that decodes the expected messages.

    Args:
        expected: The message class, or a union of classes, of CBOR messages.
        packed: The same for packed messages; None if none are expected.
    """
    decoder = None if packed is None else msgpack.Decoder(packed)

    def decode(data: bytes) -> Result[Any, DecodeFailure]:
        if decoder is not None and data[:1] == PACKED_MARK:
            return decode_packed(data, decoder)
        return decode_message(data, expected)

    return decode


def measure_wait(ancillary: list[tuple[int, int, bytes]]) -> float:
    """Return the seconds since a datagram arrived at the machine; 0 if unknown.

    Args:
        ancillary: Ancillary data of the datagram.
    """
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESPEC.unpack(data[: TIMESPEC.size])
            waited = time() - seconds - nanoseconds / 1e9
            return waited if 0.0 < waited < MAX_WAIT_SECONDS else 0.0
    return 0.0
