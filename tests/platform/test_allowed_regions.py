"""A request with allowed regions is never sent to an engine in another region.

Guards against these failures: a restriction of the route or the account is ignored, or
only that of the configuration in force at the arrival applies, so that a held request,
a retry or a resumption goes to a region that a newer configuration forbids; a
restricted request waits or spends the retry budget while no engine is eligible.
"""

from collections.abc import Callable, Iterator
from threading import Event, Thread
from time import monotonic
from typing import Any

import pytest
from gateway_site import GatewaySite, make_route
from test_crashing_requests import Clients, respond_after_work
from test_region_restrictions import make_restricted_config
from test_settings_change import write_settings

from ridgecourse_standins.platform.engine import (
    Behaviour,
    EngineStandIn,
    ReceivedRequest,
    refuse,
    reset_connection,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)

NORTH, SOUTH = ["north"], ["south"]
STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
REFUSAL_SECONDS = 0.25
"""A refusal at once takes some milliseconds; the rest is for a busy machine."""


# A gateway in the region "north" with an engine there and one in "south".


def refused_events(front: GatewaySite) -> Iterator[dict[str, Any]]:
    for event in front.gateway.events():
        if event.get("kind") == "request-refused":
            yield event["detail"]


def add_engines(
    front: GatewaySite, service: str = "app", behaviour: Behaviour = send_response
) -> tuple[EngineStandIn, EngineStandIn]:
    north = front.add_engine(service, behaviour, zone="a")
    return north, front.add_engine(service, behaviour, zone="b")


def assert_refused_at_once(front: GatewaySite, path: str = "/safe/x") -> None:
    asked_at = monotonic()
    status, headers, body, _ = front.ask(path, b"body", method="POST")
    assert monotonic() - asked_at < REFUSAL_SECONDS
    assert (status, body) == (503, b"")
    assert float(headers["retry-after"]) > 0


def put_config(front: GatewaySite, config: dict[str, Any]) -> None:
    """Put a configuration and wait until the gateway has applied it."""
    front.store.put_config(config)
    front.gateway.wait_event("config-folded", version=str(config["version"]))


@pytest.mark.parametrize(("route", "account"), [(SOUTH, None), (None, SOUTH)])
def test_restricted_requests_reach_engines_of_the_region_only(
    front: GatewaySite, route: Any, account: Any
) -> None:
    """The engine in the other region is nearer to the gateway."""
    north, south = add_engines(front)
    front.start(make_restricted_config(1, route, account))
    for _ in range(8):
        assert front.ask("/safe/x")[0] == 200
    assert (len(north.requests), len(south.requests)) == (0, 8)


@pytest.mark.parametrize(
    ("route", "account"), [(NORTH, SOUTH), (["nowhere"], None), (NORTH, ["a"])]
)
def test_request_that_no_region_may_serve_is_refused_at_once(
    front: GatewaySite, route: Any, account: Any
) -> None:
    engines = add_engines(front)
    front.start(make_restricted_config(1, route, account))
    assert_refused_at_once(front)
    [refusal] = refused_events(front)
    assert refusal["reason"] == "no-target"
    assert refusal["excluded"] == {"region": 2}
    assert [engine.requests for engine in engines] == [[], []]


def test_engine_of_an_unknown_domain_is_in_no_known_region(front: GatewaySite) -> None:
    unknown = front.add_engine("app", zone="c")
    front.start(make_restricted_config(1, NORTH + SOUTH))
    assert_refused_at_once(front)
    assert front.ask("/open/x", key=None)[0] == 200
    put_config(front, make_restricted_config(2, ["c"]))
    assert front.ask("/safe/x")[0] == 200
    assert len(unknown.requests) == 2


def test_changed_regions_of_the_settings_apply(front: GatewaySite) -> None:
    north, south = add_engines(front)
    front.start(make_restricted_config(1, ["east"]))
    assert_refused_at_once(front)
    write_settings(front, zones={"a": "north", "b": "east"})
    front.gateway.wait_event("settings-changed")
    assert front.ask("/safe/x")[0] == 200
    assert (len(north.requests), len(south.requests)) == (0, 1)


def test_load_for_a_lost_regional_engine_is_refused_and_harms_no_others(
    front: GatewaySite,
) -> None:
    """Requests for a region whose engine is gone come at 5 times the usual rate.

    Requests without a restriction must all be served meanwhile, also those that need a
    retry since the engine elsewhere refuses each tenth one.
    """
    served = 0

    def refuse_each_tenth(request: ReceivedRequest) -> None:
        nonlocal served
        served += 1
        (refuse if served % 10 == 0 else respond_after_work)(request)

    front.add_engine("app", refuse_each_tenth, zone="a")
    front.add_engine("app", respond_after_work, zone="a")
    south = front.add_engine("app", zone="b")
    config = make_restricted_config(1, SOUTH)
    config["routes"].append(make_route("/all/", "safe", "app"))
    front.start(config)
    assert front.ask("/safe/x")[0] == 200
    south.close()
    front.store.put_target("i-2", None)
    front.gateway.wait_event("target-gone")
    seconds: list[float] = []

    def ask_restricted(turn: int) -> int:
        asked_at = monotonic()
        status = front.ask("/safe/x", b"%d" % turn)[0]
        seconds.append(monotonic() - asked_at)
        return status

    restricted = Clients(ask_restricted, 50)
    others = Clients(lambda turn: front.ask("/all/x", b"%d" % turn)[0], 10)
    run_beside(restricted, others, 4.0)
    assert restricted.statuses == [503] * 200
    assert others.statuses == [200] * 40
    assert sorted(seconds)[len(seconds) // 2] < 0.05
    assert all(
        refusal["excluded"] == {"region": 2} for refusal in refused_events(front)
    )


def run_beside(first: Clients, second: Clients, seconds: float) -> None:
    """Run two groups of clients at once."""
    threads = [
        Thread(target=clients.run, args=(seconds,)) for clients in (first, second)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for clients in (first, second):
        clients.join()


# A configuration that changes while a request is on its way.


class Gate:
    """Behaviour of an engine that waits, then ends the request in a given way.

    Attributes:
        begin: Called when a request arrives.
        end: Called once ``proceed`` is set.
        proceed: Lets the requests go on.
    """

    def __init__(self, end: Behaviour, begin: Behaviour | None = None) -> None:
        self.end = end
        self.begin = begin
        self.proceed = Event()

    def respond(self, request: ReceivedRequest) -> None:
        if self.begin is not None:
            self.begin(request)
        assert self.proceed.wait(20)
        self.end(request)


def begin_stream(request: ReceivedRequest) -> None:
    send_stream_head(request)
    send_events(request, 1, 2)


def end_stream(request: ReceivedRequest) -> None:
    send_events(request, 3, 4)
    send_chunk(request, b"")


Narrow = Callable[[int], dict[str, Any]]
NARROWED: list[Narrow] = [
    lambda version: make_restricted_config(version, NORTH),
    lambda version: make_restricted_config(version, account=NORTH),
    lambda version: make_restricted_config(version, ["nowhere"]),
]


@pytest.mark.parametrize("narrow", NARROWED)
@pytest.mark.parametrize("end", [reset_connection, refuse])
def test_retry_obeys_a_restriction_that_began_during_the_first_attempt(
    front: GatewaySite, narrow: Narrow, end: Behaviour
) -> None:
    """The engine of the region fails; the one elsewhere must not get the retry."""
    gate = Gate(end)
    front.add_engine("app", gate.respond, zone="a")
    south = front.add_engine("app", zone="b")
    front.start()
    connection = front.open()
    front.send(connection, "/safe/x", b"body", method="POST")
    front.engines[0].wait_for_requests(1)
    put_config(front, narrow(2))
    gate.proceed.set()
    status = connection.recv(12)
    assert status == (b"HTTP/1.1 502" if end is reset_connection else b"HTTP/1.1 503")
    assert south.requests == []


@pytest.mark.parametrize("narrow", NARROWED)
def test_request_that_waits_obeys_a_restriction_that_began_meanwhile(
    front: GatewaySite, narrow: Narrow
) -> None:
    """The client is slow to send the body, and the engine of the region is gone."""
    south = front.add_engine("app", zone="b")
    front.start()
    connection = front.open()
    extra = ("Content-Length: 4",)
    head = front.head("/safe/x", method="POST", extra=extra).encode()
    connection.sendall(head + b"bo")
    put_config(front, narrow(2))
    connection.sendall(b"dy")
    assert connection.recv(12) == b"HTTP/1.1 503"
    assert south.requests == []


def test_wider_restriction_does_not_apply_to_a_request_that_came_before(
    front: GatewaySite,
) -> None:
    gate = Gate(refuse)
    front.add_engine("app", gate.respond, zone="a")
    south = front.add_engine("app", zone="b")
    front.start(make_restricted_config(1, NORTH))
    connection = front.open()
    front.send(connection, "/safe/x", b"body", method="POST")
    front.engines[0].wait_for_requests(1)
    put_config(front, make_restricted_config(2, SOUTH))
    gate.proceed.set()
    assert connection.recv(12) == b"HTTP/1.1 503"
    assert south.requests == []
    assert front.ask("/safe/x")[0] == 200
    assert len(south.requests) == 1


@pytest.mark.parametrize("regions", [NORTH, SOUTH])
def test_resumption_obeys_a_restriction_that_began_during_the_stream(
    front: GatewaySite, regions: list[str]
) -> None:
    gate = Gate(reset_connection, begin_stream)
    front.add_engine("llm", gate.respond, zone="a")

    def send_remainder(request: ReceivedRequest) -> None:
        send_stream_head(request)
        end_stream(request)

    south = front.add_engine("llm", send_remainder, zone="b")
    front.start()
    connection = front.open()
    front.send(connection, "/stream/x", method="POST", extra=STREAM_HEADERS)
    front.engines[0].wait_for_requests(1)
    put_config(front, make_restricted_config(2, regions, prefix="/stream/"))
    gate.proceed.set()
    ended = front.gateway.wait_event("request-ended")
    may_resume = regions == SOUTH
    assert ended["detail"]["outcome"] == ("completed" if may_resume else "unknown")
    assert len(south.requests) == int(may_resume)


def test_running_stream_continues_in_a_region_that_is_forbidden_meanwhile(
    front: GatewaySite,
) -> None:
    gate = Gate(end_stream, begin_stream)
    front.add_engine("llm", gate.respond, zone="a")
    front.start()
    connection = front.open()
    front.send(connection, "/stream/x", method="POST", extra=STREAM_HEADERS)
    front.engines[0].wait_for_requests(1)
    put_config(front, make_restricted_config(2, SOUTH, prefix="/stream/"))
    gate.proceed.set()
    ended = front.gateway.wait_event("request-ended")
    assert ended["detail"]["outcome"] == "completed"


def test_configuration_that_narrows_regions_is_never_reverted(
    front: GatewaySite,
) -> None:
    _, south = add_engines(front)
    front.start(make_restricted_config(2, NORTH))
    front.store.put_config(make_restricted_config(1, SOUTH))
    front.gateway.wait_event("decision-outdated")
    assert front.ask("/safe/x")[0] == 200
    assert south.requests == []
