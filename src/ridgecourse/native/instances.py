"""HTTP client for the platform's instance list.

The list is eventually consistent and may be wrong, so correctness does not depend
on it. Processes use the list to find peers and to avoid needless connections.
"""

from enum import Enum
from typing import NamedTuple

from msgspec import DecodeError, Struct
from msgspec.json import decode

from ridgecourse.core.ids import DomainName, ProcessName
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection


class InstanceState(Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(Struct, frozen=True):
    """An entry of the instance list.

    Attributes:
        process: Name of the process that runs on the instance.
        domain: Failure domain of the instance.
        role: Role of the process, such as "entry".
        address: HOST:PORT of the process.
        state: State of the instance according to the platform.
    """

    process: ProcessName
    domain: DomainName
    role: str
    address: str
    state: InstanceState


class InstanceSnapshot(NamedTuple):
    """Snapshot of the instance list."""

    instances: tuple[Instance, ...]

    def live_entries(self, domain: DomainName) -> tuple[Instance, ...]:
        """Return the live instances with role "entry" in a failure domain."""
        return tuple(
            instance
            for instance in self.instances
            if instance.role == "entry"
            and instance.domain == domain
            and instance.state is InstanceState.LIVE
        )


class InstanceListClient:
    """Reads the instance list.

    Attributes:
        address: HOST:PORT of the instance list service.
        http: HTTP client that carries the requests.
    """

    def __init__(self, address: str, http: HttpClient) -> None:
        self.address = address
        self.http = http

    def read(self) -> InstanceSnapshot | None:
        """Return a snapshot of the list, or None if it cannot be read within 2.0 s."""
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
