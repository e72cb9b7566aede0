"""Routes: which service answers a request, and with which limits and guarantees.

Operators publish the complete routing configuration; a lookup needs no other data.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    DomainName,
    ModelName,
    RegionName,
    ServiceName,
)

AllowedRegions = frozenset[RegionName] | None
"""The only regions in which requests may be served; None for no restriction."""


class Repeatability(Enum):
    """Whether a request may run more than once.

    IDEMPOTENT: The request may run any number of times.
    ONCE: The request may run at most once.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class WeightedService(Struct, frozen=True):
    """A service and its share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests relative to the route's other services.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """Services, limits and guarantees for the requests below one path of one host.

    Attributes:
        name: Name of the route.
        host: Value of the requests' host header.
        prefix: Prefix of the requests' paths.
        services: Services that answer the requests, with their shares.
        repeatability: Whether a request may run more than once.
        streamed: Whether answers are streams of events.
        resumable: Whether a stream may continue at another target.
        max_attempts: Maximum number of targets that one request may be sent to.
        timeout: Longest time for which a request may be held, in seconds.
        objective: Latency objective for the answer, or for its first event, in
            seconds.
        longest_pause: Longest pause between two events, in seconds; 0 for no limit.
        priority: Priority of the requests; 0 is the most important.
        public: Whether requests need no API key.
        allowed_regions: Regions to which the requests are restricted.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeatability: Repeatability
    streamed: bool
    resumable: bool
    max_attempts: int
    timeout: float
    objective: float
    longest_pause: float
    priority: int
    public: bool
    allowed_regions: AllowedRegions = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.streamed:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


class EngineModel(Struct, frozen=True):
    """Speed and size of a service's model engines.

    Attributes:
        model: Model that the engines serve.
        slots: Maximum number of requests in one batch.
        cache_tokens: Capacity of an engine's cache, in tokens of context.
        step: Base duration in seconds of a decoding step, which yields one token for
            each request of the batch.
        step_per_request: Seconds added to a step for each request.
        step_per_token: Seconds added to a step for each token of context.
        prompt_rate: Prompt tokens prefilled per second.
        pair_seconds: Prefill seconds for each pair of prompt tokens.
        prompt_tokens: Mean length of a prompt, in tokens.
        answer_tokens: Mean length of an answer, in tokens.
        layers: Number of layers of the model.
        chunks: Number of chunks of the model's weights.
        chunk_bytes: Size of one chunk, in bytes.
    """

    model: ModelName
    slots: int
    cache_tokens: int
    step: float
    step_per_request: float
    step_per_token: float
    prompt_rate: float
    pair_seconds: float
    prompt_tokens: float
    answer_tokens: float
    layers: int
    chunks: int
    chunk_bytes: int


class Service(Struct, frozen=True):
    """A service that requests are routed to.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that a target accepts from all
            entries together.
        health_path: Path of the targets' health check.
        engine: Speed and size of the engines; None for a service without engines.
        cold_start_seconds: How long an engine stays cold after a start under traffic.
        cold_per_s: Requests per second that a cold engine can handle; 0 for no limit.
    """

    name: ServiceName
    max_connections: int
    health_path: str
    engine: EngineModel | None
    cold_start_seconds: float = 0.0
    cold_per_s: float = 0.0


class OriginLocation(Struct, frozen=True):
    """The origin from which weights are fetched.

    Attributes:
        address: HOST:PORT of the origin.
        domain: Failure domain of the origin.
        bytes_per_s: Capacity of the origin's link, in bytes per second.
    """

    address: str
    domain: DomainName
    bytes_per_s: float


class ClientLimits(Struct, frozen=True):
    """Limits on the size and duration of clients' requests.

    Attributes:
        header_bytes: Maximum size of a request's header, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_seconds: Longest time for sending a header.
        idle_seconds: Longest time for which a connection may be idle between requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class ClientLimit(Enum):
    """The limit that a client has exceeded.

    HEAD_SIZE: The head is longer than ``ClientLimits.header_bytes``.
    HEAD_FIELDS: The head has more fields than the parser accepts.
    HEAD_TIME: The head was not complete within ``ClientLimits.header_seconds``.
    BODY_SIZE: The body is longer than ``ClientLimits.body_bytes``.
    BODY_TIME: The body was not complete by the deadline of its request.
    MEMORY: The memory for clients' requests is in use.
    SLOW_TRANSFER: The memory of a client that sends or reads too slowly was given to
        another request.
    UNREAD_BODY: The body of a refused request is too long to be skipped.
    CONNECTIONS: All connections are in use, and the client's can be spared most.
    """

    HEAD_SIZE = "head-size"
    HEAD_FIELDS = "head-fields"
    HEAD_TIME = "head-time"
    BODY_SIZE = "body-size"
    BODY_TIME = "body-time"
    MEMORY = "memory"
    SLOW_TRANSFER = "slow-transfer"
    UNREAD_BODY = "unread-body"
    CONNECTIONS = "connections"

    @property
    def metric(self) -> str:
        """Name of the counter of clients that exceeded the limit."""
        return f"clients_limited_{self.value.replace('-', '_')}"


class Account(Struct, frozen=True):
    """A client account.

    Attributes:
        account: Name of the account.
        priority: Priority that overrides the route's priority; None for no override.
        allowed_regions: Regions to which the account's requests are restricted.
    """

    account: AccountName
    priority: int | None
    allowed_regions: AllowedRegions = None


class RoutingConfig(Struct):
    """A routing configuration.

    Attributes:
        version: Version number, higher for each new configuration.
        routes: Routes of each host, longer prefixes first.
        services: Services by name.
        origin: Origin of the weights; None for none.
        limits: Limits on clients' requests.
        accounts: Client accounts by API key.
        keyed: Whether requests on routes that are not public need an API key.
    """

    version: int
    routes: Mapping[str, Sequence[Route]]
    services: Mapping[ServiceName, Service]
    origin: OriginLocation | None
    limits: ClientLimits
    accounts: Mapping[str, Account]
    keyed: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_routes(routes: Sequence[Route]) -> Mapping[str, Sequence[Route]]:
    """Group routes by host, longer prefixes first."""
    grouped: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        grouped.setdefault(route.host, []).append(route)
    return grouped
