"""How the head and the body of an HTTP answer ended."""

from enum import Enum
from http.client import RemoteDisconnected

from urllib3 import BaseHTTPResponse

from ridgecourse.net.head_reader import IncompleteHead


class HeadEnd(Enum):
    """How a head ended.

    EMPTY_LINE: Its empty line arrived, so that the head is whole.
    CLOSE: The peer closed the connection inside the head.
    NO_ANSWER: The peer closed the connection before the first byte.
    RESET: The connection was reset or failed in another way.
    STALLED: No bytes arrived in time.
    INVALID: The received bytes are no head, or its fields contradict each other.
    """

    EMPTY_LINE = "empty-line"
    CLOSE = "close"
    NO_ANSWER = "no-answer"
    RESET = "reset"
    STALLED = "stalled"
    INVALID = "invalid"


class BodyEnd(Enum):
    """How a body ended.

    LENGTH: All bytes of the stated length arrived.
    LAST_CHUNK: The last chunk of a chunked body arrived.
    CLOSE: The peer closed the connection of a body that has neither a length nor
        chunks. A peer that breaks the body off may close it in the same way.
    EARLY_CLOSE: The peer closed the connection before the stated end of the body.
    RESET: The connection was reset or failed in another way.
    STALLED: No bytes arrived in time.
    """

    LENGTH = "length"
    LAST_CHUNK = "last-chunk"
    CLOSE = "close"
    EARLY_CLOSE = "early-close"
    RESET = "reset"
    STALLED = "stalled"


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


def find_stated_end(response: BaseHTTPResponse) -> BodyEnd:
    """Return how a body ends if it arrives whole, from the head of the answer."""
    if response.chunked:  # type: ignore[attr-defined]
        return BodyEnd.LAST_CHUNK
    if response.length_remaining is not None:
        return BodyEnd.LENGTH
    return BodyEnd.CLOSE


def classify_failure(error: Exception) -> BodyEnd:
    """Return how a body ended whose connection failed with an error.

    Args:
        error: An error of urllib3, which may wrap that of the socket, or of the socket.
    """
    causes = (error, *error.args)
    if any(isinstance(cause, OSError) for cause in causes):
        return BodyEnd.RESET
    return BodyEnd.EARLY_CLOSE


def metric_suffix(end: BodyEnd | HeadEnd | None) -> str:
    """Return the part of a metric's name that tells how a body or a head ended."""
    return "unknown" if end is None else end.value.replace("-", "_")
