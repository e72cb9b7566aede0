"""Parsing and validation of client requests.

``parse_call`` checks the path, the client account, the service and the headers of
a request against the configuration before the request is dispatched.
"""

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
AFFINITY_PREFIX_BYTES = 64
"""Length of the prompt prefix that is the affinity key of a request.

The router keeps requests whose prompts share this prefix together.
"""


class Call(NamedTuple):
    """A validated client request.

    Attributes:
        request_id: Identifier that the entry assigned to the request.
        service: The service that the request is for.
        account: The client account that sent the request.
        body: Body of the request.
        received_at: Time of arrival, on this process's clock.
        deadline: Time at which the client gives up, on this process's clock.
        repeatable: Whether the request may run more than once.
        key: The client's idempotency key; a request with a key runs at most
            once over all entries.
    """

    request_id: RequestId
    service: Service
    account: Account
    body: bytes
    received_at: float
    deadline: float
    repeatable: bool
    key: IdempotencyKey | None

    def affinity_key(self) -> str:
        """Return the key by which the router groups requests.

        The key is the beginning of the prompt, and empty for services that are
        not models.
        """
        if self.service.kind is not ServiceKind.MODEL:
            return ""
        return self.body[:AFFINITY_PREFIX_BYTES].decode("utf-8", "replace")


class CallRejection(NamedTuple):
    """Why a request is invalid; the request was not run.

    Attributes:
        status: HTTP status of the reply.
        reason: Machine-readable reason.
        detail: Explanation for a person.
    """

    status: int
    reason: Reason
    detail: str


def parse_call(
    request: HttpRequest, config: ConfigState, now: float
) -> Result[Call, CallRejection]:
    """Check a client's request against the configuration.

    Args:
        request: The HTTP request; its body is read.
        config: The configuration in force.
        now: The present time, on this process's clock.

    Returns:
        The call, or why the request is invalid.
    """
    path_segments = request.path.removeprefix(CALL_PREFIX).split("/")
    if len(path_segments) != 2:
        return _rejection(404, Reason.UNKNOWN_SERVICE, "expected /v1/FLEET/SERVICE")
    fleet, service_name = FleetName(path_segments[0]), ServiceName(path_segments[1])
    token = bearer_token(request.header("Authorization"))
    account = config.find_account(fleet, token_digest(token))
    if not token or account is None:
        return _rejection(401, Reason.UNAUTHENTICATED, "no such account of this fleet")
    service = config.services.get((fleet, service_name))
    if service is None:
        return _rejection(
            404, Reason.UNKNOWN_SERVICE, f"no service {fleet}/{service_name}"
        )
    deadline_ms = request.header(DEADLINE_HEADER) or str(DEFAULT_DEADLINE_MS)
    if not deadline_ms.isdecimal() or not 0 < int(deadline_ms) <= MAX_DEADLINE_MS:
        detail = f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS}"
        return _rejection(400, Reason.BAD_REQUEST, detail)
    repeatable = request.header(REPEATABLE_HEADER, "no")
    if repeatable not in ("yes", "no"):
        detail = f"{REPEATABLE_HEADER} must be yes or no"
        return _rejection(400, Reason.BAD_REQUEST, detail)
    key = request.header(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        detail = f"{KEY_HEADER} is over {MAX_KEY_LENGTH} characters"
        return _rejection(400, Reason.BAD_REQUEST, detail)
    return Success(
        Call(
            RequestId(uuid4().hex),
            service,
            account,
            request.read_body(MAX_REQUEST_BYTES),
            now,
            now + int(deadline_ms) / 1000.0,
            repeatable == "yes" and not key,
            IdempotencyKey(key) if key else None,
        )
    )


def _rejection(status: int, reason: Reason, detail: str) -> Failure[CallRejection]:
    return Failure(CallRejection(status, reason, detail))
