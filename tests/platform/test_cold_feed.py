"""A loader asks its engine for how long it is cold, only where and as often as needed.

Health checks are priced. Guards against checks in deployments that limit no cold
engines, and against gateways that learn too late that an engine is cold or warm.
"""

from collections.abc import Iterator
from pathlib import Path
from time import sleep
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import make_config
from msgspec.structs import replace
from test_crashing_requests import MultiGatewaySite
from test_domain_reads import GATEWAYS, LOADER

from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.ids import EngineStart, Seconds, ServiceName
from ridgecourse.core.routes import Service
from ridgecourse.loader import cold_feed
from ridgecourse.loader.cold_feed import (
    COLD_INTERVAL_SECONDS,
    NEW_SECONDS,
    WARM_INTERVAL_SECONDS,
    ColdFeed,
)
from ridgecourse.loader.engine_control import EngineUnavailable
from ridgecourse_standins.platform.weights import HEALTH_PATH, StagingEngine

SERVICE = Service(ServiceName("llm"), 64, HEALTH_PATH, None, 8.0, 4.0)
TOLERANCE = 0.8
"""Share of an interval that must pass at least between two health checks."""


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def boottime(self) -> Seconds:
        return Seconds(self.now)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(cold_feed, "boottime", clock.boottime)
    return clock


def make_feed(service: Service | None = SERVICE, watched: bool = True) -> Any:
    engine, view = Mock(), Mock()
    engine.cold_remaining.return_value = 0.0
    view.config.services = {} if service is None else {service.name: service}
    return ColdFeed(engine, view, SERVICE.name, lambda: watched)


@pytest.mark.parametrize(
    ("service", "watched"),
    [
        (None, True),
        (replace(SERVICE, cold_per_s=0.0), True),
        (replace(SERVICE, health_path=""), True),
        (SERVICE, False),
    ],
)
def test_engine_is_not_asked_without_need(service, watched) -> None:
    feed = make_feed(service, watched)
    feed._ask()
    assert feed.engine.cold_remaining.call_count == 0
    assert feed.statement(None) is None


def test_engine_is_asked_often_while_it_is_cold_or_new(clock) -> None:
    feed = make_feed()
    feed.engine.cold_remaining.return_value = 4.0
    assert feed._ask() == COLD_INTERVAL_SECONDS
    feed.engine.cold_remaining.return_value = 0.0
    assert feed._ask() == WARM_INTERVAL_SECONDS
    feed.statement(EngineStart(2))
    assert feed._ask() == COLD_INTERVAL_SECONDS
    clock.now += NEW_SECONDS
    assert feed._ask() == WARM_INTERVAL_SECONDS


def test_statement_has_the_age_of_the_answer(clock) -> None:
    feed = make_feed()
    feed.engine.cold_remaining.return_value = 4.0
    feed._ask()
    clock.now += 0.3
    assert feed.statement(None) == ColdStatement(4.0, 0.3)


def test_answer_of_an_earlier_incarnation_is_dropped(clock) -> None:
    feed = make_feed()
    feed.statement(EngineStart(1))
    feed._ask()
    assert feed.statement(EngineStart(2)) is None

    def restart_meanwhile(path: str) -> float:
        feed.statement(EngineStart(3))
        return 0.0

    feed.engine.cold_remaining.side_effect = restart_meanwhile
    feed._ask()
    assert feed.statement(EngineStart(3)) is None


def test_unavailable_engine_makes_no_statement(clock) -> None:
    feed = make_feed()
    feed._ask()
    feed.engine.cold_remaining.side_effect = EngineUnavailable("refused")
    feed._ask()
    assert feed.statement(None) is None


# With processes.


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path, GATEWAYS[:2])
    yield site
    site.close()


def health_check_times(engine: StagingEngine) -> list[float]:
    return [call.received_at for call in engine.exchanges if call.target == HEALTH_PATH]


def make_limited_config(**fields: Any) -> dict[str, Any]:
    config = make_config()
    config["services"][0].update(fields)
    return config


def test_gateways_learn_from_the_loader_that_its_engine_is_cold(domain) -> None:
    engine = domain.engines_by_host[LOADER]
    engine.cold_ms = 60_000
    domain.start(make_limited_config(cold_start_s=8, cold_per_s=4))
    gateways = [domain.processes[host] for host in GATEWAYS[:2]]
    for gateway in gateways:
        event = gateway.wait_event("engine-cold", target="i-llm")
        assert event["detail"]["cause"] == "health"
    engine.cold_ms = 0
    for gateway in gateways:
        gateway.wait_event("engine-warm", target="i-llm", seconds=5.0)
    warm_count = len(health_check_times(engine))
    engine.wait_until(lambda: len(health_check_times(engine)) >= warm_count + 2)
    times = health_check_times(engine)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert min(gaps) >= TOLERANCE * COLD_INTERVAL_SECONDS
    assert gaps[-1] >= TOLERANCE * WARM_INTERVAL_SECONDS


def test_engine_of_a_service_without_a_limit_gets_no_health_checks(domain) -> None:
    engine = domain.engines_by_host[LOADER]
    engine.cold_ms = 60_000
    domain.start(make_limited_config(cold_start_s=8))
    report_count = len(engine.calls)
    sleep(2 * WARM_INTERVAL_SECONDS)
    assert len(engine.calls) > report_count
    assert health_check_times(engine) == []
    for host in GATEWAYS[:2]:
        kinds = {event.get("kind") for event in domain.processes[host].events()}
        assert not kinds & {"engine-cold", "engine-warm"}
