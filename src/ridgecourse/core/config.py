"""The configuration state, computed by folding the change records of the log.

All processes that have folded the log up to the same offset hold the same state, which
they can verify by comparing its digest.
"""

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from blake3 import blake3
from msgspec import structs
from msgspec.json import encode
from returns.result import Failure, Result, Success

from ridgecourse.core.change import (
    Abort,
    ChangeOutcome,
    ChangeRecord,
    ChangeStatus,
    ConfigRecord,
    CreateFleet,
    JoinTarget,
    LeaveTarget,
    Place,
    PublishVersion,
    PutAccount,
    PutService,
    RollBack,
    ServiceKind,
    SetTraffic,
)
from ridgecourse.core.config_objects import (
    Account,
    AnyObject,
    ConfigSnapshot,
    Fleet,
    Service,
    Target,
    Version,
)
from ridgecourse.core.ids import (
    AccountName,
    ChangeId,
    FleetName,
    Offset,
    ServiceName,
    TargetName,
)

MAX_ORIGIN_COPIES = 4
MAX_PRIORITY = 9
MAX_OUTCOMES = 4096
"""Number of change ids whose outcome is remembered. An older change id that is sent
again counts as new."""


Decision = Result[AnyObject, str]
ObjectT = TypeVar("ObjectT", Fleet, Service, Version, Target, Account)


class ConfigState:
    """The folded configuration.

    Attributes:
        offset: The next offset to fold; all records below it are included in the state.
    """

    def __init__(self) -> None:
        self.offset = Offset(0)
        self.fleets: dict[str, Fleet] = {}
        self.services: dict[tuple[str, str], Service] = {}
        self.versions: dict[tuple[str, str, str], Version] = {}
        self.targets: dict[tuple[str, str], Target] = {}
        self.accounts: dict[tuple[str, str], Account] = {}
        self.outcomes: dict[ChangeId, ChangeOutcome] = {}
        # Indexes for the lookups that every request makes.
        self.targets_by_service: dict[tuple[str, str], dict[TargetName, Target]] = {}
        self.accounts_by_key: dict[tuple[str, str], AccountName] = {}
        self.handlers: dict[type, Callable[[Any], Decision]] = {
            CreateFleet: self._create_fleet,
            PutService: self._put_service,
            PublishVersion: self._publish_version,
            Place: self._place,
            RollBack: self._roll_back,
            Abort: self._abort,
            JoinTarget: self._join_target,
            LeaveTarget: self._leave_target,
            SetTraffic: self._set_traffic,
            PutAccount: self._put_account,
        }

    def apply(
        self, offset: Offset, record: ConfigRecord | None
    ) -> ChangeOutcome | None:
        """Fold the record at an offset.

        Args:
            offset: Offset of the record; must equal the offset of the state.
            record: The change or notice; None for a record that cannot be decoded.

        Returns:
            The outcome of a change; for a repeated change id, the first outcome. None
            for any other record.

        Raises:
            ValueError: The offset is not the next one.
        """
        if offset != self.offset:
            raise ValueError(
                f"cannot fold offset {offset}, expected offset {self.offset}"
            )
        self.offset = Offset(offset + 1)
        if not isinstance(record, ChangeRecord):
            return None
        first_outcome = self.outcomes.get(record.change_id)
        if first_outcome is not None:
            return first_outcome
        outcome = self._decide(offset, record)
        self._remember_outcome(record.change_id, outcome)
        return outcome

    def _decide(self, offset: Offset, record: ChangeRecord) -> ChangeOutcome:
        current = self._current_object(record)
        revision = 0 if current is None else current.revision
        expected = record.expected_revision
        if expected is not None and expected != revision:
            reason = f"conflict: revision is {revision}, expected {expected}"
            return ChangeOutcome(ChangeStatus.REJECTED, offset, revision, reason)
        decision = self.handlers[type(record.change)](record.change)
        if isinstance(decision, Failure):
            reason = decision.failure()
            return ChangeOutcome(ChangeStatus.REJECTED, offset, revision, reason)
        changed = structs.replace(decision.unwrap(), revision=offset + 1)
        self._store_object(changed)
        return ChangeOutcome(ChangeStatus.ACCEPTED, offset, offset + 1)

    def _remember_outcome(self, change_id: ChangeId, outcome: ChangeOutcome) -> None:
        self.outcomes[change_id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _current_object(self, record: ChangeRecord) -> AnyObject | None:
        """Return the current object that a change applies to."""
        change = record.change
        if isinstance(change, CreateFleet):
            return self.fleets.get(change.fleet)
        if isinstance(change, PublishVersion):
            return self.versions.get((change.fleet, change.model, change.version))
        if isinstance(change, (JoinTarget, LeaveTarget)):
            return self.targets.get((change.fleet, change.target))
        if isinstance(change, PutAccount):
            return self.accounts.get((change.fleet, change.account))
        return self.services.get((change.fleet, change.service))

    def _store_object(self, changed: AnyObject) -> None:
        if isinstance(changed, Fleet):
            self.fleets[changed.fleet] = changed
        elif isinstance(changed, Service):
            self.services[changed.fleet, changed.service] = changed
        elif isinstance(changed, Version):
            self.versions[changed.fleet, changed.model, changed.version] = changed
        elif isinstance(changed, Target):
            self.targets[changed.fleet, changed.target] = changed
            targets_of_service = self.targets_by_service.setdefault(
                (changed.fleet, changed.service), {}
            )
            targets_of_service[changed.target] = changed
        else:
            self.accounts[changed.fleet, changed.account] = changed
            self.accounts_by_key[changed.fleet, changed.key_digest] = changed.account

    def _create_fleet(self, change: CreateFleet) -> Decision:
        if not 1 <= change.origin_copies <= MAX_ORIGIN_COPIES:
            return Failure(f"origin_copies must be 1 to {MAX_ORIGIN_COPIES}")
        return Success(Fleet(change.fleet, change.origin_copies))

    def _put_service(self, change: PutService) -> Decision:
        if change.fleet not in self.fleets:
            return Failure(f"unknown fleet {change.fleet}")
        current = self.services.get((change.fleet, change.service))
        if current is not None and current.kind is not change.kind:
            return Failure(f"service {change.service} is of kind {current.kind.value}")
        return Success(current or Service(change.fleet, change.service, change.kind))

    def _publish_version(self, change: PublishVersion) -> Decision:
        if change.fleet not in self.fleets:
            return Failure(f"unknown fleet {change.fleet}")
        version = Version(
            change.fleet,
            change.model,
            change.version,
            change.root_digest,
            change.origin_path,
            change.total_bytes,
        )
        current = self.versions.get((change.fleet, change.model, change.version))
        if current is not None and current.root_digest != change.root_digest:
            return Failure(f"version {change.version} has other content already")
        return Success(version)

    def _find_service(
        self, fleet: FleetName, service: ServiceName
    ) -> Result[Service, str]:
        found = self.services.get((fleet, service))
        if found is None:
            return Failure(f"unknown service {fleet}/{service}")
        return Success(found)

    def _place(self, change: Place) -> Decision:
        return self._find_service(change.fleet, change.service).bind(
            lambda service: self._place_version(service, change)
        )

    def _place_version(self, service: Service, change: Place) -> Decision:
        if service.kind is not ServiceKind.MODEL:
            return Failure(f"service {service.service} serves no model")
        version = self.versions.get((change.fleet, change.model, change.version))
        if version is None:
            return Failure(f"unknown version {change.model}/{change.version}")
        previous = service.placed
        if previous is not None and previous.root_digest == version.root_digest:
            previous = service.previous
        return Success(
            structs.replace(service, placed=version, previous=previous, halted=False)
        )

    def _roll_back(self, change: RollBack) -> Decision:
        return self._find_service(change.fleet, change.service).bind(_swap_versions)

    def _abort(self, change: Abort) -> Decision:
        return self._find_service(change.fleet, change.service).map(
            lambda service: structs.replace(service, halted=True)
        )

    def _join_target(self, change: JoinTarget) -> Decision:
        current = self.targets.get((change.fleet, change.target))
        if current is not None and current.service != change.service:
            return Failure(f"target {change.target} belongs to {current.service}")
        target = Target(
            change.fleet,
            change.service,
            change.target,
            change.domain,
            change.address,
            change.control_address,
        )
        return self._find_service(change.fleet, change.service).map(lambda _: target)

    def _leave_target(self, change: LeaveTarget) -> Decision:
        current = self.targets.get((change.fleet, change.target))
        if current is None:
            return Failure(f"unknown target {change.target}")
        return Success(structs.replace(current, leaving=True))

    def _set_traffic(self, change: SetTraffic) -> Decision:
        if any(weight < 0 for weight in change.weights.values()):
            return Failure("weights must be 0 or more")
        if change.weights and not any(change.weights.values()):
            return Failure("at least one weight must be above 0")
        return self._find_service(change.fleet, change.service).map(
            lambda service: structs.replace(service, traffic=change.weights)
        )

    def _put_account(self, change: PutAccount) -> Decision:
        if change.fleet not in self.fleets:
            return Failure(f"unknown fleet {change.fleet}")
        if not 0 <= change.priority <= MAX_PRIORITY:
            return Failure(f"priority must be 0 to {MAX_PRIORITY}")
        if change.weight < 1 or change.max_in_flight < 0:
            return Failure("weight must be above 0 and max_in_flight not below 0")
        account = Account(
            change.fleet,
            change.account,
            change.key_digest,
            change.max_in_flight,
            change.priority,
            change.weight,
        )
        return Success(account)

    def service_targets(
        self, fleet: FleetName, service: ServiceName
    ) -> Iterator[Target]:
        """Yield the targets of a service, leaving ones included."""
        yield from self.targets_by_service.get((fleet, service), {}).values()

    def find_account(self, fleet: FleetName, key_digest: str) -> Account | None:
        """Return the account that a key belongs to."""
        name = self.accounts_by_key.get((fleet, key_digest))
        account = None if name is None else self.accounts[fleet, name]
        # A former key of the account is invalid.
        has_key = account is not None and account.key_digest == key_digest
        return account if has_key else None

    def snapshot(self) -> ConfigSnapshot:
        """Return the whole state in a deterministic order."""
        return ConfigSnapshot(
            self.offset,
            _sorted_values(self.fleets),
            _sorted_values(self.services),
            _sorted_values(self.versions),
            _sorted_values(self.targets),
            _sorted_values(self.accounts),
            dict(self.outcomes),
        )

    def restore(self, snapshot: ConfigSnapshot) -> bool:
        """Replace the state by a snapshot if the snapshot has a higher offset.

        Returns:
            Whether the state was replaced; the offset of a state never decreases.
        """
        if snapshot.offset <= self.offset:
            return False
        self.offset = Offset(snapshot.offset)
        for objects in (self.fleets, self.services, self.versions):
            objects.clear()
        self.targets.clear()
        self.accounts.clear()
        self.targets_by_service.clear()
        self.accounts_by_key.clear()
        for found in _snapshot_objects(snapshot):
            self._store_object(found)
        self.outcomes = dict(snapshot.outcomes)
        return True

    def digest(self) -> str:
        """Return a digest that is equal for equal states."""
        return blake3(encode(self.snapshot(), order="sorted")).hexdigest()


def _swap_versions(service: Service) -> Decision:
    if service.previous is None:
        return Failure("no version was placed before")
    return Success(
        structs.replace(
            service, placed=service.previous, previous=service.placed, halted=False
        )
    )


def _sorted_values(objects: dict[Any, ObjectT]) -> list[ObjectT]:
    return [objects[key] for key in sorted(objects)]


def _snapshot_objects(snapshot: ConfigSnapshot) -> Iterator[AnyObject]:
    yield from snapshot.fleets
    yield from snapshot.services
    yield from snapshot.versions
    yield from snapshot.targets
    yield from snapshot.accounts
