"""Decodes the values of the store's records."""

from collections.abc import Sequence
from enum import Enum
from re import fullmatch
from typing import Annotated, Any

from msgspec import UNSET, DecodeError, Meta, Struct, UnsetType, field
from msgspec.json import Decoder
from returns.result import Failure, Result, Success

from ridgecourse.cluster.decoder import Decision, RecordDecoder
from ridgecourse.core.finding import Finding, Findings
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    ModelName,
    ServiceName,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.targets import HeldLayers, ListedTarget, TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.net.record_source import KeyedRecord
from ridgecourse.platform.config_records import ConfigFields, make_config
from ridgecourse.platform.field_types import (
    Count,
    HeldVersion,
    Index,
    Name,
    SocketAddress,
    Version,
    check_address,
)
from ridgecourse.platform.names import CONFIG_KEY, VERSION_KEY_PREFIX

TARGET_KEY = "[!-~]{1,255}"
"""Visible ASCII: a target's identity goes into a header as it stands."""


class TargetState(Enum):
    """What a target tells of itself."""

    READY = "ready"
    LEAVING = "draining"


class ServedFields(Struct):
    """A model that an engine serves."""

    name: Name
    version: HeldVersion
    adapters: list[Any] = []


class LayerFields(Struct):
    """Layers that an engine holds.

    Attributes:
        first: First layer.
        end: First layer beyond; the platform calls it a version.
        version: Version of their weights.
    """

    first: Index = field(name="from")
    end: Index = field(name="target_version")
    version: HeldVersion


StartMillisecond = Annotated[int, Meta(ge=0, lt=10**13)]
"""A Unix millisecond before the year 2286. What is negative or higher, as microseconds
are, is no start: believed, a higher one would shut out the engine's later lives."""


class TargetFields(Struct):
    """A target's entry in the list.

    Every target writes all but the last three, which engines of models add: an entry
    that lacks one, needed here or not, is not a target's own.
    """

    service: Name
    address: SocketAddress
    zone: Name
    version: str
    slots: Count
    state: TargetState
    cold_remaining_ms: float
    sequence: int
    phase: str = ""
    models: list[ServedFields] = []
    layers: LayerFields | None = None
    born: StartMillisecond | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Check the address."""
        check_address(self.address)


class VersionFields(Struct):
    """New weights of a model."""

    model: Name
    version: Version


CONFIG_DECODER = Decoder(ConfigFields)
TARGET_DECODER = Decoder(TargetFields)
VERSION_DECODER = Decoder(VersionFields)


def decode_decision(record: KeyedRecord) -> Result[Decision | None, Findings]:
    """Decode an operator's decision; None for kinds that are not known."""
    if record.key == CONFIG_KEY:
        return decode_value(record, CONFIG_DECODER).map(make_config)
    if record.key.startswith(VERSION_KEY_PREFIX):
        return decode_value(record, VERSION_DECODER).bind(
            lambda fields: make_named(record, fields)
        )
    return fail(record, record.broken) if record.broken else Success(None)


def decode_value(record: KeyedRecord, decoder: Decoder) -> Result[Any, Findings]:
    """Decode a record's value; any writer may have left it, and left anything."""
    if record.broken:
        return fail(record, record.broken)
    try:
        return Success(decoder.decode(record.value))
    except (DecodeError, RecursionError) as error:
        return fail(record, str(error))


def fail(record: KeyedRecord, why: str) -> Result[Any, Findings]:
    """Return that a record cannot be used."""
    return Failure((Finding(record.key, why),))


def make_named(
    record: KeyedRecord, fields: VersionFields
) -> Result[NamedVersion, Findings]:
    """Return the version that a record names, of the model that its key is about."""
    if record.key != f"{VERSION_KEY_PREFIX}{fields.model}":
        return fail(record, f"names another model, {fields.model}")
    model = ModelName(fields.model)
    return Success(NamedVersion(model, WeightsVersion(fields.version)))


def decode_target(record: KeyedRecord) -> Result[TargetRecord, Findings]:
    """Decode an entry of the list of targets, or its removal."""
    target = TargetId(record.key)
    if not record.value and not record.broken:
        return Success(TargetRecord(target, record.offset, None))
    if not fullmatch(TARGET_KEY, record.key):
        return fail(record, "the key is no target's")
    return decode_value(record, TARGET_DECODER).map(
        lambda fields: TargetRecord(target, record.offset, make_target(target, fields))
    )


def make_target(target: TargetId, fields: TargetFields) -> ListedTarget:
    """Return a target in the system's own terms."""
    return ListedTarget(
        target=target,
        service=ServiceName(fields.service),
        address=fields.address,
        domain=DomainName(fields.zone),
        slots=fields.slots,
        leaving=fields.state is TargetState.LEAVING,
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
        decoded = [(record, decode_target(record)) for record in records]
        changes = [item.value_or(reject_target(record)) for record, item in decoded]
        findings = [item.failure() for _, item in decoded if isinstance(item, Failure)]
        return changes, tuple(finding for group in findings for finding in group)


def reject_target(record: KeyedRecord) -> TargetRecord:
    """Return that a record names no target to be used."""
    return TargetRecord(TargetId(record.key), record.offset, None, rejected=True)
