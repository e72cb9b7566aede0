"""A gateway that is stopped by SIGTERM cuts off no request in progress."""

import signal
import socket
from threading import Event

from gateway_site import receive_response

from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    format_event,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)

STREAM = ("Model: m0", "Token-Usage: 100,50")


def is_connection_refused(front) -> bool:
    try:
        socket.create_connection(front.frontend, 1.0).close()
    except OSError:
        return True
    return False


def test_stop_ends_readiness_then_listening_then_process(front) -> None:
    proceed = Event()

    def send_paused_stream(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 1, 1)
        assert proceed.wait(20)
        send_events(request, 2, 3)
        send_chunk(request, b"")

    front.add_engine("llm", send_paused_stream)
    front.add_engine("app", send_response)
    front.start()
    stream_connection = front.open()
    front.send(
        stream_connection, "/stream/x", method="POST", extra=STREAM, deadline_ms=8000
    )
    idle_connection = front.open()
    front.send(idle_connection, "/safe/x")
    assert receive_response(idle_connection)[0] == 200
    front.gateway.started_process.send_signal(signal.SIGTERM)
    front.wait_until(lambda: front.ready() == 503)
    # The load balancer has not yet seen the failed readiness check: the gateway serves
    # new requests as usual.
    status, headers, _, _ = front.ask("/safe/x")
    assert status == 200
    assert headers.get("connection") != "close"
    front.wait_until(lambda: is_connection_refused(front))
    assert idle_connection.recv(1) == b""
    assert front.gateway.started_process.poll() is None
    proceed.set()
    _, _, body, is_complete = receive_response(stream_connection)
    assert is_complete
    assert body == b"".join(format_event(number) for number in range(1, 4))
    assert front.gateway.started_process.wait(10) == 0


def test_stop_without_requests_ends_soon_after_readiness_check(front) -> None:
    front.add_engine("app")
    front.start()
    front.gateway.started_process.send_signal(signal.SIGTERM)
    assert front.gateway.started_process.wait(6) == 0


def test_sighup_does_not_stop_gateway(front) -> None:
    front.add_engine("app")
    front.start()
    front.gateway.started_process.send_signal(signal.SIGHUP)
    assert front.ask("/safe/x")[0] == 200
    assert front.gateway.started_process.poll() is None
