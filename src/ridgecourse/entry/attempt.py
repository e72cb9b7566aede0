"""One try of a request at one target, and what it proves."""

from contextlib import closing
from typing import NamedTuple

from returns.result import Failure
from urllib3 import BaseHTTPResponse

from ridgecourse.core.config_objects import Target
from ridgecourse.core.ids import Incarnation, RequestId
from ridgecourse.core.outcome import Outcome, Reason
from ridgecourse.entry.call import Call
from ridgecourse.entry.context import EntryContext
from ridgecourse.entry.links import AgentView
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
"""An agent that refuses at the deadline gets this long for its proof to arrive."""
FENCE_SECONDS = 2.0


class Refused(NamedTuple):
    """Proof that the request was not run.

    Attributes:
        reason: Why.
        retry_after: Seconds after which to come back, 0 if not told.
        blame: Whether the target failed rather than refused.
    """

    reason: Reason
    retry_after: float = 0.0
    blame: bool = False


class Lost(NamedTuple):
    """Whether the request was run is not known."""

    reason: Reason
    detail: str


class Whole(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class Streaming(NamedTuple):
    """A streamed answer that has begun."""

    response: BaseHTTPResponse
    version: str


AttemptResult = Refused | Lost | Whole | Streaming


class Attempter:
    """Sends requests to agents and reads their proofs."""

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
        """Try a request at a target.

        Args:
            call: The request.
            target: Where to send it.
            view: What is known of its agent.
            request_id: Names this start of the request.
            start_at: Tokens the caller already has.
            version: Root digest that must answer; empty for any.
        """
        left = call.deadline - boottime()
        if left <= 0:
            return Refused(Reason.DEADLINE)
        work = Work(
            request_id,
            call.account.account,
            call.account.priority,
            call.account.weight,
            int(left * 1000),
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
                self._signed(WORK_PATH, body),
                left + ANSWER_GRACE_SECONDS,
                fresh=True,
            )
            return self._read(call, view, response)
        except NoConnection:
            return Refused(Reason.TARGET_LOST, blame=True)
        except ExchangeFailed as error:
            return Lost(Reason.TARGET_LOST, str(error))

    def _signed(self, path: str, body: bytes) -> dict[str, str]:
        key = self.context.settings.shared_key
        return {AUTH_HEADER: sign_request(key, "POST", path, body)}

    def _read(
        self, call: Call, view: AgentView, response: BaseHTTPResponse
    ) -> AttemptResult:
        load = response.headers.get(LOAD_HEADER, "")
        if load.isdecimal():
            view.load.report(int(load), view.load.reported_at)
        outcome = response.headers.get(OUTCOME_HEADER, "")
        reason = read_reason(response.headers.get(REASON_HEADER, ""))
        if outcome == Outcome.NOT_RUN.value:
            with closing(response):
                return Refused(reason, read_seconds(response, RETRY_AFTER_HEADER))
        if outcome == Outcome.COMPLETED.value:
            with closing(response):
                body = b"".join(read_pieces(response, MAX_ANSWER_BYTES))
                return Whole(response.status, body)
        if response.status == 200 and not outcome:
            version = response.headers.get(VERSION_HEADER, "")
            return Streaming(response, version)
        with closing(response):
            return Lost(reason, f"status {response.status}")

    def fence(
        self, target: Target, request_id: RequestId, incarnation: Incarnation
    ) -> FenceReply | None:
        """Ask an agent never to start a request; None if it cannot be reached."""
        body = encode_message(FenceRequest(request_id, incarnation))
        try:
            status, data, _ = self.http.fetch(
                "POST",
                target.address,
                FENCE_PATH,
                body,
                self._signed(FENCE_PATH, body),
                FENCE_SECONDS,
            )
        except (NoConnection, ExchangeFailed):
            return None
        decoded = decode_message(data, FenceReply)
        if status != 200 or isinstance(decoded, Failure):
            return None
        return decoded.unwrap()

    def identify(self, target: Target) -> Incarnation | None:
        """Ask an agent which life it is in; None if it cannot be reached."""
        try:
            status, data, _ = self.http.fetch(
                "GET", target.address, IDENTITY_PATH, timeout=FENCE_SECONDS
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


def read_reason(text: str) -> Reason:
    """Return the reason that a header names."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.ENGINE_FAILED


def read_seconds(response: BaseHTTPResponse, header: str) -> float:
    """Return a header's value as seconds, 0 if it is none."""
    try:
        return max(0.0, float(response.headers.get(header, "0")))
    except ValueError:
        return 0.0
