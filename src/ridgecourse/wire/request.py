"""Requests between entry and agent, and the events of a streamed answer."""

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
    """A request as an entry hands it to an agent.

    Attributes:
        request_id: The same for all tries of one request.
        account: Whose share it draws on.
        priority: Of the account.
        weight: Of the account.
        budget_ms: Time left until the caller gives up; spans, not times of
            day, are sent, since clocks differ.
        body: The caller's body.
        start_at: Number of answer events the caller already has.
        version: Root digest that must answer; empty for any.
        once: Whether it must not be started a second time.
        key: The caller's idempotency key, if any.
        incarnation: The life of the agent that must run it; required with a
            key.
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
    """Asks an agent never to start a request, if it has not yet."""

    request_id: RequestId
    incarnation: Incarnation


class FenceReply(Struct, frozen=True, forbid_unknown_fields=True):
    """What became of the fenced request.

    Attributes:
        known: False if another life of the agent was meant, so that nothing
            can be said.
        started: Whether it was started before the fence.
        answer: Its whole answer, if completed and kept.
        version: Root digest that answered.
    """

    known: bool
    started: bool = False
    answer: bytes | None = None
    version: str = ""


class Identity(Struct, frozen=True, forbid_unknown_fields=True):
    """Tells an entry without a control connection which life an agent is in."""

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
        end: Set in the last line only.
        count: Tokens of the whole answer, in the last line.
        version: Root digest that made the answer, in the last line.
        outcome: What the caller is told, in the last line.
        reason: Why the answer is not whole.
    """

    seq: int = -1
    token: str = ""
    end: StreamEnd | None = None
    count: int = 0
    version: str = ""
    outcome: str = ""
    reason: str = ""
