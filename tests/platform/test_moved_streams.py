"""Streams that keep an engine from taking new weights go on elsewhere."""

from collections.abc import Iterator
from pathlib import Path
from threading import Event
from typing import Any

import pytest
from gateway_site import GatewaySite
from msgspec import structs

from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    event,
    send_chunk,
    send_events,
    send_stream_head,
)
from ridgecourse_standins.platform.loader import IDLE, LoaderStandIn

LEAVING, STAYING = "127.0.0.5", "127.0.0.6"
STREAM = ("Model: m0", "Token-Usage: 100,50")
EVENTS = 6
LEAVES = {"busy": True, "queued": 0, "active": 1}


class MovingSite(GatewaySite):
    """A gateway with two engines and a loader beside each."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.proceed = Event()
        port = self.settings["internal_port_range"][0]
        self.loaders = {h: LoaderStandIn(h, port) for h in (LEAVING, STAYING)}

    def start(self, config: dict[str, Any] | None = None) -> None:
        for loader in self.loaders.values():
            loader.start()
        # Requests begin at the first engine, for the other one looks crowded.
        self.set_status(STAYING, queued=1, active=20, unread=0.1)
        super().start(config)
        self.wait_until(lambda: all(x.watchers for x in self.loaders.values()))

    def set_status(self, host: str, **more: Any) -> None:
        self.loaders[host].status = structs.replace(IDLE, **more)

    def halt(self, request: ReceivedRequest) -> None:
        """Send some events, and the rest once the test lets it."""
        send_stream_head(request)
        send_events(request, 1, 3)
        self.proceed.wait(10.0)
        send_events(request, 4, EVENTS)
        send_chunk(request, b"")

    def rest(self, request: ReceivedRequest) -> None:
        """Send what the caller has not had."""
        after = int(request.header("Last-Event-Id") or 0)
        send_stream_head(request)
        send_events(request, after + 1, EVENTS)
        send_chunk(request, b"")

    def close(self) -> None:
        self.proceed.set()
        for loader in self.loaders.values():
            loader.close()
        super().close()


@pytest.fixture
def moving(tmp_path: Path) -> Iterator[MovingSite]:
    site = MovingSite(tmp_path)
    yield site
    site.close()


def begin_stream(site: MovingSite, path: str) -> Any:
    """Send a request that the leaving engine begins to answer."""
    leaving = site.add_engine("llm", site.halt, host=LEAVING)
    staying = site.add_engine("llm", site.rest, host=STAYING)
    site.start()
    connection = site.open()
    site.send(connection, path, method="POST", extra=STREAM)
    leaving.wait_for(1)
    site.wait_until(lambda: connection.recv(1) != b"")
    return connection, leaving, staying


def receive_rest(connection: Any) -> bytes:
    data = b""
    while piece := connection.recv(65536):
        data += piece
        if data.endswith(b"0\r\n\r\n"):
            break
    return data


def test_a_stream_goes_on_where_there_is_room(moving) -> None:
    connection, leaving, staying = begin_stream(moving, "/stream/x")
    moving.set_status(STAYING)
    moving.set_status(LEAVING, busy=True, active=1)
    data = receive_rest(connection)
    assert [r.header("Last-Event-Id") for r in staying.requests] == ["3"]
    assert leaving.wait_closed(leaving.requests[0])
    for number in range(1, EVENTS + 1):
        assert data.count(event(number)) == 1
    assert data.endswith(b"0\r\n\r\n")


def check_it_stays(site: MovingSite, connection: Any, staying: Any) -> None:
    """Let the engine leave, and see that it ends the stream itself."""
    site.set_status(LEAVING, busy=True, active=1)
    site.gateway.wait_event("target-weights", detail=LEAVES)
    Event().wait(1.0)
    site.proceed.set()
    assert receive_rest(connection).endswith(b"0\r\n\r\n")
    assert staying.requests == []


def test_a_stream_stays_where_nobody_else_has_room(moving) -> None:
    connection, _, staying = begin_stream(moving, "/stream/x")
    check_it_stays(moving, connection, staying)


def test_a_stream_that_may_not_be_resumed_stays(moving) -> None:
    connection, _, staying = begin_stream(moving, "/once-stream/x")
    moving.set_status(STAYING)
    check_it_stays(moving, connection, staying)
