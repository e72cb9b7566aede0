"""Requests that entries send to agents, and the events of a streamed answer."""

from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    IdempotencyKey,
    Incarnation,
    RequestId,
)

OUTCOME_HEADER = "Ridgecourse-Outcome"
REASON_HEADER = "Ridgecourse-Reason"
LOAD_HEADER = "Ridgecourse-Load"
VERSION_HEADER = "Ridgecourse-Version"
CLOCK_HEADER = "Ridgecourse-Clock"
REQUEST_HEADER = "Ridgecourse-Request"
RETRY_AFTER_HEADER = "Retry-After"
DEADLINE_HEADER = "Ridgecourse-Deadline-Ms"
REPEATABLE_HEADER = "Ridgecourse-Repeatable"
KEY_HEADER = "Idempotency-Key"

WORK_PATH = "/work"
FENCE_PATH = "/fence"
IDENTITY_PATH = "/identity"

MAX_REQUEST_BYTES = 4 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class Work(Struct, frozen=True, forbid_unknown_fields=True):
    """A request that an entry sends to an agent.

    Attributes:
        request_id: Identity of the request, the same for all its attempts.
        account: Client account whose share the request uses.
        priority: Priority of the account.
        weight: Weight of the account.
        budget_ms: Time until the client timeout, in milliseconds. A duration is sent
            instead of a time of day, because clocks differ.
        body: The body of the client's request.
        start_at: Number of answer events that the client has received already.
        version: Root digest of the version that must answer; empty for any.
        once: Whether the request must not be started a second time.
        key: The client's idempotency key, if any.
        incarnation: The incarnation of the agent that must run the request; required
            with a key.
        clock: The sender's Lamport clock.
    """

    request_id: RequestId
    account: AccountName
    priority: int
    weight: int
    budget_ms: int
    body: bytes
    start_at: int = 0
    version: str = ""
    once: bool = True
    key: IdempotencyKey | None = None
    incarnation: Incarnation | None = None
    clock: int = 0


class FenceRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Asks an agent never to start a request that it has not started yet."""

    request_id: RequestId
    incarnation: Incarnation


class FenceReply(Struct, frozen=True, forbid_unknown_fields=True):
    """The state of the fenced request.

    Attributes:
        known: False if the fence was for another incarnation of the agent, so that the
            state of the request is unknown.
        started: Whether the request was started before the fence.
        answer: The complete answer, if the request was completed and its answer stored.
        version: Root digest of the version that answered.
    """

    known: bool
    started: bool = False
    answer: bytes | None = None
    version: str = ""


class Identity(Struct, frozen=True, forbid_unknown_fields=True):
    """The current incarnation of an agent.

    An entry without a control connection to the agent asks for it.
    """

    incarnation: Incarnation


class StreamEnd(Enum):
    """How a streamed answer ended."""

    DONE = "done"
    FAILED = "failed"


class TokenEvent(Struct, frozen=True, omit_defaults=True):
    """A line of a model's streamed answer.

    Attributes:
        seq: Position in the answer, from 0.
        token: The token's text.
        end: How the answer ended; set in the last line only.
        count: Number of tokens of the complete answer, in the last line.
        version: Root digest of the version that answered, in the last line.
        outcome: Outcome that the client receives, in the last line.
        reason: Why the answer is incomplete.
    """

    seq: int = -1
    token: str = ""
    end: StreamEnd | None = None
    count: int = 0
    version: str = ""
    outcome: str = ""
    reason: str = ""
