"""TCP sockets: connections that wait to be accepted, and addresses that refuse them."""

from array import array
from collections.abc import Iterator
from contextlib import suppress
from socket import IPPROTO_TCP, SOL_SOCKET, TCP_INFO
from struct import pack, unpack_from
from typing import Any

from eventlet.green import socket

from ridgecourse.net.address import parse_address

SO_ATTACH_FILTER = 26
"""Number of the socket option on Linux; the standard library does not name it."""
LINGER_RESET = pack("ii", 1, 0)
"""Value of SO_LINGER that turns a close into a reset: linger for 0 seconds."""
LINGER_OFF = pack("ii", 0, 0)
"""Default value of SO_LINGER: a close sends what is buffered."""
DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)
"""Packet filter: load the TCP flags; if SYN is set, keep no byte, else all bytes."""
QUEUE_LENGTH_OFFSET = 24
"""Offset of ``tcpi_unacked`` in the TCP_INFO of Linux. Of a listening socket it is the
number of connections that wait to be accepted."""


def drop_new_connections(listener: Any) -> None:
    """Make a listener drop each first packet of a connection.

    Handshakes that have begun go on. A client that connects now tries again, and is
    refused once the listener is closed.
    """
    instructions = array("B", b"".join(pack("HBBI", *line) for line in DROP_SYN))
    address, _ = instructions.buffer_info()
    with suppress(OSError):
        listener.setsockopt(
            SOL_SOCKET, SO_ATTACH_FILTER, pack("HP", len(DROP_SYN), address)
        )


def accept_queued(listener: Any, limit: int) -> Iterator[tuple[Any, Any]]:
    """Yield the connections that wait, since closing the listener resets them."""
    listener.settimeout(0.0)
    with suppress(OSError):
        for _ in range(limit):
            yield listener.accept()


def count_queued(listener: Any) -> int:
    """Return the number of connections that wait to be accepted."""
    info = listener.getsockopt(IPPROTO_TCP, TCP_INFO, QUEUE_LENGTH_OFFSET + 4)
    return int(unpack_from("I", info, QUEUE_LENGTH_OFFSET)[0])


def refuses_connections(address: str, seconds: float) -> bool:
    """Check whether an address refuses connections, that is, its process has ended.

    A process that does not answer may only be unreachable, and a process that accepts a
    connection is running. Neither counts as a refusal.

    Args:
        address: HOST:PORT.
        seconds: Longest wait for an answer.
    """
    socket_address = parse_address(address)
    try:
        connection = socket.create_connection(
            (socket_address.host, socket_address.port), seconds
        )
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    with suppress(OSError):
        connection.close()
    return False
