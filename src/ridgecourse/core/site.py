"""What a process is told about itself and its surroundings when it starts."""

from collections.abc import Mapping

from msgspec import Struct

from ridgecourse.core.ids import DomainName, ProcessName, RegionName, ServiceName


class Bounds(Struct, frozen=True):
    """Limits that the operators of a deployment set for the system.

    Attributes:
        stop_seconds: Between SIGTERM and SIGKILL.
        leaving_seconds: How long a leaving target may still get requests.
        config_seconds: How long a configuration may take to be in force.
        version_seconds: After which no request may begin on older weights.
        reuse_seconds: After which the address of a target that ended may
            belong to another one.
        retry_ratio: Repeated sends allowed for each request of a service,
            summed over all entries.
        retry_seconds: Span over which that ratio is judged.
        retry_slack: Repeated sends allowed beyond the ratio in such a span.
    """

    stop_seconds: float
    leaving_seconds: float
    config_seconds: float
    version_seconds: float
    reuse_seconds: float
    retry_ratio: float
    retry_seconds: float
    retry_slack: float


class LocalTarget(Struct, frozen=True):
    """The model engine on an agent's own instance.

    Attributes:
        address: HOST:PORT.
        service: The service that it belongs to.
    """

    address: str
    service: ServiceName


RELOADABLE = ("bounds", "seeds", "regions")
"""Settings that are taken in while a process runs."""


class Site(Struct):
    """The settings of one process on a platform.

    Attributes:
        process: Name of the process.
        host: IP number of its instance.
        domain: Failure domain it runs in.
        regions: The region of each failure domain.
        callers: HOST:PORT for callers; None where it serves none.
        readiness: HOST:PORT for the balancer's questions; None likewise.
        peer_ports: Ports kept free for the system's own connections.
        seeds: Addresses of some other instances, which may be down.
        store: HOST:PORT of the platform's store.
        target: The engine on the instance; None on an entry's.
        bounds: The operators' limits.
        upload_bytes_per_s: Capacity of the instance's link.
        first_start: Whether the whole system starts for the first time.
    """

    process: ProcessName
    host: str
    domain: DomainName
    regions: Mapping[DomainName, RegionName]
    callers: str | None
    readiness: str | None
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    store: str
    target: LocalTarget | None
    bounds: Bounds
    upload_bytes_per_s: float
    first_start: bool = False

    def adopt(self, new: "Site") -> tuple[list[str], list[str]]:
        """Take in what may change while the process runs.

        Returns:
            The names of what changed: taken in, and left to the next start.
        """
        changed = [
            name
            for name in self.__struct_fields__
            if getattr(self, name) != getattr(new, name)
        ]
        adopted = [name for name in changed if name in RELOADABLE]
        for name in adopted:
            setattr(self, name, getattr(new, name))
        return adopted, [name for name in changed if name not in RELOADABLE]

    def region(self, domain: DomainName) -> RegionName:
        """Return a domain's region; an unknown domain is its own."""
        return self.regions.get(domain, RegionName(domain))
