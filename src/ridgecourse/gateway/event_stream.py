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


class EventReader:
    """Splits the body of one answer into events.

    Attributes:
        remainder: Bytes received after the last complete event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def read(self, pieces: Iterable[bytes]) -> Iterator[StreamEvent]:
        """Yield the events of a body as they arrive, each once it is complete.

        If the stream is interrupted, the incomplete last event must not reach the
        client, since its bytes would join those of the next event. If the body ends
        regularly, bytes after its last event are yielded unaltered.
        """
        for piece in pieces:
            self.remainder += piece
            while match := EVENT_END.search(self.remainder):
                data = self.remainder[: match.end()]
                self.remainder = self.remainder[match.end() :]
                yield StreamEvent(data, event_number(data))
        if self.remainder:
            yield StreamEvent(self.remainder, None)


def event_number(data: bytes) -> int | None:
    """Return the id of an event, or None without one."""
    match = ID_LINE.search(data)
    return int(match.group(1)) if match else None
