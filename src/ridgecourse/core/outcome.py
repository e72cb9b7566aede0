"""Outcomes of requests as they are reported to clients."""

from enum import Enum


class Outcome(Enum):
    """The outcome of a request.

    COMPLETED: The complete answer was delivered.
    NOT_RUN: The request was not executed and will not be. Either the target proved
        this, or no byte of the request was sent by the entry.
    UNKNOWN: The request may have been executed, in part or completely.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """The reason why a request has no complete answer."""

    ADMITTED = "admitted"
    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown-service"
    NO_TARGET = "no-target"
    NOT_READY = "not-ready"
    MAY_BE_BEHIND = "may-be-behind"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    ACCOUNT_LIMIT = "account-limit"
    DEADLINE = "deadline"
    DUPLICATE_KEY = "duplicate-key"
    KEY_FENCED = "key-fenced"
    NO_LOG = "no-log"
    WRONG_INCARNATION = "wrong-incarnation"
    WRONG_VERSION = "wrong-version"
    WRONG_TARGET = "wrong-target"
    UNREACHABLE = "unreachable"
    TARGET_LOST = "target-lost"
    CRASHES_ENGINES = "crashes-engines"
    ENGINE_FAILED = "engine-failed"
    STOPPING = "stopping"
    NO_MEMORY = "no-memory"


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise clients that a request has not run and never will.
docs/design/not-run.md lists every place that answers with one of them, and the proof
for which it may do so."""


def is_unproven_refusal(status: int, repeatable: bool) -> bool:
    """Check whether an engine's answer must not be passed on, since it may be false.

    An engine may run a request and answer with such a status all the same, for example
    if a service behind the engine is overloaded. For a request that may be repeated
    the difference does not matter.

    Args:
        status: Status of a complete answer that carries no proof.
        repeatable: Whether the request may run more than once.
    """
    return status in NOT_RUN_STATUSES and not repeatable
