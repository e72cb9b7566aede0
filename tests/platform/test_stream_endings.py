"""Streams that engines end inside an event, and whole streams of each framing."""

from collections.abc import Iterator
from itertools import product
from typing import NamedTuple

from gateway_site import GatewaySite

from ridgecourse_standins.platform.engine import format_event
from ridgecourse_standins.platform.stream_answers import (
    Ending,
    Framing,
    send_stream_body,
)

STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
EVENTS = 4
REGULAR_ENDS = [(framing, Ending.STATED) for framing in Framing]
"""The ends that look regular: a close without a length, a last chunk and a length."""


class CutStream(NamedTuple):
    """A stream that ends inside an event.

    Attributes:
        framing: What tells the end of the body.
        ending: How the body ends.
        line_end: End of each line.
        whole_events: Number of events before the one that is cut.
        cut: Bytes of the last event that are sent.
        step: Bytes of each write; None to write the body at once.
    """

    framing: Framing
    ending: Ending
    line_end: bytes
    whole_events: int
    cut: int
    step: int | None

    @property
    def whole(self) -> bytes:
        """Return the complete events."""
        return make_events(1, self.whole_events, self.line_end)

    @property
    def body(self) -> bytes:
        """Return all bytes that are sent."""
        number = self.whole_events + 1
        return self.whole + make_events(number, number, self.line_end)[: self.cut]


def make_events(first: int, last: int, line_end: bytes = b"\n") -> bytes:
    events = b"".join(format_event(number) for number in range(first, last + 1))
    return events.replace(b"\n", line_end)


def cut_streams(whole_events: int) -> Iterator[CutStream]:
    """Yield a stream for each regular end, place of the cut and kind of line."""
    for (framing, ending), line_end in product(REGULAR_ENDS, (b"\n", b"\r\n")):
        event = make_events(1, 1, line_end)
        inside_id, inside_data = 3, len(event) - 2 * len(line_end) - 2
        before_empty_line = len(event) - len(line_end)
        for cut in (inside_id, inside_data, before_empty_line):
            yield CutStream(framing, ending, line_end, whole_events, cut, None)
        yield CutStream(framing, ending, line_end, whole_events, before_empty_line, 7)


def ask_for_stream(front: GatewaySite, path: str) -> tuple[int, bytes, bool]:
    status, _, body, is_complete = front.ask(
        path, method="POST", extra=STREAM_HEADERS, deadline_ms=8000
    )
    return status, body, is_complete


def test_stream_cut_inside_an_event_does_not_end_as_complete(front) -> None:
    # Guards against a close or a last chunk inside an event passing for a regular end.
    engine = front.add_engine("llm")
    front.start()
    wrong = []
    for stream in cut_streams(whole_events=EVENTS):
        engine.behaviour = lambda request, stream=stream: send_stream_body(
            request, stream.body, stream.framing, stream.ending, stream.step
        )
        answer = ask_for_stream(front, "/once-stream/x")
        if answer != (200, stream.whole, False):
            wrong.append((stream, answer))
    assert wrong == []
