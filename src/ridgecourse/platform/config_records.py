"""Decodes the platform's configuration records into a ``RoutingConfig``.

The ``...Fields`` classes have the names, units and defaults of the JSON objects in the
record. The ``make_...`` functions convert them to the types of ``core.routes``, with
times in seconds and sizes in bytes.
"""

from collections.abc import Sequence

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    DomainName,
    ModelName,
    RegionName,
    ServiceName,
)
from ridgecourse.core.routes import (
    Account,
    AllowedRegions,
    ClientLimits,
    EngineModel,
    OriginLocation,
    Repeatability,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
    group_routes,
)
from ridgecourse.platform.field_types import (
    AsciiName,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    SocketAddress,
    Version,
    check_address,
)
from ridgecourse.platform.settings import BYTES_PER_MBIT, MILLISECOND

IDEMPOTENT_TYPE = "safe"
STREAMED_TYPE = "streaming"
THOUSAND_TOKENS = 1000.0
MILLION_PAIRS = 1e6


class BackendFields(Struct):
    """A service of a route and its weight among the route's services."""

    service: AsciiName
    weight: NonNegativeFloat


class RouteFields(Struct):
    """A route, with either ``service`` or ``backends``.

    Attributes:
        name: Name of the route.
        hostname: Host of the requests, in any case.
        path_prefix: Beginning of the requests' path.
        type: ``IDEMPOTENT_TYPE``, ``STREAMED_TYPE`` or any other value, which is for
            requests that run at most once.
        timeout_ms: Longest time that a request is held, in milliseconds.
        target_latency_ms: Objective for the time to the answer or to its first event,
            in milliseconds.
        priority: Priority of the requests; 0 is the highest.
        service: The only service of the route; empty if ``backends`` lists several.
        backends: Services of the route with their weights.
        max_attempts: Maximum number of targets that one request is sent to.
        public: Whether requests need no API key.
        resumable: Whether a stream may continue at another target.
        target_gap_ms: Objective for the longest pause between events, in milliseconds;
            0 for none.
        allowed_regions: The only regions that may serve the requests; empty or None
            for no restriction.
    """

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: PositiveFloat
    target_latency_ms: NonNegativeFloat
    priority: NonNegativeInt = 0
    service: str = ""
    backends: list[BackendFields] = []
    max_attempts: PositiveInt = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: NonNegativeFloat = 0.0
    allowed_regions: list[str] | None = None

    def __post_init__(self) -> None:
        """Check that the route has a service.

        Raises:
            ValueError: The route has neither a service nor a backend with a weight
                above 0.
        """
        if not self.service and not any(backend.weight for backend in self.backends):
            raise ValueError("expected a service or a backend with a weight above 0")


class ModelFields(Struct):
    """A model that an engine can serve."""

    name: AsciiName


class TypicalRequestFields(Struct):
    """Mean size of a service's requests.

    Attributes:
        prompt: Tokens of a prompt.
        answer: Tokens of an answer.
    """

    prompt: NonNegativeFloat = 0.0
    answer: NonNegativeFloat = 0.0


class EngineFields(Struct):
    """Speed and size of a service's engines.

    Attributes:
        slots: Maximum number of requests in a batch.
        kv_capacity_tokens: Tokens of context that fit into an engine's KV cache.
        models: The models; only the first is used.
        step_ms: Milliseconds of a decoding step.
        per_seq_ms: Milliseconds added to a step by each request of the batch.
        context_per_k: Milliseconds added to a step by each 1,000 tokens of context.
        read_per_s: Prompt tokens that are processed per second.
        pairs_per_m: Milliseconds for a million pairs of prompt tokens.
        usual: Mean size of the requests.
        layers: Layers of the model.
        chunks: Number of chunks of the model's weights.
        chunk_bytes: Size of a chunk in bytes.
    """

    slots: PositiveInt
    kv_capacity_tokens: PositiveInt
    models: list[ModelFields]
    step_ms: PositiveFloat
    per_seq_ms: NonNegativeFloat
    context_per_k: NonNegativeFloat
    read_per_s: PositiveFloat
    pairs_per_m: NonNegativeFloat
    usual: TypicalRequestFields
    layers: PositiveInt = 1
    chunks: NonNegativeInt = 0
    chunk_bytes: NonNegativeInt = 0


class ServiceFields(Struct):
    """A service, or the origin of weights if ``origin`` is set.

    Attributes:
        name: Name of the service.
        health_path: Path of the targets' health check.
        max_connections: Connections that a target accepts from all gateways together.
        engine: Speed and size of the service's engines; None for a plain service.
        origin: Address of the origin of weights; None for a service.
        zone: Failure domain of the origin.
        bandwidth_mbps: Capacity of the origin's link in megabits per second.
        cold_start_s: Seconds for which an engine stays cold after a start under
            traffic.
        cold_per_s: Requests per second that a cold engine can handle; 0 for no limit.
    """

    name: AsciiName
    health_path: str = ""
    max_connections: PositiveInt = 64
    engine: EngineFields | None = None
    origin: SocketAddress | None = None
    zone: str = ""
    bandwidth_mbps: NonNegativeFloat = 0.0
    cold_start_s: NonNegativeFloat = 0.0
    cold_per_s: NonNegativeFloat = 0.0

    def __post_init__(self) -> None:
        """Check the origin's address.

        Raises:
            ValueError: ``origin`` is not a valid address.
        """
        if self.origin is not None:
            check_address(self.origin)


class ClientLimitFields(Struct):
    """Limits on the size and timing of clients' requests."""

    max_header_bytes: PositiveInt = 16 * 1024
    max_body_bytes: PositiveInt = 4 * 1024 * 1024
    header_timeout_ms: PositiveFloat = 3000.0
    idle_timeout_ms: PositiveFloat = 15000.0


class AccountFields(Struct):
    """A client account.

    Attributes:
        name: Name of the account.
        api_keys: API keys of the account.
        priority: Priority that overrides the route's; None to use the route's.
        allowed_regions: As of a route.
    """

    name: AsciiName
    api_keys: list[str]
    priority: int | None = None
    allowed_regions: list[str] | None = None


class ConfigFields(Struct):
    """A complete configuration.

    All fields are required. In particular, a missing list of accounts must not be read
    as an empty list, because a configuration without accounts requires no API keys.
    """

    version: Version
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: ClientLimitFields
    tenants: list[AccountFields]


def make_config(fields: ConfigFields) -> RoutingConfig:
    """Return the ``RoutingConfig`` of a configuration record.

    Of several services with ``origin`` the first is the origin of weights.
    """
    origins = [service for service in fields.services if service.origin]
    services = [
        make_service(service) for service in fields.services if not service.origin
    ]
    return RoutingConfig(
        version=fields.version,
        routes=group_routes([make_route(route) for route in fields.routes]),
        services={service.name: service for service in services},
        origin=make_origin(origins[0]) if origins else None,
        limits=make_limits(fields.limits),
        accounts={
            key: Account(
                AccountName(account.name),
                account.priority,
                make_allowed_regions(account.allowed_regions),
            )
            for account in fields.tenants
            for key in account.api_keys
        },
        keyed=bool(fields.tenants),
    )


def make_route(fields: RouteFields) -> Route:
    """Return the ``Route`` of a decoded route, with times in seconds."""
    weighted_services = [
        WeightedService(ServiceName(backend.service), backend.weight)
        for backend in fields.backends
    ]
    if not weighted_services:
        weighted_services = [WeightedService(ServiceName(fields.service), 1.0)]
    idempotent = fields.type == IDEMPOTENT_TYPE
    return Route(
        name=fields.name,
        host=fields.hostname.lower(),
        prefix=fields.path_prefix,
        services=tuple(weighted_services),
        repeatability=(Repeatability.IDEMPOTENT if idempotent else Repeatability.ONCE),
        streamed=fields.type == STREAMED_TYPE,
        resumable=fields.resumable,
        max_attempts=fields.max_attempts,
        timeout=fields.timeout_ms * MILLISECOND,
        objective=fields.target_latency_ms * MILLISECOND,
        longest_pause=fields.target_gap_ms * MILLISECOND,
        priority=fields.priority,
        public=fields.public,
        allowed_regions=make_allowed_regions(fields.allowed_regions),
    )


def make_allowed_regions(names: Sequence[str] | None) -> AllowedRegions:
    """Return the regions of a restriction; None for no restriction."""
    return frozenset(map(RegionName, names)) if names else None


def make_service(fields: ServiceFields) -> Service:
    """Return the ``Service`` of a decoded service."""
    engine = make_engine_model(fields.engine) if fields.engine else None
    return Service(
        name=ServiceName(fields.name),
        max_connections=fields.max_connections,
        health_path=fields.health_path,
        engine=engine,
        cold_start_seconds=fields.cold_start_s,
        cold_per_s=fields.cold_per_s,
    )


def make_engine_model(fields: EngineFields) -> EngineModel:
    """Return the speed and size of a service's engines in seconds and tokens."""
    return EngineModel(
        model=ModelName(fields.models[0].name if fields.models else ""),
        slots=fields.slots,
        cache_tokens=fields.kv_capacity_tokens,
        step=fields.step_ms * MILLISECOND,
        step_per_request=fields.per_seq_ms * MILLISECOND,
        step_per_token=fields.context_per_k * MILLISECOND / THOUSAND_TOKENS,
        prompt_rate=fields.read_per_s,
        pair_seconds=fields.pairs_per_m * MILLISECOND / MILLION_PAIRS,
        prompt_tokens=fields.usual.prompt,
        answer_tokens=fields.usual.answer,
        layers=fields.layers,
        chunks=fields.chunks,
        chunk_bytes=fields.chunk_bytes,
    )


def make_origin(fields: ServiceFields) -> OriginLocation:
    """Return the origin of weights, with its bandwidth in bytes per second."""
    return OriginLocation(
        address=fields.origin or "",
        domain=DomainName(fields.zone),
        bytes_per_s=fields.bandwidth_mbps * BYTES_PER_MBIT,
    )


def make_limits(fields: ClientLimitFields) -> ClientLimits:
    """Return the limits on clients' requests in bytes and seconds."""
    return ClientLimits(
        header_bytes=fields.max_header_bytes,
        body_bytes=fields.max_body_bytes,
        header_seconds=fields.header_timeout_ms * MILLISECOND,
        idle_seconds=fields.idle_timeout_ms * MILLISECOND,
    )
