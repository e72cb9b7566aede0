"""Settings that a process receives at its start about itself and its platform."""

from collections.abc import Mapping

from msgspec import Struct

from ridgecourse.core.ids import DomainName, ProcessName, RegionName, ServiceName
from ridgecourse.core.memory_budget import Resources
from ridgecourse.core.relisted_targets import DEFAULT_HEARTBEAT_SECONDS

DEFAULT_COLD_OVERAGE = 1.5
DEFAULT_COLD_SLACK = 5.0
"""Values of the deployment that states the bound for cold engines."""


class Bounds(Struct, frozen=True):
    """Limits that the operators of a deployment set for the system.

    Attributes:
        stop_seconds: Seconds between SIGTERM and SIGKILL.
        leaving_seconds: Seconds for which a leaving target may still receive requests.
        config_seconds: Maximum seconds until a configuration is in force.
        version_seconds: Seconds from naming a version until no request may start on
            older weights.
        reuse_seconds: Seconds after the end of a target from which its address may
            belong to another target.
        retry_ratio: Retries allowed per request of a service, summed over all entries.
        retry_seconds: Length of the window over which the ratio is computed.
        retry_slack: Retries allowed in such a window in addition to the ratio.
        evacuate_seconds: Maximum seconds from the decision to evacuate a failure domain
            until no request is sent there; None for no bound.
        cold_overage: Factor of the requests per second that a cold engine can handle,
            in the bound of those that it may receive in any second.
        cold_slack: Requests that are added to this bound.
    """

    stop_seconds: float
    leaving_seconds: float
    config_seconds: float
    version_seconds: float
    reuse_seconds: float
    retry_ratio: float
    retry_seconds: float
    retry_slack: float
    evacuate_seconds: float | None = None
    cold_overage: float = DEFAULT_COLD_OVERAGE
    cold_slack: float = DEFAULT_COLD_SLACK


class LocalTarget(Struct, frozen=True):
    """The model engine on an agent's own instance.

    Attributes:
        address: HOST:PORT of the engine.
        service: The service that the engine belongs to.
    """

    address: str
    service: ServiceName


RELOADABLE = ("bounds", "seeds", "regions")
"""Names of the settings that may change while a process runs."""


class Site(Struct):
    """The settings of one process on a platform.

    Attributes:
        process: Name of the process.
        host: IP address of the process's instance.
        domain: Failure domain of the process.
        regions: The region of each failure domain.
        callers: HOST:PORT for clients; None if the process serves no clients.
        readiness: HOST:PORT for the load balancer's readiness checks; None if the
            process serves no clients.
        peer_ports: Ports reserved for the system's own connections.
        seeds: Addresses of some other instances, which may be down.
        store: HOST:PORT of the platform's store.
        target: The engine on the instance; None on an entry's instance.
        bounds: Limits set by the operators.
        upload_bytes_per_s: Capacity of the instance's link.
        first_start: Whether the whole system starts for the first time.
        heartbeat_seconds: Usual interval between two heartbeats of a target.
        resources: What the process may use of its instance.
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
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS
    resources: Resources = Resources()

    def apply_reloadable(self, new: "Site") -> tuple[list[str], list[str]]:
        """Apply the settings that may change while the process runs.

        Returns:
            The names of the changed settings: those applied, and those that take effect
            at the next start.
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
        """Return a domain's region; an unknown domain forms its own region."""
        return self.regions.get(domain, RegionName(domain))
