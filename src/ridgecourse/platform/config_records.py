"""The platform's configuration in its records, and in the system's own terms."""

from msgspec import Struct

from ridgecourse.core.ids import AccountName, DomainName, ModelName, ServiceName
from ridgecourse.core.routes import (
    Account,
    CallerLimits,
    EngineModel,
    OriginPlace,
    Repeatability,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
    group_routes,
)
from ridgecourse.platform.field_types import (
    Count,
    Index,
    Name,
    Positive,
    Quantity,
    SocketAddress,
    Version,
    check_address,
)
from ridgecourse.platform.settings import BYTES_PER_MBIT, MILLISECOND

IDEMPOTENT_TYPE = "safe"
STREAMED_TYPE = "streaming"
TOKENS_PER_K = 1000.0
PAIRS_PER_M = 1e6


class SplitFields(Struct):
    """A service's share of a route."""

    service: Name
    weight: Quantity


class RouteFields(Struct):
    """A route; either ``service`` or ``backends`` is given."""

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: Positive
    target_latency_ms: Quantity
    priority: Index = 0
    service: str = ""
    backends: list[SplitFields] = []
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: Quantity = 0.0

    def __post_init__(self) -> None:
        """Check that somebody answers."""
        if not self.service and not any(share.weight for share in self.backends):
            raise ValueError("no service for the route")


class ModelFields(Struct):
    """A model of an engine."""

    name: Name


class UsualFields(Struct):
    """Mean tokens of a request."""

    prompt: Quantity = 0.0
    answer: Quantity = 0.0


class EngineFields(Struct):
    """Figures of a service's engines.

    Attributes:
        context_per_k: Milliseconds a step for each 1,000 tokens of context.
        read_per_s: Prompt tokens in a second.
        pairs_per_m: Milliseconds for a million pairs of prompt tokens.
    """

    slots: Count
    kv_capacity_tokens: Count
    models: list[ModelFields]
    step_ms: Positive
    per_seq_ms: Quantity
    context_per_k: Quantity
    read_per_s: Positive
    pairs_per_m: Quantity
    usual: UsualFields
    layers: Count = 1
    chunks: Index = 0
    chunk_bytes: Index = 0


class ServiceFields(Struct):
    """A service; one with ``origin`` is the origin of weights."""

    name: Name
    health_path: str = ""
    max_connections: Count = 64
    engine: EngineFields | None = None
    origin: SocketAddress | None = None
    zone: str = ""
    bandwidth_mbps: Quantity = 0.0

    def __post_init__(self) -> None:
        """Check the address."""
        if self.origin is not None:
            check_address(self.origin)


class LimitFields(Struct):
    """Limits on callers."""

    max_header_bytes: Count = 16 * 1024
    max_body_bytes: Count = 4 * 1024 * 1024
    header_timeout_ms: Positive = 3000.0
    idle_timeout_ms: Positive = 15000.0


class AccountFields(Struct):
    """A client account with its keys."""

    name: Name
    api_keys: list[str]
    priority: int | None = None


class ConfigFields(Struct):
    """A whole configuration.

    One without accounts needs no keys, so that a list that is lacking must not pass
    for an empty one.
    """

    version: Version
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields
    tenants: list[AccountFields]


def make_config(fields: ConfigFields) -> RoutingConfig:
    """Return a configuration in the system's own terms."""
    origins = [place for place in fields.services if place.origin]
    services = [make_service(item) for item in fields.services if not item.origin]
    return RoutingConfig(
        version=fields.version,
        routes=group_routes([make_route(route) for route in fields.routes]),
        services={service.name: service for service in services},
        origin=make_origin(origins[0]) if origins else None,
        limits=make_limits(fields.limits),
        accounts={
            key: Account(AccountName(account.name), account.priority)
            for account in fields.tenants
            for key in account.api_keys
        },
        keyed=bool(fields.tenants),
    )


def make_route(fields: RouteFields) -> Route:
    """Return a route in the system's own terms."""
    shares = [
        WeightedService(ServiceName(share.service), share.weight)
        for share in fields.backends
    ]
    if not shares:
        shares = [WeightedService(ServiceName(fields.service), 1.0)]
    idempotent = fields.type == IDEMPOTENT_TYPE
    return Route(
        name=fields.name,
        host=fields.hostname.lower(),
        prefix=fields.path_prefix,
        services=tuple(shares),
        repeatability=(Repeatability.IDEMPOTENT if idempotent else Repeatability.ONCE),
        streamed=fields.type == STREAMED_TYPE,
        resumable=fields.resumable,
        max_attempts=fields.max_attempts,
        timeout=fields.timeout_ms * MILLISECOND,
        objective=fields.target_latency_ms * MILLISECOND,
        longest_pause=fields.target_gap_ms * MILLISECOND,
        priority=fields.priority,
        public=fields.public,
    )


def make_service(fields: ServiceFields) -> Service:
    """Return a service in the system's own terms."""
    engine = make_engine(fields.engine) if fields.engine else None
    return Service(
        name=ServiceName(fields.name),
        max_connections=fields.max_connections,
        health_path=fields.health_path,
        engine=engine,
    )


def make_engine(fields: EngineFields) -> EngineModel:
    """Return an engine's figures in seconds and tokens."""
    return EngineModel(
        model=ModelName(fields.models[0].name if fields.models else ""),
        slots=fields.slots,
        cache_tokens=fields.kv_capacity_tokens,
        step=fields.step_ms * MILLISECOND,
        step_per_request=fields.per_seq_ms * MILLISECOND,
        step_per_token=fields.context_per_k * MILLISECOND / TOKENS_PER_K,
        prompt_rate=fields.read_per_s,
        pair_seconds=fields.pairs_per_m * MILLISECOND / PAIRS_PER_M,
        prompt_tokens=fields.usual.prompt,
        answer_tokens=fields.usual.answer,
        layers=fields.layers,
        chunks=fields.chunks,
        chunk_bytes=fields.chunk_bytes,
    )


def make_origin(fields: ServiceFields) -> OriginPlace:
    """Return the origin of weights in the system's own terms."""
    return OriginPlace(
        address=fields.origin or "",
        domain=DomainName(fields.zone),
        bytes_per_s=fields.bandwidth_mbps * BYTES_PER_MBIT,
    )


def make_limits(fields: LimitFields) -> CallerLimits:
    """Return the limits on callers in bytes and seconds."""
    return CallerLimits(
        header_bytes=fields.max_header_bytes,
        body_bytes=fields.max_body_bytes,
        header_seconds=fields.header_timeout_ms * MILLISECOND,
        idle_seconds=fields.idle_timeout_ms * MILLISECOND,
    )
