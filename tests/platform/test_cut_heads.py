"""Answers that an engine cuts off inside their head."""

from socket import SHUT_WR

import pytest

from ridgecourse_standins.platform.engine import ReceivedRequest


@pytest.mark.parametrize(
    ("sent", "head_end"),
    [
        (b"", "no-answer"),
        (b"HTTP/1.1 200 OK\r\nAttempt-", "close"),
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
