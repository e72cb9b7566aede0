"""No request is sent to the engines of an evacuated domain, and they return afterwards.

Guards against requests that reach engines which are about to lose power: new ones,
ones that were held, retried or resumed when the evacuation began, and those of a
gateway that was cut off, started during an outage, or read a store that returned from
an older copy.
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from threading import Thread
from time import monotonic, sleep
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import MODEL, GatewaySite, make_config
from msgspec.json import encode
from test_crashing_requests import (
    MultiGatewaySite,
    make_clients,
    make_domain_clients,
    respond_after_work,
)
from test_domain_reads import GATEWAYS

from ridgecourse.core.eligibility import Exclusion, ExclusionReason
from ridgecourse.core.outcome import Reason
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.gateway.announcement_watch import AttemptGuard
from ridgecourse.gateway.sender import NotRun, Sender
from ridgecourse.net.clock import boottime
from ridgecourse.platform.names import (
    DECISIONS_TOPIC,
    EVACUATION_KEY_PREFIX,
    PINNED_TOPIC,
)
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    refuse,
    reset_connection,
    send_chunk,
    send_events,
    send_response,
    send_stream_head,
)
from ridgecourse_standins.platform.store import StoreMode, StoreStandIn

PATH = "/safe/x"
KEY_A = f"{EVACUATION_KEY_PREFIX}a"
STREAM = ("Token-Usage: 100,50", f"Model: {MODEL}")
BOUND_SECONDS = 5.0
ERA = 7
AWAY_SECONDS = 0.7
REQUESTS = 12
REQUESTS_PER_SECOND = 30
LOAD_SECONDS = 9.0
EVACUATIONS = 6
HOLD_SECONDS = 0.4
MAX_TRANSIT_SECONDS = 0.05
"""Time in which a request that was being written as the evacuation began arrives."""


class TimedEngine:
    """Behaviour of an engine that records when its requests arrive.

    Attributes:
        arrivals: Time of each request, on the clock of the events.
    """

    def __init__(self, respond: Callable[[ReceivedRequest], None]) -> None:
        self.inner = respond
        self.arrivals: list[float] = []

    def respond(self, request: ReceivedRequest) -> None:
        self.arrivals.append(boottime())
        self.inner(request)

    def count_after(self, when: float) -> int:
        return sum(arrival > when for arrival in self.arrivals)


def add_engine(
    site: GatewaySite,
    zone: str,
    respond: Callable[[ReceivedRequest], None] = respond_after_work,
    service: str = "app",
) -> TimedEngine:
    timed = TimedEngine(respond)
    target = f"i-{service}-{zone}-{len(site.engines)}"
    site.add_engine(service, timed.respond, target, zone=zone)
    return timed


def evacuate(store: StoreStandIn) -> None:
    store.put(DECISIONS_TOPIC, KEY_A, {})


def end_evacuation(store: StoreStandIn) -> None:
    store.put(DECISIONS_TOPIC, KEY_A, None)


def wait_evacuated(process: ManagedProcess, after: int = 0) -> None:
    process.wait_event("domain-evacuated", seconds=BOUND_SECONDS, after=after)


def wait_returned(process: ManagedProcess, after: int = 0) -> None:
    process.wait_event("domain-returned", seconds=BOUND_SECONDS, after=after)


def ask_some(site: GatewaySite, count: int = REQUESTS) -> list[int]:
    return [site.ask(PATH, b"%d" % turn)[0] for turn in range(count)]


def pinned_keys(store: StoreStandIn) -> set[str]:
    """Return the keys of the pinned evacuations."""
    newest = dict(store.topics.get(PINNED_TOPIC, []))
    pinned = {key for key, value in newest.items() if value}
    return {key for key in pinned if key.startswith(EVACUATION_KEY_PREFIX)}


def return_from_copy(store: StoreStandIn) -> None:
    store.set_mode(StoreMode.DOWN)
    sleep(AWAY_SECONDS)
    store.return_from_copy()
    store.set_mode(StoreMode.UP)


def test_no_request_goes_to_an_evacuated_domain_until_it_returns(front) -> None:
    near, far = add_engine(front, "a"), add_engine(front, "b")
    front.start()
    ask_some(front)
    assert near.arrivals
    evacuate(front.store)
    wait_evacuated(front.gateway)
    begun = boottime()
    assert ask_some(front) == [200] * REQUESTS
    # An engine that joins the domain later is evacuated as well.
    joined = add_engine(front, "a")
    front.gateway.wait_event("target-listed", target="i-app-a-2")
    assert ask_some(front) == [200] * REQUESTS
    assert near.count_after(begun) == joined.count_after(begun) == 0
    assert far.count_after(begun) == 2 * REQUESTS
    end_evacuation(front.store)
    wait_returned(front.gateway)
    ended = boottime()
    assert ask_some(front) == [200] * REQUESTS
    assert near.count_after(ended) + joined.count_after(ended) > 0


@pytest.mark.parametrize("service", ["app", "llm"])
def test_a_request_without_an_engine_elsewhere_is_refused_at_once(
    front, service: str
) -> None:
    """Its own domain is evacuated, and no other one can be reached."""
    near = add_engine(front, "a", service=service)
    front.start()
    evacuate(front.store)
    wait_evacuated(front.gateway)
    path = PATH if service == "app" else "/once-stream/x"
    asked_at = monotonic()
    status, headers, _, _ = front.ask(path, b"x", method="POST", extra=STREAM)
    assert monotonic() - asked_at < 0.5
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert near.arrivals == []
    refused = front.gateway.wait_event("request-refused", seconds=1.0)
    assert refused["detail"]["excluded"] == {"evacuated": 1}


def test_a_gateway_that_is_cut_off_refuses_rather_than_use_its_evacuated_domain(
    front,
) -> None:
    """Neither the store nor an engine of the other domain can be reached."""
    near = add_engine(front, "a")
    add_engine(front, "b")
    front.start()
    evacuate(front.store)
    wait_evacuated(front.gateway)
    front.engines[1].close()
    front.store.set_mode(StoreMode.DOWN)
    front.gateway.wait_event("log-lost")
    status, headers, _, _ = front.ask(PATH, b"x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert near.arrivals == []


def begin_and_then(
    site: GatewaySite, respond: Callable[[ReceivedRequest], None]
) -> Callable[[ReceivedRequest], None]:
    """Return a behaviour that evacuates domain a before it answers."""

    def behave(request: ReceivedRequest) -> None:
        evacuate(site.store)
        wait_evacuated(site.gateway)
        respond(request)

    return behave


def test_a_retry_does_not_go_to_a_domain_that_is_evacuated_meanwhile(front) -> None:
    """The engine that refuses the first attempt is the last one used in its domain."""
    near = [add_engine(front, "a", begin_and_then(front, refuse)) for _ in range(3)]
    far = add_engine(front, "b", send_response)
    front.start()
    assert front.ask(PATH, b"x")[0] == 200
    assert sum(len(engine.arrivals) for engine in near) == 1
    assert len(far.arrivals) == 1


def send_part(request: ReceivedRequest) -> None:
    send_events(request, 1, 2)
    reset_connection(request)


def send_rest(request: ReceivedRequest) -> None:
    send_stream_head(request)
    send_events(request, 3, 4)
    send_chunk(request, b"")


def test_a_stream_is_not_resumed_in_a_domain_that_is_evacuated_meanwhile(
    front,
) -> None:
    def send_broken_stream(request: ReceivedRequest) -> None:
        send_stream_head(request)
        begin_and_then(front, send_part)(request)

    near = [add_engine(front, "a", send_broken_stream, service="llm") for _ in range(3)]
    far = add_engine(front, "b", send_rest, service="llm")
    front.start()
    status, _, body, is_complete = front.ask("/stream/x", extra=STREAM)
    assert (status, is_complete) == (200, True)
    assert body.count(b"id: ") == 4
    assert sum(len(engine.arrivals) for engine in near) == 1
    assert len(far.arrivals) == 1


def test_a_stream_that_is_running_in_an_evacuated_domain_continues(front) -> None:
    def finish(request: ReceivedRequest) -> None:
        send_events(request, 1, 4)
        send_chunk(request, b"")

    def send_stream(request: ReceivedRequest) -> None:
        send_stream_head(request)
        begin_and_then(front, finish)(request)

    near = add_engine(front, "a", send_stream, service="llm")
    far = add_engine(front, "b", send_rest, service="llm")
    front.start()
    status, _, body, is_complete = front.ask("/stream/x", extra=STREAM)
    assert (status, is_complete) == (200, True)
    assert body.count(b"id: ") == 4
    assert len(near.arrivals) == 1
    assert far.arrivals == []


def test_requests_that_are_held_when_an_evacuation_begins_are_not_sent(front) -> None:
    """Turns of a rate limit hold some requests for up to 0.25 s at any moment."""

    def respond_limited(request: ReceivedRequest) -> None:
        send_response(request, extra=("Server-Limit: 8",))

    near = add_engine(front, "a", respond_limited)
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    load = Thread(target=clients.run, args=(LOAD_SECONDS,))
    load.start()
    late = 0
    for turn in range(EVACUATIONS):
        count = len(near.arrivals)
        front.wait_until(lambda count=count: len(near.arrivals) >= count + 4)
        evacuate(front.store)
        event = front.gateway.wait_event("domain-evacuated", after=turn)
        sleep(HOLD_SECONDS)
        late += near.count_after(event["mono"] + MAX_TRANSIT_SECONDS)
        end_evacuation(front.store)
        wait_returned(front.gateway, after=turn)
    load.join()
    clients.join()
    assert late == 0
    assert clients.statuses.count(503) > 0
    assert set(clients.statuses) == {200, 503}


@pytest.mark.parametrize("checks_before", [0, 1])
def test_an_evacuation_is_checked_before_connecting_and_before_writing(
    checks_before: int,
) -> None:
    """Connecting to another region takes a while, in which an evacuation may begin."""
    engine = EngineStandIn(send_response)
    engine.start()
    results = [None] * checks_before + [Exclusion(ExclusionReason.EVACUATED)]
    guard = AttemptGuard(Mock(), Mock(), Mock(side_effect=results))
    routed: Any = SimpleNamespace(deadline=boottime() + 2.0, begin_by=None)
    target: Any = SimpleNamespace(address=engine.address, target="i-1")
    try:
        result = Sender(Mock()).send(routed, target, RecentPeak(), guard)
    finally:
        engine.close()
    assert isinstance(result, NotRun)
    assert (result.reason, result.arrived) == (Reason.NO_TARGET, False)
    assert engine.requests == []


# Several gateways and domains.


@pytest.fixture
def site(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    gateways = MultiGatewaySite(tmp_path)
    for host in GATEWAYS[3:]:
        gateways.change_settings(host, zone="b")
    gateways.store.era = ERA
    yield gateways
    gateways.close()


def restart(site: MultiGatewaySite, host: str) -> None:
    process = site.processes[host]
    process.kill()
    process.start()
    site.wait_until(lambda: site.is_ready(host))


def ask_all(site: MultiGatewaySite) -> list[int]:
    return [site.ask_at(host, b"%d" % turn) for turn in range(3) for host in GATEWAYS]


def wait_all(
    site: MultiGatewaySite, kind: str, after: int = 0, hosts: tuple = GATEWAYS
) -> None:
    for host in hosts:
        site.processes[host].wait_event(kind, seconds=BOUND_SECONDS, after=after)


def test_all_gateways_evacuate_a_domain_and_return_within_the_bound(site) -> None:
    near, far = add_engine(site, "a"), add_engine(site, "b")
    site.start()
    clients = make_domain_clients(site, REQUESTS_PER_SECOND)
    load = Thread(target=clients.run, args=(9.0,))
    load.start()
    site.wait_until(lambda: len(near.arrivals) >= 5)
    evacuate(site.store)
    acknowledged = boottime()
    wait_all(site, "domain-evacuated")
    begun = boottime()
    assert begun - acknowledged < BOUND_SECONDS
    sleep(1.0)
    end_evacuation(site.store)
    ended = boottime()
    assert [when for when in near.arrivals if begun + 0.1 < when < ended] == []
    wait_all(site, "domain-returned")
    returned = boottime()
    assert returned - ended < BOUND_SECONDS
    load.join()
    clients.join()
    assert near.count_after(returned) > 0
    assert far.count_after(begun) > 0
    assert clients.served_share == 1.0


def test_gateways_that_the_store_refuses_learn_of_an_evacuation(site) -> None:
    near, _ = add_engine(site, "a"), add_engine(site, "b")
    site.start()
    refused = GATEWAYS[1:3] + GATEWAYS[4:]
    site.store.refused_readers = set(refused)
    evacuate(site.store)
    wait_all(site, "domain-evacuated")
    begun = boottime()
    assert set(ask_all(site)) == {200}
    assert near.count_after(begun) == 0
    end_evacuation(site.store)
    wait_all(site, "domain-returned")


def test_a_gateway_that_starts_during_an_outage_does_not_use_an_evacuated_domain(
    site,
) -> None:
    near, _ = add_engine(site, "a"), add_engine(site, "b")
    host = GATEWAYS[1]
    site.change_settings(host, seed_nodes=[f"{GATEWAYS[0]}:1"])
    site.start()
    evacuate(site.store)
    wait_all(site, "domain-evacuated")
    begun = boottime()
    site.store.set_mode(StoreMode.DOWN)
    restart(site, host)
    assert [site.ask_at(host, b"%d" % turn) for turn in range(8)] == [200] * 8
    assert near.count_after(begun) == 0


def test_a_gateway_that_was_frozen_over_the_end_of_an_evacuation_learns_of_it(
    site,
) -> None:
    add_engine(site, "a"), add_engine(site, "b")
    site.start()
    evacuate(site.store)
    wait_all(site, "domain-evacuated")
    frozen = GATEWAYS[2]
    site.processes[frozen].pause()
    end_evacuation(site.store)
    # The record of the end is not kept, so that only full reads show the end.
    for version in range(2, 5):
        site.store.put_config(make_config(version))
    site.store.compact_topic(DECISIONS_TOPIC)
    others = tuple(host for host in GATEWAYS if host != frozen)
    wait_all(site, "domain-returned", hosts=others)
    site.processes[frozen].resume()
    wait_all(site, "domain-returned", hosts=(frozen,))


# The store returns from an older copy.


def test_an_evacuation_outlasts_a_return_of_the_store_from_a_copy_without_it(
    site,
) -> None:
    near, _ = add_engine(site, "a"), add_engine(site, "b")
    site.start()
    site.store.copy()
    evacuate(site.store)
    wait_all(site, "domain-evacuated")
    begun = boottime()
    return_from_copy(site.store)
    wait_all(site, "store-rewound")
    site.wait_until(lambda: pinned_keys(site.store) == {KEY_A})
    restart(site, GATEWAYS[1])
    assert set(ask_all(site)) == {200}
    assert near.count_after(begun) == 0
    end_evacuation(site.store)
    wait_all(site, "domain-returned")
    site.wait_until(lambda: pinned_keys(site.store) == set())
    restart(site, GATEWAYS[4])
    returned = boottime()
    assert set(ask_all(site)) == {200}
    assert near.count_after(returned) > 0
    for process in site.processes.values():
        process.wait_event("domain-returned", seconds=1.0)
        assert count_events(process, "domain-evacuated") <= 2


def count_events(process: ManagedProcess, kind: str) -> int:
    return sum(event.get("kind") == kind for event in process.events())


def test_all_gateways_that_restart_after_a_return_keep_the_evacuation(front) -> None:
    """Only the pin tells them of it."""
    near, _ = add_engine(front, "a"), add_engine(front, "b")
    front.store.era = ERA
    front.start()
    front.store.copy()
    evacuate(front.store)
    wait_evacuated(front.gateway)
    return_from_copy(front.store)
    front.wait_until(lambda: pinned_keys(front.store) == {KEY_A})
    begun = boottime()
    front.gateway.kill()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)
    assert ask_some(front) == [200] * REQUESTS
    assert near.count_after(begun) == 0
    end_evacuation(front.store)
    wait_returned(front.gateway)
    front.wait_until(lambda: pinned_keys(front.store) == set())


def test_a_copy_that_has_an_ended_evacuation_evacuates_until_a_new_record(
    site,
) -> None:
    near, _ = add_engine(site, "a"), add_engine(site, "b")
    site.start()
    evacuate(site.store)
    wait_all(site, "domain-evacuated")
    site.store.copy()
    end_evacuation(site.store)
    wait_all(site, "domain-returned")
    return_from_copy(site.store)
    wait_all(site, "domain-evacuated", after=1)
    begun = boottime()
    assert set(ask_all(site)) == {200}
    assert near.count_after(begun) == 0
    end_evacuation(site.store)
    wait_all(site, "domain-returned", after=1)
    assert pinned_keys(site.store) == set()


def test_an_evacuation_is_decided_within_the_bound_of_the_settings(front) -> None:
    front.settings["bounds"]["evacuate_ms"] = 5000
    front.path.write_bytes(encode(front.settings))
    add_engine(front, "b")
    front.start()
    evacuate(front.store)
    event = front.gateway.wait_event("domain-evacuated", seconds=BOUND_SECONDS)
    assert event["detail"]["lag"] < BOUND_SECONDS
