"""Configuration changes, as operators submit them and the log stores them."""

from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    ChangeId,
    DomainName,
    FleetName,
    ModelName,
    RootDigest,
    ServiceName,
    TargetName,
    VersionName,
)


class ServiceKind(Enum):
    """The kind of targets behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Change(Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    """Base class of all changes.

    Attributes:
        fleet: The fleet that the change applies to.
    """

    fleet: FleetName


class CreateFleet(Change, frozen=True, tag="create_fleet"):
    """Create a fleet, or set how many copies its origin may send."""

    origin_copies: int = 1


class PutService(Change, frozen=True, tag="put_service"):
    """Create a service of a fleet."""

    service: ServiceName
    kind: ServiceKind


class PublishVersion(Change, frozen=True, tag="publish_version"):
    """Register a version of a model; its content never changes afterwards."""

    model: ModelName
    version: VersionName
    root_digest: RootDigest
    origin_path: str
    total_bytes: int


class Place(Change, frozen=True, tag="place"):
    """Make a service serve a version."""

    service: ServiceName
    model: ModelName
    version: VersionName


class RollBack(Change, frozen=True, tag="roll_back"):
    """Make a service serve the version placed before."""

    service: ServiceName


class Abort(Change, frozen=True, tag="abort"):
    """Stop a rollout in its current state: no further target switches versions."""

    service: ServiceName


class JoinTarget(Change, frozen=True, tag="join_target"):
    """Add a target to a service, or cancel the departure of a leaving target."""

    service: ServiceName
    target: TargetName
    domain: DomainName
    address: str
    control_address: str


class LeaveTarget(Change, frozen=True, tag="leave_target"):
    """Take a target out of service: it receives no new requests."""

    target: TargetName


class SetTraffic(Change, frozen=True, tag="set_traffic"):
    """Set the relative share of each failure domain; empty means nearest first."""

    service: ServiceName
    weights: dict[DomainName, int]


class PutAccount(Change, frozen=True, tag="put_account"):
    """Create or change a client account."""

    account: AccountName
    key_digest: str
    max_in_flight: int = 0
    priority: int = 0
    weight: int = 1


AnyChange = (
    CreateFleet
    | PutService
    | PublishVersion
    | Place
    | RollBack
    | Abort
    | JoinTarget
    | LeaveTarget
    | SetTraffic
    | PutAccount
)


class LogRecord(Struct, frozen=True, tag_field="record", forbid_unknown_fields=True):
    """Base class of the records in the configuration stream of the log."""


class ChangeRecord(LogRecord, frozen=True, tag="change"):
    """A change as stored in the log.

    Attributes:
        change_id: Chosen by the operator or entry; a second record with the same id is
            ignored.
        author: The operator who submitted the change.
        change: The change itself.
        expected_revision: Revision that the object must have; 0 means that the object
            must not exist, None means any revision.
    """

    change_id: ChangeId
    author: str
    change: AnyChange
    expected_revision: int | None = None


class CheckpointNotice(LogRecord, frozen=True, tag="checkpoint"):
    """Announces to all readers of the log that a checkpoint was written.

    Attributes:
        covered: The checkpoint includes all offsets below this one.
        place: Offset of the checkpoint in the checkpoint stream.
    """

    covered: int
    place: int


ConfigRecord = ChangeRecord | CheckpointNotice


class ChangeStatus(Enum):
    """The known status of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class ChangeOutcome(Struct, frozen=True, forbid_unknown_fields=True):
    """The outcome of folding a change.

    Attributes:
        status: Whether the change was accepted or rejected.
        offset: Offset of the record that determined the outcome.
        revision: Revision of the object after the change.
        reason: Why the change was rejected.
    """

    status: ChangeStatus
    offset: int
    revision: int = 0
    reason: str = ""
