"""Socket addresses, written HOST:PORT with a numeric host."""

from functools import lru_cache
from ipaddress import ip_address
from typing import NamedTuple

REMEMBERED = 4096
"""Addresses whose parsed form is kept: several for each process that one speaks to."""


class Address(NamedTuple):
    """A numeric host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@lru_cache(REMEMBERED)
def parse_address(text: str) -> Address:
    """Return the address that a text names.

    Raises:
        ValueError: The text is not HOST:PORT with a numeric host.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"expected HOST:PORT, found {text!r}")
    ip_address(host.strip("[]"))
    return Address(host.strip("[]"), int(port))
