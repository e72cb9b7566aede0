"""The objects of the configuration, and a snapshot of all of them."""

from msgspec import Struct

from ridgecourse.core.change import ChangeOutcome, ServiceKind
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


class Fleet(Struct, frozen=True):
    """A fleet of targets."""

    fleet: FleetName
    origin_copies: int
    revision: int = 0


class Version(Struct, frozen=True):
    """A published version of a model."""

    fleet: FleetName
    model: ModelName
    version: VersionName
    root_digest: RootDigest
    origin_path: str
    total_bytes: int
    revision: int = 0


class Service(Struct, frozen=True):
    """A service and the version that it is to serve.

    Attributes:
        placed: The version to serve.
        previous: The version placed before, used by a rollback.
        halted: Whether the rollout is stopped, so that targets without the placed
            version keep their current version.
    """

    fleet: FleetName
    service: ServiceName
    kind: ServiceKind
    placed: Version | None = None
    previous: Version | None = None
    halted: bool = False
    traffic: dict[DomainName, int] = {}
    revision: int = 0


class Target(Struct, frozen=True):
    """A target of a service."""

    fleet: FleetName
    service: ServiceName
    target: TargetName
    domain: DomainName
    address: str
    control_address: str
    leaving: bool = False
    revision: int = 0


class Account(Struct, frozen=True):
    """A client account."""

    fleet: FleetName
    account: AccountName
    key_digest: str
    max_in_flight: int
    priority: int
    weight: int
    revision: int = 0


class ConfigSnapshot(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole state at an offset, for checkpoints and processes that join late."""

    offset: int
    fleets: list[Fleet]
    services: list[Service]
    versions: list[Version]
    targets: list[Target]
    accounts: list[Account]
    outcomes: dict[ChangeId, ChangeOutcome]


AnyObject = Fleet | Service | Version | Target | Account
