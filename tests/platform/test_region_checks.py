"""The restriction to regions is checked until the request is written, at no cost.

Guards against a request that is sent although a configuration narrowed its regions
while it waited for a rate limit or for the connection, and against refusals that spend
the retry budget or reach the sender.
"""

from random import Random
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import HOST, KEY
from msgspec import structs
from test_region_restrictions import decode_config, make_restricted_config

from ridgecourse.cluster.record_events import EntryReading
from ridgecourse.core.allowed_regions import RegionRestriction, RequestOrigin
from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.evacuations import Evacuations
from ridgecourse.core.ids import (
    AccountName,
    DomainName,
    RegionName,
    RequestId,
    RequestSignature,
    Seconds,
    TargetId,
)
from ridgecourse.core.outcome import Reason
from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.sender import NotRun, RoutedRequest
from ridgecourse.gateway.terms import Terms, find_terms
from ridgecourse.net.clock import boottime
from ridgecourse_standins.platform.engine import EngineStandIn

NORTH, SOUTH = ["north"], ["south"]
HOLD_SECONDS = 0.1


class DispatcherSite:
    """A dispatcher in the region "north" with one engine there.

    Attributes:
        engine: The engine.
        view: Holds the configuration in force.
        dispatcher: The dispatcher.
    """

    def __init__(self, engine: EngineStandIn, hold: float = 0.0) -> None:
        self.engine = engine
        target = ListedTarget(
            target=TargetId("i-0"),
            service=decode_config(make_restricted_config()).services["app"].name,  # type: ignore[index]
            address=engine.address,
            domain=DomainName("a"),
            slots=16,
            leaving=False,
            models={},
            layers=None,
        )
        self.view = Mock(config=decode_config(make_restricted_config()))
        self.view.entry_reading.return_value = EntryReading(None, 0.0)
        self.view.evacuation_records.evacuations = Evacuations()
        self.view.serving_targets.return_value = [target]
        self.view.history.return_value.start_deadline.return_value = None
        regions = {DomainName("a"): RegionName("north")}
        site = Mock(domain="a", regions=regions)
        watcher = Mock()
        watcher.incarnation.side_effect = lambda target: target.incarnation
        watcher.load.return_value = EngineLoad()
        announcements = Mock()
        announcements.has_announcements.return_value = False
        announcements.is_leaving.return_value = False
        announcements.rest_left.return_value = 0.0
        announcements.limit_watch.has_limits.return_value = bool(hold)
        announcements.limit_watch.wait.return_value = hold
        crash_watch = Mock()
        crash_watch.admit.return_value = None
        crash_watch.avoided.return_value = ()
        protocol = Mock()
        protocol.encode_request.return_value = []
        self.dispatcher = Dispatcher(
            site,
            self.view,
            protocol,
            watcher,
            Mock(),
            RecentPeak(),
            Random(1),
            lambda: 12,
            crash_watch,
            announcements,
            Mock(),
        )

    def make_request(self) -> tuple[RoutedRequest, Terms]:
        call = ClientRequest(
            request_id=RequestId("1"),
            method="GET",
            target="/safe/x",
            host=HOST,
            headers=[],
            wait=None,
            key=KEY,
            model=Mock(),
            prompt_tokens=0,
            answer_tokens=0,
            length_hint=0,
            last_event=None,
        )
        terms = find_terms(call, self.view.config, Random(1)).unwrap()
        terms = structs.replace(terms, route=structs.replace(terms.route, objective=0))
        account = AccountName("shop")
        restriction = RegionRestriction(RequestOrigin(HOST, call.path, KEY, account))
        routed = RoutedRequest(
            call=call,
            body=None,
            account=account,
            restriction=restriction,
            deadline=Seconds(boottime() + 3.0),
            version=None,
            begin_by=None,
            last_event=None,
            signature=RequestSignature(b"s"),
            waited=0.0,
            excess=0.0,
            is_abandoned=lambda: False,
        )
        return routed, terms

    def narrow(self) -> None:
        """Put a configuration into force that forbids the region of the engine."""
        self.view.config = decode_config(make_restricted_config(2, account=SOUTH))

    def send(self) -> Any:
        routed, terms = self.make_request()
        return self.dispatcher.try_targets(routed, terms, set())


def assert_excluded_by_region(result: Any) -> None:
    assert isinstance(result, NotRun)
    assert (result.reason, result.arrived) == (Reason.NO_TARGET, False)
    assert result.excluded == {"region": 1}


def test_refusal_sends_nothing_and_spends_no_retry(engine: EngineStandIn) -> None:
    site = DispatcherSite(engine)
    site.narrow()
    for _ in range(20):
        assert_excluded_by_region(site.send())
    retries: Any = site.dispatcher.retries
    assert retries.mock_calls == []
    assert engine.requests == []


def test_request_held_for_a_rate_limit_is_checked_before_it_is_sent(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = DispatcherSite(engine, HOLD_SECONDS)
    held: list[float] = []

    def narrow_during_hold(seconds: float) -> None:
        held.append(seconds)
        site.narrow()

    monkeypatch.setattr("eventlet.sleep", narrow_during_hold)
    connect = Mock()
    monkeypatch.setattr("ridgecourse.gateway.sender.Exchange.connect", connect)
    assert_excluded_by_region(site.send())
    assert held == [HOLD_SECONDS]
    assert not connect.called


def test_request_is_checked_between_connecting_and_writing(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = DispatcherSite(engine)
    sender = site.dispatcher.sender
    connect = sender._connect
    written = Mock()
    monkeypatch.setattr("ridgecourse.gateway.sender.Exchange.send", written)

    def narrow_while_connecting(*arguments: Any) -> float:
        extra_delay = connect(*arguments)
        site.narrow()
        return extra_delay

    monkeypatch.setattr(sender, "_connect", narrow_while_connecting)
    assert_excluded_by_region(site.send())
    assert not written.called


def test_check_before_the_send_has_no_effect_on_the_health_of_the_engine(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = DispatcherSite(engine, HOLD_SECONDS)
    monkeypatch.setattr("eventlet.sleep", lambda seconds: site.narrow())
    assert_excluded_by_region(site.send())
    [target] = site.view.serving_targets()
    state = site.dispatcher.selector.state(target)
    assert (state.failures, state.not_before) == (0, 0.0)
    assert site.dispatcher.selector.load(target).outstanding == 0
