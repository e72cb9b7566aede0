"""One attempt to run a request at one target.

The result of an attempt states what is proven about the request. A refusal by the
agent, or a connection that could not be opened, proves that the request was not
run. An exchange that fails later leaves the outcome unknown.
"""

from contextlib import closing
from typing import NamedTuple

from returns.result import Failure
from urllib3 import BaseHTTPResponse

from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import Incarnation, RequestId
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.entry.agent_links import AgentView
from ridgecourse.entry.call import Call
from ridgecourse.entry.context import EntryContext
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import (
    ExchangeFailed,
    NoConnection,
    read_pieces,
)
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.request import (
    FENCE_PATH,
    IDENTITY_PATH,
    LOAD_HEADER,
    MAX_ANSWER_BYTES,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    VERSION_HEADER,
    WORK_PATH,
    FenceReply,
    FenceRequest,
    Identity,
    Work,
)

ANSWER_GRACE_SECONDS = 0.25
"""Extra wait, in seconds, for the refusal that an agent sends at the deadline."""
AGENT_REPLY_TIMEOUT_SECONDS = 2.0


class Refused(NamedTuple):
    """Proof that the request was not run.

    Attributes:
        reason: Why the request was not run.
        retry_after: Seconds that the client should wait before a retry; 0 if
            the agent named no time.
        target_failed: Whether the target failed rather than refused.
    """

    reason: Reason
    retry_after: float = 0.0
    target_failed: bool = False


class OutcomeUnknown(NamedTuple):
    """The attempt does not show whether the request was run."""

    reason: Reason
    detail: str


class CompleteAnswer(NamedTuple):
    """A complete, non-streamed answer."""

    status: int
    body: bytes


class StreamStarted(NamedTuple):
    """A streamed answer whose headers have arrived."""

    response: BaseHTTPResponse
    version: str


AttemptResult = Refused | OutcomeUnknown | CompleteAnswer | StreamStarted


class AttemptSender:
    """Sends requests to agents and classifies their responses."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.http = context.new_client(0.5)

    def send(
        self,
        call: Call,
        target: Target,
        view: AgentView,
        request_id: RequestId,
        start_at: int = 0,
        version: str = "",
    ) -> AttemptResult:
        """Send a request to a target and return the result of the attempt.

        Args:
            call: The request.
            target: The target to send the request to.
            view: This entry's state of the target's agent.
            request_id: Identifies this start of the request at the agent.
            start_at: Number of tokens that the client already has.
            version: Root digest of the version that must answer; empty for any
                version.
        """
        remaining = call.deadline - boottime()
        if remaining <= 0:
            return Refused(Reason.DEADLINE)
        work = Work(
            request_id,
            call.account.account,
            call.account.priority,
            call.account.weight,
            int(remaining * 1000),
            call.body,
            start_at,
            version,
            not call.repeatable,
            call.key,
            view.incarnation if call.key is not None else None,
            self.context.events.clock,
        )
        body = encode_message(work)
        try:
            response = self.http.send(
                "POST",
                target.address,
                WORK_PATH,
                body,
                self._signed_headers(WORK_PATH, body),
                remaining + ANSWER_GRACE_SECONDS,
                fresh=True,
            )
            return self._classify_response(call, view, response)
        except NoConnection:
            return Refused(Reason.TARGET_LOST, target_failed=True)
        except ExchangeFailed as error:
            return OutcomeUnknown(Reason.TARGET_LOST, str(error))

    def _signed_headers(self, path: str, body: bytes) -> dict[str, str]:
        key = self.context.settings.shared_key
        return {AUTH_HEADER: sign_request(key, "POST", path, body)}

    def _classify_response(
        self, call: Call, view: AgentView, response: BaseHTTPResponse
    ) -> AttemptResult:
        reported_load = response.headers.get(LOAD_HEADER, "")
        if reported_load.isdecimal():
            view.load.record_report(int(reported_load), view.load.reported_at)
        outcome = response.headers.get(OUTCOME_HEADER, "")
        reason = parse_reason(response.headers.get(REASON_HEADER, ""))
        if outcome == Outcome.NOT_RUN.value:
            with closing(response):
                return Refused(reason, parse_seconds(response, RETRY_AFTER_HEADER))
        if outcome == Outcome.COMPLETED.value:
            with closing(response):
                body = b"".join(read_pieces(response, MAX_ANSWER_BYTES))
                return CompleteAnswer(response.status, body)
        if response.status == 200 and not outcome:
            version = response.headers.get(VERSION_HEADER, "")
            return StreamStarted(response, version)
        with closing(response):
            return OutcomeUnknown(reason, f"status {response.status}")

    def fence(
        self, target: Target, request_id: RequestId, incarnation: Incarnation
    ) -> FenceReply | None:
        """Ask an agent never to start a request.

        Returns:
            The agent's reply; None if the agent cannot be reached or sends no
            valid reply.
        """
        body = encode_message(FenceRequest(request_id, incarnation))
        try:
            status, data, _ = self.http.fetch(
                "POST",
                target.address,
                FENCE_PATH,
                body,
                self._signed_headers(FENCE_PATH, body),
                AGENT_REPLY_TIMEOUT_SECONDS,
            )
        except (NoConnection, ExchangeFailed):
            return None
        decoded = decode_message(data, FenceReply)
        if status != 200 or isinstance(decoded, Failure):
            return None
        return decoded.unwrap()

    def fetch_incarnation(self, target: Target) -> Incarnation | None:
        """Return an agent's incarnation.

        Returns:
            The incarnation; None if the agent cannot be reached or sends no
            valid reply.
        """
        try:
            status, data, _ = self.http.fetch(
                "GET",
                target.address,
                IDENTITY_PATH,
                timeout=AGENT_REPLY_TIMEOUT_SECONDS,
            )
        except (NoConnection, ExchangeFailed):
            return None
        decoded = decode_message(data, Identity)
        if status != 200 or isinstance(decoded, Failure):
            return None
        return decoded.unwrap().incarnation

    def close(self) -> None:
        """Close idle connections."""
        self.http.close()


def parse_reason(text: str) -> Reason:
    """Return the reason in a header; ``ENGINE_FAILED`` if the value is invalid."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.ENGINE_FAILED


def parse_seconds(response: BaseHTTPResponse, header: str) -> float:
    """Return a header's value in seconds; 0 if the value is not a number."""
    try:
        return max(0.0, float(response.headers.get(header, "0")))
    except ValueError:
        return 0.0
