"""Streams that engines end inside an event, and whole streams of each framing."""

from collections.abc import Iterator
from itertools import product
from signal import SIGKILL, SIGTERM
from typing import NamedTuple

import pytest
from gateway_site import GatewaySite
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from ridgecourse.gateway.event_stream import EventReader, StreamTruncated
from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    format_event,
    send_events,
)
from ridgecourse_standins.platform.stream_answers import (
    Ending,
    Framing,
    send_head,
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


@pytest.mark.parametrize("framing", Framing)
def test_whole_stream_stays_complete(front, framing: Framing) -> None:
    # Guards against whole streams that count as cut, whatever stands between events.
    engine = front.add_engine("llm")
    front.start()
    bodies = [
        make_events(1, EVENTS),
        b"\n" + make_events(1, 2),
        b": waiting\n\n" + make_events(1, 2) + b": done\n",
        b"weights-versions: 2\n" + make_events(1, 2),
        b"data: without an id\n\n" + make_events(1, 2),
    ]
    for body, line_end, step in product(bodies, (b"\n", b"\r\n", b"\r"), (None, 7)):
        sent = body.replace(b"\n", line_end)
        engine.behaviour = lambda request, sent=sent, step=step: send_stream_body(
            request, sent, framing, step=step
        )
        assert ask_for_stream(front, "/once-stream/x") == (200, sent, True)


@pytest.mark.parametrize(("framing", "ending"), REGULAR_ENDS)
def test_stream_cut_inside_an_event_is_resumed(
    front, framing: Framing, ending: Ending
) -> None:
    # Guards against half an event in a resumed stream, and against doubled events.
    for stream in (s for s in cut_streams(EVENTS) if s.framing is framing):
        asked_after = []

        def answer(
            request: ReceivedRequest, stream=stream, asked_after=asked_after
        ) -> None:
            after = request.header("Last-Event-Id")
            asked_after.append(after)
            if after is None:
                send_stream_body(request, stream.body, framing, ending, stream.step)
                return
            # An engine may repeat events that the client has received.
            rest = make_events(int(after), EVENTS + 2, stream.line_end)
            send_stream_body(request, rest, framing)

        if not front.engines:
            front.add_engine("llm", zone="a")
            front.add_engine("llm", zone="b")
            front.start()
        for engine in front.engines:
            engine.behaviour = answer
        whole = make_events(1, EVENTS + 2, stream.line_end)
        assert ask_for_stream(front, "/stream/x") == (200, whole, True)
        assert asked_after == [None, str(EVENTS)]


UNNUMBERED = b"data: without an id\n\n"


@pytest.mark.parametrize(
    ("sent", "is_resumed"),
    [
        (make_events(1, 2) + UNNUMBERED, False),
        (UNNUMBERED, False),
        (UNNUMBERED + make_events(1, 2), True),
        (make_events(1, 2) + b": waiting\n\n", True),
    ],
)
def test_stream_is_resumed_only_after_a_numbered_event(
    front, sent: bytes, is_resumed: bool
) -> None:
    # Guards against an event without an id that a resumed stream repeats.
    def answer(request: ReceivedRequest) -> None:
        attempts.append(request)
        if len(attempts) == 1:
            send_stream_body(request, sent, Framing.CHUNKS, Ending.EARLY_CLOSE)
        else:
            send_stream_body(request, make_events(3, 4), Framing.CHUNKS)

    attempts: list[ReceivedRequest] = []
    for zone in ("a", "b"):
        front.add_engine("llm", answer, zone=zone)
    front.start()
    received = sent + make_events(3, 4) if is_resumed else sent
    assert ask_for_stream(front, "/stream/x") == (200, received, is_resumed)
    assert len(attempts) == 1 + is_resumed


def answer_only_head(request: ReceivedRequest) -> None:
    send_stream_body(request, b"", Framing.CLOSE)


def answer_half_an_event(request: ReceivedRequest) -> None:
    send_stream_body(request, format_event(1)[:-1], Framing.CLOSE)


def answer_half_an_event_in_chunks(request: ReceivedRequest) -> None:
    send_stream_body(request, format_event(1)[:-1], Framing.CHUNKS)


BREAKS_BEFORE_THE_FIRST_EVENT = [
    answer_only_head,
    answer_half_an_event,
    answer_half_an_event_in_chunks,
]


@pytest.mark.parametrize("behaviour", BREAKS_BEFORE_THE_FIRST_EVENT)
def test_stream_cut_inside_its_first_event_has_not_begun(front, behaviour) -> None:
    # Guards against a status 200 for a stream of which the client has received nothing.
    broken = front.add_engine("llm", behaviour, zone="a")
    front.start()
    status, headers, body, _ = front.ask(
        "/once-stream/x", method="POST", extra=STREAM_HEADERS
    )
    assert (status, body, len(broken.requests)) == (502, b"", 1)
    assert "response-signature" not in headers
    assert "retry-after" not in headers


@pytest.mark.parametrize("behaviour", BREAKS_BEFORE_THE_FIRST_EVENT)
def test_resumable_stream_cut_inside_its_first_event_is_retried(
    front, behaviour
) -> None:
    # Guards against a failure of a request that another engine can still answer.
    def answer(request: ReceivedRequest) -> None:
        attempts.append(request)
        if len(attempts) == 1:
            behaviour(request)
        else:
            send_stream_body(request, make_events(1, EVENTS), Framing.CHUNKS)

    attempts: list[ReceivedRequest] = []
    for zone in ("a", "b"):
        front.add_engine("llm", answer, zone=zone)
    front.start()
    assert ask_for_stream(front, "/stream/x") == (200, make_events(1, EVENTS), True)
    assert len(attempts) == 2


@pytest.mark.parametrize("framing", [Framing.CHUNKS, Framing.LENGTH])
def test_delimited_stream_without_events_is_complete(front, framing: Framing) -> None:
    # Guards against refusing the empty rest of a stream that was whole.
    front.add_engine("llm", lambda request: send_stream_body(request, b"", framing))
    front.start()
    assert ask_for_stream(front, "/once-stream/x") == (200, b"", True)


def test_stream_that_breaks_again_after_its_resumption_is_not_complete(front) -> None:
    # Guards against a second break that passes for the end of the resumed stream.
    def answer(request: ReceivedRequest) -> None:
        first = int(request.header("Last-Event-Id") or 0) + 1
        send_stream_body(request, make_events(first, first + 1)[:-1], Framing.CLOSE)

    for zone in ("a", "b"):
        front.add_engine("llm", answer, zone=zone)
    front.start()
    # The route allows 2 attempts.
    assert ask_for_stream(front, "/stream/x") == (200, make_events(1, 2), False)
    assert sum(len(engine.requests) for engine in front.engines) == 2


def test_log_tells_how_a_stream_ended(front) -> None:
    # Guards against breaks that the record cannot tell from whole streams.
    cut = make_events(1, 2) + b"id: 3"
    front.add_engine(
        "llm", lambda request: send_stream_body(request, cut, Framing.CLOSE)
    )
    front.start()
    ask_for_stream(front, "/once-stream/x")
    event = front.gateway.wait_event("stream-broken")
    assert event["target"] == "i-0"
    assert event["detail"] == {
        "engine_ended": False,
        "last_event": 2,
        "body_end": "close",
        "partial_bytes": 5,
    }


# The end of a broken stream at clients that get no chunks.


def receive_until_close(front: GatewaySite, request: str) -> tuple[bytes, bool]:
    """Return what a connection received, and whether it ended by an ordinary close."""
    connection = front.open()
    connection.settimeout(5.0)
    connection.sendall(request.encode())
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        return received, False
    return received, True


@pytest.mark.parametrize("is_cut", [False, True])
def test_cut_stream_does_not_end_by_a_close_at_a_client_without_chunks(
    front, is_cut: bool
) -> None:
    # Guards against a close that an HTTP/1.0 client takes for the end of the answer.
    body = make_events(1, 3)[: -3 if is_cut else None]
    front.add_engine(
        "llm", lambda request: send_stream_body(request, body, Framing.CLOSE)
    )
    front.start()
    head = front.head("/once-stream/x", method="POST", extra=STREAM_HEADERS)
    received, is_closed = receive_until_close(front, head.replace("/1.1", "/1.0", 1))
    assert received.endswith(b"\r\n\r\n" + make_events(1, 2 if is_cut else 3))
    assert is_closed != is_cut


@pytest.mark.parametrize("signal_number", [SIGTERM, SIGKILL])
def test_stopped_gateway_does_not_end_a_stream_by_a_close_without_chunks(
    front, signal_number: int
) -> None:
    # Guards against a close by the system that an HTTP/1.0 client takes for the end.
    def send_start(request: ReceivedRequest) -> None:
        send_head(request, Framing.CHUNKS)
        send_events(request, 1, 1)

    front.settings["bounds"]["grace_s"] = 2
    front.path.write_bytes(encode(front.settings))
    front.add_engine("llm", send_start)
    front.start()
    head = front.head("/stream/x", method="POST", extra=STREAM_HEADERS)
    connection = front.open()
    connection.settimeout(20.0)
    connection.sendall(head.replace("/1.1", "/1.0", 1).encode())
    while b"data: piece 1" not in connection.recv(65536):
        pass
    front.gateway.started_process.send_signal(signal_number)
    with pytest.raises(ConnectionResetError):
        connection.recv(65536)


def test_cut_stream_closes_a_persistent_connection_without_a_last_chunk(front) -> None:
    # Guards against a connection that goes on behind a broken answer.
    body = make_events(1, 3)[:-3]
    front.add_engine(
        "llm", lambda request: send_stream_body(request, body, Framing.CHUNKS)
    )
    front.start()
    head = front.head("/once-stream/x", method="POST", extra=STREAM_HEADERS)
    received, _ = receive_until_close(front, head)
    assert received.count(b"data: piece") == 2
    assert not received.endswith(b"0\r\n\r\n")


# The splitting of a body into events.

FIELD_LINES = st.sampled_from(
    [b"data: x", b"data", b"id: 7", b"weights-versions: 2", b"event: token", b": note"]
)
EVENT_LINES = st.lists(FIELD_LINES, min_size=1, max_size=4).filter(
    lambda lines: not lines[0].startswith(b":")
)


@given(
    events=st.lists(EVENT_LINES, min_size=1, max_size=4),
    line_end=st.sampled_from([b"\n", b"\r\n", b"\r"]),
    leading=st.integers(0, 2),
    data=st.data(),
)
def test_reader_yields_whole_events_and_reports_a_cut_one(
    events: list[list[bytes]], line_end: bytes, leading: int, data: st.DataObject
) -> None:
    # Guards against events that are cut, joined or held back by any splitting of reads.
    encoded = [line_end.join([*lines, b"", b""]) for lines in events]
    encoded[0] = line_end * leading + encoded[0]
    body = b"".join(encoded)
    ends = [len(b"".join(encoded[: count + 1])) for count in range(len(encoded))]
    end = data.draw(st.integers(0, len(body)))
    splits = sorted({0, end, *data.draw(st.lists(st.integers(0, end), max_size=6))})
    pieces = [body[a:b] for a, b in zip(splits, splits[1:], strict=False)]
    whole = [text for text, stop in zip(encoded, ends, strict=True) if stop <= end]
    rest = body[len(b"".join(whole)) : end]
    received = []
    is_truncated = False
    try:
        received.extend(event.data for event in EventReader().read(pieces))
    except StreamTruncated:
        is_truncated = True
    assert is_truncated == bool(rest.strip(b"\r\n"))
    if is_truncated or not rest:
        assert received == whole
    else:
        assert b"".join(received) == body[:end]
