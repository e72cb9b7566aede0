"""Routes: which service answers a request, and on what terms.

The routing configuration is published whole by the operators; a lookup needs
nothing else.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import AccountName, DomainName, ModelName, ServiceName


class Repeatability(Enum):
    """What may be repeated of a request.

    IDEMPOTENT: It may run any number of times.
    ONCE: It may run at most once.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class WeightedService(Struct, frozen=True):
    """A service and its share of a route's requests.

    Attributes:
        service: The service.
        weight: Share relative to the route's other services.
    """

    service: ServiceName
    weight: float


class Route(Struct, frozen=True):
    """Terms of the requests below one path of one host.

    Attributes:
        name: Name of the route.
        host: Host that the request names.
        prefix: Beginning of the path.
        services: Who answers.
        repeatability: Whether a request may run again.
        streamed: Whether answers are streams of events.
        resumable: Whether a stream may go on at another target.
        max_attempts: Most targets that one request may be sent to.
        timeout: Longest time a request may be held, in seconds.
        objective: Time to the answer, or its first event, in seconds.
        longest_pause: Longest pause between events, in seconds; 0 for none.
        priority: 0 is the most important.
        public: Whether requests need no key.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.streamed:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


class EngineModel(Struct, frozen=True):
    """Speed and size of a service's model engines.

    Attributes:
        model: The model that they serve.
        slots: Requests in one batch.
        cache_tokens: Tokens of context that fit into an engine's memory.
        step: Seconds for one token of each request of a batch.
        step_per_request: Seconds added to a step for each request.
        step_per_token: Seconds added to a step for each token of context.
        prompt_rate: Prompt tokens read in a second.
        pair_seconds: Seconds for each pair of prompt tokens.
        prompt_tokens: Mean length of a prompt.
        answer_tokens: Mean length of an answer.
        layers: Layers of the model.
        chunks: Chunks that its weights come in.
        chunk_bytes: Size of each.
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
        name: The service.
        max_connections: Connections that a target takes from all entries.
        health_path: Path of the targets' health check.
        engine: Figures of its engines; None for a plain service.
    """

    name: ServiceName
    max_connections: int
    health_path: str
    engine: EngineModel | None


class OriginPlace(Struct, frozen=True):
    """Where weights come from.

    Attributes:
        address: HOST:PORT.
        domain: Failure domain that it stands in.
        bytes_per_s: Capacity of its link.
    """

    address: str
    domain: DomainName
    bytes_per_s: float


class CallerLimits(Struct, frozen=True):
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body.
        header_seconds: Longest time to send a head.
        idle_seconds: Longest rest of a connection between requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Account(Struct, frozen=True):
    """A client account.

    Attributes:
        account: Its name.
        priority: Goes before the route's priority; None for no own one.
    """

    account: AccountName
    priority: int | None


class RoutingConfig(Struct):
    """A routing configuration.

    Attributes:
        version: Rises with each configuration.
        routes: The routes of each host, those with longer prefixes first.
        services: The services by name.
        origin: Where weights come from, if anywhere.
        limits: Limits on callers.
        accounts: Accounts by key.
        keyed: Whether requests of routes that are not public need a key.
    """

    version: int
    routes: Mapping[str, Sequence[Route]]
    services: Mapping[ServiceName, Service]
    origin: OriginPlace | None
    limits: CallerLimits
    accounts: Mapping[str, Account]
    keyed: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_routes(routes: Sequence[Route]) -> Mapping[str, Sequence[Route]]:
    """Return routes by host, longer prefixes first."""
    grouped: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        grouped.setdefault(route.host, []).append(route)
    return grouped
