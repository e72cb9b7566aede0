"""How the head of an HTTP answer ended."""

from enum import Enum


class HeadEnd(Enum):
    """How a head ended.

    EMPTY_LINE: Its empty line arrived, so that the head is whole.
    CLOSE: The peer closed the connection inside the head.
    NO_ANSWER: The peer closed the connection before the first byte.
    RESET: The connection was reset or failed in another way.
    STALLED: No bytes arrived in time.
    INVALID: The received bytes are no head.
    """

    EMPTY_LINE = "empty-line"
    CLOSE = "close"
    NO_ANSWER = "no-answer"
    RESET = "reset"
    STALLED = "stalled"
    INVALID = "invalid"
