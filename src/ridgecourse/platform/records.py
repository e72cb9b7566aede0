"""Decodes the values of the store's records."""

from collections.abc import Sequence
from typing import Annotated, Any

from msgspec import UNSET, DecodeError, Meta, Struct, UnsetType, field
from msgspec.json import Decoder
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ridgecourse.cluster.decoder import Decision, RecordDecoder
from ridgecourse.core.finding import Finding, Findings
from ridgecourse.core.ids import (
    AccountName,
    DomainName,
    EngineStart,
    ModelName,
    ServiceName,
    TargetId,
    WeightsVersion,
)
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
from ridgecourse.core.targets import HeldLayers, ListedTarget, TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.net.record_source import KeyedRecord
from ridgecourse.platform.names import CONFIG_KEY, VERSION_KEY_PREFIX
from ridgecourse.platform.settings import BYTES_PER_MBIT, MILLISECOND

IDEMPOTENT_TYPE = "safe"
STREAMED_TYPE = "streaming"
LEAVING_STATE = "draining"
TOKENS_PER_K = 1000.0
PAIRS_PER_M = 1e6


class SplitFields(Struct):
    """A service's share of a route."""

    service: str
    weight: float


class RouteFields(Struct):
    """A route; either ``service`` or ``backends`` is given."""

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    service: str = ""
    backends: list[SplitFields] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0


class ModelFields(Struct):
    """A model of an engine."""

    name: str


class UsualFields(Struct):
    """Mean tokens of a request."""

    prompt: float = 0.0
    answer: float = 0.0


class EngineFields(Struct):
    """Figures of a service's engines.

    Attributes:
        context_per_k: Milliseconds a step for each 1,000 tokens of context.
        read_per_s: Prompt tokens in a second.
        pairs_per_m: Milliseconds for a million pairs of prompt tokens.
    """

    slots: int
    kv_capacity_tokens: int
    models: list[ModelFields]
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    pairs_per_m: float
    usual: UsualFields
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0


class ServiceFields(Struct):
    """A service; one with ``origin`` is the origin of weights."""

    name: str
    health_path: str = ""
    max_connections: int = 64
    engine: EngineFields | None = None
    origin: str = ""
    zone: str = ""
    bandwidth_mbps: float = 0.0


class LimitFields(Struct):
    """Limits on callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class AccountFields(Struct):
    """A client account with its keys."""

    name: str
    api_keys: list[str]
    priority: int | None = None


class ConfigFields(Struct):
    """A whole configuration."""

    version: int
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields = field(default_factory=LimitFields)
    tenants: list[AccountFields] = []


class ServedFields(Struct):
    """A model that an engine serves."""

    name: str
    version: int = 0


class LayerFields(Struct):
    """Layers that an engine holds.

    Attributes:
        first: First layer.
        end: First layer beyond; the platform calls it a version.
        version: Version of their weights.
    """

    first: int = field(name="from")
    end: int = field(name="target_version")
    version: int


StartMillisecond = Annotated[int, Meta(ge=0, lt=10**13)]
"""A Unix millisecond before the year 2286. What is negative or higher, as microseconds
are, is no start: believed, a higher one would shut out the engine's later lives."""


class TargetFields(Struct):
    """A target's entry in the list."""

    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    models: list[ServedFields] = []
    layers: LayerFields | None = None
    born: StartMillisecond | UnsetType = UNSET


class VersionFields(Struct):
    """New weights of a model."""

    model: str
    version: int


CONFIG_DECODER = Decoder(ConfigFields)
TARGET_DECODER = Decoder(TargetFields)
VERSION_DECODER = Decoder(VersionFields)


def decode_decision(record: KeyedRecord) -> Result[Decision | None, Findings]:
    """Decode an operator's decision; None for kinds that are not known."""
    try:
        if record.key == CONFIG_KEY and record.value:
            return Success(make_config(CONFIG_DECODER.decode(record.value)))
        if record.key.startswith(VERSION_KEY_PREFIX) and record.value:
            named = VERSION_DECODER.decode(record.value)
            model = ModelName(named.model)
            return Success(NamedVersion(model, WeightsVersion(named.version)))
    except DecodeError as error:
        return Failure((Finding(f"record {record.key}", str(error)),))
    return Success(None)


def decode_target(record: KeyedRecord) -> Result[TargetRecord, Findings]:
    """Decode an entry of the list of targets, or its removal."""
    target = TargetId(record.key)
    if not record.value:
        return Success(TargetRecord(target, record.offset, None))
    try:
        fields = TARGET_DECODER.decode(record.value)
    except DecodeError as error:
        return Failure((Finding(f"target {record.key}", str(error)),))
    entry = make_target(target, fields)
    return Success(TargetRecord(target, record.offset, entry))


def make_target(target: TargetId, fields: TargetFields) -> ListedTarget:
    """Return a target in the system's own terms."""
    return ListedTarget(
        target=target,
        service=ServiceName(fields.service),
        address=fields.address,
        domain=DomainName(fields.zone),
        slots=fields.slots,
        leaving=fields.state == LEAVING_STATE,
        models={
            ModelName(model.name): WeightsVersion(model.version)
            for model in fields.models
        },
        layers=make_layers(fields.layers),
        started=make_start(fields.born),
    )


def make_start(millisecond: int | UnsetType) -> EngineStart | None:
    """Return when an engine started; None if it does not tell."""
    return None if millisecond is UNSET else EngineStart(millisecond)


def make_layers(fields: LayerFields | None) -> HeldLayers | None:
    """Return held layers in the system's own terms; None for none."""
    if fields is None or fields.end <= fields.first:
        return None
    return HeldLayers(fields.first, fields.end, WeightsVersion(fields.version))


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
        address=fields.origin,
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


def decode_json(data: bytes, kind: Any, place: str) -> Result[Any, Findings]:
    """Decode an answer's body into a type of this package."""
    try:
        return Success(Decoder(kind).decode(data))
    except DecodeError as error:
        return Failure((Finding(place, str(error)),))


class PlatformRecords(RecordDecoder):
    """The platform's records."""

    def decision(self, record: KeyedRecord) -> Result[Decision | None, Findings]:
        """Return an operator's decision; see ``RecordDecoder``."""
        return decode_decision(record)

    def targets(
        self, records: Sequence[KeyedRecord]
    ) -> tuple[Sequence[TargetRecord], Findings]:
        """Return changes of the list; see ``RecordDecoder``."""
        decoded = [decode_target(record) for record in records]
        changes = [item.unwrap() for item in decoded if is_successful(item)]
        findings = [item.failure() for item in decoded if not is_successful(item)]
        return changes, tuple(finding for group in findings for finding in group)
