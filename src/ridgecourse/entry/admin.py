"""The administration API: one RPC for each type of configuration change.

Each RPC authenticates the operator, checks the arguments, appends the change to
the log and returns the outcome that the log decides.
"""

from collections.abc import Iterable
from typing import Any
from uuid import uuid4

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from msgspec import to_builtins
from msgspec.json import encode

from ridgecourse.core.change import (
    Abort,
    AnyChange,
    ChangeOutcome,
    ChangeRecord,
    ChangeStatus,
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
from ridgecourse.core.config import ConfigState
from ridgecourse.core.config_objects import AnyObject, Target
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
from ridgecourse.core.manifest import is_digest
from ridgecourse.entry.change_writer import DEFAULT_DEADLINE_SECONDS, ChangeWriter
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.report_collector import ReportCollector
from ridgecourse.entry.settings import OperatorSettings, Role
from ridgecourse.net.address import parse_address
from ridgecourse.net.auth import bearer_token, token_digest
from ridgecourse.wire import admin_pb as pb
from ridgecourse.wire.admin_connect import AdminSync
from ridgecourse.wire.entry_control import TargetReport

MAX_NAME_LENGTH = 200

STATUS_TO_WIRE = {
    ChangeStatus.ACCEPTED: pb.ChangeStatus.ACCEPTED,
    ChangeStatus.REJECTED: pb.ChangeStatus.REJECTED,
    ChangeStatus.UNKNOWN: pb.ChangeStatus.UNKNOWN,
}


class AdminService(AdminSync):
    """Implements the RPCs of the administration schema."""

    def __init__(
        self, context: EntryContext, writer: ChangeWriter, reports: ReportCollector
    ) -> None:
        self.context = context
        self.writer = writer
        self.reports = reports

    # Authentication.

    def _authenticate_operator(self, ctx: Any, role: Role) -> OperatorSettings:
        """Return the operator that sent a call.

        Raises:
            ConnectError: No operator has the call's token, or the operator's
                role does not permit the call.
        """
        header = ctx.request_headers.get("authorization") or ""
        digest = token_digest(bearer_token(header))
        for operator in self.context.settings.operators:
            if operator.token_digest == digest:
                if role is Role.OPERATOR and operator.role is not Role.OPERATOR:
                    message = f"{operator.name} may read only"
                    raise ConnectError(Code.PERMISSION_DENIED, message)
                return operator
        raise ConnectError(Code.UNAUTHENTICATED, "no operator has this token")

    def _submit(
        self, ctx: Any, header: pb.ChangeHeader | None, change: AnyChange
    ) -> pb.ChangeReply:
        operator = self._authenticate_operator(ctx, Role.OPERATOR)
        header = header or pb.ChangeHeader()
        expected = header.expected_revision if _has_expected_revision(header) else None
        record = ChangeRecord(
            ChangeId(header.change_id or uuid4().hex), operator.name, change, expected
        )
        timeout_seconds = header.deadline_ms / 1000.0 or DEFAULT_DEADLINE_SECONDS
        return make_change_reply(
            record.change_id, self.writer.submit(record, timeout_seconds)
        )

    # Changes.

    def create_fleet(self, request: pb.CreateFleetRequest, ctx: Any) -> pb.ChangeReply:
        """Create a fleet, or set the origin copies of an existing fleet."""
        fleet = check_name("fleet", request.fleet)
        change = CreateFleet(FleetName(fleet), request.origin_copies or 1)
        return self._submit(ctx, request.header, change)

    def put_service(self, request: pb.PutServiceRequest, ctx: Any) -> pb.ChangeReply:
        """Create a service."""
        kinds = [kind.value for kind in ServiceKind]
        if request.kind not in kinds:
            raise invalid_field_error(
                "kind", request.kind, f"one of {', '.join(kinds)}"
            )
        change = PutService(
            FleetName(check_name("fleet", request.fleet)),
            ServiceName(check_name("service", request.service)),
            ServiceKind(request.kind),
        )
        return self._submit(ctx, request.header, change)

    def publish_version(
        self, request: pb.PublishVersionRequest, ctx: Any
    ) -> pb.ChangeReply:
        """Register a model version."""
        if not is_digest(request.root_digest):
            raise invalid_field_error(
                "root_digest", request.root_digest, "a BLAKE3 digest"
            )
        change = PublishVersion(
            FleetName(check_name("fleet", request.fleet)),
            ModelName(check_name("model", request.model)),
            VersionName(check_name("version", request.version)),
            RootDigest(request.root_digest),
            request.origin_path,
            request.total_bytes,
        )
        return self._submit(ctx, request.header, change)

    def place(self, request: pb.PlaceRequest, ctx: Any) -> pb.ChangeReply:
        """Start the rollout of a version to a service."""
        change = Place(
            FleetName(check_name("fleet", request.fleet)),
            ServiceName(check_name("service", request.service)),
            ModelName(check_name("model", request.model)),
            VersionName(check_name("version", request.version)),
        )
        return self._submit(ctx, request.header, change)

    def roll_back(self, request: pb.RollBackRequest, ctx: Any) -> pb.ChangeReply:
        """Start the rollout of the version that was placed before."""
        fleet = FleetName(check_name("fleet", request.fleet))
        service = ServiceName(check_name("service", request.service))
        return self._submit(ctx, request.header, RollBack(fleet, service))

    def abort(self, request: pb.AbortRequest, ctx: Any) -> pb.ChangeReply:
        """Stop a rollout; each target keeps its present version."""
        fleet = FleetName(check_name("fleet", request.fleet))
        service = ServiceName(check_name("service", request.service))
        return self._submit(ctx, request.header, Abort(fleet, service))

    def join_target(self, request: pb.JoinTargetRequest, ctx: Any) -> pb.ChangeReply:
        """Add a target to a service."""
        change = JoinTarget(
            FleetName(check_name("fleet", request.fleet)),
            ServiceName(check_name("service", request.service)),
            TargetName(check_name("target", request.target)),
            DomainName(check_name("domain", request.domain)),
            check_address("address", request.address),
            check_address("control_address", request.control_address),
        )
        return self._submit(ctx, request.header, change)

    def leave_target(self, request: pb.LeaveTargetRequest, ctx: Any) -> pb.ChangeReply:
        """Remove a target from service."""
        fleet = FleetName(check_name("fleet", request.fleet))
        target = TargetName(check_name("target", request.target))
        return self._submit(ctx, request.header, LeaveTarget(fleet, target))

    def set_traffic(self, request: pb.SetTrafficRequest, ctx: Any) -> pb.ChangeReply:
        """Set the traffic weight of each failure domain."""
        weights = {DomainName(name): weight for name, weight in request.weights.items()}
        change = SetTraffic(
            FleetName(check_name("fleet", request.fleet)),
            ServiceName(check_name("service", request.service)),
            weights,
        )
        return self._submit(ctx, request.header, change)

    def put_account(self, request: pb.PutAccountRequest, ctx: Any) -> pb.ChangeReply:
        """Create or change a client account."""
        if not is_digest(request.key_digest):
            raise invalid_field_error(
                "key_digest", request.key_digest, "a BLAKE3 digest"
            )
        change = PutAccount(
            FleetName(check_name("fleet", request.fleet)),
            AccountName(check_name("account", request.account)),
            request.key_digest,
            request.max_in_flight,
            request.priority,
            request.weight or 1,
        )
        return self._submit(ctx, request.header, change)

    # Reading.

    def get_change(self, request: pb.GetChangeRequest, ctx: Any) -> pb.ChangeReply:
        """Return the outcome of a change."""
        self._authenticate_operator(ctx, Role.VIEWER)
        change_id = ChangeId(check_name("change_id", request.change_id))
        return make_change_reply(change_id, self.writer.outcome(change_id))

    def show(self, request: pb.ShowRequest, ctx: Any) -> pb.ShowReply:
        """Return the configuration of one fleet, or of all fleets."""
        self._authenticate_operator(ctx, Role.VIEWER)
        state = self.context.config.state
        objects = [
            make_object_view(config_object)
            for config_object in iter_config_objects(state)
            if request.fleet in ("", config_object.fleet)
        ]
        return pb.ShowReply(offset=state.offset, digest=state.digest(), objects=objects)

    def show_rollout(
        self, request: pb.ShowRolloutRequest, ctx: Any
    ) -> pb.ShowRolloutReply:
        """Return the rollout progress of each target of a service."""
        self._authenticate_operator(ctx, Role.VIEWER)
        state = self.context.config.state
        fleet, service_name = FleetName(request.fleet), ServiceName(request.service)
        service = state.services.get((fleet, service_name))
        if service is None:
            message = f"no service {request.fleet}/{request.service}"
            raise ConnectError(Code.NOT_FOUND, message)
        reports = self.reports.collect(fleet, service_name)
        targets = [
            make_target_progress(target, reports.get(target.target))
            for target in state.service_targets(fleet, service_name)
        ]
        placed = service.placed
        if placed is None:
            return pb.ShowRolloutReply(targets=targets)
        return pb.ShowRolloutReply(
            model=placed.model,
            version=placed.version,
            root_digest=placed.root_digest,
            targets=targets,
        )


def _has_expected_revision(header: pb.ChangeHeader) -> bool:
    return header.has_field("expected_revision")


def make_change_reply(change_id: ChangeId, outcome: ChangeOutcome) -> pb.ChangeReply:
    """Convert the outcome of a change to its schema message."""
    return pb.ChangeReply(
        change_id=change_id,
        status=STATUS_TO_WIRE[outcome.status],
        offset=outcome.offset,
        revision=outcome.revision,
        reason=outcome.reason,
    )


def make_target_progress(
    target: Target, target_report: TargetReport | None
) -> pb.TargetProgress:
    """Convert a target's report to its schema message."""
    if target_report is None:
        return pb.TargetProgress(
            target=target.target,
            domain=target.domain,
            leaving=target.leaving,
            report_age_ms=-1,
        )
    report = target_report.report
    return pb.TargetProgress(
        target=target.target,
        domain=target.domain,
        phase=report.phase,
        bytes_held=report.bytes_held,
        bytes_total=report.bytes_total,
        serving_digest=report.serving,
        error=report.error,
        ready=report.ready,
        leaving=target.leaving,
        in_flight=report.in_flight,
        report_age_ms=target_report.age_ms,
    )


def make_object_view(config_object: AnyObject) -> pb.ObjectView:
    """Convert a configuration object to its schema message."""
    kind = type(config_object).__name__.lower()
    name = getattr(config_object, kind)
    fields = encode(to_builtins(config_object)).decode()
    return pb.ObjectView(
        kind=kind, name=name, revision=config_object.revision, fields_json=fields
    )


def iter_config_objects(state: ConfigState) -> Iterable[AnyObject]:
    """Yield all objects of the configuration."""
    yield from state.fleets.values()
    yield from state.services.values()
    yield from state.versions.values()
    yield from state.targets.values()
    yield from state.accounts.values()


def check_name(field: str, text: str) -> str:
    """Return a name unchanged if it is valid.

    Raises:
        ConnectError: The name is empty, longer than ``MAX_NAME_LENGTH``, or has
            a character that is not allowed.
    """
    allowed = all(char.isalnum() or char in "-_.:" for char in text)
    if not 0 < len(text) <= MAX_NAME_LENGTH or not allowed:
        raise invalid_field_error(field, text, "letters, digits, '-', '_', '.' and ':'")
    return text


def check_address(field: str, text: str) -> str:
    """Return an address in its normalized form.

    Raises:
        ConnectError: The text is not a HOST:PORT address.
    """
    try:
        return str(parse_address(text))
    except ValueError as error:
        raise invalid_field_error(
            field, text, "HOST:PORT with a numeric host"
        ) from error


def invalid_field_error(field: str, actual: str, expected: str) -> ConnectError:
    """Return the error for a field with an invalid value."""
    message = f"{field}: found {actual!r}, expected {expected}"
    return ConnectError(Code.INVALID_ARGUMENT, message)
