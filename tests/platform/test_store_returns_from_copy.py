"""A store that returns from an older copy is followed at once, in its new era.

Guards against offsets that are compared without the era of the store. Offsets went back
and were given out again. Until a topic had grown past the end that was known before,
its new records counted as old: confirmed configurations were not in force, and engines
that left got requests, 2.1 to 3.2 s after the store had taken both; 2.0 s are allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import GatewaySite, make_config, make_route
from test_crashing_requests import (
    Clients,
    MultiGatewaySite,
    make_clients,
    make_crashing_engines,
    make_domain_clients,
)
from test_domain_reads import GATEWAYS

from ridgecourse.platform.names import (
    BLOCKED_TOPIC,
    DECISIONS_TOPIC,
    TARGETS_TOPIC,
)
from ridgecourse_standins.platform.crashing_engines import CRASH_BODY
from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    send_response,
)
from ridgecourse_standins.platform.store import StoreMode, StoreStandIn

PATH = "/safe/x"
NEW_PATH = "/fresh/x"
AWAY_SECONDS = 0.7
BOUND_SECONDS = 2.0
"""Time until a decision is in force and a leaving engine gets no more requests."""
CONTACT_SECONDS = 3.0
"""Time after an outage from which the store counts as stable."""
LOAD_SECONDS = 6.0
REQUESTS_PER_SECOND = 20
LOST_HEARTBEATS = 4
FIRST_VERSION = 1
LOST_VERSIONS = (52, 53)
NEW_VERSION = 54


class TimedEngine:
    """Behaviour of an engine that records when requests arrive.

    Attributes:
        arrivals: Time at which each request arrived.
    """

    def __init__(self) -> None:
        self.arrivals: list[float] = []

    def respond(self, request: ReceivedRequest) -> None:
        self.arrivals.append(monotonic())
        sleep(0.02)
        send_response(request)

    def arrivals_after(self, time: float) -> int:
        return sum(arrival > time for arrival in self.arrivals)


def add_engines(site: GatewaySite) -> list[TimedEngine]:
    timed = [TimedEngine() for _ in range(3)]
    for number, behaviour in enumerate(timed):
        site.add_engine("app", behaviour.respond, f"i-app-{number}")
    return timed


def register_all(site: GatewaySite, leaving: int | None = None) -> None:
    for number, engine in enumerate(site.engines):
        state = "draining" if number == leaving else "ready"
        site.register_engine(engine, "app", f"i-app-{number}", state)


def make_new_config() -> dict[str, Any]:
    config = make_config(NEW_VERSION)
    config["routes"].append(make_route("/fresh/", "safe", "app"))
    return config


def find_reader(domain: MultiGatewaySite) -> str:
    """Return the host that reads the store for the others."""
    (reader,) = domain.hosts_that_read(domain.publish_until_single_reader())
    return reader


def lose_records(
    site: GatewaySite, host: str = GATEWAYS[0]
) -> dict[str, list[tuple[str, bytes]]]:
    """Let the store return from a copy, without its last records.

    Args:
        site: The gateways and their store.
        host: A gateway that has to read the records before they are lost.

    Returns:
        The lost records of each topic.
    """
    store = site.store
    store.copy()
    for version in LOST_VERSIONS:
        store.put_config(make_config(version))
    for _ in range(LOST_HEARTBEATS):
        register_all(site)
    process = site.gateway if host == GATEWAYS[0] else site.processes[host]
    process.wait_event("config-folded", version=str(LOST_VERSIONS[-1]))
    sleep(1.0)
    store.set_mode(StoreMode.DOWN)
    sleep(AWAY_SECONDS)
    lost = store.return_from_copy()
    store.set_mode(StoreMode.UP)
    return lost


def write_again(store: StoreStandIn, lost: dict[str, list[tuple[str, bytes]]]) -> None:
    for topic in (DECISIONS_TOPIC, TARGETS_TOPIC):
        store.write_again(topic, lost[topic])


def check_clients(clients: Clients, leaving: TimedEngine, left_at: float) -> None:
    """Check that all clients are served, and none late by an engine that has left."""
    clients.run(LOAD_SECONDS)
    clients.join()
    assert leaving.arrivals_after(left_at + BOUND_SECONDS) == 0
    assert clients.served_share == 1.0


@pytest.mark.parametrize("writes_again", [True, False])
def test_decisions_and_leaving_engines_are_known_in_time_after_a_return(
    front, writes_again: bool
) -> None:
    """What is written first may take the very offsets that are gone, or others."""
    timed = add_engines(front)
    front.store.era = 7
    front.start(make_config(FIRST_VERSION))
    lost = lose_records(front)
    if writes_again:
        write_again(front.store, lost)
    front.store.put_config(make_new_config())
    register_all(front, leaving=0)
    changed_at = monotonic()
    front.wait_until(lambda: front.ask(NEW_PATH)[0] == 200)
    assert monotonic() < changed_at + BOUND_SECONDS
    check_clients(make_clients(front, REQUESTS_PER_SECOND), timed[0], changed_at)
    event = front.gateway.wait_event("store-rewound")
    assert (event["detail"]["era_before"], event["detail"]["era"]) == (7, 8)


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path)
    yield site
    site.close()


def check_domain(domain: MultiGatewaySite, timed: list[TimedEngine]) -> None:
    """Check all gateways after a change of configuration and a leaving engine."""
    domain.store.put_config(make_new_config())
    register_all(domain, leaving=0)
    changed_at = monotonic()
    check_clients(
        make_domain_clients(domain, REQUESTS_PER_SECOND), timed[0], changed_at
    )
    for host in domain.gateways:
        event = domain.processes[host].wait_event(
            "config-folded", version=str(NEW_VERSION), seconds=1.0
        )
        assert event["detail"]["lag"] < BOUND_SECONDS


@pytest.mark.parametrize("writes_again", [True, False])
def test_all_gateways_of_a_domain_follow_a_return(domain, writes_again: bool) -> None:
    """All but a few gateways read from another gateway, which tells them the era."""
    timed = add_engines(domain)
    domain.store.era = 7
    domain.start(make_config(FIRST_VERSION))
    lost = lose_records(domain)
    if writes_again:
        write_again(domain.store, lost)
    check_domain(domain, timed)


@pytest.mark.parametrize(
    "refused,stable_seconds",
    [(GATEWAYS[3:], 0.0), (GATEWAYS[:3], CONTACT_SECONDS)],
    ids=["others", "first readers"],
)
def test_gateways_cut_off_from_the_store_over_a_return_learn_of_it(
    domain, refused, stable_seconds: float
) -> None:
    """Half of the gateways hear of the return from others only, and later.

    If the store refuses the first readers of a domain, the others retry by turns for up
    to 3.6 s; the bounds run from when the store has been stable for some time.
    """
    timed = add_engines(domain)
    domain.store.era = 7
    domain.start(make_config(FIRST_VERSION))
    domain.store.refused_readers = set(refused)
    lose_records(domain, next(host for host in GATEWAYS if host not in refused))
    sleep(stable_seconds)
    check_domain(domain, timed)


def test_a_reader_that_was_frozen_over_a_return_follows_it(domain) -> None:
    """The others have read on without it; it wakes with the offsets that are gone."""
    timed = add_engines(domain)
    domain.store.era = 7
    domain.start(make_config(FIRST_VERSION))
    reader = find_reader(domain)
    domain.processes[reader].pause()
    try:
        lose_records(domain, next(host for host in GATEWAYS if host != reader))
    finally:
        domain.processes[reader].resume()
    check_domain(domain, timed)


def test_gateways_of_two_domains_follow_a_return(domain) -> None:
    """One of the domains has no loader, and reads over a border."""
    for host in GATEWAYS[3:]:
        domain.change_settings(host, zone="b")
    timed = add_engines(domain)
    domain.store.era = 7
    domain.start(make_config(FIRST_VERSION))
    write_again(domain.store, lose_records(domain))
    check_domain(domain, timed)


def test_an_engine_that_left_in_the_lost_seconds_gets_no_requests(domain) -> None:
    """The copy lists it as ready, and it has not written again."""
    timed = add_engines(domain)
    domain.store.era = 7
    domain.start(make_config(FIRST_VERSION))
    domain.store.copy()
    register_all(domain, leaving=0)
    left_at = monotonic()
    for host in domain.gateways:
        domain.processes[host].wait_event(
            "target-listed", after=1, target="i-app-0", seconds=5.0
        )
    domain.store.set_mode(StoreMode.DOWN)
    sleep(AWAY_SECONDS)
    domain.store.return_from_copy()
    domain.store.set_mode(StoreMode.UP)
    check_clients(make_domain_clients(domain, REQUESTS_PER_SECOND), timed[0], left_at)


def test_several_returns_in_a_row_are_followed(front) -> None:
    timed = add_engines(front)
    front.store.era = 7
    front.start(make_config(FIRST_VERSION))
    lose_records(front)
    front.store.copy()
    for _ in range(2):
        register_all(front)
        front.store.set_mode(StoreMode.DOWN)
        sleep(AWAY_SECONDS / 2)
        front.store.return_from_copy()
        front.store.set_mode(StoreMode.UP)
        sleep(0.2)
    front.store.put_config(make_new_config())
    register_all(front, leaving=0)
    changed_at = monotonic()
    front.wait_until(lambda: front.ask(NEW_PATH)[0] == 200)
    assert monotonic() < changed_at + BOUND_SECONDS
    sleep(BOUND_SECONDS)
    for turn in range(20):
        assert front.ask(PATH, b"%d" % turn)[0] == 200
    assert timed[0].arrivals_after(changed_at + BOUND_SECONDS) == 0


def test_a_blocked_request_is_stored_again_after_a_return(front) -> None:
    """What the system itself wrote since the copy is gone as well."""
    engines = make_crashing_engines(front, 10)
    try:
        engines.start()
        front.store.era = 7
        front.start()
        front.store.copy()
        while not front.store.topics.get(BLOCKED_TOPIC):
            front.ask(PATH, CRASH_BODY)
        front.store.set_mode(StoreMode.DOWN)
        sleep(AWAY_SECONDS)
        lost = front.store.return_from_copy()
        front.store.set_mode(StoreMode.UP)
        (lost_record,) = lost[BLOCKED_TOPIC]
        front.wait_until(lambda: front.store.topics[BLOCKED_TOPIC])
        assert front.store.topics[BLOCKED_TOPIC][0][0] == lost_record[0]
    finally:
        engines.close()


def test_a_gateway_that_starts_after_a_return_applies_the_newest_decision(
    front,
) -> None:
    """The copy holds an older configuration; a running process knows the newer one."""
    add_engines(front)
    front.store.era = 7
    front.start(make_config(FIRST_VERSION))
    lose_records(front)
    front.gateway.wait_event("decision-kept")
    front.gateway.kill()
    front.gateway.start()
    front.gateway.wait_event("config-folded", version=str(LOST_VERSIONS[-1]))
