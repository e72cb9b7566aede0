"""Refusals of the gateway itself are sent only while nothing was sent to an engine.

Guards against a 503 for a request of which an engine may have received a part. Each
place that refuses is listed in docs/design/not-run.md; the tests here cover those that
need a moment that a running gateway does not offer on demand.
"""

from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import HOST, KEY, GatewaySite
from msgspec import structs
from test_region_checks import DispatcherSite
from test_region_restrictions import decode_config, make_restricted_config

from ridgecourse.core.ids import Seconds
from ridgecourse.core.outcome import Reason
from ridgecourse.gateway.forwarder import Forwarder
from ridgecourse.gateway.selection import VersionTerms
from ridgecourse.gateway.sender import NotRun
from ridgecourse.net.clock import boottime
from ridgecourse.platform.requests import PlatformRequestProtocol
from ridgecourse_standins.platform.engine import EngineStandIn


def assert_refused_unsent(result: Any, reason: Reason, engine: EngineStandIn) -> None:
    assert isinstance(result, NotRun)
    assert (result.reason, result.arrived) == (reason, False)
    assert engine.requests == []


def test_request_that_may_crash_engines_is_refused_unsent(
    engine: EngineStandIn,
) -> None:
    site = DispatcherSite(engine)
    refusal = NotRun(Reason.CRASHES_ENGINES, "blocked", arrived=False, come_back=9.0)
    site.dispatcher.crash_watch.admit.return_value = refusal  # type: ignore[attr-defined]
    result = site.send()
    assert_refused_unsent(result, Reason.CRASHES_ENGINES, engine)
    assert result.come_back == 9.0


def test_request_beyond_the_rate_limit_is_refused_unsent(
    engine: EngineStandIn,
) -> None:
    """The delay before a retry stays short: another gateway may have its turn."""
    result = DispatcherSite(engine, hold=5.0).send()
    assert_refused_unsent(result, Reason.OVERLOADED, engine)
    assert result.excluded == {"rate-limit": 1}
    assert result.come_back is None


def test_request_that_cannot_start_in_time_is_refused_unsent(
    engine: EngineStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connecting takes so long that the request would start on outdated weights."""
    site = DispatcherSite(engine)
    terms = VersionTerms(None, None, Seconds(boottime() - 1.0))
    monkeypatch.setattr(site.dispatcher.selector, "_version_terms", lambda *_: terms)
    written = Mock()
    monkeypatch.setattr("ridgecourse.gateway.sender.Exchange.send", written)
    assert_refused_unsent(site.send(), Reason.WRONG_TARGET, engine)
    assert not written.called


def test_request_without_time_for_an_attempt_is_refused_unsent(
    engine: EngineStandIn,
) -> None:
    site = DispatcherSite(engine)
    routed, terms = site.make_request()
    routed.deadline = Seconds(boottime() + 0.01)
    result = site.dispatcher.try_targets(routed, terms, set())
    assert_refused_unsent(result, Reason.NO_TARGET, engine)


def test_unproven_refusal_is_no_answer_for_an_unsafe_request() -> None:
    """The outcome is unknown, whichever attempt of the request had the answer."""
    site = DispatcherSite(Mock(address="127.0.0.1:1"))
    _, terms = site.make_request()
    head = Mock(status=503)
    answer = Mock(head=head)
    check = site.dispatcher._without_unproven_refusal
    assert check(answer, terms) is answer
    unsafe = decode_config(make_restricted_config(prefix="/safe/", type="unsafe"))
    route = unsafe.find_route(HOST, "/safe/x")
    assert route is not None
    result = check(answer, structs.replace(terms, route=route))
    assert not isinstance(result, NotRun) and result is not answer


def make_front_request() -> Any:
    return SimpleNamespace(
        method="POST",
        target="/once/x",
        headers=[("Host", HOST), ("Attempt-Id", "1"), ("Key", KEY)],
        head_bytes=80,
        reserve_memory=lambda: None,
        read_body=lambda limit, seconds: b"body",
        has_disconnected=lambda: False,
    )


def test_request_that_might_outlast_the_process_is_refused_unsent() -> None:
    dispatcher = Mock()
    view = Mock(config=decode_config(make_restricted_config()))
    protocol = PlatformRequestProtocol()
    forwarder = Forwarder(Mock(), view, protocol, dispatcher, Mock(), Random(1))
    forwarder.closes_at = Seconds(boottime())
    reply = forwarder.handle(make_front_request())
    assert reply.status == 503
    assert dict(reply.headers).keys() == {"Retry-After"}
    assert not dispatcher.try_targets.called


def test_request_with_too_short_a_deadline_is_refused(front: GatewaySite) -> None:
    engine = front.add_engine("app")
    front.start()
    status, headers, _, _ = front.ask("/once/x", b"b", method="POST", deadline_ms=20)
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert engine.requests == []
