"""Split the body of an event stream into complete events."""

from collections.abc import Iterable, Iterator
from re import compile as compile_pattern

from msgspec import Struct

from ridgecourse.net.exchange import TargetDisconnected

EVENT_END = compile_pattern(
    rb"(?<=[^\r\n])(?:\r\n|\n|\r(?=[^\n]))(?:\r\n|\n|\r(?=[^\n]))"
)
"""Line end of an event and the empty line after it. A CR is a line end of its own only
once the next byte shows that it does not begin a CR LF."""
LAST_EVENT_END = compile_pattern(rb"(?<=[^\r\n])\r\r\Z")
"""End of the last event of a body whose lines end with CR alone."""
MAX_EVENT_END_BYTES = 4
LINE_END = compile_pattern(rb"\r\n|\n|\r")
ID_LINE = compile_pattern(rb"(?:^|[\r\n])id: ?(\d+)")
COMMENT = b":"


class StreamTruncated(TargetDisconnected):
    """The stream ended inside an event, or without any event."""


class StreamEvent(Struct, frozen=True):
    """One complete event, or comments between two events.

    Attributes:
        data: Bytes of the event, with the empty line that ends it.
        number: Id of the event; None without one.
    """

    data: bytes
    number: int | None

    def is_comment(self) -> bool:
        """Check whether no line belongs to an event."""
        return not begins_event(self.data)


class EventReader:
    """Splits the body of one answer into events.

    Attributes:
        remainder: Bytes received after the last complete event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def read(self, pieces: Iterable[bytes]) -> Iterator[StreamEvent]:
        """Yield the events of a body as they arrive, each once it is complete.

        An incomplete event must not reach the client, since its bytes would join those
        of the next event if the stream is resumed.

        Raises:
            StreamTruncated: The body ended inside an event. However regular its end
                looks, the target has broken it off.
        """
        for piece in pieces:
            search_start = max(0, len(self.remainder) - MAX_EVENT_END_BYTES)
            self.remainder += piece
            while match := EVENT_END.search(self.remainder, search_start):
                yield self._split_off(match.end())
                search_start = 0
        if LAST_EVENT_END.search(self.remainder):
            yield self._split_off(len(self.remainder))
        if begins_event(self.remainder):
            raise StreamTruncated(
                f"the stream ended {len(self.remainder)} bytes into an event"
            )
        if self.remainder:
            yield self._split_off(len(self.remainder))

    def _split_off(self, end: int) -> StreamEvent:
        """Remove the first bytes from the remainder and return them as an event."""
        data, self.remainder = self.remainder[:end], self.remainder[end:]
        return StreamEvent(data, event_number(data))


def begins_event(data: bytes) -> bool:
    """Check whether bytes that follow a complete event belong to another event.

    Empty lines and complete lines with comments belong to none.
    """
    *lines, unfinished_line = LINE_END.split(data)
    return bool(unfinished_line) or any(
        line and not line.startswith(COMMENT) for line in lines
    )


def event_number(data: bytes) -> int | None:
    """Return the id of an event, or None without one."""
    match = ID_LINE.search(data)
    return int(match.group(1)) if match else None
