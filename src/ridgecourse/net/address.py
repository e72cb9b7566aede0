"""Parses socket addresses, written HOST:PORT with a numeric host."""

from functools import lru_cache
from ipaddress import ip_address
from typing import NamedTuple

ADDRESS_CACHE_SIZE = 4096
"""Number of parsed addresses in the cache. A process uses several addresses for each
peer."""


class Address(NamedTuple):
    """A socket address: a numeric host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@lru_cache(ADDRESS_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Parse an address.

    Args:
        text: HOST:PORT; an IPv6 host may be in brackets.

    Returns:
        The address, its host without brackets.

    Raises:
        ValueError: The text is not HOST:PORT with a numeric host, or the port is
            above 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"expected HOST:PORT, found {text!r}")
    ip_address(host.strip("[]"))
    return Address(host.strip("[]"), int(port))
