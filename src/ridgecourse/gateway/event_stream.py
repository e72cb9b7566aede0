"""Split the body of an event stream into complete events."""

from collections.abc import Iterable, Iterator
from re import compile as compile_pattern

from msgspec import Struct

EVENT_END = compile_pattern(rb"\r?\n\r?\n")
ID_LINE = compile_pattern(rb"(?:^|\n)id: ?(\d+)")


class StreamEvent(Struct, frozen=True):
    """One complete event.

    Attributes:
        data: Bytes of the event, with the empty line that ends it.
        number: Id of the event; None without one.
    """

    data: bytes
    number: int | None


def split_events(pieces: Iterable[bytes]) -> Iterator[StreamEvent]:
    """Yield the events of a body as they arrive, each once it is complete.

    If the stream is interrupted, the incomplete last event must not reach the client,
    since its bytes would join those of the next event. If the body ends regularly,
    bytes after its last event are yielded unaltered.
    """
    remainder = b""
    for piece in pieces:
        remainder += piece
        while match := EVENT_END.search(remainder):
            data, remainder = remainder[: match.end()], remainder[match.end() :]
            yield StreamEvent(data, event_number(data))
    if remainder:
        yield StreamEvent(remainder, None)


def event_number(data: bytes) -> int | None:
    """Return the id of an event, or None without one."""
    match = ID_LINE.search(data)
    return int(match.group(1)) if match else None
