"""Gateways send no more requests to a cold engine than it is allowed to receive.

Guards against an engine that gets its usual load right after a restart. One of 3
engines that restarted received 217 requests in a second, and 257 when all 3 were cold,
where 11 were allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import GatewaySite, make_config
from test_crashing_requests import MultiGatewaySite, make_clients, make_domain_clients

from ridgecourse.core.cold_turns import MIN_GATEWAYS
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    now_ms,
    send_response,
)

PATH = "/safe/x"
COLD_PER_S = 4
BOUND = 11
"""4 requests per second, times 1.5, plus 5."""
COLD_START_SECONDS = 8
REQUESTS_PER_SECOND = 60
DOWN_SECONDS = 1.5
WORK_SECONDS = 0.03
MIN_SERVED_SHARE = 0.98
MAX_REFUSAL_SECONDS = 1.0


def make_limited_config(**fields: Any) -> dict[str, Any]:
    """Return a configuration in which engines of the service "app" may be cold."""
    config = make_config()
    limit = {"cold_start_s": COLD_START_SECONDS, "cold_per_s": COLD_PER_S}
    config["services"][1].update({**limit, **fields})
    return config


class RestartingEngines:
    """Engines of the service "app" that restart under the same identity.

    Attributes:
        site: The site of the engines.
        engines: Latest incarnation of each engine.
        arrivals: Times at which each engine received a request since its last restart.
    """

    def __init__(self, site: GatewaySite, count: int = 3) -> None:
        self.site = site
        self.engines: list[EngineStandIn] = []
        self.arrivals: list[list[float]] = [[] for _ in range(count)]
        for number in range(count):
            engine = EngineStandIn(self._make_behaviour(number), born=now_ms())
            engine.start()
            site.engines.append(engine)
            self.engines.append(engine)
            site.register_engine(engine, "app", f"i-{number}")

    def _make_behaviour(self, number: int):
        def respond(request: ReceivedRequest) -> None:
            self.arrivals[number].append(monotonic())
            sleep(WORK_SECONDS)
            send_response(request)

        return respond

    def stop(self, number: int) -> None:
        self.engines[number].kill()

    def start(self, number: int, cold_ms: int = 0) -> None:
        """Start the next incarnation of an engine, without its earlier arrivals."""
        self.arrivals[number].clear()
        engine = self.engines[number].next_incarnation()
        self.engines[number] = engine
        engine.start()
        self.site.engines.append(engine)
        self.list_engine(number, cold_ms)

    def list_engine(self, number: int, cold_ms: int = 0) -> None:
        self.site.register_engine(
            self.engines[number], "app", f"i-{number}", cold_ms=cold_ms
        )

    def max_in_second(self, number: int, until: float) -> int:
        """Return the most requests of an engine in any second before a time."""
        times = [time for time in self.arrivals[number] if time < until]
        return max(
            (sum(first <= time < first + 1.0 for time in times) for first in times),
            default=0,
        )


def restart(engines: RestartingEngines, clients: Any, numbers: list[int]) -> float:
    """Restart engines under load; return when they are not cold any more."""
    for number in numbers:
        engines.stop(number)
    clients.run(DOWN_SECONDS)
    started_at = monotonic()
    for number in numbers:
        engines.start(number)
    clients.run(COLD_START_SECONDS)
    return started_at + COLD_START_SECONDS


def count_events(site: Any, kind: str) -> int:
    return sum(event.get("kind") == kind for event in site.gateway.events())


def test_restarted_engine_keeps_its_limit_and_others_serve(front) -> None:
    engines = RestartingEngines(front)
    front.start(make_limited_config())
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(1.0)
    assert all(engines.arrivals), "the engines are warm at the gateway's start"
    warm_at = restart(engines, clients, [0])
    clients.run(3.0)
    clients.join()
    assert engines.max_in_second(0, warm_at) <= BOUND
    assert engines.max_in_second(0, monotonic()) > BOUND, "it is warm in the end"
    assert clients.served_share >= MIN_SERVED_SHARE
    cause = front.gateway.wait_event("engine-cold", target="i-0")["detail"]["cause"]
    assert cause in ("started", "unreachable")
    front.gateway.wait_event("engine-warm", target="i-0")


def test_cold_time_of_an_entry_limits_an_engine(front) -> None:
    engines = RestartingEngines(front)
    for number in range(3):
        engines.list_engine(number, cold_ms=5000)
    front.start(make_limited_config(cold_start_s=0))
    started_at = monotonic()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(3.0)
    clients.join()
    for number in range(3):
        assert engines.max_in_second(number, started_at + 3.0) <= BOUND
    assert 503 in clients.statuses
    for number in range(3):
        engines.list_engine(number, cold_ms=0)
    front.wait_until(lambda: count_events(front, "engine-warm") == 3)
    assert front.ask(PATH)[0] == 200


def test_requests_are_refused_at_once_with_spread_retries_if_all_are_cold(
    front,
) -> None:
    engines = RestartingEngines(front)
    for number in range(3):
        engines.list_engine(number, cold_ms=60_000)
    front.start(make_limited_config())
    delays, durations = [], []
    for number in range(60):
        asked_at = monotonic()
        status, headers, *_ = front.ask(PATH, b"%d" % number)
        durations.append(monotonic() - asked_at)
        if status == 503:
            delays.append(float(headers["retry-after"]))
    assert len(delays) > 50
    # The refused requests need longer at the limit than the third of the route's 3 s
    # for which a client waits.
    assert min(delays) >= 0.25
    assert 0.6 < max(delays) <= 3.0 * 0.32
    assert sorted(durations)[len(durations) // 2] < MAX_REFUSAL_SECONDS
    refused = front.gateway.wait_event("request-refused")
    assert refused["detail"]["excluded"] == {"cold": 3}


def test_engines_of_a_service_without_a_limit_are_never_cold(front) -> None:
    engines = RestartingEngines(front)
    front.start(make_limited_config(cold_per_s=0))
    clients = make_clients(front, REQUESTS_PER_SECOND)
    engines.stop(0)
    clients.run(DOWN_SECONDS)
    engines.start(0, cold_ms=60_000)
    clients.run(3.0)
    clients.join()
    assert engines.max_in_second(0, monotonic()) > BOUND
    assert clients.served_share >= MIN_SERVED_SHARE
    assert count_events(front, "engine-cold") == 0


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path)
    yield site
    site.close()


def test_all_gateways_together_keep_the_bound_while_all_engines_are_cold(
    domain,
) -> None:
    engines = RestartingEngines(domain)
    domain.start(make_limited_config())
    clients = make_domain_clients(domain, REQUESTS_PER_SECOND)
    clients.run(1.0)
    warm_at = restart(engines, clients, [0, 1, 2])
    clients.join()
    for number in range(3):
        assert 1 <= engines.max_in_second(number, warm_at) <= BOUND
    # Gateways that have just started each take the share of one of 12 gateways.
    served = sum(len(times) for times in engines.arrivals)
    share = len(domain.gateways) / MIN_GATEWAYS
    assert served >= 0.7 * share * 3 * COLD_PER_S * COLD_START_SECONDS


def test_gateways_that_restart_at_the_same_time_keep_the_bound(domain) -> None:
    engines = RestartingEngines(domain)
    domain.start(make_limited_config())
    clients = make_domain_clients(domain, REQUESTS_PER_SECOND)
    clients.run(1.0)
    hosts = list(domain.gateways)[4:]
    for number in range(3):
        engines.stop(number)
    for host in hosts:
        domain.processes[host].kill()
    clients.run(DOWN_SECONDS)
    warm_at = monotonic() + COLD_START_SECONDS
    for number in range(3):
        # The entries say that the engines are cold, for gateways that start.
        engines.start(number, cold_ms=COLD_START_SECONDS * 1000)
    for host in hosts:
        domain.processes[host].start()
    clients.run(COLD_START_SECONDS)
    clients.join()
    for number in range(3):
        assert 1 <= engines.max_in_second(number, warm_at) <= BOUND
