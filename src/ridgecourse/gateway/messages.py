"""Requests and answers as the gateway sees them, whatever their wire names."""

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    ModelName,
    RequestId,
    TargetId,
    WeightsVersion,
)
from ridgecourse.net.http_server import HeaderList


class CallerRequest(Struct, frozen=True):
    """A caller's request.

    Attributes:
        request_id: The caller's identity of this attempt.
        method: As sent.
        target: Path and query as sent.
        host: Lower case, without a port.
        headers: What is passed on unaltered.
        wait: Seconds that the caller waits; None where it did not say.
        key: Its API key; empty if it sent none.
        model: Model that is asked; empty for a plain service.
        prompt_tokens: Length of the prompt; 0 where not told.
        answer_tokens: Longest answer asked for; 0 where not told.
        length_hint: The caller's guess of the answer's tokens; 0 for none.
        last_event: Event after which a stream goes on; None from its start.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class SendTerms(Struct, frozen=True):
    """What the gateway adds to a request that it passes on.

    Attributes:
        target: The only life of the target that may run it.
        account: The account of the caller's key; None without one.
        wait: Seconds after which the target need not go on.
        version: The only version of weights that may run it; None for any.
        last_event: Event after which its stream goes on.
        urgency: 0 goes first; None for the target's usual.
    """

    target: TargetId
    account: AccountName | None
    wait: float
    version: WeightsVersion | None
    last_event: int | None
    urgency: int | None


class AnswerHead(Struct, frozen=True):
    """The head of a target's answer.

    Attributes:
        status: HTTP status.
        reason: Its text.
        headers: What is passed on to the caller.
        request_id: The request that it answers; empty if not told.
        signed: Whether it carries the target's signature.
        not_run: Whether it proves that the target did not run the request.
        other_target: Whether another life of the target has the address, or
            the target lacks the weights asked for.
        events: Whether its body is a stream of events.
        limit: Requests a second that the target takes in all; None where it names none.
        bad_limit: What it names in place of that and cannot be read; empty for nothing.
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

    @property
    def success(self) -> bool:
        """Whether the request was served."""
        return 200 <= self.status < 300
