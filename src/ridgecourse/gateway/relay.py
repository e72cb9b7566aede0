"""Streams of events: passed on event by event, resumed where one breaks off."""

from collections.abc import Iterable, Iterator
from re import compile as compile_pattern

from msgspec import Struct

EVENT_END = compile_pattern(rb"\r?\n\r?\n")
ID_LINE = compile_pattern(rb"(?:^|\n)id: ?(\d+)")


class StreamEvent(Struct, frozen=True):
    """One whole event.

    Attributes:
        data: Its bytes, with the empty line that ends it.
        number: Its id; None where it has none.
    """

    data: bytes
    number: int | None


def split_events(pieces: Iterable[bytes]) -> Iterator[StreamEvent]:
    """Yield the events of a body as they come, each only once it is whole.

    An event that broke off must not reach a caller, for its bytes would join
    those of the next one. What a body that did not break off has after its last
    event is yielded as it is.
    """
    rest = b""
    for piece in pieces:
        rest += piece
        while match := EVENT_END.search(rest):
            data, rest = rest[: match.end()], rest[match.end() :]
            yield StreamEvent(data, event_number(data))
    if rest:
        yield StreamEvent(rest, None)


def event_number(data: bytes) -> int | None:
    """Return the id of an event."""
    match = ID_LINE.search(data)
    return int(match.group(1)) if match else None
