"""A caller's request, checked."""

from typing import NamedTuple
from uuid import uuid4

from returns.result import Failure, Result, Success

from ridgecourse.core.change import ServiceKind
from ridgecourse.core.config import ConfigState
from ridgecourse.core.config_objects import Account, Service
from ridgecourse.core.ids import FleetName, IdempotencyKey, RequestId, ServiceName
from ridgecourse.core.outcome import Reason
from ridgecourse.net.auth import bearer_token, token_digest
from ridgecourse.net.http_server import HttpRequest
from ridgecourse.wire.request import (
    DEADLINE_HEADER,
    KEY_HEADER,
    MAX_REQUEST_BYTES,
    REPEATABLE_HEADER,
)

CALL_PREFIX = "/v1/"
DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 600_000
MAX_KEY_LENGTH = 200
PREFIX_BYTES = 64
"""Beginning of a prompt by which requests with a common prefix are kept together."""


class Call(NamedTuple):
    """A checked request.

    Attributes:
        request_id: Given by the entry.
        service: Where it goes.
        account: Who sends it.
        body: Its body.
        received: When it came, on this process's clock.
        deadline: When the caller gives up, on this process's clock.
        repeatable: Whether it may run more than once.
        key: The caller's idempotency key; then it runs at most once over all
            entries.
    """

    request_id: RequestId
    service: Service
    account: Account
    body: bytes
    received: float
    deadline: float
    repeatable: bool
    key: IdempotencyKey | None

    def affinity(self) -> str:
        """Return what requests with a common prefix have in common."""
        if self.service.kind is not ServiceKind.MODEL:
            return ""
        return self.body[:PREFIX_BYTES].decode("utf-8", "replace")


class CallFault(NamedTuple):
    """Why a request is not taken; it was not run.

    Attributes:
        status: HTTP status.
        reason: For the caller's program.
        detail: For a person.
    """

    status: int
    reason: Reason
    detail: str


def parse_call(
    request: HttpRequest, config: ConfigState, now: float
) -> Result[Call, CallFault]:
    """Check a caller's request against the configuration.

    Args:
        request: The request; its body is read here.
        config: The configuration in force.
        now: The present time.

    Returns:
        The call, or why it is not taken.
    """
    parts = request.path.removeprefix(CALL_PREFIX).split("/")
    if len(parts) != 2:
        return _fault(404, Reason.UNKNOWN_SERVICE, "expected /v1/FLEET/SERVICE")
    fleet, service_name = FleetName(parts[0]), ServiceName(parts[1])
    token = bearer_token(request.header("Authorization"))
    account = config.find_account(fleet, token_digest(token))
    if not token or account is None:
        return _fault(401, Reason.UNAUTHENTICATED, "no such account of this fleet")
    service = config.services.get((fleet, service_name))
    if service is None:
        return _fault(404, Reason.UNKNOWN_SERVICE, f"no service {fleet}/{service_name}")
    milliseconds = request.header(DEADLINE_HEADER) or str(DEFAULT_DEADLINE_MS)
    if not milliseconds.isdecimal() or not 0 < int(milliseconds) <= MAX_DEADLINE_MS:
        text = f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS}"
        return _fault(400, Reason.BAD_REQUEST, text)
    repeatable = request.header(REPEATABLE_HEADER, "no")
    if repeatable not in ("yes", "no"):
        text = f"{REPEATABLE_HEADER} must be yes or no"
        return _fault(400, Reason.BAD_REQUEST, text)
    key = request.header(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        text = f"{KEY_HEADER} is over {MAX_KEY_LENGTH} characters"
        return _fault(400, Reason.BAD_REQUEST, text)
    return Success(
        Call(
            RequestId(uuid4().hex),
            service,
            account,
            request.read_body(MAX_REQUEST_BYTES),
            now,
            now + int(milliseconds) / 1000.0,
            repeatable == "yes" and not key,
            IdempotencyKey(key) if key else None,
        )
    )


def _fault(status: int, reason: Reason, detail: str) -> Failure[CallFault]:
    return Failure(CallFault(status, reason, detail))
