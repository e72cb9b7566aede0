"""Free ports on loopback, below the range of outgoing connections.

The range is divided into blocks, and a process takes its ports from a block that no
other process has. So runs of tests beside each other never give out the same port,
whichever of the loopback addresses they use it on.
"""

import socket
from functools import cache
from itertools import cycle

FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 1_000
"""Ports of a block; the first one is the guard, held by the process that has it."""


class PortBlock:
    """The ports that this process alone gives out.

    Attributes:
        guard: Bound to the first port for as long as the process lives.
    """

    def __init__(self) -> None:
        self.guard = socket.socket()
        first = self._claim()
        self.numbers = cycle(range(first + 1, first + BLOCK_PORTS))

    def _claim(self) -> int:
        """Bind the guard of a block that nobody has; return its port.

        Raises:
            OSError: All blocks are taken.
        """
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            try:
                self.guard.bind(("127.0.0.1", first))
            except OSError:
                continue
            return first
        raise OSError("all blocks of ports are taken")


@cache
def own_block() -> PortBlock:
    """Return the block of this process, claimed when first needed."""
    return PortBlock()


def free_port() -> int:
    """Return a port that nothing listens on now."""
    for port in own_block().numbers:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("a cycle has no end")


def free_address(host: str = "127.0.0.1") -> str:
    """Return HOST:PORT with a free port."""
    return f"{host}:{free_port()}"
