"""An engine that refuses a request and asks for rest gets none from that gateway.

Guards against a gateway that takes each refusal for a full queue. An engine that had
asked for 3 s of rest got up to 9 requests from one gateway in that time, since an
engine that refuses at once looks idle; 2 are allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep

import pytest
from gateway_site import GatewaySite, make_config, make_route
from test_crashing_requests import (
    MultiGatewaySite,
    make_clients,
    make_domain_clients,
    respond_after_work,
)

from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    reset_connection,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)

PATH = "/safe/x"
REST_SECONDS = 3.0
ON_THE_WAY_SECONDS = 0.5
"""Time after a refusal in which requests that were sent before may arrive."""
MAX_REQUESTS_IN_REST = 2
LOAD_SECONDS = 7.0
REQUESTS_PER_SECOND = 20
WORK_SECONDS = 0.03
REFUSED = "503 Service Unavailable"


class RestingEngine:
    """Behaviour of an engine that refuses all requests and asks for rest.

    Attributes:
        rest: Value of the Retry-After header.
        resting: Whether the engine refuses requests.
        refusals: Time of each refusal.
    """

    def __init__(self, rest: str = str(REST_SECONDS)) -> None:
        self.rest = rest
        self.resting = True
        self.refusals: list[float] = []

    def respond(self, request: ReceivedRequest) -> None:
        if not self.resting:
            sleep(WORK_SECONDS)
            send_response(request)
            return
        self.refusals.append(monotonic())
        extra = ("Not-Executed: 1", f"Retry-After: {self.rest}")
        send_response(request, b"", REFUSED, signed=False, extra=extra)

    def max_requests_in_rest(self, seconds: float = REST_SECONDS) -> int:
        """Return the most requests in a rest, without those that were on the way."""
        return max(
            sum(
                refused_at + ON_THE_WAY_SECONDS < other < refused_at + seconds
                for other in self.refusals
            )
            for refused_at in self.refusals
        )


def add_engines(site: GatewaySite, resting: int = 1) -> list[RestingEngine]:
    engines = [RestingEngine() for _ in range(resting)]
    behaviours = [engine.respond for engine in engines]
    for behaviour in [*behaviours, *[respond_after_work] * (3 - resting)]:
        site.add_engine("app", behaviour)
    return engines


def test_an_engine_that_asks_for_rest_gets_none_of_many_requests(front) -> None:
    (resting,) = add_engines(front)
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    clients.join()
    assert resting.max_requests_in_rest() <= MAX_REQUESTS_IN_REST
    assert len(resting.refusals) >= 2, "the engine is asked again after its rest"
    assert clients.served_share == 1.0
    assert front.gateway.wait_event("engine-rests")["detail"]["seconds"] == REST_SECONDS
    front.gateway.wait_event("engine-rest-ended")


def test_requests_are_refused_at_once_while_all_engines_rest(front) -> None:
    """Clients are told the time that is left, spread so that they do not all return."""
    engines = add_engines(front, resting=3)
    front.start()
    assert front.ask(PATH)[0] == 503
    told = []
    for _ in range(8):
        asked_at = monotonic()
        status, headers, _, _ = front.ask(PATH)
        assert status == 503
        assert monotonic() - asked_at < 0.5
        told.append(monotonic() + float(headers["retry-after"]))
    rest_ends_at = min(engine.refusals[0] for engine in engines) + REST_SECONDS
    assert all(return_at >= rest_ends_at for return_at in told)
    assert all(return_at <= rest_ends_at + REST_SECONDS for return_at in told)
    assert max(told) - min(told) > 0.1
    assert [len(engine.refusals) for engine in engines] == [1, 1, 1]


def test_the_last_refusal_tells_how_long_all_engines_rest(front) -> None:
    """The client that was refused by all engines in turn is told the same."""
    engines = add_engines(front, resting=3)
    config = make_config()
    config["routes"].append(make_route("/thrice/", "safe", "app", max_attempts=3))
    front.start(config)
    status, headers, _, _ = front.ask("/thrice/x")
    assert status == 503
    assert [len(engine.refusals) for engine in engines] == [1, 1, 1]
    assert float(headers["retry-after"]) > REST_SECONDS - ON_THE_WAY_SECONDS
    assert "server-leaving" not in headers


def test_a_request_waits_for_a_rest_that_is_about_to_end(front) -> None:
    (engine,) = add_engines(front, resting=1)
    for target in ("i-1", "i-2"):
        front.store.put_target(target, None)
    engine.rest = "0.2"
    front.start()
    front.wait_until(lambda: front.ask(PATH)[0] == 503)
    engine.resting = False
    assert front.ask(PATH)[0] == 200
    assert engine.max_requests_in_rest(0.2) == 0


def test_a_request_that_is_held_for_a_limit_is_not_sent_into_a_rest(front) -> None:
    """The rest begins between the choice of the engine and the send."""
    engine = RestingEngine()
    arrivals: list[float] = []

    def respond_with_limit(request: ReceivedRequest) -> None:
        arrivals.append(monotonic())
        if len(arrivals) > 1:
            engine.respond(request)
        else:
            send_response(request, extra=("Server-Limit: 5",))

    front.add_engine("app", respond_with_limit)
    front.start()
    assert front.ask(PATH)[0] == 200
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(2.5)
    clients.join()
    assert engine.max_requests_in_rest() == 0


def test_an_unreadable_rest_changes_nothing(front) -> None:
    (engine,) = add_engines(front)
    engine.rest = "Thu, 03 Dec 2026 18:00:00 GMT"
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(3.0)
    clients.join()
    assert len(engine.refusals) > 5
    front.gateway.wait_event("bad-input")
    errors = [
        event for event in front.gateway.events() if event.get("kind") == "bad-input"
    ]
    assert len(errors) == 1
    assert engine.rest in errors[0]["detail"]["error"]


def test_a_new_incarnation_does_not_rest(front) -> None:
    resting = RestingEngine("60")
    engine = EngineStandIn(resting.respond, born=1_000)
    engine.start()
    front.engines.append(engine)
    target = front.register_engine(engine, "app", "i-same")
    front.start()
    assert front.ask(PATH)[0] == 503
    restarted = engine.next_incarnation(at_new_port=True)
    restarted.behaviour = send_response
    restarted.start()
    front.engines.append(restarted)
    front.register_engine(restarted, "app", target)
    front.wait_until(lambda: front.ask(PATH)[0] == 200)
    assert len(resting.refusals) == 1


def test_an_unsafe_request_goes_on_after_a_refusal_with_rest(front) -> None:
    """The refusal proves that the request has not run."""
    (resting,) = add_engines(front)
    config = make_config()
    config["routes"].append(make_route("/unsafe/", "unsafe", "app"))
    front.start(config)
    statuses = [
        front.ask("/unsafe/x", b"%d" % turn, method="POST")[0] for turn in range(12)
    ]
    assert resting.refusals
    assert statuses.count(200) == len(statuses)


def test_a_resumed_stream_does_not_go_to_a_resting_engine(front) -> None:
    resting = RestingEngine()
    front.add_engine("llm", resting.respond)
    streams: list[int] = []

    def break_off_first(request: ReceivedRequest) -> None:
        streams.append(1)
        send_stream_head(request)
        send_events(request, 1, 1)
        if len(streams) == 1:
            reset_connection(request)
            return
        send_events(request, 2, 2)
        send_chunk(request, b"")

    front.add_engine("llm", break_off_first)
    front.start()
    headers = ("Model: m0", "Token-Usage: 100,50")
    for _ in range(6):
        front.ask("/stream/x", method="POST", extra=headers)
    assert len(resting.refusals) <= 1


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path)
    yield site
    site.close()


def test_a_resting_engine_gets_no_requests_from_a_gateway_that_it_refused(
    domain,
) -> None:
    """Each gateway is refused once; 6 gateways at the same time share the engine."""
    (resting,) = add_engines(domain)
    domain.start()
    hosts = list(domain.gateways)
    clients = make_domain_clients(domain, REQUESTS_PER_SECOND)
    clients.run(2.5)
    clients.join()
    assert resting.refusals
    assert len(resting.refusals) <= len(hosts)
    assert clients.served_share == 1.0
