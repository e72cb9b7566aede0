"""An engine that says in its answers that it leaves gets no new requests.

Guards against a gateway that knows of leaving engines by the list alone. While the
store was away, the list could not tell, and an engine got requests 2.2 to 3.8 s after
an answer had said that it leaves; 2.0 s are allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import GatewaySite
from msgspec import convert, to_builtins
from msgspec.structs import replace
from test_crashing_requests import (
    MultiGatewaySite,
    make_clients,
    make_domain_clients,
    respond_after_work,
)

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.report_rate import differs_from_reported
from ridgecourse.platform.engine import PlatformEngine
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)
from ridgecourse_standins.platform.store import StoreMode

PATH = "/safe/x"
LEAVING_SECONDS = 2.0
"""Time for which an engine may still get requests; drain_ms of the settings."""
LOAD_SECONDS = 6.0
REQUESTS_PER_SECOND = 20
WORK_SECONDS = 0.03
LEAVING = "Server-Leaving: 1"


class LeavingEngine:
    """Behaviour of an engine that says in its answers that it leaves.

    Attributes:
        leaving: Set once the engine leaves.
        told_at: Time of the first answer that said so.
        arrivals: Time at which each request arrived.
        status: Status of the answers.
    """

    def __init__(self, status: str = "200 OK") -> None:
        self.leaving = Event()
        self.told_at: float | None = None
        self.arrivals: list[float] = []
        self.status = status

    def respond(self, request: ReceivedRequest) -> None:
        self.arrivals.append(monotonic())
        sleep(WORK_SECONDS)
        extra = (LEAVING,) if self.leaving.is_set() else ()
        if self.status.startswith("503"):
            extra = (*extra, "Not-Executed: 1")
        send_response(request, status=self.status, extra=extra)
        if extra and self.told_at is None:
            self.told_at = monotonic()

    @property
    def late_arrivals(self) -> int:
        """Number of requests that arrived after the time that a leaving engine has."""
        assert self.told_at is not None
        return sum(
            arrival > self.told_at + LEAVING_SECONDS for arrival in self.arrivals
        )


def stream_events(request: ReceivedRequest) -> None:
    send_stream_head(request)
    send_events(request, 1, 2)
    send_chunk(request, b"")


def add_engines(site: GatewaySite, status: str = "200 OK") -> LeavingEngine:
    leaving = LeavingEngine(status)
    for behaviour in (leaving.respond, respond_after_work, respond_after_work):
        site.add_engine("app", behaviour)
    return leaving


@pytest.mark.parametrize(
    "status", ["200 OK", "503 Service Unavailable", "500 Internal Server Error"]
)
def test_an_engine_that_leaves_while_the_store_is_away_gets_no_requests(
    front, status: str
) -> None:
    leaving = add_engines(front, status)
    front.start()
    front.store.set_mode(StoreMode.SILENT)
    leaving.leaving.set()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    clients.join()
    assert leaving.arrivals
    assert leaving.late_arrivals == 0
    event = front.gateway.wait_event("engine-leaving")
    assert event["detail"]["said_by"] == f"answer {status[:3]}"


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path)
    yield site
    site.close()


def test_a_leaving_engine_gets_no_requests_from_any_gateway(domain) -> None:
    leaving = add_engines(domain)
    domain.start()
    domain.store.set_mode(StoreMode.SILENT)
    leaving.leaving.set()
    clients = make_domain_clients(domain, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    clients.join()
    assert leaving.arrivals
    assert leaving.late_arrivals == 0
    assert clients.served_share == 1.0


def test_an_entry_that_says_ready_takes_nothing_back(front) -> None:
    leaving = add_engines(front)
    front.start()
    leaving.leaving.set()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(1.0)
    front.register_engine(front.engines[0], "app")
    clients.run(LOAD_SECONDS)
    clients.join()
    assert leaving.late_arrivals == 0
    assert clients.served_share == 1.0


def test_the_only_engine_left_is_asked_while_it_may_be(front) -> None:
    leaving = LeavingEngine()
    front.add_engine("app", leaving.respond)
    front.start()
    leaving.leaving.set()
    started_at = monotonic()
    assert front.ask(PATH)[0] == 200
    while monotonic() < started_at + 1.5:
        assert front.ask(PATH)[0] == 200
        sleep(0.1)
    sleep(LEAVING_SECONDS)
    arrived = len(leaving.arrivals)
    asked_at = monotonic()
    assert front.ask(PATH)[0] == 503
    assert monotonic() - asked_at < 0.5
    assert len(leaving.arrivals) == arrived


def test_a_new_incarnation_under_the_same_name_is_asked(front) -> None:
    leaving = LeavingEngine()
    engine = EngineStandIn(leaving.respond, born=1_000)
    engine.start()
    front.engines.append(engine)
    target = front.register_engine(engine, "app", "i-same")
    front.start()
    leaving.leaving.set()
    assert front.ask(PATH)[0] == 200
    front.wait_until(lambda: front.ask(PATH)[0] == 503)
    restarted = engine.next_incarnation(at_new_port=True)
    restarted.behaviour = send_response
    restarted.start()
    front.engines.append(restarted)
    front.register_engine(restarted, "app", target)
    front.wait_until(lambda: front.ask(PATH)[0] == 200)


def test_the_head_of_a_stream_tells_that_its_engine_leaves(front) -> None:
    """The stream itself continues; the next requests go elsewhere."""
    finish = Event()

    def stream(request: ReceivedRequest) -> None:
        head = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n%s\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        attempt = request.header("Attempt-Id")
        request.connection.sendall((head % (attempt, LEAVING)).encode())
        send_events(request, 1, 1)
        finish.wait(10.0)
        send_events(request, 2, 2)
        send_chunk(request, b"")

    engine = front.add_engine("llm", stream)
    front.start()
    results: list = []
    headers = ("Model: m0", "Token-Usage: 100,50")
    asking = Thread(
        target=lambda: results.append(
            front.ask("/stream/x", method="POST", extra=headers)
        )
    )
    asking.start()
    front.gateway.wait_event("engine-leaving")
    other = front.add_engine("llm", stream_events)
    front.gateway.wait_event("target-listed", target="i-1")
    finish.set()
    asking.join(10.0)
    status, answer_headers, body, whole = results[0]
    assert (status, whole) == (200, True)
    assert "server-leaving" not in answer_headers
    assert body.count(b"data:") == 2
    for _ in range(5):
        assert front.ask("/stream/x", method="POST", extra=headers)[0] == 200
    assert len(engine.requests) == 1
    assert len(other.requests) == 5


def test_the_report_of_an_engine_tells_that_it_leaves() -> None:
    leaving = LeavingEngine()
    report = b'{"sequence": 1, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 9}'

    def respond(request: ReceivedRequest) -> None:
        extra = (LEAVING,) if leaving.leaving.is_set() else ()
        send_response(request, report, extra=("Connection: close", *extra))

    engine = EngineStandIn(respond)
    engine.start()
    try:
        http: Any = None
        control = PlatformEngine(engine.address, http, "127.0.0.1")
        assert not control.report().leaving
        leaving.leaving.set()
        assert control.report().leaving
    finally:
        engine.close()


def test_a_loader_reports_at_once_that_its_engine_leaves() -> None:
    staying = EngineStatus(WeightsVersion(1), False, 0, 0, 0, 9)
    leaving = replace(staying, leaving=True)
    now = Seconds(1.0)
    assert differs_from_reported(staying, now, leaving, now)
    assert convert(to_builtins(leaving), EngineStatus) == leaving
