"""Event streams of a stand-in engine, with any framing and any way to end."""

from enum import Enum
from socket import SHUT_WR

from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    answer_head,
    reset_connection,
    send_chunk,
)

MISSING_BYTES = 50
"""Bytes that a body ended early lacks of its stated length."""


class Framing(Enum):
    """What tells the end of a body.

    LENGTH: Its length, in the head.
    CHUNKS: Its last chunk.
    CLOSE: The close of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Ending(Enum):
    """How an engine ends a body.

    STATED: In the way that its framing states.
    EARLY_CLOSE: By a close before the stated end. For ``Framing.CLOSE`` this is the
        same as ``STATED``.
    RESET: By a reset of the connection.
    """

    STATED = "stated"
    EARLY_CLOSE = "early-close"
    RESET = "reset"


def send_stream_body(
    request: ReceivedRequest,
    body: bytes,
    framing: Framing,
    ending: Ending = Ending.STATED,
    step: int | None = None,
) -> None:
    """Answer with an event stream and end the connection.

    Args:
        request: Request to answer.
        body: Bytes of the stream, which may end inside an event.
        framing: What tells the end of the body.
        ending: How the body ends.
        step: Bytes of each write; None to write the body at once.
    """
    missing = 0 if ending is Ending.STATED else MISSING_BYTES
    send_head(request, framing, len(body) + missing)
    step = step or max(1, len(body))
    for start in range(0, len(body), step):
        piece = body[start : start + step]
        if framing is Framing.CHUNKS:
            send_chunk(request, piece)
        else:
            request.connection.sendall(piece)
    if ending is Ending.RESET:
        reset_connection(request)
        return
    if framing is Framing.CHUNKS and ending is Ending.STATED:
        send_chunk(request, b"")
    request.connection.shutdown(SHUT_WR)


def send_head(request: ReceivedRequest, framing: Framing, length: int = 0) -> None:
    """Send the head of an event stream.

    Args:
        request: Request to answer.
        framing: What tells the end of the body.
        length: Stated length of a body with ``Framing.LENGTH``, in bytes.
    """
    lines = [*answer_head(request), "Content-Type: text/event-stream"]
    if framing is Framing.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    elif framing is Framing.LENGTH:
        lines.append(f"Content-Length: {length}")
    request.connection.sendall("\r\n".join([*lines, "", ""]).encode())
