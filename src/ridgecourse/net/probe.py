"""Checks whether a process listens at an address."""

from contextlib import suppress

from eventlet.green import socket

from ridgecourse.net.address import parse_address


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
