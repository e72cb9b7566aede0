"""Engines that restart under the same target identity.

Guards against two failures. A crashed engine came back with its identity, at the same
address or another, and with nothing in its memory, but counted as the earlier
incarnation. A frozen earlier incarnation that resumed beside the new one replaced the
new one in the target list, because its heartbeats were the newest records, and received
its requests.
"""

from threading import Event
from typing import Any

import pytest
from gateway_site import GatewaySite, receive_response
from msgspec import structs

from ridgecourse.core.ids import EngineStart, WeightsVersion
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    format_event,
    refuse,
    reset_connection,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)
from ridgecourse_standins.platform.loader import IDLE_STATUS, LoaderStandIn

BORN = 1_790_000_000_000
ENGINE_HOST = "127.0.0.5"
SAFE, ONCE = "/safe/a", "/once/a"


def make_responder(text: str):  # type: ignore[no-untyped-def]
    def respond(request: ReceivedRequest) -> None:
        send_response(request, text.encode())

    return respond


def make_target_responder(target: str, text: str):  # type: ignore[no-untyped-def]
    def respond(request: ReceivedRequest) -> None:
        if request.header("Expected-Instance") == target:
            send_response(request, text.encode())
        else:
            refuse(request, "421 Misdirected Request")

    return respond


def add_first_incarnation(
    site: GatewaySite, text: str, born: int, service: str = "app"
) -> EngineStandIn:
    """Start and list the first incarnation of the engine ``i-0``."""
    engine = EngineStandIn(make_responder(text), born=born)
    engine.start()
    site.engines.append(engine)
    site.register_engine(engine, service, "i-0")
    return engine


def add_next_incarnation(
    site: GatewaySite,
    previous: EngineStandIn,
    text: str,
    at_new_port: bool = False,
    service: str = "app",
) -> EngineStandIn:
    """Start and list the next incarnation of the engine ``i-0``.

    Args:
        site: The gateway and its store.
        previous: The previous incarnation.
        text: Body of the answers.
        at_new_port: Whether the new incarnation has another port.
        service: Service of the engine.
    """
    engine = previous.next_incarnation(at_new_port)
    engine.behaviour = make_responder(text)
    engine.start()
    site.engines.append(engine)
    site.register_engine(engine, service, "i-0")
    return engine


def reported_weights(site: GatewaySite) -> list[str]:
    """Return the version and the busy flag of each target-weights event."""
    return [
        f"{event['version']} {str(event['detail']['busy']).lower()}"
        for event in site.gateway.events()
        if event["kind"] == "target-weights"
    ]


def wait_answer(site: GatewaySite, body: bytes) -> None:
    site.wait_until(lambda: site.ask(SAFE)[2] == body)


def test_a_restarted_engine_does_not_answer_for_its_earlier_incarnation(
    front: GatewaySite,
) -> None:
    first = add_first_incarnation(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.behaviour = lambda request: None
    request_count = len(first.requests)
    connection = front.open()
    front.send(connection, ONCE)
    first.wait_for_requests(request_count + 1)
    first.kill()
    second = add_next_incarnation(front, first, "second")
    answer = connection.makefile("rb").readline()
    # The request may have run at the earlier incarnation, so the gateway returns
    # neither an answer nor a refusal.
    assert answer.split()[1] == b"502"
    wait_answer(front, b"second")
    assert not [
        request for request in second.requests if "/once/" in request.request_line
    ]


def test_a_resumed_earlier_incarnation_does_not_replace_the_new_one(
    front: GatewaySite,
) -> None:
    first = add_first_incarnation(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.pause()
    add_next_incarnation(front, first, "second", at_new_port=True)
    wait_answer(front, b"second")
    first.resume()
    # The heartbeat of the first incarnation is the newest record of the identity. The
    # event for the next entry shows that the gateway has read the heartbeat.
    front.register_engine(first, "app", "i-0")
    front.add_engine("other", make_responder("other"), "i-1")
    front.gateway.wait_event("target-listed", target="i-1")
    request_count = len(first.requests)
    assert {front.ask(SAFE)[2] for _ in range(10)} == {b"second"}
    assert len(first.requests) == request_count


def test_an_address_taken_over_by_another_service_gets_only_its_requests(
    front: GatewaySite,
) -> None:
    """The new service at an address refuses requests for the earlier engine.

    The next incarnation of the earlier engine receives these requests.
    """
    first = add_first_incarnation(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.behaviour = reset_connection
    for _ in range(4):
        front.ask(ONCE)
    first.kill()
    other_service_engine = first.next_incarnation()
    other_service_engine.behaviour = make_target_responder("i-7", "taker")
    other_service_engine.start()
    front.engines.append(other_service_engine)
    front.register_engine(other_service_engine, "other", "i-7")
    add_next_incarnation(front, first, "second", at_new_port=True)
    front.wait_until(lambda: front.ask("/safe/deep/a")[2] == b"taker")
    bodies = set()
    while b"second" not in bodies:
        bodies.add(front.ask(SAFE)[2])
    assert bodies <= {b"", b"second"}


def test_a_stream_of_an_earlier_incarnation_continues_at_the_next_one(
    front: GatewaySite,
) -> None:
    """The new incarnation has not received the request yet.

    The identity of the target has, but that must not prevent the continuation.
    """
    first = add_first_incarnation(front, "first", BORN, "llm")
    may_disconnect = Event()

    def send_first_events(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 1, 2)
        may_disconnect.wait(20.0)
        reset_connection(request)

    def send_last_events(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 3, 4)
        send_chunk(request, b"")

    first.behaviour = send_first_events
    front.start()
    front.gateway.wait_event("target-listed", target="i-0")
    connection = front.open()
    front.send(connection, "/stream/a", deadline_ms=8000)
    first.wait_for_requests(1)
    second = add_next_incarnation(
        front, first, "second", at_new_port=True, service="llm"
    )
    second.behaviour = send_last_events
    front.gateway.wait_event("target-listed", after=1, target="i-0")
    may_disconnect.set()
    _, _, body, complete = receive_response(connection)
    assert (body, complete) == (
        b"".join(format_event(number) for number in range(1, 5)),
        True,
    )
    assert second.requests[0].header("Last-Event-Id") == "2"


def test_a_report_of_an_earlier_incarnation_does_not_replace_a_newer_report(
    front: GatewaySite,
) -> None:
    """The earlier incarnation had no weights.

    If its report replaced the newer one, the engine would get no requests.
    """
    loader = LoaderStandIn(ENGINE_HOST, front.settings["internal_port_range"][0])

    def report(started: int, **fields: Any) -> None:
        status = structs.replace(IDLE_STATUS, started=EngineStart(started), **fields)
        loader.status = status
        front.wait_until(lambda: loader.last_reported is status)

    front.add_engine("llm", host=ENGINE_HOST)
    loader.start()
    try:
        front.start()
        report(BORN + 5)
        front.gateway.wait_event("target-weights", version="1")
        report(BORN, version=WeightsVersion(0))
        # A third, busy incarnation: the gateway has applied the earlier reports when it
        # applies this one.
        report(BORN + 9, busy=True)
        front.wait_until(lambda: "true" in reported_weights(front)[-1])
        assert reported_weights(front) == ["1 false", "1 true"]
    finally:
        loader.close()


@pytest.mark.parametrize("born", [True, 1.0, "7", None, -1, 10**13])
def test_an_entry_whose_start_is_not_a_valid_integer_is_bad_input(
    front: GatewaySite, born: object
) -> None:
    add_first_incarnation(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    entry = {"service": "app", "address": "127.0.0.1:1", "zone": "a", "born": born}
    front.store.put_target("i-1", entry)
    front.gateway.wait_event("bad-input", 10)
    assert front.ask(SAFE)[2] == b"first"
