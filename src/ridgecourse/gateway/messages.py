"""Requests and answers as the gateway handles them, independent of the wire format."""

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    ModelName,
    RequestId,
    TargetId,
    WeightsVersion,
)
from ridgecourse.core.problem import Problems
from ridgecourse.net.http_server import HeaderList


class ClientRequest(Struct, frozen=True):
    """Request of a client.

    Attributes:
        request_id: The client's identifier of this attempt.
        method: HTTP method as sent.
        target: Path and query as sent.
        host: Host in lower case, without a port.
        headers: Headers that are passed on unaltered.
        wait: The client timeout in seconds; None if the client did not state it.
        key: API key; empty if the client sent none.
        model: Requested model; empty for a plain service.
        prompt_tokens: Length of the prompt; 0 if not stated.
        answer_tokens: Longest answer requested; 0 if not stated.
        length_hint: The client's estimate of the answer's length in tokens; 0 for none.
        last_event: Event after which a stream is resumed; None for its start.
        prompt_parts: Identities of the parts of the prompt that other requests may
            share, in their order. The last part is the request's own and not listed.
    """

    request_id: RequestId
    method: str
    target: str
    host: str
    headers: HeaderList
    wait: float | None
    key: str
    model: ModelName
    prompt_tokens: int
    answer_tokens: int
    length_hint: int
    last_event: int | None
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class SendTerms(Struct, frozen=True):
    """Conditions that the gateway adds to a request when it forwards the request.

    Attributes:
        target: The only incarnation of the target that may run the request.
        account: The client account of the API key; None without a key.
        wait: Seconds after which the target may stop working on the request.
        version: The only version of weights that may run the request; None for any.
        last_event: Event after which the stream is resumed.
        urgency: Urgency, 0 the highest; None for the target's default.
    """

    target: TargetId
    account: AccountName | None
    wait: float
    version: WeightsVersion | None
    last_event: int | None
    urgency: int | None


class AnswerHead(Struct, frozen=True):
    """Head of a target's answer.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        headers: Headers that are passed on to the client.
        request_id: The request that is answered; empty if not stated.
        signed: Whether the head carries the target's signature.
        not_run: Whether the head proves that the target did not run the request.
        other_target: Whether another incarnation of the target has the address, or the
            target lacks the requested weights.
        events: Whether the body is a stream of events.
        limit: Rate limit of the target for all senders, in requests a second; None if
            the target reports none.
        bad_limit: Text of a rate limit that cannot be read; empty for none.
        leaving: Whether the target announces that it leaves.
        rest: Seconds for which the target wants no more requests from this gateway.
        bad_announcements: Announcements that cannot be read.
    """

    status: int
    reason: str
    headers: HeaderList
    request_id: str
    signed: bool
    not_run: bool
    other_target: bool
    events: bool
    limit: float | None = None
    bad_limit: str = ""
    leaving: bool = False
    rest: float = 0.0
    bad_announcements: Problems = ()

    @property
    def success(self) -> bool:
        """Whether the status is between 200 and 299."""
        return 200 <= self.status < 300
