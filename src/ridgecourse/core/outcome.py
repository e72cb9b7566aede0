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
