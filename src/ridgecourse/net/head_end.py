"""How the head of an HTTP answer ended."""

from enum import Enum
from http.client import RemoteDisconnected

from ridgecourse.net.head_reader import IncompleteHead


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


def classify_head_failure(error: Exception) -> HeadEnd:
    """Return how a head ended that could not be read because of an error.

    Args:
        error: An error of ``http.client``, of ``head_reader`` or of the socket.
    """
    if isinstance(error, RemoteDisconnected):
        return HeadEnd.NO_ANSWER
    if isinstance(error, IncompleteHead):
        return HeadEnd.CLOSE
    return HeadEnd.RESET if isinstance(error, OSError) else HeadEnd.INVALID
