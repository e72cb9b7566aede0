"""Changes of configuration, as operators make them and the log keeps them."""

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
    """What stands behind a service's targets."""

    MODEL = "model"
    PLAIN = "plain"


class Change(Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    """Base of all changes.

    Attributes:
        fleet: The fleet that is changed.
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
    """Make a version of a model known; its content never changes after."""

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
    """Stop a rollout where it is: no further target takes the version up."""

    service: ServiceName


class JoinTarget(Change, frozen=True, tag="join_target"):
    """Add a target to a service, or bring a leaving one back."""

    service: ServiceName
    target: TargetName
    domain: DomainName
    address: str
    control_address: str


class LeaveTarget(Change, frozen=True, tag="leave_target"):
    """Take a target out of service: it gets no new work."""

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
    """Base of what stands in the configuration's stream of the log."""


class ChangeRecord(LogRecord, frozen=True, tag="change"):
    """A change as it stands in the log.

    Attributes:
        change_id: Chosen by the operator or entry; a second record with the
            same id is ignored.
        author: Operator who made it.
        change: What is changed.
        expected_revision: Revision the object must have; 0 means that it must
            not exist, None means any.
    """

    change_id: ChangeId
    author: str
    change: AnyChange
    expected_revision: int | None = None


class CheckpointNotice(LogRecord, frozen=True, tag="checkpoint"):
    """Tells all readers that a checkpoint was written.

    Attributes:
        covered: The checkpoint holds all offsets below this one.
        place: Its offset in the stream of checkpoints.
    """

    covered: int
    place: int


ConfigRecord = ChangeRecord | CheckpointNotice


class ChangeStatus(Enum):
    """What is known of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class ChangeOutcome(Struct, frozen=True, forbid_unknown_fields=True):
    """What the fold made of a change.

    Attributes:
        status: Accepted or rejected.
        offset: Offset of the deciding record.
        revision: Revision of the object after it.
        reason: Why it was rejected.
    """

    status: ChangeStatus
    offset: int
    revision: int = 0
    reason: str = ""
