"""Client of the platform's instance list, which lags and may be wrong.

Nothing that must hold depends on it; it saves connections and finds peers.
"""

from enum import Enum
from typing import NamedTuple

from msgspec import DecodeError, Struct
from msgspec.json import decode

from ridgecourse.core.ids import DomainName, ProcessName
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection


class InstanceState(Enum):
    """State of an instance as the platform sees it."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(Struct, frozen=True):
    """An instance of the list."""

    process: ProcessName
    domain: DomainName
    role: str
    address: str
    state: InstanceState


class InstanceSnapshot(NamedTuple):
    """The list as last read."""

    instances: tuple[Instance, ...]

    def entries(self, domain: DomainName) -> tuple[Instance, ...]:
        """Return the live entries of a failure domain."""
        return tuple(
            found
            for found in self.instances
            if found.role == "entry"
            and found.domain == domain
            and found.state is InstanceState.LIVE
        )


class InstanceListClient:
    """Reads the instance list."""

    def __init__(self, address: str, http: HttpClient) -> None:
        self.address = address
        self.http = http

    def read(self) -> InstanceSnapshot | None:
        """Return the list, or None where it cannot be had."""
        try:
            status, data, _ = self.http.fetch(
                "GET", self.address, "/instances", timeout=2.0
            )
        except (NoConnection, ExchangeFailed):
            return None
        if status != 200:
            return None
        try:
            return InstanceSnapshot(decode(data, type=tuple[Instance, ...]))
        except DecodeError:
            return None
