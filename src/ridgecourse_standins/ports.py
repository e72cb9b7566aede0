"""Free ports on loopback, below the range of outgoing connections."""

import socket
from itertools import count
from os import getpid

FIRST_PORT = 20_000
LAST_PORT = 32_000

_numbers = count(getpid() * 97)


def free_port() -> int:
    """Return a port that nothing listens on now."""
    span = LAST_PORT - FIRST_PORT
    while True:
        port = FIRST_PORT + next(_numbers) % span
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def free_address(host: str = "127.0.0.1") -> str:
    """Return HOST:PORT with a free port."""
    return f"{host}:{free_port()}"
