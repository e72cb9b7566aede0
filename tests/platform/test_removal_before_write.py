"""A request is not written to an engine whose removal became known meanwhile.

Guards against requests that were sent on an older list than the gateway had: a request
may be held for its turn, and connecting takes time.
"""

from typing import Any
from unittest.mock import Mock

import pytest
from test_region_checks import HOLD_SECONDS, DispatcherSite

from ridgecourse.core.outcome import Reason
from ridgecourse.gateway.sender import NotRun, SendResult
from ridgecourse_standins.platform.engine import EngineStandIn


def remove_engine(site: DispatcherSite) -> None:
    site.view.targets.is_serving.return_value = False


def assert_not_sent(result: SendResult, engine: EngineStandIn) -> None:
    assert isinstance(result, NotRun)
    assert (result.reason, result.arrived) == (Reason.LEAVING, False)
    assert engine.requests == []


def test_removal_while_a_request_is_held_is_respected(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = DispatcherSite(engine, HOLD_SECONDS)
    monkeypatch.setattr("eventlet.sleep", lambda seconds: remove_engine(site))
    connect = Mock()
    monkeypatch.setattr("ridgecourse.gateway.sender.Exchange.connect", connect)
    assert_not_sent(site.send(), engine)
    assert not connect.called


def test_removal_while_a_gateway_connects_is_respected(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = DispatcherSite(engine)
    sender = site.dispatcher.sender
    connect = sender._connect

    def remove_while_connecting(*arguments: Any) -> float:
        extra_delay = connect(*arguments)
        remove_engine(site)
        return extra_delay

    monkeypatch.setattr(sender, "_connect", remove_while_connecting)
    assert_not_sent(site.send(), engine)
