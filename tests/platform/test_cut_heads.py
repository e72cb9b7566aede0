"""Answers that an engine cuts off inside their head, or inside the size of a chunk."""

from collections.abc import Iterator
from socket import SHUT_WR
from typing import NamedTuple

import pytest
from gateway_site import GatewaySite, HttpResponse, make_config, make_route

from ridgecourse_standins.platform.engine import (
    Behaviour,
    ReceivedRequest,
    answer_head,
    format_event,
    send_response,
)
from ridgecourse_standins.platform.stream_answers import Framing

PLAIN_BODY = b"the whole answer of a plain service"
STREAM_BODY = format_event(1) + format_event(2)
STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")


class WholeAnswer(NamedTuple):
    """A whole answer of an engine.

    Attributes:
        path: Path of a route whose engine gives the answer.
        body: The whole body.
        framing: What tells the end of the body.
        content_type: Type of the body.
    """

    path: str
    body: bytes
    framing: Framing
    content_type: str

    def encode(self, request: ReceivedRequest) -> bytes:
        """Return all bytes of the answer to a request."""
        lines = [*answer_head(request), f"Content-Type: {self.content_type}"]
        body = self.body
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        elif self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            body = b"%06x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return "\r\n".join([*lines, "", ""]).encode() + body


def whole_answers() -> Iterator[WholeAnswer]:
    """Yield answers of each framing on a plain route and on a streaming one."""
    for framing in Framing:
        yield WholeAnswer("/once/x", PLAIN_BODY, framing, "text/plain")
        yield WholeAnswer("/stream/x", STREAM_BODY, framing, "text/event-stream")
    yield WholeAnswer("/safe/x", PLAIN_BODY, Framing.CLOSE, "text/plain")
    yield WholeAnswer("/once-stream/x", STREAM_BODY, Framing.CLOSE, "text/event-stream")


def ask_with(
    front: GatewaySite, answer: WholeAnswer, behaviour: Behaviour
) -> HttpResponse:
    """Send a request that all engines answer with a behaviour."""
    for engine in front.engines:
        engine.behaviour = behaviour
    return front.ask(answer.path, method="POST", extra=STREAM_HEADERS)


def is_wrong(answer: WholeAnswer, response: HttpResponse) -> bool:
    """Check whether a client would take a part of an answer for the whole."""
    status, headers, body, is_complete = response
    return status == 200 and not (
        is_complete
        and body == answer.body
        and headers.get("response-signature") == "signed-by-engine"
    )


def find_cuts(start: bytes) -> Iterator[int]:
    """Yield the cuts inside the lines before a body, and between these lines."""
    line_start = 0
    for line in start.splitlines(keepends=True):
        line_end = line_start + len(line)
        yield from sorted({(line_start + line_end) // 2, line_end - 2, line_end - 1})
        if line_end < len(start):
            yield line_end
        line_start = line_end


def test_answer_cut_in_its_head_is_not_taken_for_whole(front) -> None:
    # Guards against the end of a connection inside a head passing for its end.
    starts: list[bytes] = []

    def send_cut(request: ReceivedRequest) -> None:
        whole = answer.encode(request)
        starts.append(whole[: whole.index(answer.body)])
        request.connection.sendall(whole[:cut])
        request.connection.shutdown(SHUT_WR)

    for service in ("app", "llm"):
        front.add_engine(service)
    front.start()
    wrong, count = [], 0
    for answer in whole_answers():
        cut = 0
        ask_with(front, answer, send_cut)
        for cut in find_cuts(starts[-1]):
            response = ask_with(front, answer, send_cut)
            count += 1
            if is_wrong(answer, response):
                wrong.append((answer.path, answer.framing.value, cut, response))
            if response[0] != 200:
                # A success between failures keeps the engine in use.
                assert ask_with(front, answer, send_response)[0] == 200
    assert wrong == [], f"{len(wrong)} of {count} answers"


@pytest.mark.parametrize(
    ("sent", "head_end"),
    [
        (b"", "no-answer"),
        (b"HTTP/1.1 200 OK\r\nAttempt-", "close"),
        (b"HTTP/1.1 100 Continue\r\n\r\n", "close"),
        (b"HTTP/1.1 200 OK\r\n\r\n", "empty-line"),
    ],
)
def test_log_tells_how_a_head_ended(front, sent: bytes, head_end: str) -> None:
    # Guards against cut heads that the record cannot tell from whole ones.
    def send_part(request: ReceivedRequest) -> None:
        request.connection.sendall(sent)
        request.connection.shutdown(SHUT_WR)

    front.add_engine("app", send_part)
    front.start()
    front.ask("/once/x", method="POST")
    event = front.gateway.wait_event("request-dispatched")
    assert event["detail"]["head_end"] == head_end


def test_refusal_cut_in_its_head_does_not_prove_that_nothing_ran(front) -> None:
    # Guards against a 503 for an unsafe request of which the engine proved nothing.
    whole = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n"

    def send_cut(request: ReceivedRequest) -> None:
        request.connection.sendall(whole[:cut])
        request.connection.shutdown(SHUT_WR)

    engine = front.add_engine("app")
    front.start()
    for cut in find_cuts(whole):
        engine.behaviour = send_cut
        assert front.ask("/once/x", method="POST")[0] == 502, whole[:cut]
        engine.behaviour = send_response
        assert front.ask("/once/x", method="POST")[0] == 200


def test_safe_request_is_retried_after_an_answer_cut_in_its_head(front) -> None:
    # Guards against a failure of a request that another engine can still answer.
    def answer_second(request: ReceivedRequest) -> None:
        attempts.append(request)
        if len(attempts) % 2:
            request.connection.sendall(b"HTTP/1.1 200 OK\r\nAttempt-Id: ")
            request.connection.shutdown(SHUT_WR)
        else:
            send_response(request)

    attempts: list[ReceivedRequest] = []
    for zone in ("a", "b"):
        front.add_engine("app", answer_second, zone=zone)
    front.start()
    assert [front.ask("/safe/x")[0] for _ in range(3)] == [200] * 3
    assert len(attempts) == 6


def send_status_line(request: ReceivedRequest) -> None:
    request.connection.sendall(b"HTTP/1.1 200 OK\r\nAttempt-Id: ")
    request.connection.shutdown(SHUT_WR)


def test_unsafe_request_is_not_repeated_after_an_answer_cut_in_its_head(front) -> None:
    # Guards against a second run of a request that the first engine may have run.
    for zone in ("a", "b"):
        front.add_engine("app", send_status_line, zone=zone)
    route = make_route("/once/", "unsafe", "app", max_attempts=3)
    front.start(make_config(routes=[route]))
    assert front.ask("/once/x", method="POST")[0] == 502
    assert sum(len(engine.requests) for engine in front.engines) == 1


def test_rest_of_a_stream_cut_in_its_head_is_not_an_empty_rest(front) -> None:
    # Guards against the end of a stream after the events that its client has.
    def send_cut(request: ReceivedRequest) -> None:
        lines = [*answer_head(request), "Content-Type: text/"]
        request.connection.sendall("\r\n".join(lines).encode())
        request.connection.shutdown(SHUT_WR)

    for zone in ("a", "b"):
        front.add_engine("llm", send_cut, zone=zone)
    front.start()
    extra = (*STREAM_HEADERS, "Last-Event-Id: 3")
    assert front.ask("/stream/x", method="POST", extra=extra)[0] == 502
