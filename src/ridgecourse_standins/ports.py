"""Allocates free ports on loopback, below the range of outgoing connections.

The range is divided into blocks, and each process takes its ports from a block that no
other process has claimed. Concurrent test runs therefore never allocate the same port,
whichever of the loopback addresses they use the port on.
"""

import socket
from collections.abc import Iterator
from functools import cache
from itertools import cycle

FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 1_000
"""Number of ports in a block.

The first port is the guard, which the process that claimed the block keeps bound.
"""


STAND_IN_PORTS = 400
"""Number of ports of a block that stand-ins listen on. Processes under test also use
the port after the one that was allocated for them."""


class PortBlock:
    """A block of ports that only this process allocates.

    Attributes:
        guard: Socket bound to the first port until the process ends.
        ports: Ports for the processes under test, repeated endlessly.
        stand_in_ports: Ports for stand-ins, repeated endlessly.
    """

    def __init__(self) -> None:
        self.guard = socket.socket()
        first_port = self._claim()
        end = first_port + BLOCK_PORTS
        self.ports = cycle(range(first_port + 1, end - STAND_IN_PORTS))
        self.stand_in_ports = cycle(range(end - STAND_IN_PORTS, end))

    def _claim(self) -> int:
        """Bind the guard of an unclaimed block; return the port of the guard.

        Raises:
            OSError: All blocks are claimed.
        """
        for first_port in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            try:
                self.guard.bind(("127.0.0.1", first_port))
            except OSError:
                continue
            return first_port
        raise OSError("all port blocks are claimed by other processes")


@cache
def process_block() -> PortBlock:
    """Return the block of this process; the first call claims the block."""
    return PortBlock()


def free_port() -> int:
    """Return a port that no socket is bound to on 127.0.0.1."""
    return find_free(process_block().ports)


def free_stand_in_port() -> int:
    """Return such a port for a stand-in of this process."""
    return find_free(process_block().stand_in_ports)


def find_free(ports: Iterator[int]) -> int:
    """Return the next port that no socket is bound to on 127.0.0.1."""
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("the ports are repeated endlessly")


def free_address(host: str = "127.0.0.1") -> str:
    """Return "HOST:PORT" with a free port."""
    return f"{host}:{free_port()}"
