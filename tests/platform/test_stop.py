"""A planned stop of a gateway cuts nothing off."""

import signal
import socket
from threading import Event

from gateway_site import receive_answer

from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    format_event,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)

STREAM = ("Model: m0", "Token-Usage: 100,50")


def is_refused(front) -> bool:
    try:
        socket.create_connection(front.frontend, 1.0).close()
    except OSError:
        return True
    return False


def test_a_stop_ends_readiness_then_listening_then_the_process(front) -> None:
    proceed = Event()

    def slow_stream(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 1, 1)
        assert proceed.wait(20)
        send_events(request, 2, 3)
        send_chunk(request, b"")

    front.add_engine("llm", slow_stream)
    front.add_engine("app", send_response)
    front.start()
    streaming = front.open()
    front.send(streaming, "/stream/x", method="POST", extra=STREAM, deadline_ms=8000)
    idle = front.open()
    front.send(idle, "/safe/x")
    assert receive_answer(idle)[0] == 200
    front.gateway.started_process.send_signal(signal.SIGTERM)
    front.wait_until(lambda: front.ready() == 503)
    # The balancer has not noticed yet: new requests are served, and as usual.
    status, headers, _, _ = front.ask("/safe/x")
    assert status == 200
    assert headers.get("connection") != "close"
    front.wait_until(lambda: is_refused(front))
    assert idle.recv(1) == b""
    assert front.gateway.started_process.poll() is None
    proceed.set()
    _, _, body, whole = receive_answer(streaming)
    assert whole
    assert body == b"".join(format_event(number) for number in range(1, 4))
    assert front.gateway.started_process.wait(10) == 0


def test_a_stop_without_requests_ends_soon_after_the_balancer_looked(front) -> None:
    front.add_engine("app")
    front.start()
    front.gateway.started_process.send_signal(signal.SIGTERM)
    assert front.gateway.started_process.wait(6) == 0


def test_signals_that_say_settings_changed_end_nothing(front) -> None:
    front.add_engine("app")
    front.start()
    front.gateway.started_process.send_signal(signal.SIGHUP)
    assert front.ask("/safe/x")[0] == 200
    assert front.gateway.started_process.poll() is None
