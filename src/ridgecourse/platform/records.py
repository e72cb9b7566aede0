"""Decodes the store's records into decisions of operators and changes of targets."""

from collections.abc import Sequence
from enum import Enum
from re import fullmatch
from typing import Annotated, Any

from msgspec import UNSET, DecodeError, Meta, Struct, UnsetType, field
from msgspec.json import Decoder
from returns.result import Failure, Result, Success

from ridgecourse.cluster.decoder import Decision, RecordDecoder
from ridgecourse.core.evacuations import EvacuationDecision
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    ModelName,
    ServiceName,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.problem import Problem, Problems
from ridgecourse.core.target_list import HeldLayers, ListedTarget, TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.net.record_source import KeyedRecord
from ridgecourse.platform.config_records import ConfigFields, make_config
from ridgecourse.platform.field_types import (
    AsciiName,
    NonNegativeInt,
    PositiveInt,
    SocketAddress,
    Version,
    VersionOrZero,
    check_address,
)
from ridgecourse.platform.names import (
    CONFIG_KEY,
    EVACUATION_KEY_PREFIX,
    VERSION_KEY_PREFIX,
)
from ridgecourse.platform.settings import MILLISECOND

TARGET_KEY_PATTERN = "[!-~]{1,255}"
"""Visible ASCII, because a target's identity is put into a header without escaping."""


class AdvertisedState(Enum):
    """State that a target advertises in its entry."""

    READY = "ready"
    LEAVING = "draining"


class ServedModelFields(Struct):
    """A model that an engine serves, and the version of its weights."""

    name: AsciiName
    version: VersionOrZero
    adapters: list[Any] = []


class LayerRangeFields(Struct):
    """Contiguous layers of a model that an engine holds.

    Attributes:
        first: Index of the first layer.
        end: Index after the last layer. Despite the platform's name for this field
            it is not a version.
        version: Version of the layers' weights.
    """

    first: NonNegativeInt = field(name="from")
    end: NonNegativeInt = field(name="target_version")
    version: VersionOrZero


StartMilliseconds = Annotated[int, Meta(ge=0, lt=10**13)]
"""Unix time in milliseconds, before the year 2286. Negative and higher values, such as
microseconds, are rejected: if a higher value were accepted, entries of all later
incarnations of the engine would be ignored as older."""


class TargetFields(Struct):
    """A target's entry in the target list.

    Every target writes all fields except the last three, ``models``, ``layers`` and
    ``born``, which engines of models add. An entry that lacks a required field was not
    written by a target and is rejected, even if the field is not used.

    Attributes:
        service: Service that the target belongs to.
        address: HOST:PORT of the target.
        zone: Failure domain of the target.
        version: Not used.
        slots: Requests that the target runs concurrently.
        state: State that the target advertises.
        cold_remaining_ms: Milliseconds for which the target stays cold, as of when the
            entry was written.
        sequence: Number of this write, which rises with each heartbeat. The store makes
            no record of a heartbeat that changes nothing else.
        phase: Not used.
        models: Models that the engine serves.
        layers: Layers that the engine holds; None for none.
        born: Start time of the engine; absent if not reported.
    """

    service: AsciiName
    address: SocketAddress
    zone: AsciiName
    version: str
    slots: PositiveInt
    state: AdvertisedState
    cold_remaining_ms: float
    sequence: int
    phase: str = ""
    models: list[ServedModelFields] = []
    layers: LayerRangeFields | None = None
    born: StartMilliseconds | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Check the address.

        Raises:
            ValueError: ``address`` is not a valid address.
        """
        check_address(self.address)


class VersionFields(Struct):
    """An operator's decision to serve a version of a model's weights."""

    model: AsciiName
    version: Version


CONFIG_DECODER = Decoder(ConfigFields)
TARGET_DECODER = Decoder(TargetFields)
VERSION_DECODER = Decoder(VersionFields)


def decode_decision(record: KeyedRecord) -> Result[Decision | None, Problems]:
    """Decode an operator's decision; return None for an unknown kind of decision."""
    if record.key == CONFIG_KEY:
        return decode_value(record, CONFIG_DECODER).map(make_config)
    if record.key.startswith(VERSION_KEY_PREFIX):
        return decode_value(record, VERSION_DECODER).bind(
            lambda fields: make_named_version(record, fields)
        )
    return make_failure(record, record.broken) if record.broken else Success(None)


def decode_evacuation(record: KeyedRecord) -> EvacuationDecision | None:
    """Decode a decision on the evacuation of a domain; None for another kind.

    Any value evacuates, also one that cannot be decoded.
    """
    domain = record.key.removeprefix(EVACUATION_KEY_PREFIX)
    if not domain or domain == record.key:
        return None
    is_removed = not record.value and not record.broken
    return EvacuationDecision(DomainName(domain), not is_removed)


def decode_value(record: KeyedRecord, decoder: Decoder) -> Result[Any, Problems]:
    """Decode a record's value, which can be any bytes because any writer can append.

    Deeply nested JSON, which raises ``RecursionError``, is reported as a problem too.
    """
    if record.broken:
        return make_failure(record, record.broken)
    try:
        return Success(decoder.decode(record.value))
    except (DecodeError, RecursionError) as error:
        return make_failure(record, str(error))


def make_failure(record: KeyedRecord, reason: str) -> Result[Any, Problems]:
    """Return a failure with the record's key as the place of the problem."""
    return Failure((Problem(record.key, reason),))


def make_named_version(
    record: KeyedRecord, fields: VersionFields
) -> Result[NamedVersion, Problems]:
    """Return the named version; fail if the key is for another model than the value."""
    if record.key != f"{VERSION_KEY_PREFIX}{fields.model}":
        return make_failure(
            record, f"the value names {fields.model}, expected the key's model"
        )
    model = ModelName(fields.model)
    return Success(NamedVersion(model, WeightsVersion(fields.version)))


def decode_target(record: KeyedRecord) -> Result[TargetRecord, Problems]:
    """Decode an entry of the target list, or its removal, which has an empty value."""
    target = TargetId(record.key)
    if not record.value and not record.broken:
        return Success(TargetRecord(target, record.offset, None))
    if not fullmatch(TARGET_KEY_PATTERN, record.key):
        return make_failure(record, "expected 1 to 255 visible ASCII characters as key")
    return decode_value(record, TARGET_DECODER).map(
        lambda fields: TargetRecord(
            target,
            record.offset,
            make_target(target, fields),
            sequence=fields.sequence,
        )
    )


def make_target(target: TargetId, fields: TargetFields) -> ListedTarget:
    """Return the ``ListedTarget`` of a decoded entry."""
    return ListedTarget(
        target=target,
        service=ServiceName(fields.service),
        address=fields.address,
        domain=DomainName(fields.zone),
        slots=fields.slots,
        leaving=fields.state is AdvertisedState.LEAVING,
        models={
            ModelName(model.name): WeightsVersion(model.version)
            for model in fields.models
        },
        layers=make_held_layers(fields.layers),
        started=make_engine_start(fields.born),
        cold_remaining=max(0.0, fields.cold_remaining_ms * MILLISECOND),
    )


def make_engine_start(milliseconds: int | UnsetType) -> EngineStart | None:
    """Return an engine's start time, or None if the engine does not report one."""
    return None if milliseconds is UNSET else EngineStart(milliseconds)


def make_held_layers(fields: LayerRangeFields | None) -> HeldLayers | None:
    """Return the layers that an engine holds, or None if the range is empty."""
    if fields is None or fields.end <= fields.first:
        return None
    return HeldLayers(fields.first, fields.end, WeightsVersion(fields.version))


def decode_json(data: bytes, body_type: Any, place: str) -> Result[Any, Problems]:
    """Decode the JSON body of an answer.

    Args:
        data: The body.
        body_type: Type to decode into.
        place: Place of the problem if the body is invalid.
    """
    try:
        return Success(Decoder(body_type).decode(data))
    except DecodeError as error:
        return Failure((Problem(place, str(error)),))


class PlatformRecordDecoder(RecordDecoder):
    """Decoder of the platform's records."""

    def decision(self, record: KeyedRecord) -> Result[Decision | None, Problems]:
        """Return an operator's decision; see ``RecordDecoder``."""
        return decode_decision(record)

    def evacuation(self, record: KeyedRecord) -> EvacuationDecision | None:
        """Return a decision on an evacuation; see ``RecordDecoder``."""
        return decode_evacuation(record)

    def targets(
        self, records: Sequence[KeyedRecord]
    ) -> tuple[Sequence[TargetRecord], Problems]:
        """Return changes of the target list; see ``RecordDecoder``."""
        decoded = [(record, decode_target(record)) for record in records]
        changes = [
            result.value_or(make_rejected_target(record)) for record, result in decoded
        ]
        problem_groups = [
            result.failure() for _, result in decoded if isinstance(result, Failure)
        ]
        return changes, tuple(problem for group in problem_groups for problem in group)


def make_rejected_target(record: KeyedRecord) -> TargetRecord:
    """Return the change of the list for an entry that cannot be decoded."""
    return TargetRecord(TargetId(record.key), record.offset, None, rejected=True)
