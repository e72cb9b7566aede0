"""Engines that start again under the identity that they had.

An engine crashed and came back with its identity, its address or another one, and
nothing in its memory. A frozen earlier life that woke beside the new one took its place
in the list, for its heartbeats were the newest records, and requests went there.
"""

from threading import Event
from typing import Any

import pytest
from gateway_site import GatewaySite, receive_answer
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


def answering(text: str):  # type: ignore[no-untyped-def]
    def behave(request: ReceivedRequest) -> None:
        send_response(request, text.encode())

    return behave


def answering_as(target: str, text: str):  # type: ignore[no-untyped-def]
    def behave(request: ReceivedRequest) -> None:
        if request.header("Expected-Instance") == target:
            send_response(request, text.encode())
        else:
            refuse(request, "421 Misdirected Request")

    return behave


def add_life(
    site: GatewaySite, text: str, born: int, service: str = "app"
) -> EngineStandIn:
    """List the first life of the engine ``i-0``."""
    engine = EngineStandIn(answering(text), born=born)
    engine.start()
    site.engines.append(engine)
    site.list_engine(engine, service, "i-0")
    return engine


def add_next_life(
    site: GatewaySite,
    before: EngineStandIn,
    text: str,
    moved: bool = False,
    service: str = "app",
) -> EngineStandIn:
    """List the life that follows another one of the engine ``i-0``."""
    engine = before.next_incarnation(moved)
    engine.behaviour = answering(text)
    engine.start()
    site.engines.append(engine)
    site.list_engine(engine, service, "i-0")
    return engine


def weights_told(site: GatewaySite) -> list[str]:
    """Return version and whether it is busy of each change of an engine's weights."""
    return [
        f"{format_event['version']} {str(format_event['detail']['busy']).lower()}"
        for format_event in site.gateway.events()
        if format_event["kind"] == "target-weights"
    ]


def wait_answer(site: GatewaySite, body: bytes) -> None:
    site.wait_until(lambda: site.ask(SAFE)[2] == body)


def test_a_killed_engine_that_is_back_does_not_answer_for_its_earlier_life(
    front: GatewaySite,
) -> None:
    first = add_life(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.behaviour = lambda request: None
    seen = len(first.requests)
    connection = front.open()
    front.send(connection, ONCE)
    first.wait_for_requests(seen + 1)
    first.kill()
    second = add_next_life(front, first, "second")
    answer = connection.makefile("rb").readline()
    # It may have run in the earlier life: neither an answer nor a refusal.
    assert answer.split()[1] == b"502"
    wait_answer(front, b"second")
    assert not [r for r in second.requests if "/once/" in r.request_line]


def test_a_frozen_earlier_life_that_wakes_does_not_replace_the_new_one(
    front: GatewaySite,
) -> None:
    first = add_life(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.pause()
    add_next_life(front, first, "second", moved=True)
    wait_answer(front, b"second")
    first.resume()
    # Its heartbeat is the newest record of the identity; the next entry shows that
    # it was read.
    front.list_engine(first, "app", "i-0")
    front.add_engine("other", answering("other"), "i-1")
    front.gateway.wait_event("target-listed", target="i-1")
    seen = len(first.requests)
    assert {front.ask(SAFE)[2] for _ in range(10)} == {b"second"}
    assert len(first.requests) == seen


def test_an_address_that_another_service_took_over_stands_for_that_one_only(
    front: GatewaySite,
) -> None:
    """What was meant for the earlier engine is refused there; its new life gets it."""
    first = add_life(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    first.behaviour = reset_connection
    for _ in range(4):
        front.ask(ONCE)
    first.kill()
    taker = first.next_incarnation()
    taker.behaviour = answering_as("i-7", "taker")
    taker.start()
    front.engines.append(taker)
    front.list_engine(taker, "other", "i-7")
    add_next_life(front, first, "second", moved=True)
    front.wait_until(lambda: front.ask("/safe/deep/a")[2] == b"taker")
    bodies = set()
    while b"second" not in bodies:
        bodies.add(front.ask(SAFE)[2])
    assert bodies <= {b"", b"second"}


def test_a_stream_of_an_earlier_life_goes_on_at_the_next_one(
    front: GatewaySite,
) -> None:
    """The new life has not had the request, though it has the identity that had it."""
    first = add_life(front, "first", BORN, "llm")
    broken = Event()

    def break_off(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 1, 2)
        broken.wait(20.0)
        reset_connection(request)

    def go_on(request: ReceivedRequest) -> None:
        send_stream_head(request)
        send_events(request, 3, 4)
        send_chunk(request, b"")

    first.behaviour = break_off
    front.start()
    front.gateway.wait_event("target-listed", target="i-0")
    connection = front.open()
    front.send(connection, "/stream/a", deadline_ms=8000)
    first.wait_for_requests(1)
    second = add_next_life(front, first, "second", moved=True, service="llm")
    second.behaviour = go_on
    front.gateway.wait_event("target-listed", after=1, target="i-0")
    broken.set()
    _, _, body, whole = receive_answer(connection)
    assert (body, whole) == (b"".join(format_event(n) for n in range(1, 5)), True)
    assert second.requests[0].header("Last-Event-Id") == "2"


def test_a_loaders_report_of_an_earlier_life_does_not_replace_the_new_ones(
    front: GatewaySite,
) -> None:
    """The earlier life had no weights; believed, its engine would get no requests."""
    loader = LoaderStandIn(ENGINE_HOST, front.settings["internal_port_range"][0])

    def tell(started: int, **more: Any) -> None:
        status = structs.replace(IDLE_STATUS, started=EngineStart(started), **more)
        loader.status = status
        front.wait_until(lambda: loader.last_reported is status)

    front.add_engine("llm", host=ENGINE_HOST)
    loader.start()
    try:
        front.start()
        tell(BORN + 5)
        front.gateway.wait_event("target-weights", version="1")
        tell(BORN, version=WeightsVersion(0))
        # A later life yet, busy: what was told before it has been taken in by then.
        tell(BORN + 9, busy=True)
        front.wait_until(lambda: "true" in weights_told(front)[-1])
        assert weights_told(front) == ["1 false", "1 true"]
    finally:
        loader.close()


@pytest.mark.parametrize("born", [True, 1.0, "7", None, -1, 10**13])
def test_an_entry_whose_start_is_no_whole_number_is_bad_input(
    front: GatewaySite, born: object
) -> None:
    add_life(front, "first", BORN)
    front.start()
    wait_answer(front, b"first")
    bad = {"service": "app", "address": "127.0.0.1:1", "zone": "a", "born": born}
    front.store.put_target("i-1", bad)
    front.gateway.wait_event("bad-input", 10)
    assert front.ask(SAFE)[2] == b"first"
