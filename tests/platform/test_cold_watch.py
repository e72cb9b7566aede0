"""A gateway's parts agree at each moment on which engines are cold.

Guards against a request that is written to an engine that became cold after the request
was given its target, and against changes that operators do not see.
"""

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from msgspec.structs import replace
from test_cold_engines import DOMAIN, SERVICE, START_SECONDS, make_bounds, make_entry

from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.evacuations import EvacuationDecision, Evacuations
from ridgecourse.core.ids import EngineStart, Offset, Seconds
from ridgecourse.gateway import cold_watch, limit_watch
from ridgecourse.gateway.cold_watch import ColdWatch
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.net.events import EventKind
from ridgecourse.net.figures import ProcessMetrics

ENTRY = make_entry()
INCARNATION = ENTRY.incarnation


class Watched:
    """The watches of a gateway that has run for long, with one listed engine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, service=SERVICE) -> None:
        self.now = 1000.0
        for module in (cold_watch, limit_watch):
            monkeypatch.setattr(module, "boottime", lambda: Seconds(self.now))
        self.view: Any = Mock()
        self.view.config.services = {service.name: service}
        self.view.targets.targets = {ENTRY.target: ENTRY}
        self.evacuations = Evacuations()
        self.view.evacuation_records.evacuations = self.evacuations
        self.events = Mock(metrics=ProcessMetrics())
        site: Any = SimpleNamespace(bounds=make_bounds(), region=str)
        self.cold = ColdWatch(site, self.view, self.events)
        link: Any = Mock(site=site, handlers={})
        link.known.return_value = []
        self.limits = LimitWatch(self.events, link, self.cold)
        self.cold._update()
        self.now += 60.0

    def emitted(self) -> list[EventKind]:
        return [call.args[0] for call in self.events.emit.call_args_list]

    def is_limited(self) -> bool:
        self.limits.wait(ENTRY, INCARNATION)
        return self.limits.limits.is_cold(INCARNATION)


@pytest.fixture
def watched(monkeypatch: pytest.MonkeyPatch) -> Watched:
    return Watched(monkeypatch)


def test_request_is_not_written_once_its_engine_has_said_that_it_is_cold(
    watched,
) -> None:
    assert not watched.is_limited()
    turn = watched.limits.limits.record_send(INCARNATION, Seconds(watched.now))
    assert turn is None
    assert watched.limits.confirm_send(ENTRY, INCARNATION, turn)
    watched.cold.record_statement(INCARNATION, ColdStatement(4.0))
    assert not watched.limits.confirm_send(ENTRY, INCARNATION, turn)


def test_changes_are_emitted_and_cold_engines_are_counted(watched) -> None:
    watched.cold.record_statement(INCARNATION, ColdStatement(4.0, 0.5))
    event = watched.events.emit.call_args
    assert event.args == (EventKind.ENGINE_COLD,)
    assert event.kwargs == {"target": "i-1", "seconds": 3.5, "cause": "health"}
    watched.cold._update()
    assert watched.events.metrics.gauges["cold_engines"] == 1
    watched.now += 4.0
    watched.cold._update()
    assert watched.events.metrics.gauges["cold_engines"] == 0
    assert watched.emitted() == [EventKind.ENGINE_COLD, EventKind.ENGINE_WARM]


def test_engines_of_a_domain_whose_evacuation_ended_are_cold(watched) -> None:
    for evacuates, offset in ((True, 1), (False, 2)):
        decision = EvacuationDecision(DOMAIN, evacuates)
        watched.evacuations.apply(decision, Offset(offset), Seconds(watched.now))
    assert watched.is_limited()
    watched.cold.record_statement(INCARNATION, ColdStatement(0.0, 1.0))
    assert watched.is_limited(), "the answer is older than the end"
    watched.now += 1.0
    watched.cold.record_statement(INCARNATION, ColdStatement(0.0, 0.5))
    assert not watched.is_limited()


def test_engine_that_could_not_be_reached_is_cold(watched) -> None:
    watched.cold.record_contact(ENTRY, INCARNATION, answered=True)
    assert not watched.is_limited()
    watched.cold.record_contact(ENTRY, INCARNATION, answered=False)
    assert watched.is_limited()
    watched.now += START_SECONDS - 1.0
    watched.cold.record_contact(ENTRY, INCARNATION, answered=True)
    watched.now += START_SECONDS - 1.0
    assert watched.is_limited()
    watched.now += 1.0
    assert not watched.is_limited()


def test_new_configuration_without_the_limit_ends_it(watched) -> None:
    watched.cold.record_statement(INCARNATION, ColdStatement(60.0))
    assert watched.is_limited()
    service = replace(SERVICE, cold_per_s=0.0)
    watched.view.config.services = {service.name: service}
    assert not watched.is_limited()


def test_engines_listed_when_a_configuration_adds_the_limit_are_not_new(
    monkeypatch,
) -> None:
    watched = Watched(monkeypatch, replace(SERVICE, cold_per_s=0.0))
    assert not watched.is_limited()
    watched.view.config.services = {SERVICE.name: SERVICE}
    assert not watched.is_limited()
    watched.cold._update()
    restarted = make_entry(2)
    watched.view.targets.targets = {ENTRY.target: restarted}
    assert watched.limits.wait(restarted, restarted.incarnation) > 0.0


def test_nothing_is_recorded_for_services_without_a_limit(monkeypatch) -> None:
    watched = Watched(monkeypatch, replace(SERVICE, cold_per_s=0.0))
    cold_entry = make_entry(EngineStart(2), cold=60.0)
    watched.view.targets.targets = {ENTRY.target: cold_entry}
    watched.cold.record_contact(cold_entry, cold_entry.incarnation, answered=False)
    assert watched.limits.wait(cold_entry, cold_entry.incarnation) == 0.0
    watched.cold._update()
    assert watched.cold.engines.states.incarnations == {}
    assert watched.limits.limits.states.incarnations == {}
    assert watched.emitted() == []
